"""Determines which slots of backend servers this VM owns.

A process owns a slot when every epoch of the look-back period gives it the
slot, for every region in which the server was configured during that period,
and every view in force contains the server and the slot.

The look-back period is the sum of ``EVIDENCE_LIFETIME_S``, the service's
longest deadline and ``TAKEOVER_MARGIN_S``.  A former owner may start requests
and lend slots during the first of them, and the requests that it or its
borrower started end within the other two (see ``_slots``).
"""

import typing

from filbertstep import _ownership
from filbertstep import config
from filbertstep import systems

# A loan lasts for a deadline plus LOAN_MARGIN_S.  Another second covers
# transit times and the interval between ticks.
LOAN_MARGIN_S: typing.Final = 2.0
TAKEOVER_MARGIN_S: typing.Final = LOAN_MARGIN_S + 1.0

# The longest look-back period of any service.
MAX_LOOKBACK_S: typing.Final = (
    config.EVIDENCE_LIFETIME_S + config.MAX_DEADLINE_S + TAKEOVER_MARGIN_S
)

NO_SLOTS: typing.Final[frozenset[int]] = frozenset()


class ServerGroup(typing.NamedTuple):
    """Identifies the backend servers of one service in one region."""

    region: str
    service: str


class SlotTable:
    """Owned slots by backend server, kept up to date with the views in force.

    ``max_run_s`` is the longest time for which a request may run, by service.
    ``ownership_cache`` holds, by epoch id, server and region, whether each
    slot belongs to this process; ``epochs_by_lookback`` holds epochs by id,
    by the look-back period in seconds.
    """

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.views = views
        self.epoch_ids = _ownership.EpochIdCache()
        self.owned: dict[str, frozenset[int]] = {}
        self.drained_servers: set[str] = set()
        self.servers_by_group: dict[ServerGroup, list[str]] = {}
        self.max_run_s: dict[str, float] = {}
        # The last time at which a view in force had a server in a group, by
        # server, and a service with a deadline in seconds, by service.  Views
        # do not tell this: a former view is dropped before the requests that
        # started under it have ended.
        self.groups_seen: dict[str, dict[ServerGroup, float]] = {}
        self.deadlines_seen: dict[str, dict[float, float]] = {}
        self.views_known_since: float | None = None
        self.applied_views: tuple[object, ...] = ()
        self.refreshed_at = float('-inf')
        self.ownership_cache: dict[tuple[str, str, str], list[bool]] = {}
        self.epochs_by_lookback: dict[float, dict[str, config.Epoch]] = {}

    def refresh(self, now: float) -> None:
        """Apply changed views at once, and a view's expiry within a tick."""
        views_key = (
            self.views.head_index(),
            self.views.epochs_known_since,
            tuple(self.views.pending),
        )
        due = now - self.refreshed_at >= systems.TICK_INTERVAL_S
        if views_key == self.applied_views and not due:
            return
        self.applied_views = views_key
        self.refreshed_at = now
        views = self.views.in_force(now)
        self.record_history(views, now)
        self.epochs_by_lookback = {}
        self.update_owned(views, now)
        used = {
            key
            for epochs in self.epochs_by_lookback.values()
            for key in epochs
        }
        self.ownership_cache = {
            key: row
            for key, row in self.ownership_cache.items()
            if key[0] in used
        }

    def record_history(self, views: list[config.View], now: float) -> None:
        """Record the groups of servers and the deadlines of services."""
        for view in views:
            for row in view.config.backend_servers.values():
                group = ServerGroup(row.region, row.service)
                self.groups_seen.setdefault(row.name, {})[group] = now
            for service in view.config.services.values():
                seen = self.deadlines_seen.setdefault(service.name, {})
                seen[service.deadline_s] = now
        drop_older(self.groups_seen, now - MAX_LOOKBACK_S)
        drop_older(self.deadlines_seen, now - MAX_LOOKBACK_S)
        if views and self.views_known_since is None:
            self.views_known_since = now
        if views and self.is_first_epoch_member(views[0].epoch):
            self.views_known_since = float('-inf')

    def is_first_epoch_member(self, epoch: config.Epoch) -> bool:
        """Return whether this is epoch 1 and has this process as a member."""
        return epoch.number == 1 and epoch.has_member(
            self.vm, self.incarnation
        )

    def longest_deadline_s(self, service: str, now: float) -> float:
        """Return the longest deadline of requests that may still run.

        It is the highest possible deadline on a VM that has known the views
        for less than the longest look-back period, because it cannot know
        which deadlines were in force before.
        """
        since = self.views_known_since
        if since is None or now - since < MAX_LOOKBACK_S:
            return config.MAX_DEADLINE_S
        seen = self.deadlines_seen.get(service, {})
        return max(seen, default=config.MAX_DEADLINE_S)

    def update_owned(self, views: list[config.View], now: float) -> None:
        """Compute the owned slots, groups, drains and maximum run times."""
        self.owned = {}
        self.servers_by_group = {}
        self.drained_servers = {
            drain.target
            for view in views
            for drain in view.config.drains.values()
            if drain.target_kind is config.DrainTarget.BACKEND_SERVER
        }
        self.max_run_s = shortest_deadlines(views)
        for name, row in (
            views[0].config.backend_servers.items() if views else ()
        ):
            slots = self.find_owned_slots(name, views, now)
            self.owned[name] = slots
            group = ServerGroup(row.region, row.service)
            self.servers_by_group.setdefault(group, []).append(name)

    def find_owned_slots(
        self, server: str, views: list[config.View], now: float
    ) -> frozenset[int]:
        """Return the slots of a server that this VM owns."""
        rows = [view.config.backend_servers.get(server) for view in views]
        present = [row for row in rows if row is not None]
        groups = self.groups_seen.get(server, {})
        if len(present) < len(rows) or not groups:
            return NO_SLOTS
        deadline_s = max(
            self.longest_deadline_s(group.service, now) for group in groups
        )
        epochs = self.lookback_epochs(deadline_s, now)
        if not epochs:
            return NO_SLOTS
        count = min(row.slots for row in present)
        ownership_lists = [
            self.owned_under_epoch(
                epoch_id, epoch, server, group.region, count
            )
            for epoch_id, epoch in epochs.items()
            for group in groups
        ]
        return frozenset(
            slot
            for slot in range(count)
            if all(row[slot] for row in ownership_lists)
        )

    def lookback_epochs(
        self, deadline_s: float, now: float
    ) -> dict[str, config.Epoch]:
        """Return the epochs of a look-back period by id.

        All of them must give a slot to its owner.
        """
        lookback_s = (
            config.EVIDENCE_LIFETIME_S + deadline_s + TAKEOVER_MARGIN_S
        )
        if lookback_s not in self.epochs_by_lookback:
            self.epochs_by_lookback[lookback_s] = self.epoch_ids.by_id(
                self.views.epochs(now, lookback_s)
            )
        return self.epochs_by_lookback[lookback_s]

    def owned_under_epoch(
        self,
        epoch_id: str,
        epoch: config.Epoch,
        server: str,
        region: str,
        count: int,
    ) -> list[bool]:
        """Return for each slot whether an epoch gives it to this process."""
        known = self.ownership_cache.setdefault((epoch_id, server, region), [])
        for slot in range(len(known), count):
            owner = _ownership.slot_owner(epoch, server, slot, region)
            known.append(
                owner.vm == self.vm and owner.incarnation == self.incarnation
            )
        return known

    def group_of(self, server: str) -> ServerGroup | None:
        """Return the group of a server in the newest view, or None."""
        newest = self.views.newest
        row = newest and newest.config.backend_servers.get(server)
        return ServerGroup(row.region, row.service) if row else None


def shortest_deadlines(views: list[config.View]) -> dict[str, float]:
    """Return the shortest deadline of each service in all of the views."""
    found: dict[str, float] = {}
    for name in views[0].config.services if views else ():
        rows = [view.config.services.get(name) for view in views]
        present = [row.deadline_s for row in rows if row is not None]
        if len(present) == len(rows):
            found[name] = min(present)
    return found


Key = typing.TypeVar('Key')


def drop_older(history: dict[str, dict[Key, float]], oldest: float) -> None:
    """Drop entries that were last seen before ``oldest``."""
    for name, seen in list(history.items()):
        for key in [key for key, time in seen.items() if time < oldest]:
            del seen[key]
        if not seen:
            del history[name]
