"""Exchanges reports on servers between the entry VMs of a zone.

Every VM sends the reports of its answers to the collector of its availability
zone and gets those of the others back.  If the collector fails, nothing is
exchanged until the VMs' list names another one, and what is known decays.
"""

import asyncio
import typing

import aiohttp
import msgspec

from filbertstep import clock
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _log
from filbertstep.entry import _peer_errors
from filbertstep.entry import _state

REPORTS_PATH: typing.Final = '/reports'

# Shortest time between two messages of a VM, and the least time per VM of the
# zone: the collector answers all of them.
MIN_INTERVAL_S: typing.Final = 0.4
INTERVAL_PER_VM_S: typing.Final = 0.02

EXCHANGE_TIMEOUT_S: typing.Final = 0.3

# Length of an object key above which an object is not reported.  Callers
# choose the keys.
MAX_OBJECT_KEY_LENGTH: typing.Final = 64

# Longest name of a server or a VM.  The collector keeps the names.
MAX_NAME_LENGTH: typing.Final = 256

# Longest message that a collector decodes.  The largest valid one has 350 kB.
MAX_BODY_BYTES: typing.Final = 512 * 1024

Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# Numbers of reports, which rise as long as the collector runs.
ReportNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Slowdown = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]
Age = typing.Annotated[float, msgspec.Meta(ge=0, le=60)]

# Server id, object, running and waiting requests, slowdown of the machine, and
# age in seconds.
ReportRow = tuple[Name, str, Count, Count, Slowdown | None, Age]


class ReportsDoc(typing.TypedDict):
    """The reports of a VM, and what it has of its collector's reports.

    ``collector_start`` tells a collector that was started again from its
    predecessor, whose numbers it does not know.
    """

    vm: Name
    collector_start: str
    after: ReportNumber
    reports: list[ReportRow]


class ReportsAnswerDoc(typing.TypedDict):
    """Reports of other VMs; ``last`` is the number of the newest one."""

    collector_start: str
    last: ReportNumber
    reports: list[ReportRow]


def to_rows(
    reports: list[steering.ServerReport], now: float
) -> list[ReportRow]:
    """Return the rows of reports, with ages in place of times."""
    return [
        (
            report.server_id,
            report.object_key,
            report.load.running,
            report.load.waiting,
            report.load.machine_slowdown,
            round(max(0.0, now - report.at), 3),
        )
        for report in reports
    ]


def from_rows(
    rows: list[ReportRow], now: float
) -> list[steering.ServerReport]:
    """Return the reports of rows whose ages count from a time."""
    return [
        steering.ServerReport(
            server_id,
            object_key[:MAX_OBJECT_KEY_LENGTH],
            steering.LoadReport(running, waiting, machine_slowdown),
            now - age_s,
        )
        for (
            server_id,
            object_key,
            running,
            waiting,
            machine_slowdown,
            age_s,
        ) in rows[-steering.ReportLog.max_per_message :]
    ]


class ReportExchange:
    """Sends this VM's reports, and answers if this VM is the collector.

    ``active`` is set once a server reports the slowdown of its machine.  Only
    such servers become slow and full by what others do on their machines, so
    that the own answers of a VM are not enough.
    """

    def __init__(
        self,
        state: _state.State,
        session: aiohttp.ClientSession,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        log: _log.DecisionLog,
    ) -> None:
        self.state = state
        self.session = session
        self.clock = time_source
        self.counters = counters
        self.log = log
        self.start_id = f'{time_source.now():.6f}'
        self.collected = steering.ReportLog()
        self.unsent: list[steering.ServerReport] = []
        self.active = False
        self.collector = ''
        self.collector_start = ''
        self.last_number = 0

    def record(
        self,
        server_id: str,
        object_key: str,
        load: steering.LoadReport,
        now: float,
    ) -> None:
        """Keep the report of an answer until it is sent."""
        if load.machine_slowdown is not None and not self.active:
            self.active = True
            self.log.write('reports_shared', server=server_id)
        if not self.active or len(server_id) > MAX_NAME_LENGTH:
            return
        if len(object_key) > MAX_OBJECT_KEY_LENGTH:
            object_key = ''
        self.unsent.append(
            steering.ServerReport(server_id, object_key, load, now)
        )
        if len(self.unsent) > steering.ReportLog.max_per_message:
            del self.unsent[0]

    def zone_members(self) -> list[steering.Member]:
        """Return the registered VMs of this availability zone."""
        zone = self.state.settings.availability_zone
        return [
            member
            for member in self.state.members.live.values()
            if member.availability_zone == zone
        ]

    async def run(self) -> None:
        """Exchange reports in an endless loop."""
        while True:
            members = self.zone_members()
            await asyncio.sleep(
                max(MIN_INTERVAL_S, INTERVAL_PER_VM_S * len(members))
            )
            if self.active and len(members) > 1:
                await self.exchange(members)

    async def exchange(self, members: list[steering.Member]) -> None:
        """Exchange reports with the collector, unless this VM is it.

        The collector is the last VM by name, because the first one already
        reads the store for the zone.
        """
        collector = max(members, key=lambda member: member.vm)
        now = self.clock.now()
        # A VM that was paused, or had no other VM to send to, has old reports.
        reports = [
            report for report in self.unsent if steering.is_recent(report, now)
        ]
        self.unsent = []
        own_vm = self.state.settings.vm
        if collector.vm == own_vm:
            for report in reports:
                self.collected.add(own_vm, report)
            return
        if collector.vm != self.collector:
            self.collector, self.collector_start = collector.vm, ''
            self.log.write('report_collector', vm=collector.vm)
        doc: ReportsDoc = {
            'vm': own_vm,
            'collector_start': self.collector_start,
            'after': self.last_number if self.collector_start else 0,
            'reports': to_rows(reports, now),
        }
        try:
            answer = await self.send(collector.peers, doc)
        except _peer_errors.PEER_ERRORS as error:
            self.counters.events.labels('reports_failed').inc()
            self.log.write(
                'reports_failed',
                peer=collector.peers,
                error=type(error).__name__,
            )
            return
        self.collector_start = answer['collector_start']
        self.last_number = answer['last']
        # Ages count from when the message was sent: an answer that is read
        # after a pause of this VM is older than it states.
        received = from_rows(answer['reports'], now)
        self.counters.events.labels('report_received').inc(len(received))
        steering.apply_reports(self.state.servers, received, self.clock.now())

    async def send(self, address: str, doc: ReportsDoc) -> ReportsAnswerDoc:
        """Send reports to the collector and return its answer.

        Raises what the HTTP client raises, ``ValueError`` for an answer that
        cannot be decoded, and ``RecursionError`` for one nested too deeply.
        """
        async with self.session.post(
            f'http://{address}{REPORTS_PATH}',
            data=msgspec.json.encode(doc),
            timeout=aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S),
            raise_for_status=True,
        ) as response:
            body = await response.read()
        return msgspec.json.decode(body, type=ReportsAnswerDoc)

    def collect(self, body: bytes) -> ReportsAnswerDoc | None:
        """Take the reports of another VM; return those of the others.

        Returns None for a message that is too long or cannot be decoded.
        """
        if len(body) > MAX_BODY_BYTES:
            return None
        try:
            doc = msgspec.json.decode(body, type=ReportsDoc)
        except (ValueError, RecursionError):
            return None
        now = self.clock.now()
        reports = from_rows(doc['reports'], now)
        for report in reports:
            self.collected.add(doc['vm'], report)
        steering.apply_reports(self.state.servers, reports, now)
        known = doc['collector_start'] == self.start_id
        newer = self.collected.newer_than(
            doc['after'] if known else 0, doc['vm'], now
        )
        return {
            'collector_start': self.start_id,
            'last': self.collected.last_number,
            'reports': to_rows(newer, now),
        }
