"""A rolling restart makes the machines forget a request that ends upstreams."""

import asyncio
import sys
import typing

from review.standins import cases

ZONES: typing.Final = ('hobart-a', 'launceston-a', 'burnie-a')

STABILITY_WINDOW_S: typing.Final = 3.0

ALLOWED: typing.Final = 3

# Rolling restarts, and the pause after the start of each machine.
ROLLS: typing.Final = 2
GAP_S: typing.Final = 1.3

POISON: typing.Final = '/status/poison'


async def play(deployment: cases.Deployment) -> list[str]:
    """Send the request until it is refused, roll, and send it again."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine(f'front-{zone}-1', zone)
        for _ in range(5):
            await deployment.add_upstream(
                'bookings', zone, crash_path=POISON, back_after_s=2.0
            )
    deployment.configure([cases.rule('r-status', '/status/', 'bookings')])
    await deployment.start_machines()

    client = deployment.add_client('c-poison', 'hobart-a')
    calm = deployment.add_client('c-calm', 'hobart-a')

    async def send_calm() -> None:
        while True:
            await calm.request('GET', '/status/1', cases.KEY, 3000)
            await asyncio.sleep(0.1)

    background = asyncio.ensure_future(send_calm())
    await asyncio.sleep(3.0)

    async def come_again(times: int) -> None:
        # Such a request comes again at any machine.
        for _ in range(times):
            for machine in deployment.machines.values():
                await client.request(
                    'GET',
                    POISON,
                    cases.KEY,
                    deadline_ms=3000,
                    address=machine.addresses['front'],
                )
                await asyncio.sleep(0.5)
            await asyncio.sleep(1.5)

    await come_again(2)
    await asyncio.sleep(6.0)
    counted_from = record.write('counted_from')
    for _ in range(ROLLS):
        for machine in deployment.machines.values():
            if deployment.trouble:
                await machine.stop()
                await machine.start()
                await cases.clients.wait_until_ready(
                    deployment.session, [machine]
                )
            await asyncio.sleep(GAP_S)
        # All machines are in touch again.
        await asyncio.sleep(STABILITY_WINDOW_S + 1.0)
        record.write('in_touch')
        await come_again(2)
    background.cancel()
    record.file.flush()
    got = [
        at
        for at, event, fields in cases.read_record(record.file.name)
        if event == 'upstream_got' and fields['path'] == POISON
    ]
    before = [at for at in got if at < counted_from]
    after = [at for at in got if at >= counted_from]
    record.write('poison', before=before, after=after)
    third = sorted(before)[2]
    assert counted_from > third + STABILITY_WINDOW_S
    if len(after) > ALLOWED:
        return [
            f'the request, which had ended {len(before)} upstreams by '
            f'{before[-1]:.1f} s, reaches upstreams {len(after)} times more '
            f'from {after[0]:.1f} s on, all machines being in touch'
        ]
    return []


sys.exit(cases.main(__file__, play))
