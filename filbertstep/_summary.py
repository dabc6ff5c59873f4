"""Figures of a history: outcomes, latencies, cuts, refusals, fairness."""

import collections
import collections.abc
import math
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Kinds of refusals that a client account inside its rate should not see.
# Others follow from what the request itself is.
SYSTEM_REFUSAL_KINDS: typing.Final = frozenset(
    {
        'over_rate',
        'overloaded',
        'no_room',
        'shift_cap',
        'no_fresh_config',
        'moved',
        'no_quorum',
        'store_unavailable',
        'not_run',
    }
)


class Percentiles(typing.TypedDict):
    """Latencies of useful answers in seconds, 0 when there are none."""

    p50: float
    p90: float
    p99: float


class RequestFigures(typing.TypedDict):
    """Figures of some requests; resends of one request count once.

    ``outcomes`` counts last answers: ``ok``, an error kind or ``no_answer``.
    """

    requests: int
    outcomes: dict[str, int]
    latency_s: Percentiles
    doubled: int
    lost: int
    refused_inside_rate: int
    inside_rate: int
    cut: int


class AccountService(typing.NamedTuple):
    """How an account was served, relative to what it was entitled to."""

    account: str
    share: float


class Summary(typing.TypedDict):
    """Figures of a whole history and of its parts."""

    total: RequestFigures
    by_service: dict[str, RequestFigures]
    by_account: dict[str, RequestFigures]
    worst_served: AccountService | None


class LogicalRequest(typing.NamedTuple):
    """One request with all its tries.

    ``answer`` is the last one; ``inside_rate`` tells whether its first try
    was within its account's rate and burst; ``runs`` counts its runs;
    ``refused`` tells whether any try was refused for want of capacity, even
    if a later one was served.
    """

    service: str
    account: str
    idempotent: bool
    first_sent_at: float
    last_response: _history.AnyEvent | None
    inside_rate: bool
    run_count: int
    was_interrupted: bool
    was_refused: bool

    def outcome(self) -> str:
        """Return ``ok``, an error kind or ``no_answer``."""
        if self.last_response is None or self.last_response['status'] == 0:
            return 'no_answer'
        if not self.last_response['complete']:
            return 'cut'
        if self.last_response['status'] < 400:
            return 'ok'
        return str(self.last_response['kind'] or self.last_response['status'])

    def latency_s(self) -> float:
        """Return the time from the first try to the last answer."""
        end = (
            self.first_sent_at
            if self.last_response is None
            else self.last_response['t']
        )
        return float(end) - self.first_sent_at


def logical_requests(
    history: _violations.History, facts: _facts.Facts
) -> list[LogicalRequest]:
    """Return the requests of a history in the order of their first tries."""
    sent: dict[str, list[_history.AnyEvent]] = collections.defaultdict(list)
    answers: dict[str, list[_history.AnyEvent]] = collections.defaultdict(list)
    for event in _violations.select_events(history, 'sent', 'answered'):
        table = sent if event['event'] == 'sent' else answers
        table[event['family']].append(event)
    begins = _violations.group_by_request(history, 'begin')
    buckets = {
        name: _violations.TokenBucket(
            fact.rate_per_s, fact.burst_requests, 0.0
        )
        for name, fact in facts.accounts.items()
    }
    found = []
    for family, tries in sent.items():
        first, own = tries[0], answers[family]
        bucket = buckets.get(first['account'])
        ids = {one['request_id'] for one in tries}
        found.append(
            LogicalRequest(
                service=first['service'],
                account=first['account'],
                idempotent=first['idempotent'],
                first_sent_at=first['t'],
                last_response=own[-1] if own else None,
                inside_rate=bucket is not None
                and not withdrawn(facts, first)
                and bucket.try_consume(first['t'], 1.0),
                run_count=sum(len(begins.get(one, [])) for one in ids),
                was_interrupted=any(is_cut(one) for one in own),
                was_refused=any(
                    one['kind'] in SYSTEM_REFUSAL_KINDS for one in own
                ),
            )
        )
    return found


def withdrawn(facts: _facts.Facts, sent: _history.AnyEvent) -> bool:
    """Tell whether the key of a try was withdrawn before it was sent."""
    return any(
        row.key_name == sent['key_name'] and row.withdrawn_at <= sent['t']
        for row in facts.key_withdrawals
    )


def refused_inside_rate(some: collections.abc.Sequence[LogicalRequest]) -> int:
    """Return how many requests inside their account's rate were refused.

    Of an account that sends more than its rate, the system may serve other
    requests than those that the checker's bucket calls inside the rate.  So
    an account's refusals count only as far as it got less than that number.
    """
    accounts: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    for order in some:
        accounts[order.account].append(order)
    total = 0
    for own in accounts.values():
        inside = [order for order in own if order.inside_rate]
        served = sum(order.outcome() == 'ok' for order in own)
        refused = sum(
            order.outcome() in SYSTEM_REFUSAL_KINDS for order in inside
        )
        total += min(refused, max(0, len(inside) - served))
    return total


def is_cut(answer: _history.AnyEvent) -> bool:
    """Tell whether a try ended without a whole answer after it was sent."""
    if answer['status'] == 0:
        # A caller whose own time is up cuts its try itself.
        return answer['kind'] not in ('connect_failed', 'timeout')
    return not answer['complete']


def percentile(ordered: collections.abc.Sequence[float], part: float) -> float:
    """Return the nearest-rank percentile of sorted values, 0 if none."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def request_figures(
    some: collections.abc.Sequence[LogicalRequest],
) -> RequestFigures:
    """Return the figures of some requests."""
    useful = [order for order in some if order.outcome() == 'ok']
    times = sorted(order.latency_s() for order in useful)
    once = [order for order in some if not order.idempotent]
    inside = [order for order in some if order.inside_rate]
    return {
        'requests': len(some),
        'outcomes': dict(
            sorted(collections.Counter(o.outcome() for o in some).items())
        ),
        'latency_s': {
            'p50': percentile(times, 0.5),
            'p90': percentile(times, 0.9),
            'p99': percentile(times, 0.99),
        },
        'doubled': sum(order.run_count > 1 for order in once),
        'lost': sum(
            order.run_count == 0 and order.outcome() == 'ok' for order in once
        ),
        'refused_inside_rate': refused_inside_rate(some),
        'inside_rate': len(inside),
        'cut': sum(order.was_interrupted for order in some),
    }


def summarize(
    history: _violations.History,
    facts: _facts.Facts,
    fair_shares: dict[str, float] | None = None,
) -> Summary:
    """Return the figures of a history.

    ``fair_shares`` holds the requests that each account could expect at most
    when capacity was short; without it accounts are entitled to whatever they
    sent inside their rate.
    """
    every = logical_requests(history, facts)
    services: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    accounts: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    for order in every:
        services[order.service].append(order)
        accounts[order.account].append(order)
    return {
        'total': request_figures(every),
        'by_service': {
            name: request_figures(some)
            for name, some in sorted(services.items())
        },
        'by_account': {
            name: request_figures(some)
            for name, some in sorted(accounts.items())
        },
        'worst_served': worst_served(accounts, fair_shares or {}),
    }


def worst_served(
    accounts: dict[str, list[LogicalRequest]], fair_shares: dict[str, float]
) -> AccountService | None:
    """Return the account that got least of what it was entitled to."""
    found = []
    for name, some in sorted(accounts.items()):
        entitled = min(
            float(sum(order.inside_rate for order in some)),
            fair_shares.get(name, math.inf),
        )
        if entitled > 0:
            served = sum(order.outcome() == 'ok' for order in some)
            share = min(1.0, served / entitled)
            found.append(AccountService(name, share))
    return min(found, key=lambda one: one.share, default=None)
