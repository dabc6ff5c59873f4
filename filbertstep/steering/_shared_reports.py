"""Reports on servers that the entry VMs of an availability zone share.

A VM learns the load of a server, and which objects it has cached, only from
answers to its own requests.  Where many VMs have few requests each, that is
rarely and late: all of them send the requests for an object to the same
server, and none sees that its slots are full.  One VM of the zone, the
collector, therefore keeps the newest reports of all of them and passes them
on.
"""

import collections
import collections.abc
import typing

from filbertstep.steering import _load_reports
from filbertstep.steering import _servers

# Age from which a report is not passed on: the load has changed since.
MAX_REPORT_AGE_S: typing.Final = 3.0

# Reports that a VM keeps, oldest first to go.
MAX_REPORTS: typing.Final = 4096


class ServerReport(typing.NamedTuple):
    """What an answer told of its server.

    ``object_key`` is the object that the server has handled, empty if there is
    none.  ``at`` is the time of the answer on the clock of this VM.
    """

    server_id: str
    object_key: str
    load: _load_reports.LoadReport
    at: float


def is_recent(report: ServerReport, now: float) -> bool:
    """Return whether a report may be passed on."""
    return now - report.at <= MAX_REPORT_AGE_S


class NumberedReport(typing.NamedTuple):
    """A report with its number in the log, and the VM that it came from."""

    number: int
    source: str
    report: ServerReport


class ReportLog:
    """The newest reports, numbered in the order in which they arrived.

    ``max_per_message`` limits what one VM is told at a time.
    """

    max_per_message: typing.Final = 512

    def __init__(self) -> None:
        self.reports: collections.deque[NumberedReport] = collections.deque()
        self.last_number = 0

    def add(self, source: str, report: ServerReport) -> None:
        """Add a report that came from a VM."""
        self.last_number += 1
        self.reports.append(NumberedReport(self.last_number, source, report))
        if len(self.reports) > MAX_REPORTS:
            self.reports.popleft()

    def newer_than(
        self, number: int, reader: str, now: float
    ) -> list[ServerReport]:
        """Return the reports after a number that did not come from a VM.

        They are in the order of their arrival; old ones are left out, and so
        are the oldest of very many.
        """
        self.drop_old(now)
        newer: list[ServerReport] = []
        for row in reversed(self.reports):
            if row.number <= number or len(newer) >= self.max_per_message:
                break
            if row.source != reader and is_recent(row.report, now):
                newer.append(row.report)
        newer.reverse()
        return newer

    def drop_old(self, now: float) -> None:
        """Drop the reports before the first that is not too old."""
        while self.reports and not is_recent(self.reports[0].report, now):
            self.reports.popleft()


def apply_reports(
    table: _servers.ServerTable,
    reports: collections.abc.Iterable[ServerReport],
    now: float,
) -> None:
    """Record what other VMs report of the servers in the table.

    A report from before this VM knew of a server may be one on the former
    process, whose requests and cached objects are gone.
    """
    for report in reports:
        server = table.by_id.get(report.server_id)
        if server is None or not 0.0 <= now - report.at <= MAX_REPORT_AGE_S:
            continue
        if report.at < server.known_since:
            continue
        server.record_shared_load(
            report.load.running, report.load.waiting, report.at, now
        )
        server.record_machine(report.load.machine_slowdown, report.at)
        if report.object_key:
            server.record_object(report.object_key, report.at)
