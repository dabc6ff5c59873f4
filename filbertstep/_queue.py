"""Requests that wait for a slot: one queue per service.

Each client account has a FIFO; start-time fair queueing with the account's
rate as weight orders their heads.  An account that sends more than its share
lengthens its own FIFO and, when the queue is full, loses its own newest
requests first.
"""

import asyncio
import collections
import collections.abc
import heapq
import math
import typing

import result

from filbertstep import errors

T = typing.TypeVar('T')
R = typing.TypeVar('R')

# Weight of one start in the moving average of the time between starts.
GAP_WEIGHT: typing.Final = 0.1

# Flows without waiting requests that are kept at most, about.
FLOWS_KEPT: typing.Final = 64

# Retry-After in seconds where the time between starts is not known yet.
DEFAULT_RETRY_S: typing.Final = 1.0


class Waiter(typing.Generic[T, R]):
    """A request that waits.

    ``latest_start`` is the time after which starting it is of no use, ``tag``
    its start tag in virtual time.
    """

    def __init__(
        self,
        request: T,
        account: str,
        weight: float,
        arrived: float,
        latest_start: float,
    ) -> None:
        self.request = request
        self.account = account
        self.weight = weight
        self.arrived = arrived
        self.latest_start = latest_start
        self.tag = 0.0
        self.future: asyncio.Future[result.Result[R, errors.Failure]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, outcome: result.Result[R, errors.Failure]) -> None:
        """Wake the task that waits, unless it was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


Predicate = collections.abc.Callable[[Waiter[T, R]], bool]


class Flow(typing.Generic[T, R]):
    """The FIFO of one account; ``finish`` is its last finish tag."""

    def __init__(self) -> None:
        self.waiting: collections.deque[Waiter[T, R]] = collections.deque()
        self.weight = 1.0
        self.finish = 0.0

    def excess(self, extra: int = 0) -> float:
        """Return how many requests wait per unit of weight."""
        return (len(self.waiting) + extra) / self.weight


class ServiceRate:
    """Moving average of the time between starts while requests wait.

    Starts while nothing waits show the offered load and not the capacity, so
    they do not count.
    """

    def __init__(self) -> None:
        self.gap_s: float | None = None
        self.last: float | None = None

    def note_start(self, now: float, waiting: int) -> None:
        """Count a start; ``waiting`` requests remain."""
        if self.last is not None:
            gap = now - self.last
            self.gap_s = (
                gap
                if self.gap_s is None
                else self.gap_s + GAP_WEIGHT * (gap - self.gap_s)
            )
        self.last = now if waiting else None

    def note_wait(self, now: float) -> None:
        """Begin to count when the first request has to wait."""
        if self.last is None:
            self.last = now

    def gap(self, now: float) -> float | None:
        """Return seconds between starts; a stall lengthens it."""
        if self.gap_s is None or self.last is None:
            return self.gap_s
        return max(self.gap_s, now - self.last)


class FairQueue(typing.Generic[T, R]):
    """The queue of one service."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow[T, R]] = {}
        self.virtual = 0.0
        self.size = 0
        self.rate = ServiceRate()

    def __len__(self) -> int:
        return self.size

    def flow(self, account: str, weight: float) -> Flow[T, R]:
        """Return an account's flow, with its newest weight."""
        flow = self.flows.get(account)
        if flow is None:
            flow = self.flows[account] = Flow()
        flow.weight = max(weight, 1e-9)
        return flow

    def charge(self, account: str, weight: float) -> float:
        """Give one request of an account its tags; return the start tag."""
        flow = self.flow(account, weight)
        start = max(self.virtual, flow.finish)
        flow.finish = start + 1.0 / flow.weight
        return start

    def pass_through(self, account: str, weight: float, now: float) -> None:
        """Count a request that starts without having waited."""
        self.virtual = self.charge(account, weight)
        self.rate.note_start(now, self.size)
        self.forget_idle()

    def push(
        self, waiter: Waiter[T, R], limit: int, now: float
    ) -> errors.Failure | None:
        """Let a request wait, or return why it may not.

        A full queue sheds the newest request of the account with the most
        waiting requests for its weight, which may be this one.
        """
        expected = self.expected_wait(waiter.account, waiter.weight, now)
        if now + expected > waiter.latest_start:
            return overloaded('cannot start before its deadline', expected)
        if self.size >= limit and not self.shed_for(waiter, now):
            return overloaded('the queue is full', self.retry_after(now))
        waiter.tag = self.charge(waiter.account, waiter.weight)
        self.flows[waiter.account].waiting.append(waiter)
        self.size += 1
        self.rate.note_wait(now)
        return None

    def shed_for(self, waiter: Waiter[T, R], now: float) -> bool:
        """Make room for a request; return whether there is room now."""
        own = self.flow(waiter.account, waiter.weight)
        worst = max(
            (flow for flow in self.flows.values() if flow.waiting),
            key=lambda flow: flow.excess(),
            default=None,
        )
        if worst is None or worst is own or worst.excess() <= own.excess(1):
            return False
        victim = worst.waiting[-1]
        self.remove(victim)
        victim.resolve(
            result.Err(
                overloaded(
                    'gave way to an account below its fair share',
                    self.retry_after(now),
                )
            )
        )
        return True

    def expected_wait(self, account: str, weight: float, now: float) -> float:
        """Return the seconds that a new request of an account will wait.

        Start-time fair queueing serves one request of each waiting account
        and, for each own request ahead, the others in proportion to weights.
        """
        gap = self.rate.gap(now)
        if gap is None or self.size == 0:
            return 0.0
        active = [flow for flow in self.flows.values() if flow.waiting]
        flow = self.flows.get(account)
        own = len(flow.waiting) if flow is not None else 0
        total = sum(flow.weight for flow in active)
        if own == 0:
            total += weight
        ahead = own * total / max(weight, 1e-9) + len(active)
        return gap * min(float(self.size), ahead)

    def retry_after(self, now: float) -> float:
        """Return the seconds in which the present queue will have gone."""
        gap = self.rate.gap(now)
        if gap is None:
            return DEFAULT_RETRY_S
        return min(30.0, max(0.05, gap * self.size))

    def in_order(self) -> collections.abc.Iterator[Waiter[T, R]]:
        """Return the waiting requests by start tag, each FIFO in order.

        The queue must not change while the iterator is in use.
        """
        return heapq.merge(
            *(flow.waiting for flow in self.flows.values() if flow.waiting),
            key=lambda waiter: waiter.tag,
        )

    def first(self) -> Waiter[T, R] | None:
        """Return the waiting request that is next in turn."""
        return next(self.in_order(), None)

    def take(self, waiter: Waiter[T, R], now: float) -> None:
        """Remove a request because it starts now."""
        flow = self.flows[waiter.account]
        if flow.waiting[0] is waiter:
            flow.waiting.popleft()
        else:
            flow.waiting.remove(waiter)
        self.size -= 1
        self.virtual = max(self.virtual, waiter.tag)
        self.rate.note_start(now, self.size)
        self.forget_idle()

    def remove(self, waiter: Waiter[T, R]) -> bool:
        """Remove a request that will not start; tell whether it waited."""
        flow = self.flows.get(waiter.account)
        if flow is None:
            return False
        return bool(self.remove_from(flow, lambda item: item is waiter))

    def remove_from(
        self, flow: Flow[T, R], predicate: Predicate[T, R]
    ) -> list[Waiter[T, R]]:
        """Remove the matching requests of a flow and return them.

        The requests behind them move up in virtual time, so that the account
        does not pay for requests that were not served.
        """
        removed = []
        kept: collections.deque[Waiter[T, R]] = collections.deque()
        step = 1.0 / flow.weight
        for waiter in flow.waiting:
            if predicate(waiter):
                removed.append(waiter)
            else:
                waiter.tag -= len(removed) * step
                kept.append(waiter)
        if removed:
            flow.waiting = kept
            flow.finish -= len(removed) * step
            self.size -= len(removed)
        return removed

    def forget_idle(self) -> None:
        """Drop flows that owe nothing, so that memory stays bounded.

        While nothing waits, what a flow owes harms nobody.
        """
        if len(self.flows) < FLOWS_KEPT:
            return
        self.flows = {
            account: flow
            for account, flow in self.flows.items()
            if flow.waiting or (self.size and flow.finish > self.virtual)
        }

    def expire(self, now: float) -> int:
        """Refuse requests that can no longer start in time."""
        return self.refuse_matching(
            lambda waiter: waiter.latest_start <= now,
            overloaded(
                'could not start before its deadline', self.retry_after(now)
            ),
        )

    def refuse_matching(
        self,
        predicate: Predicate[T, R],
        failure: errors.Failure,
    ) -> int:
        """Refuse the waiting requests that match; return how many."""
        matching = [
            waiter
            for flow in self.flows.values()
            for waiter in self.remove_from(flow, predicate)
        ]
        for waiter in matching:
            waiter.resolve(result.Err(failure))
        return len(matching)


def overloaded(message: str, retry_after_s: float) -> errors.Failure:
    """Return the failure of a request that is not run for want of capacity."""
    return errors.Failure(
        errors.ErrorKind.OVERLOADED,
        message,
        max(0.05, retry_after_s if math.isfinite(retry_after_s) else 1.0),
    )
