"""Runs a whole deployment under injected faults and checks its history.

A scenario is a coroutine that injects faults into a deployment while callers
send traffic.  One client account exceeds its rate several times, and some
orders (non-idempotent requests) are sent twice concurrently.  The accounts
have only a share of the rates of the example, so that several processes fit on
a small machine.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import random
import shutil
import tempfile
import typing
import unittest

import aiohttp
import uvloop

from filbertstep import caller
from filbertstep import checking
from filbertstep import config
from filbertstep import deployment
from filbertstep import lookup
from filbertstep import traffic

# Rates of the accounts as a share of those in the example.
RATE_FACTOR: typing.Final = 0.4

# Offered load of an account as a multiple of its rate.
LOAD: typing.Final = 0.3

# The same for the one account that exceeds its rate.
EXCESSIVE_LOAD: typing.Final = 4.0

# Share of the orders that are sent a second time while the first copy is in
# flight.
DUPLICATE_SHARE: typing.Final = 0.3

# Upper bound of the random delay of the second copy.
MAX_DUPLICATE_DELAY_S: typing.Final = 0.5

# Further attempts would mostly be refused again because of the rate.
MAX_ATTEMPTS: typing.Final = 6

# Shift caps as a share of those in the example.  When a region fails, at most
# a third of the traffic moves, which the example's caps would hardly limit.
SHIFT_CAP_FACTOR: typing.Final = 0.4

# Upper bound of a request's time limit, so that callers finish soon after the
# end of the traffic.
MAX_TIME_LIMIT_S: typing.Final = 6.0

# A run with fewer succeeded orders per second of traffic proves too little.
MIN_ORDERS_PER_S: typing.Final = 2.0

# The same for the succeeded requests of each account that the scenario does
# not disturb.
MIN_ACCOUNT_REQUESTS_PER_S: typing.Final = 0.3

# Service to which intrusions are sent.
INTRUSION_SERVICE: typing.Final = 'bookings'
INTRUSION_INTERVAL_S: typing.Final = 0.2
INTRUSION_TIMEOUT_S: typing.Final = 2.0

# Environment variable that names a directory to which the files of all runs
# are copied.
KEEP_RUNS_VARIABLE: typing.Final = 'FILBERTSTEP_KEEP_RUNS'

InjectFaults = collections.abc.Callable[
    ['ScenarioRun'], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Scenario(typing.NamedTuple):
    """Faults to inject, and the deployment and traffic that they need.

    ``seconds`` is the length of the traffic, ``load`` that of its accounts as
    a multiple of their rates, and ``mix`` the kinds of requests, by default
    those of ``default_mix``.  ``options`` go to ``deployment.Options``.
    ``upstreams`` overrides the number of backend servers by service.
    ``min_orders_per_s`` is the least rate of succeeded orders.
    """

    inject_faults: InjectFaults
    seconds: float = 15.0
    example: str = 'huon-burr'
    options: dict[str, typing.Any] = {}
    load: float = LOAD
    mix: tuple[traffic.RequestKind, ...] = ()
    upstreams: dict[str, int] = {}
    min_orders_per_s: float = MIN_ORDERS_PER_S


class Outcome(typing.NamedTuple):
    """Result of a run.

    ``problems`` says why the run failed, or tested too little, apart from
    violations of promises.  ``counts`` has the figures of the traffic by name.
    """

    violations: list[checking.Violation]
    problems: list[str]
    counts: dict[str, int]


class DuplicatingClient(traffic.RecordingClient):
    """A caller that sends some orders to two VMs concurrently."""

    def __init__(
        self,
        source: traffic.TrafficSource,
        history_writer: checking.HistoryWriter,
        seed: int,
    ) -> None:
        super().__init__(source, history_writer, seed)
        self.max_attempts = MAX_ATTEMPTS

    async def attempt(
        self, progress: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> caller.AttemptResponse:
        """Make one attempt, at random with a second copy to another VM."""
        duplicate = (
            not progress.request.idempotent
            and not progress.ask_outcome
            and self.random.random() < DUPLICATE_SHARE
        )
        if not duplicate:
            return await super().attempt(progress, vm)
        first = asyncio.ensure_future(super().attempt(progress, vm))
        # Let the first copy choose the request id, which both share.
        await asyncio.sleep(0)
        copy = dataclasses.replace(
            progress, request_ids=list(progress.request_ids)
        )
        second = asyncio.ensure_future(self.send_copy(copy, vm))
        try:
            response = await first
        finally:
            first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await second
        # The second copy may still run after the first one was refused.
        if copy.id_may_run:
            progress.id_may_run = True
        return response

    async def send_copy(
        self, copy: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> None:
        """Send a copy of an order after a delay, to another VM if possible."""
        await asyncio.sleep(self.random.uniform(0, MAX_DUPLICATE_DELAY_S))
        vms = await self.current_vms(copy.request.service)
        others = [other for other in vms if other['vm'] != vm['vm']]
        target = self.random.choice([*others, vm])
        await super().attempt(copy, target)


class ProofTraffic(traffic.TrafficGenerator):
    """Traffic whose callers send some orders twice."""

    client_class = DuplicatingClient


class ScenarioRun:
    """A deployment under traffic, with the operations that scenarios use.

    ``problems`` lists what a scenario found wrong; ``disturbed_accounts`` are
    those that a scenario keeps from being served.  Each of ``history_checks``
    returns the problems in the whole history.  ``ended_vms`` are those that a
    scenario ended; all others must still run at the end.
    """

    def __init__(
        self,
        deployed: deployment.Deployment,
        proof_traffic: ProofTraffic,
        seed: int,
    ) -> None:
        self.deployed = deployed
        self.traffic = proof_traffic
        self.random = random.Random(f'scenario/{seed}')
        # Separate, because the number of intrusions depends on timing: a seed
        # fixes what a scenario draws.
        self.intrusion_random = random.Random(f'intruder/{seed}')
        plan = deployed.plan
        self.excessive_account = min(
            plan['client_accounts'],
            key=lambda name: plan['client_accounts'][name]['rate'],
        )
        self.vms = sorted(deployed.vms)
        self.problems: list[str] = []
        self.disturbed_accounts: set[str] = set()
        self.history_checks: list[
            collections.abc.Callable[[list[checking.AnyEvent]], list[str]]
        ] = []
        self.ended_vms: set[str] = set()

    async def sleep(self, seconds: float) -> None:
        """Wait while the traffic goes on."""
        await asyncio.sleep(seconds)

    def vms_outside(self, region: str) -> list[str]:
        """Return the VMs outside a region, sorted."""
        vms = self.deployed.vms
        return [name for name in self.vms if vms[name].region != region]

    def vms_inside(self, region: str) -> list[str]:
        """Return the VMs of a region, sorted."""
        return [
            name for name in self.vms if name not in self.vms_outside(region)
        ]

    def running_vms(self) -> list[str]:
        """Return the VMs that the scenario has not ended, sorted."""
        return [name for name in self.vms if name not in self.ended_vms]

    async def kill_vm(self, vm: str) -> None:
        """Kill a VM's node with SIGKILL."""
        self.ended_vms.add(vm)
        await self.deployed.kill_node(vm)

    async def stop_vm(self, vm: str) -> None:
        """Stop a VM's node gracefully; it must exit with status 0."""
        self.ended_vms.add(vm)
        await self.deployed.stop_node(vm)
        status = self.deployed.processes.exit_status(vm)
        if status != 0:
            self.problems.append(f'{vm} exited with status {status}')

    async def configure_store(self, **faults: object) -> None:
        """Change the faults that the store stand-in injects."""
        await self.deployed.configure_standin('store', faults)

    def key_to_withdraw(self) -> deployment.IssuedKey:
        """Return a key that callers use and whose account may be disturbed."""
        account = sorted(self.deployed.plan['client_accounts'])[2]
        self.disturbed_accounts.add(account)
        return next(
            key for key in self.deployed.keys if key.client_account == account
        )

    async def withdraw_key(
        self, key: deployment.IssuedKey, vm: str, timeout_s: float = 60.0
    ) -> None:
        """Withdraw a key.

        The history must show that it worked before and was refused after.
        """
        self.history_checks.append(
            lambda events: check_withdrawal(events, key)
        )
        await self.deployed.submit_changes(
            [deployment.make_change(config.EntityKind.KEY, key.name, None)],
            vm,
            timeout_s,
        )

    async def drain(self, kind: str, target: str, vm: str) -> None:
        """Drain a target of a kind: ``backend_server`` or ``region``."""
        state = {'target_kind': kind, 'target': target}
        await self.deployed.submit_changes(
            [
                deployment.make_change(
                    config.EntityKind.DRAIN, f'd-{target}', state
                )
            ],
            vm,
        )


class Intrusion(typing.NamedTuple):
    """A request that must not run, or must not run as it claims.

    It lacks a valid key, repeats its key where the backend server must not see
    it, or claims to be of another account.

    ``authorization``, ``query``, ``body`` and the values of ``extra`` headers
    are format strings for a ``key``, its ``half`` and the name of an ``other``
    account.  If ``keyed``, the request counts as one of the key's account.
    """

    name: str
    authorization: str
    query: str = ''
    body: str = ''
    extra: tuple[tuple[str, str], ...] = ()
    keyed: bool = True


INTRUSIONS: typing.Final = (
    Intrusion('no key', '', keyed=False),
    Intrusion('unknown key', 'Bearer fbk-unknown', keyed=False),
    Intrusion('cut key', 'Bearer {half}', keyed=False),
    Intrusion('key in the query', 'Bearer {key}', query='?token={key}'),
    Intrusion('key in the body', 'Bearer {key}', body='{{"a":"{key}"}}'),
    Intrusion(
        'key in other headers',
        'Bearer {key}',
        extra=(
            ('Cookie', 'session={key}; theme=dark'),
            ('X-Api-Token', '{key}'),
            ('Referer', 'http://shop.example/?token={key}'),
        ),
    ),
    Intrusion(
        "another account's name",
        'Bearer {key}',
        extra=(('X-Client-Account', '{other}'),),
    ),
)


async def send_intrusions(run: ScenarioRun, seconds: float) -> None:
    """Send all kinds of intrusions in turn for some seconds."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    number = 0
    while loop.time() < end_at:
        intrusion = INTRUSIONS[number % len(INTRUSIONS)]
        number += 1
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await send_intrusion(run, intrusion, f'intrusion-{number}')
        await asyncio.sleep(INTRUSION_INTERVAL_S)


async def send_intrusion(
    run: ScenarioRun, intrusion: Intrusion, request_id: str
) -> None:
    """Send one intrusion to a random VM."""
    keys = run.deployed.keys
    key, other = keys[0], keys[1]
    vm = run.intrusion_random.choice(run.vms)
    values = {
        'key': key.secret,
        'half': key.secret[: len(key.secret) // 2],
        'other': other.client_account,
    }
    run.traffic.history_writer.write(
        'sent',
        request_id=request_id,
        family=request_id,
        account=key.client_account if intrusion.keyed else '',
        key_name=key.name if intrusion.keyed else '',
        vm=vm,
        service=INTRUSION_SERVICE,
        method='GET',
        idempotent=True,
        body_digest='',
    )
    headers = {'X-Request-Id': request_id}
    if intrusion.authorization:
        headers['Authorization'] = intrusion.authorization.format(**values)
    for name, value in intrusion.extra:
        headers[name] = value.format(**values)
    session = run.deployed.session
    assert session is not None
    url = run.deployed.node_urls[vm].callers
    async with session.get(
        f'{url}/{INTRUSION_SERVICE}/items{intrusion.query.format(**values)}',
        headers=headers,
        data=intrusion.body.format(**values) or None,
        timeout=aiohttp.ClientTimeout(total=INTRUSION_TIMEOUT_S),
    ) as answer:
        await answer.read()


def check_withdrawal(
    events: list[checking.AnyEvent], key: deployment.IssuedKey
) -> list[str]:
    """Return a problem unless a key both worked and was later refused."""
    answered_events = [
        event
        for event in events
        if event['event'] == 'answered' and event['key_name'] == key.name
    ]
    problems = []
    if not any(event['ran'] == 'yes' for event in answered_events):
        problems.append(f'{key.name} never worked')
    if not any(event['kind'] == 'unauthorized' for event in answered_events):
        problems.append(f'{key.name} was never refused')
    return problems


def build_scaled_plan(example: str) -> deployment.Plan:
    """Return the plan of an example with lower rates and shift caps."""
    plan = deployment.load_plan(example)
    for service in plan['services'].values():
        service['shift_cap']['max_share'] *= SHIFT_CAP_FACTOR
    for account in plan['client_accounts'].values():
        account['rate'] *= RATE_FACTOR
        account['burst'] *= RATE_FACTOR
    return plan


def default_mix(plan: deployment.Plan) -> list[traffic.RequestKind]:
    """Return a plan's kinds of requests with shorter time limits."""
    return [
        kind._replace(time_limit_s=min(kind.time_limit_s, MAX_TIME_LIMIT_S))
        for kind in traffic.request_kinds(plan)
    ]


def find_problems(
    events: list[checking.AnyEvent], run: ScenarioRun, scenario: Scenario
) -> tuple[list[str], dict[str, int]]:
    """Return the problems of a run and the counts of its traffic.

    Too little traffic is a problem, because such a run tests nothing.
    """
    orders: set[str] = set()
    successes_by_account: collections.Counter[str] = collections.Counter()
    sends_by_id: collections.Counter[str] = collections.Counter()
    results_by_kind: collections.Counter[str] = collections.Counter()
    for event in events:
        if event['event'] == 'sent' and not event['idempotent']:
            sends_by_id[event['request_id']] += 1
        if event['event'] != 'answered':
            continue
        results_by_kind[event['kind'] or str(event['status'])] += 1
        if event['status'] == 200 and event['complete']:
            successes_by_account[event['account']] += 1
            if not event['idempotent']:
                orders.add(event['family'])
    counts = {
        'orders': len(orders),
        'sent twice': sum(count > 1 for count in sends_by_id.values()),
        **dict(sorted(results_by_kind.items())),
    }
    problems = list(run.problems)
    for check in run.history_checks:
        problems.extend(check(events))
    minimum = scenario.min_orders_per_s * scenario.seconds
    if len(orders) < minimum:
        problems.append(
            f'{len(orders)} orders answered, {minimum:.0f} expected'
        )
    if scenario.min_orders_per_s > 0 and counts['sent twice'] < minimum / 10:
        problems.append('too few orders were sent twice')
    for account in run.deployed.plan['client_accounts']:
        minimum = MIN_ACCOUNT_REQUESTS_PER_S * scenario.seconds
        if (
            account not in run.disturbed_accounts
            and successes_by_account[account] < minimum
        ):
            problems.append(
                f'{account}: {successes_by_account[account]} requests answered'
            )
    return problems, counts


async def run_and_check(
    scenario: Scenario, seed: int, directory: str
) -> Outcome:
    """Run a scenario in a directory and check its history."""
    options = deployment.Options(
        directory, seed, ready_timeout_s=40.0, **scenario.options
    )
    plan = build_scaled_plan(scenario.example)
    for service, count in scenario.upstreams.items():
        plan['services'][service]['upstreams'] = count
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        proof_traffic = ProofTraffic(
            deployed, seed, scenario.mix or default_mix(plan)
        )
        run = ScenarioRun(deployed, proof_traffic, seed)
        with contextlib.closing(proof_traffic):
            await asyncio.gather(
                proof_traffic.run(
                    scenario.seconds,
                    scenario.load,
                    {run.excessive_account: EXCESSIVE_LOAD},
                ),
                scenario.inject_faults(run),
                send_intrusions(run, scenario.seconds),
            )
        for vm in run.vms:
            if vm not in run.ended_vms and not deployed.processes.is_running(
                vm
            ):
                log_tail = deployed.processes.read_log_tail(vm)
                run.problems.append(f'{vm} has exited:\n{log_tail}')
        facts = deployed.read_facts()
        # Kill the nodes, because the graceful stops at the end of the context
        # would take several seconds and are not part of the scenario.
        for vm in run.vms:
            deployed.processes.kill(vm)
    events = checking.read_history(pathlib.Path(directory) / 'history')
    problems, counts = find_problems(events, run, scenario)
    return Outcome(checking.check_history(events, facts), problems, counts)


def run_scenario(name: str, scenario: Scenario, seed: int) -> Outcome:
    """Run a scenario in a temporary directory.

    With ``FILBERTSTEP_KEEP_RUNS`` set, its files are copied to ``NAME-SEED``
    in the directory that the variable names.
    """
    with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
        outcome = uvloop.run(run_and_check(scenario, seed, directory))
        keep_directory = os.environ.get(KEEP_RUNS_VARIABLE)
        if keep_directory:
            shutil.copytree(
                directory,
                f'{keep_directory}/{name}-{seed}',
                dirs_exist_ok=True,
            )
    return outcome


def format_outcome(outcome: Outcome, max_violations: int = 20) -> list[str]:
    """Return the lines that describe the outcome of a run."""
    violations = [
        f'{violation.promise} at {violation.time_s:.3f}: '
        f'{violation.description}'
        for violation in outcome.violations
    ]
    return [
        *violations[:max_violations],
        *outcome.problems,
        str(outcome.counts),
    ]


class ProofCase(unittest.TestCase):
    """Base of test cases that run one scenario with one seed."""

    seed = 1

    def check_scenario(self, name: str, scenario: Scenario) -> None:
        """Run a scenario; fail on violations and on other problems."""
        outcome = run_scenario(name, scenario, self.seed)
        if outcome.violations or outcome.problems:
            self.fail('\n'.join(format_outcome(outcome)))
