"""Service-level counts by minute, and the report on the error budget's burn.

Each VM counts the requests that it answered in rows of one minute.  The report
adds up the rows of all VMs that answer, by the age of the minute, so that no
two machines' clocks are compared.  Two objectives are judged: answers in time,
and requests not refused although they were inside their account's rate.

The VMs keep nothing, so a window is complete only for the time that the VMs
have been running; the report says how much of each window is covered.
"""

import collections.abc
import enum
import typing

from filbertstep import config
from filbertstep import errors

# Minutes of rows that a VM keeps; the longest window of the report.
KEPT_MINUTES: typing.Final = 360

# Windows in minutes.  The short one of a pair shows that a burn goes on, the
# long one that it is worth acting on.
WINDOWS_MIN: typing.Final = (5, 60, 360)

# Rows of one minute are bounded, since accounts come and go by tickets.
MAX_ROWS: typing.Final = 20_000


class Column(enum.IntEnum):
    """Columns of a row."""

    GOOD = 0
    LATE = 1
    FAILED = 2
    OVER_RATE = 3
    REFUSED = 4
    CALLER_ERROR = 5


class RowKey(typing.NamedTuple):
    """What a row counts; region is that of the VM that answered."""

    service: str
    client_account: str
    region: str


Rows = dict[RowKey, list[int]]

CALLER_ERRORS: typing.Final = frozenset(
    {
        errors.ErrorKind.BAD_REQUEST,
        errors.ErrorKind.KEY_IN_REQUEST,
        errors.ErrorKind.UNAUTHORIZED,
        errors.ErrorKind.FORBIDDEN,
        errors.ErrorKind.NOT_FOUND,
        errors.ErrorKind.ID_REUSED,
        errors.ErrorKind.BODY_TOO_LARGE,
        errors.ErrorKind.QUARANTINED,
    }
)

COLUMNS: typing.Final[dict[errors.ErrorKind, Column]] = {
    **{kind: Column.REFUSED for kind in errors.ErrorKind},
    **{kind: Column.CALLER_ERROR for kind in CALLER_ERRORS},
    errors.ErrorKind.OVER_RATE: Column.OVER_RATE,
    errors.ErrorKind.BACKEND_FAILED: Column.FAILED,
    errors.ErrorKind.OUTCOME_UNKNOWN: Column.FAILED,
    errors.ErrorKind.DEADLINE_EXCEEDED: Column.FAILED,
    errors.ErrorKind.INTERNAL: Column.FAILED,
}


class MinuteDoc(typing.TypedDict):
    """Rows of one minute on the wire; ``age`` in minutes from now."""

    age: int
    rows: list[tuple[str, str, str, list[int]]]


class BurnTable:
    """Counts of this VM by minute of its own clock."""

    def __init__(self, started: float) -> None:
        self.started = started
        self.minutes: dict[int, Rows] = {}

    def count(
        self,
        key: RowKey,
        kind: errors.ErrorKind | None,
        in_time: bool,
        now: float,
    ) -> None:
        """Count one answer; ``kind`` is None for one without an error."""
        column = Column.GOOD if in_time else Column.LATE
        if kind is not None:
            column = COLUMNS[kind]
        minute = int(now // 60)
        if minute not in self.minutes:
            self.minutes[minute] = {}
            self.forget(minute)
        rows = self.minutes[minute]
        if key not in rows and len(rows) >= MAX_ROWS:
            return
        rows.setdefault(key, [0] * len(Column))[column] += 1

    def forget(self, minute: int) -> None:
        """Drop rows older than the longest window."""
        oldest = minute - KEPT_MINUTES
        for old in [item for item in self.minutes if item <= oldest]:
            del self.minutes[old]

    def export(self, now: float) -> list[MinuteDoc]:
        """Return all rows with the age of their minute."""
        minute = int(now // 60)
        return [
            {
                'age': minute - started,
                'rows': [(*key, list(row)) for key, row in rows.items()],
            }
            for started, rows in sorted(self.minutes.items())
        ]


class BurnRow(typing.TypedDict):
    """One line of the report.

    ``burn`` is the rate at which the budget is used: 1 uses it up exactly
    over the objective's period.  ``budget_left`` is the unused part of the
    budget over the longest window, below 0 when it is overspent.
    """

    scope: str
    name: str
    objective: str
    target: float
    burn: dict[str, float]
    bad: dict[str, int]
    total: dict[str, int]
    budget_left: float


class BurnReport(typing.TypedDict):
    """The whole report; ``missing`` names the VMs that did not answer."""

    windows_min: list[int]
    covered_min: float
    answered: list[str]
    missing: list[str]
    rows: list[BurnRow]


MinuteRows = dict[int, Rows]


def merge_exports(
    exports: collections.abc.Iterable[collections.abc.Iterable[MinuteDoc]],
) -> MinuteRows:
    """Add up the rows of several VMs by the age of their minute."""
    merged: MinuteRows = {}
    for export in exports:
        for minute in export:
            rows = merged.setdefault(minute['age'], {})
            for service, account, region, counts in minute['rows']:
                row = rows.setdefault(
                    RowKey(service, account, region), [0] * len(Column)
                )
                for column, value in enumerate(counts[: len(Column)]):
                    row[column] += value
    return merged


class Scope(typing.NamedTuple):
    """One way to group rows: its name and the group of a row."""

    name: str
    group: collections.abc.Callable[[RowKey], str]


SCOPES: typing.Final = (
    Scope('service', lambda key: key.service),
    Scope(
        'client_account',
        lambda key: f'{key.service}/{key.client_account}',
    ),
    Scope('region', lambda key: f'{key.service}/{key.region}'),
)


class Tally(typing.NamedTuple):
    """Bad and all requests of one group, objective and window."""

    bad: int
    total: int


def in_time_tally(row: list[int]) -> Tally:
    """Judge the answers of a row by their time; refusals do not count."""
    bad = row[Column.LATE] + row[Column.FAILED]
    return Tally(bad, row[Column.GOOD] + bad)


def wrongly_refused(
    rows: Rows, key: RowKey, accounts: dict[str, config.ClientAccount]
) -> int:
    """Return the refusals of a row that were inside the account's rate.

    Of the refusals as over the rate, those are wrong that the account's rate
    over the whole minute still had place for; they are spread over the rows
    of the account in proportion to their refusals.
    """
    row = rows[key]
    refused = row[Column.REFUSED]
    account = accounts.get(key.client_account)
    over_rate = row[Column.OVER_RATE]
    if account is None or not over_rate:
        return refused
    mine = [
        counts
        for other, counts in rows.items()
        if other.client_account == key.client_account
    ]
    all_over = sum(counts[Column.OVER_RATE] for counts in mine)
    admitted = sum(
        counts[Column.GOOD] + counts[Column.LATE] + counts[Column.FAILED]
        for counts in mine
    )
    entitled = max(0.0, account.rate * 60 - admitted)
    return refused + int(min(all_over, entitled) * over_rate / all_over)


def served_tally(
    rows: Rows, key: RowKey, accounts: dict[str, config.ClientAccount]
) -> Tally:
    """Judge the refusals of a row."""
    row = rows[key]
    bad = wrongly_refused(rows, key, accounts)
    total = sum(row) - row[Column.CALLER_ERROR] - row[Column.OVER_RATE]
    return Tally(bad, total - row[Column.REFUSED] + bad)


def add_up(
    merged: MinuteRows, current: config.Config
) -> dict[tuple[str, str, str, str], dict[int, Tally]]:
    """Return tallies by (scope, group, service, objective) and window."""
    tallies: dict[tuple[str, str, str, str], dict[int, Tally]] = {}
    for age, rows in merged.items():
        for key in rows:
            judged = {
                'in_time': in_time_tally(rows[key]),
                'served': served_tally(rows, key, current.client_accounts),
            }
            for scope in SCOPES:
                for objective, tally in judged.items():
                    group = (
                        scope.name,
                        scope.group(key),
                        key.service,
                        objective,
                    )
                    windows = tallies.setdefault(group, {})
                    for window in WINDOWS_MIN:
                        if age < window:
                            known = windows.get(window, Tally(0, 0))
                            windows[window] = Tally(
                                known.bad + tally.bad,
                                known.total + tally.total,
                            )
    return tallies


def burn_rate(tally: Tally, target: float) -> float:
    """Return the burn rate; a target of 1 has no budget to burn."""
    if not tally.total or not tally.bad:
        return 0.0
    budget = 1 - target
    share = tally.bad / tally.total
    return share / budget if budget > 0 else float(tally.bad)


def build_report(
    merged: MinuteRows,
    current: config.Config,
    answered: list[str],
    missing: list[str],
    covered_min: float,
) -> BurnReport:
    """Return the report over merged rows."""
    rows: list[BurnRow] = []
    for group, windows in sorted(add_up(merged, current).items()):
        scope, name, service, objective = group
        row = current.services.get(service)
        if row is None:
            continue
        target = {
            'in_time': row.objective.in_time_share,
            'served': row.objective.served_share,
        }[objective]
        full = {
            window: windows.get(window, Tally(0, 0)) for window in WINDOWS_MIN
        }
        rows.append(
            {
                'scope': scope,
                'name': name,
                'objective': objective,
                'target': target,
                'burn': {
                    str(window): round(burn_rate(tally, target), 3)
                    for window, tally in full.items()
                },
                'bad': {str(key): tally.bad for key, tally in full.items()},
                'total': {
                    str(key): tally.total for key, tally in full.items()
                },
                'budget_left': round(
                    1 - burn_rate(full[WINDOWS_MIN[-1]], target), 3
                ),
            }
        )
    return {
        'windows_min': list(WINDOWS_MIN),
        'covered_min': round(min(covered_min, WINDOWS_MIN[-1]), 1),
        'answered': answered,
        'missing': missing,
        'rows': rows,
    }
