"""Builders of events for tests of the checkers."""

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


def event(name: str, t: float, /, **fields: object) -> Event:
    """Return an event of a process that does not matter."""
    base: Event = {
        'process': 'p',
        'incarnation': 'i',
        't': t,
        'wall': t,
        'event': name,
    }
    return {**base, **fields}


def sent(t: float, request: str = 'r', **fields: object) -> Event:
    """Return a try of a booking by account acme at vm-1."""
    base: Event = {
        'request_id': request,
        'family': request,
        'account': 'acme',
        'key_name': 'acme-1',
        'vm': 'vm-1',
        'service': 'bookings',
        'method': 'POST',
        'idempotent': False,
        'body_digest': DIGEST,
    }
    return event('sent', t, **{**base, **fields})


def answered(t: float, request: str = 'r', **fields: object) -> Event:
    """Return a whole answer, a second after its try was sent."""
    base: Event = {
        **sent(t, request),
        'status': 200,
        'kind': '',
        'ran': 'yes',
        'complete': True,
        'answer_request_id': request,
        'answer_digest': DIGEST,
        'answer_bytes': 100,
        'latency_s': 1.0,
    }
    return {**base, **fields, 'event': 'answered'}


def refused(t: float, request: str = 'r', **fields: object) -> Event:
    """Return an answer that says not run."""
    base: Event = {'status': 503, 'kind': 'not_run', 'ran': 'no'}
    return answered(t, request, **{**base, **fields})


def at_server(
    name: str, t: float, request: str = 'r', **fields: object
) -> Event:
    """Return an event of a booking at b-1."""
    base: Event = {
        'server': 'b-1',
        'service': 'bookings',
        'region': 'north',
        'request_id': request,
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
    return event(name, t, **{**base, **fields})


def begin(t: float, request: str = 'r', **fields: object) -> Event:
    """Return the begin of a run of a booking at b-1."""
    return at_server('begin', t, request, **fields)


def end(t: float, request: str = 'r', **fields: object) -> Event:
    """Return the end of a run of a booking at b-1."""
    return at_server('end', t, request, **{'running': 0, **fields})


def placed(t: float, request: str = 'r', **fields: object) -> Event:
    """Return a placement by vm-1 in its reference region."""
    base: Event = {
        'process': 'vm-1',
        'request_id': request,
        'service': 'bookings',
        'account': 'acme',
        'region': 'north',
        'reference_region': 'north',
        'moved': False,
    }
    return event('placed', t, **{**base, **fields})


def moved(t: float, request: str = 'r') -> Event:
    """Return a placement away from the reference region."""
    return placed(t, request, region='south', moved=True)


def applied(t: float, head_index: int, ticket: int, vm: str = 'vm-1') -> Event:
    """Return a configuration that came in force on a VM."""
    return event(
        'config_applied',
        t,
        process=vm,
        head_index=head_index,
        ticket=ticket,
    )


def served(t: float, vm: str = 'vm-1') -> Event:
    """Return a request that a VM admitted."""
    return event(
        'admitted',
        t,
        process=vm,
        request_id='r',
        service='bookings',
        account='acme',
    )
