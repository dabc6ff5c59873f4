"""Processor time per request of a VM, compared with a minimal forwarder.

The forwarder is an aiohttp server on uvloop.  It forwards each request to the
next backend server in round-robin order and returns the response; one path
returns a fixed response.  It does no checks and keeps no state.
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

# Path for which the forwarder itself returns a fixed response.
FIXED_RESPONSE_PATH: typing.Final = '/answer'

# As large as a look-up response, which it is compared with.
FIXED_RESPONSE_BYTES: typing.Final = 900

CLOCK_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')

LOAD_CONNECTIONS: typing.Final = 4
PHASE_DURATION_S: typing.Final = 2.0

REQUEST_RUN_MS: typing.Final = 2

# Account rate and burst, high enough not to limit the measurement.
UNLIMITED_RATE_PER_S: typing.Final = 100_000.0


class CostRound(typing.TypedDict):
    """Processor time in milliseconds per request, measured in one round.

    ``idle_share`` is the share of a core that the VM uses without requests.
    The ``net`` values leave it out.  ``vm_ms`` compares with ``forwarder_ms``
    and ``lookup_ms`` with ``answer_ms``, the fixed response of the forwarder.
    """

    idle_share: float
    vm_ms: float
    vm_net_ms: float
    forwarder_ms: float
    lookup_ms: float
    lookup_net_ms: float
    answer_ms: float


class PhaseUsage(typing.NamedTuple):
    """Requests completed in one phase, and the processor time they took."""

    requests: int
    cpu_s: float
    seconds: float


def process_cpu_s(pid: int) -> float | None:
    """Return the CPU seconds used by a process, None if it has ended."""
    try:
        text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return None
    return parse_stat_cpu_s(text)


def parse_stat_cpu_s(stat: str) -> float:
    """Return user plus system time in seconds from ``/proc/PID/stat``.

    Counts fields from the last parenthesis, because the process name before it
    may contain spaces and parentheses.
    """
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def run_forwarder(
    port: int, targets: list[str], connections: int = 100
) -> None:
    """Run the forwarder until the process is terminated."""
    target_cycle = itertools.cycle(targets)
    fixed_response = b'{"pad":"' + b'x' * (FIXED_RESPONSE_BYTES - 10) + b'"}'
    connector = aiohttp.TCPConnector(limit=connections)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:

        async def forward_request(request: web.Request) -> web.Response:
            body = await request.read()
            async with session.request(
                request.method,
                next(target_cycle) + request.path_qs,
                data=body or None,
                headers={'X-Request-Id': 'bench'},
            ) as response:
                return web.Response(
                    body=await response.read(),
                    status=response.status,
                    content_type=response.content_type,
                )

        async def send_fixed_response(request: web.Request) -> web.Response:
            return web.Response(
                body=fixed_response, content_type='application/json'
            )

        app = web.Application()
        app.router.add_get(FIXED_RESPONSE_PATH, send_fixed_response)
        app.router.add_route('*', '/{path:.*}', forward_request)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        await asyncio.Event().wait()


def forwarder_command(port: int, targets: str) -> None:
    """Run the forwarder; ``targets`` are comma-separated URLs."""
    uvloop.run(run_forwarder(port, targets.split(',')))


async def send_requests(
    pid: int, url: str, keys: list[str], seconds: float
) -> PhaseUsage:
    """Send requests over a few connections, one at a time on each.

    ``pid`` is the process whose processor time is measured.

    Raises RuntimeError for a status other than 200, because a refused request
    takes less processor time and would distort the result.
    """
    cpu_before = process_cpu_s(pid) or 0.0
    started = time.monotonic()
    request_count = 0

    async def send_sequentially(
        session: aiohttp.ClientSession, key: str
    ) -> None:
        nonlocal request_count
        headers = {'Authorization': f'Bearer {key}'}
        while time.monotonic() < started + seconds:
            async with session.get(url, headers=headers) as response:
                body = await response.read()
                if response.status != 200:
                    raise RuntimeError(
                        f'{url} returned {response.status}: {body[:200]!r}'
                    )
            request_count += 1

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                send_sequentially(session, key)
                for key in keys[:LOAD_CONNECTIONS]
            )
        )
    cpu_used_s = (process_cpu_s(pid) or 0.0) - cpu_before
    return PhaseUsage(request_count, cpu_used_s, time.monotonic() - started)


def remove_rate_limits(plan: deployment.Plan) -> deployment.Plan:
    """Raise the rate and burst of all accounts in place; return the plan."""
    accounts = plan['client_accounts']
    for account in accounts.values():
        account['rate'] = UNLIMITED_RATE_PER_S
        account['burst'] = UNLIMITED_RATE_PER_S
    return plan


async def measure_costs(
    plan: deployment.Plan, service: str, seed: int, directory: str, rounds: int
) -> list[CostRound]:
    """Measure a VM and the forwarder in turn on one deployment."""
    options = deployment.Options(directory, seed)
    plan = remove_rate_limits(plan)
    async with deployment.Deployment(plan, options) as deployed:
        await deployed.start()
        port = deployment.allocate_ports(1)[0]
        vm = next(iter(deployed.vms.values()))
        targets = ','.join(
            f'http://{deployed.server_addresses[name]}'
            for name, server in deployed.servers.items()
            if server.service == service and server.region == vm.region
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
        # Wait until servers are warm and no longer in slow start.
        await asyncio.sleep(plan['services'][service]['warmup_s'])
        prefix = plan['services'][service]['path_prefix']
        return [
            await measure_round(
                deployed,
                vm.name,
                f'http://127.0.0.1:{port}',
                f'{prefix}/items?run_ms={REQUEST_RUN_MS}',
                f'/v1/lookup?service={service}',
            )
            for _ in range(rounds)
        ]


async def measure_round(
    deployed: deployment.Deployment,
    vm_name: str,
    forwarder_url: str,
    request_path: str,
    lookup_path: str,
) -> CostRound:
    """Measure the idle VM, then requests and look-ups next to the forwarder.

    The forwarder gets the same requests as the VM; look-ups are compared with
    its fixed response.
    """
    keys = [key.secret for key in deployed.keys]
    vm_pid = deployed.processes.pid(vm_name)
    forwarder_pid = deployed.processes.pid('forwarder')
    vm_url = deployed.node_urls[vm_name].callers
    cpu_before = process_cpu_s(vm_pid) or 0.0
    await asyncio.sleep(PHASE_DURATION_S)
    idle_share = (
        (process_cpu_s(vm_pid) or 0.0) - cpu_before
    ) / PHASE_DURATION_S
    vm_usage = await send_requests(
        vm_pid, vm_url + request_path, keys, PHASE_DURATION_S
    )
    forwarder_usage = await send_requests(
        forwarder_pid, forwarder_url + request_path, keys, PHASE_DURATION_S
    )
    lookup_usage = await send_requests(
        vm_pid, vm_url + lookup_path, keys, PHASE_DURATION_S
    )
    fixed_response_usage = await send_requests(
        forwarder_pid,
        forwarder_url + FIXED_RESPONSE_PATH,
        keys,
        PHASE_DURATION_S,
    )
    return {
        'idle_share': idle_share,
        'vm_ms': cpu_ms_per_request(vm_usage),
        'vm_net_ms': cpu_ms_per_request(vm_usage, idle_share),
        'forwarder_ms': cpu_ms_per_request(forwarder_usage),
        'lookup_ms': cpu_ms_per_request(lookup_usage),
        'lookup_net_ms': cpu_ms_per_request(lookup_usage, idle_share),
        'answer_ms': cpu_ms_per_request(fixed_response_usage),
    }


def cpu_ms_per_request(usage: PhaseUsage, idle_share: float = 0.0) -> float:
    """Return the processor time per request without the idle share."""
    return (
        1000
        * (usage.cpu_s - idle_share * usage.seconds)
        / max(1, usage.requests)
    )
