"""The demo: both example deployments with traffic, changes and failures.

Each deployment runs as separate processes at today's sizes.  While callers
send traffic, a key is withdrawn, a backend server is drained, one VM stops as
planned and another is killed.  Then the history is checked.
"""

import asyncio
import contextlib
import json
import pathlib
import tempfile
import typing

import uvloop

from filbertstep import _command_line
from filbertstep import checking
from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic

NAME: typing.Final = 'filbertstep-demo'

EXAMPLES: typing.Final = ('huon-burr', 'vleiland')

# Share of its rate that each account offers, and of the one that sends more.
LOAD: typing.Final = 0.25
GREEDY_FACTOR: typing.Final = 4.0

# Requests a second in each region with the key that is withdrawn.
SPARE_RATE: typing.Final = 2.0

# Times in seconds after the start of the traffic.
WITHDRAW_AT_S: typing.Final = 3.0
STOP_AT_S: typing.Final = 5.0
KILL_AT_S: typing.Final = 12.0
TRAFFIC_S: typing.Final = 18.0

# Promises that a killed VM or backend server may touch are still checked; a
# checker knows which answers a kill excuses.
EXIT_BROKEN: typing.Final = 1


class DemoResult(typing.TypedDict):
    """Outcome of one deployment."""

    deployment: str
    summary: checking.Summary
    violations: list[str]


def spare_key(
    plan: deployment.Plan, greedy: str, seed: int
) -> deployment.IssuedKey:
    """Return one more key, for the largest account that sends no more."""
    accounts = plan['client_accounts']
    account = max(
        (name for name in accounts if name != greedy),
        key=lambda name: accounts[name]['rate'],
    )
    return deployment.generate_key(account, f'{account}-spare', seed)


async def change_keys_and_drain(
    deployed: deployment.Deployment, spare: deployment.IssuedKey
) -> None:
    """Withdraw a key in use, and drain a backend server."""
    vms = sorted(deployed.vms)
    await asyncio.sleep(WITHDRAW_AT_S)
    await deployed.submit_changes(
        [deployment.make_change(config.EntityKind.KEY, spare.name, None)],
        vms[2],
    )
    server = sorted(deployed.servers)[0]
    drain = {'target_kind': 'backend_server', 'target': server}
    await deployed.submit_changes(
        [
            deployment.make_change(
                config.EntityKind.DRAIN, f'd-{server}', drain
            )
        ],
        vms[3],
    )


async def issue(
    deployed: deployment.Deployment, key: deployment.IssuedKey
) -> None:
    """Put one more key in force before the traffic starts."""
    state = {
        'client_account': key.client_account,
        'digest': key.digest(),
    }
    await deployed.submit_changes(
        [deployment.make_change(config.EntityKind.KEY, key.name, state)]
    )
    await deployed.wait_until_ready()


async def stop_and_kill(deployed: deployment.Deployment) -> None:
    """Stop one VM as planned and kill another."""
    vms = sorted(deployed.vms)
    await asyncio.sleep(STOP_AT_S)
    await deployed.stop_node(vms[0])
    loop_pause = max(0.0, KILL_AT_S - STOP_AT_S - 5.0)
    await asyncio.sleep(loop_pause)
    await deployed.kill_node(vms[-1])


async def run_deployment(name: str, seed: int, directory: str) -> DemoResult:
    """Run one deployment and check its history."""
    plan = deployment.load_plan(name)
    options = deployment.Options(directory, seed)
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        greedy = min(
            plan['client_accounts'],
            key=lambda account: plan['client_accounts'][account]['rate'],
        )
        spare = spare_key(plan, greedy, seed)
        await issue(deployed, spare)
        callers = traffic.TrafficGenerator(deployed, seed)
        with contextlib.closing(callers):
            await asyncio.gather(
                callers.run(TRAFFIC_S, LOAD, {greedy: GREEDY_FACTOR}),
                callers.run_with_key(spare, TRAFFIC_S, SPARE_RATE),
                change_keys_and_drain(deployed, spare),
                stop_and_kill(deployed),
            )
        facts = deployed.read_facts()
    events = checking.read_history(pathlib.Path(directory) / 'history')
    violations = checking.check_history(events, facts)
    return {
        'deployment': name,
        'summary': checking.summarize(events, facts),
        'violations': [
            f'{row.promise} at {row.time_s:.3f}: {row.description}'
            for row in violations
        ],
    }


def lines(found: DemoResult) -> list[str]:
    """Return a readable summary."""
    total = found['summary']['total']
    made = [f'== {found["deployment"]}', f'requests: {total["requests"]}']
    made.append('outcomes:')
    made.extend(
        f'  {kind}: {count}'
        for kind, count in sorted(total['outcomes'].items())
    )
    latency = total['latency_s']
    made.append(
        f'latency ms, resends included: p50 {latency["p50"] * 1000:.0f}, '
        f'p90 {latency["p90"] * 1000:.0f}, p99 {latency["p99"] * 1000:.0f}'
    )
    made.append(f'non-idempotent requests doubled: {total["doubled"]}')
    made.append(f'non-idempotent requests lost: {total["lost"]}')
    made.append(
        f'refused inside the rate: {total["refused_inside_rate"]} '
        f'of {total["inside_rate"]}'
    )
    made.append(f'answers cut: {total["cut"]}')
    worst = found['summary']['worst_served']
    if worst is not None:
        made.append(
            f'worst-served client account: {worst.account} '
            f'({worst.share:.1%} of its due)'
        )
    made.append(f'promises broken: {len(found["violations"])}')
    made.extend(f'  {text}' for text in found['violations'][:20])
    return made


async def run(seed: int, names: tuple[str, ...]) -> list[DemoResult]:
    """Run deployments one after the other."""
    found = []
    for name in names:
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            found.append(await run_deployment(name, seed, directory))
        print('\n'.join(lines(found[-1])), flush=True)
    return found


@_command_line.deferred
def command(
    seed: int = 1,
    output: str = 'text',
    only: str = '',
    check_settings: bool = False,
) -> int:
    """Run the example deployments; exit with 1 if a promise broke.

    Args:
        seed: seed of keys, arrivals and service times.
        output: text, or json for one more line with all figures.
        only: name of the one deployment to run.
        check_settings: only check the example deployments.
    """
    if output not in ('text', 'json') or only not in ('', *EXAMPLES):
        return _command_line.report_usage_error(
            NAME, 'unknown output format or deployment'
        )
    names = (only,) if only else EXAMPLES
    if check_settings:
        for name in names:
            deployment.load_plan(name)
        return _command_line.EXIT_OK
    found = uvloop.run(run(seed, names))
    if output == 'json':
        print(json.dumps(found))
    broken = any(
        result['violations']
        or result['summary']['total']['doubled']
        or result['summary']['total']['lost']
        for result in found
    )
    return EXIT_BROKEN if broken else _command_line.EXIT_OK


def main() -> None:
    """Run the ``filbertstep-demo`` command."""
    _command_line.run(NAME, command)
