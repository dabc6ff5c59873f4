"""Which slots of backend servers this VM owns.

A slot is owned when every epoch of the look-back gives it to this process, in
every region in which the server was configured meanwhile, and every view in
force has the server and the slot.  The look-back is ``EVIDENCE_LIFETIME_S``
plus the service's longest deadline plus ``TAKEOVER_MARGIN_S``: a former owner
may act and lend for the first, and what it or its borrower started ends within
the other two (see ``_slots``).
"""

import typing

from filbertstep import _ownership
from filbertstep import config
from filbertstep import systems

# Time in seconds beyond the longest deadline: loans last LOAN_MARGIN_S longer
# than a deadline, and one second covers transit and ticks.
LOAN_MARGIN_S: typing.Final = 2.0
TAKEOVER_MARGIN_S: typing.Final = LOAN_MARGIN_S + 1.0

# The longest look-back of any service.
HISTORY_S: typing.Final = (
    config.EVIDENCE_LIFETIME_S + config.MAX_DEADLINE_S + TAKEOVER_MARGIN_S
)

NO_SLOTS: typing.Final[frozenset[int]] = frozenset()


class Place(typing.NamedTuple):
    """Region and service of a backend server in some view."""

    region: str
    service: str


class SlotTable:
    """Owned slots by backend server, kept in line with the views in force."""

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.views = views
        self.epoch_ids = _ownership.EpochIdCache()
        self.owned: dict[str, frozenset[int]] = {}
        self.drained: set[str] = set()
        self.servers: dict[Place, list[str]] = {}
        self.limits: dict[str, float] = {}
        # Last time at which a view in force had a server at a place, and a
        # service with a deadline.  Former views are kept for a shorter time
        # than requests run that began under them.
        self.groups_seen: dict[str, dict[Place, float]] = {}
        self.deadlines_seen: dict[str, dict[float, float]] = {}
        self.known_since: float | None = None
        self.seen: tuple[object, ...] = ()
        self.refreshed_at = float('-inf')
        self.ownership_cache: dict[tuple[str, str, str], list[bool]] = {}
        self.lookbacks: dict[float, dict[str, config.Epoch]] = {}

    def refresh(self, now: float) -> None:
        """Apply a changed view at once and a lapsed one within a tick."""
        seen = (
            self.views.index(),
            self.views.epochs_known_since,
            tuple(self.views.pending),
        )
        due = now - self.refreshed_at >= systems.TICK_INTERVAL_S
        if seen == self.seen and not due:
            return
        self.seen = seen
        self.refreshed_at = now
        views = self.views.in_force(now)
        self.note_history(views, now)
        self.lookbacks = {}
        self.set_owned(views, now)
        used = {key for epochs in self.lookbacks.values() for key in epochs}
        self.ownership_cache = {
            key: row
            for key, row in self.ownership_cache.items()
            if key[0] in used
        }

    def note_history(self, views: list[config.View], now: float) -> None:
        """Note where servers are and how long requests may run."""
        for view in views:
            for row in view.config.backend_servers.values():
                place = Place(row.region, row.service)
                self.groups_seen.setdefault(row.name, {})[place] = now
            for service in view.config.services.values():
                seen = self.deadlines_seen.setdefault(service.name, {})
                seen[service.deadline_s] = now
        forget_older(self.groups_seen, now - HISTORY_S)
        forget_older(self.deadlines_seen, now - HISTORY_S)
        if views and self.known_since is None:
            self.known_since = now
        if views and self.first_member(views[0].epoch):
            self.known_since = float('-inf')

    def first_member(self, epoch: config.Epoch) -> bool:
        """Tell whether this process is a member of the first epoch."""
        return epoch.number == 1 and epoch.holds(self.vm, self.incarnation)

    def longest_deadline(self, service: str, now: float) -> float:
        """Return the longest time for which a request may be running.

        A VM that knows the views only for a short time does not know which
        deadlines were in force before.
        """
        since = self.known_since
        if since is None or now - since < HISTORY_S:
            return config.MAX_DEADLINE_S
        seen = self.deadlines_seen.get(service, {})
        return max(seen, default=config.MAX_DEADLINE_S)

    def set_owned(self, views: list[config.View], now: float) -> None:
        """Compute the owned slots and the limits of run times."""
        self.owned = {}
        self.servers = {}
        self.drained = {
            drain.target
            for view in views
            for drain in view.config.drains.values()
            if drain.target_kind is config.DrainTarget.BACKEND_SERVER
        }
        self.limits = run_limits(views)
        for name, row in (
            views[0].config.backend_servers.items() if views else ()
        ):
            slots = self.owned_slots(name, views, now)
            self.owned[name] = slots
            place = Place(row.region, row.service)
            self.servers.setdefault(place, []).append(name)

    def owned_slots(
        self, server: str, views: list[config.View], now: float
    ) -> frozenset[int]:
        """Return the slots of a server that this VM owns."""
        rows = [view.config.backend_servers.get(server) for view in views]
        present = [row for row in rows if row is not None]
        places = self.groups_seen.get(server, {})
        if len(present) < len(rows) or not places:
            return NO_SLOTS
        deadline_s = max(
            self.longest_deadline(place.service, now) for place in places
        )
        epochs = self.epochs(deadline_s, now)
        if not epochs:
            return NO_SLOTS
        count = min(row.slots for row in present)
        lists = [
            self.share(epoch_id, epoch, server, place.region, count)
            for epoch_id, epoch in epochs.items()
            for place in places
        ]
        return frozenset(
            slot for slot in range(count) if all(row[slot] for row in lists)
        )

    def epochs(self, deadline_s: float, now: float) -> dict[str, config.Epoch]:
        """Return the epochs that must all give a slot, by id."""
        lookback_s = (
            config.EVIDENCE_LIFETIME_S + deadline_s + TAKEOVER_MARGIN_S
        )
        if lookback_s not in self.lookbacks:
            self.lookbacks[lookback_s] = self.epoch_ids.by_id(
                self.views.epochs(now, lookback_s)
            )
        return self.lookbacks[lookback_s]

    def share(
        self,
        epoch_id: str,
        epoch: config.Epoch,
        server: str,
        region: str,
        count: int,
    ) -> list[bool]:
        """Tell for each slot whether one epoch gives it to this process."""
        known = self.ownership_cache.setdefault((epoch_id, server, region), [])
        for slot in range(len(known), count):
            owner = _ownership.slot_owner(epoch, server, slot, region)
            known.append(
                owner.vm == self.vm and owner.incarnation == self.incarnation
            )
        return known

    def group_of(self, server: str) -> Place | None:
        """Return place of a server in the newest view."""
        newest = self.views.newest
        row = newest and newest.config.backend_servers.get(server)
        return Place(row.region, row.service) if row else None


def run_limits(views: list[config.View]) -> dict[str, float]:
    """Return the least deadline of each service that all views have."""
    found: dict[str, float] = {}
    for name in views[0].config.services if views else ():
        rows = [view.config.services.get(name) for view in views]
        present = [row.deadline_s for row in rows if row is not None]
        if len(present) == len(rows):
            found[name] = min(present)
    return found


Key = typing.TypeVar('Key')


def forget_older(history: dict[str, dict[Key, float]], oldest: float) -> None:
    """Drop what was last seen before a time."""
    for name, seen in list(history.items()):
        for key in [key for key, time in seen.items() if time < oldest]:
            del seen[key]
        if not seen:
            del history[name]
