"""Strikes in the store: what outlasts a process, a lease and a late write."""

import asyncio
import base64
import itertools
import json
import signal
import typing
import unittest

import aiohttp

from filbertstep import clock
from filbertstep import entry
from filbertstep import platform
from filbertstep import routing
from filbertstep.entry import _log
from filbertstep.entry import _messages
from filbertstep.entry import _state
from filbertstep.entry import _strikes
from filbertstep.platform import _store
from tests import entry_samples
from tests import platform_store
from tests import steering_samples as samples
from tests import test_entry_knowledge
from tests import test_entry_program
from tests import test_forward
from tests import test_platform_adapter as adapter_tests

POISON = '/orders/poison'

CRASHED_SERVERS = itertools.count()


def admitted(path: str) -> _messages.Admitted:
    """Return an admitted request of the account of the samples."""
    return _messages.Admitted(
        call=_messages.Call(
            request_id='id-1',
            method='GET',
            host='shop.example',
            path=path,
            headers=(),
            key='',
            affinity_key='',
            arrived_at=0.0,
            deadline=4.0,
        ),
        route=samples.route(),
        account=samples.account(),
        service='orders',
        allowed_regions=None,
        deadline=4.0,
        region=None,
    )


class Process:
    """The strikes of one process of a VM, and its replica of the store."""

    def __init__(
        self,
        vm: str,
        store: entry.StoreClient,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.clock = time_source
        self.store = store
        self.state = _state.State(
            entry_samples.settings(vm=vm),
            platform.PlatformAdapter('').decoder(),
            time_source,
            log,
        )
        self.strikes = self.state.strikes
        self.writer = _strikes.StrikeWriter(
            self.strikes, store, self.state.replica, log
        )

    async def read(self) -> None:
        """Read everything from the store."""
        listed = await self.store.list('')
        now = self.clock.now()
        self.state.replica.replace(listed.unwrap(), now, now)

    def strike(self, path: str = POISON, count: int = 1) -> None:
        """Record strikes of a request, each for another server."""
        for _ in range(count):
            self.crash(f'i-{next(CRASHED_SERVERS)}', path=path)

    def crash(
        self,
        server: str,
        born: int = 1,
        ran_s: float = 0.0,
        path: str = POISON,
    ) -> None:
        """Record a connection to a server that broke."""
        now = self.clock.now()
        self.strikes.record_strike(
            admitted(path), b'', routing.Crash(server, born, now - ran_s, now)
        )

    def is_quarantined(self, path: str = POISON) -> bool:
        """Return whether a request is refused."""
        left_s = self.strikes.quarantine_left_s(admitted(path), b'')
        return left_s is not None


class TestStrikesInStore(unittest.IsolatedAsyncioTestCase):
    """Processes that read and write the strikes of one store."""

    async def asyncSetUp(self) -> None:
        """Start a store."""
        self.clock = clock.FakeClock()
        self.log = test_entry_knowledge.make_log(self.clock)
        self.store = platform_store.FakePlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def process(self, vm: str) -> Process:
        """Return a process that has just read the store."""
        client = _store.PlatformStoreClient(
            f'http://{self.store.address}', self.session, 1.0
        )
        process = Process(vm, client, self.clock, self.log)
        await process.read()
        return process

    async def quarantined_by(self, *vms: str) -> Process:
        """Return the last of the processes that strike a request in turn."""
        for vm in vms:
            process = await self.process(vm)
            process.strike(count=1)
            await process.writer.write_changes()
        return process

    async def test_strikes_outlast_their_processes(self) -> None:
        """Guards against a rolling restart that frees a crashing request."""
        former = await self.quarantined_by('v1', 'v2', 'v1')
        # The end of the VMs' own leases takes nothing away.
        self.assertTrue(all(key.startswith('strikes/') for key in self.keys()))
        started = await self.process('v1')
        self.assertTrue(started.is_quarantined())
        await former.read()
        self.assertTrue(former.is_quarantined())

    def keys(self) -> list[str]:
        """Return the keys in the store."""
        return list(self.store.items)

    async def test_keys_last_as_long_as_a_quarantine(self) -> None:
        """Guards against rows of ended processes that nobody deletes."""
        process = await self.quarantined_by('v1')
        (key,) = self.keys()
        lease = self.store.items[key]['lease']
        self.assertEqual(
            self.store.lease_lifetimes_s[lease], _strikes.QUARANTINE_S
        )
        renewed = self.store.calls.get('kv-keep', 0)
        process.strike()
        await process.writer.write_changes()
        self.assertEqual(self.store.items[key]['lease'], lease)
        self.assertEqual(self.store.calls['kv-keep'], renewed + 1)
        # The strikes have expired, and the store has deleted the key.
        self.clock.advance(_strikes.QUARANTINE_S + 1.0)
        self.store.expire_lease(lease)
        process.strikes.quarantine.tick(self.clock.now())
        await process.read()
        await process.writer.write_changes()
        self.assertEqual(self.keys(), [])
        process.strike()
        await process.writer.write_changes()
        self.assertEqual(self.keys(), [key])

    async def test_late_older_row_is_replaced(self) -> None:
        """Guards against VMs that start and learn too few strikes."""
        process = await self.process('v1')
        process.strike()
        self.store.lost_keys = {process.strikes.key}
        await process.writer.write_changes()
        process.strike(count=2)
        await process.writer.write_changes()
        self.assertEqual(self.store.execute_late_writes(), [200])
        await process.read()
        await process.writer.write_changes()
        started = await self.process('v2')
        self.assertTrue(started.is_quarantined())

    async def test_key_that_ended_early_is_written_again(self) -> None:
        """Guards against strikes that are lost with their lease.

        The lease may end while the store does not take renewals.
        """
        process = await self.quarantined_by('v1', 'v2')
        process.strike()
        await process.writer.write_changes()
        lease = process.writer.lease
        assert lease is not None
        self.store.expire_lease(lease.lease_id)
        await process.read()
        await process.writer.write_changes()
        self.assertNotIn(process.writer.lease, (None, lease))
        started = await self.process('v3')
        self.assertTrue(started.is_quarantined())

    async def test_restored_store_gets_the_strikes_again(self) -> None:
        """Guards against strikes that the copy of the store lacks."""
        before = self.store.make_copy()
        process = await self.quarantined_by('v1', 'v2')
        process.strike()
        await process.writer.write_changes()
        self.store.restore(before)
        await process.read()
        await process.writer.write_changes()
        started = await self.process('v3')
        started.strike()
        self.assertTrue(started.is_quarantined())

    async def test_all_requests_of_an_account_are_written(self) -> None:
        """Guards against a restart that frees all but a few requests."""
        process = await self.process('v1')
        paths = [f'/orders/{number}' for number in range(20)]
        for path in paths:
            process.strike(path, count=3)
        await process.writer.write_changes()
        started = await self.process('v2')
        self.assertTrue(all(started.is_quarantined(path) for path in paths))

    async def test_cleared_strikes_leave_the_store(self) -> None:
        """Guards against a VM that starts and refuses a harmless request."""
        process = await self.process('v1')
        process.strike(count=3)
        await process.writer.write_changes()
        process.strikes.record_answer(admitted(POISON), b'')
        await process.writer.write_changes()
        started = await self.process('v2')
        self.assertFalse(started.is_quarantined())

    async def test_failed_withdrawal_is_repeated(self) -> None:
        """Guards against cleared strikes that stay for a whole quarantine."""
        process = await self.process('v1')
        process.strike(count=3)
        await process.writer.write_changes()
        process.strikes.record_answer(admitted(POISON), b'')
        self.store.status = 503
        await process.writer.write_changes()
        self.store.status = 0
        self.assertNotEqual(self.keys(), [])
        await process.writer.write_changes()
        self.assertEqual(self.keys(), [])

    async def test_vms_that_see_one_crash(self) -> None:
        """Guards against a quarantine as many VMs tell of one crash."""
        vms = [await self.process(f'v{number}') for number in range(4)]
        for vm in vms:
            for _ in range(2):
                vm.crash('i-1', ran_s=0.3)
            await vm.writer.write_changes()
        for vm in vms:
            await vm.read()
            self.assertFalse(vm.is_quarantined())
        vms[0].crash('i-2')
        self.assertFalse(vms[0].is_quarantined())
        # A server that starts again under its id crashes again.
        vms[1].crash('i-1', born=2)
        for vm in vms[:2]:
            await vm.writer.write_changes()
        for vm in vms:
            await vm.read()
            self.assertTrue(vm.is_quarantined())

    async def test_vms_of_the_former_version(self) -> None:
        """Guards against crashes that VMs of two versions do not add up.

        Rows of the former version tell numbers only.
        """
        process = await self.process('v1')
        process.crash('i-1')
        former = {
            'account': samples.account().name,
            'fingerprint': _strikes.request_fingerprint(admitted(POISON), b''),
            'strikes': 2,
            'age_s': 1.0,
        }
        self.store.put(
            'strikes/v2/former',
            json.dumps(
                {'incarnation': 'former', 'strikes': [former]}
            ).encode(),
        )
        await process.read()
        self.assertTrue(process.is_quarantined())
        # The former version reads its fields and ignores others.
        await process.writer.write_changes()
        (row,) = strikes_of(self.store.items[process.strikes.key])
        self.assertEqual(
            {name: type(row[name]) for name in former},
            {name: type(former[name]) for name in former},
        )
        self.assertEqual(row['strikes'], 1)

    async def test_nothing_is_written_without_strikes(self) -> None:
        """Guards against store calls of VMs whose servers do not end."""
        process = await self.process('v1')
        await process.writer.write_changes()
        self.assertNotIn('kv-txn', self.store.calls)
        self.assertNotIn('kv-lease', self.store.calls)


class TestRestart(test_entry_program.ProgramCase):
    """The program is stopped as planned and started again."""

    starts = 0

    def put_server(self, state: str) -> None:
        """Write the entry of the server's newest start."""
        document = {
            **adapter_tests.SERVER,
            'address': self.server_address,
            'born': adapter_tests.SERVER['born'] + self.starts,
            'status': {'state': state, 'seq_no': 1, 'cold_left_ms': 0},
        }
        self.store.put('servers/i-1', json.dumps(document).encode())

    async def reply(
        self,
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        """Crash at one request, and start again."""
        if POISON.encode() in request:
            writer.transport.abort()
            self.starts += 1
            self.put_server('ready')
            return
        await super().reply(server, writer, request)

    async def strikes_in_store(self) -> int:
        """Return the strikes in the store's keys."""
        return sum(
            row['strikes']
            for key, item in self.store.items.items()
            if key.startswith(_strikes.STRIKES_PREFIX)
            for row in strikes_of(item)
        )

    async def test_crashing_request_is_refused_after_a_restart(self) -> None:
        """Guards against a request that ends servers after each restart.

        The stop begins before the strikes were written.
        """
        while (await self.send_request(POISON))[0] != 429:
            pass
        sent = len(self.server.requests)
        self.vm.send_signal(signal.SIGTERM)
        await self.process.wait()
        self.assertEqual(await self.strikes_in_store(), 3)
        await self.start_program()
        self.assertEqual((await self.send_request(POISON))[0], 429)
        self.assertEqual(len(self.server.requests), sent)


def strikes_of(item: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """Return the strikes in the value of a key of the store."""
    row = json.loads(base64.b64decode(item['value']))
    return typing.cast(list[dict[str, typing.Any]], row['strikes'])


if __name__ == '__main__':
    unittest.main()
