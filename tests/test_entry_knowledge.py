"""What an entry VM knows of the store, and how old that is."""

import asyncio
import io
import json
import os
import typing
import unittest

import aiohttp
from aiohttp import web

from filbertstep import clock
from filbertstep import entry
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _peers
from filbertstep.entry import _supervision
from filbertstep.entry import _sync
from filbertstep.platform import _store
from tests import platform_store
from tests import steering_samples as samples


def change(
    key: str, revision: int, value: bytes | None = b'v'
) -> entry.Change:
    """Return a change."""
    return entry.Change(key, revision, value)


class TestStoreReplica(unittest.TestCase):
    """The table of keys; keys under ``s/`` may lapse."""

    def setUp(self) -> None:
        """Build an empty table."""
        self.seen: list[entry.Change] = []
        self.replica = _knowledge.StoreReplica(
            self.seen.append, lambda key: key.startswith('s/')
        )

    def apply(self, revision: int, now: float, *changes: entry.Change) -> None:
        """Take changes read at a time."""
        self.replica.apply(entry.ChangeBatch(changes, revision), now, now)

    def test_age_counts_from_the_send_of_the_read(self) -> None:
        """Guards against trusting knowledge for longer than it is fresh."""
        self.assertEqual(self.replica.age(5.0), float('inf'))
        self.replica.apply(entry.ChangeBatch((), 1), 3.0, 4.5)
        self.assertEqual(self.replica.age(5.0), 2.0)

    def test_older_content_is_never_taken(self) -> None:
        """Guards against a relay that turns back what is known."""
        self.apply(5, 0.0, change('a', 5, b'new'))
        self.replica.replace(
            entry.ChangeBatch((change('a', 2, b'old'),), 3), 1.0, 1.0
        )
        self.assertEqual(self.replica.items['a'].value, b'new')
        self.apply(6, 1.0, change('a', 4, b'old'))
        self.assertEqual(self.replica.items['a'].value, b'new')

    def test_a_deletion_outlives_a_late_write(self) -> None:
        """Guards against a deleted key that an old page brings back."""
        self.apply(2, 0.0, change('a', 2))
        self.apply(4, 0.1, change('a', 4, None))
        self.apply(5, 0.2, change('a', 3))
        self.assertNotIn('a', self.replica.items)

    def test_a_whole_listing_deletes_what_is_missing(self) -> None:
        """Guards against keys that stay after a forgotten history."""
        self.apply(2, 0.0, change('a', 1), change('b', 2))
        self.replica.replace(entry.ChangeBatch((change('b', 2),), 9), 0.1, 0.1)
        self.assertEqual(set(self.replica.items), {'b'})
        self.assertIsNone(self.seen[-1].value)

    def test_lapsed_entries_wait_after_an_outage(self) -> None:
        """Guards against emptying the table when the store is back.

        Leases ran out while it was away; the servers write again within 2 s.
        """
        self.apply(2, 0.0, change('s/1', 1), change('s/2', 2))
        self.apply(4, 10.0, change('s/1', 3, None), change('s/2', 4, None))
        self.assertEqual(set(self.replica.items), {'s/1', 's/2'})
        self.apply(5, 11.0, change('s/1', 5))
        self.replica.apply_held_deletions(12.0)
        self.assertEqual(set(self.replica.items), {'s/1', 's/2'})
        self.replica.apply_held_deletions(12.3)
        self.assertEqual(set(self.replica.items), {'s/1'})

    def test_peers_hear_of_deletions_that_are_held_back(self) -> None:
        """Guards against followers that keep a server which is gone.

        They ask for what came after the revision they know, which is above
        that of the deletion when it is applied here.
        """
        self.apply(2, 0.0, change('s/1', 1), change('s/2', 2))
        self.apply(3, 10.0, change('s/1', 3, None))
        self.assertIn('s/1', self.replica.items)
        for after, partial in ((2, True), (0, False)):
            with self.subTest(after=after):
                found, told = self.replica.changes_since(after)
                self.assertEqual(told, partial)
                kept = {item.key for item in found if item.value}
                self.assertNotIn('s/1', kept)
        found, _ = self.replica.changes_since(2)
        self.assertIn(change('s/1', 3, None), found)

    def test_a_restarted_peer_tells_what_was_deleted_before(self) -> None:
        """Guards against a server that a VM keeps after its end.

        The VM that reads for its zone was started again meanwhile; its first
        listing does not say what went before.
        """
        reader = _knowledge.StoreReplica(lambda _: None, lambda _: False)
        self.apply(5, 0.0, change('a', 4), change('b', 5))
        reader.replace(entry.ChangeBatch((change('a', 4),), 8), 1.0, 1.0)
        changes, partial = reader.changes_since(self.replica.revision)
        self.assertFalse(partial)
        self.replica.replace(entry.ChangeBatch(tuple(changes), 8), 1.0, 1.0)
        self.assertEqual(set(self.replica.items), {'a'})

    def test_a_peer_tells_of_keys_that_it_never_had(self) -> None:
        """Guards against a server that came and went between two reads."""
        other = _knowledge.StoreReplica(lambda _: None, lambda _: False)
        other.apply(entry.ChangeBatch((change('a', 1),), 9), 0.0, 0.0)
        self.apply(10, 0.0, change('a', 1), change('b', 10))
        other.apply(entry.ChangeBatch((change('b', 11, None),), 11), 1.0, 1.0)
        changes, partial = other.changes_since(self.replica.revision)
        self.assertTrue(partial)
        self.replica.apply(entry.ChangeBatch(tuple(changes), 11), 1.0, 1.0)
        self.assertEqual(set(self.replica.items), {'a'})

    def test_without_an_outage_a_deletion_holds_at_once(self) -> None:
        """Guards against requests to servers that have left."""
        self.apply(2, 0.0, change('s/1', 1))
        self.apply(3, 1.0, change('s/1', 3, None))
        self.assertEqual(self.replica.items, {})

    def test_other_keys_never_wait(self) -> None:
        """Guards against an evacuation that ends late after an outage."""
        self.apply(2, 0.0, change('op/evacuate/z', 1))
        self.apply(3, 10.0, change('op/evacuate/z', 3, None))
        self.assertEqual(self.replica.items, {})

    def test_peers_get_what_they_lack(self) -> None:
        """Guards against relays that lose a deletion."""
        self.apply(3, 0.0, change('a', 1), change('b', 2), change('c', 3))
        self.apply(4, 0.1, change('a', 4, None))
        found, partial = self.replica.changes_since(2)
        self.assertTrue(partial)
        self.assertEqual(
            {(item.key, item.value) for item in found},
            {('c', b'v'), ('a', None)},
        )
        found, partial = self.replica.changes_since(0)
        self.assertFalse(partial)
        self.assertEqual({item.key for item in found}, {'b', 'c'})


def make_log(time_source: clock.Clock) -> _log.DecisionLog:
    """Return a log whose lines stay in ``handler.pending``."""
    reader, writer = os.pipe()
    os.close(reader)
    handler = _log.PipeHandler(writer)
    return _log.DecisionLog('vm', 1000.0, time_source, handler)


class TestLog(unittest.TestCase):
    """Lines are bounded and never block."""

    def test_a_full_pipe_drops_lines(self) -> None:
        """Guards against a process that waits for the reader of its logs."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        handler = _log.PipeHandler(writer)
        fake = clock.FakeClock()
        lines = _log.DecisionLog('vm', 1e6, fake, handler)
        for number in range(20000):
            lines.write('try', id=str(number), text='x' * 100)
            if number % 100 == 0:
                lines.flush()
        self.assertGreater(handler.dropped, 0)
        self.assertLessEqual(len(handler.pending), _log.MAX_PENDING_BYTES)

    def test_each_kind_has_a_budget(self) -> None:
        """Guards against many tries that leave no room for failures."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        handler = _log.PipeHandler(writer)
        fake = clock.FakeClock()
        lines = _log.DecisionLog('vm', 10.0, fake, handler)
        for number in range(100):
            lines.write('try', id=str(number))
        lines.write('failure', id='f')
        fake.advance(1.0)
        lines.write('try', id='later')
        lines.flush()
        rows = [
            json.loads(line)
            for line in io.BytesIO(os.read(reader, 65536)).readlines()
        ]
        self.assertEqual(sum(row['kind'] == 'try' for row in rows), 21)
        self.assertEqual(rows[-1]['left_out'], 80)
        self.assertTrue(any(row['kind'] == 'failure' for row in rows))


class TestSupervision(unittest.IsolatedAsyncioTestCase):
    """Background work that raises."""

    async def test_work_goes_on_after_a_fault(self) -> None:
        """Guards against a VM that never reads the store again."""
        lines = make_log(clock.FakeClock())
        written: list[str] = []
        lines.write = (  # type: ignore[method-assign]
            lambda kind, **fields: written.append(str(fields))
        )
        runs = 0
        secret = 'k' * 20

        async def work() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise ValueError(secret)
            await asyncio.sleep(3600)

        task = asyncio.ensure_future(
            _supervision.supervise('store', work, lines)
        )
        async with asyncio.timeout(5):
            while runs < 2:
                await asyncio.sleep(0.05)
        task.cancel()
        (line,) = written
        self.assertIn('ValueError', line)
        self.assertNotIn(secret, line)


class TestStoreSync(unittest.IsolatedAsyncioTestCase):
    """Two VMs and a store that turns one of them away."""

    async def asyncSetUp(self) -> None:
        """Start a store, a VM and its peer."""
        self.clock = clock.SystemClock()
        self.log = make_log(self.clock)
        self.standin = platform_store.FakePlatformStore()
        await self.standin.start()
        self.session = aiohttp.ClientSession()
        self.tasks: list[asyncio.Task[None]] = []
        self.peer = self.vm('v2', self.standin.address)
        self.runner = web.ServerRunner(web.Server(self.relay))
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.peer_address = f'{host}:{port}'

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await self.runner.cleanup()
        await self.session.close()
        await self.standin.stop()

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer as the peer does."""
        listener = _peers.PeerListener(
            # Any: only questions for tokens need the state.
            typing.cast(typing.Any, None),
            self.peer,
            self.peer.store,
            self.clock,
            self.log,
        )
        return await listener.handle(request)

    def vm(self, name: str, store: str, *seeds: str) -> _sync.StoreSync:
        """Return a VM's knowledge of a store."""
        client = _store.PlatformStoreClient(
            f'http://{store}', self.session, 1.0
        )
        members = _membership.MemberTable()
        replica = _knowledge.StoreReplica(
            lambda found: members.apply_change(found, self.clock.now()),
            lambda key: False,
        )
        registration = _membership.Registration(
            client,
            samples.member(name),
            members,
            self.clock,
            self.log,
        )
        return _sync.StoreSync(
            client,
            replica,
            members,
            registration,
            seeds,
            self.session,
            self.clock,
            self.log,
        )

    def run_soon(self, work: typing.Coroutine[object, object, None]) -> None:
        """Run a system until the test ends."""
        self.tasks.append(asyncio.ensure_future(work))

    async def until(self, holds: typing.Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(10):
            while not holds():
                await asyncio.sleep(0.02)

    async def test_changes_arrive(self) -> None:
        """Guards against a configuration that is not put in force."""
        self.standin.put('op/config', b'1')
        self.run_soon(self.peer.run_store())
        await self.until(lambda: 'op/config' in self.peer.replica.items)
        self.standin.put('op/config', b'2')
        await self.until(
            lambda: self.peer.replica.items['op/config'].value == b'2'
        )

    async def test_a_forgotten_history_leads_to_a_new_listing(self) -> None:
        """Guards against deletions that a dropped history hides."""
        self.standin.put('servers/1', b'1')
        self.run_soon(self.peer.run_store())
        await self.until(lambda: 'servers/1' in self.peer.replica.items)
        self.standin.delete('servers/1')
        self.standin.put('servers/2', b'2')
        self.standin.drop_history()
        await self.until(lambda: set(self.peer.replica.items) == {'servers/2'})

    async def test_a_vm_without_store_asks_its_peer(self) -> None:
        """Guards against refusing callers whom a peer could vouch for."""
        self.standin.put('op/config', b'1')
        self.run_soon(self.peer.run_store())
        await self.until(lambda: 'op/config' in self.peer.replica.items)
        lonely = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.run_soon(lonely.run_relay())
        await self.until(lambda: 'op/config' in lonely.replica.items)
        age = lonely.replica.age(self.clock.now())
        self.assertLess(age, 5.0)
        self.standin.put('op/config', b'2')
        self.standin.put('op/more', b'3')
        await self.until(lambda: 'op/more' in lonely.replica.items)
        self.assertEqual(lonely.replica.items['op/config'].value, b'2')

    async def test_large_relays_are_compressed(self) -> None:
        """Guards against a listing that fills the link of a small VM.

        VMs of the grown sites have links of 5 Mbit/s, and a configuration
        with many routes has hundreds of kilobytes.
        """
        routes = b','.join(b'{"prefix":"/r%d/"}' % n for n in range(4000))
        self.standin.put('op/config', routes)
        self.run_soon(self.peer.run_store())
        await self.until(lambda: 'op/config' in self.peer.replica.items)
        lonely = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.run_soon(lonely.run_relay())
        await self.until(lambda: 'op/config' in lonely.replica.items)
        self.assertEqual(lonely.replica.items['op/config'].value, routes)
        async with self.session.get(
            f'http://{self.peer_address}{_sync.KNOWLEDGE_PATH}',
            params={'after': '0'},
        ) as response:
            sent = response.headers.get('Content-Length', '0')
            self.assertEqual(response.headers['Content-Encoding'], 'deflate')
            self.assertLess(int(sent), len(routes) / 2)

    async def test_a_relay_adds_its_own_age(self) -> None:
        """Guards against knowledge that two VMs keep young for each other."""
        self.peer.replica.apply(
            entry.ChangeBatch((), 5),
            self.clock.now() - 2.5,
            self.clock.now(),
        )
        lonely = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.assertTrue(await lonely.fetch_from_peer(self.peer_address))
        self.assertGreaterEqual(lonely.replica.age(self.clock.now()), 2.5)

    def join(self, one: _sync.StoreSync, *names: str) -> None:
        """Register VMs of one zone in the eyes of a VM; v0 is the peer."""
        for name in names:
            row = samples.member(name)._replace(peers=self.peer_address)
            one.members.live[name] = row

    async def test_one_vm_of_a_zone_reads_for_the_others(self) -> None:
        """Guards against calls to the store that grow with the VMs."""
        self.standin.put('op/config', b'1')
        self.run_soon(self.peer.run_store())
        await self.until(lambda: 'op/config' in self.peer.replica.items)
        other = self.vm('v1', self.standin.address)
        self.join(other, 'v0', 'v1')
        other.read_store = self.fail  # type: ignore[method-assign]
        self.run_soon(other.run_store())
        await self.until(lambda: 'op/config' in other.replica.items)
        self.standin.put('op/config', b'2')
        await self.until(
            lambda: other.replica.items['op/config'].value == b'2'
        )
        self.assertLess(other.replica.age(self.clock.now()), 2.5)

    async def test_the_reader_itself_asks_the_store(self) -> None:
        """Guards against a zone whose VMs all wait for each other."""
        self.join(self.peer, 'v2', 'v3')
        self.assertEqual(self.peer.zone_reader(0.0), '')

    async def test_a_vm_reads_itself_when_its_reader_fails(self) -> None:
        """Guards against knowledge that grows old with a dead reader."""
        self.standin.put('op/config', b'1')
        other = self.vm('v1', self.standin.address)
        self.join(other, 'v0', 'v1')
        dead = other.members.live['v0']._replace(peers='127.0.0.1:1')
        other.members.live['v0'] = dead
        self.run_soon(other.run_store())
        await self.until(lambda: 'op/config' in other.replica.items)

    async def test_a_vm_reads_itself_when_its_reader_is_old(self) -> None:
        """Guards against following a reader that the store turns away."""
        self.standin.put('op/config', b'1')
        now = self.clock.now()
        self.peer.replica.apply(entry.ChangeBatch((), 1), now - 2.4, now)
        other = self.vm('v1', self.standin.address)
        self.join(other, 'v0', 'v1')
        self.run_soon(other.run_store())
        await self.until(lambda: 'op/config' in other.replica.items)

    async def test_old_knowledge_is_not_relayed(self) -> None:
        """Guards against a chain of relays that hides an outage."""
        self.peer.replica.apply(
            entry.ChangeBatch((), 5),
            self.clock.now() - 3.5,
            self.clock.now(),
        )
        self.assertIsNone(self.peer.relay_answer(0))

    async def test_a_vm_registers_again_after_a_lost_lease(self) -> None:
        """Guards against a VM that no look-up names any more."""
        self.run_soon(self.peer.run_store())
        self.run_soon(self.peer.registration.run())
        await self.until(lambda: 'v2' in self.peer.members.live)
        self.standin.expire_lease(self.peer.registration.lease)
        await self.until(lambda: 'v2' not in self.peer.members.live)
        await self.until(lambda: 'v2' in self.peer.members.live)
        self.assertEqual(self.peer.members.spending_vms('v2'), {'v2'})

    async def test_a_failed_registration_is_logged(self) -> None:
        """Guards against a VM that no look-up names and no line explains."""
        written: list[str] = []
        registration = self.peer.registration
        registration.log.write = (  # type: ignore[method-assign]
            lambda kind, **fields: written.append(f'{kind} {fields}')
        )
        self.standin.status = 503
        self.assertFalse(await registration.register())
        self.assertEqual(
            written,
            ["registration_failed {'step': 'grant', 'fault': 'refused'}"],
        )

    async def test_a_vm_that_leaves_is_named_no_more(self) -> None:
        """Guards against callers sent to a VM that stops."""
        self.run_soon(self.peer.run_store())
        self.run_soon(self.peer.registration.run())
        await self.until(lambda: 'v2' in self.peer.members.live)
        await self.peer.registration.deregister()
        self.assertNotIn('vms/v2', self.standin.items)
        self.assertIn('fleet/v2', self.standin.items)


class TestMemberTable(unittest.TestCase):
    """Which VMs count."""

    def test_a_vm_without_lease_still_counts(self) -> None:
        """Guards against two VMs that spend one part of a rate."""
        table = _membership.MemberTable()
        table.apply_change(change('fleet/a', 1, b''), 0.0)
        table.apply_change(change('fleet/b', 2, b''), 0.0)
        self.assertEqual(len(table.spending_vms('a')), 2)
        self.assertEqual(table.departed_vms(1.0), [])
        self.assertEqual(
            table.departed_vms(_membership.QUOTA_RETENTION_S + 1.0),
            [('a', 1), ('b', 2)],
        )
        table.apply_change(change('fleet/b', 3, None), 20.0)
        self.assertEqual(len(table.spending_vms('a')), 1)

    def test_an_unreadable_entry_names_no_vm(self) -> None:
        """Guards against a key of another version of the program."""
        table = _membership.MemberTable()
        table.apply_change(change('vms/a', 1, b'{"x":1}'), 0.0)
        self.assertEqual(table.live, {})
