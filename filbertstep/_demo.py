"""Demo: runs both example deployments with traffic, changes and failures.

Each deployment runs as separate processes at its full size.  While callers
send traffic, an API key is withdrawn, a backend server is drained, one VM is
stopped gracefully and another is killed.  The history of the run is then
checked for violations of the system's promises.
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

PROGRAM_NAME: typing.Final = 'filbertstep-demo'

EXAMPLES: typing.Final = ('huon-burr', 'vleiland')

# Offered load of an account as a multiple of its rate.
LOAD: typing.Final = 0.25

# The same for the one account that exceeds its rate.
EXCESSIVE_LOAD: typing.Final = 4.0

# Requests a second in each region with the key that is withdrawn.
EXTRA_KEY_RATE_PER_S: typing.Final = 2.0

# Seconds after the start of the traffic.
WITHDRAW_AT_S: typing.Final = 3.0
STOP_AT_S: typing.Final = 5.0
KILL_AT_S: typing.Final = 12.0
TRAFFIC_S: typing.Final = 18.0

# Promises that a killed VM or backend server can affect count as well, because
# the checkers know which answers a kill excuses.
EXIT_PROMISE_VIOLATED: typing.Final = 1


class DemoResult(typing.TypedDict):
    """Result of running one deployment, with its violations as text."""

    deployment: str
    summary: checking.Summary
    violations: list[str]


def generate_extra_key(
    plan: deployment.Plan, excessive_account: str, seed: int
) -> deployment.IssuedKey:
    """Return a second key of the largest account that keeps to its rate."""
    accounts = plan['client_accounts']
    account = max(
        (name for name in accounts if name != excessive_account),
        key=lambda name: accounts[name]['rate'],
    )
    return deployment.generate_key(account, f'{account}-spare', seed)


async def withdraw_key_and_drain(
    deployed: deployment.Deployment, extra_key: deployment.IssuedKey
) -> None:
    """Withdraw a key that callers use, then drain a backend server."""
    vms = sorted(deployed.vms)
    await asyncio.sleep(WITHDRAW_AT_S)
    await deployed.submit_changes(
        [deployment.make_change(config.EntityKind.KEY, extra_key.name, None)],
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


async def issue_key(
    deployed: deployment.Deployment, key: deployment.IssuedKey
) -> None:
    """Add a key to the configuration and wait until all nodes are ready."""
    state = {
        'client_account': key.client_account,
        'digest': key.digest(),
    }
    await deployed.submit_changes(
        [deployment.make_change(config.EntityKind.KEY, key.name, state)]
    )
    await deployed.wait_until_ready()


async def stop_and_kill(deployed: deployment.Deployment) -> None:
    """Stop one VM gracefully, then kill another."""
    vms = sorted(deployed.vms)
    await asyncio.sleep(STOP_AT_S)
    await deployed.stop_node(vms[0])
    pause_s = max(0.0, KILL_AT_S - STOP_AT_S - 5.0)
    await asyncio.sleep(pause_s)
    await deployed.kill_node(vms[-1])


async def run_deployment(name: str, seed: int, directory: str) -> DemoResult:
    """Run one example deployment in a directory and check its history."""
    plan = deployment.load_plan(name)
    options = deployment.Options(directory, seed)
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        excessive_account = min(
            plan['client_accounts'],
            key=lambda account: plan['client_accounts'][account]['rate'],
        )
        extra_key = generate_extra_key(plan, excessive_account, seed)
        await issue_key(deployed, extra_key)
        callers = traffic.TrafficGenerator(deployed, seed)
        with contextlib.closing(callers):
            await asyncio.gather(
                callers.run(
                    TRAFFIC_S, LOAD, {excessive_account: EXCESSIVE_LOAD}
                ),
                callers.run_with_key(
                    extra_key, TRAFFIC_S, EXTRA_KEY_RATE_PER_S
                ),
                withdraw_key_and_drain(deployed, extra_key),
                stop_and_kill(deployed),
            )
        facts = deployed.read_facts()
    events = checking.read_history(pathlib.Path(directory) / 'history')
    violations = checking.check_history(events, facts)
    return {
        'deployment': name,
        'summary': checking.summarize(events, facts),
        'violations': [
            f'{violation.promise} at {violation.time_s:.3f}: '
            f'{violation.description}'
            for violation in violations
        ],
    }


def format_result(result: DemoResult) -> list[str]:
    """Return the lines of a readable summary."""
    total = result['summary']['total']
    lines = [f'== {result["deployment"]}', f'requests: {total["requests"]}']
    lines.append('outcomes:')
    lines.extend(
        f'  {kind}: {count}'
        for kind, count in sorted(total['outcomes'].items())
    )
    latency = total['latency_s']
    lines.append(
        f'latency ms, resends included: p50 {latency["p50"] * 1000:.0f}, '
        f'p90 {latency["p90"] * 1000:.0f}, p99 {latency["p99"] * 1000:.0f}'
    )
    lines.append(f'non-idempotent requests doubled: {total["doubled"]}')
    lines.append(f'non-idempotent requests lost: {total["lost"]}')
    lines.append(
        f'refused inside the rate: {total["refused_inside_rate"]} '
        f'of {total["inside_rate"]}'
    )
    lines.append(f'answers cut: {total["cut"]}')
    worst = result['summary']['worst_served']
    if worst is not None:
        lines.append(
            f'worst-served client account: {worst.account} '
            f'({worst.share:.1%} of its due)'
        )
    lines.append(f'promises broken: {len(result["violations"])}')
    lines.extend(f'  {text}' for text in result['violations'][:20])
    return lines


async def run(seed: int, names: tuple[str, ...]) -> list[DemoResult]:
    """Run deployments one after the other and print their summaries."""
    results = []
    for name in names:
        with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
            results.append(await run_deployment(name, seed, directory))
        print('\n'.join(format_result(results[-1])), flush=True)
    return results


@_command_line.deferred
def command(
    seed: int = 1,
    output: str = 'text',
    only: str = '',
    check_settings: bool = False,
) -> int:
    """Run the example deployments; exit with 1 if a promise was broken.

    Args:
        seed: seed of keys, arrivals and service times.
        output: text, or json for one more line with all figures.
        only: name of the one deployment to run.
        check_settings: only check the example deployments.
    """
    if output not in ('text', 'json') or only not in ('', *EXAMPLES):
        return _command_line.report_usage_error(
            PROGRAM_NAME, 'unknown output format or deployment'
        )
    names = (only,) if only else EXAMPLES
    if check_settings:
        for name in names:
            deployment.load_plan(name)
        return _command_line.EXIT_OK
    results = uvloop.run(run(seed, names))
    if output == 'json':
        print(json.dumps(results))
    violated = any(
        result['violations']
        or result['summary']['total']['doubled']
        or result['summary']['total']['lost']
        for result in results
    )
    return EXIT_PROMISE_VIOLATED if violated else _command_line.EXIT_OK


def main() -> None:
    """Run the ``filbertstep-demo`` command line program."""
    _command_line.run(PROGRAM_NAME, command)
