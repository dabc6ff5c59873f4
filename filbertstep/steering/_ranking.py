"""Keeps the order of servers, so that no decision needs to sort them.

All that is kept here is derived from one generation of usable servers (see
``_servers.Generation``) and dropped with it.  Whatever changes without a new
generation, such as pauses and slow starts, is read from the records.
"""

import bisect
import collections
import collections.abc
import typing

from filbertstep.steering import _routes
from filbertstep.steering import _servers

# Bounds of the kept rendezvous orders: their number, and the number of servers
# in all of them together, 8 bytes each.  They fit some 700 objects of a
# service with 500 servers.
MAX_ORDERS: typing.Final = 8192
MAX_ORDERED_SERVERS: typing.Final = 2**19

# Longest object key whose orders are kept.  Callers choose the keys.
MAX_KEY_CHARACTERS: typing.Final = 256

# Age after which an order of load is built again.  Until then, no load in it
# decays to so little that its lower bound is inaccurate.
MAX_LOAD_ORDER_AGE_S: typing.Final = 30.0

# Estimates of other VMs' requests below these count as none.  The first may
# become 0 by rounding within ``MAX_LOAD_ORDER_AGE_S``.  The second is lost by
# rounding when it is added to at least one request.
MIN_REQUESTS_AT_IDLE: typing.Final = 1e-200
MIN_REQUESTS_AT_BUSY: typing.Final = 2.0**-60

# Factor of the lower bounds of loads, for rounding errors: these are below
# 1e-11 for the exponents that ``MIN_REQUESTS_AT_IDLE`` allows.
ROUNDING_MARGIN: typing.Final = 1.0 - 1e-9

# Changes for each server after which an order of load is built again.
MAX_CHANGES_PER_SERVER: typing.Final = 4


class LoadBound(typing.NamedTuple):
    """The load of a server by other VMs, for the time of its order.

    ``place`` is that of the server in its group.
    """

    load: float
    place: int


class LoadOrder:
    """Servers of a group by this VM's load, and then by that of other VMs.

    Loads are requests per slot.  Those of other VMs decay at the same rate, so
    they keep their order until something else changes.  Outdated bounds stay
    until the order is built again.
    """

    def __init__(
        self,
        servers: tuple[_servers.ServerRecord, ...],
        changes: _servers.LoadChanges,
    ) -> None:
        self.servers = servers
        self.places = {server: place for place, server in enumerate(servers)}
        self.slots = tuple(max(1, server.entry.slots) for server in servers)
        self.changes = changes
        self.restarts = -1
        self.changes_read = 0
        # The time for which the bounds hold, and that of the newest change.
        self.built_at = float('-inf')
        self.changed_at = float('-inf')
        self.bound_count = 0
        # Sorted bounds by this VM's load, and all its values, sorted.
        self.bounds: dict[float, list[LoadBound]] = {}
        self.own_loads: list[float] = []
        # The bound of each server that is not outdated.
        self.current: list[LoadBound] = []

    def refresh(self, now: float) -> float:
        """Apply the changes; return by what the bounds have decayed."""
        max_bounds = (1 + MAX_CHANGES_PER_SERVER) * len(self.servers)
        if (
            self.restarts != self.changes.restarts
            or self.bound_count > max_bounds
            or not 0.0 <= now - self.built_at <= MAX_LOAD_ORDER_AGE_S
        ):
            self.build(now)
        elif self.changes_read < len(self.changes.servers):
            for server in dict.fromkeys(
                self.changes.servers[self.changes_read :]
            ):
                place = self.places.get(server)
                if place is not None:
                    self.change(server, place)
        if now < self.changed_at:
            # Bounds of loads that are newer than ``now`` do not hold.
            self.build(now)
        self.changes_read = len(self.changes.servers)
        age_s = now - self.built_at
        return float(
            ROUNDING_MARGIN * 0.5 ** (age_s / _servers.LOAD_REPORT_HALF_LIFE_S)
        )

    def build(self, now: float) -> None:
        """Sort all servers by their loads at a time."""
        self.built_at = self.changed_at = now
        self.restarts = self.changes.restarts
        self.bound_count = 0
        self.bounds = {}
        self.own_loads = []
        self.current = [LoadBound(0.0, 0)] * len(self.servers)
        for place, server in enumerate(self.servers):
            self.add(server, place, server.current_other_vm_requests(now))

    def change(self, server: _servers.ServerRecord, place: int) -> None:
        """Move a server to the place of its new load."""
        changed_at = server.other_vm_requests_at
        if changed_at >= self.built_at:
            self.changed_at = max(self.changed_at, changed_at)
            # What would have decayed to this estimate since ``built_at``.  A
            # longer time ends after ``now``, and the order is built again.
            age_s = min(MAX_LOAD_ORDER_AGE_S, changed_at - self.built_at)
            requests = server.other_vm_requests * 2.0 ** (
                age_s / _servers.LOAD_REPORT_HALF_LIFE_S
            )
        else:
            requests = server.current_other_vm_requests(self.built_at)
        self.add(server, place, requests)

    def add(
        self, server: _servers.ServerRecord, place: int, requests: float
    ) -> None:
        """Add a bound, with an estimate of other VMs' requests."""
        own_load = server.in_progress / self.slots[place]
        min_requests = (
            MIN_REQUESTS_AT_BUSY
            if server.in_progress >= 1
            else MIN_REQUESTS_AT_IDLE
        )
        if requests < min_requests:
            requests = 0.0
        bound = LoadBound(requests / self.slots[place], place)
        self.current[place] = bound
        self.bound_count += 1
        bounds = self.bounds.get(own_load)
        if bounds is None:
            self.bounds[own_load] = [bound]
            bisect.insort(self.own_loads, own_load)
        else:
            bisect.insort(bounds, bound)

    def least_loaded(
        self,
        count: int,
        now: float,
        is_eligible: collections.abc.Callable[[_servers.ServerRecord], bool],
    ) -> list[_servers.ServerRecord]:
        """Return the eligible servers with the lowest load, the first lowest.

        Of servers with the same load, those that are first in the group come
        first.  Examines servers only up to the last one that may be among the
        result, by the lower bound of its load.
        """
        decay = self.refresh(now)
        current = self.current
        least: list[tuple[float, int]] = []
        limit, limit_place = float('inf'), len(self.servers)
        for own_load in self.own_loads:
            if own_load > limit:
                break
            for bound in self.bounds[own_load]:
                other_load, place = bound
                if (own_load + other_load * decay) * ROUNDING_MARGIN > limit:
                    break
                if own_load >= limit and place > limit_place:
                    continue
                if current[place] is not bound:
                    continue
                server = self.servers[place]
                load = server.estimated_requests(now) / self.slots[place]
                if (
                    load > limit
                    or (load == limit and place > limit_place)
                    or not is_eligible(server)
                ):
                    continue
                bisect.insort(least, (load, place))
                if len(least) > count:
                    least.pop()
                if len(least) == count:
                    limit, limit_place = least[-1]
                    # The rest of the idle servers comes later in the group,
                    # and all others have a load.
                    if limit <= 0.0:
                        break
        return [self.servers[place] for _, place in least]


class ServerGroup:
    """Servers of a service that are ranked together, in table order.

    ``positions`` are their places among the usable servers of the service.
    """

    def __init__(
        self,
        servers: tuple[_servers.ServerRecord, ...],
        positions: tuple[int, ...],
        changes: _servers.LoadChanges,
    ) -> None:
        self.servers = servers
        self.positions = positions
        self.load_order = LoadOrder(servers, changes)

    def first_position(self, excluded_ids: frozenset[str]) -> float:
        """Return the place of the first server that is not excluded."""
        for position, server in zip(self.positions, self.servers, strict=True):
            if server.entry.server_id not in excluded_ids:
                return position
        return float('inf')

    def rendezvous_order(
        self, object_key: str
    ) -> tuple[_servers.ServerRecord, ...]:
        """Return the servers by decreasing rendezvous hash for an object."""
        return tuple(
            sorted(
                self.servers,
                key=lambda server: (
                    -_routes.rendezvous_rank(
                        server.entry.server_id, object_key
                    )
                ),
            )
        )


class RankOrders:
    """Rendezvous orders of groups by object, least recently used first."""

    def __init__(self) -> None:
        self.orders: collections.OrderedDict[
            tuple[ServerGroup, str], tuple[_servers.ServerRecord, ...]
        ] = collections.OrderedDict()
        self.ordered_servers = 0

    def get(
        self, group: ServerGroup, object_key: str
    ) -> tuple[_servers.ServerRecord, ...]:
        """Return the rendezvous order of a group for an object."""
        key = (group, object_key)
        order = self.orders.get(key)
        if order is not None:
            self.orders.move_to_end(key)
            return order
        order = group.rendezvous_order(object_key)
        if len(object_key) > MAX_KEY_CHARACTERS:
            return order
        self.orders[key] = order
        self.ordered_servers += len(order)
        while (
            len(self.orders) > MAX_ORDERS
            or self.ordered_servers > MAX_ORDERED_SERVERS
        ):
            _, evicted = self.orders.popitem(last=False)
            self.ordered_servers -= len(evicted)
        return order

    def clear(self) -> None:
        """Drop all orders."""
        self.orders.clear()
        self.ordered_servers = 0
