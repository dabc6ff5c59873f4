"""Own slots: which are idle, in use or on loan, and what may be lent."""

import collections
import math
import typing

from filbertstep import _loans
from filbertstep import _slot_table
from filbertstep import config
from filbertstep import systems

Place = _slot_table.Place

# Time constant in seconds with which the memory of own use decays.  A lender
# keeps slots that it used this recently, else they would go back and forth.
USE_TIME_S: typing.Final = 1.0


class Use:
    """Recent peak of the slots that a VM itself needed at a place."""

    def __init__(self) -> None:
        self.level = 0.0
        self.noted_at = 0.0

    def peak(self, now: float) -> float:
        """Return the decayed peak."""
        age = max(0.0, now - self.noted_at)
        return self.level * math.exp(-age / USE_TIME_S)

    def note(self, count: int, now: float) -> None:
        """Raise the peak to a number of slots needed now."""
        self.level = max(self.peak(now), float(count))
        self.noted_at = now


class OwnSlots:
    """Slots that this VM owns, and their loans to peers.

    ``running`` holds requests on own slots.  They stay there when a new epoch
    takes the slot away.
    """

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.table = _slot_table.SlotTable(vm, incarnation, views)
        self.lent = _loans.LentBook(incarnation)
        self.running: dict[tuple[str, int], systems.SlotHold] = {}
        self.uses: collections.defaultdict[Place, Use] = (
            collections.defaultdict(Use)
        )

    def idle(self, server: str) -> list[int]:
        """Return own slots of a server that nobody uses, lowest first."""
        if server in self.table.drained:
            return []
        return [
            slot
            for slot in sorted(self.table.owned.get(server, ()))
            if (server, slot) not in self.running
            and (server, slot) not in self.lent.slots
        ]

    def idle_count(self, server: str) -> int:
        """Return the number of own slots that nobody uses."""
        return sum(
            (server, slot) not in self.running
            and (server, slot) not in self.lent.slots
            for slot in self.table.owned.get(server, ())
        )

    def lendable(self, place: Place, used: int, now: float) -> int:
        """Return idle slots beyond what this VM needed recently.

        ``used`` are the slots that it uses there now, borrowed ones included.
        """
        kept = round(self.uses[place].peak(now)) - used
        return max(0, self.idle_at(place) - max(0, kept))

    def idle_at(self, place: Place) -> int:
        """Return the number of own idle slots at a place."""
        return sum(
            self.idle_count(server)
            for server in self.table.servers.get(place, ())
            if server not in self.table.drained
        )

    def lend(
        self, doc: _loans.BorrowDoc, used: int, now: float
    ) -> list[_loans.LoanDoc]:
        """Lend idle slots, first those of the idlest servers."""
        self.lent.reclaim(now)
        place = Place(doc['region'], doc['service'])
        limit_s = self.table.limits.get(doc['service'])
        if limit_s is None:
            return []
        count = min(doc['count'], self.lendable(place, used, now))
        borrower = (doc['vm'], doc['incarnation'])
        duration_s = limit_s + _slot_table.LOAN_MARGIN_S
        return [
            self.lent.lend(server, slot, borrower, duration_s, now)
            for server, slot in self.idlest(place)[
                : min(count, _loans.MOST_LOANS)
            ]
        ]

    def idlest(self, place: Place) -> list[tuple[str, int]]:
        """Return own idle slots, spread over the servers.

        The n-th slot of a server comes after the slots of servers that have
        more left, so that loans do not pile up on one server.
        """
        found = []
        for server in self.table.servers.get(place, ()):
            idle = self.idle(server)
            found += [
                (position - len(idle), server, slot)
                for position, slot in enumerate(idle)
            ]
        return [(server, slot) for _, server, slot in sorted(found)]

    def total_at(self, place: Place) -> int:
        """Return the number of own slots of servers not being drained."""
        return sum(
            len(self.table.owned.get(server, ()))
            for server in self.table.servers.get(place, ())
            if server not in self.table.drained
        )
