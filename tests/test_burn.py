"""Tests of the report on error budgets."""

import typing
import unittest

from filbertstep import burn
from filbertstep import config
from filbertstep import errors

SERVICE = config.Service(
    name='bookings',
    path_prefix='/bookings',
    work=config.WorkType.INTERACTIVE,
    open=False,
    idempotent_methods=frozenset({'GET'}),
    deadline_s=2.0,
    max_body_bytes=1000,
    queue_limit=10,
    regions={'hobart': 1.0},
    objective=config.Objective(100, 0.9, 0.99),
)

CONFIG = config.EMPTY_CONFIG._replace(
    services={'bookings': SERVICE},
    client_accounts={
        'cafe': config.ClientAccount('cafe', 2.0, 4.0, frozenset(['bookings']))
    },
)

KEY = burn.RowKey('bookings', 'cafe', 'hobart')


class ReportCase(typing.NamedTuple):
    """Counted answers and the expected report.

    ``answers`` are (error kind, in time, number of such answers).
    """

    name: str
    answers: list[tuple[errors.ErrorKind | None, bool, int]]
    objective: str
    bad: int
    total: int
    burn: float


REPORT_CASES = [
    ReportCase('all good', [(None, True, 100)], 'in_time', 0, 100, 0.0),
    ReportCase(
        'a known share late',
        [(None, True, 80), (None, False, 20)],
        'in_time',
        20,
        100,
        2.0,
    ),
    ReportCase(
        'a failure is not in time',
        [(None, True, 9), (errors.ErrorKind.BACKEND_FAILED, False, 1)],
        'in_time',
        1,
        10,
        1.0,
    ),
    ReportCase(
        'refused for lack of room',
        [(None, True, 98), (errors.ErrorKind.NO_ROOM, False, 2)],
        'served',
        2,
        100,
        2.0,
    ),
    ReportCase(
        'over the rate after using all of it',
        [(None, True, 120), (errors.ErrorKind.OVER_RATE, False, 500)],
        'served',
        0,
        120,
        0.0,
    ),
    ReportCase(
        'over the rate with half of it unused',
        [(None, True, 60), (errors.ErrorKind.OVER_RATE, False, 40)],
        'served',
        40,
        100,
        40.0,
    ),
    ReportCase(
        'errors of the caller are nobody else its fault',
        [(None, True, 10), (errors.ErrorKind.UNAUTHORIZED, False, 90)],
        'served',
        0,
        10,
        0.0,
    ),
]


def find_row(
    report: burn.BurnReport, scope: str, objective: str
) -> burn.BurnRow:
    """Return the only row of the report for a scope and an objective."""
    rows = [
        row
        for row in report['rows']
        if row['scope'] == scope and row['objective'] == objective
    ]
    assert len(rows) == 1, rows
    return rows[0]


class TestReport(unittest.TestCase):
    """The report shows the actual share of requests that missed the SLO."""

    def test_reports_bad_requests_and_burn_rate(self) -> None:
        """Guards against missing or spurious failures in the report."""
        for case in REPORT_CASES:
            with self.subTest(case.name):
                table = burn.BurnTable(0.0)
                for kind, in_time, repetitions in case.answers:
                    for _ in range(repetitions):
                        table.count(KEY, kind, in_time, 30.0)
                report = burn.build_report(
                    burn.merge_exports([table.export(31.0)]),
                    CONFIG,
                    ['a'],
                    [],
                    1.0,
                )
                row = find_row(report, 'service', case.objective)
                self.assertEqual(case.bad, row['bad']['5'])
                self.assertEqual(case.total, row['total']['5'])
                self.assertAlmostEqual(case.burn, row['burn']['5'], places=2)

    def test_short_window_excludes_old_minutes(self) -> None:
        """Guards against windows that all cover the same minutes."""
        table = burn.BurnTable(0.0)
        for _ in range(10):
            table.count(KEY, None, False, 30.0)
        for _ in range(10):
            table.count(KEY, None, True, 30.0 + 20 * 60)
        report = burn.build_report(
            burn.merge_exports([table.export(31.0 + 20 * 60)]),
            CONFIG,
            ['a'],
            [],
            21,
        )
        row = find_row(report, 'service', 'in_time')
        self.assertEqual(0, row['bad']['5'])
        self.assertEqual(10, row['bad']['60'])

    def test_sums_rows_of_several_vms(self) -> None:
        """Guards against a report with the counts of only one VM."""
        tables = [burn.BurnTable(0.0) for _ in range(3)]
        for table in tables:
            table.count(KEY, None, True, 1.0)
        merged = burn.merge_exports([table.export(2.0) for table in tables])
        report = burn.build_report(merged, CONFIG, ['a', 'b', 'c'], ['d'], 1.0)
        row = find_row(report, 'client_account', 'in_time')
        self.assertEqual(3, row['total']['5'])
        self.assertEqual(['d'], report['missing'])

    def test_deletes_old_minutes(self) -> None:
        """Guards against memory that grows with the node's run time."""
        table = burn.BurnTable(0.0)
        for minute in range(1000):
            table.count(KEY, None, True, minute * 60.0)
        self.assertLessEqual(len(table.minutes), 360)
