"""Sample tickets for several test modules."""

import typing

SERVICE: typing.Final = {
    'path_prefix': '/jobs',
    'work': 'interactive',
    'open': False,
    'idempotent_methods': ['GET'],
    'deadline_ms': 1000,
    'max_body_bytes': 1000,
    'queue_limit': 10,
    'regions': {'a': 1.0},
    'objective': {
        'in_time_ms': 100,
        'in_time_share': 0.99,
        'served_share': 0.99,
    },
}


def key_digest(number: int) -> str:
    """Return the digest of the test key with a number."""
    return f'{number:064x}'


def first_ticket(keys: int) -> dict[str, typing.Any]:
    """Return a ticket that creates a service, an account and its keys."""
    changes: list[dict[str, typing.Any]] = [
        {
            'kind': 'region',
            'name': 'a',
            'state': {'availability_zones': ['a1', 'a2']},
        },
        {'kind': 'service', 'name': 'jobs', 'state': SERVICE},
        {
            'kind': 'client_account',
            'name': 'cafe',
            'state': {'rate': 10, 'burst': 5, 'services': ['jobs']},
        },
    ]
    changes.extend(
        {
            'kind': 'key',
            'name': f'k{number}',
            'state': {'client_account': 'cafe', 'digest': key_digest(number)},
        }
        for number in range(keys)
    )
    return {'number': 1, 'author': 'ann', 'changes': changes}


def withdrawal(number: int, key: int) -> dict[str, typing.Any]:
    """Return a ticket that deletes a key."""
    return {
        'number': number,
        'author': 'ann',
        'changes': [{'kind': 'key', 'name': f'k{key}', 'state': None}],
    }
