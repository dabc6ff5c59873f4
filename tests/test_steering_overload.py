"""Order and rejection of waiting requests under overload."""

import random
import time
import typing
import unittest

from filbertstep import steering
from filbertstep.steering import _overload
from tests import steering_samples as samples

# Loads are small and all times are exact, so that a service has this many
# slots and no estimate is involved.
SLOTS: typing.Final = 4.0


def cost(**changes: typing.Any) -> steering.RequestCost:
    """Return a short urgent request; Any: fields of several types."""
    arrived_at = changes.get('arrived_at', 0.0)
    return steering.RequestCost(
        route='r-1',
        account=None,
        rate_per_s=0.0,
        priority=0,
        arrived_at=arrived_at,
        work_s=0.1,
        due=arrived_at + 0.3,
        latest_start=arrived_at + 2.9,
        deadline=arrived_at + 3.0,
    )._replace(**changes)


def archive_read(**changes: typing.Any) -> steering.RequestCost:
    """Return a long read that may take its time."""
    arrived_at = changes.get('arrived_at', 0.0)
    fields: dict[str, typing.Any] = {
        'route': 'archive',
        'priority': 2,
        'work_s': 2.0,
        'due': arrived_at + 8.0,
        'latest_start': arrived_at + 18.0,
        'deadline': arrived_at + 20.0,
    }
    return cost(**(fields | changes))


def plan_order(
    requests: list[steering.RequestCost], plan: _overload.Plan
) -> list[int]:
    """Return the positions of all requests, the rejected ones last."""
    keys = plan.sort_keys(requests)
    return sorted(range(len(requests)), key=keys.__getitem__)


class TestPlan(unittest.TestCase):
    """Plans for a queue, without a clock or servers."""

    def test_urgent_requests_precede_a_burst_of_long_reads(self) -> None:
        """A burst of archive reads, which came first, must not delay others.

        The reads are kept, as they can wait.
        """
        requests = [archive_read() for _ in range(12)]
        requests += [cost(arrived_at=0.1) for _ in range(8)]
        plan = _overload.make_plan(requests, SLOTS, 0.1)
        self.assertEqual(set(plan_order(requests, plan)[:8]), {*range(12, 20)})
        self.assertEqual(plan.rejected, [])

    def test_the_first_request_waits_until_its_latest_start(self) -> None:
        """Guards against rejecting a request before which nothing waits.

        The next free slot is its own, whatever its work; a second one has to
        wait for that work.
        """
        read = cost(work_s=2.0, due=0.3, latest_start=0.3)
        plan = _overload.make_plan([read], 3.0, 0.29)
        self.assertEqual((plan.late, plan.rejected), ([0], []))
        plan = _overload.make_plan([read, read], 3.0, 0.29)
        self.assertEqual((plan.late, plan.rejected), ([0], [1]))
        plan = _overload.make_plan([read], 3.0, 0.31)
        self.assertEqual(plan.rejected, [0])

    def test_least_weight_for_work_is_late(self) -> None:
        """Requests beyond the capacity: the cheapest for callers are late."""
        requests = [cost(priority=2) for _ in range(6)]
        requests += [cost(work_s=0.4) for _ in range(4)]
        requests += [cost() for _ in range(10)]
        plan = _overload.make_plan(requests, SLOTS, 0.0)
        self.assertEqual(set(plan.late), {*range(10)})
        self.assertEqual(set(plan.on_time), {*range(10, 20)})

    def test_targets_are_met_where_priority_order_misses_them(self) -> None:
        """A wave of top requests with time left, and others without.

        By priority alone, those of rank 1 miss targets that all can meet.
        """
        requests = [cost(work_s=0.5, due=3.0) for _ in range(8)]
        requests += [cost(priority=1) for _ in range(4)]
        plan = _overload.make_plan(requests, SLOTS, 0.0)
        self.assertEqual(set(plan.on_time[:4]), {8, 9, 10, 11})
        self.assertEqual(len(plan.on_time), 12)

    def test_late_requests_wait_only_with_a_chance(self) -> None:
        """An overload that lasts: late answers count until the deadline."""
        requests = [
            cost(due=-0.1, latest_start=1.0),
            cost(due=-0.1, latest_start=0.4),
            cost(due=-0.1, latest_start=-0.01),
            *(cost(work_s=1.0, due=9.0) for _ in range(4)),
        ]
        plan = _overload.make_plan(requests, SLOTS, 0.0)
        self.assertEqual(plan.late, [0])
        self.assertEqual(set(plan.rejected), {1, 2})

    def test_late_requests_fill_the_slack_of_less_valuable_ones(self) -> None:
        """Late urgent requests must not wait behind all archive reads."""
        requests = [archive_read(work_s=1.0) for _ in range(4)]
        requests += [cost(due=-0.1), cost(priority=2)]
        plan = _overload.make_plan(requests, SLOTS, 0.0)
        self.assertEqual(plan.late, [4])
        self.assertEqual(plan_order(requests, plan)[:2], [5, 4])
        # Without slack, those that are on time stay so.
        tight = [
            request._replace(due=0.92) if request.work_s == 1.0 else request
            for request in requests
        ]
        plan = _overload.make_plan(tight, SLOTS, 0.0)
        self.assertEqual(plan_order(tight, plan)[-1], 4)

    def test_a_waiting_request_gains_weight(self) -> None:
        """A steady stream of requests must not pass an old one forever."""
        old = cost(priority=1, due=-9.0, latest_start=30.0)
        new = cost(arrived_at=10.0, due=9.9, latest_start=30.0)
        plan = _overload.make_plan([new, old], SLOTS, 10.0)
        self.assertEqual(plan.late, [1, 0])

    def test_an_account_bears_the_cost_of_its_excess(self) -> None:
        """One account sends 7.5 times its usual, seven others as before."""
        requests = [cost(account='a-0') for _ in range(15)]
        requests += [
            cost(account=f'a-{number}', arrived_at=0.001 * place)
            for number in range(1, 8)
            for place in range(2)
        ]
        plan = _overload.make_plan(requests, 4.5, 0.01)
        on_time = [requests[index].account for index in plan.on_time]
        self.assertLess(len(on_time), len(requests))
        for number in range(1, 8):
            self.assertGreaterEqual(on_time.count(f'a-{number}'), 1)
        others = sum(account != 'a-0' for account in on_time)
        self.assertGreaterEqual(others, 10)

    def test_an_account_is_bounded_while_others_wait(self) -> None:
        """A flood of top requests of one account, and few of another.

        Beyond its share it waits behind lower priorities; alone it does not.
        """
        requests = [cost(account='a', due=9.0) for _ in range(20)]
        requests += [cost(account='b', priority=3, due=9.0) for _ in range(4)]
        plan = _overload.make_plan(requests, SLOTS, 0.0)
        self.assertLess(
            max(plan_order(requests, plan).index(place) for place in (20, 23)),
            18,
        )
        alone = _overload.make_plan(requests[:20], SLOTS, 0.0)
        self.assertEqual(len(alone.on_time), 20)

    def test_rate_limits_entitle_to_shares(self) -> None:
        """A large account under a load that all accounts raise alike."""
        requests = [cost(account='large', rate_per_s=80.0) for _ in range(16)]
        requests += [cost(account='small', rate_per_s=20.0) for _ in range(4)]
        values = [_overload.value(request, 0.0) for request in requests]
        excess = _overload.limit_accounts(requests, list(values))
        self.assertEqual(excess, set())
        limited = list(values)
        _overload.limit_accounts(requests, limited)
        self.assertEqual(limited, values)

    def test_a_full_queue_keeps_the_more_valuable(self) -> None:
        """A burst beyond the length of a queue: a late one is worth more.

        The request that it displaces is rejected.
        """
        requests = [
            cost(priority=3, due=-1.0, latest_start=1e4)
            for _ in range(_overload.MAX_WAITING)
        ]
        requests.append(cost(due=-1.0, latest_start=1e4))
        plan = _overload.make_plan(requests, 1e3, 0.0)
        self.assertEqual(plan.late[0], _overload.MAX_WAITING)
        self.assertEqual(len(plan.rejected), 1)
        self.assertNotIn(_overload.MAX_WAITING, plan.rejected)

    def test_a_plan_has_each_request_once(self) -> None:
        """Guards against a request that neither waits nor is rejected."""
        for seed in range(200):
            generator = random.Random(seed)
            requests = [
                cost(
                    account=generator.choice((None, 'a', 'b')),
                    priority=generator.randrange(5),
                    work_s=10.0 ** generator.uniform(-3, 2),
                    due=generator.uniform(-2, 5),
                    latest_start=generator.uniform(-2, 20),
                )
                for _ in range(generator.randrange(40))
            ]
            first = 0 if requests and seed % 2 else None
            slots = 10.0 ** generator.uniform(-2, 3)
            plan = _overload.make_plan(requests, slots, 0.0, first)
            found = plan.on_time + plan.late + plan.rejected
            found += [] if plan.first is None else [plan.first]
            self.assertEqual(sorted(found), list(range(len(requests))))


class TestFigures(unittest.TestCase):
    """Figures that are missing, stale or absurd."""

    def test_absurd_figures_are_not_planned_with(self) -> None:
        """Such a request is treated as before; it must not fail."""
        nan, infinite = float('nan'), float('inf')
        for changes in (
            {'work_s': nan},
            {'work_s': 0.0},
            {'work_s': -1.0},
            {'work_s': infinite},
            {'run_s': 1e9},
            {'deadline': infinite},
            {'deadline': -1.0},
            {'deadline': 1e12},
            {'arrived_at': nan},
            {'priority': -1},
            {'route': samples.route(target_s=nan)},
            {'route': samples.route(target_s=-1.0)},
        ):
            fields: dict[str, typing.Any] = {
                'route': samples.route(),
                'account': None,
                'priority': 0,
                'arrived_at': 0.0,
                'deadline': 3.0,
                'work_s': 0.1,
                'run_s': 0.1,
                'min_run_s': 0.05,
            }
            self.assertIsNotNone(steering.make_cost(**fields))
            with self.subTest(changes=changes):
                self.assertIsNone(steering.make_cost(**(fields | changes)))

    def test_slots_without_usable_figures(self) -> None:
        """There is no plan on nothing, and none on an absurd count."""
        for counted in (0.0, -3.0, float('nan'), float('inf')):
            with self.subTest(counted=counted):
                supply = _overload.SlotSupply(0.0)
                self.assertIsNone(supply.slots(counted))

    def test_hung_servers_lower_the_slots(self) -> None:
        """Requests hang in all slots: the counted slots mean little then."""
        supply = _overload.SlotSupply(0.0)
        self.assertEqual(supply.slots(6.0), 6.0)
        for step in range(1, 101):
            supply.advance(0.05 * step, True)
        self.assertLess(supply.slots(6.0) or 0.0, 2.0)

    def test_stale_observations_lose_their_weight(self) -> None:
        """An overload long ago, or a stopped process, says nothing of now."""
        supply = _overload.SlotSupply(0.0)
        for step in range(1, 101):
            supply.advance(0.05 * step, True)
        for step in range(1, 31):
            supply.advance(5.0 + step, False)
        self.assertAlmostEqual(supply.slots(6.0) or 0.0, 6.0, delta=0.1)
        # Neither a jump of the clock back nor one ahead counts as waiting.
        supply.advance(0.0, True)
        supply.advance(1e9, True)
        self.assertGreater(supply.slots(6.0) or 0.0, 2.5)

    def test_dispatched_work_gives_the_slots(self) -> None:
        """Other VMs take a part of the servers that this one counts."""
        supply = _overload.SlotSupply(0.0)
        for step in range(1, 201):
            supply.advance(0.05 * step, True)
            supply.record_dispatch(0.15)
        self.assertAlmostEqual(supply.slots(12.0) or 0.0, 5.0, delta=2.0)


class TestSchedule(unittest.TestCase):
    """Plans of one service over time."""

    def setUp(self) -> None:
        """Build the schedule of a service with a known number of slots."""
        self.schedule = _overload.ServiceSchedule(0.0)
        self.schedule.record_count(SLOTS, 0.0)

    def test_no_route_starves_beside_urgent_load(self) -> None:
        """Top requests take all slots for 60 s; archive reads keep coming.

        The reads are rejected at times, but one is served now and then, and
        not more than the share of the work for that.
        """
        served_at = []
        queue: list[steering.RequestCost] = []
        for step in range(600):
            now = 0.1 * step
            arrivals = [cost(arrived_at=now) for _ in range(8)]
            arrivals.append(
                archive_read(
                    arrived_at=now,
                    due=now - 1.0,
                    latest_start=now + 3.0,
                    work_s=0.4,
                )
            )
            self.schedule.supply.advance(now, bool(queue))
            self.schedule.record_count(SLOTS, now)
            for request in arrivals:
                self.schedule.record_arrival(request, now)
            queue += arrivals
            plan = self.schedule.plan(queue, now)
            assert plan is not None
            order = [
                index
                for index in plan_order(queue, plan)
                if index not in plan.rejected
            ]
            work_s = 0.0
            for index in order:
                if work_s >= 0.1 * SLOTS:
                    break
                work_s += queue[index].work_s
                if index == plan.first:
                    self.schedule.charge_first(queue[index])
                self.schedule.record_dispatch(queue[index], now)
                if queue[index].route == 'archive':
                    served_at.append(now)
                queue[index] = queue[index]._replace(route='')
            queue = [
                request
                for index, request in enumerate(queue)
                if request.route and index not in plan.rejected
            ]
        self.assertGreaterEqual(len(served_at), 6)
        self.assertLessEqual(len(served_at), 24)
        gaps = [
            b - a for a, b in zip([0.0, *served_at], served_at, strict=False)
        ]
        self.assertLess(max(gaps), 2 * _overload.MAX_UNSERVED_S)

    def test_a_quiet_account_is_not_starved(self) -> None:
        """An account with few requests must not go before all others."""
        quiet = cost(account='quiet')
        self.schedule.record_arrival(quiet, 0.0)
        self.schedule.record_dispatch(quiet, 0.1)
        again = cost(account='quiet', route='r-2', arrived_at=20.0)
        others = [cost(account='busy', arrived_at=20.0)]
        for request in (*others, again):
            self.schedule.record_arrival(request, 20.0)
        plan = self.schedule.plan([*others, again], 20.0)
        assert plan is not None
        self.assertIsNone(plan.first)
        # Requests that were rejected since are time without service.
        for step in range(6):
            self.schedule.record_seen(again, 20.0 + step)
        plan = self.schedule.plan([*others, again], 20.0)
        assert plan is not None
        self.assertIsNone(plan.first)
        late = cost(account='quiet', arrived_at=26.0)
        plan = self.schedule.plan([*others, late], 26.0)
        assert plan is not None
        self.assertEqual(plan.first, 1)

    def test_retries_are_spread_over_the_time_of_capacity(self) -> None:
        """A burst is rejected: its callers must not return together."""
        requests = [
            cost(priority=rank, work_s=0.5, due=-1.0, latest_start=-0.5)
            for rank in (3, 0, 1, 2)
            for _ in range(10)
        ]
        plan = self.schedule.plan(requests, 0.0)
        assert plan is not None
        rejections = self.schedule.rejections_of(requests, plan, 0.0)
        self.assertEqual(len(rejections), 40)
        times = [rejection.retry_after_s for rejection in rejections]
        self.assertLessEqual(max(times), 1.0)
        self.assertGreater(len({round(each, 2) for each in times}), 20)
        means = [
            sum(
                rejection.retry_after_s
                for rejection in rejections
                if requests[rejection.position].priority == rank
            )
            for rank in range(4)
        ]
        self.assertEqual(means, sorted(means))

    def test_early_repeats_gain_nothing(self) -> None:
        """A rejected caller repeats at once: it is not told an earlier time.

        Nor does it get before what waited.
        """
        waiting = [cost(work_s=0.25, due=0.4) for _ in range(6)]
        hopeless = cost(work_s=0.2, due=-1.0, latest_start=0.1, deadline=6.0)
        plan = self.schedule.plan([*waiting, hopeless], 0.0)
        assert plan is not None
        (first,) = self.schedule.rejections_of([*waiting, hopeless], plan, 0.0)
        again = hopeless._replace(arrived_at=0.05, latest_start=0.15)
        plan = self.schedule.plan([*waiting, again], 0.05)
        assert plan is not None
        self.assertEqual(plan_order([*waiting, again], plan)[-1], 6)
        (second,) = self.schedule.rejections_of([*waiting, again], plan, 0.05)
        self.assertGreaterEqual(
            0.05 + second.retry_after_s, first.retry_after_s
        )

    def test_plans_follow_changes_not_servers(self) -> None:
        """Guards against a plan for each dispatch of a long queue."""
        self.schedule.plan([], 0.0)
        self.assertFalse(self.schedule.is_due(100, 0.01))
        for _ in range(24):
            self.schedule.record_arrival(cost(), 0.01)
        self.assertFalse(self.schedule.is_due(100, 0.01))
        self.schedule.record_arrival(cost(), 0.01)
        self.assertTrue(self.schedule.is_due(100, 0.01))
        self.assertTrue(self.schedule.is_due(1, 0.01))

    def test_a_plan_of_100_requests_is_cheap(self) -> None:
        """Guards against a cost that grows with the square of a queue.

        The bound is ten times the time measured, on processor time.
        """
        requests = [
            cost(
                account=f'a-{place % 8}',
                priority=place % 4,
                due=0.01 * place,
                arrived_at=0.001 * place,
            )
            for place in range(100)
        ]
        started = time.process_time()
        for _ in range(20):
            self.schedule.plan(requests, 0.2)
        self.assertLess((time.process_time() - started) / 20, 0.005)


class TestServices(unittest.TestCase):
    """Which services are ordered by cost."""

    def services(
        self, order: str, accounts: typing.Any = (), **routes: typing.Any
    ) -> frozenset[str]:
        """Return these for routes; Any: fields of several types."""
        configuration = samples.configuration(
            routes=tuple(
                samples.route(name=name, **fields)
                for name, fields in routes.items()
            ),
            accounts={account.name: account for account in accounts},
        )
        return steering.cost_services(
            steering.OverloadOrder(order), configuration
        )

    def test_auto_wants_urgent_requests_and_others(self) -> None:
        """Guards against a change where all requests are alike.

        Routes of client accounts tell; public routes often have no priority
        of their own, which reads as 0.
        """
        split = (
            steering.Destination('orders', 1.0),
            steering.Destination('other', 1.0),
        )
        unused = (
            steering.Destination('orders', 1.0),
            steering.Destination('other', 0.0),
        )
        for expected, routes in (
            (set(), {'a': {'priority': 0}, 'b': {'priority': 0}}),
            (set(), {'a': {'priority': 1}, 'b': {'priority': 2}}),
            (
                set(),
                {'a': {'priority': 0, 'public': True}, 'b': {'priority': 2}},
            ),
            (
                set(),
                {'a': {'priority': 0}, 'b': {'priority': 2, 'public': True}},
            ),
            ({'orders'}, {'a': {'priority': 0}, 'b': {'priority': 2}}),
            (
                {'orders', 'other'},
                {
                    'a': {'priority': 0, 'destinations': split},
                    'b': {'priority': 1},
                },
            ),
            (
                {'orders'},
                {
                    'a': {'priority': 0, 'destinations': unused},
                    'b': {'priority': 1},
                },
            ),
        ):
            with self.subTest(routes=routes):
                self.assertEqual(self.services('auto', **routes), expected)

    def test_priorities_of_accounts_do_not_switch_the_order(self) -> None:
        """Guards against a change for accounts that are all served alike."""
        accounts = (
            samples.account(name='plain', priority=1),
            samples.account(name='ranked', priority=0),
        )
        self.assertEqual(
            self.services('auto', accounts, a={'priority': 2}), set()
        )

    def test_priorities_of_accounts_take_precedence(self) -> None:
        """Guards against an urgent route before a more important account."""
        ranks = [
            steering.urgency_rank(route, account)
            for account in (0, 1, 2)
            for route in (0, 1, 2)
        ]
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertEqual(steering.urgency_rank(2, None), 2)
        self.assertLess(
            steering.urgency_rank(99, 0), steering.urgency_rank(0, 1)
        )

    def test_the_other_orders_hold_for_all_services(self) -> None:
        """The setting decides alone unless it is auto."""
        routes = {'a': {'priority': 0}, 'b': {'priority': 2}}
        self.assertEqual(self.services('priority', **routes), frozenset())
        self.assertEqual(
            self.services('cost', a={'priority': 1}), frozenset({'orders'})
        )


class TestQueueByCost(unittest.IsolatedAsyncioTestCase):
    """The wait queue of a service that is ordered by cost."""

    def setUp(self) -> None:
        """Build the queue of two servers whose slots are all in use."""
        self.table = samples.server_table(
            samples.server('s0'), samples.server('s1')
        )
        self.servers = list(self.table.by_id.values())
        for server in self.servers:
            server.in_progress = 3
            server.last_sent_at = 0.0
        self.placement = steering.Placement(
            self.table, 'a', 'a-1', samples.BOUNDS
        )
        self.queue = steering.WaitQueue(self.placement)
        self.queue.order_by_cost({'orders'}, 0.0)

    def enqueue(
        self,
        request: steering.RequestCost | None,
        now: float = 0.0,
        former_deadline: float = 0.2,
    ) -> steering.WaitingRequest:
        """Add a request to the queue and return it."""
        query = steering.PlacementQuery(
            samples.route(), 'orders', '', None, region='a'
        )
        waiting = steering.WaitingRequest(
            query,
            0 if request is None else request.priority,
            now,
            now + 0.4,
            former_deadline if request is None else request.latest_start,
            request,
            former_deadline,
        )
        best = self.placement.best_candidate(query, now)
        assert best is not None
        self.queue.start_wait(waiting, best, now)
        return waiting

    async def test_a_free_slot_goes_to_the_urgent_request(self) -> None:
        """A burst of long reads waits when an urgent request arrives."""
        reads = [self.enqueue(archive_read()) for _ in range(6)]
        urgent = self.enqueue(cost(arrived_at=0.1), 0.1)
        self.servers[1].in_progress = 2
        self.queue.dispatch('orders', 0.11)
        candidate = await urgent.future
        assert candidate is not None
        self.assertIs(candidate.server, self.servers[1])
        self.assertEqual(self.servers[1].in_progress, 3)
        self.assertFalse(any(read.future.done() for read in reads))
        self.assertEqual(self.queue.length('orders'), 6)

    async def test_a_displaced_request_is_rejected_at_once(self) -> None:
        """A queue with as much as can be done before the deadlines is full.

        What is worth more takes the place of what is worth least.
        """
        waiting = [
            self.enqueue(
                cost(priority=3, work_s=1.0, due=-1.0, latest_start=1.0)
            )
            for _ in range(6)
        ]
        self.assertFalse(any(each.future.done() for each in waiting))
        urgent = [self.enqueue(cost(work_s=1.0), 0.01) for _ in range(5)]
        self.assertFalse(any(each.future.done() for each in urgent))
        rejected = [each for each in waiting if each.future.done()]
        self.assertGreaterEqual(len(rejected), 1)
        self.assertLess(len(rejected), 6)
        for each in rejected:
            self.assertIsNone(each.future.result())
            self.assertIsNotNone(each.retry_after_s)
        self.assertEqual(self.queue.length('orders'), 11 - len(rejected))
        self.assertEqual(sum(server.in_progress for server in self.servers), 6)

    async def test_all_waits_end_when_all_servers_go(self) -> None:
        """All servers of a service go away while more than a window waits."""
        for name in ('leaving', 'removed', 'paused', 'evacuated'):
            with self.subTest(name=name):
                self.setUp()
                waiting = [self.enqueue(archive_read()) for _ in range(12)]
                waiting += [self.enqueue(None) for _ in range(2)]
                self.assertFalse(any(each.future.done() for each in waiting))
                for server in self.servers:
                    if name == 'leaving':
                        server.announcements.leaving = True
                    elif name == 'paused':
                        server.announcements.request_pause(3.0, 0.1)
                    elif name == 'removed':
                        self.table.remove(server.entry.server_id)
                    else:
                        self.table.evacuate('a-1')
                self.queue.dispatch('orders', 0.11)
                for each in waiting:
                    self.assertTrue(each.future.done())
                    self.assertIsNone(each.future.result())
                self.assertEqual(self.queue.length('orders'), 0)

    async def test_without_figures_the_former_order_holds(self) -> None:
        """No slot is known: priority decides, and waits are short."""
        for server in self.servers:
            server.in_progress = 0
            server.other_vm_requests = 3.0
        self.assertFalse(self.queue.plans('orders', 0.0))
        low = self.enqueue(cost(priority=2, work_s=0.01))
        high = self.enqueue(cost(priority=0, work_s=1.0))
        self.queue.dispatch('orders', 0.05)
        self.assertEqual(self.queue.queues['orders'], [high, low])
        self.queue.dispatch('orders', 0.21)
        self.assertTrue(high.future.done() and low.future.done())
        self.assertIsNone(high.retry_after_s)

    async def test_a_request_without_a_cost_waits_as_before(self) -> None:
        """One request with absurd figures must not change the others' plan."""
        unknown = self.enqueue(None)
        reads = [self.enqueue(archive_read()) for _ in range(3)]
        self.queue.dispatch('orders', 0.1)
        self.assertFalse(unknown.future.done())
        self.queue.dispatch('orders', 0.2)
        self.assertIsNone(await unknown.future)
        self.assertFalse(any(read.future.done() for read in reads))

    async def test_slots_that_only_late_places_can_use_are_found(self) -> None:
        """Many requests for a full region wait before one for another."""
        self.table.put(samples.server('s2', 'b-1'), 0.0)
        other = self.table.by_id['s2']
        other.in_progress = 5
        for _ in range(_overload.COMPARED_REQUESTS + 4):
            self.enqueue(archive_read())
        last = self.enqueue(archive_read(due=8.5))
        last.query = last.query._replace(region='b')
        other.in_progress = 0
        self.queue.dispatch('orders', 0.05)
        self.assertTrue(last.future.done())

    async def test_the_order_can_change_while_requests_wait(self) -> None:
        """A configuration takes a service's second priority away."""
        reads = [self.enqueue(archive_read()) for _ in range(3)]
        self.queue.order_by_cost(frozenset(), 0.1)
        self.queue.dispatch('orders', 0.1)
        self.assertFalse(any(read.future.done() for read in reads))
        self.queue.dispatch('orders', 0.2)
        self.assertTrue(all(read.future.done() for read in reads))
        before = self.enqueue(None)
        self.queue.order_by_cost({'orders'}, 0.2)
        self.queue.dispatch('orders', 0.2)
        self.assertTrue(before.future.done())

    async def test_a_stop_ends_the_waits(self) -> None:
        """Guards against waits that last longer than the process."""
        reads = [self.enqueue(archive_read()) for _ in range(12)]
        self.queue.limit_waits(0.5)
        self.queue.dispatch('orders', 0.5)
        self.assertTrue(all(read.future.done() for read in reads))

    async def test_waiting_requests_count_as_load(self) -> None:
        """Guards against servers that look free while requests wait."""
        waiting = [self.enqueue(archive_read()) for _ in range(12)]
        self.assertEqual(
            sum(server.waiting_requests for server in self.servers), 12
        )
        self.queue.discard(waiting[0])
        self.queue.dispatch('orders', 0.05)
        self.assertEqual(
            sum(server.waiting_requests for server in self.servers), 11
        )


class TestOverloadTable(unittest.TestCase):
    """When a service enters and leaves overload."""

    def test_one_line_for_each_overload(self) -> None:
        """Guards against a log line for each rejection."""
        table = _overload.OverloadTable()
        self.assertTrue(table.record_rejection('orders', 0.0))
        self.assertFalse(table.record_rejection('orders', 4.0))
        self.assertEqual(table.ended(8.9), [])
        self.assertEqual(table.ended(9.0), [('orders', 4.0, 2)])
        self.assertEqual(table.ended(99.0), [])
        self.assertTrue(table.record_rejection('orders', 100.0))
