"""The platform adapter: documents, settings and the store client."""

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
    """Decoding of the documents of the operator and the servers."""

    def decode(self, key: str, value: object) -> typing.Any:
        """Return a decoded document; Any: documents have several types."""
        text = json.dumps(value).encode()
        return _documents.PlatformDecoder().decode(key, text).unwrap()

    def test_a_configuration_is_decoded(self) -> None:
        """Guards against fields that are read from the wrong place."""
        configuration = self.decode('op/config', CONFIGURATION)
        self.assertEqual(configuration.version, 7)
        first, second = configuration.routes
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
        account = configuration.accounts['acme']
        self.assertEqual(account.api_keys, {'first', 'second'})
        self.assertEqual((account.rate_per_s, account.burst_tokens), (68, 70))
        self.assertEqual(account.home_regions, {'hobart'})
        self.assertEqual(configuration.accounts['free'].rate_per_s, 0.0)
        self.assertEqual(configuration.services['orders'].cold_per_s, 2.7)
        self.assertEqual(configuration.limits.max_body_bytes, 1000)
        self.assertEqual(configuration.limits.header_timeout_s, 3.0)
        self.assertEqual(configuration.limits.idle_timeout_s, 15.0)

    def test_times_of_limits_are_optional(self) -> None:
        """Guards against a configuration that is unreadable without them."""
        defaults = steering.Limits()
        for limits in (
            {},
            {'header_timeout_ms': None, 'idle_timeout_ms': None},
            {'header_timeout_ms': 0, 'idle_timeout_ms': -1},
        ):
            with self.subTest(limits=limits):
                configuration = self.decode(
                    'op/config', {**CONFIGURATION, 'limits': limits}
                )
                self.assertEqual(configuration.limits, defaults)

    def test_a_server_entry_is_decoded(self) -> None:
        """Guards against confusing the fields of a server entry."""
        server = self.decode('servers/i-1', SERVER)
        self.assertEqual(
            server,
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

    def test_invalid_entries_are_rejected(self) -> None:
        """Guards against accepting entries in an unknown format."""
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
                decoded = decoder.decode(
                    'servers/i-1', json.dumps(value).encode()
                )
                self.assertIsInstance(decoded, result.Err)
        decoded = decoder.decode('servers/i-1', b'\xff\x00\xfe')
        self.assertIsInstance(decoded, result.Err)

    def test_the_recency_of_values_is_decoded(self) -> None:
        """Guards against an older entry that replaces a newer one."""
        decoder = _documents.PlatformDecoder()
        for key, value, expected in (
            ('servers/i-1', SERVER, entry.Recency(1700000000123, 4)),
            ('op/config', CONFIGURATION, entry.Recency(0, 7)),
            ('op/evacuate/z', {}, None),
            ('servers/i-1', {**SERVER, 'status': {}}, None),
            ('op/config', {**CONFIGURATION, 'version': 'seven'}, None),
        ):
            with self.subTest(key=key, expected=expected):
                found = decoder.recency(key, json.dumps(value).encode())
                self.assertEqual(found, expected)

    def test_keys_are_classified(self) -> None:
        """Guards against decoding the project's own keys as the platform's."""
        kinds = entry.KeyKind
        for key, expected in (
            ('op/config', entry.ParsedKey(kinds.CONFIGURATION, '')),
            ('op/evacuate/z', entry.ParsedKey(kinds.EVACUATION, 'z')),
            ('servers/i', entry.ParsedKey(kinds.SERVER, 'i')),
            ('vms/x', entry.ParsedKey(kinds.OTHER, 'vms/x')),
        ):
            with self.subTest(key=key):
                parsed = _documents.PlatformDecoder().parse_key(key)
                self.assertEqual(parsed, expected)


def render_settings(changes: dict[str, object]) -> str:
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
        'limits.memory_mb': 300,
        **changes,
    }
    text = (ROOT / 'deploy' / 'settings.json5').read_text(encoding='utf-8')
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda match: json.dumps(values.get(match[1], 1)),
        text,
    )


class TestServerNotices(unittest.TestCase):
    """What the answers of a server say about it."""

    def test_leaving_is_announced_by_a_header(self) -> None:
        """Guards against missing, or misreading, that a server leaves."""
        wire_format = platform.PlatformAdapter('').wire_format()
        for status, headers, expected in (
            (200, [('Server-Leaving', '1')], True),
            (503, [('server-leaving', ' 1 ')], True),
            (200, [('Server-Leaving', '0'), ('Server-Leaving', '1')], True),
            (200, [('Server-Leaving', '0')], False),
            (200, [('Server-Leaving', '')], False),
            (200, [('X-Other', '1')], False),
            (200, [], False),
            (421, [('Server-Leaving', '1')], False),
        ):
            with self.subTest(status=status, headers=headers):
                notice = wire_format.parse_server_notice(status, headers)
                self.assertEqual(notice.leaving, expected)

    def test_retry_after_of_a_503_asks_for_a_pause(self) -> None:
        """Guards against a pause that is missed, or was not asked for."""
        wire_format = platform.PlatformAdapter('').wire_format()
        for status, values, expected in (
            (503, ['5'], 5.0),
            (503, [' 0.25 '], 0.25),
            (503, ['1', '3', '2'], 3.0),
            (503, ['soon', '2'], 2.0),
            (503, ['0'], 0.0),
            (503, ['0.0'], 0.0),
            (503, ['-3'], 0.0),
            (503, ['nan'], 0.0),
            (503, ['inf'], 0.0),
            (503, ['1e9'], 0.0),
            (503, ['1_0'], 0.0),
            (503, ['\u0665'], 0.0),
            (503, [''], 0.0),
            (503, ['Sat, 05 Dec 2026 07:00:00 GMT'], 0.0),
            (503, ['9' * 400], float('inf')),
            (200, ['5'], 0.0),
            (429, ['5'], 0.0),
            (500, ['5'], 0.0),
            (421, ['5'], 0.0),
        ):
            with self.subTest(status=status, values=values):
                headers = [('retry-after', value) for value in values]
                notice = wire_format.parse_server_notice(status, headers)
                self.assertEqual(notice.pause_s, expected)


class TestSettings(unittest.TestCase):
    """Parsing of the settings file that the platform renders."""

    def test_the_rendered_template_is_valid(self) -> None:
        """Guards against a template that the parser does not accept."""
        settings = _settings.parse_settings(
            render_settings({'bounds.revoke_ms': 2000})
        ).unwrap()
        self.assertEqual(settings.vm, 'vm-1')
        self.assertEqual(settings.seed_addresses, ('10.0.0.2:3',))
        self.assertEqual(settings.bounds.key_withdrawal_s, 2.0)
        self.assertTrue(settings.first_start)
        self.assertEqual(settings.body_memory_bytes, 60 * 1024 * 1024)
        self.assertEqual(settings.answer_memory_bytes, 60 * 1024 * 1024)
        self.assertEqual(settings.request_memory_bytes, 30 * 1024 * 1024)
        self.assertEqual(settings.unread_memory_bytes, 45 * 1024 * 1024)
        self.assertEqual(settings.connection_memory_bytes, 75 * 1024 * 1024)
        self.assertEqual(settings.connection_share, 0.375)

    def test_errors_name_the_field(self) -> None:
        """Guards against starting with invalid settings."""
        for field, value, expected in (
            ('listen.front', 'nowhere', 'callers'),
            ('node_name', 7, 'vm'),
            ('zones', [], 'regions'),
            ('limits.memory_mb', 0, 'memory_mb'),
            ('limits.memory_mb', None, 'memory_mb'),
        ):
            with self.subTest(field=field):
                parsed = _settings.parse_settings(
                    render_settings({field: value})
                )
                self.assertIn(expected, parsed.unwrap_err())
        self.assertIn(
            'cannot read', _settings.load_settings('/none').unwrap_err()
        )

    def test_the_adapter_is_complete(self) -> None:
        """Guards against an adapter that lacks a component."""
        adapter = platform.PlatformAdapter('/none')
        self.assertIsInstance(adapter.load_settings(), result.Err)
        lookup = adapter.wire_format().parse_lookup(
            {'region': 'a', 'zone': 'b'}
        )
        self.assertEqual(lookup, entry.LookupQuery('a', 'b'))
        self.assertIsNone(adapter.wire_format().parse_lookup({'name': 'x'}))


class TestStore(unittest.IsolatedAsyncioTestCase):
    """The store client, run against the fake store."""

    async def asyncSetUp(self) -> None:
        """Start the fake store and a client."""
        self.fake_store = platform_store.FakePlatformStore()
        await self.fake_store.start()
        self.client = _store.PlatformStoreClient(
            f'http://{self.fake_store.address}', aiohttp.ClientSession(), 1.0
        )

    async def asyncTearDown(self) -> None:
        """Stop the client and the fake store."""
        await self.client.close()
        await self.fake_store.stop()

    async def test_all_pages_are_read(self) -> None:
        """Guards against losing items of later pages."""
        for number in range(12):
            self.fake_store.put(f'k{number:02}', str(number).encode())
        listing = (await self.client.list('')).unwrap()
        self.assertEqual(len(listing.changes), 12)
        self.assertEqual(listing.changes[11].value, b'11')
        self.assertEqual(listing.revision, self.fake_store.revision)

    async def test_a_slow_link_only_delays_a_large_page(self) -> None:
        """Guards against a VM that never receives the configuration.

        After all VMs were killed in trouble-3 of vleiland-mail-grown, those
        with links of 5 Mbit/s aborted each listing at the time limit of a
        call and restarted it, for the rest of the day.
        """
        value = bytes(30_000)
        self.fake_store.put('op/config', value)
        with tempfile.TemporaryDirectory() as folder:
            links = _standin_link.LinkStandin(
                '127.0.0.1',
                _history.HistoryWriter(f'{folder}/links', 'links', 'a'),
            )
            port = await links.add_relay(
                {'link': 'thin', 'port': 0, 'target': self.fake_store.address}
            )
            links.apply_patch({'thin': {'rate': 60_000.0}}).unwrap()
            client = _store.PlatformStoreClient(
                f'http://127.0.0.1:{port}', aiohttp.ClientSession(), 1.0
            )
            try:
                with mock.patch.object(_store, 'IDLE_TIMEOUT_S', 0.4):
                    listing = (await client.list('')).unwrap()
                    # A link that stops delivering data still fails the call
                    # within the idle timeout.
                    links.apply_patch({'thin': {'backward': 'hold'}}).unwrap()
                    silent = await client.list('')
            finally:
                await client.close()
                await links.close()
        self.assertEqual(listing.changes[0].value, value)
        self.assertTrue(silent.is_err())

    async def test_a_watch_returns_writes_and_deletions(self) -> None:
        """Guards against missed changes."""
        before = self.fake_store.put('a', b'1')
        self.fake_store.put('b', b'2')
        self.fake_store.delete('a')
        batch = (
            await self.client.watch('', entry.Position(1, before), 1.0)
        ).unwrap()
        self.assertEqual(
            [(item.key, item.value) for item in batch.changes],
            [('b', b'2'), ('a', None)],
        )

    async def test_an_empty_watch_ends_after_its_wait(self) -> None:
        """Guards against a watch that never confirms that data is current."""
        batch = (
            await self.client.watch(
                '', entry.Position(1, self.fake_store.revision), 0.05
            )
        ).unwrap()
        self.assertEqual(batch.changes, ())

    async def test_faults_are_distinguished(self) -> None:
        """Guards against confusing the kinds of faults."""
        faults = entry.StoreFault
        self.fake_store.put('a', b'1')
        self.fake_store.drop_history()
        gone = await self.client.watch('', entry.Position(1, 1), 0.1)
        self.assertEqual(gone.unwrap_err(), faults.HISTORY_GONE)
        lease = await self.client.renew_lease(entry.Lease(1, 5))
        self.assertEqual(lease.unwrap_err(), faults.LEASE_GONE)
        conflict = await self.client.delete_if_unchanged(
            'a', entry.Position(1, 1)
        )
        self.assertEqual(conflict.unwrap_err(), faults.CONFLICT)
        for status in (429, 503):
            self.fake_store.status = status
            refused = await self.client.write({'x': b''})
            self.assertEqual(refused.unwrap_err(), faults.REFUSED)

    async def test_a_lost_answer_is_reported_as_unavailable(self) -> None:
        """Guards against assuming that an unanswered write had no effect."""
        self.fake_store.drop_write_replies = True
        written = await self.client.write({'x': b'1'})
        self.assertEqual(written.unwrap_err(), entry.StoreFault.UNAVAILABLE)
        self.assertIn('x', self.fake_store.items)

    async def test_the_keys_of_a_lease_end_with_it(self) -> None:
        """Guards against keys that outlive their lease."""
        lease = (await self.client.grant_lease(3.0)).unwrap()
        await self.client.write({'vms/a': b'1'}, lease=lease)
        self.assertEqual(await self.client.renew_lease(lease), result.Ok(3.0))
        await self.client.revoke_lease(lease)
        self.assertNotIn('vms/a', self.fake_store.items)

    async def test_a_watch_of_an_older_era_is_not_continued(self) -> None:
        """Guards against a revision that a restored store gave out again."""
        older = self.fake_store.make_copy()
        known = entry.Position(1, self.fake_store.put('a', b'1'))
        self.fake_store.restore(older)
        self.fake_store.put('b', b'2')
        self.fake_store.put('b', b'3')
        gone = await self.client.watch('', known, 0.1)
        self.assertEqual(gone.unwrap_err(), entry.StoreFault.HISTORY_GONE)
        self.assertEqual(self.client.era, 2)
        listing = (await self.client.list('')).unwrap()
        self.assertEqual(
            listing.position, entry.Position(2, self.fake_store.revision)
        )

    async def test_pages_of_two_eras_are_not_joined(self) -> None:
        """Guards against a restore while a listing is under way."""
        older = self.fake_store.make_copy()
        for number in range(12):
            self.fake_store.put(f'k{number:02}', b'')
        call = self.client.call

        async def restore_after_first_page(*args: typing.Any) -> typing.Any:
            # Any: the arguments of the replaced method.
            page = await call(*args)
            if self.fake_store.era == 1:
                self.fake_store.restore(older)
            return page

        with mock.patch.object(self.client, 'call', restore_after_first_page):
            listing = await self.client.list('')
        self.assertEqual(listing.unwrap_err(), entry.StoreFault.HISTORY_GONE)

    async def test_late_answers_of_an_older_era_are_not_used(self) -> None:
        """Guards against an answer that was sent before the restore."""
        self.client.era = 2
        listing = await self.client.list('')
        self.assertEqual(listing.unwrap_err(), entry.StoreFault.UNAVAILABLE)

    async def test_a_fault_tells_the_era_too(self) -> None:
        """Guards against noticing a restore late while the store is busy."""
        self.fake_store.era = 4
        self.fake_store.status = 503
        refused = await self.client.grant_lease(3.0)
        self.assertEqual(refused.unwrap_err(), entry.StoreFault.REFUSED)
        self.assertEqual(self.client.era, 4)

    async def test_leases_of_an_older_era_have_ended(self) -> None:
        """Guards against renewing a lease that now is another VM's."""
        older = self.fake_store.make_copy()
        lease = (await self.client.grant_lease(3.0)).unwrap()
        self.fake_store.restore(older)
        other = _store.PlatformStoreClient(
            f'http://{self.fake_store.address}', self.client.session, 1.0
        )
        reused = (await other.grant_lease(3.0)).unwrap()
        self.assertEqual(reused.lease_id, lease.lease_id)
        gone = entry.StoreFault.LEASE_GONE
        renewed = await self.client.renew_lease(lease)
        self.assertEqual(renewed.unwrap_err(), gone)
        written = await self.client.write({'vms/a': b''}, lease)
        self.assertEqual(written.unwrap_err(), gone)
        self.assertNotIn('vms/a', self.fake_store.items)
        ended = await self.client.revoke_lease(lease)
        self.assertEqual(ended.unwrap_err(), gone)
        self.assertIn(reused.lease_id, self.fake_store.leases)

    async def test_a_condition_of_an_older_era_does_not_hold(self) -> None:
        """Guards against deleting a key that was written again."""
        older = self.fake_store.make_copy()
        known = entry.Position(1, self.fake_store.put('fleet/a', b''))
        self.fake_store.restore(older)
        self.fake_store.put('fleet/a', b'')
        await self.client.list('')
        removed = await self.client.delete_if_unchanged('fleet/a', known)
        self.assertEqual(removed.unwrap_err(), entry.StoreFault.CONFLICT)
        self.assertIn('fleet/a', self.fake_store.items)

    async def test_one_odd_item_hides_no_other(self) -> None:
        """Guards against a listing or watch that fails for one item."""
        odd_changes: tuple[dict[str, object], ...] = (
            {'value': 'not Base64'},
            {'value': 7},
            {'value': None},
            {'revision': 'x'},
            {'revision': 10**30},
            {'revision': 0.5},
        )
        for changes in odd_changes:
            with self.subTest(changes=changes):
                before = self.fake_store.put('k1', b'1')
                self.fake_store.put('k2', b'2')
                self.fake_store.put('k3', b'3')
                odd_item = {**self.fake_store.items['k2'], **changes}
                self.fake_store.items['k2'] = odd_item
                listing = (await self.client.list('')).unwrap()
                values = {one.key: one.value for one in listing.changes}
                self.assertEqual((values['k1'], values['k3']), (b'1', b'3'))
                self.assertIn(values.get('k2', b''), (b'', b'2'))
                self.assertEqual(listing.revision, self.fake_store.revision)
                # The history filters by revision.
                if 'revision' not in changes:
                    self.fake_store.events[-2].update(changes)
                    known = entry.Position(self.client.era, before)
                    batch = (await self.client.watch('', known, 1.0)).unwrap()
                    self.assertEqual(batch.changes[-1].value, b'3')

    async def test_pages_continue_after_an_odd_item(self) -> None:
        """Guards against a listing that ends at an odd item."""
        for number in range(12):
            self.fake_store.put(f'k{number:02}', b'1')
        odd_key = f'k{platform_store.PAGE_ITEMS - 1:02}'
        self.fake_store.items[odd_key]['revision'] = None
        listing = (await self.client.list('')).unwrap()
        self.assertEqual(len({one.key for one in listing.changes}), 11)
