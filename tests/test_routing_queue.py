"""Tests of the fair queue."""

import asyncio
import collections
import collections.abc
import heapq
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import errors
from filbertstep import routing

Queue = routing.FairQueue[int, int]
QueueEntry = routing.QueueEntry[int, int]

FAILURE = errors.Failure(errors.ErrorKind.UNAUTHORIZED, 'key withdrawn')


def entry(
    request: int,
    account: str = 'a',
    weight: float = 1.0,
    now: float = 0.0,
    latest_start: float = 1e9,
) -> QueueEntry:
    """Return the queue entry of a request, by default without expiry."""
    return routing.QueueEntry(request, account, weight, now, latest_start)


def order(queue: Queue) -> list[int]:
    """Return the waiting requests in the order in which they will start."""
    return [item.request for item in queue.in_order()]


class TestFairQueue(unittest.IsolatedAsyncioTestCase):
    """Order, shedding and removal of waiting requests."""

    async def test_fifo_of_one_account(self) -> None:
        """Guards against requests of one account overtaking each other."""
        queue = Queue()
        for number in range(5):
            self.assertIsNone(queue.push(entry(number), 10, 0.0))
        self.assertEqual([0, 1, 2, 3, 4], order(queue))

    async def test_accounts_take_turns_by_weight(self) -> None:
        """Guards against an order by arrival, where a burst delays others."""
        queue = Queue()
        for number in range(6):
            queue.push(entry(number, 'burst', 1.0), 20, 0.0)
        for number in range(10, 14):
            queue.push(entry(number, 'heavy', 2.0), 20, 0.0)
        self.assertEqual([0, 10, 11, 1, 12, 13, 2, 3, 4, 5], order(queue))

    async def test_idle_account_gets_no_credit(self) -> None:
        """Guards against crediting an account for its idle time."""
        queue = Queue()
        for _ in range(100):
            queue.record_immediate_start('a', 1.0, 0.0)
        for number in range(4):
            queue.push(entry(number, 'a'), 20, 0.0)
            queue.push(entry(10 + number, 'b'), 20, 0.0)
        self.assertLessEqual(order(queue).index(0), 2)

    async def test_full_queue_sheds_the_largest_backlog(self) -> None:
        """Guards against a burst that keeps others out of the queue."""
        queue = Queue()
        burst = [entry(number, 'burst') for number in range(4)]
        for item in burst:
            self.assertIsNone(queue.push(item, 4, 0.0))
        refused = queue.push(entry(9, 'burst'), 4, 0.0)
        assert refused is not None
        self.assertEqual(errors.ErrorKind.OVERLOADED, refused.kind)
        self.assertIsNone(queue.push(entry(5, 'small'), 4, 0.0))
        outcome = await burst[3].future
        self.assertEqual(
            errors.ErrorKind.OVERLOADED, outcome.unwrap_err().kind
        )
        self.assertEqual({0, 1, 2, 5}, set(order(queue)))
        self.assertEqual(4, len(queue))

    async def test_backlog_is_relative_to_weight(self) -> None:
        """Guards against shedding an account just because it is large."""
        queue = Queue()
        for number in range(3):
            queue.push(entry(number, 'large', 10.0), 4, 0.0)
        queue.push(entry(3, 'small', 1.0), 4, 0.0)
        refused = queue.push(entry(4, 'small', 1.0), 4, 0.0)
        self.assertIsNotNone(refused)
        self.assertIsNone(queue.push(entry(5, 'large', 10.0), 4, 0.0))
        self.assertEqual({0, 1, 2, 5}, set(order(queue)))

    async def test_request_that_cannot_start_in_time_is_refused(self) -> None:
        """Guards against queueing requests that cannot start in time."""
        queue = Queue()
        for number in range(20):
            queue.push(entry(number), 100, 0.0)
        for number in range(10):
            first = queue.peek()
            assert first is not None
            queue.remove_started(first, 0.1 * (number + 1))
        # Ten requests wait, and one starts every 0.1 s.
        late = queue.push(entry(30, latest_start=1.8), 100, 1.0)
        assert late is not None
        self.assertEqual(errors.ErrorKind.OVERLOADED, late.kind)
        self.assertIsNone(queue.push(entry(31, latest_start=2.2), 100, 1.0))
        # A request of another account does not wait behind those ten.
        self.assertIsNone(
            queue.push(entry(32, 'b', latest_start=1.3), 100, 1.0)
        )

    async def test_expired_requests_are_refused(self) -> None:
        """Guards against starting a request after its latest start."""
        queue = Queue()
        items = [entry(n, latest_start=1.0 + n) for n in range(3)]
        for item in items:
            queue.push(item, 10, 0.0)
        self.assertEqual(2, queue.refuse_expired(2.0))
        self.assertEqual([2], order(queue))
        self.assertEqual(
            errors.ErrorKind.OVERLOADED,
            (await items[0].future).unwrap_err().kind,
        )

    async def test_refuse_matching(self) -> None:
        """Guards against requests that stay queued after a key withdrawal."""
        queue = Queue()
        items = [entry(number) for number in range(6)]
        for item in items:
            queue.push(item, 10, 0.0)
        failed = queue.refuse_matching(
            lambda item: item.request % 2 == 0, FAILURE
        )
        self.assertEqual(3, failed)
        self.assertEqual([1, 3, 5], order(queue))
        self.assertEqual(result.Err(FAILURE), await items[4].future)

    async def test_removed_requests_cost_their_account_nothing(self) -> None:
        """Guards against charging an account for cancelled requests."""
        queue = Queue()
        cancelled = [entry(number, 'a') for number in range(10)]
        for item in cancelled:
            queue.push(item, 100, 0.0)
        queue.push(entry(10, 'a'), 100, 0.0)
        for number in range(20, 24):
            queue.push(entry(number, 'b'), 100, 0.0)
        for item in cancelled:
            self.assertTrue(queue.remove(item))
            self.assertFalse(queue.remove(item))
        self.assertIn(10, order(queue)[:2])
        self.assertEqual(5, len(queue))

    async def test_idle_flows_are_dropped(self) -> None:
        """Guards against memory that grows with every account ever seen."""
        queue = Queue()
        for number in range(1000):
            queue.record_immediate_start(
                f'account-{number}', 1.0, float(number)
            )
        self.assertLessEqual(len(queue.flows), 64)


class Account(typing.NamedTuple):
    """Rate of an account, and what it sends as a factor of that rate."""

    rate: float
    factor: float


ACCOUNTS = strategies.lists(
    strategies.builds(
        Account,
        rate=strategies.sampled_from([4.0, 8.0, 20.0]),
        factor=strategies.sampled_from([0.3, 0.7, 1.0, 1.2]),
    ),
    min_size=2,
    max_size=6,
)


def fair_shares(accounts: list[Account], capacity: float) -> list[float]:
    """Return the rate of each account under weighted max-min fairness."""
    shares = [0.0] * len(accounts)
    left = set(range(len(accounts)))
    while left and capacity > 1e-9:
        total = sum(accounts[number].rate for number in left)
        level = capacity / total
        done = {
            number
            for number in left
            if accounts[number].factor <= level + 1e-12
        }
        for number in done or left:
            item = accounts[number]
            share = item.rate * (item.factor if done else level)
            shares[number] = share
            capacity -= share
        left = left - done if done else set()
    return shares


def arrivals(
    accounts: list[Account], seconds: float, rng: random.Random
) -> list[tuple[float, int]]:
    """Return Poisson arrivals as (time, account number)."""
    found = []
    for number, item in enumerate(accounts):
        now = rng.expovariate(item.rate * item.factor)
        while now < seconds:
            found.append((now, number))
            now += rng.expovariate(item.rate * item.factor)
    return sorted(found)


class Simulation:
    """A queue in front of a number of slots, with a fixed run time."""

    seconds = 60.0
    run_s = 0.05
    queue_limit = 60
    wait_s = 4.0

    def __init__(self, accounts: list[Account], slots: int) -> None:
        self.accounts = accounts
        self.idle = slots
        self.queue = Queue()
        self.ends: list[float] = []
        self.started = [0] * len(accounts)

    def start(self, number: int, now: float) -> None:
        """Start a request of an account on an idle slot."""
        self.started[number] += 1
        self.idle -= 1
        heapq.heappush(self.ends, now + self.run_s)

    def advance(self, until: float) -> None:
        """Finish runs and start waiting requests until a time."""
        while self.ends and self.ends[0] <= until:
            now = heapq.heappop(self.ends)
            self.idle += 1
            self.queue.refuse_expired(now)
            first = self.queue.peek()
            if first is not None:
                self.queue.remove_started(first, now)
                self.start(first.request, now)

    async def run(self, rng: random.Random) -> list[int]:
        """Run the simulation and return the offered requests by account."""
        offered = [0] * len(self.accounts)
        for now, number in arrivals(self.accounts, self.seconds, rng):
            self.advance(now)
            offered[number] += 1
            rate = self.accounts[number].rate
            if self.idle and not self.queue:
                self.queue.record_immediate_start(str(number), rate, now)
                self.start(number, now)
            else:
                self.queue.push(
                    entry(number, str(number), rate, now, now + self.wait_s),
                    self.queue_limit,
                    now,
                )
        self.advance(self.seconds)
        return offered


class TestFairness(unittest.TestCase):
    """The worst-served account gets its fair share."""

    def worst(self, accounts: list[Account], seed: int) -> float:
        """Return the lowest ratio of actual to fair service of any account."""
        offered_rate = sum(item.rate * item.factor for item in accounts)
        # Capacity for two thirds of the load, so that requests always wait.
        slots = max(1, round(offered_rate / 1.5 * Simulation.run_s))
        simulation = Simulation(accounts, slots)
        offered = asyncio.run(simulation.run(random.Random(seed)))
        seconds = simulation.seconds
        # The load that was actually offered in this run, not the mean.
        actual = [
            item._replace(factor=count / seconds / item.rate)
            for item, count in zip(accounts, offered, strict=True)
        ]
        due = fair_shares(actual, slots / Simulation.run_s)
        return min(
            # Requests that still wait at the end count as served.
            (started + len(self.waiting(simulation, number)))
            / max(1.0, share * seconds)
            for number, (started, share) in enumerate(
                zip(simulation.started, due, strict=True)
            )
        )

    def waiting(
        self, simulation: Simulation, number: int
    ) -> collections.abc.Collection[QueueEntry]:
        """Return the waiting requests of an account."""
        flow = simulation.queue.flows.get(str(number))
        return () if flow is None else flow.waiting

    @hypothesis.settings(
        derandomize=True, max_examples=25, deadline=None, database=None
    )
    @hypothesis.given(
        ACCOUNTS,
        strategies.sampled_from([4.0, 8.0, 20.0]),
        strategies.integers(0, 1000),
    )
    def test_greedy_account_takes_nothing(
        self, others: list[Account], rate: float, seed: int
    ) -> None:
        """Guards against an account at 5 times its rate that wins."""
        accounts = [Account(rate, 5.0), *others]
        self.assertGreaterEqual(self.worst(accounts, seed), 0.95)

    def test_fair_shares_by_hand(self) -> None:
        """Guards against a reference calculation that demands too little."""
        accounts = [Account(10, 5.0), Account(10, 0.5), Account(20, 1.0)]
        shares = fair_shares(accounts, 35.0)
        self.assertEqual([10.0, 5.0, 20.0], shares)
        shares = fair_shares(accounts, 30.0)
        self.assertEqual(
            [8.333, 5.0, 16.667], [round(share, 3) for share in shares]
        )
        self.assertEqual(
            collections.Counter([50.0, 5.0, 20.0]),
            collections.Counter(fair_shares(accounts, 100.0)),
        )
