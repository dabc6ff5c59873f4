"""Backend servers that may get new requests, by service and region."""

import typing

from filbertstep import _health
from filbertstep import config

Servers = tuple[config.BackendServer, ...]


class Fleet:
    """Reads the views in force and the health table; keeps only an index."""

    def __init__(
        self, views: config.ViewTable, health: _health.HealthTable
    ) -> None:
        self.views = views
        self.health = health
        self.indexed: config.View | None = None
        self.index: dict[str, dict[str, Servers]] = {}

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

    def usable(
        self, service: str, now: float
    ) -> dict[str, list[config.BackendServer]]:
        """Return servers that may get new requests, by region.

        A region without such a server maps to an empty list.
        """
        drained = self.drained(config.DrainTarget.BACKEND_SERVER, now)
        return {
            region: [
                server
                for server in servers
                if server.name not in drained
                and self.health.usable(server.name)
            ]
            for region, servers in self.by_region(service).items()
        }


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
