"""Order and rejection of waiting requests under overload, by their cost.

A request is worth its weight, which halves with each rank of priority, and it
takes slots for some time, its work.  Those that can still meet their targets
go first, in the order of these targets.  If they do not all fit, the ones with
the least weight for their work are left out (the Moore-Hodgson rule for late
jobs, with weights).  These follow by weight for work, as long as there is a
chance to be answered by the deadline; the rest is rejected.

Nothing here knows servers: how many slots this VM can use comes from outside,
and how fast they become free from the requests that it could dispatch.
"""

import collections.abc
import enum
import heapq
import math
import typing

from filbertstep.steering import _model

# Work below this counts as this much, so that ratios stay finite.
MIN_WORK_S: typing.Final = 0.001

# Longer runs, or times further off, are no figures that a route could have.
MAX_WORK_S: typing.Final = 3600.0
MAX_AHEAD_S: typing.Final = 86400.0

# Priorities of routes that are told apart within one priority of accounts.
ROUTE_RANKS: typing.Final = 3

# Ranks below this one have the same weight.
MAX_RANK: typing.Final = 16

WEIGHTS: typing.Final = tuple(0.5**rank for rank in range(MAX_RANK + 1))

# The weight of a request doubles after this wait, triples after twice that.
# A shorter time lets old late requests take slots from urgent ones.
AGING_S: typing.Final = 4.0

# A route or an account of which no request was dispatched for this time, while
# others waited, gets the next slot.  Callers give up after a few such times.
MAX_UNSERVED_S: typing.Final = 5.0

# Share of the dispatched work for such requests.  It bounds what urgent
# requests lose to many starved routes.
UNSERVED_WORK_SHARE: typing.Final = 0.1

# Most work saved up for them.
MAX_UNSERVED_CREDIT_S: typing.Final = 2.0

# A route or account without requests for this time counts as new.
FORGET_GROUP_S: typing.Final = 30.0

# Share of the waiting work that one account may have while others wait, if
# its rate limit does not entitle it to more.  The rest waits behind them all.
MAX_ACCOUNT_SHARE: typing.Final = 0.5

# Factor on the value of what waits behind all others.  Less than any ratio of
# the values of two requests.
EXCESS_FACTOR: typing.Final = 1e-12

# A request may be kept although its expected start is this factor too late.
# Estimates err, and a rejection cannot be taken back.
CHANCE_FACTOR: typing.Final = 1.25

# Part of a request's value that is left after its target.  A late request goes
# only before those that are worth less than this, and are on time anyway.
LATE_VALUE: typing.Final = 0.25

# Most requests that wait for one service.  Bounds the time of a plan.
MAX_WAITING: typing.Final = 512

# A plan is made when this share of the queue has arrived since the last one,
# so that its cost for each request does not grow with the queue, and at least
# at this interval, since waiting requests become late without any arrival.
ARRIVED_SHARE: typing.Final = 1.0 / 4.0
PLAN_INTERVAL_S: typing.Final = 0.2

# Interval at which all requests are checked for their ends, shorter than that
# of the ticks that call for it.
SCAN_INTERVAL_S: typing.Final = 0.04

# Interval at which the usable slots are counted.
COUNT_INTERVAL_S: typing.Final = 0.5

# Half-life of the observed dispatches, and the time for which the counted
# slots weigh as much as an observation.  A few runs of most routes.
SUPPLY_HALF_LIFE_S: typing.Final = 2.0
COUNTED_WEIGHT_S: typing.Final = 1.0

# A longer time between two observations is a pause of the process.
MAX_OBSERVED_STEP_S: typing.Final = 1.0

# Longest Retry-After, as callers get it, and the share of their remaining time
# for which they honour it.
MAX_RETRY_S: typing.Final = 2.0
MAX_RETRY_SHARE: typing.Final = 1.0 / 3.0

# Time ahead for which work is booked.  Later returns are spread without it.
MAX_BOOKED_S: typing.Final = 2.0 * MAX_RETRY_S

# Successive multiples of the golden ratio are spread evenly at any number.
GOLDEN_RATIO: typing.Final = 0.6180339887498949

# Requests of a service for which a dispatch compares servers, for each set of
# regions, and the interval at which it does so for all.  The first few may
# prefer to wait for a server with their object; with four, slots stayed free
# until the interval.
COMPARED_REQUESTS: typing.Final = 8

# As many of them count as compared once a request is sent.  Mostly a single
# slot became free, which that request has taken.
COMPARED_BEFORE_SEND: typing.Final = 6

COMPARE_ALL_INTERVAL_S: typing.Final = 0.25

# A service is in overload until nothing was rejected for this time.
OVERLOAD_END_S: typing.Final = 5.0

# Parts of a queue, in the order of their dispatch.
FIRST_TIER: typing.Final = -1.0
ON_TIME_TIER: typing.Final = 0.0
LATE_TIER: typing.Final = 1.0
REJECTED_TIER: typing.Final = 2.0

SortKey = tuple[float, float, float]
Group = tuple[str, str]


class OverloadOrder(enum.StrEnum):
    """How the requests that wait for a service are ordered.

    PRIORITY: by priority, target time and arrival.  COST: by what callers
    lose.  AUTO: COST where routes of client accounts have priority 0 and
    others, else PRIORITY.
    """

    PRIORITY = 'priority'
    COST = 'cost'
    AUTO = 'auto'


class RequestCost(typing.NamedTuple):
    """What a waiting request is worth to its caller, and what it takes.

    ``work_s`` is the expected time in a slot on a server of normal speed, with
    or without the object cached.  An answer is on time until ``target_time``
    and useless after ``deadline``; ``latest_start`` is the last time for a
    start that allows for its run before the deadline, and ``due`` the same for
    the target.  ``account`` is None for requests without one, ``rate_per_s``
    the account's rate limit, or 0.
    """

    route: str
    account: str | None
    rate_per_s: float
    priority: int
    arrived_at: float
    work_s: float
    due: float
    latest_start: float
    deadline: float


class Rejection(typing.NamedTuple):
    """A request, by its position, that is not kept waiting."""

    position: int
    retry_after_s: float


class Plan(typing.NamedTuple):
    """Positions of requests: on time and late in the order of their dispatch.

    ``first`` is that of a request that is dispatched before all others, for
    its route or account is starved.  ``values`` are the ratios of weight to
    work of all requests; ``least_value`` is the least of those on time, 0 if
    all requests are that could be.  ``before`` maps late requests to those on
    time before which they go (see ``fill_slack``).
    """

    first: int | None
    on_time: list[int]
    late: list[int]
    rejected: list[int]
    values: list[float]
    least_value: float
    before: dict[int, int]

    def sort_keys(
        self, requests: collections.abc.Sequence[RequestCost]
    ) -> list[SortKey]:
        """Return what sorts the planned requests; rejected ones are last."""
        tiers = [LATE_TIER] * len(requests)
        for index in self.on_time:
            tiers[index] = ON_TIME_TIER
        for index in self.rejected:
            tiers[index] = REJECTED_TIER
        if self.first is not None:
            tiers[self.first] = FIRST_TIER
        keys = [
            (
                tier,
                request.due if tier == ON_TIME_TIER else -ratio,
                request.arrived_at,
            )
            for tier, ratio, request in zip(
                tiers, self.values, requests, strict=True
            )
        ]
        for index, following in self.before.items():
            # Times of arrival are not negative.
            keys[index] = (
                ON_TIME_TIER,
                requests[following].due,
                -self.values[index],
            )
        return keys


def make_cost(
    route: _model.Route,
    account: _model.ClientAccount | None,
    priority: int,
    arrived_at: float,
    deadline: float,
    work_s: float,
    run_s: float,
    min_run_s: float,
) -> RequestCost | None:
    """Return the cost of a request, None if a figure cannot be right.

    ``run_s`` is the expected time from the start to the answer, network and
    slowdown included.  At least ``min_run_s`` is left for it.
    """
    times = (arrived_at, deadline, work_s, run_s, route.target_s)
    if not all(math.isfinite(time) for time in times):
        return None
    allowed_s = deadline - arrived_at
    if (
        not 0.0 < work_s <= MAX_WORK_S
        or not 0.0 <= run_s <= MAX_WORK_S
        or not 0.0 <= route.target_s <= MAX_AHEAD_S
        or not 0.0 < allowed_s <= MAX_AHEAD_S
        or priority < 0
    ):
        return None
    # A run that is expected to take most of the time allowed is not ruled
    # out: the estimate may be that of a route without answers so far.
    latest_start = deadline - max(min_run_s, min(run_s, 0.5 * allowed_s))
    rate_per_s = account.rate_per_s if account is not None else 0.0
    return RequestCost(
        route.name,
        account.name if account is not None else None,
        rate_per_s if 0.0 < rate_per_s < float('inf') else 0.0,
        priority,
        arrived_at,
        max(MIN_WORK_S, work_s),
        min(
            latest_start,
            arrived_at + route.target_s - min(run_s, 0.5 * route.target_s),
        ),
        latest_start,
        deadline,
    )


def weight(priority: int) -> float:
    """Return the weight of a priority, 1 for the highest, which is 0."""
    return WEIGHTS[min(MAX_RANK, priority)]


def value(request: RequestCost, now: float) -> float:
    """Return the ratio of weight to work, which grows with the wait."""
    waited_s = max(0.0, now - request.arrived_at)
    return (
        weight(request.priority) * (1.0 + waited_s / AGING_S) / request.work_s
    )


def limit_accounts(
    requests: collections.abc.Sequence[RequestCost], values: list[float]
) -> set[int]:
    """Lower the values of accounts with more than their share of the work.

    Each account is entitled to a share in proportion to its rate limit, or to
    an equal one if a waiting account has no limit.  What it has beyond counts
    the less the more it is.  Requests without an account count as one more
    account and are not limited.  Returns the positions of requests beyond the
    bound of an account; these wait behind those of all others.
    """
    positions_of: dict[str | None, list[int]] = {}
    for index, request in enumerate(requests):
        positions_of.setdefault(request.account, []).append(index)
    if len(positions_of) < 2:
        return set()
    work_by_account = {
        account: sum([requests[index].work_s for index in positions])
        for account, positions in positions_of.items()
    }
    rates = {
        account: requests[positions[0]].rate_per_s
        for account, positions in positions_of.items()
    }
    if min(rates.values()) <= 0.0:
        rates = dict.fromkeys(rates, 1.0)
    total_s = sum(work_by_account.values())
    total_rate = sum(rates.values())
    excess: set[int] = set()
    for account, work_s in work_by_account.items():
        fair_s = total_s * rates[account] / total_rate
        if account is None or work_s <= fair_s:
            continue
        bound_s = max(fair_s, MAX_ACCOUNT_SHARE * total_s)
        positions = sorted(
            positions_of[account], key=values.__getitem__, reverse=True
        )
        cumulative_s = 0.0
        for place, index in enumerate(positions):
            cumulative_s += requests[index].work_s
            if not place or cumulative_s <= fair_s:
                continue
            values[index] *= fair_s / cumulative_s
            if cumulative_s > bound_s:
                values[index] *= EXCESS_FACTOR
                excess.add(index)
    return excess


def make_plan(
    requests: collections.abc.Sequence[RequestCost],
    slots: float,
    now: float,
    first: int | None = None,
) -> Plan:
    """Return the order in which waiting requests get slots.

    ``slots`` is the number of slots that this VM can use, a finite number
    above 0; fractions are an average.  A request is expected to start when the
    work before it and half of its own is done: the slots that become free are
    in the middle of runs like it.  ``first`` is the position of a request that
    goes before all others.
    """
    # ``value`` for each, without the cost of so many calls.
    values = [
        WEIGHTS[request.priority if request.priority < MAX_RANK else MAX_RANK]
        * (
            1.0 + (now - request.arrived_at) / AGING_S
            if now > request.arrived_at
            else 1.0
        )
        / request.work_s
        for request in requests
    ]
    excess = limit_accounts(requests, values)
    total_s = 0.0 if first is None else requests[first].work_s
    dues = [request.due - now for request in requests]
    chosen: set[int] = set()
    least_first: list[tuple[float, int]] = []
    left_out: list[int] = []
    least_value = 0.0
    for index in sorted(range(len(requests)), key=dues.__getitem__):
        if index == first:
            continue
        work_s = requests[index].work_s
        # The most work up to this request, its own included, with which it
        # is on time.
        due_s = dues[index] * slots + 0.5 * work_s
        if index in excess or work_s > due_s:
            left_out.append(index)
            continue
        heapq.heappush(least_first, (values[index], index))
        chosen.add(index)
        total_s += work_s
        while total_s > due_s and least_first:
            least_value, removed = heapq.heappop(least_first)
            chosen.discard(removed)
            left_out.append(removed)
            total_s -= requests[removed].work_s
    if least_value and least_first:
        least_value = least_first[0][0]
    on_time = sorted(chosen, key=dues.__getitem__)
    left_out.sort(
        key=lambda index: (-values[index], requests[index].arrived_at)
    )
    late: list[int] = []
    rejected: list[int] = []
    room = MAX_WAITING - len(on_time) - (first is not None)
    for index in left_out:
        request = requests[index]
        left_s = request.latest_start - now
        if (
            len(late) >= room
            or left_s <= 0.0
            # Without work before it, the next slot that becomes free is its
            # own, and that may be at any moment.
            or (
                total_s > 0.0
                and total_s + 0.5 * request.work_s
                > CHANCE_FACTOR * left_s * slots
            )
        ):
            rejected.append(index)
        else:
            late.append(index)
            total_s += request.work_s
    # Requests that are on time fit by their targets, so only the bound on the
    # length removes some of them.
    while len(on_time) > MAX_WAITING:
        rejected.append(on_time.pop())
    return Plan(
        first,
        on_time,
        late,
        rejected,
        values,
        least_value,
        fill_slack(requests, values, on_time, late, slots, now),
    )


def fill_slack(
    requests: collections.abc.Sequence[RequestCost],
    values: collections.abc.Sequence[float],
    on_time: collections.abc.Sequence[int],
    late: collections.abc.Sequence[int],
    slots: float,
    now: float,
) -> dict[int, int]:
    """Return late requests that go before requests that are on time.

    These are of less value and are on time nevertheless.  The result maps the
    late ones to those before which they go.
    """
    if not on_time or not late:
        return {}
    # Work that may be put before each request, or after it.
    slack_s = [0.0] * len(on_time)
    total_s = 0.0
    for place, index in enumerate(on_time):
        request = requests[index]
        total_s += request.work_s
        slack_s[place] = (
            (request.due - now) * slots + 0.5 * request.work_s - total_s
        )
    for place in range(len(on_time) - 2, -1, -1):
        slack_s[place] = min(slack_s[place], slack_s[place + 1])
    before: dict[int, int] = {}
    filled_s = 0.0
    moved = 0
    for place, index in enumerate(on_time):
        while (
            moved < len(late)
            and LATE_VALUE * values[late[moved]] > values[index]
            and filled_s + requests[late[moved]].work_s <= slack_s[place]
        ):
            filled_s += requests[late[moved]].work_s
            before[late[moved]] = index
            moved += 1
    return before


class SlotSupply:
    """Estimates how many slots this VM can use while requests wait.

    The work that it dispatches in a second is the number of slots that it
    gets.  Work is that on servers of normal speed, so slow servers count as
    fewer slots.  Before there are observations, the slots that are counted
    stand in for them.
    """

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.dispatched_s = 0.0
        self.observed_s = 0.0

    def advance(self, now: float, waiting: bool) -> None:
        """Note whether requests waited since the last call."""
        elapsed_s = min(MAX_OBSERVED_STEP_S, now - self.updated_at)
        self.updated_at = now
        if elapsed_s <= 0.0:
            return
        decay = 0.5 ** (elapsed_s / SUPPLY_HALF_LIFE_S)
        self.dispatched_s *= decay
        self.observed_s *= decay
        if waiting:
            self.observed_s += elapsed_s

    def record_dispatch(self, work_s: float) -> None:
        """Add the work of a request that waited and got a slot."""
        self.dispatched_s += work_s

    def slots(self, counted: float) -> float | None:
        """Return the usable slots, None if there is no usable figure."""
        if not 0.0 <= counted < float('inf'):
            counted = 0.0
        estimate = (COUNTED_WEIGHT_S * counted + self.dispatched_s) / (
            COUNTED_WEIGHT_S + self.observed_s
        )
        return estimate if MIN_WORK_S < estimate < float('inf') else None


class UnservedGroup:
    """Since when a route or an account was not served, and last seen.

    ``served`` is set from a dispatch until the next request arrives: time
    without requests is no time without service.
    """

    def __init__(self, now: float) -> None:
        self.unserved_since = now
        self.seen_at = now
        self.served = False


class ServiceSchedule:
    """Plans for the requests of one service that wait on this VM."""

    def __init__(self, now: float) -> None:
        self.supply = SlotSupply(now)
        self.groups: dict[Group, UnservedGroup] = {}
        # Work that starved routes and accounts may take before others.
        self.unserved_credit_s = 0.0
        self.counted_at = float('-inf')
        self.counted_slots = 0.0
        self.planned_at = float('-inf')
        self.scanned_at = float('-inf')
        self.compared_all_at = float('-inf')
        # Sets of regions that the waiting requests may use.
        self.scopes: set[tuple[str | None, frozenset[str] | None]] = set()
        self.arrivals = 0
        self.least_value = 0.0
        # The least value that the last plan kept, and the work that waits.
        self.least_kept_value = 0.0
        self.kept_s = 0.0
        # Whether the last plan had figures to go by.
        self.has_plan = True
        # Time until which the work that waits, or was told to come back,
        # takes all slots.
        self.booked_until = now
        self.rejections = 0

    def wants_count(self, now: float) -> bool:
        """Return whether the usable slots should be counted again."""
        return not 0.0 <= now - self.counted_at < COUNT_INTERVAL_S

    def record_count(self, slots: float, now: float) -> None:
        """Record the number of slots that this VM can use by its tables."""
        self.counted_at, self.counted_slots = now, slots

    def slots(self) -> float | None:
        """Return the usable slots, None if there is no usable figure."""
        return self.supply.slots(self.counted_slots)

    def is_due(self, waiting: int, now: float) -> bool:
        """Return whether there is reason to make a plan."""
        return (
            self.arrivals > 0 and self.arrivals >= ARRIVED_SHARE * waiting
        ) or not 0.0 <= now - self.planned_at < PLAN_INTERVAL_S

    def wants_scan(self, now: float) -> bool:
        """Return whether all requests should be checked for their ends."""
        if 0.0 <= now - self.scanned_at < SCAN_INTERVAL_S:
            return False
        self.scanned_at = now
        return True

    def wants_comparison_of_all(self, now: float) -> bool:
        """Return whether servers should be compared for all requests."""
        if 0.0 <= now - self.compared_all_at < COMPARE_ALL_INTERVAL_S:
            return False
        self.compared_all_at = now
        return True

    def record_arrival(self, request: RequestCost, now: float) -> None:
        """Record a request that has to wait."""
        self.arrivals += 1
        self.kept_s += request.work_s
        self.record_seen(request, now)

    def record_seen(self, request: RequestCost, now: float) -> None:
        """Record that a route and an account have requests."""
        for group in groups_of(request):
            known = self.groups.get(group)
            if known is None or now - known.seen_at > FORGET_GROUP_S:
                self.groups[group] = UnservedGroup(now)
                continue
            known.seen_at = now
            if known.served:
                known.served = False
                known.unserved_since = now

    def record_dispatch(self, request: RequestCost, now: float) -> None:
        """Record that a waiting request got a slot."""
        self.kept_s = max(0.0, self.kept_s - request.work_s)
        self.supply.record_dispatch(request.work_s)
        self.unserved_credit_s = min(
            MAX_UNSERVED_CREDIT_S,
            self.unserved_credit_s + UNSERVED_WORK_SHARE * request.work_s,
        )
        for group in groups_of(request):
            known = self.groups.get(group)
            if known is not None:
                known.served = True
                known.unserved_since = now

    def record_empty(self) -> None:
        """Record that no request waits any more, so that none is starved."""
        self.groups.clear()

    def charge_first(self, request: RequestCost) -> None:
        """Record that a request of a starved group went first."""
        self.unserved_credit_s -= request.work_s

    def is_hopeless(self, request: RequestCost, now: float) -> bool:
        """Return whether the next plan would reject an arriving request.

        It is worth less than all that wait, and too late behind them.  This
        spares most of the rejected requests a plan.
        """
        slots = self.slots()
        if slots is None or any(
            group in self.groups
            and now - self.groups[group].unserved_since >= MAX_UNSERVED_S
            for group in groups_of(request)
        ):
            return False
        left_s = request.latest_start - now
        return left_s <= 0.0 or (
            value(request, now) < self.least_kept_value
            and self.kept_s + 0.5 * request.work_s
            > CHANCE_FACTOR * left_s * slots
        )

    def provisional_key(self, request: RequestCost, now: float) -> SortKey:
        """Return where a request belongs until the next plan."""
        ratio = value(request, now)
        if request.due > now and ratio >= self.least_value:
            return (ON_TIME_TIER, request.due, request.arrived_at)
        return (LATE_TIER, -ratio, request.arrived_at)

    def starved(
        self, requests: collections.abc.Sequence[RequestCost], now: float
    ) -> int | None:
        """Return the position of a request that goes first, if any.

        It is one of the route or account that was not served for longest.
        """
        for group in [
            group
            for group, wait in self.groups.items()
            if now - wait.seen_at > FORGET_GROUP_S
        ]:
            del self.groups[group]
        if self.unserved_credit_s < 0.0:
            return None
        overdue = {
            group: wait.unserved_since
            for group, wait in self.groups.items()
            if now - wait.unserved_since >= MAX_UNSERVED_S
        }
        if not overdue:
            return None
        best: tuple[float, float, int] | None = None
        for index, request in enumerate(requests):
            if request.latest_start <= now:
                continue
            for group in groups_of(request):
                since = overdue.get(group)
                if since is None:
                    continue
                key = (since, -value(request, now), index)
                if best is None or key < best:
                    best = key
        return best[2] if best is not None else None

    def plan(
        self, requests: collections.abc.Sequence[RequestCost], now: float
    ) -> Plan | None:
        """Return a plan, None if it is unknown how fast slots become free."""
        self.planned_at = now
        self.arrivals = 0
        slots = self.slots()
        self.has_plan = slots is not None
        if slots is None:
            self.least_value = self.least_kept_value = 0.0
            return None
        plan = make_plan(requests, slots, now, self.starved(requests, now))
        self.least_value = plan.least_value
        kept = [*plan.on_time, *plan.late]
        kept += [] if plan.first is None else [plan.first]
        self.kept_s = sum(requests[index].work_s for index in kept)
        self.least_kept_value = min(
            (plan.values[index] for index in kept), default=0.0
        )
        self.booked_until = min(
            now + MAX_BOOKED_S,
            max(self.booked_until, now + self.kept_s / slots),
        )
        return plan

    def rejections_of(
        self,
        requests: collections.abc.Sequence[RequestCost],
        plan: Plan,
        now: float,
    ) -> list[Rejection]:
        """Return the rejected requests, each with its Retry-After.

        Each is told to return when the work that waits and that of those who
        were told to return before is done, the most urgent first.  A caller
        that returns earlier waits behind the same work.
        """
        return [
            Rejection(index, self.reject(requests[index], now))
            for index in sorted(
                plan.rejected, key=lambda index: -plan.values[index]
            )
        ]

    def reject(self, request: RequestCost, now: float) -> float:
        """Book a rejected request's work; return its Retry-After."""
        self.booked_until = min(
            now + MAX_BOOKED_S,
            max(now, self.booked_until)
            + request.work_s / (self.slots() or 1.0),
        )
        return self.retry_after_s(request, now)

    def retry_after_s(self, request: RequestCost, now: float) -> float:
        """Return a time within what callers honour, spread if it is cut.

        Those that are cut to the same limit must not return together; low
        priorities return in the last part of the time.
        """
        self.rejections += 1
        limit_s = min(
            MAX_RETRY_S,
            MAX_RETRY_SHARE * max(0.0, request.deadline - now),
        )
        wait_s = self.booked_until - now
        if wait_s < limit_s:
            return max(0.0, wait_s)
        spread = (self.rejections * GOLDEN_RATIO) % 1.0
        return limit_s * (1.0 - 0.5 * spread * weight(request.priority))


class OverloadTable:
    """Services in which requests were rejected for lack of slots."""

    def __init__(self) -> None:
        self.rejected_at: dict[str, float] = {}
        self.rejected: dict[str, int] = {}
        self.entered_at: dict[str, float] = {}

    def record_rejection(self, service: str, now: float) -> bool:
        """Record a rejection; return whether the service enters overload."""
        self.rejected_at[service] = now
        self.rejected[service] = self.rejected.get(service, 0) + 1
        if service in self.entered_at:
            return False
        self.entered_at[service] = now
        return True

    def ended(self, now: float) -> list[tuple[str, float, int]]:
        """Remove services that leave overload.

        Returns their names, the time that it took and the rejections.
        """
        gone = [
            service
            for service, at in self.rejected_at.items()
            if now - at >= OVERLOAD_END_S
        ]
        return [
            (
                service,
                self.rejected_at.pop(service) - self.entered_at.pop(service),
                self.rejected.pop(service),
            )
            for service in gone
        ]


def groups_of(request: RequestCost) -> tuple[Group, ...]:
    """Return the route and the account of a request."""
    if request.account is None:
        return (('route', request.route),)
    return (('route', request.route), ('account', request.account))


def has_urgent_requests(configuration: _model.Configuration) -> bool:
    """Return whether routes of client accounts have priority 0 and others.

    Public routes do not count: they often have no priority of their own,
    which reads as 0.
    """
    priorities = {
        route.priority for route in configuration.routes if not route.public
    }
    return 0 in priorities and len(priorities) > 1


def cost_services(
    order: OverloadOrder, configuration: _model.Configuration | None
) -> frozenset[str]:
    """Return the services whose requests are ordered by cost."""
    if configuration is None or order is OverloadOrder.PRIORITY:
        return frozenset()
    if order is OverloadOrder.AUTO and not has_urgent_requests(configuration):
        return frozenset()
    return frozenset(
        destination.service
        for route in configuration.routes
        for destination in route.destinations
        if destination.weight > 0 or len(route.destinations) == 1
    )


def urgency_rank(route_priority: int, account_priority: int | None) -> int:
    """Return the rank of a request, 0 the most urgent.

    An account's priority takes precedence over that of the route, which
    decides between the requests of accounts of the same priority.
    """
    if account_priority is None:
        return route_priority
    return ROUTE_RANKS * account_priority + min(
        ROUTE_RANKS - 1, route_priority
    )
