"""Measurements of separate processes: look-ups, idle nodes and probes.

The processor time of nodes and bare servers is read from
``/proc/<pid>/schedstat``, which gives it in nanoseconds and excludes the time
that a process waited for a core.
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

FigureValues = _capacity_fit.FigureValues

DEPLOYMENT_PLAN: typing.Final = 'huon-burr'

# Time for a new epoch that includes the node started last.
EPOCH_SETTLE_S: typing.Final = 1.0
IDLE_WINDOW_S: typing.Final = 3.0


def cpu_ms(pid: int) -> float:
    """Return the processor time that a process has used, in milliseconds."""
    text = pathlib.Path(f'/proc/{pid}/schedstat').read_text(encoding='ascii')
    return int(text.split()[0]) / 1e6


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(row for row in text.splitlines() if row.startswith('VmRSS:'))
    return int(line.split()[1]) / 1024


@contextlib.asynccontextmanager
async def running_deployment() -> collections.abc.AsyncIterator[
    deployment.Deployment
]:
    """Yield a deployment whose stand-ins run, but none of its nodes."""
    with tempfile.TemporaryDirectory(prefix='filbertstep-') as directory:
        plan = deployment.load_plan(DEPLOYMENT_PLAN)
        running = deployment.Deployment(plan, deployment.Options(directory))
        async with running:
            yield running
            # Kills the nodes, because a graceful stop takes seconds.
            for vm in running.vms:
                if running.processes.is_running(vm):
                    running.processes.kill(vm)


def start_bare_server(
    running: deployment.Deployment, answer_bytes: int
) -> tuple[str, int]:
    """Start the bare HTTP server; return its URL and process ID."""
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


async def wait_until_answered(
    running: deployment.Deployment, url: str
) -> None:
    """Wait until a GET of the URL returns status 200."""

    async def is_answered() -> bool:
        return (await running.request_json('GET', url))[0] == 200

    await running.wait_until_async(is_answered, 20.0, url)


class ProcessBench(abc.ABC):
    """Processes that keep running for all sizes of an experiment."""

    def __init__(self) -> None:
        self.loop = uvloop.new_event_loop()
        self.stack = contextlib.AsyncExitStack()
        self.running: deployment.Deployment | None = None

    @abc.abstractmethod
    async def measure(self, size: int) -> FigureValues:
        """Start the processes that are not running yet and measure a size."""

    def run(self, size: int) -> FigureValues:
        """Measure a size in this bench's event loop."""
        asyncio.set_event_loop(self.loop)
        return self.loop.run_until_complete(self.measure(size))

    def close(self) -> None:
        """Stop the processes and close the event loop."""
        self.loop.run_until_complete(self.stack.aclose())
        self.loop.close()
        asyncio.set_event_loop(None)


class LookupBench(ProcessBench):
    """A node and a bare HTTP server that answer the same look-ups."""

    def __init__(self) -> None:
        super().__init__()
        self.urls: dict[str, tuple[str, int]] = {}

    async def start(self) -> deployment.Deployment:
        """Start and warm up the node and the bare server, unless running."""
        if self.running is not None:
            return self.running
        running = await self.stack.enter_async_context(running_deployment())
        self.running = running
        first_vm = next(iter(running.vms))
        await running.start_node(first_vm)
        await running.submit_first_ticket()
        await running.wait_until_ready([first_vm])
        node_url = running.node_urls[first_vm].callers
        answer_bytes = await _capacity_load.send_lookups(
            node_url, _capacity_load.CONNECTIONS
        )
        self.urls['node'] = node_url, running.processes.pid(first_vm)
        self.urls['bare'] = start_bare_server(running, answer_bytes)
        await wait_until_answered(running, self.urls['bare'][0])
        for url, _ in self.urls.values():
            await _capacity_load.send_lookups(url, 400)
        return running

    async def send_and_measure(
        self, name: str, count: int
    ) -> tuple[float, float]:
        """Send look-ups to a process.

        Returns its processor time for them in ms and its memory in MiB.
        """
        url, pid = self.urls[name]
        cpu_ms_before = cpu_ms(pid)
        await _capacity_load.send_lookups(url, count)
        return cpu_ms(pid) - cpu_ms_before, resident_mib(pid)

    async def measure(self, size: int) -> FigureValues:
        """Send ``size`` look-ups to the node and to the bare server."""
        await self.start()
        node_ms, node_mib = await self.send_and_measure('node', size)
        bare_ms, bare_mib = await self.send_and_measure('bare', size)
        return {
            'node_ms': node_ms,
            'bare_ms': bare_ms,
            'ratio': node_ms / bare_ms,
            'node_resident_mib': node_mib,
            'bare_resident_mib': bare_mib,
        }


class FleetBench(ProcessBench):
    """A deployment to which nodes are added until a size is reached."""

    def __init__(self) -> None:
        super().__init__()
        self.started_vms: list[str] = []

    async def start_nodes(self, size: int) -> deployment.Deployment:
        """Bring the number of running nodes to ``size``.

        If more are running, restarts the deployment.
        """
        if size < len(self.started_vms):
            await self.stop_all()
        if self.running is None:
            self.running = await self.stack.enter_async_context(
                running_deployment()
            )
        is_new_deployment = not self.started_vms
        for vm in list(self.running.vms)[len(self.started_vms) : size]:
            await self.running.start_node(vm)
            self.started_vms.append(vm)
        if is_new_deployment:
            await self.running.submit_first_ticket()
        await self.running.wait_until_ready(self.started_vms)
        await asyncio.sleep(EPOCH_SETTLE_S)
        return self.running

    async def start_nodes_with_retry(self, size: int) -> deployment.Deployment:
        """Start nodes; on a failure, retry once with a new deployment.

        Ports are chosen when the deployment starts.  Another process may take
        one before the last node binds its port.
        """
        try:
            return await self.start_nodes(size)
        except deployment.DeploymentError:
            await self.stop_all()
            return await self.start_nodes(size)

    async def stop_all(self) -> None:
        """Stop all processes, so that the next size gets a new deployment."""
        await self.stack.aclose()
        self.running, self.started_vms = None, []

    async def measure(self, size: int) -> FigureValues:
        """Measure store calls, processor time and memory of idle nodes."""
        running = await self.start_nodes_with_retry(size)
        pids = [running.processes.pid(vm) for vm in self.started_vms]
        counts_before = await fetch_store_counts(running)
        spent_ms = [cpu_ms(pid) for pid in pids]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(IDLE_WINDOW_S)
        elapsed_s = loop.time() - started_at
        spent_ms = [
            cpu_ms(pid) - ms for pid, ms in zip(pids, spent_ms, strict=True)
        ]
        counts_after = await fetch_store_counts(running)
        calls = {
            name: (counts_after[name] - counts_before[name]) / elapsed_s
            for name in counts_after
        }
        return {
            'reads_per_s': calls['reads'],
            'waits_per_s': calls['waits'],
            'writes_per_s': calls['writes'],
            'idle_core_percent': sum(spent_ms) / size / elapsed_s / 10,
            'node_resident_mib': sum(map(resident_mib, pids)) / size,
        }


async def fetch_store_counts(running: deployment.Deployment) -> dict[str, int]:
    """Fetch the call counts of the stand-in store."""
    url = running.control_urls['store'] + '/control'
    _, status = await running.request_json('GET', url)
    counts: dict[str, int] = status['counts']
    return counts


class ProbeBench(ProcessBench):
    """A bare HTTP server to probe, which answers without delay."""

    def __init__(self) -> None:
        super().__init__()
        self.server: config.BackendServer | None = None

    async def start(self) -> config.BackendServer:
        """Start the bare server unless it is running."""
        if self.server is None:
            running = await self.stack.enter_async_context(
                running_deployment()
            )
            url, _ = start_bare_server(running, 2)
            await wait_until_answered(running, url)
            self.server = config.BackendServer(
                'server-0', 'service-0', url.removeprefix('http://'),
                'region-0', 'zone-0', 3, 400, 0.0,
            )  # fmt: skip
        return self.server

    async def measure(self, size: int) -> FigureValues:
        """Measure ``size`` probes in sequence."""
        server = await self.start()
        async with aiohttp.ClientSession() as session:
            prober = routing.HttpProber(session)
            await prober.probe(server)
            timer = _capacity_fit.CpuTimer()
            for _ in range(size):
                outcome = await prober.probe(server)
                if outcome.event is not routing.HealthEvent.PROBE_UP:
                    raise AssertionError(
                        'the probe did not report the server as up'
                    )
            return {'cpu_ms': timer.lap_us() / 1000}


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
    """Yield the experiments that use processes; stop these at exit."""
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
                _capacity_world.TARGET_NODES_PER_ZONE,
                FLEET_UNITS,
                fleet.run,
            ),
            _capacity_fit.Experiment(
                'probe',
                'probes',
                (100, 200, 400, 800),
                (5, 10, 15, 20),
                _capacity_world.TARGET_SERVERS
                // _capacity_world.TARGET_REGIONS,
                {'cpu_ms': 'ms'},
                probes.run,
            ),
        )
