"""Builders of history events for tests of the checkers.

Each function returns an event with default fields, which keyword arguments
override.  Times ``t`` are in seconds.
"""

import hashlib
import typing

from filbertstep import checking

Event = checking.AnyEvent

DIGEST: typing.Final = hashlib.sha256(b'body').hexdigest()

FACTS: typing.Final = checking.Facts(
    services={
        'bookings': checking.ServiceFact(False, frozenset({'GET'})),
        'menu': checking.ServiceFact(True, frozenset({'GET'})),
    },
    servers={
        'b-1': checking.ServerFact('bookings', 'north', 2),
        'b-2': checking.ServerFact('bookings', 'north', 2),
        'b-3': checking.ServerFact('bookings', 'south', 2),
        'm-1': checking.ServerFact('menu', 'north', 2),
    },
    accounts={
        'acme': checking.AccountFact(10.0, 5.0, frozenset({'bookings'})),
        'zeta': checking.AccountFact(10.0, 5.0, frozenset({'bookings'})),
    },
    key_accounts={'acme-1': 'acme', 'zeta-1': 'zeta'},
    shift_caps={'bookings': checking.ShiftCapFact(0.25, 10.0)},
    links={('north', 'south'): checking.LinkFact(1000.0, 500.0)},
    vm_regions={'vm-1': 'north', 'vm-2': 'south'},
)


def make_event(event_name: str, t: float, /, **fields: object) -> Event:
    """Return an event of an arbitrary process."""
    defaults: Event = {
        'process': 'p',
        'incarnation': 'i',
        't': t,
        'wall': t,
        'event': event_name,
    }
    return {**defaults, **fields}


def sent(t: float, request_id: str = 'r', **fields: object) -> Event:
    """Return the start of an attempt at vm-1: a booking by account acme."""
    defaults: Event = {
        'request_id': request_id,
        'family': request_id,
        'account': 'acme',
        'key_name': 'acme-1',
        'vm': 'vm-1',
        'service': 'bookings',
        'method': 'POST',
        'idempotent': False,
        'body_digest': DIGEST,
    }
    return make_event('sent', t, **{**defaults, **fields})


def answered(t: float, request_id: str = 'r', **fields: object) -> Event:
    """Return a complete response, 1 s after its attempt was sent."""
    defaults: Event = {
        **sent(t, request_id),
        'status': 200,
        'kind': '',
        'ran': 'yes',
        'complete': True,
        'answer_request_id': request_id,
        'answer_digest': DIGEST,
        'answer_bytes': 100,
        'latency_s': 1.0,
    }
    return {**defaults, **fields, 'event': 'answered'}


def answered_not_run(
    t: float, request_id: str = 'r', **fields: object
) -> Event:
    """Return a response that says that the request was not run."""
    defaults: Event = {'status': 503, 'kind': 'not_run', 'ran': 'no'}
    return answered(t, request_id, **{**defaults, **fields})


def server_event(
    event_name: str, t: float, request_id: str = 'r', **fields: object
) -> Event:
    """Return an event of a booking at backend server b-1."""
    defaults: Event = {
        'server': 'b-1',
        'service': 'bookings',
        'region': 'north',
        'request_id': request_id,
        'account': 'acme',
        'method': 'POST',
        'path': '/bookings/1',
        'body_digest': DIGEST,
        'body_bytes': 4,
        'header_names': ['host'],
        'secret_seen': False,
        'running': 1,
        'waiting': 0,
        'run': 1,
        'answer_bytes': 100,
    }
    return make_event(event_name, t, **{**defaults, **fields})


def begin(t: float, request_id: str = 'r', **fields: object) -> Event:
    """Return the begin of a booking's run at backend server b-1."""
    return server_event('begin', t, request_id, **fields)


def end(t: float, request_id: str = 'r', **fields: object) -> Event:
    """Return the end of a booking's run at backend server b-1."""
    return server_event('end', t, request_id, **{'running': 0, **fields})


def placed(t: float, request_id: str = 'r', **fields: object) -> Event:
    """Return a placement by vm-1 in the reference region."""
    defaults: Event = {
        'process': 'vm-1',
        'request_id': request_id,
        'service': 'bookings',
        'account': 'acme',
        'region': 'north',
        'reference_region': 'north',
        'moved': False,
    }
    return make_event('placed', t, **{**defaults, **fields})


def placed_elsewhere(t: float, request_id: str = 'r') -> Event:
    """Return a placement outside the reference region."""
    return placed(t, request_id, region='south', moved=True)


def config_applied(
    t: float, head_index: int, ticket: int, vm: str = 'vm-1'
) -> Event:
    """Return the event of a VM that put a configuration into force."""
    return make_event(
        'config_applied',
        t,
        process=vm,
        head_index=head_index,
        ticket=ticket,
    )


def admitted(t: float, vm: str = 'vm-1') -> Event:
    """Return the event of a VM that admitted a request."""
    return make_event(
        'admitted',
        t,
        process=vm,
        request_id='r',
        service='bookings',
        account='acme',
    )
