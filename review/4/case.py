"""A machine follows the reader of its zone for longer than a change may take.

The reader is cut off from the store just as the operator's series of changes
ends.  The other machine of the zone has a sound way to the store.
"""

import asyncio
import random
import sys
import typing

from review.standins import cases
from review.standins import links

ZONE: typing.Final = 'hobart-a'

CONFIG_APPLY_S: typing.Final = 2.0

CUT_S: typing.Final = 3.0

# More than the stability window of the machine that was cut off.
CALM_S: typing.Final = 3.5

ROUNDS: typing.Final = 11

# Changes of a series, and the pause between them.
SERIES: typing.Final = 8
SERIES_GAP_S: typing.Final = 0.12


async def play(deployment: cases.Deployment) -> list[str]:
    """Cut the reader off at the end of each series; probe the follower."""
    record = deployment.record
    link = links.Link(deployment.store.address)
    await link.start()
    # The first by name reads the store for the zone.
    deployment.add_machine(f'front-{ZONE}-1', ZONE, link.address)
    followers = [
        deployment.add_machine(f'front-{ZONE}-{number}', ZONE)
        for number in (2, 3)
    ]
    deployment.add_machine('front-launceston-a-1', 'launceston-a')
    for service in ('bookings', 'calibration'):
        for zone in (ZONE, 'launceston-a'):
            for _ in range(3):
                await deployment.add_upstream(service, zone, work_s=0.02)
    calm = cases.rule('r-status', '/status/', 'bookings')
    moved = ['bookings', 'calibration']

    def probe_rule(number: int) -> dict[str, typing.Any]:
        return cases.rule('r-probe', '/probe/', moved[number % 2])

    deployment.configure([calm, probe_rule(0)])
    await deployment.start_machines()
    client = deployment.add_client('c-probe', ZONE)
    probes: list[typing.Any] = []

    async def send(follower: typing.Any) -> None:
        while True:
            answer = await client.request(
                'GET',
                '/probe/1',
                cases.KEY,
                deadline_ms=3000,
                address=follower.addresses['front'],
            )
            probes.append(answer)
            await asyncio.sleep(0.02)

    senders = [asyncio.ensure_future(send(one)) for one in followers]
    await asyncio.sleep(5.0)
    acks: list[float] = []
    for number in range(1, ROUNDS + 1):
        rules = [calm, probe_rule(number - 1)]
        for extra in range(SERIES):
            # Routes are added, none of which concerns the probes.
            name = f'r-{number}-{extra}'
            rules = [*rules, cases.rule(name, f'/{name}/', 'bookings')]
            deployment.configure(rules)
            await asyncio.sleep(SERIES_GAP_S * random.uniform(0.8, 1.2))
        if deployment.trouble:
            link.cut()
            record.write('cut', machine=f'front-{ZONE}-1')
        rules = [calm, probe_rule(number), *rules[2:]]
        acks.append(deployment.configure(rules))
        await asyncio.sleep(CUT_S)
        link.heal()
        record.write('healed')
        await asyncio.sleep(CALM_S)
    for sender in senders:
        sender.cancel()
    broken = []
    for number, acknowledged in enumerate(acks, start=1):
        old = moved[(number - 1) % 2]
        until = acks[number] if number < len(acks) else float('inf')
        late = [
            probe
            for probe in probes
            if acknowledged + CONFIG_APPLY_S < probe.sent_at < until
            and probe.body.decode().startswith(old)
        ]
        if late:
            last_s = max(probe.sent_at for probe in late) - acknowledged
            broken.append(
                f'{len(late)} requests, sent up to {last_s:.3f} s after the '
                f'acknowledgement, were run by the service of before'
            )
    return broken


sys.exit(cases.main(__file__, play))
