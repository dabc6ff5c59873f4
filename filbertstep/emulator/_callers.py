"""Model of callers: when they send, how they retry, and what they get."""

import asyncio
import math
import typing

from filbertstep import entry
from filbertstep.emulator import _scenario

if typing.TYPE_CHECKING:
    from filbertstep.emulator import _fleet

# Further attempts after a refusal or, if a request may run again, a failure.
MAX_RETRIES: typing.Final = 1

# Of the time that is left, a caller waits at most this part before a retry.
MAX_WAIT_FRACTION: typing.Final = 1.0 / 3.0

# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES: typing.Final = frozenset({429, 503})


class EndedCall(typing.NamedTuple):
    """One request of a caller, with all its attempts.

    ``sent_at`` is in seconds since the start, ``zone`` the caller's.
    """

    kind: str
    zone: str
    sent_at: float
    took_s: float
    status: int
    attempts: int


def active_events(
    fleet: '_fleet.Fleet', kind: str, at: float
) -> list[_scenario.EventDoc]:
    """Return the events of a kind that last at a time."""
    return [
        event
        for event in fleet.scenario.get('events', [])
        if event['kind'] == kind
        and event['at'] <= at < event['at'] + event['for_s']
    ]


def rate_per_s(fleet: '_fleet.Fleet', zone: str, at: float) -> float:
    """Return the requests a second of the callers of a zone."""
    scenario = fleet.scenario
    rate = scenario['rates_per_s'][zone]
    wave = scenario.get('wave')
    if wave is not None:
        zones = list(scenario['rates_per_s'])
        phase = zones.index(zone) / len(zones)
        angle = 2.0 * math.pi * (at / wave['period_s'] + phase)
        rate *= 1.0 + wave['swing'] * math.sin(angle)
    for event in active_events(fleet, 'burst', at):
        rate *= event['x']
    return max(rate, 1e-3)


def entry_zone(fleet: '_fleet.Fleet', zone: str, at: float) -> str:
    """Return the zone from which a caller sends, usually its own."""
    for event in active_events(fleet, 'shift', at):
        if event['zone'] == zone:
            if fleet.generator.random() < event['share']:
                return event['to_zone']
    return zone


async def run_callers(fleet: '_fleet.Fleet') -> None:
    """Send the requests of all zones, and wait until all have ended."""
    await asyncio.gather(
        *(send_from(fleet, zone) for zone in fleet.scenario['rates_per_s'])
    )


async def send_from(fleet: '_fleet.Fleet', zone: str) -> None:
    """Send the requests of a zone at random times."""
    kinds = fleet.scenario['requests']
    names = list(kinds)
    weights = [kinds[name]['share'] for name in names]
    calls: list[asyncio.Future[None]] = []
    while True:
        at = fleet.clock.now() - fleet.started_at
        await asyncio.sleep(
            fleet.generator.expovariate(rate_per_s(fleet, zone, at))
        )
        at = fleet.clock.now() - fleet.started_at
        if at >= fleet.scenario['seconds']:
            break
        (name,) = fleet.generator.choices(names, weights)
        calls.append(
            asyncio.ensure_future(call(fleet, zone, name, len(calls)))
        )
    await asyncio.gather(*calls)


async def call(
    fleet: '_fleet.Fleet', zone: str, name: str, number: int
) -> None:
    """Send one request until it is served or the caller gives up."""
    kind = fleet.scenario['requests'][name]
    generator = fleet.generator
    sent_at = fleet.clock.now()
    deadline = sent_at + kind['deadline_ms'] / 1000
    region = fleet.scenario['zones'][zone]
    object_key = f'{region}-{generator.randrange(kind["objects"])}'
    status = 0
    attempts = 0
    while attempts <= MAX_RETRIES:
        attempts += 1
        now = fleet.clock.now()
        from_zone = entry_zone(fleet, zone, now - fleet.started_at)
        reply = await send_attempt(
            fleet,
            from_zone,
            f'/{name}/{object_key}',
            f'{zone}-{number}-{attempts}',
            deadline,
        )
        status = reply.status
        refused = status in NOT_RUN_STATUSES
        if status == 200 or not (refused or kind['idempotent']):
            break
        left_s = deadline - fleet.clock.now()
        if left_s <= 0:
            break
        wait_s = (reply.failure.retry_after_s if reply.failure else 0) or 0.0
        await asyncio.sleep(min(wait_s, MAX_WAIT_FRACTION * left_s))
    fleet.calls.append(
        EndedCall(
            name,
            zone,
            sent_at - fleet.started_at,
            fleet.clock.now() - sent_at,
            status,
            attempts,
        )
    )


async def send_attempt(
    fleet: '_fleet.Fleet',
    zone: str,
    path: str,
    request_id: str,
    deadline: float,
) -> entry.Reply:
    """Send a request to a VM of a zone; return the reply."""
    delay_s = fleet.scenario['links']['in_zone_ms'] / 1000
    vms = [
        vm
        for vm in fleet.vms.values()
        if vm.state.settings.availability_zone == zone
    ]
    vm = fleet.generator.choice(vms)
    await asyncio.sleep(delay_s)
    kind_name, _, object_key = path.strip('/').partition('/')
    kind = fleet.scenario['requests'][kind_name]

    async def read_body() -> bytes:
        return b'x' * kind['request_bytes']

    reply = await vm.handler.serve(
        entry.Call(
            request_id=request_id,
            method='GET' if kind['idempotent'] else 'POST',
            host='emulated.example',
            path=path,
            headers=(),
            key=None,
            affinity_key=object_key,
            arrived_at=fleet.clock.now(),
            deadline=deadline,
        ),
        read_body,
    )
    await asyncio.sleep(delay_s)
    return reply
