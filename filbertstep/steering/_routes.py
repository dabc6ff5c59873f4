"""Finds the route of a request and the service that it goes to."""

import typing

import xxhash

from filbertstep.steering import _model


class RouteTable:
    """Routes of one configuration by host, the longest prefix first."""

    def __init__(self, configuration: _model.Configuration) -> None:
        self.routes_by_host: dict[str, list[_model.Route]] = {}
        self.accounts_by_key: dict[str, _model.ClientAccount] = {
            key: account
            for account in configuration.accounts.values()
            for key in account.api_keys
        }
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> _model.Route | None:
        """Return the route with the longest prefix that begins the path."""
        name = host.partition(':')[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedBalancer:
    """Deals a route's requests to its destinations by weight.

    Smooth weighted round-robin keeps each destination within one request of
    its share at any time, which a random draw would not.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple[str, str], float] = {}

    def choose_service(self, route: _model.Route) -> str:
        """Return the service of a route's next request."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        total = sum(item.weight for item in route.destinations)
        best = route.destinations[0].service
        highest = float('-inf')
        for item in route.destinations:
            row = (route.name, item.service)
            self.credits[row] = self.credits.get(row, 0.0) + item.weight
            if item.weight > 0 and self.credits[row] > highest:
                best, highest = item.service, self.credits[row]
        self.credits[(route.name, best)] -= total
        return best


def rendezvous_rank(server_id: str, name: str) -> int:
    """Return the rendezvous rank of a server for an object; higher wins."""
    return xxhash.xxh3_64_intdigest(f'{server_id}\0{name}'.encode())
