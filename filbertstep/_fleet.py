"""Backend servers that may get new requests, by service and region."""

import math
import typing

from filbertstep import _health
from filbertstep import config
from filbertstep import systems

Servers = tuple[config.BackendServer, ...]


class Group(typing.NamedTuple):
    """The servers of a region that may get requests, and their names."""

    servers: Servers
    names: frozenset[str]


class ServerDirectory:
    """Reads the views in force and the health table.

    It keeps an index of the newest view, and what is usable for one tick
    unless a view or a server's health changes before.
    """

    def __init__(
        self, views: config.ViewTable, health: _health.HealthTable
    ) -> None:
        self.views = views
        self.health = health
        self.indexed: config.View | None = None
        self.index: dict[str, dict[str, Servers]] = {}
        self.groups: dict[str, dict[str, Group]] = {}
        self.groups_of: tuple[int, int, int] = (-1, -1, -1)
        self.groups_at = -math.inf

    def by_region(self, service: str) -> dict[str, Servers]:
        """Return all servers of a service by region."""
        view = self.views.newest
        if view is not self.indexed:
            self.indexed = view
            self.index = build_index(view)
        return self.index.get(service, {})

    def drained(
        self, kind: config.DrainTarget, now: float
    ) -> typing.AbstractSet[str]:
        """Return the names that any view in force drains."""
        return {
            drain.target
            for view in self.views.in_force(now)
            for drain in view.config.drains.values()
            if drain.target_kind is kind
        }

    def usable(self, service: str, now: float) -> dict[str, Group]:
        """Return the servers that may get new requests, by region.

        A region without such a server maps to an empty group.
        """
        state = (
            self.views.index(),
            len(self.views.pending),
            self.health.version,
        )
        lapsed = not 0 <= now - self.groups_at < systems.TICK_INTERVAL_S
        if lapsed or state != self.groups_of:
            self.groups = {}
            self.groups_of = state
            self.groups_at = now
        found = self.groups.get(service)
        if found is None:
            found = self.groups[service] = self.build_groups(service, now)
        return found

    def build_groups(self, service: str, now: float) -> dict[str, Group]:
        """Return the groups of a service from tables and views."""
        drained = self.drained(config.DrainTarget.BACKEND_SERVER, now)
        groups = {}
        for region, servers in self.by_region(service).items():
            usable = tuple(
                server
                for server in servers
                if server.name not in drained
                and self.health.usable(server.name)
            )
            names = frozenset(server.name for server in usable)
            groups[region] = Group(usable, names)
        return groups


def build_index(
    view: config.View | None,
) -> dict[str, dict[str, Servers]]:
    """Return the servers of a view by service and region, sorted by name."""
    index: dict[str, dict[str, Servers]] = {}
    if view is None:
        return index
    for _, server in sorted(view.config.backend_servers.items()):
        regions = index.setdefault(server.service, {})
        regions[server.region] = (*regions.get(server.region, ()), server)
    return index
