"""Tests of the service-level report."""

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


class Case(typing.NamedTuple):
    """Answers counted (kind, in time, how many) and the expected report."""

    name: str
    answers: list[tuple[errors.ErrorKind | None, bool, int]]
    objective: str
    bad: int
    total: int
    burn: float


CASES = [
    Case('all good', [(None, True, 100)], 'in_time', 0, 100, 0.0),
    Case(
        'a known share late',
        [(None, True, 80), (None, False, 20)],
        'in_time',
        20,
        100,
        2.0,
    ),
    Case(
        'a failure is not in time',
        [(None, True, 9), (errors.ErrorKind.BACKEND_FAILED, False, 1)],
        'in_time',
        1,
        10,
        1.0,
    ),
    Case(
        'refused for lack of room',
        [(None, True, 98), (errors.ErrorKind.NO_ROOM, False, 2)],
        'served',
        2,
        100,
        2.0,
    ),
    Case(
        'over the rate after using all of it',
        [(None, True, 120), (errors.ErrorKind.OVER_RATE, False, 500)],
        'served',
        0,
        120,
        0.0,
    ),
    Case(
        'over the rate with half of it unused',
        [(None, True, 60), (errors.ErrorKind.OVER_RATE, False, 40)],
        'served',
        40,
        100,
        40.0,
    ),
    Case(
        'errors of the caller are nobody else its fault',
        [(None, True, 10), (errors.ErrorKind.UNAUTHORIZED, False, 90)],
        'served',
        0,
        10,
        0.0,
    ),
]


def find(made: burn.BurnReport, scope: str, objective: str) -> burn.BurnRow:
    """Return the only row of a scope and objective."""
    rows = [
        row
        for row in made['rows']
        if row['scope'] == scope and row['objective'] == objective
    ]
    assert len(rows) == 1, rows
    return rows[0]


class TestReport(unittest.TestCase):
    """The report shows a known share of failures as it was."""

    def test_known_shares(self) -> None:
        """Guards against failures that the report leaves out or invents."""
        for case in CASES:
            with self.subTest(case.name):
                table = burn.BurnTable(0.0)
                for kind, in_time, times in case.answers:
                    for _ in range(times):
                        table.count(KEY, kind, in_time, 30.0)
                made = burn.build_report(
                    burn.merge_exports([table.export(31.0)]),
                    CONFIG,
                    ['a'],
                    [],
                    1.0,
                )
                row = find(made, 'service', case.objective)
                self.assertEqual(case.bad, row['bad']['5'])
                self.assertEqual(case.total, row['total']['5'])
                self.assertAlmostEqual(case.burn, row['burn']['5'], places=2)

    def test_short_window_forgets_first(self) -> None:
        """Guards against windows that all show the same minutes."""
        table = burn.BurnTable(0.0)
        for _ in range(10):
            table.count(KEY, None, False, 30.0)
        for _ in range(10):
            table.count(KEY, None, True, 30.0 + 20 * 60)
        made = burn.build_report(
            burn.merge_exports([table.export(31.0 + 20 * 60)]),
            CONFIG,
            ['a'],
            [],
            21,
        )
        row = find(made, 'service', 'in_time')
        self.assertEqual(0, row['bad']['5'])
        self.assertEqual(10, row['bad']['60'])

    def test_rows_of_several_vms_add_up(self) -> None:
        """Guards against a report of one VM shown as the fleet's."""
        tables = [burn.BurnTable(0.0) for _ in range(3)]
        for table in tables:
            table.count(KEY, None, True, 1.0)
        merged = burn.merge_exports([table.export(2.0) for table in tables])
        made = burn.build_report(merged, CONFIG, ['a', 'b', 'c'], ['d'], 1.0)
        row = find(made, 'client_account', 'in_time')
        self.assertEqual(3, row['total']['5'])
        self.assertEqual(['d'], made['missing'])

    def test_old_minutes_are_dropped(self) -> None:
        """Guards against memory that grows with the time of running."""
        table = burn.BurnTable(0.0)
        for minute in range(1000):
            table.count(KEY, None, True, minute * 60.0)
        self.assertLessEqual(len(table.minutes), 360)
