"""Tests of the arithmetic of the bench."""

import typing
import unittest

from filbertstep import _bench_cpu
from filbertstep import _bench_figures
from filbertstep import _bench_plan
from filbertstep import _bench_report
from filbertstep import checking
from filbertstep import deployment

NAMES = ('huon-burr', 'vleiland')

WINDOW = _bench_figures.Window(10.0, 20.0, 25.0)

FACTS = checking.Facts(
    services={},
    servers={
        'a-1': checking.ServerFact('a', 'north', 2),
        'a-2': checking.ServerFact('a', 'south', 2),
        'b-1': checking.ServerFact('b', 'north', 2),
    },
    accounts={},
    key_accounts={},
    shift_caps={},
    links={},
    vm_regions={},
)


def server_event(
    at: float, running: int, waiting: int = 0, server: str = 'a-1'
) -> checking.AnyEvent:
    """Return an event of a backend server."""
    service = server.partition('-')[0]
    region = FACTS.servers[server].region
    return {
        'event': 'begin',
        't': at,
        'server': server,
        'service': service,
        'region': region,
        'running': running,
        'waiting': waiting,
    }


def order(
    account: str, status: int = 200, inside_rate: bool = True
) -> checking.LogicalRequest:
    """Return a request of service ``a`` and its only answer."""
    kind = '' if status < 400 else 'overloaded'
    return checking.LogicalRequest(
        service='a',
        account=account,
        idempotent=True,
        first_sent_at=11.0,
        last_response={
            'status': status,
            'kind': kind,
            'complete': True,
            't': 12.0,
        },
        inside_rate=inside_rate,
        run_count=1,
        was_interrupted=False,
        was_refused=status >= 400,
    )


class FairCase(typing.NamedTuple):
    """Demands, weights and a capacity, and the shares they must give."""

    name: str
    demands: dict[str, float]
    weights: dict[str, float]
    capacity: float
    shares: dict[str, float]


FAIR_CASES = [
    FairCase('room for all', {'x': 3, 'y': 4}, {'x': 1, 'y': 1}, 10, {
        'x': 3, 'y': 4,
    }),
    FairCase('by weight', {'x': 90, 'y': 90}, {'x': 1, 'y': 2}, 30, {
        'x': 10, 'y': 20,
    }),
    FairCase(
        'what one leaves goes to the others',
        {'x': 2, 'y': 90, 'z': 90},
        {'x': 1, 'y': 1, 'z': 3},
        30,
        {'x': 2, 'y': 7, 'z': 21},
    ),
    FairCase('nobody', {}, {}, 30, {}),
]  # fmt: skip


class TestFairShares(unittest.TestCase):
    """What an account was due."""

    def test_shares(self) -> None:
        """Guards against a due above the demand or beyond the capacity."""
        for case in FAIR_CASES:
            with self.subTest(case.name):
                found = _bench_figures.fair_shares(
                    case.demands, case.weights, case.capacity
                )
                self.assertEqual(case.shares, found)

    def test_worst_served(self) -> None:
        """Guards against hiding the account that got least."""
        orders = [
            *[order('x')] * 9,
            order('x', 503),
            *[order('y')] * 2,
            *[order('y', 503)] * 2,
            *[order('greedy', 503)] * 9,
        ]
        rates = {'x': 1.0, 'y': 1.0, 'greedy': 1.0}
        found = _bench_figures.worst_served(
            orders, rates, {'a': 100.0}, 10.0, 'greedy'
        )
        self.assertEqual(0.5, found)

    def test_due_is_bounded_by_the_fair_share(self) -> None:
        """Guards against blaming refusals that the capacity forces."""
        orders = [*[order('x')] * 5, *[order('x', 503)] * 5]
        found = _bench_figures.worst_served(
            orders, {'x': 1.0}, {'a': 0.5}, 10.0, None
        )
        self.assertEqual(1.0, found)


class TestSlotUse(unittest.TestCase):
    """Idle slots and the largest use of a region."""

    def test_mean_and_top(self) -> None:
        """Guards against counting other services or other times."""
        events = [
            server_event(5.0, 1),
            server_event(6.0, 0),
            server_event(12.0, 2),
            server_event(13.0, 2, waiting=1),
            server_event(14.0, 2, server='b-1'),
            server_event(15.0, 0),
            server_event(15.0, 1, server='a-2'),
            server_event(30.0, 2, waiting=9),
        ]
        idle, top = _bench_figures.slot_use(events, FACTS, 'a', WINDOW)
        # 2 slots for 3 s and 1 for 5 s of 4 slots for 10 s were busy.
        self.assertAlmostEqual(1 - 11 / 40, idle)
        self.assertEqual(1.5, top)

    def test_no_traffic(self) -> None:
        """Guards against a division by zero without events."""
        found = _bench_figures.slot_use([], FACTS, 'a', WINDOW)
        self.assertEqual((1.0, 0.0), found)


class TestDrainTime(unittest.TestCase):
    """How long a planned stop or drain took."""

    def test_times(self) -> None:
        """Guards against a drain that counts as done too early."""
        events: list[checking.AnyEvent] = [
            {'event': 'placed', 't': 1.0, 'region': 'north'},
            {'event': 'stop_began', 't': 2.0},
            {'event': 'ticket_committed', 't': 3.0},
            {'event': 'placed', 't': 6.0, 'region': 'north'},
            {'event': 'placed', 't': 7.0, 'region': 'south'},
            {'event': 'stop_ended', 't': 9.0},
        ]
        for drained, expected in (('vm', 7.0), ('region', 3.0), ('', None)):
            with self.subTest(drained):
                found = _bench_figures.drain_time(events, drained, 'north')
                self.assertEqual(expected, found)


class TestSpread(unittest.TestCase):
    """Medians, ranges and ratios of runs."""

    def test_spread_leaves_out_what_is_missing(self) -> None:
        """Guards against a missing figure that counts as 0."""
        self.assertEqual(
            (2.0, 1.0, 5.0), _bench_figures.spread([5.0, None, 1.0, 2.0])
        )
        self.assertIsNone(_bench_figures.spread([None]))

    def test_ratios_are_of_pairs(self) -> None:
        """Guards against a ratio of medians of different seeds."""
        found = _bench_figures.ratios([1.0, 4.0, 9.0], [2.0, 2.0, 0.0])
        self.assertEqual((1.25, 0.5, 2.0), found)

    def test_a_run_that_the_machine_limits_is_marked(self) -> None:
        """Guards against figures of a caller that could not keep up."""
        for planned, node, generator, expected in (
            (1000, 0.5, 0.5, False),
            (1000, 0.9, 0.5, True),
            (1000, 0.5, 0.9, True),
            (1500, 0.5, 0.5, True),
            (1050, 0.5, 0.5, False),
        ):
            machine = _bench_figures.Machine(
                planned, 1.0, node, generator, 1.0
            )
            with self.subTest(machine):
                self.assertEqual(
                    expected, _bench_figures.limited(1000, machine)
                )

    def test_cells(self) -> None:
        """Guards against a cell that hides the range."""
        spread = _bench_figures.Spread(0.5, 0.25, 1.0)
        self.assertEqual('50 (25-100)', _bench_report.cell(spread, 100, 0))
        self.assertEqual('-', _bench_report.cell(None, 100, 0))


class TestPlan(unittest.TestCase):
    """Scaled plans and offered load."""

    def test_capacity_follows_from_run_times(self) -> None:
        """Guards against loads that are shares of another capacity."""
        for name in NAMES:
            plan = _bench_plan.scaled(deployment.load_plan(name), 200.0)
            found = sum(
                1000 * row['upstreams'] * row['slots'] / row['mean_ms']
                for row in plan['services'].values()
            )
            with self.subTest(name):
                self.assertAlmostEqual(200.0, found)

    def test_offered_load(self) -> None:
        """Guards against an overload that is none."""
        for name in NAMES:
            plan = _bench_plan.scaled(deployment.load_plan(name), 200.0)
            accounts = plan['client_accounts']
            for load, greedy in (
                (0.6, None),
                (1.5, _bench_plan.greedy_account(plan)),
            ):
                share, factors = _bench_plan.account_shares(plan, load, greedy)
                offered = sum(
                    row['rate'] * factors.get(account, share)
                    for account, row in accounts.items()
                )
                with self.subTest(name=name, load=load):
                    self.assertAlmostEqual(load * 200.0, offered)

    def test_unknown_scenario_is_refused(self) -> None:
        """Guards against a misspelt name that measures nothing."""
        with self.assertRaises(ValueError):
            _bench_plan.chosen('steady-60,steady-61')


class TestCpu(unittest.TestCase):
    """Processor times."""

    def test_name_with_spaces_and_brackets(self) -> None:
        """Guards against fields counted from the wrong place."""
        head = '7 (a b) c) S 1 1 1 0 -1 0 0 0 0 0 '
        ticks = _bench_cpu.TICKS_PER_S
        stat = f'{head}{2 * ticks} {ticks} 0 0 20 0'
        self.assertEqual(3.0, _bench_cpu.parse_cpu_s(stat))

    def test_idle_time_is_not_a_request_s(self) -> None:
        """Guards against charging requests with the ticks of the systems."""
        used = _bench_cpu.Used(100, 1.0, 2.0)
        self.assertAlmostEqual(10.0, _bench_cpu.per_request_ms(used))
        self.assertAlmostEqual(8.0, _bench_cpu.per_request_ms(used, 0.1))
