"""Directory of the usable backend servers by service and region."""

import math
import typing

from filbertstep import _health
from filbertstep import config
from filbertstep import systems

Servers = tuple[config.BackendServer, ...]


class ServerGroup(typing.NamedTuple):
    """The usable servers of a service in a region, and their names."""

    servers: Servers
    names: frozenset[str]


class ServerDirectory:
    """Finds servers from the configuration views and the health table.

    It caches an index of the newest view.  It also caches the usable servers
    for one tick, or until a view or the health of a server changes.
    """

    def __init__(
        self, views: config.ViewTable, health: _health.HealthTable
    ) -> None:
        self.views = views
        self.health = health
        self.indexed_view: config.View | None = None
        self.servers_by_service: dict[str, dict[str, Servers]] = {}
        self.groups: dict[str, dict[str, ServerGroup]] = {}
        self.groups_key: tuple[int, int, int] = (-1, -1, -1)
        self.groups_built_at = -math.inf

    def servers_by_region(self, service: str) -> dict[str, Servers]:
        """Return all configured servers of a service by region."""
        view = self.views.newest
        if view is not self.indexed_view:
            self.indexed_view = view
            self.servers_by_service = build_index(view)
        return self.servers_by_service.get(service, {})

    def drained_names(
        self, kind: config.DrainTarget, now: float
    ) -> typing.AbstractSet[str]:
        """Return the names of drained servers or regions.

        A name counts as drained if any view in force drains it.
        """
        return {
            drain.target
            for view in self.views.in_force(now)
            for drain in view.config.drains.values()
            if drain.target_kind is kind
        }

    def usable_servers(
        self, service: str, now: float
    ) -> dict[str, ServerGroup]:
        """Return the servers that may get new requests, by region.

        A region whose servers are all unusable has an empty group.
        """
        key = (
            self.views.head_index(),
            len(self.views.pending),
            self.health.version,
        )
        expired = not 0 <= now - self.groups_built_at < systems.TICK_INTERVAL_S
        if expired or key != self.groups_key:
            self.groups = {}
            self.groups_key = key
            self.groups_built_at = now
        groups = self.groups.get(service)
        if groups is None:
            groups = self.groups[service] = self.build_groups(service, now)
        return groups

    def build_groups(self, service: str, now: float) -> dict[str, ServerGroup]:
        """Compute the usable servers of a service by region."""
        drained = self.drained_names(config.DrainTarget.BACKEND_SERVER, now)
        groups = {}
        for region, servers in self.servers_by_region(service).items():
            usable = tuple(
                server
                for server in servers
                if server.name not in drained
                and self.health.is_usable(server.name)
            )
            names = frozenset(server.name for server in usable)
            groups[region] = ServerGroup(usable, names)
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
