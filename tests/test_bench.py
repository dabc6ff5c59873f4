"""Tests of the benchmark: figures, scaled plans and processor times."""

import typing
import unittest

from filbertstep import _bench_cpu
from filbertstep import _bench_figures
from filbertstep import _bench_plan
from filbertstep import _bench_report
from filbertstep import checking
from filbertstep import deployment

EXAMPLE_DEPLOYMENTS = ('huon-burr', 'vleiland')

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
    time_s: float, running: int, waiting: int = 0, server: str = 'a-1'
) -> checking.AnyEvent:
    """Return a backend server event with its running and queued requests."""
    service = server.partition('-')[0]
    region = FACTS.servers[server].region
    return {
        'event': 'begin',
        't': time_s,
        'server': server,
        'service': service,
        'region': region,
        'running': running,
        'waiting': waiting,
    }


def logical_request(
    account: str, status: int = 200, inside_rate: bool = True
) -> checking.LogicalRequest:
    """Return a request to service ``a`` with a single attempt."""
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


class FairShareCase(typing.NamedTuple):
    """Demands, weights and a capacity, with the expected shares."""

    name: str
    demands: dict[str, float]
    weights: dict[str, float]
    capacity: float
    shares: dict[str, float]


FAIR_SHARE_CASES = [
    FairShareCase('enough for all', {'x': 3, 'y': 4}, {'x': 1, 'y': 1}, 10, {
        'x': 3, 'y': 4,
    }),
    FairShareCase('by weight', {'x': 90, 'y': 90}, {'x': 1, 'y': 2}, 30, {
        'x': 10, 'y': 20,
    }),
    FairShareCase(
        'unused capacity goes to the others',
        {'x': 2, 'y': 90, 'z': 90},
        {'x': 1, 'y': 1, 'z': 3},
        30,
        {'x': 2, 'y': 7, 'z': 21},
    ),
    FairShareCase('no accounts', {}, {}, 30, {}),
]  # fmt: skip


class TestFairShares(unittest.TestCase):
    """Fair shares of the capacity and the worst-served account."""

    def test_shares(self) -> None:
        """Guards against shares above the demand or above the capacity."""
        for case in FAIR_SHARE_CASES:
            with self.subTest(case.name):
                shares = _bench_figures.max_min_fair_shares(
                    case.demands, case.weights, case.capacity
                )
                self.assertEqual(case.shares, shares)

    def test_worst_served(self) -> None:
        """Guards against averages that hide the worst-served account."""
        requests = [
            *[logical_request('x')] * 9,
            logical_request('x', 503),
            *[logical_request('y')] * 2,
            *[logical_request('y', 503)] * 2,
            *[logical_request('greedy', 503)] * 9,
        ]
        rates = {'x': 1.0, 'y': 1.0, 'greedy': 1.0}
        worst_share = _bench_figures.worst_served_share(
            requests, rates, {'a': 100.0}, 10.0, 'greedy'
        )
        self.assertEqual(0.5, worst_share)

    def test_entitlement_is_limited_to_fair_share(self) -> None:
        """Guards against counting refusals due to lack of capacity."""
        requests = [
            *[logical_request('x')] * 5,
            *[logical_request('x', 503)] * 5,
        ]
        worst_share = _bench_figures.worst_served_share(
            requests, {'x': 1.0}, {'a': 0.5}, 10.0, None
        )
        self.assertEqual(1.0, worst_share)


class TestSlotUsage(unittest.TestCase):
    """Idle slots and the peak use of a region."""

    def test_mean_idle_share_and_peak_use(self) -> None:
        """Guards against events of other services or outside the window."""
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
        idle, top_use = _bench_figures.slot_usage(events, FACTS, 'a', WINDOW)
        # Busy: 2 slots for 3 s and 1 slot for 5 s, of 4 slots for 10 s.
        self.assertAlmostEqual(1 - 11 / 40, idle)
        self.assertEqual(1.5, top_use)

    def test_no_traffic(self) -> None:
        """Guards against a division by zero without events."""
        usage = _bench_figures.slot_usage([], FACTS, 'a', WINDOW)
        self.assertEqual((1.0, 0.0), usage)


class TestDrainDuration(unittest.TestCase):
    """Duration of the drain of a VM or region."""

    def test_drain_durations(self) -> None:
        """Guards against a drain counted as complete too early."""
        events: list[checking.AnyEvent] = [
            {'event': 'placed', 't': 1.0, 'region': 'north'},
            {'event': 'stop_began', 't': 2.0},
            {'event': 'ticket_committed', 't': 3.0},
            {'event': 'placed', 't': 6.0, 'region': 'north'},
            {'event': 'placed', 't': 7.0, 'region': 'south'},
            {'event': 'stop_ended', 't': 9.0},
        ]
        for drain_target, expected in (
            ('vm', 7.0),
            ('region', 3.0),
            ('', None),
        ):
            with self.subTest(drain_target):
                duration_s = _bench_figures.drain_duration_s(
                    events, drain_target, 'north'
                )
                self.assertEqual(expected, duration_s)


class TestSpread(unittest.TestCase):
    """Medians, ranges and ratios over several runs."""

    def test_spread_ignores_missing_values(self) -> None:
        """Guards against missing values counted as 0."""
        self.assertEqual(
            (2.0, 1.0, 5.0), _bench_figures.spread([5.0, None, 1.0, 2.0])
        )
        self.assertIsNone(_bench_figures.spread([None]))

    def test_ratios_pair_runs_of_the_same_seed(self) -> None:
        """Guards against dividing medians that come from different seeds."""
        ratios = _bench_figures.paired_ratios([1.0, 4.0, 9.0], [2.0, 2.0, 0.0])
        self.assertEqual((1.25, 0.5, 2.0), ratios)

    def test_machine_limited_runs_are_detected(self) -> None:
        """Guards against trusting a run whose generator could not keep up."""
        for planned, node_share, generator_share, expected in (
            (1000, 0.5, 0.5, False),
            (1000, 0.9, 0.5, True),
            (1000, 0.5, 0.9, True),
            (1500, 0.5, 0.5, True),
            (1050, 0.5, 0.5, False),
        ):
            machine = _bench_figures.MachineUsage(
                planned, 1.0, node_share, generator_share, 1.0
            )
            with self.subTest(machine):
                self.assertEqual(
                    expected, _bench_figures.limited_by_machine(1000, machine)
                )

    def test_format_spread(self) -> None:
        """Guards against a table that leaves out the range."""
        spread = _bench_figures.Spread(0.5, 0.25, 1.0)
        self.assertEqual(
            '50 (25-100)', _bench_report.format_spread(spread, 100, 0)
        )
        self.assertEqual('-', _bench_report.format_spread(None, 100, 0))


class TestPlan(unittest.TestCase):
    """Scaled plans, offered load and scenario selection."""

    def test_service_times_give_the_capacity(self) -> None:
        """Guards against service times that give another capacity."""
        for name in EXAMPLE_DEPLOYMENTS:
            plan = _bench_plan.scale_plan(deployment.load_plan(name), 200.0)
            capacity_per_s = sum(
                1000 * row['upstreams'] * row['slots'] / row['mean_ms']
                for row in plan['services'].values()
            )
            with self.subTest(name):
                self.assertAlmostEqual(200.0, capacity_per_s)

    def test_offered_load(self) -> None:
        """Guards against offering another load than the scenario asks for."""
        for name in EXAMPLE_DEPLOYMENTS:
            plan = _bench_plan.scale_plan(deployment.load_plan(name), 200.0)
            accounts = plan['client_accounts']
            for load, greedy_account in (
                (0.6, None),
                (1.5, _bench_plan.select_greedy_account(plan)),
            ):
                default_factor, account_factors = (
                    _bench_plan.offered_rate_factors(
                        plan, load, greedy_account
                    )
                )
                offered = sum(
                    row['rate'] * account_factors.get(account, default_factor)
                    for account, row in accounts.items()
                )
                with self.subTest(name=name, load=load):
                    self.assertAlmostEqual(load * 200.0, offered)

    def test_unknown_scenario_is_rejected(self) -> None:
        """Guards against a misspelled name that is silently ignored."""
        with self.assertRaises(ValueError):
            _bench_plan.select_scenarios('steady-60,steady-61')


class TestCpu(unittest.TestCase):
    """Processor times of processes and requests."""

    def test_process_name_with_spaces_and_parentheses(self) -> None:
        """Guards against reading the wrong fields of ``/proc/PID/stat``."""
        head = '7 (a b) c) S 1 1 1 0 -1 0 0 0 0 0 '
        ticks = _bench_cpu.CLOCK_TICKS_PER_S
        stat = f'{head}{2 * ticks} {ticks} 0 0 20 0'
        self.assertEqual(3.0, _bench_cpu.parse_stat_cpu_s(stat))

    def test_idle_cpu_is_subtracted(self) -> None:
        """Guards against counting the CPU time of an idle VM for requests."""
        usage = _bench_cpu.PhaseUsage(100, 1.0, 2.0)
        self.assertAlmostEqual(10.0, _bench_cpu.cpu_ms_per_request(usage))
        self.assertAlmostEqual(8.0, _bench_cpu.cpu_ms_per_request(usage, 0.1))
