"""Use and loans of the slots that this VM owns."""

import collections
import math
import typing

from filbertstep import _loans
from filbertstep import _slot_table
from filbertstep import config
from filbertstep import systems

ServerGroup = _slot_table.ServerGroup

# A lender keeps idle slots that it needed about this recently, because lent
# slots would otherwise go back and forth.
PEAK_USE_TIME_CONSTANT_S: typing.Final = 1.0


class PeakUse:
    """Decaying peak of the slots that this VM itself needed in a group."""

    def __init__(self) -> None:
        self.value = 0.0
        self.recorded_at = 0.0

    def peak(self, now: float) -> float:
        """Return the decayed peak."""
        age = max(0.0, now - self.recorded_at)
        return self.value * math.exp(-age / PEAK_USE_TIME_CONSTANT_S)

    def record(self, count: int, now: float) -> None:
        """Record the number of slots needed now."""
        self.value = max(self.peak(now), float(count))
        self.recorded_at = now


class OwnSlots:
    """Slots that this VM owns, and their loans to peers.

    ``holds`` are those of requests on own slots, by server and slot.  They
    remain when a new epoch gives the slot to another VM.
    """

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.table = _slot_table.SlotTable(vm, incarnation, views)
        self.lent = _loans.LentSlots(incarnation)
        self.holds: dict[tuple[str, int], systems.SlotHold] = {}
        self.peak_use: collections.defaultdict[ServerGroup, PeakUse] = (
            collections.defaultdict(PeakUse)
        )

    def idle_slots(self, server: str) -> list[int]:
        """Return the idle own slots of a server in ascending order."""
        if server in self.table.drained_servers:
            return []
        return [
            slot
            for slot in sorted(self.table.owned.get(server, ()))
            if (server, slot) not in self.holds
            and (server, slot) not in self.lent.loan_ids
        ]

    def idle_count(self, server: str) -> int:
        """Return the number of idle own slots of a server.

        Counts those of a server that is being drained too.
        """
        return sum(
            (server, slot) not in self.holds
            and (server, slot) not in self.lent.loan_ids
            for slot in self.table.owned.get(server, ())
        )

    def lendable_count(
        self, group: ServerGroup, in_use: int, now: float
    ) -> int:
        """Return the number of idle slots that this VM did not need recently.

        ``in_use`` is the number of slots of the group that it uses now,
        including borrowed ones.
        """
        reserved = round(self.peak_use[group].peak(now)) - in_use
        return max(0, self.idle_count_in_group(group) - max(0, reserved))

    def idle_count_in_group(self, group: ServerGroup) -> int:
        """Return the number of idle own slots of a group.

        Leaves out servers that are being drained.
        """
        return sum(
            self.idle_count(server)
            for server in self.table.servers_by_group.get(group, ())
            if server not in self.table.drained_servers
        )

    def lend(
        self, doc: _loans.BorrowDoc, in_use: int, now: float
    ) -> list[_loans.LoanDoc]:
        """Lend idle slots, first those of servers with the most idle slots."""
        self.lent.end_expired(now)
        group = ServerGroup(doc['region'], doc['service'])
        max_run_s = self.table.max_run_s.get(doc['service'])
        if max_run_s is None:
            return []
        count = min(doc['count'], self.lendable_count(group, in_use, now))
        borrower = (doc['vm'], doc['incarnation'])
        duration_s = max_run_s + _slot_table.LOAN_MARGIN_S
        return [
            self.lent.lend(server, slot, borrower, duration_s, now)
            for server, slot in self.spread_idle_slots(group)[
                : min(count, _loans.MAX_LOANS_PER_ANSWER)
            ]
        ]

    def spread_idle_slots(self, group: ServerGroup) -> list[tuple[str, int]]:
        """Return the idle own slots of a group, spread over its servers.

        The next slot always comes from a server with the most remaining
        slots, so that loans do not concentrate on one server.
        """
        found = []
        for server in self.table.servers_by_group.get(group, ()):
            idle = self.idle_slots(server)
            found += [
                (position - len(idle), server, slot)
                for position, slot in enumerate(idle)
            ]
        return [(server, slot) for _, server, slot in sorted(found)]

    def total_in_group(self, group: ServerGroup) -> int:
        """Return the number of own slots in a group.

        Leaves out servers that are being drained.
        """
        return sum(
            len(self.table.owned.get(server, ()))
            for server in self.table.servers_by_group.get(group, ())
            if server not in self.table.drained_servers
        )
