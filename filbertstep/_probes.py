"""Probes of the backend servers' health endpoints."""

import abc
import asyncio
import random
import typing

import aiohttp
import msgspec

from filbertstep import _health
from filbertstep import clock
from filbertstep import config
from filbertstep import systems

# Time in seconds between two probes of a server, and how long one may take.
PROBE_EVERY_S: typing.Final = 1.0
PROBE_TIMEOUT_S: typing.Final = 0.8

# Servers of other regions are probed for this time in seconds after use.
USED_FOR_S: typing.Final = 30.0

LOAD_HEADER: typing.Final = 'endpoint-load-metrics'
LOAD_PREFIX: typing.Final = 'JSON '


class OrcaReport(msgspec.Struct):
    """The fields of an ORCA load report that are used; others are skipped."""

    application_utilization: float = 0.0
    cpu_utilization: float = 0.0


class Probe(typing.NamedTuple):
    """Result of one probe; ``load`` is 0 to 1, None when not reported."""

    event: _health.HealthEvent
    load: float | None


class Prober(abc.ABC):
    """Asks a backend server for its health."""

    @abc.abstractmethod
    async def probe(self, server: config.BackendServer) -> Probe:
        """Return what the server says; a failure is a result, not raised."""


def parse_load(header: str | None) -> float | None:
    """Return the load of a report in JSON form, None when unreadable.

    Servers may report more than 1 when they are overloaded; the value is cut
    off at 1, because nothing depends on how far above it is.
    """
    if header is None:
        return None
    text = header.removeprefix(LOAD_PREFIX)
    try:
        report = msgspec.json.decode(text, type=OrcaReport)
    except msgspec.DecodeError:
        return None
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

    async def probe(self, server: config.BackendServer) -> Probe:
        """Ask the health endpoint; any other status counts as a failure."""
        url = f'http://{server.address}/healthz'
        try:
            async with self.session.get(
                url, timeout=self.timeout, allow_redirects=False
            ) as answer:
                event = STATUS_EVENTS.get(
                    answer.status, _health.HealthEvent.PROBE_FAILED
                )
                load = parse_load(answer.headers.get(LOAD_HEADER))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Probe(_health.HealthEvent.PROBE_FAILED, None)
        return Probe(event, load)


class HealthSystem(systems.System):
    """Keeps the health table: probes that are due, ageing, new servers."""

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
        self.synced_index = -1
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def tick(self, now: float) -> None:
        """Follow the configuration, age results and start due probes."""
        view = self.views.newest
        if view is None:
            return
        if view.head_index != self.synced_index:
            self.table.sync(view.config.backend_servers, now)
            self.synced_index = view.head_index
        self.table.age(now)
        for row in self.due(now):
            # Spread over time, so that VMs do not probe in step.
            row.next_probe = now + PROBE_EVERY_S * self.rng.uniform(0.9, 1.1)
            name = row.server.name
            self.tasks[name] = asyncio.get_running_loop().create_task(
                self.probe_one(row.server)
            )

    def due(self, now: float) -> list[_health.HealthRow]:
        """Return the rows whose probe is due and not running."""
        return [
            row
            for name, row in self.table.rows.items()
            if now >= row.next_probe
            and name not in self.tasks
            and (
                row.server.region == self.region
                or now - row.used_at <= USED_FOR_S
            )
        ]

    async def probe_one(self, server: config.BackendServer) -> None:
        """Probe a server and apply the result."""
        try:
            probe = await self.prober.probe(server)
            now = self.clock.now()
            self.table.observe(server.name, probe.event, now)
            self.table.report_load(server.name, probe.load, now)
        finally:
            self.tasks.pop(server.name, None)

    async def close(self) -> None:
        """Cancel the probes that run."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
