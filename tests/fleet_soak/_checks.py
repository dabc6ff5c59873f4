"""Checks of the platform's guarantees, as pure functions of a history.

Each check returns a line for each violation.  The bounds are those of the
platform's documentation.  Unplanned faults excuse violations of the guarantees
with a time bound, and interrupted and denied requests, if they occur between
the start of the preceding stability window and the violation.  They excuse
nothing else; the bound for withdrawn keys always applies.
"""

import collections
import collections.abc
import typing

from tests.fleet_soak import _history

History = _history.History
Kind = _history.ChangeKind

# Bounds in seconds, as in the settings of the VMs under test (``_world``).
STABILITY_WINDOW_S: typing.Final = 3.0
DRAIN_BOUND_S: typing.Final = 2.0
EVACUATION_BOUND_S: typing.Final = 5.0
WITHDRAWAL_BOUND_S: typing.Final = 5.0
CONFIG_BOUND_S: typing.Final = 2.0

# Time for which a server that asked for a pause tolerates requests that were
# on their way, and the number of further ones that it tolerates in the pause.
PAUSE_GRACE_S: typing.Final = 0.5
MAX_REQUESTS_IN_PAUSE: typing.Final = 2

# Faults after which a VM need not know what a server said, and those that may
# have kept the answer from it.  They excuse all VMs of the fleet.
RESTART_FAULTS: typing.Final = frozenset({'stop_vms', 'kill_vms', 'pause_vm'})
LINK_FAULTS: typing.Final = frozenset({'cut_server_links'})

# An attempt that fails within this time and is not executed was not
# interrupted.
FAST_FAILURE_S: typing.Final = 0.2

# Window over which rates are measured, and the tolerated excess over a limit:
# a fraction of it, and a number of requests besides.
RATE_WINDOW_S: typing.Final = 5.0
RATE_EXCESS_FRACTION: typing.Final = 0.1
RATE_SLACK_REQUESTS: typing.Final = 20

# Rate limit in requests per second and burst in requests by client account.
ACCOUNT_LIMITS: typing.Final = {'acme': (100.0, 100.0), 'bolt': (8.0, 8.0)}

# The client account whose callers stay below its rate limit; those of the
# other one exceed it.
ACCOUNT_WITHIN_LIMIT: typing.Final = 'acme'

# Statuses which guarantee that the request was not and will not be executed.
NOT_EXECUTED_STATUSES: typing.Final = frozenset({408, 421, 429, 503})

# Tolerated final refusals of allowed requests: a number, and a fraction of all
# attempts besides.
MAX_DENIED_REQUESTS: typing.Final = 5
MAX_DENIED_FRACTION: typing.Final = 1 / 500

# Executions of poison requests after which the stability window starts, and
# the number of further ones tolerated after that window.
POISON_EXECUTION_LIMIT: typing.Final = 3

# Fraction of the requests sent after recovery that must succeed.
MIN_RECOVERED_FRACTION: typing.Final = 0.25

Check = collections.abc.Callable[[History], list[str]]


def change_times(history: History, kind: Kind) -> dict[str, float]:
    """Return the times at which changes of a kind were acknowledged.

    They are in seconds, by the name of what changed.
    """
    return {
        change.name: change.acknowledged_at
        for change in history.changes
        if change.kind is kind
    }


def at_most_once(history: History) -> list[str]:
    """Check that servers execute only requests that a caller has sent.

    Those that are not idempotent are executed at most once.
    """
    counts = collections.Counter(
        execution.request_id for execution in history.executions
    )
    violations = []
    for request_id, count in counts.items():
        attempt = history.attempts.get(request_id)
        if attempt is None:
            violations.append(f'{request_id} was executed but never sent')
        elif count > 1 and not attempt.idempotent:
            violations.append(f'{request_id} was executed {count} times')
    return violations


def not_executed_status(history: History) -> list[str]:
    """Check that requests reported as not executed are never executed.

    This covers executions before and after the response.  Idempotent requests
    are exempt.
    """
    executed = {execution.request_id for execution in history.executions}
    return [
        f'{result.request_id} got {result.status} but was executed'
        for result in history.results.values()
        if result.status in NOT_EXECUTED_STATUSES
        and result.request_id in executed
        and not history.attempts[result.request_id].idempotent
    ]


def response_matches_request(history: History) -> list[str]:
    """Check that successful responses are complete and not mixed up."""
    return [
        f'{result.request_id} got a response to another request'
        for result in history.results.values()
        if result.status == 200 and not result.matches_request
    ]


def key_not_forwarded(history: History) -> list[str]:
    """Check that servers receive the client account but no API key."""
    return [
        f'{execution.request_id} at {execution.server} has a leaked key or '
        f'the wrong account {execution.account!r}'
        for execution in history.executions
        if execution.key_leaked
        or (
            execution.request_id in history.attempts
            and execution.account
            != history.attempts[execution.request_id].account
        )
    ]


def withdrawn_key_rejected(history: History) -> list[str]:
    """Check that withdrawn keys are rejected after the withdrawal bound.

    Unplanned faults are no excuse.
    """
    withdrawn_at = change_times(history, Kind.KEY_WITHDRAWN)
    return [
        f'{execution.request_id} was sent '
        f'{attempt.sent_at - withdrawn_at[attempt.key]:.2f} s after the '
        'withdrawal of its key and executed'
        for execution in history.executions
        if (attempt := history.attempts.get(execution.request_id)) is not None
        and attempt.key in withdrawn_at
        and attempt.sent_at > withdrawn_at[attempt.key] + WITHDRAWAL_BOUND_S
    ]


def draining_server_unused(history: History) -> list[str]:
    """Check that draining servers get no requests after the drain bound."""
    draining_since = change_times(history, Kind.SERVER_DRAINING)
    return [
        f'{execution.request_id} at {execution.server}, which has been '
        'draining for '
        f'{execution.started_at - draining_since[execution.server]:.2f} s'
        for execution in history.executions
        if execution.server in draining_since
        and execution.started_at
        > draining_since[execution.server] + DRAIN_BOUND_S
        and not history.has_unplanned_fault(
            draining_since[execution.server] - STABILITY_WINDOW_S,
            execution.started_at,
        )
    ]


def leaving_server_unused(history: History) -> list[str]:
    """Check that VMs send nothing to servers that said that they leave.

    This applies to the requests that callers send later than the drain bound
    after the VM passed on such an answer, whether or not it is in touch with
    the store.
    """
    passed_on: dict[tuple[str, str], float] = {}
    for notice in history.notices:
        result = history.results.get(notice.request_id)
        if (
            notice.kind is _history.NoticeKind.LEAVING
            and result is not None
            and result.status == 200
            and len(history.executions_of(notice.request_id)) == 1
        ):
            key = (notice.server, history.vm_of(notice.request_id))
            passed_on[key] = min(
                result.ended_at, passed_on.get(key, float('inf'))
            )
    violations = []
    for arrival in history.arrivals:
        vm = history.vm_of(arrival.request_id)
        known_since = passed_on.get((arrival.server, vm))
        if known_since is None:
            continue
        sent_at = history.attempts[arrival.request_id].sent_at
        if sent_at > known_since + DRAIN_BOUND_S and not history.has_fault_of(
            RESTART_FAULTS, known_since, arrival.at
        ):
            violations.append(
                f'{arrival.request_id} at {arrival.server} from {vm}, which '
                f'has known for {sent_at - known_since:.2f} s that it leaves'
            )
    return violations


def paused_server_unused(history: History) -> list[str]:
    """Check that VMs send next to nothing to servers that want no requests."""
    arrivals: dict[tuple[str, str], list[float]] = {}
    for arrival in history.arrivals:
        key = (arrival.server, history.vm_of(arrival.request_id))
        arrivals.setdefault(key, []).append(arrival.at)
    violations = []
    for notice in history.notices:
        if notice.kind is not _history.NoticeKind.PAUSE:
            continue
        vm = history.vm_of(notice.request_id)
        ends_at = notice.answered_at + notice.pause_s
        late = [
            at
            for at in arrivals.get((notice.server, vm), [])
            if notice.answered_at + PAUSE_GRACE_S < at < ends_at
        ]
        if len(late) > MAX_REQUESTS_IN_PAUSE and not history.has_fault_of(
            RESTART_FAULTS | LINK_FAULTS, notice.answered_at, late[-1]
        ):
            violations.append(
                f'{len(late)} requests from {vm} at {notice.server} in a '
                f'pause of {notice.pause_s} s'
            )
    return violations


def evacuated_zone_unused(history: History) -> list[str]:
    """Check that evacuated availability zones get no requests.

    This applies from the evacuation bound until the zone is restored.
    """
    violations = []
    for change in history.changes:
        if change.kind is not Kind.ZONE_EVACUATED:
            continue
        restored_at = min(
            (
                other.acknowledged_at
                for other in history.changes
                if other.kind is Kind.ZONE_RESTORED
                and other.name == change.name
                and other.acknowledged_at > change.acknowledged_at
            ),
            default=float('inf'),
        )
        violations += [
            f'{execution.request_id} in evacuated zone {change.name}'
            for execution in history.executions
            if execution.availability_zone == change.name
            and change.acknowledged_at + EVACUATION_BOUND_S
            < execution.started_at
            < restored_at
            and not history.has_unplanned_fault(
                change.acknowledged_at - STABILITY_WINDOW_S,
                execution.started_at,
            )
        ]
    return violations


def request_not_interrupted(history: History) -> list[str]:
    """Check that planned changes interrupt no request before its deadline."""
    executed = {execution.request_id for execution in history.executions}
    return [
        f'{result.request_id} to {attempt.vm_address} was interrupted after '
        f'{result.ended_at - attempt.sent_at:.2f} s'
        for result in history.results.values()
        if result.status == 0
        and (attempt := history.attempts[result.request_id]) is not None
        and not attempt.poison
        and (
            result.request_id in executed
            or result.ended_at > attempt.sent_at + FAST_FAILURE_S
        )
        and result.ended_at < attempt.sent_at + attempt.deadline_s
        and not history.has_unplanned_fault(
            attempt.sent_at - STABILITY_WINDOW_S, result.ended_at
        )
    ]


def allowed_request_admitted(history: History) -> list[str]:
    """Check that few requests that the configuration allows are denied."""
    withdrawn_at = change_times(history, Kind.KEY_WITHDRAWN)
    added_at = change_times(history, Kind.ROUTE_ADDED)
    denied = [
        result
        for result in history.results.values()
        if result.status in (400, 401, 403, 404)
        and (attempt := history.attempts[result.request_id]).key
        not in withdrawn_at
        and attempt.sent_at
        > added_at.get(route_prefix(attempt.path), -CONFIG_BOUND_S)
        + CONFIG_BOUND_S
        and not history.has_unplanned_fault(
            attempt.sent_at - STABILITY_WINDOW_S, result.ended_at
        )
    ]
    maximum = MAX_DENIED_REQUESTS + MAX_DENIED_FRACTION * len(history.attempts)
    return (
        [f'{len(denied)} allowed requests were denied']
        if len(denied) > maximum
        else []
    )


def route_prefix(path: str) -> str:
    """Return the prefix of the route that matches a path."""
    return '/' + path.split('/')[1] + '/'


def account_within_rate(history: History) -> list[str]:
    """Check the rate limit and burst of each client account in any window."""
    violations = []
    for account, (rate, burst) in ACCOUNT_LIMITS.items():
        maximum = (rate * RATE_WINDOW_S + burst) * (
            1 + RATE_EXCESS_FRACTION
        ) + RATE_SLACK_REQUESTS
        times = sorted(
            execution.started_at
            for execution in history.executions
            if execution.account == account
        )
        first = 0
        highest = 0
        for last, time in enumerate(times):
            while times[first] < time - RATE_WINDOW_S:
                first += 1
            highest = max(highest, last - first + 1)
        if highest > maximum:
            violations.append(
                f'{account}: {highest} requests in one window, '
                f'at most {maximum:.0f} allowed'
            )
    return violations


def poison_request_blocked(history: History) -> list[str]:
    """Check that requests that crash servers soon get to no server."""
    times = sorted(
        execution.started_at
        for execution in history.executions
        if execution.request_id in history.attempts
        and history.attempts[execution.request_id].poison
    )
    if len(times) < POISON_EXECUTION_LIMIT:
        return []
    bound = times[POISON_EXECUTION_LIMIT - 1] + STABILITY_WINDOW_S
    late = sum(
        time > bound
        and not history.has_unplanned_fault(time - STABILITY_WINDOW_S, time)
        for time in times
    )
    return (
        [f'{late} late executions of poison requests']
        if late > POISON_EXECUTION_LIMIT
        else []
    )


def fleet_recovers(history: History) -> list[str]:
    """Check that requests sent after the recovery deadline succeed."""
    withdrawn_at = change_times(history, Kind.KEY_WITHDRAWN)
    results = [
        history.results.get(attempt.request_id)
        for attempt in history.attempts.values()
        if attempt.sent_at > history.recovery_deadline
        and not attempt.poison
        and attempt.account == ACCOUNT_WITHIN_LIMIT
        and attempt.key not in withdrawn_at
    ]
    succeeded = sum(
        result is not None and result.status == 200 for result in results
    )
    if not results or succeeded < MIN_RECOVERED_FRACTION * len(results):
        return [
            f'{succeeded} of {len(results)} requests succeeded after the '
            'recovery deadline'
        ]
    return []


CHECKS: typing.Final[dict[str, Check]] = {
    check.__name__: check
    for check in (
        at_most_once,
        not_executed_status,
        response_matches_request,
        key_not_forwarded,
        withdrawn_key_rejected,
        draining_server_unused,
        leaving_server_unused,
        paused_server_unused,
        evacuated_zone_unused,
        request_not_interrupted,
        allowed_request_admitted,
        account_within_rate,
        poison_request_blocked,
        fleet_recovers,
    )
}
