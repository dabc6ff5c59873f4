"""Fair queue of the requests that wait for a slot, one queue per service.

Each client account has its own FIFO, called a flow.  Start-time fair queueing
(SFQ), with the account's rate as weight, decides which flow is served next.
An account that sends more than its share only lengthens its own flow, and its
own newest requests are shed first when the queue is full.
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

# Weight of one sample in the moving average of the time between starts.
START_INTERVAL_EWMA_WEIGHT: typing.Final = 0.1

# Idle flows are dropped once there are this many flows, to bound memory.
FLOW_PRUNE_THRESHOLD: typing.Final = 64

# Retry-After in seconds while the time between starts is still unknown.
DEFAULT_RETRY_AFTER_S: typing.Final = 1.0


class QueueEntry(typing.Generic[T, R]):
    """A waiting request and the future that its task awaits.

    ``arrived_at`` and ``latest_start`` are times of the VM's clock in seconds;
    after ``latest_start`` the request is refused.  ``start_tag`` is the SFQ
    start tag in virtual time.
    """

    def __init__(
        self,
        request: T,
        account: str,
        weight: float,
        arrived_at: float,
        latest_start: float,
    ) -> None:
        self.request = request
        self.account = account
        self.weight = weight
        self.arrived_at = arrived_at
        self.latest_start = latest_start
        self.start_tag = 0.0
        self.future: asyncio.Future[result.Result[R, errors.Failure]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, outcome: result.Result[R, errors.Failure]) -> None:
        """Set the outcome, unless the waiting task was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


Predicate = collections.abc.Callable[[QueueEntry[T, R]], bool]


class Flow(typing.Generic[T, R]):
    """The FIFO of one account; ``finish_tag`` is the SFQ tag of its tail."""

    def __init__(self) -> None:
        self.waiting: collections.deque[QueueEntry[T, R]] = collections.deque()
        self.weight = 1.0
        self.finish_tag = 0.0

    def backlog_per_weight(self, extra: int = 0) -> float:
        """Return the waiting requests, plus ``extra``, per unit of weight."""
        return (len(self.waiting) + extra) / self.weight


class StartIntervalAverage:
    """Moving average of the time between starts while requests wait.

    Starts while the queue is empty reflect the offered load and not the
    capacity, so they are ignored.
    """

    def __init__(self) -> None:
        self.average_s: float | None = None
        self.last_start_at: float | None = None

    def record_start(self, now: float, waiting: int) -> None:
        """Record a start after which ``waiting`` requests remain."""
        if self.last_start_at is not None:
            interval_s = now - self.last_start_at
            self.average_s = (
                interval_s
                if self.average_s is None
                else self.average_s
                + START_INTERVAL_EWMA_WEIGHT * (interval_s - self.average_s)
            )
        self.last_start_at = now if waiting else None

    def record_wait(self, now: float) -> None:
        """Begin a measurement when the first request has to wait."""
        if self.last_start_at is None:
            self.last_start_at = now

    def current_s(self, now: float) -> float | None:
        """Return the seconds between starts, None if unknown.

        The time since the last start counts if it is longer, so that a stall
        shows at once.
        """
        if self.average_s is None or self.last_start_at is None:
            return self.average_s
        return max(self.average_s, now - self.last_start_at)


class FairQueue(typing.Generic[T, R]):
    """The fair queue of one service.

    Virtual time and tags are in requests per unit of weight.
    """

    def __init__(self) -> None:
        self.flows: dict[str, Flow[T, R]] = {}
        self.virtual_time = 0.0
        self.size = 0
        self.start_interval = StartIntervalAverage()

    def __len__(self) -> int:
        return self.size

    def flow(self, account: str, weight: float) -> Flow[T, R]:
        """Return the flow of an account after updating its weight."""
        flow = self.flows.get(account)
        if flow is None:
            flow = self.flows[account] = Flow()
        flow.weight = max(weight, 1e-9)
        return flow

    def assign_tags(self, account: str, weight: float) -> float:
        """Assign SFQ tags to one request and return its start tag."""
        flow = self.flow(account, weight)
        start = max(self.virtual_time, flow.finish_tag)
        flow.finish_tag = start + 1.0 / flow.weight
        return start

    def record_immediate_start(
        self, account: str, weight: float, now: float
    ) -> None:
        """Account for a request that starts without waiting."""
        self.virtual_time = self.assign_tags(account, weight)
        self.start_interval.record_start(now, self.size)
        self.prune_idle_flows()

    def push(
        self, entry: QueueEntry[T, R], limit: int, now: float
    ) -> errors.Failure | None:
        """Enqueue a request, or return the failure if it is refused.

        If the queue already has ``limit`` entries, the newest request of the
        account with the largest backlog per weight is shed.  This may be the
        new request itself.
        """
        expected_s = self.estimate_wait_s(entry.account, entry.weight, now)
        if now + expected_s > entry.latest_start:
            return overloaded_failure(
                'cannot start before its deadline', expected_s
            )
        if self.size >= limit and not self.make_room_for(entry, now):
            return overloaded_failure(
                'the queue is full', self.estimate_drain_s(now)
            )
        entry.start_tag = self.assign_tags(entry.account, entry.weight)
        self.flows[entry.account].waiting.append(entry)
        self.size += 1
        self.start_interval.record_wait(now)
        return None

    def make_room_for(self, entry: QueueEntry[T, R], now: float) -> bool:
        """Shed a request of another account for a new one, if that is fair.

        The other account must have the larger backlog per weight.  Returns
        whether a request was shed.
        """
        own = self.flow(entry.account, entry.weight)
        longest = max(
            (flow for flow in self.flows.values() if flow.waiting),
            key=lambda flow: flow.backlog_per_weight(),
            default=None,
        )
        if (
            longest is None
            or longest is own
            or longest.backlog_per_weight() <= own.backlog_per_weight(1)
        ):
            return False
        shed = longest.waiting[-1]
        self.remove(shed)
        shed.resolve(
            result.Err(
                overloaded_failure(
                    'gave way to an account below its fair share',
                    self.estimate_drain_s(now),
                )
            )
        )
        return True

    def estimate_wait_s(
        self, account: str, weight: float, now: float
    ) -> float:
        """Estimate how many seconds a new request of an account will wait.

        Before it, SFQ serves one request of each waiting account and, for
        each earlier request of the same account, requests of the other
        accounts in proportion to their weights.
        """
        interval_s = self.start_interval.current_s(now)
        if interval_s is None or self.size == 0:
            return 0.0
        active = [flow for flow in self.flows.values() if flow.waiting]
        flow = self.flows.get(account)
        own_waiting = len(flow.waiting) if flow is not None else 0
        total_weight = sum(flow.weight for flow in active)
        if own_waiting == 0:
            total_weight += weight
        ahead = own_waiting * total_weight / max(weight, 1e-9) + len(active)
        return interval_s * min(float(self.size), ahead)

    def estimate_drain_s(self, now: float) -> float:
        """Estimate the seconds until the present queue is empty.

        The result is between 0.05 and 30, for use as Retry-After.
        """
        interval_s = self.start_interval.current_s(now)
        if interval_s is None:
            return DEFAULT_RETRY_AFTER_S
        return min(30.0, max(0.05, interval_s * self.size))

    def in_order(self) -> collections.abc.Iterator[QueueEntry[T, R]]:
        """Iterate over the waiting requests in the order of their start tags.

        The queue must not be changed while the iterator is in use.
        """
        return heapq.merge(
            *(flow.waiting for flow in self.flows.values() if flow.waiting),
            key=lambda entry: entry.start_tag,
        )

    def peek(self) -> QueueEntry[T, R] | None:
        """Return the next request to start, None if the queue is empty."""
        return next(self.in_order(), None)

    def remove_started(self, entry: QueueEntry[T, R], now: float) -> None:
        """Remove a request that starts now."""
        flow = self.flows[entry.account]
        if flow.waiting[0] is entry:
            flow.waiting.popleft()
        else:
            flow.waiting.remove(entry)
        self.size -= 1
        self.virtual_time = max(self.virtual_time, entry.start_tag)
        self.start_interval.record_start(now, self.size)
        self.prune_idle_flows()

    def remove(self, entry: QueueEntry[T, R]) -> bool:
        """Remove a request that will not start; return whether it was here."""
        flow = self.flows.get(entry.account)
        if flow is None:
            return False
        return bool(self.remove_from(flow, lambda item: item is entry))

    def remove_from(
        self, flow: Flow[T, R], predicate: Predicate[T, R]
    ) -> list[QueueEntry[T, R]]:
        """Remove the matching requests of a flow and return them.

        The tags of later requests are moved forward, so that the account is
        not charged for requests that were not served.
        """
        removed = []
        kept: collections.deque[QueueEntry[T, R]] = collections.deque()
        step = 1.0 / flow.weight
        for entry in flow.waiting:
            if predicate(entry):
                removed.append(entry)
            else:
                entry.start_tag -= len(removed) * step
                kept.append(entry)
        if removed:
            flow.waiting = kept
            flow.finish_tag -= len(removed) * step
            self.size -= len(removed)
        return removed

    def prune_idle_flows(self) -> None:
        """Drop idle flows, so that memory stays bounded.

        A flow whose finish tag is ahead of the virtual time is kept while
        other requests wait, since it has used more than its share.  With an
        empty queue no account is at a disadvantage, so it may be dropped.
        """
        if len(self.flows) < FLOW_PRUNE_THRESHOLD:
            return
        self.flows = {
            account: flow
            for account, flow in self.flows.items()
            if flow.waiting
            or (self.size and flow.finish_tag > self.virtual_time)
        }

    def refuse_expired(self, now: float) -> int:
        """Refuse requests past their latest start and return their number."""
        return self.refuse_matching(
            lambda entry: entry.latest_start <= now,
            overloaded_failure(
                'could not start before its deadline',
                self.estimate_drain_s(now),
            ),
        )

    def refuse_matching(
        self,
        predicate: Predicate[T, R],
        failure: errors.Failure,
    ) -> int:
        """Refuse the waiting requests that match and return their number."""
        matching = [
            entry
            for flow in self.flows.values()
            for entry in self.remove_from(flow, predicate)
        ]
        for entry in matching:
            entry.resolve(result.Err(failure))
        return len(matching)


def overloaded_failure(message: str, retry_after_s: float) -> errors.Failure:
    """Return the failure of a request refused for lack of capacity.

    Retry-After is at least 0.05 s, and 1 s if the estimate is infinite.
    """
    return errors.Failure(
        errors.ErrorKind.OVERLOADED,
        message,
        max(0.05, retry_after_s if math.isfinite(retry_after_s) else 1.0),
    )
