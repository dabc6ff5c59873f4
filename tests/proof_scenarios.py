"""The failures under which the promises are proved, by name.

Each scenario disturbs a deployment while traffic runs.  Times in seconds are
short beside those of production, but longer than what the system waits for:
evidence (4 s), removal of a silent VM (4 s), bounds of 5 s and 9 s.
"""

import asyncio
import typing

import aiohttp

from filbertstep import checking
from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic
from tests import proof_runs

# A request whose path makes a backend server that runs it end.
CRASH_TEXT: typing.Final = 'boom'

# Backend servers that one such request may end: two strikes at one VM, and
# the resends that reach other VMs before they have heard of the strikes.
MAX_CRASHES: typing.Final = 4

# Backend servers as processes of their own are fewer, to spare the machine.
FEW: typing.Final = {'bookings': 9, 'calibration': 12}

# The usual mix with some answers that are too large to be read whole first.
STREAMS: typing.Final = (
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

# An answer that takes nearly the longest deadline (10 s), and how many of them
# are read when their key is withdrawn.
LONG_STREAM: typing.Final = (
    '/calibration/items?run_ms=700&bytes=1500000&stream_ms=9000'
)
LONG_STREAMS: typing.Final = 6

# Time in seconds after which a withdrawn key no longer works.
WITHDRAWAL_BOUND_S: typing.Final = 9.0


async def kill_processes(run: proof_runs.Run) -> None:
    """Kill a VM and a backend server, each with SIGKILL."""
    deployed = run.deployed
    await run.sleep(2)
    group = deployed.backend_process_by_server['bookings-2']
    deployed.record_event('killed', name=group)
    deployed.processes.kill(group)
    await run.sleep(1)
    # Operators use the first VM meanwhile.
    await run.kill(run.random.choice(run.vms[1:]))
    await run.sleep(4)
    deployed.start_backend_process(group)


async def crash_servers(run: proof_runs.Run) -> None:
    """Resend a request that ends each backend server that runs it."""
    deployed = run.deployed
    await run.sleep(2)
    key = deployed.keys[0]
    vms = [deployed.node_urls[vm].callers for vm in run.vms]
    seen: list[int] = []
    for number in range(20):
        vm = vms[number % len(vms)]
        request_id = f'crash-{number}'
        status = await send_crash(run, vm, key, request_id)
        seen.append(status)
        await run.sleep(0.3)
    run.conditions.append(crashes_bounded)
    if 429 not in seen:
        run.faults.append(f'the request was never quarantined: {seen}')


async def send_crash(
    run: proof_runs.Run, url: str, key: deployment.IssuedKey, request_id: str
) -> int:
    """Send the request that crashes servers once; return the status."""
    session = run.deployed.session
    assert session is not None
    vm = next(
        name
        for name, address in run.deployed.node_urls.items()
        if address.callers == url
    )
    run.callers.history_writer.write(
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
        ) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        # The VM was killed.
        return 0


def crashes_bounded(events: list[checking.AnyEvent]) -> list[str]:
    """Return a fault when too many servers crashed, or none."""
    count = sum(event['event'] == 'crash' for event in events)
    if 1 <= count <= MAX_CRASHES:
        return []
    return [f'{count} servers crashed']


async def crash_and_kill(run: proof_runs.Run) -> None:
    """Kill processes while a request crashes servers and a key ends."""
    await asyncio.gather(
        crash_servers(run), kill_processes(run), withdraw_from_connected(run)
    )


async def freeze_vm(run: proof_runs.Run) -> None:
    """Freeze a VM past its evidence while a key and weights change."""
    deployed = run.deployed
    vm = run.random.choice(run.vms)
    other = next(name for name in run.vms if name != vm)
    await run.sleep(2)
    deployed.suspend_process(vm)
    await asyncio.gather(run.sleep(10), change_while_frozen(run, other))
    deployed.resume_process(vm)


async def change_while_frozen(run: proof_runs.Run, vm: str) -> None:
    """Withdraw a key, then begin a shift."""
    await run.sleep(0.5)
    await run.withdraw(run.victim(), vm)
    await run.drain('region', 'burnie', vm)


async def freeze_last_step(run: proof_runs.Run) -> None:
    """Freeze every VM in turn, for less and more than evidence lasts."""
    for vm in run.vms:
        run.deployed.suspend_process(vm)
        await run.sleep(run.random.choice((0.7, 3.0, 4.5)))
        run.deployed.resume_process(vm)
        await run.sleep(0.3)


async def cut_vm(run: proof_runs.Run) -> None:
    """Cut a VM from the store, then from its peers, then from both."""
    deployed = run.deployed
    vm = run.random.choice(run.vms)
    others = [name for name in run.vms if name != vm]
    await run.sleep(1)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await cut_peers(run, vm, others, 'hold')
    await run.sleep(5)
    await deployed.partition_store(vm)
    await run.sleep(5)
    await deployed.partition_store(vm, 'open')
    await cut_peers(run, vm, others, 'open')
    # The traffic must see the VM's return.
    await run.sleep(2)


async def cut_peers(
    run: proof_runs.Run, vm: str, others: list[str], state: str
) -> None:
    """Cut a VM from its peers both ways, or mend that."""
    await run.deployed.partition_vms([vm], others, state)
    await run.deployed.partition_vms(others, [vm], state)


async def cut_region(run: proof_runs.Run) -> None:
    """Cut a region off, and withdraw a key meanwhile."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.withdraw(run.victim(), run.outside(region)[0])
    # The cut lasts beyond the bound of 9 s after the withdrawal.
    await run.sleep(8)
    await run.deployed.partition_region(region, 'open')


async def cut_store_region(run: proof_runs.Run) -> None:
    """Cut the region with the store off, and mend that."""
    region = run.deployed.plan['store_region']
    await run.sleep(2)
    await run.deployed.partition_region(region)
    await run.sleep(9)
    await run.deployed.partition_region(region, 'open')


async def cut_vm_and_region(run: proof_runs.Run) -> None:
    """Cut a VM from the store, then a region with a withdrawal."""
    vm, operated = run.random.sample(run.outside('burnie'), 2)
    await run.sleep(1)
    await run.deployed.partition_store(vm, 'reset')
    await run.sleep(3)
    await run.deployed.partition_region('burnie')
    await run.withdraw(run.victim(), operated)
    await run.sleep(3)
    await run.deployed.partition_store(vm, 'open')
    await run.deployed.partition_region('burnie', 'open')


async def store_down(run: proof_runs.Run) -> None:
    """Kill a VM while the store is down, and start another one."""
    starting, dying = run.random.sample(run.vms, 2)
    await run.sleep(2)
    await run.kill(starting)
    await run.sleep(1)
    await run.store(down=True)
    await run.deployed.start_node(starting)
    run.ended.discard(starting)
    await run.sleep(4)
    await run.kill(dying)
    await run.sleep(8)
    await run.store(down=False)
    run.conditions.append(lambda events: served_again(events, starting))


async def store_and_tickets(run: proof_runs.Run) -> None:
    """Race on tickets, then an outage, then lost answers."""
    await race(run, rounds=1)
    await store_down(run)
    await store_loses_answers(run)


def served_again(events: list[checking.AnyEvent], vm: str) -> list[str]:
    """Return a fault unless the second process of a VM placed requests."""
    processes = {
        event['incarnation']
        for event in events
        if event['process'] == vm and event['event'] == 'placed'
    }
    return [] if len(processes) > 1 else [f'{vm} did not serve again']


async def store_slow(run: proof_runs.Run) -> None:
    """Let the store be slow, and change the configuration."""
    await run.store(delay_s=0.7)
    await run.sleep(2)
    await run.withdraw(run.victim(), run.vms[1])
    await run.sleep(3)
    await run.store(delay_s=0.0)


async def store_loses_answers(run: proof_runs.Run) -> None:
    """Lose the answers of writes that take effect."""
    await run.sleep(2)
    await run.store(lose_answers=1)
    # Operators use VMs that run: the outage before may have ended one.
    first, second = run.running()[1:3]
    await run.withdraw(run.victim(), first)
    await run.store(lose_answer_probability=0.5)
    await run.drain('backend_server', 'bookings-3', second)
    await run.store(lose_answer_probability=0.0)


async def race(run: proof_runs.Run, rounds: int = 3) -> None:
    """Let two operators submit different tickets of one number."""
    deployed = run.deployed
    for round_number in range(rounds):
        number = deployed.next_ticket_number
        tickets = [
            key_ticket(run, number, f'race-{round_number}-{side}')
            for side in range(2)
        ]
        vms = run.random.sample(run.vms, 2)
        answers = await asyncio.gather(
            *(
                settle(run, ticket, vm)
                for ticket, vm in zip(tickets, vms, strict=True)
            )
        )
        winners = [at for at, answer in enumerate(answers) if answer]
        if len(winners) != 1:
            run.faults.append(f'{len(winners)} winners of ticket {number}')
            return
        # The same ticket again has the same outcome, at any VM.
        again = tickets[winners[0]]
        if not await settle(run, again, run.random.choice(run.vms)):
            run.faults.append(f'ticket {number} was refused when repeated')
        if await settle(run, tickets[1 - winners[0]], vms[0]):
            run.faults.append(f'ticket {number} was taken twice')
        await deployed.wait_for_ticket_state(number, 'accepted', vms[0], 30.0)
        deployed.next_ticket_number += 1


def key_ticket(
    run: proof_runs.Run, number: int, name: str
) -> deployment.Ticket:
    """Return a ticket that issues a key which nobody uses."""
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


async def settle(
    run: proof_runs.Run, ticket: deployment.Ticket, vm: str
) -> bool:
    """Submit a ticket until it is decided; return whether it was taken."""
    for _ in range(60):
        status, _ = await run.deployed.submit_ticket(ticket, vm)
        if status < 300:
            return True
        if status == 409:
            return False
        await run.sleep(0.25)
    raise deployment.DeploymentError(f'ticket {ticket["number"]} undecided')


async def tickets_and_store(run: proof_runs.Run) -> None:
    """Race, with answers of the store lost."""
    await run.store(lose_answer_probability=0.2)
    await race(run)
    await run.store(lose_answer_probability=0.0)
    await store_loses_answers(run)


async def false_reports(run: proof_runs.Run) -> None:
    """Freeze load reports, let some be false, and fill all slots.

    Then kill a VM, whose slots and loans others take over.
    """
    await report_falsely(run)
    await run.sleep(2)
    for name, server in run.deployed.servers.items():
        if server.service == 'bookings':
            await run.deployed.configure_backend_server(name, mean_ms=1200.0)
    await run.sleep(3)
    await run.kill(run.random.choice(run.vms))
    run.conditions.append(lambda events: slots_filled(run, events))


async def report_falsely(run: proof_runs.Run) -> None:
    """Freeze load reports, and let a third of the servers report none."""
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(name, load_lag_s=30.0)
    for name in list(run.deployed.servers)[::3]:
        await run.deployed.configure_backend_server(name, reported_load=0.0)


def slots_filled(
    run: proof_runs.Run, events: list[checking.AnyEvent]
) -> list[str]:
    """Return a fault unless most servers had all slots in use at a time."""
    plan = run.deployed.plan['services']['bookings']
    full = {
        event['server']
        for event in events
        if event['event'] == 'begin'
        and event['service'] == 'bookings'
        and event['running'] >= plan['slots']
    }
    if 2 * len(full) > plan['upstreams']:
        return []
    return [f'only {len(full)} servers had all slots in use']


async def withdraw_from_connected(
    run: proof_runs.Run, reading: bool = True
) -> None:
    """Withdraw a key whose answers are being read, or waited for."""
    await run.sleep(3)
    key = run.victim()
    source = next(
        source for source in run.callers.sources(0.0, {}) if source.key == key
    )
    client = traffic.RecordingClient(source, run.callers.history_writer, 1)
    client.attempt_timeout_s = 14.0
    async with client:
        streams = [
            asyncio.ensure_future(
                client.call('calibration', 'GET', LONG_STREAM, deadline_s=14.0)
            )
            for _ in range(LONG_STREAMS)
        ]
        await run.sleep(0.3)
        await run.withdraw(key, run.vms[0])
        await asyncio.gather(*streams)
    run.conditions.append(lambda events: streams_ended(events, key, reading))


async def withdraw_from_waiting(run: proof_runs.Run) -> None:
    """Withdraw a key whose requests wait, run and are streamed."""
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=2500.0)
    # The long answers mostly wait for slots until their key is withdrawn.
    await withdraw_from_connected(run, reading=False)


def streams_ended(
    events: list[checking.AnyEvent], key: deployment.IssuedKey, reading: bool
) -> list[str]:
    """Return faults unless running answers of a key were ended in time.

    With ``reading``, at least one must have been running.
    """
    own = {
        event['request_id']
        for event in events
        if event['event'] == 'sent' and event['key_name'] == key.name
    }
    withdrawn_at = next(
        event['t']
        for event in events
        if event['event'] == 'ticket_committed' and event['number'] == 2
    )
    ends = [
        event
        for event in events
        if event['event'] in ('end', 'cancel') and event['request_id'] in own
    ]
    found = [
        f'an answer of {key.name} ended {late:.1f} s after the withdrawal'
        for event in ends
        if (late := event['t'] - withdrawn_at) > WITHDRAWAL_BOUND_S
    ]
    if reading and not any(
        event['event'] == 'cancel' and event['t'] > withdrawn_at
        for event in ends
    ):
        found.append(f'no running answer of {key.name} was ended')
    return found


async def crossed_and_cut(
    run: proof_runs.Run, probability: float = 0.05
) -> None:
    """Let backend servers cross and cut answers."""
    for name in run.deployed.servers:
        await run.deployed.configure_backend_server(
            name, crossed_probability=probability, cut_probability=probability
        )
    run.conditions.append(crossings_seen)


def crossings_seen(events: list[checking.AnyEvent]) -> list[str]:
    """Return a fault unless answers were crossed and cut."""
    return [
        f'no answer was {name}'
        for name in ('crossed', 'cut')
        if not any(event['event'] == name for event in events)
    ]


async def answers(run: proof_runs.Run) -> None:
    """Withdraw a key while answers are crossed and cut."""
    await crossed_and_cut(run)
    await withdraw_from_connected(run)


async def planned_stops(run: proof_runs.Run) -> None:
    """Stop a VM with a slow store, drain a backend server and a region."""
    vm = run.random.choice(run.vms)
    rest = [name for name in run.vms if name != vm]
    await run.store(delay_s=0.5)
    # Long runs, so that several are under way when the VM stops.
    for name, server in run.deployed.servers.items():
        if server.service == 'calibration':
            await run.deployed.configure_backend_server(name, mean_ms=800.0)
    await run.sleep(2.5)
    await asyncio.gather(run.stop(vm), drain_both(run, rest[0]))
    await run.store(delay_s=0.0)


async def stops_and_answers(run: proof_runs.Run) -> None:
    """Stop and drain while answers are crossed and cut, reports false."""
    await crossed_and_cut(run, 0.02)
    await report_falsely(run)
    await planned_stops(run)


async def drain_both(run: proof_runs.Run, vm: str) -> None:
    """Drain a region, then a backend server in another one."""
    await run.drain('region', 'launceston', vm)
    await run.drain('backend_server', 'bookings-1', vm)


async def server_drains(run: proof_runs.Run) -> None:
    """Let backend servers report themselves that they drain."""
    for name in list(run.deployed.servers)[:4]:
        await run.sleep(1)
        await run.deployed.configure_backend_server(name, draining=True)


async def region_gone(run: proof_runs.Run) -> None:
    """Kill everything in a region."""
    region = run.random.choice(['launceston', 'burnie'])
    await run.sleep(3)
    run.ended.update(run.inside(region))
    await run.deployed.kill_region(region)


async def servers_gone(run: proof_runs.Run) -> None:
    """Kill the backend servers of a region, whose VMs live on."""
    region = run.random.choice(['launceston', 'burnie'])
    group = f'backends-{region}'
    await run.sleep(3)
    run.deployed.record_event('killed', name=group)
    run.deployed.processes.kill(group)
    run.conditions.append(
        lambda events: served_from_elsewhere(events, run.inside(region), group)
    )


def served_from_elsewhere(
    events: list[checking.AnyEvent], vms: list[str], group: str
) -> list[str]:
    """Return the VMs that moved no request after their servers were gone."""
    killed_at = next(
        event['t']
        for event in events
        if event['event'] == 'killed' and event['name'] == group
    )
    moved = {
        event['process']
        for event in events
        if event['event'] == 'placed'
        and event['moved']
        and event['t'] > killed_at
    }
    return [f'{vm} moved no request' for vm in vms if vm not in moved]


SEPARATE: typing.Final = {
    'separate_backends': True,
    'crash_text': CRASH_TEXT,
}
RELAYS: typing.Final = {'relays': True}

Scenario = proof_runs.Scenario

SCENARIOS: typing.Final[dict[str, proof_runs.Scenario]] = {
    'crash_and_kill': Scenario(
        crash_and_kill, 15.0, options=SEPARATE, upstreams=FEW, mix=STREAMS
    ),
    'kill': Scenario(kill_processes, 15.0, options=SEPARATE, upstreams=FEW),
    'crash': Scenario(crash_servers, 15.0, options=SEPARATE, upstreams=FEW),
    'freeze': Scenario(freeze_vm, 16.0),
    'freeze_each': Scenario(freeze_last_step, 25.0),
    'cut_vm': Scenario(cut_vm, 20.0, options=RELAYS),
    'cut_region': Scenario(cut_region, 24.0, options=RELAYS),
    'cut_store_region': Scenario(cut_store_region, 20.0, options=RELAYS),
    'cut_vm_and_region': Scenario(cut_vm_and_region, 16.0, options=RELAYS),
    'store_down': Scenario(store_down, 18.0),
    'store_and_tickets': Scenario(store_and_tickets, 24.0),
    'store_slow': Scenario(store_slow, 15.0),
    'lost_answers': Scenario(store_loses_answers, 15.0),
    'race': Scenario(race, 12.0),
    'tickets': Scenario(tickets_and_store, 18.0),
    'false_reports': Scenario(false_reports, 15.0, orders_per_s=1.0),
    'withdrawal': Scenario(withdraw_from_waiting, 16.0, mix=STREAMS),
    'crossed': Scenario(crossed_and_cut, 12.0),
    'answers': Scenario(answers, 16.0, mix=STREAMS),
    'stops': Scenario(planned_stops, 18.0, mix=STREAMS),
    'stops_and_answers': Scenario(stops_and_answers, 18.0, mix=STREAMS),
    'server_drains': Scenario(server_drains, 14.0),
    'servers_gone': Scenario(servers_gone, 24.0),
    'region_gone': Scenario(region_gone, 18.0),
}
