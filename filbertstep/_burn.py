"""Request counts by minute, and the report on error budgets.

An error budget is the fraction of requests that may miss a service-level
objective; its burn rate is the speed at which it is used up.  There are two
objectives: answers are in time (``in_time``), and requests within their
account's rate limit are not refused (``served``).

Each VM counts the requests that it answers in rows for each minute.  The
report sums the rows of all VMs that it can reach.  It identifies minutes by
their age, so that the clocks of different machines are never compared.

The counts are in memory only, so a report covers a window only for the time
that the VMs have been running.  It says how many minutes are covered.
"""

import collections.abc
import enum
import typing

from filbertstep import config
from filbertstep import errors

# The longest window of the report.
RETENTION_MIN: typing.Final = 360

# In each pair of windows, a high burn rate in the short one shows that the
# problem persists, and in the long one that it is significant.
WINDOWS_MIN: typing.Final = (5, 60, 360)

# Maximum number of rows in a minute.  Bounds the memory, because tickets can
# create and delete accounts.
MAX_ROWS_PER_MINUTE: typing.Final = 20_000


class Column(enum.IntEnum):
    """Outcomes of requests, and indexes of their counts in a row.

    GOOD and LATE are answers without an error, within or above the time of
    the objective.  OVER_RATE, REFUSED and CALLER_ERROR did not run.
    """

    GOOD = 0
    LATE = 1
    FAILED = 2
    OVER_RATE = 3
    REFUSED = 4
    CALLER_ERROR = 5


class RowKey(typing.NamedTuple):
    """Requests that a row counts; ``region`` is the answering VM's."""

    service: str
    client_account: str
    region: str


Rows = dict[RowKey, list[int]]

CALLER_ERROR_KINDS: typing.Final = frozenset(
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

COLUMN_BY_ERROR_KIND: typing.Final[dict[errors.ErrorKind, Column]] = {
    **{kind: Column.REFUSED for kind in errors.ErrorKind},
    **{kind: Column.CALLER_ERROR for kind in CALLER_ERROR_KINDS},
    errors.ErrorKind.OVER_RATE: Column.OVER_RATE,
    errors.ErrorKind.BACKEND_FAILED: Column.FAILED,
    errors.ErrorKind.OUTCOME_UNKNOWN: Column.FAILED,
    errors.ErrorKind.DEADLINE_EXCEEDED: Column.FAILED,
    errors.ErrorKind.INTERNAL: Column.FAILED,
}


class MinuteDoc(typing.TypedDict):
    """Rows of one minute as JSON; ``age`` is in minutes before now.

    Each row is service, client account, region and the counts by column.
    """

    age: int
    rows: list[tuple[str, str, str, list[int]]]


class BurnTable:
    """Request counts of this VM by minute of its clock."""

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
        """Count an answer; ``kind`` is None if it is not an error."""
        column = Column.GOOD if in_time else Column.LATE
        if kind is not None:
            column = COLUMN_BY_ERROR_KIND[kind]
        minute = int(now // 60)
        if minute not in self.minutes:
            self.minutes[minute] = {}
            self.delete_old_minutes(minute)
        rows = self.minutes[minute]
        if key not in rows and len(rows) >= MAX_ROWS_PER_MINUTE:
            return
        rows.setdefault(key, [0] * len(Column))[column] += 1

    def delete_old_minutes(self, minute: int) -> None:
        """Delete rows that are older than the longest window."""
        oldest = minute - RETENTION_MIN
        for old in [item for item in self.minutes if item <= oldest]:
            del self.minutes[old]

    def export(self, now: float) -> list[MinuteDoc]:
        """Return all rows with the age of their minutes."""
        minute = int(now // 60)
        return [
            {
                'age': minute - started,
                'rows': [(*key, list(row)) for key, row in rows.items()],
            }
            for started, rows in sorted(self.minutes.items())
        ]


class BurnRow(typing.TypedDict):
    """One line of the report, for a group of requests and an objective.

    ``burn``, ``bad`` and ``total`` map a window in minutes to its value.  A
    burn rate of 1 uses up the budget exactly over the objective's period.
    ``budget_left`` is the unused fraction of the budget in the longest window.
    It is negative if the budget is exceeded.
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
    """The report; ``missing`` lists the VMs that did not answer."""

    windows_min: list[int]
    covered_min: float
    answered: list[str]
    missing: list[str]
    rows: list[BurnRow]


MinuteRows = dict[int, Rows]


def merge_exports(
    exports: collections.abc.Iterable[collections.abc.Iterable[MinuteDoc]],
) -> MinuteRows:
    """Sum the rows of several VMs by the age of their minutes."""
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
    """A way to group rows; ``group`` returns the name of a row's group."""

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


class ObjectiveCounts(typing.NamedTuple):
    """Number of requests that missed an objective, and of all requests."""

    bad: int
    total: int


def in_time_counts(row: list[int]) -> ObjectiveCounts:
    """Return the counts of a row for the objective ``in_time``.

    Refused requests do not count.
    """
    bad = row[Column.LATE] + row[Column.FAILED]
    return ObjectiveCounts(bad, row[Column.GOOD] + bad)


def wrongly_refused(
    rows: Rows, key: RowKey, accounts: dict[str, config.ClientAccount]
) -> int:
    """Return the number of refused requests within the account's rate.

    The account's rate permits a number of requests in the minute.  If fewer
    were admitted, requests refused as over the rate count as wrongly refused,
    up to that number.  They are divided among the rows of the account in
    proportion to their requests over the rate.
    """
    row = rows[key]
    refused = row[Column.REFUSED]
    account = accounts.get(key.client_account)
    over_rate = row[Column.OVER_RATE]
    if account is None or not over_rate:
        return refused
    account_rows = [
        counts
        for other, counts in rows.items()
        if other.client_account == key.client_account
    ]
    account_over_rate = sum(
        counts[Column.OVER_RATE] for counts in account_rows
    )
    admitted = sum(
        counts[Column.GOOD] + counts[Column.LATE] + counts[Column.FAILED]
        for counts in account_rows
    )
    unused_rate = max(0.0, account.rate * 60 - admitted)
    return refused + int(
        min(account_over_rate, unused_rate) * over_rate / account_over_rate
    )


def served_counts(
    rows: Rows, key: RowKey, accounts: dict[str, config.ClientAccount]
) -> ObjectiveCounts:
    """Return the counts of a row for the objective ``served``.

    Rightly refused requests and errors of the caller do not count.
    """
    row = rows[key]
    bad = wrongly_refused(rows, key, accounts)
    total = sum(row) - row[Column.CALLER_ERROR] - row[Column.OVER_RATE]
    return ObjectiveCounts(bad, total - row[Column.REFUSED] + bad)


def count_by_group(
    merged: MinuteRows, current: config.Config
) -> dict[tuple[str, str, str, str], dict[int, ObjectiveCounts]]:
    """Return counts by (scope, group, service, objective) and window."""
    counts_by_group: dict[
        tuple[str, str, str, str], dict[int, ObjectiveCounts]
    ] = {}
    for age, rows in merged.items():
        for key in rows:
            counts_by_objective = {
                'in_time': in_time_counts(rows[key]),
                'served': served_counts(rows, key, current.client_accounts),
            }
            for scope in SCOPES:
                for objective, objective_counts in counts_by_objective.items():
                    group = (
                        scope.name,
                        scope.group(key),
                        key.service,
                        objective,
                    )
                    windows = counts_by_group.setdefault(group, {})
                    for window in WINDOWS_MIN:
                        if age < window:
                            previous = windows.get(
                                window, ObjectiveCounts(0, 0)
                            )
                            windows[window] = ObjectiveCounts(
                                previous.bad + objective_counts.bad,
                                previous.total + objective_counts.total,
                            )
    return counts_by_group


def burn_rate(objective_counts: ObjectiveCounts, target: float) -> float:
    """Return the burn rate of an error budget.

    A target of 1 has no budget; the result is the number of bad requests then.
    """
    if not objective_counts.total or not objective_counts.bad:
        return 0.0
    budget = 1 - target
    share = objective_counts.bad / objective_counts.total
    return share / budget if budget > 0 else float(objective_counts.bad)


def build_report(
    merged: MinuteRows,
    current: config.Config,
    answered: list[str],
    missing: list[str],
    covered_min: float,
) -> BurnReport:
    """Return the report on merged rows.

    Services that are not in the configuration are left out.
    """
    rows: list[BurnRow] = []
    for group, windows in sorted(count_by_group(merged, current).items()):
        scope, name, service, objective = group
        row = current.services.get(service)
        if row is None:
            continue
        target = {
            'in_time': row.objective.in_time_share,
            'served': row.objective.served_share,
        }[objective]
        counts_by_window = {
            window: windows.get(window, ObjectiveCounts(0, 0))
            for window in WINDOWS_MIN
        }
        rows.append(
            {
                'scope': scope,
                'name': name,
                'objective': objective,
                'target': target,
                'burn': {
                    str(window): round(burn_rate(objective_counts, target), 3)
                    for window, objective_counts in counts_by_window.items()
                },
                'bad': {
                    str(key): objective_counts.bad
                    for key, objective_counts in counts_by_window.items()
                },
                'total': {
                    str(key): objective_counts.total
                    for key, objective_counts in counts_by_window.items()
                },
                'budget_left': round(
                    1 - burn_rate(counts_by_window[WINDOWS_MIN[-1]], target), 3
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
