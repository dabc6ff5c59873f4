"""Tests of validating and applying tickets."""

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
    """Return a change of one entity."""
    return {'kind': kind, 'name': name, 'state': state}


def ticket(*changes: Doc) -> Doc:
    """Return a ticket with changes."""
    return {'number': 2, 'author': 'ann', 'changes': list(changes)}


def apply(
    documents: config.Documents, raw: Doc
) -> result.Result[config.Documents, errors.Failure]:
    """Validate a ticket and apply it."""
    checked = config.check_ticket(copy.deepcopy(raw))
    if isinstance(checked, result.Err):
        return checked
    return config.apply_ticket(documents, checked.ok_value)


def base_documents() -> config.Documents:
    """Return documents with one service, server, account and two keys."""
    raw = ticket_samples.first_ticket(2)
    raw['changes'].append(change('backend_server', 's1', SERVER))
    raw['changes'].append(
        change('region', 'b', {'availability_zones': ['b1']})
    )
    return apply(config.empty_documents(), raw).unwrap()


class InvalidCase(typing.NamedTuple):
    """Invalid changes and the field that the error must name."""

    invalid_field: str
    changes: list[Doc]


ACCOUNT: typing.Final = {'rate': 1, 'burst': 1, 'services': ['jobs']}
KEY: typing.Final = {'client_account': 'cafe', 'digest': 'f' * 64}
SERVICE: typing.Final = ticket_samples.SERVICE

INVALID_CASES: typing.Final = [
    InvalidCase(
        'changes[0].state.rate',
        [change('client_account', 'x', {**ACCOUNT, 'rate': 0})],
    ),
    InvalidCase(
        'changes[0].state.raet',
        [change('client_account', 'x', {**ACCOUNT, 'raet': 0})],
    ),
    InvalidCase('changes[0].kind', [change('klient', 'x', None)]),
    InvalidCase('changes[0].name', [change('key', 'No Name', None)]),
    InvalidCase('changes[0].name', [change('key', 'absent', None)]),
    InvalidCase(
        'changes[1].name',
        [change('key', 'k0', None), change('key', 'k0', None)],
    ),
    InvalidCase(
        'changes[1].state.services[1]',
        [
            change('key', 'k0', None),
            change(
                'client_account', 'x', {**ACCOUNT, 'services': ['jobs', 'no']}
            ),
        ],
    ),
    InvalidCase(
        'changes[0].state.client_account',
        [change('key', 'x', {**KEY, 'client_account': 'no'})],
    ),
    InvalidCase(
        'changes[0].state.digest',
        [change('key', 'x', {**KEY, 'digest': ticket_samples.key_digest(0)})],
    ),
    InvalidCase(
        'changes[0].state.digest',
        [change('key', 'k0', {**KEY, 'digest': ticket_samples.key_digest(1)})],
    ),
    InvalidCase(
        'changes[0].state.path_prefix', [change('service', 'x', SERVICE)]
    ),
    InvalidCase(
        'changes[0].state.regions.no',
        [
            change(
                'service',
                'x',
                {**SERVICE, 'path_prefix': '/x', 'regions': {'no': 1}},
            )
        ],
    ),
    InvalidCase(
        'changes[0].state.availability_zone',
        [
            change(
                'backend_server', 's2', {**SERVER, 'availability_zone': 'b1'}
            )
        ],
    ),
    InvalidCase(
        'changes[0].state.service',
        [change('backend_server', 's2', {**SERVER, 'service': 'no'})],
    ),
    InvalidCase(
        'changes[0].state.address',
        [change('backend_server', 's1', {**SERVER, 'address': '[::1]:1'})],
    ),
    InvalidCase(
        'changes[0].state.region',
        [
            change(
                'backend_server',
                's1',
                {**SERVER, 'region': 'b', 'availability_zone': 'b1'},
            )
        ],
    ),
    InvalidCase(
        'changes[0].state.name',
        [change('shift_cap', 'no', {'max_share': 0.1, 'interval_s': 60})],
    ),
    InvalidCase(
        'changes[0].state.target',
        [
            change(
                'drain', 'd', {'target_kind': 'backend_server', 'target': 'no'}
            )
        ],
    ),
    InvalidCase(
        'changes[0].state.to_region',
        [change('link', 'ab', {**LINK, 'to_region': 'no'})],
    ),
    InvalidCase(
        'changes[0].state.to_region',
        [change('link', 'ab', {**LINK, 'to_region': 'a'})],
    ),
    InvalidCase(
        'changes[0].state.region',
        [change('site', 'x', {'region': 'no', 'blocks': []})],
    ),
    InvalidCase(
        'changes[0].state.blocks[0]',
        [change('site', 'x', {'region': 'a', 'blocks': ['10.0.0.0/33']})],
    ),
    InvalidCase(
        'changes[0].state.near[0]',
        [
            change(
                'region', 'b', {'availability_zones': ['b1'], 'near': ['no']}
            )
        ],
    ),
    InvalidCase('changes[0].state', [change('service', 'jobs', None)]),
    InvalidCase('changes[0].state', [change('region', 'a', None)]),
    InvalidCase('changes[0].state', [change('client_account', 'cafe', None)]),
    InvalidCase(
        'changes[0].state',
        [change('region', 'a', {'availability_zones': ['a2']})],
    ),
    InvalidCase('changes', []),
]


class TestTickets(unittest.TestCase):
    """Tickets are validated against the configuration they result in."""

    def test_error_names_the_invalid_field(self) -> None:
        """Guards against a configuration with dangling references.

        Covers invalid fields and references to missing or deleted entities.
        """
        documents = base_documents()
        for position, case in enumerate(INVALID_CASES):
            with self.subTest(
                position=position, invalid_field=case.invalid_field
            ):
                failure = apply(documents, ticket(*case.changes)).unwrap_err()
                self.assertEqual(errors.ErrorKind.INVALID_TICKET, failure.kind)
                self.assertIn(case.invalid_field, failure.message)

    def test_apply_keeps_old_documents(self) -> None:
        """Guards against a refused ticket that modifies the documents.

        ``apply_ticket`` must return new documents and keep its argument.
        """
        documents = base_documents()
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

    def test_deletes_entities_that_refer_to_each_other(self) -> None:
        """Guards against validating the changes one by one, in order.

        A ticket may delete an entity before the entities that refer to it.
        """
        changes = [
            change('service', 'jobs', None),
            change('backend_server', 's1', None),
            change('key', 'k0', None),
            change('key', 'k1', None),
            change('client_account', 'cafe', None),
        ]
        after = apply(base_documents(), ticket(*changes)).unwrap()
        self.assertEqual({}, after[config.EntityKind.SERVICE])

    def test_rejects_section_above_store_limit(self) -> None:
        """Guards against a section that the store rejects during commit."""
        blocks = ['2001:db8::/32'] * 70_000
        failure = apply(
            base_documents(),
            ticket(change('site', 'x', {'region': 'a', 'blocks': blocks})),
        ).unwrap_err()
        self.assertIn('changes[0].state: section site/', failure.message)

    def test_digest_depends_on_changes_only(self) -> None:
        """Guards against different changes with the same digest."""
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
