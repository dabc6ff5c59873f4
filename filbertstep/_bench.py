"""Benchmark of this system against baseline policies on example deployments.

For each seed, the same traffic runs through the real processes once with the
slot-aware policy and once with each baseline policy.  Scenarios that restore
the deployment share one; each of the others gets a deployment of its own.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import tempfile
import time
import typing

import fire
import uvloop

from filbertstep import _bench_cpu
from filbertstep import _bench_figures
from filbertstep import _bench_plan
from filbertstep import _bench_report
from filbertstep import checking
from filbertstep import deployment
from filbertstep import routing
from filbertstep import traffic

EXAMPLE_DEPLOYMENTS: typing.Final = ('huon-burr', 'vleiland')

# Load of the deferrable work that is queued before the traffic, as a multiple
# of the capacity of the deferrable service.
BACKLOG_LOAD_FACTOR: typing.Final = 1.5
BACKLOG_DURATION_S: typing.Final = 2.0

COST_ROUNDS_PER_SEED: typing.Final = 1


class ScenarioRun(typing.NamedTuple):
    """Time window and machine usage of a scenario that has run."""

    scenario: _bench_plan.Scenario
    window: _bench_figures.Window
    machine: _bench_figures.MachineUsage


def boottime_s() -> float:
    """Return the time on the clock that histories use."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DeploymentBenchmark:
    """Runs the scenarios on one example deployment and collects figures."""

    def __init__(self, deployment_name: str) -> None:
        self.deployment_name = deployment_name
        self.plan = _bench_plan.scale_plan(
            deployment.load_plan(deployment_name)
        )
        self.rows: dict[tuple[str, str], _bench_report.ScenarioRow] = {}
        self.costs: list[_bench_cpu.CostRound] = []

    async def run(
        self,
        scenarios: list[_bench_plan.Scenario],
        policies: list[str],
        seeds: list[int],
        with_costs: bool,
    ) -> _bench_report.Report:
        """Run all scenarios with all policies and seeds.

        The order of the policies rotates, so that none always runs first.
        """
        shared = [
            scenario
            for scenario in scenarios
            if not scenario.needs_own_deployment
        ]
        groups = [shared] if shared else []
        groups.extend(
            [scenario]
            for scenario in scenarios
            if scenario.needs_own_deployment
        )
        for index, seed in enumerate(seeds):
            rotation = index % len(policies)
            for group in groups:
                for policy in policies[rotation:] + policies[:rotation]:
                    await self.run_scenarios(group, policy, seed)
            if with_costs:
                await self.measure_costs(seed)
        return {
            'deployment': self.deployment_name,
            'seeds': seeds,
            'rows': [
                self.rows[scenario.name, policy]
                for scenario in scenarios
                for policy in policies
            ],
            'costs': self.costs,
        }

    async def measure_costs(self, seed: int) -> None:
        """Measure the processor time per request on the unscaled plan."""
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            self.costs.extend(
                await _bench_cpu.measure_costs(
                    deployment.load_plan(self.deployment_name),
                    _bench_plan.interactive_service(self.plan),
                    seed,
                    directory,
                    COST_ROUNDS_PER_SEED,
                )
            )

    async def run_scenarios(
        self, scenarios: list[_bench_plan.Scenario], policy: str, seed: int
    ) -> None:
        """Run scenarios on one deployment and add the figures to the rows."""
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            options = deployment.Options(directory, seed, choice_policy=policy)
            async with deployment.Deployment(self.plan, options) as deployed:
                await deployed.start()
                await asyncio.sleep(self.max_warmup_s())
                runs = [
                    await run_scenario(deployed, scenario, seed)
                    for scenario in scenarios
                ]
                facts = deployed.read_facts()
                disrupted_region = _bench_plan.disrupted_region(deployed)
                # Nothing is measured any more, so skip the graceful stop.
                for vm in deployed.vms:
                    deployed.processes.kill(vm)
            events = checking.read_history(pathlib.Path(directory) / 'history')
        for run in runs:
            figures = self.run_figures(run, events, facts, disrupted_region)
            row = self.rows.setdefault(
                (run.scenario.name, policy),
                {
                    'scenario': run.scenario.name,
                    'policy': policy,
                    'runs': [],
                },
            )
            row['runs'].append(figures)
            print(
                f'{self.deployment_name} {run.scenario.name} {policy} '
                f'seed {seed}: {json.dumps(figures)}',
                file=sys.stderr,
                flush=True,
            )

    def max_warmup_s(self) -> float:
        """Return the longest time that a server is cold after its start."""
        return max(
            service['warmup_s'] for service in self.plan['services'].values()
        )

    def run_figures(
        self,
        run: ScenarioRun,
        events: list[checking.AnyEvent],
        facts: checking.Facts,
        disrupted_region: str,
    ) -> _bench_figures.Figures:
        """Return the figures of one run of a scenario."""
        window = run.window
        window_events = [
            event
            for event in events
            if window.start <= event['t'] <= window.completed
        ]
        return _bench_figures.compute_figures(
            window_events,
            facts,
            window,
            run.machine,
            _bench_plan.interactive_service(self.plan),
            _bench_plan.service_capacities(self.plan),
            scenario_greedy_account(self.plan, run.scenario),
            _bench_figures.drain_duration_s(
                window_events, run.scenario.drain_target, disrupted_region
            ),
        )


def scenario_greedy_account(
    plan: deployment.Plan, scenario: _bench_plan.Scenario
) -> str | None:
    """Return the account that exceeds its rate in a scenario, if any."""
    return (
        _bench_plan.select_greedy_account(plan)
        if scenario.has_greedy_account
        else None
    )


def node_cpu_s(deployed: deployment.Deployment) -> dict[str, float | None]:
    """Return the processor time in seconds that each node has used.

    The value is None for a node whose process has ended.
    """
    return {
        vm: _bench_cpu.process_cpu_s(deployed.processes.pid(vm))
        for vm in deployed.vms
    }


async def run_scenario(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> ScenarioRun:
    """Run one scenario and measure the processor time used meanwhile."""
    if scenario.setup is not None:
        await scenario.setup(deployed)
    if scenario.queues_backlog:
        backlog_task = asyncio.create_task(send_backlog(deployed, seed))
        await asyncio.sleep(BACKLOG_DURATION_S)
    node_cpu_before, own_cpu_before, start = (
        node_cpu_s(deployed),
        time.process_time(),
        boottime_s(),
    )
    disruption = asyncio.create_task(run_disruption(deployed, scenario))
    await send_traffic(deployed, scenario, seed)
    completed = boottime_s()
    elapsed_s = completed - start
    generator_cpu_share = (time.process_time() - own_cpu_before) / elapsed_s
    node_cpu_used = {
        vm: cpu_after - cpu_before
        for vm, cpu_after in node_cpu_s(deployed).items()
        if cpu_after is not None
        and (cpu_before := node_cpu_before[vm]) is not None
    }
    await disruption
    if scenario.queues_backlog:
        await backlog_task
    if scenario.teardown is not None:
        await scenario.teardown(deployed)
    mean_load = sum(scenario.offered_loads) / len(scenario.offered_loads)
    all_nodes_alive = len(node_cpu_used) == len(node_cpu_before)
    return ScenarioRun(
        scenario,
        _bench_figures.Window(start, start + scenario.duration_s, completed),
        _bench_figures.MachineUsage(
            mean_load * _bench_plan.CAPACITY_PER_S * scenario.duration_s,
            sum(node_cpu_used.values()) if all_nodes_alive else None,
            max(node_cpu_used.values(), default=0.0) / elapsed_s,
            generator_cpu_share,
            os.getloadavg()[0],
        ),
    )


async def run_disruption(
    deployed: deployment.Deployment, scenario: _bench_plan.Scenario
) -> None:
    """Run the disruption of a scenario, if it has one."""
    if scenario.disruption is not None:
        await scenario.disruption(deployed)


async def send_traffic(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> None:
    """Send the traffic of a scenario and wait for the last response."""
    plan = deployed.plan
    step_duration_s = scenario.duration_s / len(scenario.offered_loads)
    generator = traffic.TrafficGenerator(deployed, seed)
    with contextlib.closing(generator):

        async def send_step(index: int, load: float) -> None:
            await asyncio.sleep(index * step_duration_s)
            default_factor, account_factors = _bench_plan.offered_rate_factors(
                plan, load, scenario_greedy_account(plan, scenario)
            )
            await generator.run(
                step_duration_s, default_factor, account_factors
            )

        await asyncio.gather(
            *(
                send_step(index, load)
                for index, load in enumerate(scenario.offered_loads)
            )
        )


async def send_backlog(deployed: deployment.Deployment, seed: int) -> None:
    """Queue deferrable work by sending more than its servers can run."""
    plan = deployed.plan
    service = _bench_plan.deferrable_service(plan)
    backlog_kinds = [
        kind for kind in traffic.request_kinds(plan) if kind.service == service
    ]
    capacities = _bench_plan.service_capacities(plan)
    load = (
        BACKLOG_LOAD_FACTOR * capacities[service] / _bench_plan.CAPACITY_PER_S
    )
    default_factor, account_factors = _bench_plan.offered_rate_factors(
        plan, load, None
    )
    generator = traffic.TrafficGenerator(deployed, seed + 1_000, backlog_kinds)
    with contextlib.closing(generator):
        await generator.run(
            BACKLOG_DURATION_S, default_factor, account_factors
        )


def parse_names(value: str | tuple[str, ...]) -> list[str]:
    """Return the names in a comma-separated option.

    fire turns some of these options into tuples.
    """
    if isinstance(value, str):
        value = tuple(value.split(','))
    return [name.strip() for name in value if name.strip()]


def command(
    deployment: str = '',
    scenarios: str = '',
    runs: int = 3,
    seed: int = 1,
    output: str = 'text',
    plots: str = '',
    policies: str = '',
    costs: bool = True,
) -> None:
    """Measure this system and the baselines; progress goes to stderr.

    Args:
        deployment: comma-separated names of example deployments; default: all.
        scenarios: comma-separated names, all, or none; default: a selection.
        runs: number of runs of each scenario and policy, one seed for each.
        seed: seed of the first run; each further run adds 1.
        output: text, or json with the figures of all runs.
        plots: directory to write plots to; without it, no plots are made.
        policies: comma-separated names; default: all.
        costs: also compare the processor time with a minimal HTTP forwarder.
    """
    selected = _bench_plan.select_scenarios(parse_names(scenarios))
    policy_names = parse_names(policies) or list(routing.CHOICE_POLICIES)
    seeds = list(range(seed, seed + runs))
    for name in parse_names(deployment) or EXAMPLE_DEPLOYMENTS:
        benchmark = DeploymentBenchmark(name)
        report = uvloop.run(
            benchmark.run(selected, policy_names, seeds, costs)
        )
        if output == 'json':
            print(json.dumps(report), flush=True)
        else:
            print(_bench_report.format_report(report), flush=True)
        if plots and selected:
            for path in _bench_report.write_plots(report, plots):
                print(path, file=sys.stderr)


def main() -> None:
    """Run the benchmark, or the forwarder process that it starts."""
    if sys.argv[1:2] == ['forwarder']:
        fire.Fire(_bench_cpu.forwarder_command, command=sys.argv[2:])
    else:
        fire.Fire(command, name='filbertstep-bench')
