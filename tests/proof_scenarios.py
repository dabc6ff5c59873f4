"""Failure scenarios under which the system's promises are checked, by name.

Each scenario injects failures into a deployment while callers send traffic.
The failures are shorter than in production, but the longest exceed the times
that the system waits: 4 s until evidence expires, 4 s until a silent VM is
removed, and the promised limits of 5 s and 9 s.
"""

import asyncio
import typing

import aiohttp

from filbertstep import checking
from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic
from tests import proof_runs

# A backend server crashes when it runs a request whose path contains this.
CRASH_TEXT: typing.Final = 'boom'

# Backend servers that one such request may crash: two until one VM has counted
# enough strikes to quarantine it, and some more through retries at VMs that
# have not yet learned of these strikes.
MAX_CRASHED_SERVERS: typing.Final = 4

# Used when each backend server is a separate process, to limit the load on
# the machine.
REDUCED_SERVER_COUNTS: typing.Final = {'bookings': 9, 'calibration': 12}

# The usual requests, and some whose responses are too large to be buffered
# and are therefore streamed.
STREAMING_MIX: typing.Final = (
    traffic.RequestKind('bookings', 'GET', '/bookings/items', True, 8.0, 0.55),
    traffic.RequestKind(
        'bookings', 'POST', '/bookings/items', False, 8.0, 0.2
    ),
    traffic.RequestKind(
        'calibration', 'GET', '/calibration/items', True, 8.0, 0.19
    ),
    traffic.RequestKind(
        'calibration',
        'GET',
        '/calibration/items?run_ms=50&bytes=1500000&stream_ms=2000',
        True,
        8.0,
        0.06,
    ),
)

# Takes nearly as long as the longest deadline (10 s).
LONG_STREAM_TARGET: typing.Final = (
    '/calibration/items?run_ms=700&bytes=1500000&stream_ms=9000'
)

# Long requests that are sent before their key is withdrawn.
LONG_STREAM_COUNT: typing.Final = 6

# A withdrawn key must not work for longer than this.
MAX_WITHDRAWAL_DELAY_S: typing.Final = 9.0


async def kill_processes(run: proof_runs.ScenarioRun) -> None:
    """Kill a backend server and a VM with SIGKILL; restart the server."""
    deployed = run.deployed
    await run.sleep(2)
    backend_process = deployed.backend_process_by_server['bookings-2']
    deployed.record_event('killed', name=backend_process)
    deployed.processes.kill(backend_process)
    await run.sleep(1)
    # Spares the first VM, to which a concurrent scenario submits a ticket.
    await run.kill_vm(run.random.choice(run.vms[1:]))
    await run.sleep(4)
    deployed.start_backend_process(backend_process)


async def crash_backend_servers(run: proof_runs.ScenarioRun) -> None:
    """Repeat a request that crashes each backend server that runs it."""
    deployed = run.deployed
    await run.sleep(2)
    key = deployed.keys[0]
    urls = [deployed.node_urls[vm].callers for vm in run.vms]
    statuses: list[int] = []
    for number in range(20):
        url = urls[number % len(urls)]
        request_id = f'crash-{number}'
        status = await send_crashing_request(run, url, key, request_id)
        statuses.append(status)
        await run.sleep(0.3)
    run.history_checks.append(check_crash_count)
    if 429 not in statuses:
        run.problems.append(f'the request was never quarantined: {statuses}')


async def send_crashing_request(
    run: proof_runs.ScenarioRun,
    url: str,
    key: deployment.IssuedKey,
    request_id: str,
) -> int:
    """Send the request that crashes servers once.

    Returns the HTTP status, or 0 if the VM did not respond.
    """
    session = run.deployed.session
    assert session is not None
    vm = next(
        name
        for name, urls in run.deployed.node_urls.items()
        if urls.callers == url
    )
    run.traffic.history_writer.write(
        'sent',
        request_id=request_id,
        family=request_id,
        account=key.client_account,
        key_name=key.name,
        vm=vm,
        service='bookings',
        method='GET',
        idempotent=True,
        body_digest='',
    )
    headers = {
        'Authorization': f'Bearer {key.secret}',
        'X-Request-Id': request_id,
    }
    try:
        async with session.get(
            f'{url}/bookings/{CRASH_TEXT}', headers=headers
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        # The scenario has killed the VM.
        return 0


def check_crash_count(events: list[checking.AnyEvent]) -> list[str]:
    """Return a problem if no servers or too many servers crashed."""
    count = sum(event['event'] == 'crash' for event in events)
    if 1 <= count <= MAX_CRASHED_SERVERS:
        return []
    return [f'{count} servers crashed']


async def crash_and_kill(run: proof_runs.ScenarioRun) -> None:
    """Kill processes, crash servers and withdraw a key at the same time."""
    await asyncio.gather(
        crash_backend_servers(run),
        kill_processes(run),
        withdraw_key_during_responses(run),
    )


async def suspend_vm(run: proof_runs.ScenarioRun) -> None:
    """Suspend a VM until its evidence has expired.

    Meanwhile a key is withdrawn and a region is drained.
    """
    deployed = run.deployed
    vm = run.random.choice(run.vms)
    other = next(name for name in run.vms if name != vm)
    await run.sleep(2)
    deployed.suspend_process(vm)
    await asyncio.gather(
        run.sleep(10), withdraw_key_and_drain_region(run, other)
    )
    deployed.resume_process(vm)


async def withdraw_key_and_drain_region(
    run: proof_runs.ScenarioRun, vm: str
) -> None:
    """Withdraw a key, then drain a region, which shifts traffic."""
    await run.sleep(0.5)
    await run.withdraw_key(run.key_to_withdraw(), vm)
    await run.drain('region', 'burnie', vm)


async def suspend_each_vm(run: proof_runs.ScenarioRun) -> None:
    """Suspend each VM in turn, some beyond the lifetime of evidence."""
    for vm in run.vms:
        run.deployed.suspend_process(vm)
        await run.sleep(run.random.choice((0.7, 3.0, 4.5)))
        run.deployed.resume_process(vm)
        await run.sleep(0.3)


async def partition_vm(run: proof_runs.ScenarioRun) -> None:
    """Partition a VM from the store, then from its peers, then from both."""
    deployed = run.deployed
    vm = run.random.choice(run.vms)
    others = [name for name in run.vms if name != vm]
    await run.sleep(1)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await set_peer_links(run, vm, others, 'hold')
    await run.sleep(5)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await set_peer_links(run, vm, others, 'open')
    # Leaves some traffic after the VM has reconnected.
    await run.sleep(2)


async def set_peer_links(
    run: proof_runs.ScenarioRun, vm: str, others: list[str], state: str
) -> None:
    """Set the state of the links between a VM and its peers, both ways.

    ``state`` is 'hold' for a partition and 'open' to end it.
    """
    await run.deployed.partition_vms([vm], others, state)
    await run.deployed.partition_vms(others, [vm], state)


async def partition_one_region(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while a region is partitioned from the others."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.withdraw_key(run.key_to_withdraw(), run.vms_outside(region)[0])
    # Withdrawals must apply everywhere within 9 s.  The partition
    # lasts longer than that.
    await run.sleep(8)
    await run.deployed.partition_region(region, 'open')


async def partition_store_region(run: proof_runs.ScenarioRun) -> None:
    """Partition the region of the store from the others for 9 s."""
    region = run.deployed.plan['store_region']
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.sleep(9)
    await run.deployed.partition_region(region, 'open')


async def partition_vm_and_region(run: proof_runs.ScenarioRun) -> None:
    """Partition a VM from the store, then a region, and withdraw a key."""
    vm, ticket_vm = run.random.sample(run.vms_outside('burnie'), 2)
    await run.sleep(1)
    await run.deployed.partition_store(vm, 'reset')
    await run.sleep(3)
    await run.deployed.partition_region('burnie')
    await run.withdraw_key(run.key_to_withdraw(), ticket_vm)
    await run.sleep(3)
    await run.deployed.partition_store(vm, 'open')
    await run.deployed.partition_region('burnie', 'open')


async def kill_vms_in_store_outage(run: proof_runs.ScenarioRun) -> None:
    """Restart a killed VM, then kill another one, while the store is down."""
    restarted_vm, killed_vm = run.random.sample(run.vms, 2)
    await run.sleep(2)
    await run.kill_vm(restarted_vm)
    await run.sleep(1)
    await run.configure_store(down=True)
    await run.deployed.start_node(restarted_vm)
    run.ended_vms.discard(restarted_vm)
    await run.sleep(4)
    await run.kill_vm(killed_vm)
    await run.sleep(8)
    await run.configure_store(down=False)
    run.history_checks.append(
        lambda events: check_served_again(events, restarted_vm)
    )


async def submit_tickets_with_store_faults(
    run: proof_runs.ScenarioRun,
) -> None:
    """Submit competing tickets, then fail the store, then lose responses."""
    await submit_competing_tickets(run, rounds=1)
    await kill_vms_in_store_outage(run)
    await lose_store_responses(run)


def check_served_again(events: list[checking.AnyEvent], vm: str) -> list[str]:
    """Return a problem unless a restarted VM placed requests."""
    incarnations = {
        event['incarnation']
        for event in events
        if event['process'] == vm and event['event'] == 'placed'
    }
    return [] if len(incarnations) > 1 else [f'{vm} did not serve again']


async def delay_store(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while the store is slow."""
    await run.configure_store(delay_s=0.7)
    await run.sleep(2)
    await run.withdraw_key(run.key_to_withdraw(), run.vms[1])
    await run.sleep(3)
    await run.configure_store(delay_s=0.0)


async def lose_store_responses(run: proof_runs.ScenarioRun) -> None:
    """Change the configuration while responses to store writes are lost.

    The writes themselves take effect.
    """
    await run.sleep(2)
    await run.configure_store(lose_answers=1)
    # Submits tickets only to running VMs: an earlier store outage scenario
    # may have killed some.
    first, second = run.running_vms()[1:3]
    await run.withdraw_key(run.key_to_withdraw(), first)
    await run.configure_store(lose_answer_probability=0.5)
    await run.drain('backend_server', 'bookings-3', second)
    await run.configure_store(lose_answer_probability=0.0)


async def submit_competing_tickets(
    run: proof_runs.ScenarioRun, rounds: int = 3
) -> None:
    """Let two operators submit different tickets with the same number."""
    deployed = run.deployed
    for round_number in range(rounds):
        number = deployed.next_ticket_number
        tickets = [
            build_key_ticket(run, number, f'race-{round_number}-{side}')
            for side in range(2)
        ]
        vms = run.random.sample(run.vms, 2)
        results = await asyncio.gather(
            *(
                submit_until_decided(run, ticket, vm)
                for ticket, vm in zip(tickets, vms, strict=True)
            )
        )
        winners = [
            index for index, is_accepted in enumerate(results) if is_accepted
        ]
        if len(winners) != 1:
            run.problems.append(f'{len(winners)} accepted tickets {number}')
            return
        # Repeating a ticket has the same outcome at every VM.
        accepted = tickets[winners[0]]
        if not await submit_until_decided(
            run, accepted, run.random.choice(run.vms)
        ):
            run.problems.append(f'ticket {number} was refused when repeated')
        if await submit_until_decided(run, tickets[1 - winners[0]], vms[0]):
            run.problems.append(
                f'ticket {number} was accepted for both operators'
            )
        await deployed.wait_for_ticket_state(number, 'accepted', vms[0], 30.0)
        deployed.next_ticket_number += 1


def build_key_ticket(
    run: proof_runs.ScenarioRun, number: int, name: str
) -> deployment.Ticket:
    """Return a ticket that issues a key that no caller uses."""
    account = run.deployed.keys[0].client_account
    key = deployment.generate_key(account, name, number)
    state = {'client_account': account, 'digest': key.digest()}
    return {
        'number': number,
        'author': name,
        'changes': [
            deployment.make_change(config.EntityKind.KEY, name, state)
        ],
    }


async def submit_until_decided(
    run: proof_runs.ScenarioRun, ticket: deployment.Ticket, vm: str
) -> bool:
    """Submit a ticket until it is decided.

    Returns whether it was accepted.  Raises DeploymentError if it is still
    undecided after 60 attempts.
    """
    for _ in range(60):
        status, _ = await run.deployed.submit_ticket(ticket, vm)
        if status < 300:
            return True
        if status == 409:
            return False
        await run.sleep(0.25)
    raise deployment.DeploymentError(f'ticket {ticket["number"]} undecided')


async def submit_competing_tickets_with_lost_responses(
    run: proof_runs.ScenarioRun,
) -> None:
    """Submit competing tickets while responses of the store are lost."""
    await run.configure_store(lose_answer_probability=0.2)
    await submit_competing_tickets(run)
    await run.configure_store(lose_answer_probability=0.0)
    await lose_store_responses(run)


async def falsify_load_reports_and_fill_slots(
    run: proof_runs.ScenarioRun,
) -> None:
    """Falsify load reports, slow servers until slots are full, kill a VM.

    The other VMs take over the slots and loans of the killed VM.
    """
    await falsify_load_reports(run)
    await run.sleep(2)
    for name, server in run.deployed.servers.items():
        if server.service == 'bookings':
            await run.deployed.configure_backend_server(name, mean_ms=1200.0)
    await run.sleep(3)
    await run.kill_vm(run.random.choice(run.vms))
    run.history_checks.append(lambda events: check_slots_filled(run, events))


async def falsify_load_reports(run: proof_runs.ScenarioRun) -> None:
    """Delay all load reports by 30 s; let a third of the servers report 0."""
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(name, load_lag_s=30.0)
    for name in list(run.deployed.servers)[::3]:
        await run.deployed.configure_backend_server(name, reported_load=0.0)


def check_slots_filled(
    run: proof_runs.ScenarioRun, events: list[checking.AnyEvent]
) -> list[str]:
    """Return a problem unless most servers had all slots in use at a time."""
    service = run.deployed.plan['services']['bookings']
    full_servers = {
        event['server']
        for event in events
        if event['event'] == 'begin'
        and event['service'] == 'bookings'
        and event['running'] >= service['slots']
    }
    if 2 * len(full_servers) > service['upstreams']:
        return []
    return [f'only {len(full_servers)} servers had all slots in use']


async def withdraw_key_during_responses(
    run: proof_runs.ScenarioRun, expect_cancelled: bool = True
) -> None:
    """Withdraw a key while long responses to its requests are read.

    With ``expect_cancelled``, at least one running response must be
    cancelled.  Otherwise all requests may still wait for a slot.
    """
    await run.sleep(3)
    key = run.key_to_withdraw()
    source = next(
        source for source in run.traffic.sources(0.0, {}) if source.key == key
    )
    client = traffic.RecordingClient(source, run.traffic.history_writer, 1)
    client.attempt_timeout_s = 14.0
    async with client:
        calls = [
            asyncio.ensure_future(
                client.call(
                    'calibration', 'GET', LONG_STREAM_TARGET, deadline_s=14.0
                )
            )
            for _ in range(LONG_STREAM_COUNT)
        ]
        await run.sleep(0.3)
        await run.withdraw_key(key, run.vms[0])
        await asyncio.gather(*calls)
    run.history_checks.append(
        lambda events: check_streams_ended(events, key, expect_cancelled)
    )


async def withdraw_key_of_queued_requests(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while most of its requests wait for a slot."""
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=2500.0)
    # Servers are slow, so most long requests still wait for a slot when their
    # key is withdrawn.
    await withdraw_key_during_responses(run, expect_cancelled=False)


def check_streams_ended(
    events: list[checking.AnyEvent],
    key: deployment.IssuedKey,
    expect_cancelled: bool,
) -> list[str]:
    """Return a problem for each response that outlived its withdrawn key.

    With ``expect_cancelled``, also returns one if no running response was
    cancelled.
    """
    key_request_ids = {
        event['request_id']
        for event in events
        if event['event'] == 'sent' and event['key_name'] == key.name
    }
    withdrawn_at = next(
        event['t']
        for event in events
        if event['event'] == 'ticket_committed' and event['number'] == 2
    )
    end_events = [
        event
        for event in events
        if event['event'] in ('end', 'cancel')
        and event['request_id'] in key_request_ids
    ]
    problems = [
        f'a response to {key.name} ended {delay_s:.1f} s after the withdrawal'
        for event in end_events
        if (delay_s := event['t'] - withdrawn_at) > MAX_WITHDRAWAL_DELAY_S
    ]
    if expect_cancelled and not any(
        event['event'] == 'cancel' and event['t'] > withdrawn_at
        for event in end_events
    ):
        problems.append(f'no running response to {key.name} was cancelled')
    return problems


async def mismatch_and_truncate_responses(
    run: proof_runs.ScenarioRun, probability: float = 0.05
) -> None:
    """Let backend servers mismatch and truncate some responses.

    A mismatched response answers an earlier request.
    """
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(
            name, crossed_probability=probability, cut_probability=probability
        )
    run.history_checks.append(check_faulty_responses)


def check_faulty_responses(events: list[checking.AnyEvent]) -> list[str]:
    """Return problems unless responses were mismatched and truncated."""
    return [
        f'no response was {name}'
        for name in ('crossed', 'cut')
        if not any(event['event'] == name for event in events)
    ]


async def withdraw_key_with_faulty_responses(
    run: proof_runs.ScenarioRun,
) -> None:
    """Withdraw a key while responses are mismatched or truncated."""
    await mismatch_and_truncate_responses(run)
    await withdraw_key_during_responses(run)


async def stop_vm_and_drain(run: proof_runs.ScenarioRun) -> None:
    """Stop a VM and drain a region and a server while the store is slow."""
    vm = run.random.choice(run.vms)
    other_vms = [name for name in run.vms if name != vm]
    await run.configure_store(delay_s=0.5)
    # Slow requests, so that several are in progress when the VM stops.
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=800.0)
    await run.sleep(2.5)
    await asyncio.gather(
        run.stop_vm(vm), drain_region_and_server(run, other_vms[0])
    )
    await run.configure_store(delay_s=0.0)


async def stop_vm_with_faulty_responses(run: proof_runs.ScenarioRun) -> None:
    """Stop a VM and drain while responses and load reports are faulty."""
    await mismatch_and_truncate_responses(run, 0.02)
    await falsify_load_reports(run)
    await stop_vm_and_drain(run)


async def drain_region_and_server(
    run: proof_runs.ScenarioRun, vm: str
) -> None:
    """Drain a region, then a backend server in another region."""
    await run.drain('region', 'launceston', vm)
    await run.drain('backend_server', 'bookings-1', vm)


async def set_servers_draining(run: proof_runs.ScenarioRun) -> None:
    """Let four backend servers report in turn that they are draining."""
    for name in list(run.deployed.servers)[:4]:
        await run.sleep(1)
        await run.deployed.configure_backend_server(name, draining=True)


async def kill_one_region(run: proof_runs.ScenarioRun) -> None:
    """Kill all VMs and backend servers of a region."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(3)
    run.ended_vms.update(run.vms_inside(region))
    await run.deployed.kill_region(region)


async def kill_servers_of_region(run: proof_runs.ScenarioRun) -> None:
    """Kill the backend servers of a region, but not its VMs."""
    region = run.random.choice(['launceston', 'burnie'])
    backend_process = f'backends-{region}'
    await run.sleep(3)
    run.deployed.record_event('killed', name=backend_process)
    run.deployed.processes.kill(backend_process)
    run.history_checks.append(
        lambda events: check_requests_moved(
            events, run.vms_inside(region), backend_process
        )
    )


def check_requests_moved(
    events: list[checking.AnyEvent], vms: list[str], backend_process: str
) -> list[str]:
    """Return a problem for each VM that moved no request after the kill.

    A moved request is one that was placed in another region.
    """
    killed_at = next(
        event['t']
        for event in events
        if event['event'] == 'killed' and event['name'] == backend_process
    )
    moving_vms = {
        event['process']
        for event in events
        if event['event'] == 'placed'
        and event['moved']
        and event['t'] > killed_at
    }
    return [f'{vm} moved no request' for vm in vms if vm not in moving_vms]


SEPARATE_BACKENDS: typing.Final = {
    'separate_backends': True,
    'crash_text': CRASH_TEXT,
}
WITH_RELAYS: typing.Final = {'relays': True}

Scenario = proof_runs.Scenario

SCENARIOS: typing.Final[dict[str, proof_runs.Scenario]] = {
    'crash_and_kill': Scenario(
        crash_and_kill,
        15.0,
        deployment_options=SEPARATE_BACKENDS,
        servers_by_service=REDUCED_SERVER_COUNTS,
        mix=STREAMING_MIX,
    ),
    'kill': Scenario(
        kill_processes,
        15.0,
        deployment_options=SEPARATE_BACKENDS,
        servers_by_service=REDUCED_SERVER_COUNTS,
    ),
    'crash': Scenario(
        crash_backend_servers,
        15.0,
        deployment_options=SEPARATE_BACKENDS,
        servers_by_service=REDUCED_SERVER_COUNTS,
    ),
    'freeze': Scenario(suspend_vm, 16.0),
    'freeze_each': Scenario(suspend_each_vm, 25.0),
    'cut_vm': Scenario(partition_vm, 20.0, deployment_options=WITH_RELAYS),
    'cut_region': Scenario(
        partition_one_region, 24.0, deployment_options=WITH_RELAYS
    ),
    'cut_store_region': Scenario(
        partition_store_region, 20.0, deployment_options=WITH_RELAYS
    ),
    'cut_vm_and_region': Scenario(
        partition_vm_and_region, 16.0, deployment_options=WITH_RELAYS
    ),
    'store_down': Scenario(kill_vms_in_store_outage, 18.0),
    'store_and_tickets': Scenario(submit_tickets_with_store_faults, 24.0),
    'store_slow': Scenario(delay_store, 15.0),
    'lost_answers': Scenario(lose_store_responses, 15.0),
    'race': Scenario(submit_competing_tickets, 12.0),
    'tickets': Scenario(submit_competing_tickets_with_lost_responses, 18.0),
    'false_reports': Scenario(
        falsify_load_reports_and_fill_slots, 15.0, min_orders_per_s=1.0
    ),
    'withdrawal': Scenario(
        withdraw_key_of_queued_requests,
        16.0,
        mix=STREAMING_MIX,
    ),
    'crossed': Scenario(mismatch_and_truncate_responses, 12.0),
    'answers': Scenario(
        withdraw_key_with_faulty_responses,
        16.0,
        mix=STREAMING_MIX,
    ),
    'stops': Scenario(stop_vm_and_drain, 18.0, mix=STREAMING_MIX),
    'stops_and_answers': Scenario(
        stop_vm_with_faulty_responses,
        18.0,
        mix=STREAMING_MIX,
    ),
    'server_drains': Scenario(set_servers_draining, 14.0),
    'servers_gone': Scenario(kill_servers_of_region, 24.0),
    'region_gone': Scenario(kill_one_region, 18.0),
}
