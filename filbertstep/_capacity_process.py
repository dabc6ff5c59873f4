"""Measurements of real processes: look-ups, store calls, memory, probes.

Processor time is read from ``/proc/<pid>/schedstat``, whose nanoseconds do
not include the time that a process waited for a core.
"""

import abc
import asyncio
import collections.abc
import contextlib
import pathlib
import tempfile
import typing

import aiohttp
import uvloop

from filbertstep import _capacity_fit
from filbertstep import _capacity_load
from filbertstep import _capacity_world
from filbertstep import config
from filbertstep import deployment
from filbertstep import routing

Values = _capacity_fit.Values

PLAN: typing.Final = 'huon-burr'

# Time in seconds for an epoch with a node that just started, and the time
# over which calls of idle nodes are counted.
SETTLE_S: typing.Final = 1.0
WINDOW_S: typing.Final = 3.0


def cpu_ms(pid: int) -> float:
    """Return the processor time of a process so far."""
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text(encoding='ascii')
    return int(text.split()[0]) / 1e6


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(row for row in text.splitlines() if row.startswith('VmRSS:'))
    return int(line.split()[1]) / 1024


@contextlib.asynccontextmanager
async def deployed() -> collections.abc.AsyncIterator[deployment.Deployment]:
    """Start the stand-ins of a deployment; no node yet."""
    with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
        plan = deployment.load_plan(PLAN)
        running = deployment.Deployment(plan, deployment.Options(directory))
        async with running:
            yield running
            # Nothing is measured any more; a graceful end takes seconds.
            for vm in running.vms:
                if running.processes.is_running(vm):
                    running.processes.kill(vm)


def start_bare(
    running: deployment.Deployment, answer_bytes: int
) -> tuple[str, int]:
    """Start the bare process; return its URL and process id."""
    port = deployment.allocate_ports(1)[0]
    running.processes.start(
        'bare',
        [
            'filbertstep._capacity_bare',
            f'--port={port}',
            f'--answer_bytes={answer_bytes}',
        ],
    )
    return f'http://127.0.0.1:{port}', running.processes.pid('bare')


async def wait_url(running: deployment.Deployment, url: str) -> None:
    """Wait until a URL is answered."""

    async def answers() -> bool:
        return (await running.request_json('GET', url))[0] == 200

    await running.wait_until_async(answers, 20.0, url)


class Bench(abc.ABC):
    """Processes that are kept for all sizes of an experiment."""

    def __init__(self) -> None:
        self.loop = uvloop.new_event_loop()
        self.stack = contextlib.AsyncExitStack()
        self.running: deployment.Deployment | None = None

    @abc.abstractmethod
    async def measure(self, size: int) -> Values:
        """Start what is not running yet and measure a size."""

    def run(self, size: int) -> Values:
        """Measure in the bench's own loop."""
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(self.measure(size))

    def close(self) -> None:
        """End the processes."""
        self.loop.run_until_complete(self.stack.aclose())
        self.loop.close()
        asyncio.set_event_loop(None)


class LookupBench(Bench):
    """A node and the bare process, kept for all sizes of the experiment."""

    def __init__(self) -> None:
        super().__init__()
        self.urls: dict[str, tuple[str, int]] = {}

    async def start(self) -> deployment.Deployment:
        """Start what is not running yet."""
        if self.running is not None:
            return self.running
        running = await self.stack.enter_async_context(deployed())
        self.running = running
        first = next(iter(running.vms))
        await running.start_node(first)
        await running.submit_first_ticket()
        await running.wait_until_ready([first])
        node_url = running.node_urls[first].callers
        size = await _capacity_load.send(node_url, _capacity_load.CONNECTIONS)
        self.urls['node'] = node_url, running.processes.pid(first)
        self.urls['bare'] = start_bare(running, size)
        await wait_url(running, self.urls['bare'][0])
        for url, _ in self.urls.values():
            await _capacity_load.send(url, 400)
        return running

    async def spend(self, name: str, count: int) -> tuple[float, float]:
        """Return a process's time for answers and its resident memory."""
        url, pid = self.urls[name]
        before = cpu_ms(pid)
        await _capacity_load.send(url, count)
        return cpu_ms(pid) - before, resident_mib(pid)

    async def measure(self, size: int) -> Values:
        """Measure the same number of look-ups and bare answers."""
        await self.start()
        node_ms, node_mib = await self.spend('node', size)
        bare_ms, bare_mib = await self.spend('bare', size)
        return {
            'node_ms': node_ms,
            'bare_ms': bare_ms,
            'ratio': node_ms / bare_ms,
            'node_resident_mib': node_mib,
            'bare_resident_mib': bare_mib,
        }


class FleetBench(Bench):
    """A deployment to which nodes are added until a size is reached."""

    def __init__(self) -> None:
        super().__init__()
        self.started: list[str] = []

    async def grow(self, size: int) -> deployment.Deployment:
        """Have a number of nodes running; begin again to have fewer."""
        if size < len(self.started):
            await self.restart()
        if self.running is None:
            self.running = await self.stack.enter_async_context(deployed())
        fresh = not self.started
        for vm in list(self.running.vms)[len(self.started) : size]:
            await self.running.start_node(vm)
            self.started.append(vm)
        if fresh:
            await self.running.submit_first_ticket()
        await self.running.wait_until_ready(self.started)
        await asyncio.sleep(SETTLE_S)
        return self.running

    async def grow_again(self, size: int) -> deployment.Deployment:
        """Grow, once more from the start if a node cannot bind its port.

        Ports are chosen when the deployment starts; another process may have
        taken one by the time the last node starts.
        """
        try:
            return await self.grow(size)
        except deployment.DeploymentError:
            await self.restart()
            return await self.grow(size)

    async def restart(self) -> None:
        """End all processes, so that the next size begins anew."""
        await self.stack.aclose()
        self.running, self.started = None, []

    async def measure(self, size: int) -> Values:
        """Measure idle nodes over a time."""
        running = await self.grow_again(size)
        pids = [running.processes.pid(vm) for vm in self.started]
        before = await store_counts(running)
        spent = [cpu_ms(pid) for pid in pids]
        loop = asyncio.get_running_loop()
        began = loop.time()
        await asyncio.sleep(WINDOW_S)
        elapsed = loop.time() - began
        spent = [cpu_ms(pid) - ms for pid, ms in zip(pids, spent, strict=True)]
        after = await store_counts(running)
        calls = {
            name: (after[name] - before[name]) / elapsed for name in after
        }
        return {
            'reads_per_s': calls['reads'],
            'waits_per_s': calls['waits'],
            'writes_per_s': calls['writes'],
            'idle_core_percent': sum(spent) / size / elapsed / 10,
            'node_resident_mib': sum(map(resident_mib, pids)) / size,
        }


async def store_counts(running: deployment.Deployment) -> dict[str, int]:
    """Return the store's counts of calls."""
    url = running.control_urls['store'] + '/control'
    _, shown = await running.request_json('GET', url)
    counts: dict[str, int] = shown['counts']
    return counts


class ProbeBench(Bench):
    """Probes of one server that answers at once."""

    def __init__(self) -> None:
        super().__init__()
        self.server: config.BackendServer | None = None

    async def start(self) -> config.BackendServer:
        """Start the server unless it is running."""
        if self.server is None:
            running = await self.stack.enter_async_context(deployed())
            url, _ = start_bare(running, 2)
            await wait_url(running, url)
            self.server = config.BackendServer(
                'server-0', 'service-0', url.removeprefix('http://'),
                'region-0', 'zone-0', 3, 400, 0.0,
            )  # fmt: skip
        return self.server

    async def measure(self, size: int) -> Values:
        """Measure a number of probes, one after the other."""
        server = await self.start()
        async with aiohttp.ClientSession() as session:
            prober = routing.HttpProber(session)
            await prober.probe(server)
            watch = _capacity_fit.Stopwatch()
            for _ in range(size):
                found = await prober.probe(server)
                if found.event is not routing.HealthEvent.PROBE_UP:
                    raise AssertionError('a probe failed')
            return {'cpu_ms': watch.us() / 1000}


LOOKUP_UNITS: typing.Final = {
    'node_ms': 'ms of processor time',
    'bare_ms': 'ms of processor time',
    'ratio': 'node to bare',
    'node_resident_mib': 'MiB',
    'bare_resident_mib': 'MiB',
}
FLEET_UNITS: typing.Final = {
    'reads_per_s': 'calls a second, all nodes',
    'waits_per_s': 'of them blocking',
    'writes_per_s': 'calls a second, all nodes',
    'idle_core_percent': '% of a core and node',
    'node_resident_mib': 'MiB a node',
}


@contextlib.contextmanager
def experiments() -> collections.abc.Iterator[
    tuple[_capacity_fit.Experiment, ...]
]:
    """Return the experiments with processes; ends these at the exit."""
    with (
        contextlib.closing(LookupBench()) as lookups,
        contextlib.closing(FleetBench()) as fleet,
        contextlib.closing(ProbeBench()) as probes,
    ):
        yield (
            _capacity_fit.Experiment(
                'lookup_process',
                'look-ups',
                (500, 1000, 1500, 2000),
                (100, 200, 300, 400),
                # One node's average share of 1.3 million a second.
                542,
                LOOKUP_UNITS,
                lookups.run,
            ),
            _capacity_fit.Experiment(
                'fleet',
                'nodes',
                (2, 4, 5, 7),
                (1, 2, 3, 4),
                _capacity_world.ZONE_NODES,
                FLEET_UNITS,
                fleet.run,
            ),
            _capacity_fit.Experiment(
                'probe',
                'probes',
                (100, 200, 400, 800),
                (5, 10, 15, 20),
                _capacity_world.SERVERS // _capacity_world.REGIONS,
                {'cpu_ms': 'ms'},
                probes.run,
            ),
        )
