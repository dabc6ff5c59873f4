"""Followers of the VM that reads the store for its availability zone."""

import asyncio
import typing
import unittest

from aiohttp import web

from filbertstep import entry
from filbertstep.entry import _sync
from tests import test_entry_knowledge

CONFIGURATION_KEY = 'op/config'

# Bounds on applying a configuration, in seconds.
BOUNDS_S = (1.0, 2.0, 3.0)


class TestFollowing(test_entry_knowledge.SyncCase):
    """The peer reads the store for its zone, and loses its way to it."""

    async def asyncSetUp(self) -> None:
        """Start a reader that answers until ``answers_until``."""
        await super().asyncSetUp()
        self.answers_until = float('inf')
        # An answer in place of the peer's own one.
        self.answered_doc: dict[str, typing.Any] | None = None

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request as the peer does, or not at all."""
        if self.clock.now() >= self.answers_until:
            await asyncio.sleep(3600)
        if self.answered_doc is not None:
            return web.json_response(self.answered_doc)
        return await super().relay(request)

    def follower(self, config_apply_s: float) -> _sync.StoreSync:
        """Return a VM whose zone the peer reads for."""
        follower = self.vm('v1', self.store.address)
        follower.config_apply_s = config_apply_s
        self.add_zone_members(follower, 'v0', 'v1')
        return follower

    def cut_reader_off(self, age_s: float) -> float:
        """Let the reader know the store as it was ``age_s`` seconds ago.

        The configuration changes right after that.  Returns the time of the
        change, as the latest time at which the reader knows the store.
        """
        revision = self.store.put(CONFIGURATION_KEY, b'old')
        now = self.clock.now()
        self.peer.replica.apply(
            entry.ChangeBatch(
                (entry.Change(CONFIGURATION_KEY, revision, b'old', 1),),
                revision,
                self.peer.replica.position.era,
            ),
            now - age_s,
            now,
        )
        self.store.put(CONFIGURATION_KEY, b'new')
        return now - age_s

    async def applied_at(self, follower: _sync.StoreSync) -> float:
        """Return when the follower has the new configuration."""

        def is_applied() -> bool:
            known = follower.replica.items.get(CONFIGURATION_KEY)
            return known is not None and known.value == b'new'

        await self.wait_until(is_applied)
        return self.clock.now()

    async def check_cut(self, age_s: float, config_apply_s: float) -> None:
        """Check when a follower applies what its reader does not know."""
        self.peer = self.vm('v2', self.store.address)
        self.peer.replica.position = entry.Position(1, 0)
        changed_at = self.cut_reader_off(age_s)
        follower = self.follower(config_apply_s)
        self.start_task(follower.run_store())
        applied_at = await self.applied_at(follower)
        self.assertLess(applied_at - changed_at, config_apply_s)

    async def test_reader_without_store_is_not_followed_too_long(self) -> None:
        """Guards against a configuration that is used beyond its bound."""
        for config_apply_s in BOUNDS_S:
            for share in (0.4, 0.7):
                with self.subTest(bound=config_apply_s, share=share):
                    await self.check_cut(
                        share * config_apply_s, config_apply_s
                    )

    async def test_long_bound_does_not_delay_other_changes(self) -> None:
        """Guards against requests to servers that have left.

        Their bound is not among the settings.
        """
        self.peer = self.vm('v2', self.store.address)
        self.peer.replica.position = entry.Position(1, 0)
        changed_at = self.cut_reader_off(0.9)
        follower = self.follower(9.0)
        self.start_task(follower.run_store())
        self.assertLess(await self.applied_at(follower) - changed_at, 2.0)

    async def test_silent_reader_is_not_followed_too_long(self) -> None:
        """Guards against waiting for a reader beyond the bound."""
        for config_apply_s in BOUNDS_S:
            with self.subTest(bound=config_apply_s):
                self.answers_until = self.clock.now() + 0.1
                await self.check_cut(0.5 * config_apply_s, config_apply_s)
                self.answers_until = float('inf')

    async def test_nothing_is_listed_when_following_ends(self) -> None:
        """Guards against a long listing before the new configuration.

        The content that the reader relayed is complete, so a watch from its
        position suffices.
        """
        self.peer.replica.position = entry.Position(1, 0)
        self.cut_reader_off(0.5)
        follower = self.follower(2.0)
        self.start_task(follower.run_store())
        await self.applied_at(follower)
        self.assertNotIn('kv-range', self.store.calls)

    async def test_quiet_store_is_read_by_the_reader_alone(self) -> None:
        """Guards against followers that read while nothing changes.

        An empty answer to a watch confirms what was known when the watch was
        sent, so that a quiet store makes the reader's content older.
        """
        self.store.put(CONFIGURATION_KEY, b'old')
        for config_apply_s in BOUNDS_S:
            with self.subTest(bound=config_apply_s):
                self.peer.config_apply_s = config_apply_s
                reading = asyncio.ensure_future(self.peer.run_store())
                await self.wait_until(
                    lambda: CONFIGURATION_KEY in self.peer.replica.items
                )
                follower = self.follower(config_apply_s)
                follower.read_store = (  # type: ignore[method-assign]
                    self.fail
                )
                following = asyncio.ensure_future(follower.run_store())
                await asyncio.sleep(3.0)
                self.assertFalse(following.done())
                following.cancel()
                reading.cancel()

    async def test_negative_ages_are_not_believed(self) -> None:
        """Guards against content that looks newer than its fetch."""
        doc: dict[str, typing.Any] = {
            'documents_age_s': 0.0,
            'era': 0,
            'revision': 5,
            'partial': False,
            'changes': [],
        }
        follower = self.follower(2.0)
        for field, ages in (
            ('age_s', {'age_s': -9.0}),
            ('documents_age_s', {'age_s': 0.0, 'documents_age_s': -9.0}),
        ):
            with self.subTest(field=field):
                self.answered_doc = {**doc, **ages}
                self.assertFalse(
                    await follower.fetch_from_peer(self.peer_address)
                )
                self.assertEqual(
                    follower.replica.age(self.clock.now()), float('inf')
                )


if __name__ == '__main__':
    unittest.main()
