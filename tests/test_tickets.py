"""Tests of tickets against a configuration."""

import copy
import typing
import unittest

import result

from filbertstep import config
from filbertstep import errors
from tests import ticket_samples

SERVER: typing.Final = {
    'service': 'jobs',
    'address': '127.0.0.1:9000',
    'region': 'a',
    'availability_zone': 'a1',
    'slots': 3,
    'connections': 400,
    'warmup_s': 5,
}

LINK: typing.Final = {
    'from_region': 'a',
    'to_region': 'b',
    'bytes_per_s': 1000,
    'burst_bytes': 1000,
}

Doc = dict[str, typing.Any]


def change(kind: str, name: str, state: Doc | None) -> Doc:
    """Return one change."""
    return {'kind': kind, 'name': name, 'state': state}


def ticket(*changes: Doc) -> Doc:
    """Return a ticket with changes."""
    return {'number': 2, 'author': 'ann', 'changes': list(changes)}


def apply(
    documents: config.Documents, raw: Doc
) -> result.Result[config.Documents, errors.Failure]:
    """Check and apply a ticket."""
    checked = config.check_ticket(copy.deepcopy(raw))
    if isinstance(checked, result.Err):
        return checked
    return config.apply_ticket(documents, checked.ok_value)


def base() -> config.Documents:
    """Return documents with one service, server, account and two keys."""
    raw = ticket_samples.first_ticket(2)
    raw['changes'].append(change('backend_server', 's1', SERVER))
    raw['changes'].append(
        change('region', 'b', {'availability_zones': ['b1']})
    )
    return apply(config.empty_documents(), raw).unwrap()


class BadCase(typing.NamedTuple):
    """Changes that must be refused and the field that must be named."""

    named: str
    changes: list[Doc]


ACCOUNT: typing.Final = {'rate': 1, 'burst': 1, 'services': ['jobs']}
KEY: typing.Final = {'client_account': 'cafe', 'digest': 'f' * 64}
SERVICE: typing.Final = ticket_samples.SERVICE

BAD_CASES: typing.Final = [
    BadCase(
        'changes[0].state.rate',
        [change('client_account', 'x', {**ACCOUNT, 'rate': 0})],
    ),
    BadCase(
        'changes[0].state.raet',
        [change('client_account', 'x', {**ACCOUNT, 'raet': 0})],
    ),
    BadCase('changes[0].kind', [change('klient', 'x', None)]),
    BadCase('changes[0].name', [change('key', 'No Name', None)]),
    BadCase('changes[0].name', [change('key', 'absent', None)]),
    BadCase(
        'changes[1].name',
        [change('key', 'k0', None), change('key', 'k0', None)],
    ),
    BadCase(
        'changes[1].state.services[1]',
        [
            change('key', 'k0', None),
            change(
                'client_account', 'x', {**ACCOUNT, 'services': ['jobs', 'no']}
            ),
        ],
    ),
    BadCase(
        'changes[0].state.client_account',
        [change('key', 'x', {**KEY, 'client_account': 'no'})],
    ),
    BadCase(
        'changes[0].state.digest',
        [change('key', 'x', {**KEY, 'digest': ticket_samples.key_digest(0)})],
    ),
    BadCase(
        'changes[0].state.digest',
        [change('key', 'k0', {**KEY, 'digest': ticket_samples.key_digest(1)})],
    ),
    BadCase('changes[0].state.path_prefix', [change('service', 'x', SERVICE)]),
    BadCase(
        'changes[0].state.regions.no',
        [
            change(
                'service',
                'x',
                {**SERVICE, 'path_prefix': '/x', 'regions': {'no': 1}},
            )
        ],
    ),
    BadCase(
        'changes[0].state.availability_zone',
        [
            change(
                'backend_server', 's2', {**SERVER, 'availability_zone': 'b1'}
            )
        ],
    ),
    BadCase(
        'changes[0].state.service',
        [change('backend_server', 's2', {**SERVER, 'service': 'no'})],
    ),
    BadCase(
        'changes[0].state.address',
        [change('backend_server', 's1', {**SERVER, 'address': '[::1]:1'})],
    ),
    BadCase(
        'changes[0].state.region',
        [
            change(
                'backend_server',
                's1',
                {**SERVER, 'region': 'b', 'availability_zone': 'b1'},
            )
        ],
    ),
    BadCase(
        'changes[0].state.name',
        [change('shift_cap', 'no', {'max_share': 0.1, 'interval_s': 60})],
    ),
    BadCase(
        'changes[0].state.target',
        [
            change(
                'drain', 'd', {'target_kind': 'backend_server', 'target': 'no'}
            )
        ],
    ),
    BadCase(
        'changes[0].state.to_region',
        [change('link', 'ab', {**LINK, 'to_region': 'no'})],
    ),
    BadCase(
        'changes[0].state.to_region',
        [change('link', 'ab', {**LINK, 'to_region': 'a'})],
    ),
    BadCase(
        'changes[0].state.region',
        [change('site', 'x', {'region': 'no', 'blocks': []})],
    ),
    BadCase(
        'changes[0].state.blocks[0]',
        [change('site', 'x', {'region': 'a', 'blocks': ['10.0.0.0/33']})],
    ),
    BadCase(
        'changes[0].state.near[0]',
        [
            change(
                'region', 'b', {'availability_zones': ['b1'], 'near': ['no']}
            )
        ],
    ),
    BadCase('changes[0].state', [change('service', 'jobs', None)]),
    BadCase('changes[0].state', [change('region', 'a', None)]),
    BadCase('changes[0].state', [change('client_account', 'cafe', None)]),
    BadCase(
        'changes[0].state',
        [change('region', 'a', {'availability_zones': ['a2']})],
    ),
    BadCase('changes', []),
]


class TestTickets(unittest.TestCase):
    """Tickets are checked against the configuration they would make."""

    def test_refused_with_the_field_named(self) -> None:
        """Guards against a configuration with dangling references."""
        documents = base()
        for position, case in enumerate(BAD_CASES):
            with self.subTest(position=position, named=case.named):
                failure = apply(documents, ticket(*case.changes)).unwrap_err()
                self.assertEqual(errors.ErrorKind.INVALID_TICKET, failure.kind)
                self.assertIn(case.named, failure.message)

    def test_applied_and_old_documents_unchanged(self) -> None:
        """Guards against a refused ticket that leaves traces."""
        documents = base()
        before = copy.deepcopy(documents)
        after = apply(
            documents,
            ticket(
                change('backend_server', 's1', None),
                change('key', 'k0', None),
                change('link', 'ab', LINK),
            ),
        ).unwrap()
        self.assertEqual(before, documents)
        self.assertEqual({}, after[config.EntityKind.BACKEND_SERVER])
        self.assertEqual(['k1'], list(after[config.EntityKind.KEY]))
        self.assertEqual(['ab'], list(config.build_config(after).links))

    def test_parts_deleted_together(self) -> None:
        """Guards against an order of changes that operators must keep."""
        changes = [
            change('service', 'jobs', None),
            change('backend_server', 's1', None),
            change('key', 'k0', None),
            change('key', 'k1', None),
            change('client_account', 'cafe', None),
        ]
        after = apply(base(), ticket(*changes)).unwrap()
        self.assertEqual({}, after[config.EntityKind.SERVICE])

    def test_section_that_the_store_cannot_hold(self) -> None:
        """Guards against a ticket that fails only while it is committed."""
        blocks = ['2001:db8::/32'] * 70_000
        failure = apply(
            base(),
            ticket(change('site', 'x', {'region': 'a', 'blocks': blocks})),
        ).unwrap_err()
        self.assertIn('changes[0].state: section site/', failure.message)

    def test_digest_depends_on_changes_only(self) -> None:
        """Guards against two contents under one digest."""
        first = config.check_ticket(ticket(change('key', 'k0', None))).unwrap()
        second = config.check_ticket(
            ticket(change('key', 'k1', None))
        ).unwrap()
        again = config.check_ticket(
            {**ticket(change('key', 'k0', None)), 'author': 'bob'}
        ).unwrap()
        self.assertNotEqual(
            config.ticket_digest(first), config.ticket_digest(second)
        )
        self.assertEqual(
            config.ticket_digest(first), config.ticket_digest(again)
        )
