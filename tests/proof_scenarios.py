"""Fault injection scenarios under which the system's promises are checked.

Each scenario injects faults into a deployment while callers send traffic.  The
times in seconds are short compared with production, but exceed the timeouts of
the system: evidence (4 s), removal of a silent VM (4 s), and the bounds of 5 s
and 9 s.
"""

import asyncio
import typing

import aiohttp

from filbertstep import checking
from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic
from tests import proof_runs

# A backend server crashes when it runs a request with this text in its path.
CRASH_TEXT: typing.Final = 'boom'

# Servers that one such request may crash before it is quarantined: two strikes
# at one VM, and resends to other VMs before these learn of the strikes.
MAX_CRASHES: typing.Final = 4

# Fewer servers when each is a process, to limit the load on the machine.
REDUCED_SERVER_COUNTS: typing.Final = {'bookings': 9, 'calibration': 12}

# Default mix with some answers too large to be buffered, which are streamed.
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
# Long answers in progress when their key is withdrawn.
LONG_STREAM_COUNT: typing.Final = 6

# A withdrawn key must not work any longer than this.
WITHDRAWAL_BOUND_S: typing.Final = 9.0


async def kill_processes(run: proof_runs.ScenarioRun) -> None:
    """Kill a backend server and a VM with SIGKILL; restart the server."""
    deployed = run.deployed
    await run.sleep(2)
    process = deployed.backend_process_by_server['bookings-2']
    deployed.record_event('killed', name=process)
    deployed.processes.kill(process)
    await run.sleep(1)
    # Spare the first VM, which operators use meanwhile.
    await run.kill_vm(run.random.choice(run.vms[1:]))
    await run.sleep(4)
    deployed.start_backend_process(process)


async def crash_servers(run: proof_runs.ScenarioRun) -> None:
    """Resend a request that crashes each backend server that runs it.

    The request must be quarantined, which is answered with status 429.
    """
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
    """Send the crashing request once; return the status, 0 for none."""
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
        # The VM was killed.
        return 0


def check_crash_count(events: list[checking.AnyEvent]) -> list[str]:
    """Return a problem if no server or too many servers crashed."""
    count = sum(event['event'] == 'crash' for event in events)
    if 1 <= count <= MAX_CRASHES:
        return []
    return [f'{count} servers crashed']


async def crash_and_kill(run: proof_runs.ScenarioRun) -> None:
    """Run both at once, and withdraw a key whose answers are being read."""
    await asyncio.gather(
        crash_servers(run), kill_processes(run), withdraw_from_connected(run)
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
    """Withdraw a key, then drain a region."""
    await run.sleep(0.5)
    await run.withdraw_key(run.key_to_withdraw(), vm)
    await run.drain('region', 'burnie', vm)


async def suspend_each_vm(run: proof_runs.ScenarioRun) -> None:
    """Suspend each VM in turn, for less or more than evidence is valid."""
    for vm in run.vms:
        run.deployed.suspend_process(vm)
        await run.sleep(run.random.choice((0.7, 3.0, 4.5)))
        run.deployed.resume_process(vm)
        await run.sleep(0.3)


async def cut_vm(run: proof_runs.ScenarioRun) -> None:
    """Partition a VM from the store, then from its peers, then from both."""
    deployed = run.deployed
    vm = run.random.choice(run.vms)
    others = [name for name in run.vms if name != vm]
    await run.sleep(1)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await partition_from_peers(run, vm, others, 'hold')
    await run.sleep(5)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await partition_from_peers(run, vm, others, 'open')
    # Leave some traffic after the VM has reconnected.
    await run.sleep(2)


async def partition_from_peers(
    run: proof_runs.ScenarioRun, vm: str, others: list[str], state: str
) -> None:
    """Set the state of the links between a VM and its peers, both ways."""
    await run.deployed.partition_vms([vm], others, state)
    await run.deployed.partition_vms(others, [vm], state)


async def cut_region(run: proof_runs.ScenarioRun) -> None:
    """Partition a region from the others and withdraw a key meanwhile."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.withdraw_key(run.key_to_withdraw(), run.vms_outside(region)[0])
    # The partition must outlast the bound of 9 s after the withdrawal.
    await run.sleep(8)
    await run.deployed.partition_region(region, 'open')


async def cut_store_region(run: proof_runs.ScenarioRun) -> None:
    """Partition the region of the store from the others, then heal it."""
    region = run.deployed.plan['store_region']
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.sleep(9)
    await run.deployed.partition_region(region, 'open')


async def cut_vm_and_region(run: proof_runs.ScenarioRun) -> None:
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


async def store_down(run: proof_runs.ScenarioRun) -> None:
    """Kill a VM while the store is down, and restart one killed before."""
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


async def store_and_tickets(run: proof_runs.ScenarioRun) -> None:
    """Submit competing tickets, then a store outage, then lost answers."""
    await submit_competing_tickets(run, rounds=1)
    await store_down(run)
    await store_loses_answers(run)


def check_served_again(events: list[checking.AnyEvent], vm: str) -> list[str]:
    """Return a problem unless a VM's restarted process placed requests."""
    incarnations = {
        event['incarnation']
        for event in events
        if event['process'] == vm and event['event'] == 'placed'
    }
    return [] if len(incarnations) > 1 else [f'{vm} did not serve again']


async def store_slow(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while the store answers slowly."""
    await run.configure_store(delay_s=0.7)
    await run.sleep(2)
    await run.withdraw_key(run.key_to_withdraw(), run.vms[1])
    await run.sleep(3)
    await run.configure_store(delay_s=0.0)


async def store_loses_answers(run: proof_runs.ScenarioRun) -> None:
    """Submit tickets while the store loses answers to applied writes."""
    await run.sleep(2)
    await run.configure_store(lose_answers=1)
    # Use VMs that run, because a scenario that ran before may have ended one.
    first, second = run.running_vms()[1:3]
    await run.withdraw_key(run.key_to_withdraw(), first)
    await run.configure_store(lose_answer_probability=0.5)
    await run.drain('backend_server', 'bookings-3', second)
    await run.configure_store(lose_answer_probability=0.0)


async def submit_competing_tickets(
    run: proof_runs.ScenarioRun, rounds: int = 3
) -> None:
    """Let two operators submit different tickets with the same number.

    Exactly one must be accepted, and resubmitting must give the same outcome.
    """
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
            run.problems.append(f'{len(winners)} winners of ticket {number}')
            return
        # Resubmitting a ticket must give the same outcome at any VM.
        accepted = tickets[winners[0]]
        if not await submit_until_decided(
            run, accepted, run.random.choice(run.vms)
        ):
            run.problems.append(f'ticket {number} was refused when repeated')
        if await submit_until_decided(run, tickets[1 - winners[0]], vms[0]):
            run.problems.append(f'ticket {number} was accepted twice')
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
    """Submit a ticket until it is decided; return whether it is accepted.

    Raises DeploymentError if 60 submissions bring no decision.
    """
    for _ in range(60):
        status, _ = await run.deployed.submit_ticket(ticket, vm)
        if status < 300:
            return True
        if status == 409:
            return False
        await run.sleep(0.25)
    raise deployment.DeploymentError(f'ticket {ticket["number"]} undecided')


async def tickets_and_store(run: proof_runs.ScenarioRun) -> None:
    """Submit competing tickets while the store loses answers."""
    await run.configure_store(lose_answer_probability=0.2)
    await submit_competing_tickets(run)
    await run.configure_store(lose_answer_probability=0.0)
    await store_loses_answers(run)


async def false_reports(run: proof_runs.ScenarioRun) -> None:
    """Delay load reports, let some be false, and fill all slots.

    Then kill a VM, whose slots and loans the other VMs take over.
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
    """Delay load reports, and let a third of the servers report no load."""
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(name, load_lag_s=30.0)
    for name in list(run.deployed.servers)[::3]:
        await run.deployed.configure_backend_server(name, reported_load=0.0)


def check_slots_filled(
    run: proof_runs.ScenarioRun, events: list[checking.AnyEvent]
) -> list[str]:
    """Return a problem unless most servers had all slots in use at once."""
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


async def withdraw_from_connected(
    run: proof_runs.ScenarioRun, expect_cancelled: bool = True
) -> None:
    """Withdraw a key while long answers to its callers are in progress.

    With ``expect_cancelled``, at least one must be cancelled while it runs.
    """
    await run.sleep(3)
    key = run.key_to_withdraw()
    source = next(
        source for source in run.traffic.sources(0.0, {}) if source.key == key
    )
    client = traffic.RecordingClient(source, run.traffic.history_writer, 1)
    client.attempt_timeout_s = 14.0
    async with client:
        streams = [
            asyncio.ensure_future(
                client.call(
                    'calibration', 'GET', LONG_STREAM_TARGET, deadline_s=14.0
                )
            )
            for _ in range(LONG_STREAM_COUNT)
        ]
        await run.sleep(0.3)
        await run.withdraw_key(key, run.vms[0])
        await asyncio.gather(*streams)
    run.history_checks.append(
        lambda events: check_streams_ended(events, key, expect_cancelled)
    )


async def withdraw_from_waiting(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while its requests are queued, run or are streamed."""
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=2500.0)
    # Most long requests still wait for slots when their key is withdrawn.
    await withdraw_from_connected(run, expect_cancelled=False)


def check_streams_ended(
    events: list[checking.AnyEvent],
    key: deployment.IssuedKey,
    expect_cancelled: bool,
) -> list[str]:
    """Return problems unless all answers for a key ended in time.

    With ``expect_cancelled``, one must have been cancelled after the
    withdrawal, which is ticket 2.
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
        f'an answer of {key.name} ended {delay_s:.1f} s after the withdrawal'
        for event in end_events
        if (delay_s := event['t'] - withdrawn_at) > WITHDRAWAL_BOUND_S
    ]
    if expect_cancelled and not any(
        event['event'] == 'cancel' and event['t'] > withdrawn_at
        for event in end_events
    ):
        problems.append(f'no running answer of {key.name} was ended')
    return problems


async def crossed_and_cut(
    run: proof_runs.ScenarioRun, probability: float = 0.05
) -> None:
    """Let backend servers mix up answers and truncate others."""
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(
            name, crossed_probability=probability, cut_probability=probability
        )
    run.history_checks.append(check_faulty_answers)


def check_faulty_answers(events: list[checking.AnyEvent]) -> list[str]:
    """Return problems unless answers were mixed up and truncated."""
    return [
        f'no answer was {name}'
        for name in ('crossed', 'cut')
        if not any(event['event'] == name for event in events)
    ]


async def answers(run: proof_runs.ScenarioRun) -> None:
    """Withdraw a key while answers are mixed up and truncated."""
    await crossed_and_cut(run)
    await withdraw_from_connected(run)


async def planned_stops(run: proof_runs.ScenarioRun) -> None:
    """Stop a VM while the store is slow and a server and region drain."""
    vm = run.random.choice(run.vms)
    other_vms = [name for name in run.vms if name != vm]
    await run.configure_store(delay_s=0.5)
    # Long run times, so that several requests run when the VM stops.
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=800.0)
    await run.sleep(2.5)
    await asyncio.gather(
        run.stop_vm(vm), drain_region_and_server(run, other_vms[0])
    )
    await run.configure_store(delay_s=0.0)


async def stops_and_answers(run: proof_runs.ScenarioRun) -> None:
    """Stop and drain under faulty answers and false load reports."""
    await crossed_and_cut(run, 0.02)
    await falsify_load_reports(run)
    await planned_stops(run)


async def drain_region_and_server(
    run: proof_runs.ScenarioRun, vm: str
) -> None:
    """Drain a region, then a backend server in another one."""
    await run.drain('region', 'launceston', vm)
    await run.drain('backend_server', 'bookings-1', vm)


async def server_drains(run: proof_runs.ScenarioRun) -> None:
    """Let backend servers report that they are draining."""
    for name in list(run.deployed.servers)[:4]:
        await run.sleep(1)
        await run.deployed.configure_backend_server(name, draining=True)


async def region_gone(run: proof_runs.ScenarioRun) -> None:
    """Kill all nodes and backend servers of a region."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(3)
    run.ended_vms.update(run.vms_inside(region))
    await run.deployed.kill_region(region)


async def servers_gone(run: proof_runs.ScenarioRun) -> None:
    """Kill the backend servers of a region but not its nodes."""
    region = run.random.choice(['launceston', 'burnie'])
    process = f'backends-{region}'
    await run.sleep(3)
    run.deployed.record_event('killed', name=process)
    run.deployed.processes.kill(process)
    run.history_checks.append(
        lambda events: check_requests_moved(
            events, run.vms_inside(region), process
        )
    )


def check_requests_moved(
    events: list[checking.AnyEvent], vms: list[str], process: str
) -> list[str]:
    """Return a problem for each VM that moved no request after the kill."""
    killed_at = next(
        event['t']
        for event in events
        if event['event'] == 'killed' and event['name'] == process
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
        options=SEPARATE_BACKENDS,
        upstreams=REDUCED_SERVER_COUNTS,
        mix=STREAMING_MIX,
    ),
    'kill': Scenario(
        kill_processes,
        15.0,
        options=SEPARATE_BACKENDS,
        upstreams=REDUCED_SERVER_COUNTS,
    ),
    'crash': Scenario(
        crash_servers,
        15.0,
        options=SEPARATE_BACKENDS,
        upstreams=REDUCED_SERVER_COUNTS,
    ),
    'freeze': Scenario(suspend_vm, 16.0),
    'freeze_each': Scenario(suspend_each_vm, 25.0),
    'cut_vm': Scenario(cut_vm, 20.0, options=WITH_RELAYS),
    'cut_region': Scenario(cut_region, 24.0, options=WITH_RELAYS),
    'cut_store_region': Scenario(cut_store_region, 20.0, options=WITH_RELAYS),
    'cut_vm_and_region': Scenario(
        cut_vm_and_region, 16.0, options=WITH_RELAYS
    ),
    'store_down': Scenario(store_down, 18.0),
    'store_and_tickets': Scenario(store_and_tickets, 24.0),
    'store_slow': Scenario(store_slow, 15.0),
    'lost_answers': Scenario(store_loses_answers, 15.0),
    'race': Scenario(submit_competing_tickets, 12.0),
    'tickets': Scenario(tickets_and_store, 18.0),
    'false_reports': Scenario(false_reports, 15.0, min_orders_per_s=1.0),
    'withdrawal': Scenario(withdraw_from_waiting, 16.0, mix=STREAMING_MIX),
    'crossed': Scenario(crossed_and_cut, 12.0),
    'answers': Scenario(answers, 16.0, mix=STREAMING_MIX),
    'stops': Scenario(planned_stops, 18.0, mix=STREAMING_MIX),
    'stops_and_answers': Scenario(stops_and_answers, 18.0, mix=STREAMING_MIX),
    'server_drains': Scenario(server_drains, 14.0),
    'servers_gone': Scenario(servers_gone, 24.0),
    'region_gone': Scenario(region_gone, 18.0),
}
