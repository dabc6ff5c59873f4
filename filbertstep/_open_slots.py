"""Slots without a limit: the baseline that benchmarks compare with.

No slot is owned or lent and no request waits for one, so that only the queues
and the load shedding of the backend servers bound their load.  A node uses
this only when its settings name a choice policy other than the default.
"""

import collections
import typing

from filbertstep import config
from filbertstep import systems


class UnlimitedSlots(systems.System, systems.HeartbeatPart, systems.Slots):
    """Reports one idle slot on every backend server at all times."""

    part_name = 'slots'

    def __init__(self, views: config.ViewTable) -> None:
        self.views = views
        self.used: collections.Counter[str] = collections.Counter()

    def tick(self, now: float) -> None:
        """Do nothing: every hold is released when its request ends."""

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return an empty heartbeat part."""
        return {}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Ignore peers: each VM decides on its own."""

    def servers(self, service: str) -> list[config.BackendServer]:
        """Return the servers of a service in the newest view."""
        view = self.views.newest
        rows = {} if view is None else view.config.backend_servers
        return [row for row in rows.values() if row.service == service]

    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return one idle slot for each server, whatever runs there."""
        return {
            row.name: 1
            for row in self.servers(service)
            if row.region == region
        }

    def in_use_count(self, server: str) -> int:
        """Return how many requests this VM has on a backend server."""
        return self.used[server]

    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Count one more request.

        The slot is number 0, which every stage of a slow start allows.
        Returns None for an unknown server.
        """
        view = self.views.newest
        row = None if view is None else view.config.backend_servers.get(server)
        if row is None:
            return None
        self.used[server] += 1
        return systems.SlotHold(
            server, 0, row.service, row.region, None, now + run_for_s
        )

    def release(self, hold: systems.SlotHold, now: float) -> None:
        """Count one request less."""
        self.used[hold.server] -= 1

    def release_at_deadline(self, hold: systems.SlotHold) -> None:
        """Count one request less; no slot has to stay occupied for it."""
        self.used[hold.server] -= 1

    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Do nothing: slots are never borrowed."""

    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return 1.0 for every region that has servers of the service."""
        return {row.region: 1.0 for row in self.servers(service)}

    async def hand_over(self) -> None:
        """Do nothing: no slot is borrowed."""
