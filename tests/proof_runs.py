"""Runs of a whole deployment under failures, whose histories are checked.

A scenario is a coroutine that disturbs a deployment while callers send
traffic.  One client account sends several times its rate, and some callers
send their orders twice at once.  Rates are a part of the example's, so that
several processes can share a small machine.
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

# Part of the example's rates, and of those rates that each account offers.
RATE_FACTOR: typing.Final = 0.4
LOAD: typing.Final = 0.3
GREEDY_FACTOR: typing.Final = 4.0

# Part of the orders that are sent a second time while the first is under way,
# and the longest time in seconds between the two.
DOUBLE_SHARE: typing.Final = 0.3
DOUBLE_PAUSE_S: typing.Final = 0.5

# Tries of one request; more would only repeat refusals for the rate.
MAX_ATTEMPTS: typing.Final = 6

# Part of the example's shift caps.  At most a third of the traffic moves when
# a region is gone, which the caps of the example would hardly hold back.
CAP_FACTOR: typing.Final = 0.4

# Longest time in seconds for which a caller goes on.
LONGEST_LIMIT_S: typing.Final = 6.0

# Least numbers of a run that is not vacuous, by second of traffic: answered
# orders in all, answered requests of each account that is not disturbed.
ORDERS_PER_S: typing.Final = 2.0
ACCOUNT_PER_S: typing.Final = 0.3

# Service that intruders ask for, pause in seconds between two of them, and the
# time in seconds that they wait.
SERVICE: typing.Final = 'bookings'
INTRUSION_GAP_S: typing.Final = 0.2
INTRUSION_LIMIT_S: typing.Final = 2.0

# Environment variable with a directory that keeps the files of runs.
KEEP_VARIABLE: typing.Final = 'FILBERTSTEP_KEEP_RUNS'

Disturb = collections.abc.Callable[
    ['Run'], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Scenario(typing.NamedTuple):
    """A failure, and what the deployment needs for it.

    ``spared`` are the accounts that must not be starved, by default all.
    """

    disturb: Disturb
    seconds: float = 15.0
    example: str = 'huon-burr'
    options: dict[str, typing.Any] = {}
    load: float = LOAD
    mix: tuple[traffic.RequestKind, ...] = ()
    upstreams: dict[str, int] = {}
    orders_per_s: float = ORDERS_PER_S


class Outcome(typing.NamedTuple):
    """What a run showed; ``faults`` says how it was vacuous."""

    violations: list[checking.Violation]
    faults: list[str]
    counts: dict[str, int]


class DoublingClient(traffic.RecordingClient):
    """A caller that sends some orders to two VMs at once."""

    def __init__(
        self,
        source: traffic.TrafficSource,
        writer: checking.HistoryWriter,
        seed: int,
    ) -> None:
        super().__init__(source, writer, seed)
        self.max_attempts = MAX_ATTEMPTS

    async def attempt(
        self, progress: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> caller.AttemptResponse:
        """Try once, and now and then send a second copy elsewhere."""
        doubled = (
            not progress.request.idempotent
            and not progress.ask_outcome
            and self.random.random() < DOUBLE_SHARE
        )
        if not doubled:
            return await super().attempt(progress, vm)
        first = asyncio.ensure_future(super().attempt(progress, vm))
        # Lets the first copy choose the request id of both.
        await asyncio.sleep(0)
        copy = dataclasses.replace(
            progress, request_ids=list(progress.request_ids)
        )
        second = asyncio.ensure_future(self.send_copy(copy, vm))
        try:
            reply = await first
        finally:
            first.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await second
        # The copy may still run after the first one was refused.
        if copy.id_may_run:
            progress.id_may_run = True
        return reply

    async def send_copy(
        self, copy: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> None:
        """Send a copy of an order, to another VM if there is one."""
        await asyncio.sleep(self.random.uniform(0, DOUBLE_PAUSE_S))
        vms = await self.current_vms(copy.request.service)
        others = [one for one in vms if one['vm'] != vm['vm']]
        target = self.random.choice([*others, vm])
        await super().attempt(copy, target)


class ProofTraffic(traffic.TrafficGenerator):
    """Callers of which some send orders twice."""

    client_class = DoublingClient


class Run:
    """A deployment with traffic, as a scenario sees it."""

    def __init__(
        self, deployed: deployment.Deployment, callers: ProofTraffic, seed: int
    ) -> None:
        self.deployed = deployed
        self.callers = callers
        self.random = random.Random(f'scenario/{seed}')
        # Drawn by time; its own, so that a seed fixes what a scenario draws.
        self.intruder_random = random.Random(f'intruder/{seed}')
        plan = deployed.plan
        self.greedy = min(
            plan['client_accounts'],
            key=lambda name: plan['client_accounts'][name]['rate'],
        )
        self.vms = sorted(deployed.vms)
        # Things that a scenario found missing, and accounts that it disturbs.
        self.faults: list[str] = []
        self.disturbed: set[str] = set()
        # What must hold of the whole history.
        self.conditions: list[
            collections.abc.Callable[[list[checking.AnyEvent]], list[str]]
        ] = []
        # Processes that must still run at the end are those not ended here.
        self.ended: set[str] = set()

    async def sleep(self, seconds: float) -> None:
        """Let traffic run."""
        await asyncio.sleep(seconds)

    def outside(self, region: str) -> list[str]:
        """Return the VMs that are not in a region."""
        vms = self.deployed.vms
        return [name for name in self.vms if vms[name].region != region]

    def inside(self, region: str) -> list[str]:
        """Return the VMs of a region."""
        return [name for name in self.vms if name not in self.outside(region)]

    def running(self) -> list[str]:
        """Return the VMs that the scenario has not ended, in order."""
        return [name for name in self.vms if name not in self.ended]

    async def kill(self, vm: str) -> None:
        """Kill a VM."""
        self.ended.add(vm)
        await self.deployed.kill_node(vm)

    async def stop(self, vm: str) -> None:
        """Stop a VM as planned; it must end with status 0."""
        self.ended.add(vm)
        await self.deployed.stop_node(vm)
        status = self.deployed.processes.exit_status(vm)
        if status != 0:
            self.faults.append(f'{vm} ended with status {status}')

    async def store(self, **faults: object) -> None:
        """Change the faults of the store."""
        await self.deployed.configure_standin('store', faults)

    def victim(self) -> deployment.IssuedKey:
        """Return a key to withdraw, which has callers."""
        account = sorted(self.deployed.plan['client_accounts'])[2]
        self.disturbed.add(account)
        return next(
            key for key in self.deployed.keys if key.client_account == account
        )

    async def withdraw(
        self, key: deployment.IssuedKey, vm: str, timeout_s: float = 60.0
    ) -> None:
        """Withdraw a key, which must have worked and stop working."""
        self.conditions.append(lambda events: withdrawal_seen(events, key))
        await self.deployed.submit_changes(
            [deployment.make_change(config.EntityKind.KEY, key.name, None)],
            vm,
            timeout_s,
        )

    async def drain(self, kind: str, target: str, vm: str) -> None:
        """Drain a backend server or a region."""
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
    """A request that must not run, or not as it claims.

    ``authorization``, ``query``, ``body`` and ``cookie`` are built from the
    key of an account; ``key_name`` is what the history says of it.
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


async def intrude(run: Run, seconds: float) -> None:
    """Send requests without a right key, or with keys in wrong places."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    number = 0
    while loop.time() < end:
        intrusion = INTRUSIONS[number % len(INTRUSIONS)]
        number += 1
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await send_intrusion(run, intrusion, f'intrusion-{number}')
        await asyncio.sleep(INTRUSION_GAP_S)


async def send_intrusion(
    run: Run, intrusion: Intrusion, request_id: str
) -> None:
    """Send one intrusion to a random VM."""
    keys = run.deployed.keys
    key, other = keys[0], keys[1]
    vm = run.intruder_random.choice(run.vms)
    values = {
        'key': key.secret,
        'half': key.secret[: len(key.secret) // 2],
        'other': other.client_account,
    }
    run.callers.history_writer.write(
        'sent',
        request_id=request_id,
        family=request_id,
        account=key.client_account if intrusion.keyed else '',
        key_name=key.name if intrusion.keyed else '',
        vm=vm,
        service=SERVICE,
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
        f'{url}/{SERVICE}/items{intrusion.query.format(**values)}',
        headers=headers,
        data=intrusion.body.format(**values) or None,
        timeout=aiohttp.ClientTimeout(total=INTRUSION_LIMIT_S),
    ) as answer:
        await answer.read()


def withdrawal_seen(
    events: list[checking.AnyEvent], key: deployment.IssuedKey
) -> list[str]:
    """Return what is missing for the withdrawal of a key to prove much."""
    answers = [
        event
        for event in events
        if event['event'] == 'answered' and event['key_name'] == key.name
    ]
    found = []
    if not any(event['ran'] == 'yes' for event in answers):
        found.append(f'{key.name} never worked')
    if not any(event['kind'] == 'unauthorized' for event in answers):
        found.append(f'{key.name} was never refused')
    return found


def scaled_plan(example: str) -> deployment.Plan:
    """Return an example with lower rates and tighter shift caps."""
    plan = deployment.load_plan(example)
    for service in plan['services'].values():
        service['shift_cap']['max_share'] *= CAP_FACTOR
    for account in plan['client_accounts'].values():
        account['rate'] *= RATE_FACTOR
        account['burst'] *= RATE_FACTOR
    return plan


def mix(plan: deployment.Plan) -> list[traffic.RequestKind]:
    """Return the usual mix, with callers that end soon after the traffic."""
    return [
        kind._replace(time_limit_s=min(kind.time_limit_s, LONGEST_LIMIT_S))
        for kind in traffic.request_kinds(plan)
    ]


def vacuous(
    events: list[checking.AnyEvent], run: Run, scenario: Scenario
) -> tuple[list[str], dict[str, int]]:
    """Return what a run lacks, and its counts."""
    orders: set[str] = set()
    accounts: collections.Counter[str] = collections.Counter()
    double: collections.Counter[str] = collections.Counter()
    kinds: collections.Counter[str] = collections.Counter()
    for event in events:
        if event['event'] == 'sent' and not event['idempotent']:
            double[event['request_id']] += 1
        if event['event'] != 'answered':
            continue
        kinds[event['kind'] or str(event['status'])] += 1
        if event['status'] == 200 and event['complete']:
            accounts[event['account']] += 1
            if not event['idempotent']:
                orders.add(event['family'])
    counts = {
        'orders': len(orders),
        'sent twice': sum(count > 1 for count in double.values()),
        **dict(sorted(kinds.items())),
    }
    found = list(run.faults)
    for condition in run.conditions:
        found.extend(condition(events))
    least = scenario.orders_per_s * scenario.seconds
    if len(orders) < least:
        found.append(f'{len(orders)} orders answered, {least:.0f} expected')
    if scenario.orders_per_s > 0 and counts['sent twice'] < least / 10:
        found.append('hardly an order was sent twice')
    for account in run.deployed.plan['client_accounts']:
        least = ACCOUNT_PER_S * scenario.seconds
        if account not in run.disturbed and accounts[account] < least:
            found.append(f'{account}: {accounts[account]} requests answered')
    return found, counts


async def execute(scenario: Scenario, seed: int, directory: str) -> Outcome:
    """Run a scenario and check its history."""
    options = deployment.Options(
        directory, seed, ready_timeout_s=40.0, **scenario.options
    )
    plan = scaled_plan(scenario.example)
    for service, count in scenario.upstreams.items():
        plan['services'][service]['upstreams'] = count
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        callers = ProofTraffic(deployed, seed, scenario.mix or mix(plan))
        run = Run(deployed, callers, seed)
        with contextlib.closing(callers):
            await asyncio.gather(
                callers.run(
                    scenario.seconds,
                    scenario.load,
                    {run.greedy: GREEDY_FACTOR},
                ),
                scenario.disturb(run),
                intrude(run, scenario.seconds),
            )
        for vm in run.vms:
            if vm not in run.ended and not deployed.processes.is_running(vm):
                tail = deployed.processes.read_log_tail(vm)
                run.faults.append(f'{vm} has ended:\n{tail}')
        facts = deployed.read_facts()
        # Nobody needs the planned stops that the end of the deployment would
        # begin, and they take several seconds.
        for vm in run.vms:
            deployed.processes.kill(vm)
    events = checking.read_history(pathlib.Path(directory) / 'history')
    faults, counts = vacuous(events, run, scenario)
    return Outcome(checking.check_history(events, facts), faults, counts)


def run_scenario(name: str, scenario: Scenario, seed: int) -> Outcome:
    """Run a scenario in a directory of its own."""
    with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
        outcome = uvloop.run(execute(scenario, seed, directory))
        kept = os.environ.get(KEEP_VARIABLE)
        if kept:
            shutil.copytree(
                directory, f'{kept}/{name}-{seed}', dirs_exist_ok=True
            )
    return outcome


def lines(outcome: Outcome, most: int = 20) -> list[str]:
    """Return what a run showed as text."""
    made = [
        f'{row.promise} at {row.time_s:.3f}: {row.description}'
        for row in outcome.violations
    ]
    return [*made[:most], *outcome.faults, str(outcome.counts)]


class ProofCase(unittest.TestCase):
    """Runs one scenario with one seed."""

    seed = 1

    def prove(self, name: str, scenario: Scenario) -> None:
        """Fail with what a run violates or lacks."""
        outcome = run_scenario(name, scenario, self.seed)
        if outcome.violations or outcome.faults:
            self.fail('\n'.join(lines(outcome)))
