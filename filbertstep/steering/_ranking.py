"""Keeps the order of servers, so that no decision needs to sort them.

All that is kept here is derived from one generation of usable servers (see
``_servers.Generation``) and dropped with it.  Whatever changes without a new
generation, such as pauses and slow starts, is read from the records.
"""

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


class ServerGroup:
    """Servers of a service that are ranked together, in table order.

    ``positions`` are their places among the usable servers of the service.
    """

    def __init__(
        self,
        servers: tuple[_servers.ServerRecord, ...],
        positions: tuple[int, ...],
    ) -> None:
        self.servers = servers
        self.positions = positions
        self.slots = tuple(max(1, server.entry.slots) for server in servers)
        self.members = frozenset(servers)

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

    def least_loaded(
        self,
        count: int,
        now: float,
        is_eligible: collections.abc.Callable[[_servers.ServerRecord], bool],
    ) -> list[_servers.ServerRecord]:
        """Return the eligible servers with the lowest load, the first lowest.

        The load is the number of requests per slot.  Of servers with the same
        load, those that are first in the table come first.
        """
        least: list[tuple[float, int, _servers.ServerRecord]] = []
        limit = float('inf')
        for position, server in enumerate(self.servers):
            slots = self.slots[position]
            # A lower bound of the load, without the requests of other VMs.
            if server.in_progress / slots >= limit:
                continue
            load = server.estimated_requests(now) / slots
            if load >= limit or not is_eligible(server):
                continue
            least.append((load, position, server))
            least.sort()
            if len(least) > count:
                least.pop()
            if len(least) == count:
                limit = least[-1][0]
                if limit <= 0.0:
                    break
        return [server for _, _, server in least]


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
