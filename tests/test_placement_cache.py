"""Placement decisions with kept orders, and without them."""

import random
import typing
import unittest

from filbertstep import steering
from filbertstep.steering import _ranking
from tests import plain_placement
from tests import steering_samples as samples

ZONES: typing.Final = ('a-1', 'a-2', 'b-1', 'b-2', 'c-1')
SERVICES: typing.Final = {
    'orders': samples.SERVICE,
    'search': samples.SERVICE._replace(name='search', cold_per_s=0.0),
}
ROUTES: typing.Final = (
    samples.route(),
    samples.route(name='r-2', target_s=0.02, timeout_s=0.2),
    samples.route(name='r-3', target_s=2.0, timeout_s=1.0),
)
REGION_SETS: typing.Final = (
    None,
    None,
    frozenset({'a'}),
    frozenset({'a', 'c'}),
    frozenset[str](),
)


class World:
    """One VM's decisions on one table."""

    def __init__(
        self,
        table: steering.ServerTable,
        placement_class: type[steering.Placement],
        splitter_class: type[steering.RegionSplitter],
    ) -> None:
        self.table = table
        self.placement = placement_class(table, 'a', 'a-1', samples.BOUNDS)
        self.placement.services = SERVICES
        self.placement.vms_in_zone = {'a-1': 2, 'a-2': 1, 'b-1': 1}
        self.splitter = splitter_class(table, 'a', samples.BOUNDS)
        self.queue = steering.WaitQueue(self.placement)
        self.waiting: list[steering.WaitingRequest] = []


def describe(candidate: steering.Candidate | None) -> typing.Any:
    """Return all of a candidate, comparable with that of another table.

    Any: a tuple of the fields, or None.
    """
    return candidate and (candidate.server.entry, *candidate[1:])


class Twins:
    """The same changes and decisions on two worlds, one of them plain.

    Each operation returns what both worlds decided.
    """

    def __init__(self, seed: int, server_count: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.worlds = (
            World(
                steering.ServerTable(dict(samples.REGIONS)),
                steering.Placement,
                steering.RegionSplitter,
            ),
            World(
                plain_placement.PlainTable(dict(samples.REGIONS)),
                plain_placement.PlainPlacement,
                plain_placement.PlainSplitter,
            ),
        )
        self.ids = [f's{number}' for number in range(server_count)]
        self.keys = [f'k{number}' for number in range(2 * server_count)]
        for server_id in self.ids:
            self.put(server_id)

    def random_query(self) -> steering.PlacementQuery:
        """Return a query of any kind."""
        rng = self.rng
        tried = rng.sample(self.ids, rng.choice((0, 0, 0, 1, 2, 3)))
        return steering.PlacementQuery(
            rng.choice(ROUTES),
            rng.choice(tuple(SERVICES)),
            rng.choice(('', rng.choice(self.keys), rng.choice(self.keys[:5]))),
            rng.choice(REGION_SETS),
            frozenset(tried),
            rng.choice((None, 'a', 'a', 'b')),
        )

    def put(self, server_id: str) -> None:
        """Add a server, or change anything about it."""
        rng = self.rng
        known = self.worlds[0].table.by_id.get(server_id)
        if known is None or rng.random() < 0.3:
            entry = samples.server(
                server_id,
                rng.choice(ZONES),
                service=rng.choice(('orders', 'orders', 'search')),
                slots=rng.choice((0, 1, 3, 3, 8)),
                cold_left_s=rng.choice((0.0, 0.0, 0.0, 5.0)),
                incarnation=rng.choice((1, 1, 2)),
            )
        else:
            entry = known.entry._replace(
                **rng.choice(
                    (
                        {},
                        {'draining': not known.entry.draining},
                        {'draining': False, 'slots': rng.randrange(5)},
                        {'availability_zone': rng.choice(ZONES)},
                        {'cold_left_s': 2.0},
                    )
                )
            )
        for world in self.worlds:
            world.table.put(entry, self.now)

    def change_table(self) -> None:
        """Let a server or zone join, leave or announce something."""
        rng = self.rng
        server_id, zone = rng.choice(self.ids), rng.choice(ZONES)
        change = rng.randrange(6)
        pause_s = 3.0 * rng.random()
        for world in self.worlds:
            server = world.table.by_id.get(server_id)
            if change == 0:
                world.table.remove(server_id)
            elif change == 1 and server is not None:
                server.announcements.leaving = True
            elif change == 2 and server is not None:
                server.announcements.request_pause(pause_s, self.now)
            elif change == 3 and pause_s < 1.0:
                world.table.evacuate(zone)
            elif change == 4:
                world.table.end_evacuation(zone, self.now, SERVICES)
        if change == 5 or server_id not in self.worlds[0].table.by_id:
            self.put(server_id)

    def measure(self) -> None:
        """Let a server answer, fail or reject a request."""
        rng = self.rng
        server_id = rng.choice(self.ids)
        kind = rng.randrange(6)
        value = 3.0 * rng.random()
        for world in self.worlds:
            server = world.table.by_id.get(server_id)
            if server is None:
                continue
            if kind == 0:
                server.record_failure(self.now, value < 1.0)
            elif kind == 1:
                server.record_shed(self.now)
            elif kind == 2:
                server.record_success(value, self.now)
            elif kind == 3:
                server.record_overdue(4.0 * value, self.now)
            else:
                server.record_load(int(2.0 * value), kind - 4, self.now)
                world.splitter.record_load(server, int(2.0 * value), kind - 4)
            run_times = world.placement.route_run_times(ROUTES[kind % 3])
            run_times.record(value < 1.5, value, int(9000.0 * value))

    def release(self) -> None:
        """End one request at each of some servers."""
        share = self.rng.random()
        chosen = {item for item in self.ids if self.rng.random() < share}
        for world in self.worlds:
            for server in world.table.by_id.values():
                if server.entry.server_id in chosen:
                    server.in_progress = max(0, server.in_progress - 1)

    def decide(self) -> list[typing.Any]:
        """Place a request; Any: see ``describe``."""
        query = self.random_query()
        max_wait_s = self.rng.choice((0.0, 0.3, float('inf')))
        send = self.rng.random() < 0.8
        decided = []
        for world in self.worlds:
            placement = world.placement
            eligible = [
                (rank, server.entry.server_id)
                for rank, server in placement.eligible_servers(query, self.now)
            ]
            best = placement.best_candidate(query, self.now, max_wait_s)
            accepting = placement.accepting_from(query, self.now)
            if best is not None and send:
                steering.reserve_slot(best, self.now)
                placement.record_sent(query, best.server, self.now)
            decided.append((eligible, describe(best), accepting))
        return decided

    def wait(self) -> list[typing.Any]:
        """Queue a request; Any: see ``describe``."""
        query = self.random_query()
        priority, target_s = self.rng.randrange(3), self.rng.random()
        for world in self.worlds:
            request = steering.WaitingRequest(
                query, priority, self.now, self.now + target_s, self.now + 2.0
            )
            world.queue.add(request)
            world.waiting.append(request)
        return self.dispatch()

    def dispatch(self) -> list[typing.Any]:
        """Dispatch the waiting requests; Any: see ``describe``."""
        decided = []
        for world in self.worlds:
            for service in SERVICES:
                world.queue.dispatch(service, self.now)
            decided.append(
                [
                    (number, describe(request.future.result()))
                    for number, request in enumerate(world.waiting)
                    if request.future.done()
                ]
            )
            world.waiting = [
                request
                for request in world.waiting
                if not request.future.done()
            ]
        return decided

    def split(self) -> list[typing.Any]:
        """Choose the region of a request; Any: several results."""
        service, key = (
            self.rng.choice(tuple(SERVICES)),
            self.rng.choice(self.keys),
        )
        return [
            (
                world.splitter.slots_by_region(service),
                world.splitter.choose_region(service, key, self.now),
                world.splitter.tick(self.now),
            )
            for world in self.worlds
        ]

    def health(self) -> list[typing.Any]:
        """Return the measurements of all servers; Any: several results."""
        return [
            [
                (
                    server.entry,
                    server.failure_rate,
                    server.slowdown,
                    server.health_updated_at,
                    server.in_progress,
                    server.waiting_requests,
                    server.estimated_requests(self.now),
                    list(server.cached_objects.items()),
                )
                for server in world.table.by_id.values()
            ]
            for world in self.worlds
        ]


class TestSameDecisions(unittest.IsolatedAsyncioTestCase):
    """Random tables with changes between the decisions."""

    async def play(
        self, seed: int, server_count: int, steps: int, longest_s: float
    ) -> None:
        """Compare all decisions of one random course.

        ``longest_s`` is the longest time between two operations.
        """
        twins = Twins(seed, server_count)
        operations = random.Random(seed).choices(
            (
                twins.decide,
                twins.measure,
                twins.release,
                twins.change_table,
                twins.wait,
                twins.dispatch,
                twins.split,
                twins.health,
            ),
            (60, 30, 10, 4, 3, 3, 3, 1),
            k=steps,
        )
        for step, operation in enumerate(operations):
            twins.now += min(
                longest_s,
                twins.rng.choice((0.0, 0.0, 0.001, 0.02, 0.3, 0.5, 5.0, 90.0)),
            )
            decided = operation()
            if decided is not None:
                self.assertEqual(
                    decided[0], decided[1], (step, operation.__name__)
                )
        health = twins.health()
        self.assertEqual(health[0], health[1])

    async def test_decisions_are_those_of_the_plain_code(self) -> None:
        """Guards against kept orders and lists that change a decision."""
        for seed in range(40):
            with self.subTest(seed=seed):
                await self.play(
                    seed, (3, 12, 40)[seed % 3], 400, (0.02, 90.0)[seed % 2]
                )
        await self.play(40, 200, 2000, 0.3)


class TestLeastLoaded(unittest.TestCase):
    """The first servers of one group by load, as loads change."""

    def play(self, seed: int, steps_s: tuple[float, ...]) -> None:
        """Compare with a sort after each of some random changes."""
        rng = random.Random(seed)
        servers = samples.server_table(
            *(
                samples.server(f's{number}', slots=rng.choice((1, 2, 3, 3)))
                for number in range(40)
            )
        )
        records = list(servers.by_id.values())
        order = _ranking.LoadOrder(tuple(records), servers.load_changes)
        now = 100.0
        for step in range(600):
            now += rng.choice(steps_s)
            server = rng.choice(records)
            change = rng.randrange(8)
            if change < 4:
                server.record_load(rng.choice((0, 0, 1, 2, 5)), 0, now)
            elif change < 6:
                server.in_progress = rng.randrange(3)
            elif change == 6:
                for record in records:
                    record.in_progress = rng.choice((0, step % 3, step % 3))
            else:
                for record in records:
                    record.record_load(step % 4, 0, now)
            refused = set(rng.sample(records, rng.choice((0, 3, 38))))
            expected = sorted(
                (record for record in records if record not in refused),
                key=lambda record: (
                    record.estimated_requests(now) / record.entry.slots
                ),
            )
            for count in (1, 4):
                self.assertEqual(
                    order.least_loaded(
                        count, now, lambda record: record not in refused
                    ),
                    expected[:count],
                    (seed, step, count),
                )

    def test_the_order_is_that_of_a_sort(self) -> None:
        """Guards against bounds that hide a server with a lower load."""
        courses = {
            'short': (0.0, 0.001, 0.1),
            'long': (0.0, 0.3, 5.0, 40.0),
            'loads that decay to nothing': (0.0, 0.01, 100.0, 700.0, 1600.0),
            'a clock that goes back': (0.0, 0.4, -0.2, -0.1),
            'a clock that goes back far': (0.0, 0.4, -0.2, 2000.0, -2000.0),
        }
        for name, steps_s in courses.items():
            for seed in range(8):
                with self.subTest(name=name, seed=seed):
                    self.play(seed, steps_s)


class TestStaleOrders(unittest.TestCase):
    """A server that must get no more requests, after it was ranked."""

    def setUp(self) -> None:
        """Build the placement of a VM in zone a-1 with two servers there."""
        self.table = samples.server_table(
            samples.server('s0'), samples.server('s1')
        )
        self.placement = steering.Placement(
            self.table, 'a', 'a-1', samples.BOUNDS
        )
        self.splitter = steering.RegionSplitter(
            self.table, 'a', samples.BOUNDS
        )

    def eligible(self, key: str, **changes: typing.Any) -> set[str]:
        """Return the ids of the eligible servers; Any: types differ."""
        query = steering.PlacementQuery(
            samples.route(), 'orders', key, None
        )._replace(**changes)
        return {
            server.entry.server_id
            for _, server in self.placement.eligible_servers(query, 50.0)
        }

    def list_again(self) -> None:
        """Remove the same incarnation of a server and add it again."""
        self.table.remove('s0')
        self.table.put(samples.server('s0'), 50.0)

    def test_a_change_applies_to_the_next_decision(self) -> None:
        """Guards against a leaving or evacuated server that stays ranked."""
        announcements = self.table.by_id['s0'].announcements
        changes: tuple[
            tuple[str, typing.Callable[[], None], set[str]], ...
        ] = (
            (
                'draining',
                lambda: self.table.put(
                    samples.server('s0', draining=True), 50.0
                ),
                {'s1'},
            ),
            (
                'back',
                lambda: self.table.put(samples.server('s0'), 50.0),
                {'s0', 's1'},
            ),
            ('evacuated', lambda: self.table.evacuate('a-1'), set()),
            (
                'taken back',
                lambda: self.table.end_evacuation('a-1', 50.0, {}),
                {'s0', 's1'},
            ),
            (
                'leaving',
                lambda: setattr(announcements, 'leaving', True),
                {'s1'},
            ),
            ('removed', lambda: self.table.remove('s1'), set()),
            (
                'leaving, listed again',
                self.list_again,
                set(),
            ),
            (
                'started again',
                lambda: self.table.put(
                    samples.server('s0', incarnation=2), 50.0
                ),
                {'s0'},
            ),
        )
        for name, change, expected in changes:
            for key in ('', 'x'):
                self.eligible(key)
                self.table.by_id['s0'].record_object('x', 50.0)
            change()
            with self.subTest(name=name):
                self.assertEqual(self.eligible(''), expected)
                self.assertEqual(self.eligible('x'), expected)
                self.assertEqual(
                    sum(self.splitter.slots_by_region('orders').values()),
                    3 * len(expected),
                )

    def test_a_removed_server_is_not_found_by_its_objects(self) -> None:
        """Guards against an index that grows with each removed server."""
        server = self.table.by_id['s0']
        server.record_object('x', 50.0)
        self.table.remove('s0')
        server.record_object('y', 50.0)
        self.assertEqual(self.table.objects.servers, {})

    def test_the_index_holds_the_cached_objects(self) -> None:
        """Guards against an index that keeps evicted objects."""
        for number in range(100):
            self.table.by_id['s0'].record_object(f'k{number}', 50.0)
        self.assertEqual(
            set(self.table.objects.servers),
            set(self.table.by_id['s0'].cached_objects),
        )

    def test_the_result_may_be_changed(self) -> None:
        """Guards against a caller that changes the kept slots."""
        self.splitter.slots_by_region('orders').clear()
        self.assertEqual(self.splitter.slots_by_region('orders'), {'a': 6})

    def test_the_orders_are_bounded(self) -> None:
        """Guards against memory that grows with the objects or their keys."""
        orders = self.placement.rank_orders
        self.eligible('k' * (_ranking.MAX_KEY_CHARACTERS + 1))
        self.assertEqual(len(orders.orders), 0)
        for number in range(_ranking.MAX_ORDERS + 10):
            self.eligible(f'k{number}')
        self.assertEqual(len(orders.orders), _ranking.MAX_ORDERS)
        self.assertEqual(orders.ordered_servers, 2 * _ranking.MAX_ORDERS)
        for number in range(200):
            self.eligible('x', allowed_regions=frozenset({'a', str(number)}))
        selections = self.placement.service_groups('orders').selections
        self.assertLessEqual(len(selections), 64)
        self.table.put(samples.server('s2'), 50.0)
        self.eligible('')
        self.assertEqual(orders.ordered_servers, 0)

    def test_the_bounds_of_an_order_by_load_are_bounded(self) -> None:
        """Guards against memory that grows with the requests."""
        group, *_ = self.placement.ranked_groups(
            steering.PlacementQuery(samples.route(), 'orders', '', None), False
        )
        for number in range(3000):
            server = self.table.by_id[f's{number % 2}']
            server.in_progress = number % 7
            server.record_load(number % 5, 0, 50.0 + 0.001 * number)
            self.eligible('')
            self.assertLessEqual(group.load_order.bound_count, 12)
            self.assertLessEqual(len(self.table.load_changes.servers), 1024)

    def test_the_ordered_servers_are_bounded(self) -> None:
        """Guards against memory that grows with objects times servers."""
        for number in range(500):
            self.table.put(samples.server(f't{number}'), 50.0)
        for number in range(1200):
            self.eligible(f'k{number}')
        orders = self.placement.rank_orders
        self.assertLessEqual(
            orders.ordered_servers, _ranking.MAX_ORDERED_SERVERS
        )
        self.assertEqual(
            orders.ordered_servers,
            sum(len(order) for order in orders.orders.values()),
        )
