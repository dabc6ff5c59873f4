"""Active health checks: probes of backend servers' health endpoints."""

import abc
import asyncio
import random
import typing

import aiohttp
import msgspec
import result

from filbertstep import _health
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import systems

# Mean time between two probes of a server, before jitter.
PROBE_INTERVAL_S: typing.Final = 1.0

PROBE_TIMEOUT_S: typing.Final = 0.8

# Seconds for which a server of another region is probed after its last use.
REMOTE_PROBE_AFTER_USE_S: typing.Final = 30.0

# Header of ORCA load reports in responses.
LOAD_REPORT_HEADER: typing.Final = 'endpoint-load-metrics'

# Marks a report in JSON; a report without the prefix is read as JSON as well.
JSON_REPORT_PREFIX: typing.Final = 'JSON '


class OrcaReport(msgspec.Struct):
    """The used fields of an ORCA load report; others are ignored."""

    application_utilization: float = 0.0
    cpu_utilization: float = 0.0


class ProbeResult(typing.NamedTuple):
    """Result of a probe; ``load`` is 0 to 1, None if not reported."""

    event: _health.HealthEvent
    load: float | None


class Prober(abc.ABC):
    """Interface for probing the health of a backend server."""

    @abc.abstractmethod
    async def probe(self, server: config.BackendServer) -> ProbeResult:
        """Probe a server; failures are returned and not raised."""


def parse_load(header: str | None) -> float | None:
    """Return the load (0 to 1) of a JSON load report, None if invalid.

    Overloaded servers may report more than 1.  The value is capped at 1,
    because nothing depends on the degree of overload.
    """
    if header is None:
        return None
    text = header.removeprefix(JSON_REPORT_PREFIX)
    decoded = codec.decode_open(text, OrcaReport)
    if isinstance(decoded, result.Err):
        return None
    report = decoded.ok_value
    load = report.application_utilization or report.cpu_utilization
    return min(1.0, max(0.0, load))


STATUS_EVENTS: typing.Final[dict[int, _health.HealthEvent]] = {
    200: _health.HealthEvent.PROBE_UP,
    503: _health.HealthEvent.PROBE_DRAINING,
}


class HttpProber(Prober):
    """Probes with ``GET /healthz``: 200 is up, 503 is draining."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)

    async def probe(self, server: config.BackendServer) -> ProbeResult:
        """Request the health endpoint; any other status is a failure."""
        url = f'http://{server.address}/healthz'
        try:
            async with self.session.get(
                url, timeout=self.timeout, allow_redirects=False
            ) as answer:
                event = STATUS_EVENTS.get(
                    answer.status, _health.HealthEvent.PROBE_FAILED
                )
                load = parse_load(answer.headers.get(LOAD_REPORT_HEADER))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ProbeResult(_health.HealthEvent.PROBE_FAILED, None)
        return ProbeResult(event, load)


class HealthSystem(systems.System):
    """Keeps the health table current with probes and the configuration."""

    def __init__(
        self,
        table: _health.HealthTable,
        views: config.ViewTable,
        prober: Prober,
        clock: clock.Clock,
        region: str,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.views = views
        self.prober = prober
        self.clock = clock
        self.region = region
        self.rng = rng
        self.synced_head_index = -1
        self.probe_tasks: dict[str, asyncio.Task[None]] = {}

    def tick(self, now: float) -> None:
        """Apply a new configuration, expire evidence and start due probes."""
        view = self.views.newest
        if view is None:
            return
        if view.head_index != self.synced_head_index:
            self.table.sync(view.config.backend_servers, now)
            self.synced_head_index = view.head_index
        self.table.expire_evidence(now)
        for row in self.due_rows(now):
            # The jitter prevents VMs from probing in lockstep.
            row.next_probe_at = now + PROBE_INTERVAL_S * self.rng.uniform(
                0.9, 1.1
            )
            name = row.server.name
            self.probe_tasks[name] = asyncio.get_running_loop().create_task(
                self.probe_one(row.server)
            )

    def due_rows(self, now: float) -> list[_health.HealthRow]:
        """Return the servers whose probe is due and not yet running."""
        return [
            row
            for name, row in self.table.rows.items()
            if now >= row.next_probe_at
            and name not in self.probe_tasks
            and (
                row.server.region == self.region
                or now - row.last_used_at <= REMOTE_PROBE_AFTER_USE_S
            )
        ]

    async def probe_one(self, server: config.BackendServer) -> None:
        """Probe a server and apply the result."""
        try:
            probe = await self.prober.probe(server)
            now = self.clock.now()
            self.table.observe(server.name, probe.event, now)
            self.table.record_load(server.name, probe.load, now)
        finally:
            self.probe_tasks.pop(server.name, None)

    async def close(self) -> None:
        """Cancel the running probes."""
        probe_tasks = list(self.probe_tasks.values())
        for task in probe_tasks:
            task.cancel()
        await asyncio.gather(*probe_tasks, return_exceptions=True)
