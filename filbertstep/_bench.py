"""The bench: this system and baselines at the sizes of each deployment.

The same traffic runs through the real processes once with slots and once with
each baseline policy, in turn, with the same seeds.  One deployment serves the
scenarios that leave it as they found it; the others get one of their own.
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

# Load and length in seconds of the deferrable work queued before a rush.
BACKLOG_LOAD_FACTOR: typing.Final = 1.5
BACKLOG_DURATION_S: typing.Final = 2.0

# Rounds of the cost measurement in each run.
COST_ROUNDS_PER_SEED: typing.Final = 1


class ScenarioRun(typing.NamedTuple):
    """One scenario that ran, before its history is read."""

    scenario: _bench_plan.Scenario
    window: _bench_figures.Window
    machine: _bench_figures.MachineUsage


def boottime_s() -> float:
    """Return the time as the history has it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DeploymentBenchmark:
    """Runs of one deployment."""

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
        """Run everything; policies take turns within each seed."""
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
        """Measure processor time per request."""
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
        """Run scenarios on one deployment and read its history."""
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
                # All figures are taken; draining would only cost time.
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
        """Return how long servers are cold after their start."""
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
        """Return the figures of one scenario."""
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
    """Return the account that sends too much in a scenario, if any."""
    return (
        _bench_plan.select_greedy_account(plan)
        if scenario.has_greedy_account
        else None
    )


def node_cpu_s(deployed: deployment.Deployment) -> dict[str, float | None]:
    """Return the processor time of each node so far."""
    return {
        vm: _bench_cpu.process_cpu_s(deployed.processes.pid(vm))
        for vm in deployed.vms
    }


async def run_scenario(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> ScenarioRun:
    """Run one scenario and note what the processes used meanwhile."""
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
    """Do what a scenario does while its traffic runs."""
    if scenario.disruption is not None:
        await scenario.disruption(deployed)


async def send_traffic(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> None:
    """Send a scenario's traffic and wait for the last answer."""
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
    """Send more deferrable work than its servers can run at once."""
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
    """Return names given with commas; fire makes a tuple of some."""
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
        deployment: name of the one example to run, both without it.
        scenarios: names with commas between, all or none; some without it.
        runs: runs of each scenario and policy, with a seed each.
        seed: seed of the first run.
        output: text, or json with the figures of all runs.
        plots: directory for plots; none without it.
        policies: names with commas between, all without it.
        costs: also compare processor time with a bare forwarder.
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
    """Run the bench, or its bare forwarder."""
    if sys.argv[1:2] == ['forwarder']:
        fire.Fire(_bench_cpu.forwarder_command, command=sys.argv[2:])
    else:
        fire.Fire(command, name='filbertstep-bench')
