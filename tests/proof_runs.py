"""Runs whole deployments under injected failures and checks their histories.

A scenario injects failures while callers send traffic.  One client account
sends several times its rate, and some callers send an order twice
concurrently.  (Orders are the non-idempotent requests.)  A run passes if its
history breaks no promise and shows that the failures and enough traffic took
place.  Rates are lower than in the example deployment, so that all processes
fit on a small machine.
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

# Multiplies the rates of the example deployment.
ACCOUNT_RATE_FACTOR: typing.Final = 0.4

# Offered load of an account as a multiple of its rate: by default, and for the
# account that exceeds its rate.
DEFAULT_LOAD: typing.Final = 0.3
EXCESSIVE_LOAD: typing.Final = 4.0

# Share of the orders that are sent a second time while the first copy is in
# progress, and the longest delay between the two.
DUPLICATE_SHARE: typing.Final = 0.3
MAX_DUPLICATE_DELAY_S: typing.Final = 0.5

# More attempts would only be refused again because of the rate limit.
MAX_ATTEMPTS_PER_REQUEST: typing.Final = 6

# Multiplies the shift caps of the example deployment.  At most a third of the
# traffic moves when a region fails; the unscaled caps would hardly limit that.
SHIFT_CAP_FACTOR: typing.Final = 0.4

# Upper limit on the time limit of a request, so that callers finish soon after
# the traffic ends.
MAX_TIME_LIMIT_S: typing.Final = 6.0

# A run with less traffic proves too little.  Per second of traffic: answered
# orders of all accounts, and answered requests of each account that the
# scenario does not disturb.
MIN_ORDERS_PER_S: typing.Final = 2.0
MIN_ACCOUNT_REQUESTS_PER_S: typing.Final = 0.3

# Intrusions: the service that they address, their interval and timeout.
INTRUSION_SERVICE: typing.Final = 'bookings'
INTRUSION_INTERVAL_S: typing.Final = 0.2
INTRUSION_TIMEOUT_S: typing.Final = 2.0

# Environment variable that names a directory to which the files of each run
# are copied.
KEEP_RUNS_VARIABLE: typing.Final = 'FILBERTSTEP_KEEP_RUNS'

InjectFaults = collections.abc.Callable[
    ['ScenarioRun'], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Scenario(typing.NamedTuple):
    """A failure scenario, and the deployment and traffic that it needs.

    ``load`` is the offered load of each account as a multiple of its rate.
    ``mix`` has the kinds of requests; if empty, ``default_mix`` is used.
    ``deployment_options`` are arguments of ``deployment.Options``.
    ``servers_by_service`` overrides the example's numbers of backend servers.
    ``min_orders_per_s`` is the least rate of answered orders.
    """

    inject_faults: InjectFaults
    duration_s: float = 15.0
    example_name: str = 'huon-burr'
    deployment_options: dict[str, typing.Any] = {}
    load: float = DEFAULT_LOAD
    mix: tuple[traffic.RequestKind, ...] = ()
    servers_by_service: dict[str, int] = {}
    min_orders_per_s: float = MIN_ORDERS_PER_S


class Outcome(typing.NamedTuple):
    """Result of a run.

    ``violations`` are broken promises.  ``problems`` are other reasons why the
    run fails, such as too little traffic.  ``counts`` are numbers of requests.
    """

    violations: list[checking.Violation]
    problems: list[str]
    counts: dict[str, int]


class DuplicatingClient(traffic.RecordingClient):
    """A caller that sends some orders twice concurrently."""

    def __init__(
        self,
        source: traffic.TrafficSource,
        history_writer: checking.HistoryWriter,
        seed: int,
    ) -> None:
        super().__init__(source, history_writer, seed)
        self.max_attempts = MAX_ATTEMPTS_PER_REQUEST

    async def attempt(
        self, progress: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> caller.AttemptResponse:
        """Make an attempt, for some orders with a concurrent second copy."""
        duplicate = (
            not progress.request.idempotent
            and not progress.ask_outcome
            and self.random.random() < DUPLICATE_SHARE
        )
        if not duplicate:
            return await super().attempt(progress, vm)
        first = asyncio.ensure_future(super().attempt(progress, vm))
        # Lets the first copy choose the request id that both use.
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
        # The second copy may still run although the first one was refused.
        if copy.id_may_run:
            progress.id_may_run = True
        return response

    async def send_copy(
        self, copy: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> None:
        """Send a copy of an order to a random VM, possibly to ``vm`` again."""
        await asyncio.sleep(self.random.uniform(0, MAX_DUPLICATE_DELAY_S))
        vms = await self.current_vms(copy.request.service)
        others = [other for other in vms if other['vm'] != vm['vm']]
        target = self.random.choice([*others, vm])
        await super().attempt(copy, target)


class DuplicatingTrafficGenerator(traffic.TrafficGenerator):
    """Generates traffic in which some orders are sent twice."""

    client_class = DuplicatingClient


class ScenarioRun:
    """A deployment with traffic, as it is passed to a scenario."""

    def __init__(
        self,
        deployed: deployment.Deployment,
        generator: DuplicatingTrafficGenerator,
        seed: int,
    ) -> None:
        self.deployed = deployed
        self.traffic = generator
        self.random = random.Random(f'scenario/{seed}')
        # Separate, because the number of its draws depends on timing: a seed
        # then still fixes what the scenario draws.
        self.intrusion_random = random.Random(f'intruder/{seed}')
        plan = deployed.plan
        self.overloading_account = min(
            plan['client_accounts'],
            key=lambda name: plan['client_accounts'][name]['rate'],
        )
        self.vms = sorted(deployed.vms)
        # Problems that the scenario found, and accounts whose traffic it
        # disturbs.
        self.problems: list[str] = []
        self.disturbed_accounts: set[str] = set()
        # Each returns the problems that it finds in the complete history.
        self.history_checks: list[
            collections.abc.Callable[[list[checking.AnyEvent]], list[str]]
        ] = []
        # VMs that the scenario has ended; all others must run at the end.
        self.ended_vms: set[str] = set()

    async def sleep(self, seconds: float) -> None:
        """Let traffic run for some seconds."""
        await asyncio.sleep(seconds)

    def vms_outside(self, region: str) -> list[str]:
        """Return the VMs that are not in a region."""
        vms = self.deployed.vms
        return [name for name in self.vms if vms[name].region != region]

    def vms_inside(self, region: str) -> list[str]:
        """Return the VMs of a region."""
        return [
            name for name in self.vms if name not in self.vms_outside(region)
        ]

    def running_vms(self) -> list[str]:
        """Return the VMs that the scenario has not ended, in order."""
        return [name for name in self.vms if name not in self.ended_vms]

    async def kill_vm(self, vm: str) -> None:
        """Kill a VM."""
        self.ended_vms.add(vm)
        await self.deployed.kill_node(vm)

    async def stop_vm(self, vm: str) -> None:
        """Stop a VM gracefully; it must exit with status 0."""
        self.ended_vms.add(vm)
        await self.deployed.stop_node(vm)
        status = self.deployed.processes.exit_status(vm)
        if status != 0:
            self.problems.append(f'{vm} exited with status {status}')

    async def configure_store(self, **faults: object) -> None:
        """Change the injected faults of the store."""
        await self.deployed.configure_standin('store', faults)

    def key_to_withdraw(self) -> deployment.IssuedKey:
        """Return a key that callers use, and mark its account as disturbed."""
        account = sorted(self.deployed.plan['client_accounts'])[2]
        self.disturbed_accounts.add(account)
        return next(
            key for key in self.deployed.keys if key.client_account == account
        )

    async def withdraw_key(
        self, key: deployment.IssuedKey, vm: str, timeout_s: float = 60.0
    ) -> None:
        """Withdraw a key through a ticket at a VM.

        The history must show that the key both worked and was refused.
        Raises DeploymentError if the ticket is refused or does not take
        effect in time.
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
        """Drain a target through a ticket at a VM.

        ``kind`` is 'backend_server' or 'region'.
        """
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
    """A request with a bad key, a key in a wrong place or a false account.

    All fields but ``name`` and ``has_valid_key`` are templates for
    ``str.format`` with ``key`` (the secret of a key), ``half`` (its first
    half) and ``other`` (the name of another account).  ``has_valid_key`` says
    whether the request is authorized by a key.
    """

    name: str
    authorization: str
    query: str = ''
    body: str = ''
    extra_headers: tuple[tuple[str, str], ...] = ()
    has_valid_key: bool = True


INTRUSIONS: typing.Final = (
    Intrusion('no key', '', has_valid_key=False),
    Intrusion('unknown key', 'Bearer fbk-unknown', has_valid_key=False),
    Intrusion('truncated key', 'Bearer {half}', has_valid_key=False),
    Intrusion('key in the query', 'Bearer {key}', query='?token={key}'),
    Intrusion('key in the body', 'Bearer {key}', body='{{"a":"{key}"}}'),
    Intrusion(
        'key in other headers',
        'Bearer {key}',
        extra_headers=(
            ('Cookie', 'session={key}; theme=dark'),
            ('X-Api-Token', '{key}'),
            ('Referer', 'http://shop.example/?token={key}'),
        ),
    ),
    Intrusion(
        "another account's name",
        'Bearer {key}',
        extra_headers=(('X-Client-Account', '{other}'),),
    ),
)


async def send_intrusions(run: ScenarioRun, seconds: float) -> None:
    """Send all kinds of intrusions in turn for some seconds."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    request_number = 0
    while loop.time() < end_at:
        intrusion = INTRUSIONS[request_number % len(INTRUSIONS)]
        request_number += 1
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await send_intrusion(run, intrusion, f'intrusion-{request_number}')
        await asyncio.sleep(INTRUSION_INTERVAL_S)


async def send_intrusion(
    run: ScenarioRun, intrusion: Intrusion, request_id: str
) -> None:
    """Record one intrusion in the history and send it to a random VM."""
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
        account=key.client_account if intrusion.has_valid_key else '',
        key_name=key.name if intrusion.has_valid_key else '',
        vm=vm,
        service=INTRUSION_SERVICE,
        method='GET',
        idempotent=True,
        body_digest='',
    )
    headers = {'X-Request-Id': request_id}
    if intrusion.authorization:
        headers['Authorization'] = intrusion.authorization.format(**values)
    for name, value in intrusion.extra_headers:
        headers[name] = value.format(**values)
    session = run.deployed.session
    assert session is not None
    url = run.deployed.node_urls[vm].callers
    async with session.get(
        f'{url}/{INTRUSION_SERVICE}/items{intrusion.query.format(**values)}',
        headers=headers,
        data=intrusion.body.format(**values) or None,
        timeout=aiohttp.ClientTimeout(total=INTRUSION_TIMEOUT_S),
    ) as response:
        await response.read()


def check_withdrawal(
    events: list[checking.AnyEvent], key: deployment.IssuedKey
) -> list[str]:
    """Return problems unless a key both worked and was refused."""
    responses = [
        event
        for event in events
        if event['event'] == 'answered' and event['key_name'] == key.name
    ]
    problems = []
    if not any(event['ran'] == 'yes' for event in responses):
        problems.append(f'{key.name} never worked')
    if not any(event['kind'] == 'unauthorized' for event in responses):
        problems.append(f'{key.name} was never refused')
    return problems


def build_scaled_plan(example_name: str) -> deployment.Plan:
    """Return an example plan with lower rates and tighter shift caps."""
    plan = deployment.load_plan(example_name)
    for service in plan['services'].values():
        service['shift_cap']['max_share'] *= SHIFT_CAP_FACTOR
    for account in plan['client_accounts'].values():
        account['rate'] *= ACCOUNT_RATE_FACTOR
        account['burst'] *= ACCOUNT_RATE_FACTOR
    return plan


def default_mix(plan: deployment.Plan) -> list[traffic.RequestKind]:
    """Return the usual requests, limited to end soon after the traffic."""
    return [
        kind._replace(time_limit_s=min(kind.time_limit_s, MAX_TIME_LIMIT_S))
        for kind in traffic.request_kinds(plan)
    ]


def find_problems(
    events: list[checking.AnyEvent], run: ScenarioRun, scenario: Scenario
) -> tuple[list[str], dict[str, int]]:
    """Return the problems of a run, including too little traffic, and counts.

    The counts are those of orders, of duplicates, and of results by kind.
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
    minimum = scenario.min_orders_per_s * scenario.duration_s
    if len(orders) < minimum:
        problems.append(
            f'{len(orders)} orders answered, {minimum:.0f} expected'
        )
    if scenario.min_orders_per_s > 0 and counts['sent twice'] < minimum / 10:
        problems.append('too few orders were sent twice')
    for account in run.deployed.plan['client_accounts']:
        minimum = MIN_ACCOUNT_REQUESTS_PER_S * scenario.duration_s
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
        directory, seed, ready_timeout_s=40.0, **scenario.deployment_options
    )
    plan = build_scaled_plan(scenario.example_name)
    for service, count in scenario.servers_by_service.items():
        plan['services'][service]['upstreams'] = count
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        generator = DuplicatingTrafficGenerator(
            deployed,
            seed,
            scenario.mix or default_mix(plan),
        )
        run = ScenarioRun(deployed, generator, seed)
        with contextlib.closing(generator):
            await asyncio.gather(
                generator.run(
                    scenario.duration_s,
                    scenario.load,
                    {run.overloading_account: EXCESSIVE_LOAD},
                ),
                scenario.inject_faults(run),
                send_intrusions(run, scenario.duration_s),
            )
        for vm in run.vms:
            if vm not in run.ended_vms and not deployed.processes.is_running(
                vm
            ):
                log_tail = deployed.processes.read_log_tail(vm)
                run.problems.append(f'{vm} exited unexpectedly:\n{log_tail}')
        facts = deployed.read_facts()
        # Avoids the graceful stops at the end of the deployment, which take
        # several seconds and are not checked.
        for vm in run.vms:
            deployed.processes.kill(vm)
    events = checking.read_history(pathlib.Path(directory) / 'history')
    problems, counts = find_problems(events, run, scenario)
    return Outcome(checking.check_history(events, facts), problems, counts)


def run_scenario(name: str, scenario: Scenario, seed: int) -> Outcome:
    """Run a scenario in a temporary directory of its own."""
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
    """Return the lines of text that describe the result of a run."""
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
    """Base class of tests that run one scenario with one seed."""

    seed = 1

    def check_scenario(self, name: str, scenario: Scenario) -> None:
        """Run a scenario; fail on a broken promise or another problem."""
        outcome = run_scenario(name, scenario, self.seed)
        if outcome.violations or outcome.problems:
            self.fail('\n'.join(format_outcome(outcome)))
