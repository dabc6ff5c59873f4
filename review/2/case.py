"""A registration that the store executes late takes a machine out of use.

A machine is stopped and started as planned.  The store loses the answer of one
of its writes and executes it some seconds later, as the page says it may.
"""

import asyncio
import sys
import time
import typing

from review.standins import cases

ZONES: typing.Final = ('hobart-a', 'launceston-a', 'burnie-a')

HOME: typing.Final = 'burnie'

# Clients of the region that is the home of the orders.
CLIENT_ZONES: typing.Final = ('burnie-a', 'burnie-b')
CLIENTS_PER_ZONE: typing.Final = 5

# Within the 1 to 6 s of the page.
LATE_S: typing.Final = 2.3

# The rule counts from as long after the last unplanned disruption.
CALM_S: typing.Final = 15.0

WATCHED_S: typing.Final = 30.0

MOST_ABROAD: typing.Final = 1 / 20


async def play(deployment: cases.Deployment) -> list[str]:
    """Restart a machine while an answer is lost; watch where orders go."""
    store, record = deployment.store, deployment.record
    for zone in ZONES:
        deployment.add_machine(f'front-{zone}-1', zone)
        for service in ('bookings', 'calibration'):
            for _ in range(2):
                await deployment.add_upstream(service, zone)
    deployment.configure(
        [
            cases.rule(
                'r-order',
                '/order/',
                'bookings',
                kind='non_idempotent',
                home_regions=[HOME],
            )
        ]
    )
    await deployment.start_machines()
    watched = deployment.machines[f'front-{HOME}-a-1']
    answers: list[typing.Any] = []
    ready: list[tuple[float, bool]] = []

    async def send(client: typing.Any) -> None:
        while True:
            answers.append(
                await client.request(
                    'POST',
                    '/order/1',
                    cases.KEY,
                    deadline_ms=4000,
                    body=b'two burr sets for the cafe',
                )
            )
            await asyncio.sleep(0.4)

    async def check_ready() -> None:
        while True:
            ok = await cases.clients.is_ready(deployment.session, watched)
            ready.append((record.now(), ok))
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
    writes_before = store.transactions
    if deployment.trouble:
        store.lose_answer = lose_answer
    await watched.start()
    # The write has been executed when its delay and the start are over.
    await asyncio.sleep(LATE_S + 3.0)
    record.write(
        'disruption_over',
        lost=lost,
        writes=store.transactions - writes_before,
    )
    await asyncio.sleep(CALM_S)
    begin = time.monotonic() - record.started
    record.write('watch_begins')
    await asyncio.sleep(WATCHED_S)
    for sender in senders:
        sender.cancel()
    counted = [answer for answer in answers if answer.sent_at >= begin]
    sent_to = {
        machine.name: sum(
            answer.address == machine.addresses['front'] for answer in counted
        )
        for machine in deployment.machines.values()
    }
    abroad = sum(sent_to.values()) - sent_to[watched.name]
    record.write(
        'watch_ended',
        orders=len(counted),
        sent_to=sent_to,
        watched_is_ready=[ok for at, ok in ready if at >= begin],
    )
    if abroad > MOST_ABROAD * len(counted):
        return [
            f'{abroad} of {len(counted)} orders whose home and client are in '
            f'{HOME} were sent to machines in other regions, because the '
            f'directory named them: {sent_to}'
        ]
    return []


sys.exit(cases.main(__file__, play))
