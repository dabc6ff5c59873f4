"""The adapter: documents, settings and the store's client."""

import json
import pathlib
import re
import tempfile
import typing
import unittest
from unittest import mock

import aiohttp
import result

from filbertstep import _history
from filbertstep import _standin_link
from filbertstep import entry
from filbertstep import platform
from filbertstep import steering
from filbertstep.platform import _documents
from filbertstep.platform import _settings
from filbertstep.platform import _store
from tests import platform_store

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent

CONFIGURATION: typing.Final[dict[str, typing.Any]] = {
    'version': 'r7',
    'limits': {
        'header_bytes': 16384,
        'body_bytes': 1000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'acme',
            'api_keys': ['first', 'second'],
            'priority': 1,
            'rate_per_s': 68,
            'burst': 70,
            'home_regions': ['hobart'],
        },
        {'name': 'free', 'api_keys': []},
    ],
    'listeners': [
        {
            'host': 'Shop.Example',
            'rules': [
                {
                    'name': 'r-1',
                    'kind': 'non_idempotent',
                    'target_latency_ms': 600,
                    'priority': 1,
                    'public': False,
                    'sticky': True,
                    'match': {'prefix': '/orders/'},
                    'action': {
                        'service': 'orders',
                        'timeout_ms': 2000,
                        'attempts': 2,
                        'home_regions': [],
                    },
                },
                {
                    'name': 'r-2',
                    'kind': 'idempotent',
                    'match': {'prefix': '/stock/'},
                    'action': {
                        'split': [
                            {'service': 'orders', 'weight': 90},
                            {'service': 'stock', 'weight': 10},
                        ],
                        'timeout_ms': 1500,
                        'attempts': 2,
                    },
                },
            ],
        }
    ],
    'clusters': [
        {
            'name': 'orders',
            'health_path': '/health',
            'max_conns': 390,
            'protocol': 'h1',
            'tls': False,
            'cold_start_s': 3.0,
            'cold_per_s': 2.7,
        }
    ],
    'field_of_tomorrow': {'x': 1},
}

SERVER: typing.Final[dict[str, typing.Any]] = {
    'address': '10.0.0.9:8080',
    'born': 1700000000123,
    'info': {
        'service': 'orders',
        'version': 'v1',
        'zone': 'hobart-a',
        'slots': 3,
    },
    'status': {'state': 'ready', 'seq_no': 4, 'cold_left_ms': 1500},
}


class TestDocuments(unittest.TestCase):
    """What the operator and the servers write."""

    def decode(self, key: str, value: object) -> typing.Any:
        """Return the row of a document; Any: rows of several types."""
        text = json.dumps(value).encode()
        return _documents.PlatformDecoder().decode(key, text).unwrap()

    def test_a_configuration_is_read_whole(self) -> None:
        """Guards against fields that are read from the wrong place."""
        found = self.decode('op/config', CONFIGURATION)
        self.assertEqual(found.version, 7)
        first, second = found.routes
        self.assertEqual(first.host, 'shop.example')
        self.assertFalse(first.idempotent)
        self.assertEqual(first.timeout_s, 2.0)
        self.assertEqual(first.target_s, 0.6)
        self.assertTrue(second.idempotent)
        self.assertEqual(
            second.destinations,
            (
                steering.Destination('orders', 90),
                steering.Destination('stock', 10),
            ),
        )
        account = found.accounts['acme']
        self.assertEqual(account.api_keys, {'first', 'second'})
        self.assertEqual((account.rate_per_s, account.burst_tokens), (68, 70))
        self.assertEqual(account.home_regions, {'hobart'})
        self.assertEqual(found.accounts['free'].rate_per_s, 0.0)
        self.assertEqual(found.services['orders'].cold_per_s, 2.7)
        self.assertEqual(found.limits.max_body_bytes, 1000)

    def test_a_server_is_read_whole(self) -> None:
        """Guards against mistaking the server's fields."""
        found = self.decode('servers/i-1', SERVER)
        self.assertEqual(
            found,
            steering.ServerEntry(
                server_id='i-1',
                service='orders',
                address='10.0.0.9:8080',
                availability_zone='hobart-a',
                slots=3,
                draining=False,
                cold_left_s=1.5,
                incarnation=1700000000123,
            ),
        )

    def test_foreign_entries_name_no_server(self) -> None:
        """Guards against entries of another writer."""
        info, status = SERVER['info'], SERVER['status']
        wrong: list[object] = [
            {},
            [],
            'text',
            {**SERVER, 'address': 7},
            {**SERVER, 'address': 'nowhere'},
            {**SERVER, 'info': {**info, 'slots': 'many'}},
            {**SERVER, 'info': {'service': 'orders'}},
            {**SERVER, 'status': {**status, 'state': 'dancing'}},
            {**SERVER, 'status': {}},
        ]
        decoder = _documents.PlatformDecoder()
        for value in wrong:
            with self.subTest(value=value):
                found = decoder.decode(
                    'servers/i-1', json.dumps(value).encode()
                )
                self.assertIsInstance(found, result.Err)
        found = decoder.decode('servers/i-1', b'\xff\x00\xfe')
        self.assertIsInstance(found, result.Err)

    def test_subjects(self) -> None:
        """Guards against reading this system's own keys as the platform's."""
        kinds = entry.KeyKind
        for key, expected in (
            ('op/config', entry.ParsedKey(kinds.CONFIGURATION, '')),
            ('op/evacuate/z', entry.ParsedKey(kinds.EVACUATION, 'z')),
            ('servers/i', entry.ParsedKey(kinds.SERVER, 'i')),
            ('vms/x', entry.ParsedKey(kinds.OTHER, 'vms/x')),
        ):
            with self.subTest(key=key):
                found = _documents.PlatformDecoder().parse_key(key)
                self.assertEqual(found, expected)


def rendered(changes: dict[str, object]) -> str:
    """Return the settings template with sample values filled in."""
    values: dict[str, object] = {
        'node_name': 'vm-1',
        'ip': '10.0.0.1',
        'zone': 'hobart-a',
        'region': 'hobart',
        'listen.front': '10.0.0.1:1',
        'listen.ready': '10.0.0.1:2',
        'listen.control': '10.0.0.1:3',
        'listen.directory': '10.0.0.1:4',
        'port_range.1': 7235,
        'seeds': ['10.0.0.2:3'],
        'zones': {'hobart-a': 'hobart'},
        'platform.address': '10.0.0.9:5',
        'platform.ttl_min_ms': 1000,
        'bootstrap': True,
        **changes,
    }
    text = (ROOT / 'deploy' / 'settings.json5').read_text(encoding='utf-8')
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda found: json.dumps(values.get(found[1], 1)),
        text,
    )


class TestSettings(unittest.TestCase):
    """The settings file that the platform renders."""

    def test_the_template_yields_settings(self) -> None:
        """Guards against a template and a decoder that differ."""
        found = _settings.parse_settings(
            rendered({'bounds.revoke_ms': 2000})
        ).unwrap()
        self.assertEqual(found.vm, 'vm-1')
        self.assertEqual(found.seed_addresses, ('10.0.0.2:3',))
        self.assertEqual(found.bounds.key_withdrawal_s, 2.0)
        self.assertTrue(found.first_start)

    def test_faults_name_the_field(self) -> None:
        """Guards against a start on settings that make no sense."""
        for field, value, expected in (
            ('listen.front', 'nowhere', 'callers'),
            ('node_name', 7, 'vm'),
            ('zones', [], 'regions'),
        ):
            with self.subTest(field=field):
                found = _settings.parse_settings(rendered({field: value}))
                self.assertIn(expected, found.unwrap_err())
        self.assertIn(
            'cannot read', _settings.load_settings('/none').unwrap_err()
        )

    def test_the_platform_offers_its_parts(self) -> None:
        """Guards against an adapter that lacks a part."""
        adapter = platform.PlatformAdapter('/none')
        self.assertIsInstance(adapter.load_settings(), result.Err)
        lookup = adapter.wire_format().parse_lookup(
            {'region': 'a', 'zone': 'b'}
        )
        self.assertEqual(lookup, entry.LookupQuery('a', 'b'))
        self.assertIsNone(adapter.wire_format().parse_lookup({'name': 'x'}))


class TestStore(unittest.IsolatedAsyncioTestCase):
    """The store's client against the stand-in."""

    async def asyncSetUp(self) -> None:
        """Start the stand-in."""
        self.standin = platform_store.FakePlatformStore()
        await self.standin.start()
        self.store = _store.PlatformStoreClient(
            f'http://{self.standin.address}', aiohttp.ClientSession(), 1.0
        )

    async def asyncTearDown(self) -> None:
        """Stop the stand-in."""
        await self.store.close()
        await self.standin.stop()

    async def test_all_pages_are_read(self) -> None:
        """Guards against losing what stands on later pages."""
        for number in range(12):
            self.standin.put(f'k{number:02}', str(number).encode())
        found = (await self.store.list('')).unwrap()
        self.assertEqual(len(found.changes), 12)
        self.assertEqual(found.changes[11].value, b'11')
        self.assertEqual(found.revision, self.standin.revision)

    async def test_a_thin_link_delays_a_large_page_only(self) -> None:
        """Guards against a VM that never learns the configuration.

        After all VMs were killed, those with links of 5 Mbit/s broke off each
        listing at the limit of a call and began again, for the rest of the
        day (trouble-3 of vleiland-mail-grown).
        """
        value = bytes(30_000)
        self.standin.put('op/config', value)
        with tempfile.TemporaryDirectory() as folder:
            links = _standin_link.Links(
                '127.0.0.1', _history.Writer(f'{folder}/links', 'links', 'a')
            )
            port = await links.add(
                {'link': 'thin', 'port': 0, 'target': self.standin.address}
            )
            links.control({'thin': {'rate': 60_000.0}}).unwrap()
            store = _store.PlatformStoreClient(
                f'http://127.0.0.1:{port}', aiohttp.ClientSession(), 1.0
            )
            try:
                with mock.patch.object(_store, 'IDLE_TIMEOUT_S', 0.4):
                    found = (await store.list('')).unwrap()
                    # A link that falls silent still fails the call soon.
                    links.control({'thin': {'backward': 'hold'}}).unwrap()
                    silent = await store.list('')
            finally:
                await store.close()
                await links.close()
        self.assertEqual(found.changes[0].value, value)
        self.assertTrue(silent.is_err())

    async def test_a_watch_brings_writes_and_deletions(self) -> None:
        """Guards against changes that are not seen."""
        before = self.standin.put('a', b'1')
        self.standin.put('b', b'2')
        self.standin.delete('a')
        found = (await self.store.watch('', before, 1.0)).unwrap()
        self.assertEqual(
            [(item.key, item.value) for item in found.changes],
            [('b', b'2'), ('a', None)],
        )

    async def test_an_empty_watch_ends_after_its_wait(self) -> None:
        """Guards against freshness that is never confirmed."""
        found = (
            await self.store.watch('', self.standin.revision, 0.05)
        ).unwrap()
        self.assertEqual(found.changes, ())

    async def test_faults_are_told_apart(self) -> None:
        """Guards against taking one fault for another."""
        faults = entry.StoreFault
        self.standin.put('a', b'1')
        self.standin.drop_history()
        gone = await self.store.watch('', 1, 0.1)
        self.assertEqual(gone.unwrap_err(), faults.HISTORY_GONE)
        lease = await self.store.renew_lease(5)
        self.assertEqual(lease.unwrap_err(), faults.LEASE_GONE)
        conflict = await self.store.delete_if_unchanged('a', 1)
        self.assertEqual(conflict.unwrap_err(), faults.CONFLICT)
        for status in (429, 503):
            self.standin.status = status
            refused = await self.store.write({'x': b''})
            self.assertEqual(refused.unwrap_err(), faults.REFUSED)

    async def test_a_lost_answer_is_no_answer(self) -> None:
        """Guards against taking a write whose answer was lost for undone."""
        self.standin.drop_write_replies = True
        found = await self.store.write({'x': b'1'})
        self.assertEqual(found.unwrap_err(), entry.StoreFault.UNAVAILABLE)
        self.assertIn('x', self.standin.items)

    async def test_leases_carry_keys(self) -> None:
        """Guards against keys that outlive their lease."""
        lease = (await self.store.grant_lease(3.0)).unwrap()
        await self.store.write({'vms/a': b'1'}, lease=lease)
        self.assertEqual(await self.store.renew_lease(lease), result.Ok(3.0))
        await self.store.revoke_lease(lease)
        self.assertNotIn('vms/a', self.standin.items)
