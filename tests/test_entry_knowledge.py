"""Replica of the store: its content and age, and its sync among VMs."""

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
from filbertstep import platform
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _peers
from filbertstep.entry import _state
from filbertstep.entry import _supervision
from filbertstep.entry import _sync
from filbertstep.platform import _store
from tests import entry_samples
from tests import platform_store
from tests import steering_samples as samples


def change(
    key: str, revision: int, value: bytes | None = b'v'
) -> entry.Change:
    """Return a change of a key."""
    return entry.Change(key, revision, value)


def position(revision: int, era: int = 0) -> entry.Position:
    """Return a position in the store's history."""
    return entry.Position(era, revision)


class SampleRules(_knowledge.KeyRules):
    """Keys under ``s/`` have a lease; ``c`` is the configuration.

    Values that are two numbers tell their recency.
    """

    def is_leased(self, key: str) -> bool:
        """Return whether a key has a lease."""
        return key.startswith('s/')

    def restore_hold_s(self, key: str) -> float:
        """Return for how long a key that a restored store lacks is kept."""
        return float('inf') if key == 'c' else _knowledge.DELETION_HOLD_S

    def recency(self, key: str, value: bytes) -> entry.Recency | None:
        """Return the recency of a value such as ``b'1 7'``."""
        numbers = value.split()
        if len(numbers) != 2:
            return None
        return entry.Recency(int(numbers[0]), int(numbers[1]))

    def is_configuration(self, key: str) -> bool:
        """Return whether a key has the configuration."""
        return key == 'c'

    def settled_era(self, key: str, value: bytes) -> int | None:
        """Return the era that the key ``era`` records as settled."""
        return int(value) if key == _sync.ERA_KEY else None


class UnleasedRules(SampleRules):
    """No key has a lease."""

    def is_leased(self, key: str) -> bool:
        """Return that no key has a lease."""
        return False


class TestStoreReplica(unittest.TestCase):
    """The replica alone, with the keys of ``SampleRules``."""

    def setUp(self) -> None:
        """Create an empty replica that records its changes."""
        self.changes: list[entry.Change] = []
        self.replica = _knowledge.StoreReplica(
            self.changes.append, SampleRules()
        )

    def apply(self, revision: int, now: float, *changes: entry.Change) -> None:
        """Apply changes that were read at a time."""
        self.replica.apply(entry.ChangeBatch(changes, revision), now, now)

    def test_age_counts_from_the_send_of_the_read(self) -> None:
        """The age counts from when the read was sent, not from its answer."""
        self.assertEqual(self.replica.age(5.0), float('inf'))
        self.replica.apply(entry.ChangeBatch((), 1), 3.0, 4.5)
        self.assertEqual(self.replica.age(5.0), 2.0)

    def test_older_content_is_ignored(self) -> None:
        """Older content from a relay must not replace newer content."""
        self.apply(5, 0.0, change('a', 5, b'new'))
        self.replica.replace(
            entry.ChangeBatch((change('a', 2, b'old'),), 3), 1.0, 1.0
        )
        self.assertEqual(self.replica.items['a'].value, b'new')
        self.apply(6, 1.0, change('a', 4, b'old'))
        self.assertEqual(self.replica.items['a'].value, b'new')

    def test_write_older_than_deletion_is_ignored(self) -> None:
        """An old page must not bring a deleted key back."""
        self.apply(2, 0.0, change('a', 2))
        self.apply(4, 0.1, change('a', 4, None))
        self.apply(5, 0.2, change('a', 3))
        self.assertNotIn('a', self.replica.items)

    def test_full_listing_deletes_missing_keys(self) -> None:
        """Keys deleted while the store dropped its history must not stay."""
        self.apply(2, 0.0, change('a', 1), change('b', 2))
        self.replica.replace(entry.ChangeBatch((change('b', 2),), 9), 0.1, 0.1)
        self.assertEqual(set(self.replica.items), {'b'})
        self.assertIsNone(self.changes[-1].value)

    def test_deletions_of_leased_keys_are_held_after_outage(self) -> None:
        """The replica must not lose all servers when the store returns.

        Their leases expired during the outage; the servers write their entries
        again within 2 s.
        """
        self.apply(2, 0.0, change('s/1', 1), change('s/2', 2))
        self.apply(4, 10.0, change('s/1', 3, None), change('s/2', 4, None))
        self.assertEqual(set(self.replica.items), {'s/1', 's/2'})
        self.apply(5, 11.0, change('s/1', 5))
        self.replica.apply_held_deletions(12.0)
        self.assertEqual(set(self.replica.items), {'s/1', 's/2'})
        self.replica.apply_held_deletions(12.3)
        self.assertEqual(set(self.replica.items), {'s/1'})

    def test_peers_get_held_deletions(self) -> None:
        """Followers must not keep a server that is gone.

        They ask for the changes after the revision that they know, which is
        above that of the deletion by the time it is applied here.
        """
        self.apply(2, 0.0, change('s/1', 1), change('s/2', 2))
        self.apply(3, 10.0, change('s/1', 3, None))
        self.assertIn('s/1', self.replica.items)
        for after, partial in ((2, True), (0, False)):
            with self.subTest(after=after):
                found, found_partial = self.replica.changes_since(
                    position(after)
                )
                self.assertEqual(found_partial, partial)
                kept = {item.key for item in found if item.value}
                self.assertNotIn('s/1', kept)
        found, _ = self.replica.changes_since(position(2))
        self.assertIn(change('s/1', 3, None), found)

    def test_restarted_peer_sends_full_content(self) -> None:
        """A VM must not keep a server that was removed.

        If the zone's reader was restarted in between, its first listing does
        not tell which keys were deleted before.
        """
        reader = _knowledge.StoreReplica(lambda _: None, UnleasedRules())
        self.apply(5, 0.0, change('a', 4), change('b', 5))
        reader.replace(entry.ChangeBatch((change('a', 4),), 8), 1.0, 1.0)
        changes, partial = reader.changes_since(self.replica.position)
        self.assertFalse(partial)
        self.replica.replace(entry.ChangeBatch(tuple(changes), 8), 1.0, 1.0)
        self.assertEqual(set(self.replica.items), {'a'})

    def test_peer_relays_deletions_of_keys_it_never_had(self) -> None:
        """A VM must not keep a server that came and went between two reads."""
        relay = _knowledge.StoreReplica(lambda _: None, UnleasedRules())
        relay.apply(entry.ChangeBatch((change('a', 1),), 9), 0.0, 0.0)
        self.apply(10, 0.0, change('a', 1), change('b', 10))
        relay.apply(entry.ChangeBatch((change('b', 11, None),), 11), 1.0, 1.0)
        changes, partial = relay.changes_since(self.replica.position)
        self.assertTrue(partial)
        self.replica.apply(entry.ChangeBatch(tuple(changes), 11), 1.0, 1.0)
        self.assertEqual(set(self.replica.items), {'a'})

    def test_deletion_applies_at_once_without_outage(self) -> None:
        """Requests must not go to servers that have left."""
        self.apply(2, 0.0, change('s/1', 1))
        self.apply(3, 1.0, change('s/1', 3, None))
        self.assertEqual(self.replica.items, {})

    def test_deletions_of_other_keys_are_not_held(self) -> None:
        """An evacuation must not end late because of an outage."""
        self.apply(2, 0.0, change('op/evacuate/z', 1))
        self.apply(3, 10.0, change('op/evacuate/z', 3, None))
        self.assertEqual(self.replica.items, {})

    def test_peers_get_changes_since_revision(self) -> None:
        """A relay must include the deletions since the requested revision."""
        self.apply(3, 0.0, change('a', 1), change('b', 2), change('c', 3))
        self.apply(4, 0.1, change('a', 4, None))
        found, partial = self.replica.changes_since(position(2))
        self.assertTrue(partial)
        self.assertEqual(
            {(item.key, item.value) for item in found},
            {('c', b'v'), ('a', None)},
        )
        found, partial = self.replica.changes_since(position(0))
        self.assertFalse(partial)
        self.assertEqual({item.key for item in found}, {'b', 'c'})


class TestLateWrites(unittest.TestCase):
    """Values that the store writes after newer ones of the same writer.

    A value is the writer's start and the number of the value.
    """

    def setUp(self) -> None:
        """Create an empty replica that records what it refuses."""
        self.refused: list[entry.Change] = []
        self.replica = self.build_replica()
        self.revision = 0

    def build_replica(self) -> _knowledge.StoreReplica:
        """Return an empty replica."""
        return _knowledge.StoreReplica(
            lambda _: None,
            SampleRules(),
            lambda change, _: self.refused.append(change),
        )

    def write(
        self,
        value: bytes | None,
        now: float,
        key: str = 's/1',
        replica: _knowledge.StoreReplica | None = None,
    ) -> None:
        """Let the replica read a value that the store has just written."""
        self.revision += 1
        (replica or self.replica).apply(
            entry.ChangeBatch(
                (change(key, self.revision, value),), self.revision
            ),
            now,
            now,
        )

    def value(
        self, key: str = 's/1', replica: _knowledge.StoreReplica | None = None
    ) -> bytes | None:
        """Return the known value of a key."""
        item = (replica or self.replica).items.get(key)
        return item.value if item else None

    def test_older_value_of_the_same_start(self) -> None:
        """Guards against a late beat that makes a leaving server ready."""
        self.write(b'5 7', 0.0)
        for at, read in enumerate((1.0, 3.0, 20.0)):
            self.write(b'5 6', read)
            self.assertEqual(self.value(), b'5 7')
            self.assertEqual(len(self.refused), at + 1)
        self.replica.replace(
            entry.ChangeBatch(
                (change('s/1', self.revision, b'5 6'),), self.revision
            ),
            21.0,
            21.0,
        )
        self.replica.apply_refused(100.0)
        self.assertEqual(self.value(), b'5 7')
        self.write(b'5 8', 100.0)
        self.assertEqual(self.value(), b'5 8')
        self.write(None, 103.0)
        self.assertIsNone(self.value())

    def test_value_after_a_removal(self) -> None:
        """Guards against a late beat that brings a removed server back.

        The last numbers before the removal need not have been read.
        """
        for late in (b'5 6', b'5 7', b'5 9'):
            with self.subTest(late=late):
                self.setUp()
                self.write(b'5 7', 0.0)
                self.write(None, 1.0)
                self.write(late, 2.0)
                self.assertIsNone(self.value())
                # The entry lapses, as nobody writes it again.
                self.write(None, 6.5)
                self.replica.apply_refused(100.0)
                self.assertIsNone(self.value())

    def test_server_that_was_silent_is_used_again(self) -> None:
        """Guards against a sound server that stays out after a removal."""
        for late_read in (True, False):
            with self.subTest(late_read=late_read):
                self.setUp()
                self.write(b'5 7', 0.0)
                self.write(None, 1.0)
                self.write(b'5 8', 2.0)
                if late_read:
                    # The store has nothing newer, and the entry has not
                    # lapsed.
                    self.replica.apply_refused(13.1)
                    self.assertEqual(self.value(), b'5 8')
                else:
                    self.write(b'5 9', 8.1)
                    self.assertEqual(self.value(), b'5 9')
        self.setUp()
        self.write(b'5 7', 0.0)
        self.write(None, 1.0)
        self.write(b'5 12', 8.1)
        self.assertEqual(self.value(), b'5 12')

    def test_value_of_an_earlier_start(self) -> None:
        """Guards against a late beat that hides a restart."""
        self.write(b'4 7', 0.0)
        self.write(b'5 1', 1.0)
        self.write(b'4 8', 2.0)
        self.assertEqual(self.value(), b'5 1')
        self.write(b'5 2', 3.0)
        self.replica.apply_refused(100.0)
        self.assertEqual(self.value(), b'5 2')

    def test_restart_after_a_removal_is_used_at_once(self) -> None:
        """Guards against a sound restart that waits."""
        self.write(b'5 7', 0.0)
        self.write(None, 1.0)
        self.write(b'6 1', 1.5)
        self.assertEqual(self.value(), b'6 1')

    def test_clock_of_a_server_that_went_back(self) -> None:
        """Guards against a restarted server that is never known."""
        for removed in (False, True):
            with self.subTest(removed=removed):
                self.setUp()
                self.write(b'5 7', 0.0)
                if removed:
                    self.write(None, 0.0)
                self.write(b'4 1', 3.0)
                self.write(b'4 2', 4.5)
                self.write(b'4 3', 7.5)
                self.assertEqual(self.value(), b'4 3')
        self.setUp()
        self.write(b'5 7', 0.0)
        self.write(b'4 1', 3.0)
        self.replica.apply_refused(11.9)
        self.assertEqual(self.value(), b'5 7')
        self.replica.apply_refused(12.1)
        self.assertEqual(self.value(), b'4 1')

    def test_servers_that_do_not_tell_their_start(self) -> None:
        """Guards against late beats, and against a restart that stays out."""
        self.write(b'0 7', 0.0)
        self.write(b'0 6', 1.0)
        self.assertEqual(self.value(), b'0 7')
        self.write(b'0 8', 2.0)
        self.assertEqual(self.value(), b'0 8')
        self.write(b'0 1', 10.0)
        self.assertEqual(self.value(), b'0 1')

    def test_value_of_another_writer_keeps_the_order(self) -> None:
        """Guards against an odd entry after which any late beat counts."""
        for odd in (b'?', b'0 99'):
            with self.subTest(odd=odd):
                self.setUp()
                self.write(b'5 7', 0.0)
                self.write(odd, 1.0)
                self.write(b'5 6', 2.0)
                self.assertEqual(self.value(), odd)
                self.write(b'5 8', 3.0)
                self.assertEqual(self.value(), b'5 8')

    def test_older_configuration(self) -> None:
        """Guards against a late write that VMs which start would follow."""
        self.write(b'0 7', 0.0, 'c')
        self.write(b'0 6', 30.0, 'c')
        self.replica.apply_refused(100.0)
        self.assertEqual(self.value('c'), b'0 7')
        self.write(b'0 8', 100.0, 'c')
        self.assertEqual(self.value('c'), b'0 8')

    def test_vm_that_has_read_a_late_write_learns_from_a_peer(self) -> None:
        """Guards against a VM that starts between a value and a late one."""
        for removed in (False, True):
            for partial in (False, True):
                with self.subTest(removed=removed, partial=partial):
                    self.setUp()
                    self.write(b'5 7', 0.0)
                    if removed:
                        self.write(None, 0.5)
                    started = self.build_replica()
                    self.write(b'5 6', 1.0, replica=started)
                    self.assertEqual(self.value(replica=started), b'5 6')
                    self.revision -= 1
                    self.write(b'5 6', 1.0)
                    changes, _ = self.replica.changes_since(
                        started.position if partial else _knowledge.START
                    )
                    started.receive(
                        entry.ChangeBatch(tuple(changes), self.revision),
                        partial,
                        1.5,
                        1.5,
                        1.5,
                    )
                    self.assertEqual(
                        self.value(replica=started),
                        None if removed else b'5 7',
                    )

    def test_follower_decides_by_itself(self) -> None:
        """Guards against followers that never use a server that is back."""
        follower = self.build_replica()

        def follow(now: float) -> None:
            changes, partial = self.replica.changes_since(follower.position)
            follower.receive(
                entry.ChangeBatch(tuple(changes), self.revision),
                partial,
                now,
                now,
                now,
            )

        self.write(b'5 7', 0.0)
        follow(0.1)
        self.write(None, 1.0)
        follow(1.1)
        self.write(b'5 8', 2.0)
        for now in (2.1, 4.5, 7.0, 9.0, 11.5, 14.0):
            follow(now)
            self.assertIsNone(self.value(replica=follower))
        follower.apply_refused(14.2)
        self.assertEqual(self.value(replica=follower), b'5 8')
        # Its peer still refuses the value.
        follow(14.3)
        self.assertEqual(self.value(replica=follower), b'5 8')
        self.replica.apply_refused(14.4)
        self.assertEqual(self.value(), b'5 8')


class TestLateServerEntries(unittest.TestCase):
    """What a VM believes of servers whose entries the store writes late."""

    def setUp(self) -> None:
        """Build the state of one VM."""
        self.clock = clock.FakeClock()
        self.state = _state.State(
            entry_samples.settings(),
            platform.PlatformAdapter('').decoder(),
            self.clock,
            make_log(self.clock),
        )
        self.revision = 0

    def write(
        self, born: int, number: int, state: str, cold_left_ms: int = 0
    ) -> None:
        """Read an entry that the store has just written."""
        self.revision += 1
        value = {
            'address': '10.128.0.9:8080',
            'born': born,
            'info': {
                'service': 'orders',
                'version': 'v1',
                'zone': 'hobart-a',
                'slots': 3,
            },
            'status': {
                'state': state,
                'seq_no': number,
                'cold_left_ms': cold_left_ms,
            },
        }
        now = self.clock.now()
        self.state.replica.apply(
            entry.ChangeBatch(
                (
                    change(
                        'servers/i-1',
                        self.revision,
                        json.dumps(value).encode(),
                    ),
                ),
                self.revision,
            ),
            now,
            now,
        )

    def test_a_draining_server_stays_so(self) -> None:
        """Guards against requests to a server that is about to exit."""
        self.write(5, 7, 'ready')
        self.write(5, 9, 'draining')
        self.write(5, 8, 'ready')
        self.assertTrue(self.state.servers.by_id['i-1'].is_leaving())

    def test_a_possible_restart_is_cold(self) -> None:
        """Guards against a cold server that gets the rate of a warm one."""
        self.write(5, 7, 'ready')
        self.write(4, 1, 'ready', cold_left_ms=4000)
        server = self.state.servers.by_id['i-1']
        self.assertEqual(server.entry.incarnation, 5)
        self.assertTrue(server.is_cold(self.clock.now() + 3.9))


class TestRestoredReplica(unittest.TestCase):
    """The replica of a store that is restored from an older copy."""

    def setUp(self) -> None:
        """Read a store in its first era; it was never restored before."""
        self.replica = _knowledge.StoreReplica(lambda _: None, SampleRules())
        self.list_store(
            1,
            50,
            0.0,
            ('c', 40, b'0 12'),
            ('s/1', 41, b'1 9'),
            ('s/2', 42, b'1 4'),
            ('op/evacuate/z', 43, b'{}'),
            ('era', 44, b'1'),
        )

    def list_store(
        self, era: int, revision: int, now: float, *items: typing.Any
    ) -> None:
        """Apply a listing with rows of key, revision and value."""
        self.replica.replace(self.batch(era, revision, *items), now, now)

    def watch_store(
        self, era: int, revision: int, now: float, *items: typing.Any
    ) -> None:
        """Apply the answer to a watch."""
        self.replica.apply(self.batch(era, revision, *items), now, now)

    def batch(
        self, era: int, revision: int, *items: typing.Any
    ) -> entry.ChangeBatch:
        """Return a batch with rows of key, revision and value."""
        return entry.ChangeBatch(
            tuple(
                entry.Change(key, at, value, era) for key, at, value in items
            ),
            revision,
            era,
        )

    def value(self, key: str) -> bytes | None:
        """Return the known value of a key."""
        item = self.replica.items.get(key)
        return item.value if item else None

    def test_lower_revisions_of_a_new_era_are_followed(self) -> None:
        """A VM must not wait until revisions have caught up.

        All requests were refused meanwhile, and changes ignored.
        """
        self.list_store(2, 30, 1.0, ('a', 28, b'x'))
        self.assertEqual(self.value('a'), b'x')
        self.assertEqual(self.replica.position, position(30, 2))
        self.watch_store(2, 31, 2.0, ('a', 31, b'y'))
        self.assertEqual(self.value('a'), b'y')
        self.assertEqual(self.replica.age(2.0), 0.0)

    def test_answers_of_an_older_era_are_ignored(self) -> None:
        """A peer that has not seen the new era must not undo it."""
        self.list_store(2, 30, 1.0, ('a', 28, b'x'))
        self.list_store(1, 60, 2.0, ('a', 55, b'old'))
        self.watch_store(1, 61, 2.0, ('a', 61, b'old'))
        late = self.batch(1, 62, ('a', 62, b'old'))
        for partial in (False, True):
            self.replica.receive(late, partial, 2.0, 2.0, 2.0)
        self.assertEqual(self.value('a'), b'x')
        self.assertEqual(self.replica.age(2.0), 1.0)

    def test_a_revision_of_an_older_era_gets_the_full_content(self) -> None:
        """A follower must not mix two histories.

        The new era gives out revisions again that the follower has from the
        era before.
        """
        self.list_store(2, 60, 1.0, ('a', 28, b'x'))
        _, partial = self.replica.changes_since(position(55, 1))
        self.assertFalse(partial)
        _, partial = self.replica.changes_since(position(60, 2))
        self.assertTrue(partial)

    def test_older_values_of_the_copy_are_ignored(self) -> None:
        """A draining server must not come back as ready.

        Nor may a configuration go back, or a server that was removed return.
        """
        self.watch_store(1, 51, 0.5, ('s/2', 51, None))
        self.list_store(
            2,
            30,
            1.0,
            ('c', 20, b'0 9'),
            ('s/1', 21, b'1 3'),
            ('s/2', 22, b'1 4'),
        )
        self.assertEqual(self.value('c'), b'0 12')
        self.assertEqual(self.value('s/1'), b'1 9')
        self.assertIsNone(self.value('s/2'))
        self.watch_store(2, 31, 1.1, ('s/1', 31, b'1 10'), ('c', 31, b'0 15'))
        self.assertEqual(self.value('s/1'), b'1 10')
        self.assertEqual(self.value('c'), b'0 15')

    def test_restarted_server_is_used_again(self) -> None:
        """A server that starts again under its id counts from the start."""
        self.watch_store(1, 51, 0.5, ('s/2', 51, None))
        self.list_store(2, 30, 1.0, ('s/1', 21, b'2 1'), ('s/2', 22, b'2 1'))
        self.assertEqual(self.value('s/1'), b'2 1')
        self.assertEqual(self.value('s/2'), b'2 1')

    def test_what_the_copy_lacks_is_held(self) -> None:
        """Servers and evacuations must not be gone until written again."""
        self.list_store(2, 30, 1.0, ('a', 28, b'x'))
        self.replica.apply_held_deletions(3.1)
        for key in ('s/1', 's/2', 'op/evacuate/z', 'c'):
            self.assertIsNotNone(self.value(key), key)
        self.watch_store(2, 31, 3.1, ('s/1', 31, b'1 10'))
        self.replica.apply_held_deletions(3.3)
        self.assertEqual(self.value('s/1'), b'1 10')
        self.assertIsNone(self.value('s/2'))
        self.assertIsNone(self.value('op/evacuate/z'))
        self.assertEqual(self.value('c'), b'0 12')

    def test_deletion_in_the_new_era_of_a_kept_value(self) -> None:
        """A server that leaves after the restore must not stay."""
        self.list_store(2, 30, 1.0, ('s/1', 21, b'1 3'))
        self.watch_store(2, 31, 4.0, ('s/1', 31, None))
        self.replica.apply_held_deletions(7.0)
        self.assertIsNone(self.value('s/1'))

    def test_two_restores_in_a_row(self) -> None:
        """What was kept over one restore must outlast the next one."""
        self.list_store(2, 30, 1.0, ('c', 20, b'0 9'), ('s/1', 21, b'1 3'))
        self.list_store(3, 25, 2.0, ('c', 20, b'0 9'))
        self.replica.apply_held_deletions(4.1)
        self.assertEqual(self.value('c'), b'0 12')
        self.assertEqual(self.value('s/1'), b'1 9')
        self.replica.apply_held_deletions(4.3)
        self.assertIsNone(self.value('s/1'))
        self.assertEqual(self.replica.documents_age(2.0), 2.0)

    def test_the_copy_does_not_confirm_the_configuration(self) -> None:
        """A key whose withdrawal the store lost must not be accepted on.

        The copy may lack a configuration that this VM had not read yet.
        """
        self.list_store(2, 30, 4.0, ('c', 20, b'0 9'))
        self.watch_store(2, 30, 5.0)
        self.assertEqual(self.replica.age(5.0), 0.0)
        self.assertEqual(self.replica.documents_age(5.0), 5.0)
        self.watch_store(2, 30, 6.3)
        self.assertEqual(self.replica.documents_age(6.3), 0.0)

    def test_rewritten_configuration_confirms_at_once(self) -> None:
        """VMs must not refuse requests for longer than they have to."""
        self.list_store(2, 30, 4.0, ('c', 20, b'0 9'))
        self.watch_store(2, 31, 4.2, ('c', 31, b'0 12'))
        self.assertEqual(self.replica.documents_age(4.2), 0.0)

    def test_partial_relay_has_what_the_copy_lacks(self) -> None:
        """Guards against keys that a cut-off VM accepts after their removal.

        Both VMs have read the restored store, and only the peer had read the
        configuration that the copy lacks.  The peer's word on the age of its
        documents must come with these documents.
        """
        behind = _knowledge.StoreReplica(lambda _: None, SampleRules())
        behind.replace(self.batch(1, 39, ('c', 20, b'0 9')), 0.0, 0.0)
        copy = self.batch(2, 30, ('c', 20, b'0 9'))
        behind.replace(copy, 4.0, 4.0)
        self.replica.replace(copy, 4.0, 4.0)
        changes, partial = self.replica.changes_since(behind.position)
        self.assertTrue(partial)
        relayed = entry.ChangeBatch(tuple(changes), 30, 2)
        behind.receive(relayed, partial, 4.5, 3.5, 5.0)
        self.assertEqual(behind.documents_age(5.0), 1.5)
        self.assertEqual(behind.items['c'].value, b'0 12')

    def test_older_configuration_does_not_confirm(self) -> None:
        """The operator may write its versions again one after the other."""
        self.list_store(2, 30, 4.0, ('c', 20, b'0 9'))
        self.watch_store(2, 31, 4.2, ('c', 31, b'0 10'))
        self.assertEqual(self.replica.documents_age(4.2), 4.2)

    def test_configuration_that_a_listing_shows_as_rewritten(self) -> None:
        """The operator may write again before a VM lists the store."""
        self.list_store(2, 35, 4.0, ('c', 33, b'0 12'))
        self.assertEqual(self.replica.documents_age(4.0), 0.0)

    def test_configuration_of_the_copy_does_not_confirm(self) -> None:
        """A later version than the one in the copy may have been lost."""
        self.list_store(2, 45, 4.0, ('c', 40, b'0 12'))
        self.assertEqual(self.replica.documents_age(4.0), 4.0)

    def started_vm(self) -> _knowledge.StoreReplica:
        """Return a replica that has read the restored store only."""
        started = _knowledge.StoreReplica(lambda _: None, SampleRules())
        started.replace(
            self.batch(2, 32, ('c', 20, b'0 9'), ('era', 10, b'1')), 1.5, 1.5
        )
        return started

    def test_started_vm_does_not_trust_the_copy(self) -> None:
        """A VM without memory must not accept keys that were withdrawn.

        Nothing but the era's number tells it that the store was restored.
        """
        started = self.started_vm()
        self.assertEqual(started.documents_age(1.5), float('inf'))
        started.apply(entry.ChangeBatch((), 32, 2), 3.8, 3.8)
        self.assertEqual(started.documents_age(3.8), 0.0)

    def test_started_vm_trusts_a_settled_era(self) -> None:
        """VMs must not wait at each start once the store was restored."""
        started = _knowledge.StoreReplica(lambda _: None, SampleRules())
        started.replace(
            self.batch(2, 32, ('c', 20, b'0 9'), ('era', 31, b'2')), 1.5, 1.5
        )
        self.assertEqual(started.documents_age(1.5), 0.0)

    def test_started_vm_learns_from_a_peer_what_the_copy_lacks(self) -> None:
        """A VM that starts must know the configuration of its peers."""
        self.list_store(2, 30, 1.0, ('c', 20, b'0 9'), ('era', 10, b'1'))
        changes, partial = self.replica.changes_since(_knowledge.START)
        self.assertFalse(partial)
        started = self.started_vm()
        relayed = entry.ChangeBatch(tuple(changes), 30, 2)
        started.receive(relayed, partial, 1.0, 0.0, 2.0)
        self.assertEqual(started.items['c'].value, b'0 12')
        self.assertEqual(started.documents_age(2.0), 2.0)
        self.assertEqual(started.position, position(32, 2))


def make_log(time_source: clock.Clock) -> _log.DecisionLog:
    """Return a log whose lines stay in ``handler.pending``."""
    reader, writer = os.pipe()
    os.close(reader)
    handler = _log.PipeHandler(writer)
    return _log.DecisionLog('vm', 1000.0, time_source, handler)


class TestLog(unittest.TestCase):
    """The log is bounded and never blocks."""

    def test_full_pipe_drops_lines(self) -> None:
        """The process must not wait for the reader of its log."""
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

    def test_each_kind_has_its_own_budget(self) -> None:
        """Many lines about attempts must not displace those about failures."""
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
    """Background tasks that raise an exception."""

    async def test_failed_task_is_restarted(self) -> None:
        """A VM must not stop reading the store after an exception.

        The text of the exception must not be logged.
        """
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


class SyncCase(unittest.IsolatedAsyncioTestCase):
    """A store, and a VM to which others can connect as a peer."""

    async def asyncSetUp(self) -> None:
        """Start a store, and a VM with a peer listener."""
        self.clock = clock.SystemClock()
        self.log = make_log(self.clock)
        self.store = platform_store.FakePlatformStore()
        await self.store.start()
        self.session = aiohttp.ClientSession()
        self.tasks: list[asyncio.Task[None]] = []
        self.peer = self.vm('v2', self.store.address)
        self.runner = web.ServerRunner(
            web.Server(lambda request: self.relay(request))
        )
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
        await self.store.stop()

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request as the peer does."""
        listener = _peers.PeerListener(
            # Any: only token requests use the state.
            typing.cast(typing.Any, None),
            self.peer,
            self.peer.store,
            self.clock,
            self.log,
        )
        return await listener.handle(request)

    def vm(self, name: str, store: str, *seeds: str) -> _sync.StoreSync:
        """Return the store sync of a VM, with the bounds of the samples."""
        client = _store.PlatformStoreClient(
            f'http://{store}', self.session, 1.0
        )
        members = _membership.MemberTable()
        replica = _knowledge.StoreReplica(
            lambda found: members.apply_change(found, self.clock.now()),
            UnleasedRules(),
        )
        registration = _membership.Registration(
            client,
            samples.member(name),
            members,
            replica,
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
            samples.BOUNDS.config_apply_s,
            self.clock,
            self.log,
        )

    def start_task(self, work: typing.Coroutine[object, object, None]) -> None:
        """Run a coroutine as a task until the test ends."""
        self.tasks.append(asyncio.ensure_future(work))

    async def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.02)

    def add_zone_members(self, sync: _sync.StoreSync, *names: str) -> None:
        """Add VMs of one zone to a VM's members, with the peer's address."""
        for name in names:
            row = samples.member(name)._replace(peers=self.peer_address)
            sync.members.live[name] = row


class TestStoreSync(SyncCase):
    """Two VMs and a store that one of them may be unable to reach."""

    async def test_store_changes_arrive(self) -> None:
        """Changes of the configuration must arrive in the replica."""
        self.store.put('op/config', b'1')
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: 'op/config' in self.peer.replica.items)
        self.store.put('op/config', b'2')
        await self.wait_until(
            lambda: self.peer.replica.items['op/config'].value == b'2'
        )

    async def test_dropped_history_leads_to_a_new_listing(self) -> None:
        """Deletions that a dropped history hides must be noticed."""
        self.store.put('servers/1', b'1')
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: 'servers/1' in self.peer.replica.items)
        self.store.delete('servers/1')
        self.store.put('servers/2', b'2')
        self.store.drop_history()
        await self.wait_until(
            lambda: set(self.peer.replica.items) == {'servers/2'}
        )

    async def test_vm_without_store_fetches_from_peer(self) -> None:
        """A VM without the store must not refuse callers if a peer has it."""
        self.store.put('op/config', b'1')
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: 'op/config' in self.peer.replica.items)
        isolated = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.start_task(isolated.run_relay())
        await self.wait_until(lambda: 'op/config' in isolated.replica.items)
        age = isolated.replica.age(self.clock.now())
        self.assertLess(age, 5.0)
        self.store.put('op/config', b'2')
        self.store.put('op/more', b'3')
        await self.wait_until(lambda: 'op/more' in isolated.replica.items)
        self.assertEqual(isolated.replica.items['op/config'].value, b'2')

    async def test_large_relayed_content_is_compressed(self) -> None:
        """A full listing must not fill the link of a small VM.

        VMs of sites that were extended have links of 5 Mbit/s, and a
        configuration with many routes has hundreds of kilobytes.
        """
        routes = b','.join(b'{"prefix":"/r%d/"}' % n for n in range(4000))
        self.store.put('op/config', routes)
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: 'op/config' in self.peer.replica.items)
        isolated = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.start_task(isolated.run_relay())
        await self.wait_until(lambda: 'op/config' in isolated.replica.items)
        self.assertEqual(isolated.replica.items['op/config'].value, routes)
        async with self.session.get(
            f'http://{self.peer_address}{_sync.KNOWLEDGE_PATH}',
            params={'after': '0'},
        ) as response:
            sent = response.headers.get('Content-Length', '0')
            self.assertEqual(response.headers['Content-Encoding'], 'deflate')
            self.assertLess(int(sent), len(routes) / 2)

    async def test_relayed_content_keeps_its_age(self) -> None:
        """Two VMs must not make each other's replicas look recent."""
        self.peer.replica.apply(
            entry.ChangeBatch((), 5),
            self.clock.now() - 2.5,
            self.clock.now(),
        )
        isolated = self.vm('v1', '127.0.0.1:1', self.peer_address)
        self.assertTrue(await isolated.fetch_from_peer(self.peer_address))
        self.assertGreaterEqual(isolated.replica.age(self.clock.now()), 2.5)

    async def test_one_vm_reads_for_its_zone(self) -> None:
        """The number of store calls must not grow with the number of VMs."""
        self.store.put('op/config', b'1')
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: 'op/config' in self.peer.replica.items)
        follower = self.vm('v1', self.store.address)
        self.add_zone_members(follower, 'v0', 'v1')
        follower.read_store = self.fail  # type: ignore[method-assign]
        self.start_task(follower.run_store())
        await self.wait_until(lambda: 'op/config' in follower.replica.items)
        self.store.put('op/config', b'2')
        await self.wait_until(
            lambda: follower.replica.items['op/config'].value == b'2'
        )
        self.assertLess(follower.replica.age(self.clock.now()), 2.5)

    async def test_zone_reader_follows_nobody(self) -> None:
        """The VMs of a zone must not all wait for each other."""
        self.add_zone_members(self.peer, 'v2', 'v3')
        self.assertEqual(self.peer.zone_reader(0.0), '')

    async def test_vm_reads_store_if_its_reader_fails(self) -> None:
        """A replica must not get old because the zone's reader is gone."""
        self.store.put('op/config', b'1')
        follower = self.vm('v1', self.store.address)
        self.add_zone_members(follower, 'v0', 'v1')
        unreachable = follower.members.live['v0']._replace(peers='127.0.0.1:1')
        follower.members.live['v0'] = unreachable
        self.start_task(follower.run_store())
        await self.wait_until(lambda: 'op/config' in follower.replica.items)

    async def test_vm_reads_store_if_its_reader_is_outdated(self) -> None:
        """A VM must not follow a reader that cannot reach the store."""
        self.store.put('op/config', b'1')
        now = self.clock.now()
        self.peer.replica.apply(entry.ChangeBatch((), 1), now - 2.4, now)
        follower = self.vm('v1', self.store.address)
        self.add_zone_members(follower, 'v0', 'v1')
        self.start_task(follower.run_store())
        await self.wait_until(lambda: 'op/config' in follower.replica.items)

    async def test_old_replica_is_not_relayed(self) -> None:
        """A chain of relays must not hide an outage of the store."""
        self.peer.replica.apply(
            entry.ChangeBatch((), 5),
            self.clock.now() - 3.5,
            self.clock.now(),
        )
        self.assertIsNone(self.peer.relay_answer(position(0)))

    async def test_vm_registers_again_after_lost_lease(self) -> None:
        """Look-ups must name a VM again after it lost its lease."""
        self.start_task(self.peer.run_store())
        self.start_task(self.peer.registration.run())
        await self.wait_until(lambda: 'v2' in self.peer.members.live)
        lease = self.peer.registration.lease
        assert lease is not None
        self.store.expire_lease(lease.lease_id)
        await self.wait_until(lambda: 'v2' not in self.peer.members.live)
        await self.wait_until(lambda: 'v2' in self.peer.members.live)
        self.assertEqual(self.peer.members.vms_with_quota('v2'), {'v2'})

    async def test_restored_store_is_followed(self) -> None:
        """VMs must follow a store that was restored from an older copy.

        They ignored it until its revisions had caught up with theirs, and
        refused all requests meanwhile.
        """
        self.store.put('op/config', b'1')
        older = self.store.make_copy()
        for number in range(20):
            self.store.put('a', str(number).encode())
        self.start_task(self.peer.run_store())
        await self.wait_until(
            lambda: self.peer.replica.position.revision == self.store.revision
        )
        follower = self.vm('v1', self.store.address)
        self.add_zone_members(follower, 'v0', 'v1')
        follower.read_store = self.fail  # type: ignore[method-assign]
        self.start_task(follower.run_store())
        await self.wait_until(lambda: 'a' in follower.replica.items)
        self.store.restore(older)
        self.store.put('op/config', b'2')
        for sync in (self.peer, follower):
            await self.wait_until(
                lambda sync=sync: (  # type: ignore[misc]
                    sync.replica.items['op/config'].value == b'2'
                )
            )
            self.assertLess(sync.replica.age(self.clock.now()), 2.0)
            self.assertEqual(sync.replica.position.era, 2)
            self.assertEqual(sync.restores, 1)

    async def test_vm_registers_again_after_a_restore(self) -> None:
        """Look-ups and shares of rates must not lose a VM.

        The restored store gave its lease id to another VM, so that renewals
        of it succeeded.
        """
        older = self.store.make_copy()
        registration = self.peer.registration
        self.assertTrue(await registration.register())
        lease = registration.lease
        assert lease is not None
        self.store.restore(older)
        other = await self.peer.store.grant_lease(3.0)
        self.assertEqual(other.unwrap().lease_id, lease.lease_id)
        self.assertFalse(await registration.renew(lease))
        self.assertTrue(await registration.register())
        self.assertLessEqual({'vms/v2', 'fleet/v2'}, set(self.store.items))

    async def test_first_vm_records_a_settled_era(self) -> None:
        """VMs that start later must not wait for what the copy may lack."""
        self.store.put('op/config', b'1')
        self.add_zone_members(self.peer, 'v2', 'v3')
        self.start_task(self.peer.run_store())
        await self.wait_until(lambda: _sync.ERA_KEY in self.store.items)
        self.assertTrue(self.peer.replica.is_settled())
        started = self.vm('v1', self.store.address)
        self.assertIsNone(await started.read_store())
        self.assertLess(started.replica.documents_age(self.clock.now()), 1.0)

    async def test_started_vm_asks_peers_about_a_restored_store(self) -> None:
        """A VM that starts must not be unready if a peer knows better."""
        now = self.clock.now()
        self.peer.replica.replace(entry.ChangeBatch((), 5, 1), now, now)
        self.peer.replica.settles_at = now
        started = self.vm('v1', self.store.address, self.peer_address)
        self.assertIsNone(await started.read_store())
        self.assertEqual(
            started.replica.documents_age(self.clock.now()), float('inf')
        )
        self.start_task(started.run_relay())
        await self.wait_until(
            lambda: started.replica.documents_age(self.clock.now()) < 1.0
        )

    async def test_failed_registration_is_logged(self) -> None:
        """The log must explain why look-ups do not name a VM."""
        written: list[str] = []
        registration = self.peer.registration
        registration.log.write = (  # type: ignore[method-assign]
            lambda kind, **fields: written.append(f'{kind} {fields}')
        )
        self.store.status = 503
        self.assertFalse(await registration.register())
        self.assertEqual(
            written,
            ["registration_failed {'step': 'grant', 'fault': 'refused'}"],
        )

    async def test_deregistered_vm_is_not_listed(self) -> None:
        """Callers must not be sent to a VM that stops."""
        self.start_task(self.peer.run_store())
        self.start_task(self.peer.registration.run())
        await self.wait_until(lambda: 'v2' in self.peer.members.live)
        await self.peer.registration.deregister()
        self.assertNotIn('vms/v2', self.store.items)
        self.assertIn('fleet/v2', self.store.items)

    async def test_vm_that_stops_while_it_registers_is_not_listed(
        self,
    ) -> None:
        """Guards against registering after the start of a stop."""
        registration = self.peer.registration
        self.store.delay_s = 0.2
        self.start_task(registration.run())
        await self.wait_until(lambda: 'fleet/v2' in self.store.items)
        await asyncio.sleep(0.1)
        # The last call of the registration has been sent.
        await registration.deregister()
        await self.wait_until(
            lambda: self.store.calls.get('kv-lease-end', 0) > 0
        )
        await asyncio.sleep(2 * self.store.delay_s)
        self.assertNotIn('vms/v2', self.store.items)
        self.assertIsNone(registration.lease)

    async def test_failed_deregistration_is_repeated(self) -> None:
        """Guards against look-ups that name a VM that has stopped.

        The store does not answer at the signal; peers must not keep the lease
        alive.
        """
        self.start_task(self.peer.registration.run())
        await self.wait_until(lambda: 'vms/v2' in self.store.items)
        self.store.status = 503
        self.start_task(self.peer.registration.deregister())
        await self.wait_until(
            lambda: self.store.calls.get('kv-lease-end', 0) > 0
        )
        self.assertIsNone(self.peer.registration.lease)
        self.store.status = 0
        await self.wait_until(lambda: 'vms/v2' not in self.store.items)


class TestMemberTable(unittest.TestCase):
    """Which VMs are listed and which count for quotas."""

    def test_vm_without_lease_keeps_its_quota_share(self) -> None:
        """Two VMs must not use the same share of a rate limit."""
        table = _membership.MemberTable()
        table.apply_change(change('fleet/a', 1, b''), 0.0)
        table.apply_change(change('fleet/b', 2, b''), 0.0)
        self.assertEqual(len(table.vms_with_quota('a')), 2)
        self.assertEqual(table.departed_vms(1.0), [])
        self.assertEqual(
            table.departed_vms(_membership.QUOTA_RETENTION_S + 1.0),
            [('a', position(1)), ('b', position(2))],
        )
        table.apply_change(change('fleet/b', 3, None), 20.0)
        self.assertEqual(len(table.vms_with_quota('a')), 1)

    def test_unreadable_entry_is_ignored(self) -> None:
        """A key of another program version must not be listed as a VM."""
        table = _membership.MemberTable()
        table.apply_change(change('vms/a', 1, b'{"x":1}'), 0.0)
        self.assertEqual(table.live, {})

    def test_copy_does_not_bring_vms_back(self) -> None:
        """Look-ups must not name VMs that ended before a restore.

        VMs that run register anew, and those that were live stay so until
        then.
        """
        table = _membership.MemberTable()

        def put(name: str, written_in: int, seen_in: int) -> None:
            doc: _membership.MemberDoc = {
                'availability_zone': 'z',
                'region': 'a',
                'callers': f'{name}:1',
                'peers': f'{name}:2',
                'era': written_in,
            }
            table.apply_change(
                entry.Change(
                    f'vms/{name}', 5, json.dumps(doc).encode(), seen_in
                ),
                0.0,
            )

        put('a', 1, 1)
        put('a', 1, 2)
        put('b', 1, 2)
        self.assertEqual(set(table.live), {'a'})
        put('b', 2, 2)
        self.assertEqual(set(table.live), {'a', 'b'})
