"""Finds the route of a request and its destination service."""

import typing

import xxhash

from filbertstep.steering import _model

# Points of a sequence at which VMs begin.  More than the steps after which the
# usual weights, whole numbers in a hundred, repeat.
START_POINTS: typing.Final = 101

# Ratio of the targets of two routes from which their requests count as
# unequal: the wait behind a long one alone misses the target of a short one.
MIN_UNEQUAL_TARGET_RATIO: typing.Final = 2.0


class RouteTable:
    """Routes and API keys of one configuration.

    The routes of each host are sorted by decreasing prefix length.
    """

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
        """Return the route with the longest matching path prefix."""
        host_name = host.partition(':')[0].lower()
        for route in self.routes_by_host.get(host_name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def unequal_services(
    configuration: _model.Configuration,
) -> frozenset[str]:
    """Return the services whose requests take very different times.

    Their targets tell.  Only requests of client accounts count: public routes
    often have no target of their own.
    """
    targets: dict[str, list[float]] = {}
    for route in configuration.routes:
        if route.public or route.target_s <= 0.0:
            continue
        for destination in route.destinations:
            targets.setdefault(destination.service, []).append(route.target_s)
    return frozenset(
        service
        for service, times in targets.items()
        if max(times) >= MIN_UNEQUAL_TARGET_RATIO * min(times)
    )


class WeightedBalancer:
    """Distributes a route's requests over its destinations by weight.

    Unlike a random choice, smooth weighted round-robin keeps each destination
    within one request of its share at any time.  Each VM begins at another
    point of the sequence, given by its name: where many VMs have a few
    requests each, those of all VMs together keep to the weights too.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.credits: dict[tuple[str, str], float] = {}
        # Weights with which the sequence of a route began.
        self.sequences: dict[str, tuple[_model.Destination, ...]] = {}

    def choose_service(self, route: _model.Route) -> str:
        """Return the destination service of a route's next request."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        if self.sequences.get(route.name) != route.destinations:
            self.sequences[route.name] = route.destinations
            steps = rendezvous_rank(self.vm, route.name) % START_POINTS
            for _ in range(steps):
                self.next_service(route)
        return self.next_service(route)

    def next_service(self, route: _model.Route) -> str:
        """Return the next destination of the sequence of a route."""
        total = sum(destination.weight for destination in route.destinations)
        best = route.destinations[0].service
        best_credit = float('-inf')
        for destination in route.destinations:
            credit_key = (route.name, destination.service)
            self.credits[credit_key] = (
                self.credits.get(credit_key, 0.0) + destination.weight
            )
            if (
                destination.weight > 0
                and self.credits[credit_key] > best_credit
            ):
                best, best_credit = (
                    destination.service,
                    self.credits[credit_key],
                )
        self.credits[(route.name, best)] -= total
        return best


def rendezvous_rank(candidate_id: str, key: str) -> int:
    """Return the rendezvous hash of a candidate for a key.

    The candidate with the highest rank is preferred.
    """
    return xxhash.xxh3_64_intdigest(f'{candidate_id}\0{key}'.encode())
