"""Processor time of processes, and of an entry VM next to a bare forwarder.

The forwarder is a stand-in: an aiohttp server on uvloop that sends each
request on to the next backend server and returns its answer, and that answers
one path by itself.  It checks nothing and keeps nothing.
"""

import asyncio
import itertools
import os
import pathlib
import time
import typing

import aiohttp
from aiohttp import web
import uvloop

from filbertstep import deployment

# Path that the forwarder answers by itself, with as many bytes as a look-up.
ANSWER_PATH: typing.Final = '/answer'
ANSWER_BYTES: typing.Final = 900

TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')

# Connections of the load of a cost measurement, and its parts' length.
CONNECTIONS: typing.Final = 4
PART_S: typing.Final = 2.0

# Run time in milliseconds of the requests of a cost measurement.
RUN_MS: typing.Final = 2

# Rate and burst of the accounts, so that no rate limits the measurement.
FREE_RATE: typing.Final = 100_000.0


class Cost(typing.TypedDict):
    """Processor time in milliseconds per request, of one round.

    ``idle_share`` is the part of a core that the idle VM used; ``net`` ones
    are without it.
    """

    idle_share: float
    vm_ms: float
    vm_net_ms: float
    forwarder_ms: float
    lookup_ms: float
    lookup_net_ms: float
    answer_ms: float


class Used(typing.NamedTuple):
    """Requests answered in a part, and the processor time they took."""

    requests: int
    cpu_s: float
    seconds: float


def cpu_s(pid: int) -> float | None:
    """Return user and system time of a process, None when it is gone."""
    try:
        text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return None
    return parse_cpu_s(text)


def parse_cpu_s(stat: str) -> float:
    """Return user and system time in seconds from a ``stat`` line.

    The command's name may hold spaces and brackets, so that fields are
    counted from its last bracket.
    """
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def forward(
    port: int, targets: list[str], connections: int = 100
) -> None:
    """Run the bare forwarder until it is ended."""
    turns = itertools.cycle(targets)
    answer = b'{"pad":"' + b'x' * (ANSWER_BYTES - 10) + b'"}'
    connector = aiohttp.TCPConnector(limit=connections)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:

        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            async with session.request(
                request.method,
                next(turns) + request.path_qs,
                data=body or None,
                headers={'X-Request-Id': 'bench'},
            ) as reply:
                return web.Response(
                    body=await reply.read(),
                    status=reply.status,
                    content_type=reply.content_type,
                )

        async def tell(request: web.Request) -> web.Response:
            return web.Response(body=answer, content_type='application/json')

        app = web.Application()
        app.router.add_get(ANSWER_PATH, tell)
        app.router.add_route('*', '/{path:.*}', handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        await asyncio.Event().wait()


def forwarder_command(port: int, targets: str) -> None:
    """Run the bare forwarder; ``targets`` are URLs with commas between."""
    uvloop.run(forward(port, targets.split(',')))


async def drive(pid: int, url: str, keys: list[str], seconds: float) -> Used:
    """Send requests over a few connections, each after the last answer.

    Raises RuntimeError for an answer that is no success, because a refusal
    costs less than a request.
    """
    before = cpu_s(pid) or 0.0
    started = time.monotonic()
    count = 0

    async def one(session: aiohttp.ClientSession, key: str) -> None:
        nonlocal count
        headers = {'Authorization': f'Bearer {key}'}
        while time.monotonic() < started + seconds:
            async with session.get(url, headers=headers) as reply:
                body = await reply.read()
                if reply.status != 200:
                    raise RuntimeError(f'{url}: {reply.status} {body[:200]!r}')
            count += 1

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(one(session, key) for key in keys[:CONNECTIONS])
        )
    taken = (cpu_s(pid) or 0.0) - before
    return Used(count, taken, time.monotonic() - started)


def free_plan(plan: deployment.Plan) -> deployment.Plan:
    """Return a plan whose accounts are not limited."""
    accounts = plan['client_accounts']
    for account in accounts.values():
        account['rate'] = FREE_RATE
        account['burst'] = FREE_RATE
    return plan


async def measure(
    plan: deployment.Plan, service: str, seed: int, directory: str, rounds: int
) -> list[Cost]:
    """Measure an entry VM and the forwarder in turn on one deployment."""
    options = deployment.Options(directory, seed)
    plan = free_plan(plan)
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        port = deployment.allocate_ports(1)[0]
        vm = next(iter(deployed.vms.values()))
        targets = ','.join(
            f'http://{deployed.server_addresses[name]}'
            for name, row in deployed.servers.items()
            if row.service == service and row.region == vm.region
        )
        deployed.processes.start(
            'forwarder',
            [
                'filbertstep.bench',
                'forwarder',
                f'--port={port}',
                f'--targets={targets}',
            ],
        )
        # Cold servers and slow starts end before the first round.
        await asyncio.sleep(plan['services'][service]['warmup_s'])
        prefix = plan['services'][service]['path_prefix']
        return [
            await measure_round(
                deployed,
                vm.name,
                f'http://127.0.0.1:{port}',
                f'{prefix}/items?run_ms={RUN_MS}',
                f'/v1/lookup?service={service}',
            )
            for _ in range(rounds)
        ]


async def measure_round(
    deployed: deployment.Deployment,
    vm: str,
    forwarder: str,
    target: str,
    lookup: str,
) -> Cost:
    """Measure each of the four once."""
    keys = [key.secret for key in deployed.keys]
    pid = deployed.processes.pid(vm)
    bare = deployed.processes.pid('forwarder')
    url = deployed.node_urls[vm].callers
    before = cpu_s(pid) or 0.0
    await asyncio.sleep(PART_S)
    idle = ((cpu_s(pid) or 0.0) - before) / PART_S
    forwarded = await drive(pid, url + target, keys, PART_S)
    plain = await drive(bare, forwarder + target, keys, PART_S)
    looked_up = await drive(pid, url + lookup, keys, PART_S)
    answered = await drive(bare, forwarder + ANSWER_PATH, keys, PART_S)
    return {
        'idle_share': idle,
        'vm_ms': per_request_ms(forwarded),
        'vm_net_ms': per_request_ms(forwarded, idle),
        'forwarder_ms': per_request_ms(plain),
        'lookup_ms': per_request_ms(looked_up),
        'lookup_net_ms': per_request_ms(looked_up, idle),
        'answer_ms': per_request_ms(answered),
    }


def per_request_ms(used: Used, idle_share: float = 0.0) -> float:
    """Return the processor time of a request, less that of an idle process."""
    return (
        1000 * (used.cpu_s - idle_share * used.seconds) / max(1, used.requests)
    )
