"""Tests of client address blocks and look-up answers."""

from concurrent import futures
import ipaddress
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import delivery
from filbertstep import errors
from filbertstep import lookup
from filbertstep import systems

BLOCK_COUNT = 100_000
MAX_BYTES_PER_BLOCK = 24

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class AddressCase(typing.NamedTuple):
    """An address and the expected site."""

    address: str
    site: str | None


SITES = {
    'city': ['10.0.0.0/8', '2001:db8::/32'],
    'cafe': ['10.1.0.0/16', '10.255.255.0/24', '2001:db8:1::/48'],
    'till': ['10.1.2.3/32', '2001:db8:1:2::/64'],
    'edge': ['0.0.0.0/32', '255.255.255.0/24', 'ffff::/16'],
}
ADDRESS_CASES = [
    AddressCase('10.0.0.0', 'city'),
    AddressCase('9.255.255.255', None),
    AddressCase('10.1.0.0', 'cafe'),
    AddressCase('10.1.2.3', 'till'),
    AddressCase('10.1.2.4', 'cafe'),
    AddressCase('10.2.0.0', 'city'),
    AddressCase('10.255.255.255', 'cafe'),
    AddressCase('11.0.0.0', None),
    AddressCase('0.0.0.0', 'edge'),
    AddressCase('0.0.0.1', None),
    AddressCase('255.255.255.255', 'edge'),
    AddressCase('::ffff:10.1.2.3', 'till'),
    AddressCase('2001:db8::1', 'city'),
    AddressCase('2001:db8:1::1', 'cafe'),
    AddressCase('2001:db8:1:2:ffff::1', 'till'),
    AddressCase('2001:db8:1:3::', 'cafe'),
    AddressCase('2001:db9::', None),
    AddressCase('ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff', 'edge'),
    AddressCase('', None),
    AddressCase('10.1', None),
    AddressCase('name', None),
    AddressCase('10.1.2.3\x00', None),
    AddressCase('\ud800', None),
]


def v4_block(number: int, length: int) -> str:
    """Return the IPv4 block of a prefix length that contains an address."""
    return str(ipaddress.IPv4Network((number, length), strict=False))


def random_block(chance: random.Random, family: str) -> str:
    """Return a random IPv4 /28 or IPv6 /64 block."""
    if family == 'IPv4':
        a, b, c, d = (chance.getrandbits(28) << 4).to_bytes(4)
        return f'{a}.{b}.{c}.{d}/28'
    parts = [f'{chance.getrandbits(16):x}' for _ in range(3)]
    return f'2001:{":".join(parts)}::/64'


V4_BLOCKS = strategies.builds(
    v4_block, strategies.integers(0, 2**32 - 1), strategies.integers(0, 32)
)
SITE_BLOCKS = strategies.dictionaries(
    strategies.sampled_from('abcdef'), strategies.lists(V4_BLOCKS, max_size=8)
)


class TestBlockTable(unittest.TestCase):
    """The block table finds the longest prefix match."""

    def test_longest_match(self) -> None:
        """Guards against wrong boundaries of nested blocks.

        Also covers the first and last address and malformed addresses.
        """
        table = lookup.BlockTable(SITES)
        for case in ADDRESS_CASES:
            with self.subTest(address=case.address):
                self.assertEqual(case.site, table.find(case.address))

    def test_empty_table(self) -> None:
        """Guards against a search in empty arrays."""
        table = lookup.BlockTable({})
        self.assertIsNone(table.find('10.0.0.1'))
        self.assertIsNone(table.find('::1'))

    def test_skips_malformed_and_too_long_blocks(self) -> None:
        """Guards against an unusable block that breaks the other blocks."""
        table = lookup.BlockTable({'a': ['2001:db8::/96', 'x/8', '1.2.3.4']})
        self.assertEqual(2, table.skipped_blocks)
        self.assertIsNone(table.find('2001:db8::1'))
        self.assertEqual('a', table.find('1.2.3.4'))

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(SITE_BLOCKS, strategies.randoms(use_true_random=False))
    def test_same_as_a_search_through_all(
        self, sites: dict[str, list[str]], chance: random.Random
    ) -> None:
        """Guards against faults of the flattening."""
        networks = [
            (ipaddress.IPv4Network(block), site)
            for site, blocks in sites.items()
            for block in blocks
        ]
        owners: dict[ipaddress.IPv4Network, set[str]] = {}
        for network, site in networks:
            owners.setdefault(network, set()).add(site)
        table = lookup.BlockTable(sites)
        for network in owners:
            first = int(network.network_address)
            last = int(network.broadcast_address)
            near = [first - 1, first, last, last + 1]
            near.append(chance.randint(first, last))
            for number in near:
                if not 0 <= number < 2**32:
                    continue
                address = ipaddress.IPv4Address(number)
                inside = [one for one in owners if address in one]
                longest = max(
                    inside, key=lambda one: one.prefixlen, default=None
                )
                expected = {None} if longest is None else owners[longest]
                self.assertIn(table.find(str(address)), expected)

    def test_bytes_per_block(self) -> None:
        """Guards against a table that needs too much memory."""
        chance = random.Random(1)
        for family in ('IPv4', 'IPv6'):
            with self.subTest(family=family):
                blocks: set[str] = set()
                while len(blocks) < BLOCK_COUNT:
                    blocks.add(random_block(chance, family))
                ordered = sorted(blocks)
                table = lookup.BlockTable(
                    {f's{n}': ordered[n::260] for n in range(260)}
                )
                per_block = table.size_bytes() / BLOCK_COUNT
                self.assertLess(per_block, MAX_BYTES_PER_BLOCK)
                self.assertGreater(per_block, 0)


class FakeMembership(systems.Membership):
    """Membership with live VMs set by the test."""

    def __init__(self) -> None:
        self.vms: list[systems.LiveVm] = []

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the VMs set by the test."""
        return self.vms


class FakeFreshness(systems.Freshness):
    """Freshness set by the test."""

    def __init__(self) -> None:
        self.value = True

    def is_fresh(self, now: float) -> bool:
        """Return the value set by the test."""
        return self.value


def live_vm(vm: str, zone: str, **changes: typing.Any) -> systems.LiveVm:
    """Return a live VM in an availability zone such as ``hobart-a``."""
    return systems.LiveVm(
        vm=vm,
        incarnation=f'{vm}-i',
        region=zone.partition('-')[0],
        availability_zone=zone,
        state='serving',
        url=f'http://{vm}',
        minute=7,
        load=0.0,
    )._replace(**changes)


def make_view(index: int, **more: typing.Any) -> config.View:
    """Return a view with three regions, a service and two sites.

    The region of the site ``lost`` does not exist.  ``more`` are drains.
    """
    documents = config.empty_documents()
    names = ['hobart', 'launceston', 'burnie']
    for name in names:
        near = [other for other in reversed(names) if other != name]
        documents[config.EntityKind.REGION][name] = {
            'availability_zones': [f'{name}-a', f'{name}-b'],
            'near': near,
        }
    documents[config.EntityKind.SERVICE]['bookings'] = {
        'path_prefix': '/bookings',
        'work': 'interactive',
        'open': False,
        'idempotent_methods': ['GET'],
        'deadline_ms': 2000,
        'max_body_bytes': 1000,
        'queue_limit': 10,
        'regions': {'hobart': 1.0},
        'objective': {
            'in_time_ms': 100,
            'in_time_share': 0.99,
            'served_share': 0.99,
        },
    }
    documents[config.EntityKind.SITE]['cafe'] = {
        'region': 'burnie',
        'blocks': ['10.3.0.0/16'],
    }
    documents[config.EntityKind.SITE]['lost'] = {
        'region': 'nowhere',
        'blocks': ['10.4.0.0/16'],
    }
    documents[config.EntityKind.DRAIN].update(more)
    head = config.empty_head()
    sections = {}
    for name, content in config.split_into_sections(documents).items():
        key = config.section_key(name, content)
        head['sections'][name] = key
        sections[key] = content
    return config.make_view(index, head, sections)


class TestLookup(unittest.TestCase):
    """Look-up answers: order of the VMs, grants, and updates."""

    def setUp(self) -> None:
        """Create the look-up system of a VM in Hobart, with five other VMs."""
        self.clock = clock.FakeClock(600.0)
        self.views = config.ViewTable()
        self.views.add_view(make_view(1), 0.0)
        self.membership = FakeMembership()
        self.membership.vms = [
            live_vm('vm-2', 'hobart-b'),
            live_vm('vm-3', 'launceston-a'),
            live_vm('vm-4', 'launceston-b'),
            live_vm('vm-5', 'burnie-a'),
            live_vm('vm-6', 'burnie-b', load=0.9),
        ]
        self.freshness = FakeFreshness()
        self.system = lookup.LookupSystem(
            lookup.Identity(
                'vm-1', 'vm-1-i', 'hobart', 'hobart-a', 'http://vm-1'
            ),
            self.clock,
            self.views,
            self.membership,
            self.freshness,
        )
        self.tick()

    def tick(self) -> None:
        """Run one tick."""
        self.system.tick(self.clock.now())

    def change(self, vm: str, **changes: typing.Any) -> None:
        """Change fields of a live VM and run one tick."""
        self.membership.vms = [
            row._replace(**changes) if row.vm == vm else row
            for row in self.membership.vms
        ]
        self.tick()

    def look_up(self, client: str | None = None) -> lookup.LookupDoc:
        """Return the decoded answer for a client."""
        answer = self.system.answer('bookings', client).unwrap()
        return codec.decode(answer, lookup.LookupDoc).unwrap()

    def vm_names(self, client: str | None = None) -> list[str]:
        """Return the names of the VMs in the answer for a client."""
        return [row['vm'] for row in self.look_up(client)['vms']]

    def test_prefers_near_then_low_load_then_own_zone(self) -> None:
        """Guards against sending callers to a distant or busy VM."""
        self.assertEqual(
            ['vm-1', 'vm-2', 'vm-5', 'vm-6', 'vm-3', 'vm-4'], self.vm_names()
        )
        self.assertEqual(
            ['vm-5', 'vm-6', 'vm-3', 'vm-4', 'vm-1', 'vm-2'],
            self.vm_names('10.3.4.5'),
        )
        self.system.load = 0.8
        self.tick()
        self.assertEqual(['vm-2', 'vm-1'], self.vm_names()[:2])

    def test_unknown_clients_get_vms_of_own_region(self) -> None:
        """Guards against a client without an answer.

        The site of such a client is unknown or has an unknown region.
        """
        for client in ('10.4.0.1', '192.0.2.1', 'x', '::1'):
            with self.subTest(client=client):
                self.assertEqual('vm-1', self.vm_names(client)[0])

    def test_rotates_vms_of_equal_preference(self) -> None:
        """Guards against sending all callers to one of two equal VMs."""
        self.change('vm-6', load=0.0)
        client = '10.3.4.5'
        firsts = [self.vm_names(client)[0] for _ in range(4)]
        self.assertEqual(['vm-5', 'vm-6', 'vm-5', 'vm-6'], firsts)

    def test_omits_vms_that_are_not_serving(self) -> None:
        """Guards against sending new callers to a VM that stops or starts."""
        for state in ('draining', 'leaving', 'joining'):
            with self.subTest(state=state):
                self.change('vm-2', state=state)
                self.assertNotIn('vm-2', self.vm_names())
        self.change('vm-2', state='serving')
        self.system.state = 'draining'
        self.tick()
        self.assertNotIn('vm-1', self.vm_names())

    def test_omits_drained_vm(self) -> None:
        """Guards against look-ups that ignore the planned drain of a VM."""
        drain = {'target_kind': 'vm', 'target': 'vm-2'}
        self.views.add_view(make_view(2, d=drain), self.clock.now())
        self.tick()
        self.assertNotIn('vm-2', self.vm_names())

    def test_draining_vm_is_used_if_no_vm_is_serving(self) -> None:
        """Guards against an empty answer while a draining VM still serves."""
        self.membership.vms = []
        self.system.state = 'draining'
        self.tick()
        self.assertEqual(['vm-1'], self.vm_names())

    def test_backup_is_in_another_zone(self) -> None:
        """Guards against losing a request id with one availability zone.

        This happens if owner and backup of a grant are in the same zone.
        """
        zones = {'vm-1': 'hobart-a'}
        zones.update(
            (row.vm, row.availability_zone) for row in self.membership.vms
        )
        for row in self.look_up()['vms']:
            with self.subTest(vm=row['vm']):
                grant = delivery.parse_grant(row['grant']).unwrap()
                self.assertEqual(row['vm'], grant.owner)
                self.assertEqual(f'{row["vm"]}-i', grant.owner_incarnation)
                self.assertEqual(f'{grant.backup}-i', grant.backup_incarnation)
                self.assertNotEqual(zones[row['vm']], zones[grant.backup])
                minute = 10 if grant.backup == 'vm-1' else 7
                self.assertEqual(minute, grant.minute)

    def test_backup_with_few_vms(self) -> None:
        """Guards against a grant without a backup if there are few VMs."""
        self.membership.vms = [live_vm('vm-2', 'hobart-a')]
        self.tick()
        grants = [
            delivery.parse_grant(row['grant']).unwrap()
            for row in self.look_up()['vms']
        ]
        self.assertEqual(['vm-2', 'vm-1'], [row.backup for row in grants])
        self.membership.vms = []
        self.tick()
        grant = delivery.parse_grant(self.system.own_grant()).unwrap()
        self.assertEqual(('vm-1', 10), (grant.backup, grant.minute))

    def test_prepares_answers_only_after_changes(self) -> None:
        """Guards against outdated grants and against needless encoding."""
        prepared = self.system.prepared_answers
        self.clock.advance(0.1)
        self.tick()
        self.assertIs(prepared, self.system.prepared_answers)
        for change in (
            lambda: self.clock.advance(60.0),
            lambda: self.change('vm-3', minute=8),
            lambda: self.change('vm-3', incarnation='other'),
            lambda: self.views.add_view(make_view(2), 0.0),
        ):
            prepared = self.system.prepared_answers
            change()
            self.tick()
            self.assertIsNot(prepared, self.system.prepared_answers)

    def test_uses_blocks_of_new_sites(self) -> None:
        """Guards against using the blocks of a former configuration."""
        blocks = self.system.block_table
        self.views.add_view(make_view(2), 0.0)
        self.tick()
        self.assertIs(blocks, self.system.block_table)
        view = make_view(3)
        self.views.add_view(
            view._replace(
                config=view.config._replace(
                    sites={'x': config.Site('x', 'burnie', ('192.0.2.0/24',))}
                ),
                head={**view.head, 'sections': {'site/0': 'other'}},
            ),
            0.0,
        )
        self.tick()
        self.assertEqual('vm-5', self.vm_names('192.0.2.9')[0])

    def test_builds_large_tables_in_background(self) -> None:
        """Guards against a tick that blocks the event loop."""
        blocks = tuple(
            f'10.{number >> 8}.{number & 255}.0/24' for number in range(3000)
        )
        view = make_view(2)
        sites = {'x': config.Site('x', 'burnie', blocks)}
        self.views.add_view(
            view._replace(
                config=view.config._replace(sites=sites),
                head={**view.head, 'sections': {'site/0': 'other'}},
            ),
            0.0,
        )
        before = self.system.block_table
        self.tick()
        self.assertIs(before, self.system.block_table)
        assert self.system.pending_table is not None
        futures.wait([self.system.pending_table], timeout=30)
        self.tick()
        self.assertEqual('x', self.system.block_table.find('10.11.1.9'))
        self.assertEqual('vm-5', self.vm_names('10.0.0.1')[0])

    def test_failures(self) -> None:
        """Guards against answers from a VM with expired evidence."""
        failure = self.system.answer('other', None).unwrap_err()
        self.assertIs(errors.ErrorKind.NOT_FOUND, failure.kind)
        self.freshness.value = False
        answer = self.system.answer('bookings', None)
        self.assertIsInstance(answer, result.Err)
        failure = answer.unwrap_err()
        self.assertIs(errors.ErrorKind.NO_FRESH_CONFIG, failure.kind)
        self.assertIsNotNone(failure.retry_after_s)
