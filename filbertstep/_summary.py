"""Figures of a history: outcomes, latencies, interruptions and fairness."""

import collections
import collections.abc
import math
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Error kinds that a client account within its rate should never get, since
# they stem from the state of the system.  The other kinds follow from the
# request itself.
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


class LatencyPercentiles(typing.TypedDict):
    """Latencies of successful requests in seconds, 0 if there are none."""

    p50: float
    p90: float
    p99: float


class RequestFigures(typing.TypedDict):
    """Figures of a set of logical requests; resends do not count extra.

    ``requests``: number of logical requests.
    ``outcomes``: requests by the outcome of their last attempt: ``ok``, an
    error kind, ``cut`` (incomplete response) or ``no_answer``.
    ``latency_s``: percentiles from the first attempt to the last response.
    ``doubled``: non-idempotent requests that ran more than once.
    ``lost``: non-idempotent requests with outcome ``ok`` that never ran.
    ``refused_inside_rate``: see the function of that name.
    ``inside_rate``: requests within the rate and burst of their account.
    ``cut``: requests of which any attempt was interrupted.
    """

    requests: int
    outcomes: dict[str, int]
    latency_s: LatencyPercentiles
    doubled: int
    lost: int
    refused_inside_rate: int
    inside_rate: int
    cut: int


class AccountServedShare(typing.NamedTuple):
    """The share (0 to 1) of its entitled requests that an account got."""

    account: str
    share: float


class Summary(typing.TypedDict):
    """Figures of a whole history, and of each service and client account.

    ``worst_served`` is the client account with the least served share, None
    if no account was entitled to any request.
    """

    total: RequestFigures
    by_service: dict[str, RequestFigures]
    by_account: dict[str, RequestFigures]
    worst_served: AccountServedShare | None


class LogicalRequest(typing.NamedTuple):
    """What a caller wanted done once, with all attempts to get it done.

    ``first_sent_at`` is in seconds.  ``last_response`` is the last
    ``answered`` event, None if no attempt ended.  ``inside_rate`` tells
    whether the first attempt was within its account's rate and burst.
    ``run_count`` counts its runs at backend servers.  ``was_interrupted``
    tells whether any attempt was interrupted, and ``was_refused`` whether any
    was refused with one of ``SYSTEM_REFUSAL_KINDS``, even if a later attempt
    succeeded.
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
        """Return ``ok``, an error kind, ``cut`` or ``no_answer``.

        An error response without a kind gives its HTTP status.
        """
        if self.last_response is None or self.last_response['status'] == 0:
            return 'no_answer'
        if not self.last_response['complete']:
            return 'cut'
        if self.last_response['status'] < 400:
            return 'ok'
        return str(self.last_response['kind'] or self.last_response['status'])

    def latency_s(self) -> float:
        """Return the time from the first attempt to the last response.

        It is 0 if no attempt ended.
        """
        end = (
            self.first_sent_at
            if self.last_response is None
            else self.last_response['t']
        )
        return float(end) - self.first_sent_at


def logical_requests(
    history: _violations.History, facts: _facts.Facts
) -> list[LogicalRequest]:
    """Return the logical requests of a history, by time of first attempt."""
    sent_by_family: dict[str, list[_history.AnyEvent]] = (
        collections.defaultdict(list)
    )
    answered_by_family: dict[str, list[_history.AnyEvent]] = (
        collections.defaultdict(list)
    )
    for event in _violations.select_events(history, 'sent', 'answered'):
        table = (
            sent_by_family if event['event'] == 'sent' else answered_by_family
        )
        table[event['family']].append(event)
    begins_by_request = _violations.group_by_request(history, 'begin')
    buckets = {
        name: _violations.TokenBucket(
            account.rate_per_s, account.burst_requests, 0.0
        )
        for name, account in facts.accounts.items()
    }
    requests = []
    for family, attempts in sent_by_family.items():
        first_attempt, responses = attempts[0], answered_by_family[family]
        bucket = buckets.get(first_attempt['account'])
        request_ids = {attempt['request_id'] for attempt in attempts}
        requests.append(
            LogicalRequest(
                service=first_attempt['service'],
                account=first_attempt['account'],
                idempotent=first_attempt['idempotent'],
                first_sent_at=first_attempt['t'],
                last_response=responses[-1] if responses else None,
                inside_rate=bucket is not None
                and not was_key_withdrawn(facts, first_attempt)
                and bucket.try_consume(first_attempt['t'], 1.0),
                run_count=sum(
                    len(begins_by_request.get(request_id, []))
                    for request_id in request_ids
                ),
                was_interrupted=any(
                    is_interrupted(response) for response in responses
                ),
                was_refused=any(
                    response['kind'] in SYSTEM_REFUSAL_KINDS
                    for response in responses
                ),
            )
        )
    return requests


def was_key_withdrawn(facts: _facts.Facts, sent: _history.AnyEvent) -> bool:
    """Tell whether an attempt's API key was withdrawn before it was sent."""
    return any(
        withdrawal.key_name == sent['key_name']
        and withdrawal.withdrawn_at <= sent['t']
        for withdrawal in facts.key_withdrawals
    )


def refused_inside_rate(
    requests: collections.abc.Sequence[LogicalRequest],
) -> int:
    """Return how many requests within their account's rate were refused.

    When an account sends more than its rate, the system may serve other
    requests than those that the checker's token bucket counts as within the
    rate.  So refusals of an account count only as far as the number of its
    served requests falls short of the number within its rate.
    """
    by_account: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    for request in requests:
        by_account[request.account].append(request)
    total = 0
    for account_requests in by_account.values():
        within_rate = [
            request for request in account_requests if request.inside_rate
        ]
        served = sum(request.outcome() == 'ok' for request in account_requests)
        refused = sum(
            request.outcome() in SYSTEM_REFUSAL_KINDS
            for request in within_rate
        )
        total += min(refused, max(0, len(within_rate) - served))
    return total


def is_interrupted(answered: _history.AnyEvent) -> bool:
    """Tell whether an attempt was sent but got no complete response."""
    if answered['status'] == 0:
        # On a timeout the caller itself ends the attempt.
        return answered['kind'] not in ('connect_failed', 'timeout')
    return not answered['complete']


def percentile(
    sorted_values: collections.abc.Sequence[float], fraction: float
) -> float:
    """Return the nearest-rank percentile of sorted values, 0 if none.

    ``fraction`` is the percentile as a fraction, such as 0.99 for the 99th.
    """
    if not sorted_values:
        return 0.0
    return sorted_values[max(0, math.ceil(fraction * len(sorted_values)) - 1)]


def request_figures(
    requests: collections.abc.Sequence[LogicalRequest],
) -> RequestFigures:
    """Return the figures of some logical requests."""
    successful = [request for request in requests if request.outcome() == 'ok']
    latencies_s = sorted(request.latency_s() for request in successful)
    non_idempotent = [
        request for request in requests if not request.idempotent
    ]
    within_rate = [request for request in requests if request.inside_rate]
    return {
        'requests': len(requests),
        'outcomes': dict(
            sorted(
                collections.Counter(
                    request.outcome() for request in requests
                ).items()
            )
        ),
        'latency_s': {
            'p50': percentile(latencies_s, 0.5),
            'p90': percentile(latencies_s, 0.9),
            'p99': percentile(latencies_s, 0.99),
        },
        'doubled': sum(request.run_count > 1 for request in non_idempotent),
        'lost': sum(
            request.run_count == 0 and request.outcome() == 'ok'
            for request in non_idempotent
        ),
        'refused_inside_rate': refused_inside_rate(requests),
        'inside_rate': len(within_rate),
        'cut': sum(request.was_interrupted for request in requests),
    }


def summarize(
    history: _violations.History,
    facts: _facts.Facts,
    fair_shares: dict[str, float] | None = None,
) -> Summary:
    """Return the figures of a history.

    ``fair_shares`` gives, for each account, the number of requests that it is
    entitled to when capacity is short.  An account without one is entitled to
    all requests that it sent within its rate.
    """
    requests = logical_requests(history, facts)
    by_service: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    by_account: dict[str, list[LogicalRequest]] = collections.defaultdict(list)
    for request in requests:
        by_service[request.service].append(request)
        by_account[request.account].append(request)
    return {
        'total': request_figures(requests),
        'by_service': {
            name: request_figures(group)
            for name, group in sorted(by_service.items())
        },
        'by_account': {
            name: request_figures(group)
            for name, group in sorted(by_account.items())
        },
        'worst_served': worst_served(by_account, fair_shares or {}),
    }


def worst_served(
    by_account: dict[str, list[LogicalRequest]], fair_shares: dict[str, float]
) -> AccountServedShare | None:
    """Return the account with the least served share of its entitlement.

    Accounts that were entitled to nothing are left out.
    """
    served_shares = []
    for name, requests in sorted(by_account.items()):
        entitled = min(
            float(sum(request.inside_rate for request in requests)),
            fair_shares.get(name, math.inf),
        )
        if entitled > 0:
            served = sum(request.outcome() == 'ok' for request in requests)
            share = min(1.0, served / entitled)
            served_shares.append(AccountServedShare(name, share))
    return min(served_shares, key=lambda one: one.share, default=None)
