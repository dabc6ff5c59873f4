"""Checkers of responses and executions: P7, P8, P9 and P11.

A caller may send one request in several attempts; a backend server that
executes it has a run, from a ``begin`` event to the event that ends it.
"""

import collections
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Events that end a run at a backend server without a complete response.
ABORTED_RUN_EVENTS: typing.Final = frozenset(
    {'cut', 'crash', 'cancel', 'deadline'}
)

# Kinds of ``answered`` events that mean that the connection was interrupted.
INTERRUPTED_KINDS: typing.Final = frozenset({'connection_lost', 'timeout'})


def check_response_integrity(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P7: a response is complete and belongs to the caller's own request."""
    events_by_request = _violations.group_by_request(
        history, 'begin', 'end', *ABORTED_RUN_EVENTS, 'gave_up'
    )
    violations = []
    for answered in _violations.select_events(history, 'answered'):
        if not 200 <= answered['status'] < 300:
            continue
        run_events = events_by_request.get(answered['request_id'], [])
        if answered['complete']:
            fault = response_mismatch(answered, run_events)
        elif is_truncation_excused(answered, run_events, facts):
            fault = ''
        else:
            fault = 'response truncated'
        if fault:
            text = f'{answered["request_id"]} from {answered["vm"]}: {fault}'
            violations.append(_violations.Violation('P7', answered['t'], text))
    return violations


def response_mismatch(
    answered: _history.AnyEvent, run_events: list[_history.AnyEvent]
) -> str:
    """Return how a complete response differs from that of its own run.

    Return an empty string if it does not.
    """
    if answered['answer_request_id'] != answered['request_id']:
        return f'response to request {answered["answer_request_id"]}'
    if answered['answer_digest'] != answered['body_digest']:
        return 'response to another request body'
    sizes = {
        run['answer_bytes'] for run in run_events if run['event'] == 'end'
    }
    if sizes and answered['answer_bytes'] not in sizes:
        return (
            f'response body of {answered["answer_bytes"]} bytes, '
            f'the backend server sent {sorted(sizes)}'
        )
    return ''


def is_truncation_excused(
    answered: _history.AnyEvent,
    run_events: list[_history.AnyEvent],
    facts: _facts.Facts,
) -> bool:
    """Tell whether a response was truncated for a permitted reason.

    The reasons are a backend server that aborted the run, a caller that gave
    up, a withdrawn API key and a killed VM; the caller sees from the HTTP
    framing that the response is incomplete.  A run that was aborted or whose
    backend server stopped has a ``begin`` event without an ``end`` event.
    """
    counts = collections.Counter(run['event'] for run in run_events)
    aborted = counts['begin'] > counts['end'] or counts['gave_up'] > 0
    key_withdrawn = any(
        withdrawal.key_name == answered['key_name']
        and withdrawal.withdrawn_at <= answered['t']
        for withdrawal in facts.key_withdrawals
    )
    vm_killed = _violations.was_killed_between(
        facts,
        answered['vm'],
        _violations.attempt_sent_at(answered),
        answered['t'],
    )
    return aborted or key_withdrawn or vm_killed


def check_not_run(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P8: a request did not run in an attempt that was answered "not run"."""
    begins_by_request = _violations.group_by_request(history, 'begin')
    answered_by_request = _violations.group_by_request(history, 'answered')
    sent_by_request = _violations.group_by_request(history, 'sent')
    violations = []
    for answered in _violations.select_events(history, 'answered'):
        if answered['ran'] != 'no':
            continue
        request_id = answered['request_id']
        for begin in begins_by_request.get(request_id, []):
            others = other_attempts(
                answered,
                sent_by_request[request_id],
                answered_by_request[request_id],
            )
            if contradicts_not_run(answered, begin, others):
                text = (
                    f'{request_id} ran although {answered["vm"]} answered '
                    f'"not run"'
                )
                violations.append(
                    _violations.Violation('P8', answered['t'], text)
                )
                break
    return violations


class Attempt(typing.NamedTuple):
    """One attempt of a request at a VM; times in seconds.

    ``refused_at`` is the time of a response that says "not run", None without
    one.
    """

    vm: str
    sent_at: float
    refused_at: float | None


def other_attempts(
    answered: _history.AnyEvent,
    sent_events: list[_history.AnyEvent],
    answered_events: list[_history.AnyEvent],
) -> list[Attempt]:
    """Return a request's attempts except the one that ``answered`` ends."""
    attempts = []
    own_attempt = matching_sent_event(answered, sent_events)
    for sent in sent_events:
        if sent is own_attempt:
            continue
        refusal_times = [
            other['t']
            for other in answered_events
            if other['ran'] == 'no'
            and matching_sent_event(other, sent_events) is sent
        ]
        attempts.append(
            Attempt(sent['vm'], sent['t'], min(refusal_times, default=None))
        )
    return attempts


def matching_sent_event(
    answered: _history.AnyEvent, sent_events: list[_history.AnyEvent]
) -> _history.AnyEvent | None:
    """Return the ``sent`` event of the attempt that ``answered`` ends.

    It is the one at the same VM that is nearest to the time at which the
    attempt was sent; None without any at that VM.
    """
    sent_at = _violations.attempt_sent_at(answered)
    return min(
        (sent for sent in sent_events if sent['vm'] == answered['vm']),
        key=lambda sent: abs(float(sent['t']) - sent_at),
        default=None,
    )


def contradicts_not_run(
    answered: _history.AnyEvent,
    begin: _history.AnyEvent,
    others: list[Attempt],
) -> bool:
    """Tell whether a run contradicts a response that says "not run".

    For a non-idempotent request, the response covers all attempts so far.
    Otherwise it covers only its own attempt, so that a run contradicts it
    only if no other attempt can have caused the run.  An attempt that failed
    to connect has no response and covers only itself.
    """
    has_response = answered['status'] != 0
    covers_all_attempts = has_response and not answered['idempotent']
    if covers_all_attempts and begin['t'] <= answered['t']:
        return True
    return begin['t'] >= _violations.attempt_sent_at(answered) and not any(
        other.sent_at <= begin['t']
        and (other.refused_at is None or other.refused_at >= begin['t'])
        for other in others
    )


def check_at_most_once(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P9: a non-idempotent request runs at most once, resends included."""
    families = {
        str(event['request_id']): str(event['family'])
        for event in _violations.select_events(history, 'sent')
    }
    run_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    violations = []
    for begin in _violations.select_events(history, 'begin'):
        service = facts.services.get(begin['service'])
        if service is None or begin['method'] in service.idempotent_methods:
            continue
        request_id = str(begin['request_id'])
        logical_request = (
            begin['service'],
            families.get(request_id, request_id),
        )
        run_counts[logical_request] += 1
        if run_counts[logical_request] > 1:
            text = (
                f'{logical_request[1]} ran '
                f'{run_counts[logical_request]} times, last as {request_id}'
            )
            violations.append(_violations.Violation('P9', begin['t'], text))
    return violations


def check_planned_stops(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P11: a planned stop or drain interrupts no request."""
    violations = []
    gave_up = {
        event['request_id']
        for event in _violations.select_events(history, 'gave_up')
    }
    for answered in _violations.select_events(history, 'answered'):
        if answered['request_id'] in gave_up or not is_interrupted(answered):
            continue
        sent_at = _violations.attempt_sent_at(answered)
        if _violations.was_killed_between(
            facts, answered['vm'], sent_at, answered['t']
        ):
            continue
        for stop in facts.vm_stops:
            sent_after_stop = (
                stop.ended_at is not None and sent_at > stop.ended_at
            )
            if stop.vm == answered['vm'] and answered['t'] >= stop.began_at:
                if not sent_after_stop:
                    text = (
                        f'{answered["request_id"]} interrupted by the '
                        f'planned stop of {stop.vm}'
                    )
                    violations.append(
                        _violations.Violation('P11', answered['t'], text)
                    )
    return violations + check_drained_servers(history, facts, gave_up)


def is_interrupted(answered: _history.AnyEvent) -> bool:
    """Tell whether a caller got no response, or an incomplete one.

    A failure to connect does not count, because nothing was sent.
    """
    connection_lost = (
        answered['status'] == 0 and answered['kind'] in INTERRUPTED_KINDS
    )
    return connection_lost or (
        answered['status'] != 0 and not answered['complete']
    )


def check_drained_servers(
    history: _violations.History, facts: _facts.Facts, gave_up: set[str]
) -> list[_violations.Violation]:
    """P11: the system cancels no run on a draining backend server.

    ``gave_up`` holds the ids of requests that their callers gave up.  A
    run does not count either if its caller lost the connection or got the
    answer that the deadline has passed, since that explains the cancellation.
    """
    excused = {
        event['request_id']
        for event in _violations.select_events(history, 'answered')
        if is_interrupted(event) or event['kind'] == 'deadline_exceeded'
    }
    violations = []
    for cancel in _violations.select_events(history, 'cancel'):
        if cancel['request_id'] in gave_up | excused:
            continue
        for drain in facts.server_drains:
            drain_ended = (
                drain.ended_at is not None and cancel['t'] > drain.ended_at
            )
            if drain.server != cancel['server'] or drain_ended:
                continue
            if cancel['t'] >= drain.began_at:
                text = (
                    f'{cancel["request_id"]} cancelled on draining server '
                    f'{drain.server}'
                )
                violations.append(
                    _violations.Violation('P11', cancel['t'], text)
                )
    return violations
