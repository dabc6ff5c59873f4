"""A registration that the store executes late takes a machine out of service.

A machine is stopped and started as planned while the store loses the answer of
one of its writes and executes it some seconds later, as it may.
"""

import asyncio
import sys
import time
import typing

from review.standins import cases

ZONES: typing.Final = ('hobart-a', 'launceston-a', 'burnie-a')

# Where the clients are.
CLIENT_ZONES: typing.Final = (*ZONES, 'hobart-b', 'launceston-b', 'burnie-b')
CLIENTS_PER_ZONE: typing.Final = 2

# Within the 1 to 6 s of the page.
LATE_S: typing.Final = 2.3

STABILITY_WINDOW_S: typing.Final = 3.0

# The machine is watched for as long after the last disruption is over.
WATCHED_S: typing.Final = 30.0


async def play(deployment: cases.Deployment) -> list[str]:
    """Restart a machine while an answer is lost; watch its connections."""
    store, record = deployment.store, deployment.record
    for zone in ZONES:
        deployment.add_machine(f'front-{zone}-1', zone)
        for service in ('bookings', 'calibration'):
            for _ in range(2):
                await deployment.add_upstream(service, zone)
    deployment.configure([cases.rule('r-status', '/status/', 'bookings')])
    await deployment.start_machines()
    connections: list[tuple[float, str]] = []
    ready: list[tuple[float, bool]] = []
    watched = deployment.machines['front-burnie-a-1']

    async def send(client: typing.Any) -> None:
        while True:
            answer = await client.request(
                'GET', '/status/1', cases.KEY, deadline_ms=3000
            )
            connections.append((time.monotonic(), answer.address))
            await asyncio.sleep(0.4)

    async def check_ready() -> None:
        while True:
            ok = await cases.clients.is_ready(deployment.session, watched)
            ready.append((time.monotonic(), ok))
            await asyncio.sleep(1.0)

    senders = [
        asyncio.ensure_future(
            send(deployment.add_client(f'c-{zone}-{number}', zone))
        )
        for zone in CLIENT_ZONES
        for number in range(CLIENTS_PER_ZONE)
    ]
    senders.append(asyncio.ensure_future(check_ready()))
    await asyncio.sleep(5.0)

    lost: list[str] = []

    def lose_answer(body: dict[str, typing.Any]) -> float | None:
        keys = [write['key'] for write in body.get('writes', [])]
        if lost or f'vms/{watched.name}' not in keys:
            return None
        lost.extend(keys)
        return LATE_S

    await watched.stop()
    if deployment.trouble:
        store.lose_answer = lose_answer
    await watched.start()
    # The late write has been executed and all is over long before.
    await asyncio.sleep(12.0)
    begin = time.monotonic()
    record.write('watch_begins', machine=watched.name)
    await asyncio.sleep(WATCHED_S)
    end = time.monotonic()
    for sender in senders:
        sender.cancel()
    taken = [
        at
        for at, address in connections
        if begin <= at <= end and address == watched.addresses['front']
    ]
    tried = {
        address: sum(
            begin <= at <= end and to == address for at, to in connections
        )
        for address in {to for _, to in connections}
    }
    record.write(
        'watch_ended',
        new_connections=len(taken),
        by_address=tried,
        ready=[ok for at, ok in ready if at >= begin],
        lost_writes=lost,
    )
    all_ready = all(ok for at, ok in ready if at >= begin)
    bounds = [begin, *taken, end]
    gap_s = max(b - a for a, b in zip(bounds, bounds[1:], strict=False))
    if all_ready and gap_s >= STABILITY_WINDOW_S:
        return [
            f'{watched.name} says that it is ready and takes no new '
            f'connection for {gap_s:.1f} s, while {len(senders) - 1} clients '
            f'open {sum(tried.values())} connections'
        ]
    return []


sys.exit(cases.main(__file__, play))
