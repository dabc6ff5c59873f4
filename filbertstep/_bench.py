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

EXAMPLES: typing.Final = ('huon-burr', 'vleiland')

# Load and length in seconds of the deferrable work queued before a rush.
BACKLOG_LOAD: typing.Final = 1.5
BACKLOG_S: typing.Final = 2.0

# Rounds of the cost measurement in each run.
COST_ROUNDS: typing.Final = 1


class Measured(typing.NamedTuple):
    """One scenario that ran, before its history is read."""

    scenario: _bench_plan.Scenario
    window: _bench_figures.Window
    machine: _bench_figures.Machine


def now() -> float:
    """Return the time as the history has it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Bench:
    """Runs of one deployment."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.plan = _bench_plan.scaled(deployment.load_plan(name))
        self.rows: dict[tuple[str, str], _bench_report.Row] = {}
        self.costs: list[_bench_cpu.Cost] = []

    async def run(
        self,
        scenarios: list[_bench_plan.Scenario],
        policies: list[str],
        seeds: list[int],
        costs: bool,
    ) -> _bench_report.Report:
        """Run everything; policies take turns within each seed."""
        shared = [one for one in scenarios if not one.final]
        groups = [shared] if shared else []
        groups.extend([one] for one in scenarios if one.final)
        for number, seed in enumerate(seeds):
            start = number % len(policies)
            for group in groups:
                for policy in policies[start:] + policies[:start]:
                    await self.run_group(group, policy, seed)
            if costs:
                await self.run_costs(seed)
        return {
            'deployment': self.name,
            'seeds': seeds,
            'rows': [
                self.rows[one.name, policy]
                for one in scenarios
                for policy in policies
            ],
            'costs': self.costs,
        }

    async def run_costs(self, seed: int) -> None:
        """Measure processor time per request."""
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            self.costs.extend(
                await _bench_cpu.measure(
                    deployment.load_plan(self.name),
                    _bench_plan.interactive(self.plan),
                    seed,
                    directory,
                    COST_ROUNDS,
                )
            )

    async def run_group(
        self, group: list[_bench_plan.Scenario], policy: str, seed: int
    ) -> None:
        """Run scenarios on one deployment and read its history."""
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            options = deployment.Options(directory, seed, choice_policy=policy)
            async with deployment.Deployment(self.plan, options) as deployed:
                await deployed.start()
                await asyncio.sleep(self.warmup_s())
                done = [
                    await measure(deployed, scenario, seed)
                    for scenario in group
                ]
                facts = deployed.read_facts()
                region = _bench_plan.last_region(deployed)
                # All figures are taken; draining would only cost time.
                for vm in deployed.vms:
                    deployed.processes.kill(vm)
            events = checking.read_history(pathlib.Path(directory) / 'history')
        for one in done:
            found = self.figures(one, events, facts, region)
            row = self.rows.setdefault(
                (one.scenario.name, policy),
                {
                    'scenario': one.scenario.name,
                    'policy': policy,
                    'runs': [],
                },
            )
            row['runs'].append(found)
            print(
                f'{self.name} {one.scenario.name} {policy} seed {seed}: '
                f'{json.dumps(found)}',
                file=sys.stderr,
                flush=True,
            )

    def warmup_s(self) -> float:
        """Return how long servers are cold after their start."""
        return max(one['warmup_s'] for one in self.plan['services'].values())

    def figures(
        self,
        one: Measured,
        events: list[checking.AnyEvent],
        facts: checking.Facts,
        region: str,
    ) -> _bench_figures.Figures:
        """Return the figures of one scenario."""
        window = one.window
        own = [
            event
            for event in events
            if window.start <= event['t'] <= window.closed
        ]
        return _bench_figures.figures(
            own,
            facts,
            window,
            one.machine,
            _bench_plan.interactive(self.plan),
            _bench_plan.service_capacities(self.plan),
            greedy(self.plan, one.scenario),
            _bench_figures.drain_time(own, one.scenario.drained, region),
        )


def greedy(
    plan: deployment.Plan, scenario: _bench_plan.Scenario
) -> str | None:
    """Return the account that sends too much in a scenario, if any."""
    return _bench_plan.greedy_account(plan) if scenario.greedy else None


def node_times(deployed: deployment.Deployment) -> dict[str, float | None]:
    """Return the processor time of each node so far."""
    return {
        vm: _bench_cpu.cpu_s(deployed.processes.pid(vm)) for vm in deployed.vms
    }


async def measure(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> Measured:
    """Run one scenario and note what the processes used meanwhile."""
    if scenario.before is not None:
        await scenario.before(deployed)
    if scenario.backlog:
        backlog = asyncio.create_task(send_backlog(deployed, seed))
        await asyncio.sleep(BACKLOG_S)
    nodes, own, start = node_times(deployed), time.process_time(), now()
    disturbing = asyncio.create_task(disturb(deployed, scenario))
    await send(deployed, scenario, seed)
    closed = now()
    taken = closed - start
    generator = (time.process_time() - own) / taken
    used = {
        vm: after - before
        for vm, after in node_times(deployed).items()
        if after is not None and (before := nodes[vm]) is not None
    }
    await disturbing
    if scenario.backlog:
        await backlog
    if scenario.after is not None:
        await scenario.after(deployed)
    mean_load = sum(scenario.loads) / len(scenario.loads)
    whole = len(used) == len(nodes)
    return Measured(
        scenario,
        _bench_figures.Window(start, start + scenario.seconds, closed),
        _bench_figures.Machine(
            mean_load * _bench_plan.CAPACITY * scenario.seconds,
            sum(used.values()) if whole else None,
            max(used.values(), default=0.0) / taken,
            generator,
            os.getloadavg()[0],
        ),
    )


async def disturb(
    deployed: deployment.Deployment, scenario: _bench_plan.Scenario
) -> None:
    """Do what a scenario does while its traffic runs."""
    if scenario.during is not None:
        await scenario.during(deployed)


async def send(
    deployed: deployment.Deployment,
    scenario: _bench_plan.Scenario,
    seed: int,
) -> None:
    """Send a scenario's traffic and wait for the last answer."""
    plan = deployed.plan
    step_s = scenario.seconds / len(scenario.loads)
    callers = traffic.TrafficGenerator(deployed, seed)
    with contextlib.closing(callers):

        async def step(place: int, load: float) -> None:
            await asyncio.sleep(place * step_s)
            share, factors = _bench_plan.account_shares(
                plan, load, greedy(plan, scenario)
            )
            await callers.run(step_s, share, factors)

        await asyncio.gather(
            *(step(place, load) for place, load in enumerate(scenario.loads))
        )


async def send_backlog(deployed: deployment.Deployment, seed: int) -> None:
    """Send more deferrable work than its servers can run at once."""
    plan = deployed.plan
    name = _bench_plan.deferrable(plan)
    mix = [
        kind for kind in traffic.request_kinds(plan) if kind.service == name
    ]
    capacities = _bench_plan.service_capacities(plan)
    load = BACKLOG_LOAD * capacities[name] / _bench_plan.CAPACITY
    share, factors = _bench_plan.account_shares(plan, load, None)
    callers = traffic.TrafficGenerator(deployed, seed + 1_000, mix)
    with contextlib.closing(callers):
        await callers.run(BACKLOG_S, share, factors)


def names(text: str | tuple[str, ...]) -> list[str]:
    """Return names given with commas; fire makes a tuple of some."""
    if isinstance(text, str):
        text = tuple(text.split(','))
    return [name.strip() for name in text if name.strip()]


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
    chosen = _bench_plan.chosen(names(scenarios))
    wanted = names(policies) or list(routing.CHOICE_POLICIES)
    seeds = list(range(seed, seed + runs))
    for name in names(deployment) or EXAMPLES:
        bench = Bench(name)
        report = uvloop.run(bench.run(chosen, wanted, seeds, costs))
        if output == 'json':
            print(json.dumps(report), flush=True)
        else:
            print(_bench_report.text(report), flush=True)
        if plots and chosen:
            for path in _bench_report.plot(report, plots):
                print(path, file=sys.stderr)


def main() -> None:
    """Run the bench, or its bare forwarder."""
    if sys.argv[1:2] == ['forwarder']:
        fire.Fire(_bench_cpu.forwarder_command, command=sys.argv[2:])
    else:
        fire.Fire(command, name='filbertstep-bench')
