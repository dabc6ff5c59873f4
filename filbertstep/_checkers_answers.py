"""Checkers of answers: P7, P8, P9 and P11."""

import collections
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Events that end a run at a backend server without a whole answer.
BROKEN: typing.Final = frozenset({'cut', 'crash', 'cancel', 'deadline'})

# Kinds of answers that show a caller that its connection was cut.
CUT_KINDS: typing.Final = frozenset({'connection_lost', 'timeout'})


def check_answers(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P7: an answer is whole and belongs to the caller's own request."""
    runs = _violations.group_by_request(
        history, 'begin', 'end', *BROKEN, 'gave_up'
    )
    found = []
    for event in _violations.select_events(history, 'answered'):
        if not 200 <= event['status'] < 300:
            continue
        own = runs.get(event['request_id'], [])
        if event['complete']:
            what = foreign(event, own)
        elif is_excused(event, own, facts):
            what = ''
        else:
            what = 'cut'
        if what:
            text = f'{event["request_id"]} from {event["vm"]}: {what}'
            found.append(_violations.Violation('P7', event['t'], text))
    return found


def foreign(event: _history.AnyEvent, runs: list[_history.AnyEvent]) -> str:
    """Return how a complete answer differs from that of its own run."""
    if event['answer_request_id'] != event['request_id']:
        return f'answer of {event["answer_request_id"]}'
    if event['answer_digest'] != event['body_digest']:
        return 'answer to another body'
    sizes = {run['answer_bytes'] for run in runs if run['event'] == 'end'}
    if sizes and event['answer_bytes'] not in sizes:
        return f'{event["answer_bytes"]} bytes instead of {sorted(sizes)}'
    return ''


def is_excused(
    event: _history.AnyEvent,
    runs: list[_history.AnyEvent],
    facts: _facts.Facts,
) -> bool:
    """Tell whether something outside the system broke off an answer.

    The caller sees from the framing that it is not whole.  A backend server
    that ended in the run leaves a begin without an end.
    """
    names = collections.Counter(run['event'] for run in runs)
    broken = names['begin'] > names['end'] or names['gave_up'] > 0
    withdrawn = any(
        one.key_name == event['key_name'] and one.withdrawn_at <= event['t']
        for one in facts.key_withdrawals
    )
    killed = _violations.was_killed_between(
        facts, event['vm'], _violations.attempt_sent_at(event), event['t']
    )
    return broken or withdrawn or killed


def check_not_run(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P8: a request whose answer says "not run" did not run in that try."""
    begins = _violations.group_by_request(history, 'begin')
    answers = _violations.group_by_request(history, 'answered')
    sent = _violations.group_by_request(history, 'sent')
    found = []
    for event in _violations.select_events(history, 'answered'):
        if event['ran'] != 'no':
            continue
        request = event['request_id']
        for begin in begins.get(request, []):
            others = other_tries(event, sent[request], answers[request])
            if is_lie(event, begin, others):
                what = f'{request} ran although {event["vm"]} said not run'
                found.append(_violations.Violation('P8', event['t'], what))
                break
    return found


class Try(typing.NamedTuple):
    """One try of a request; ``refused_at`` if its answer said not run."""

    vm: str
    sent_at: float
    refused_at: float | None


def other_tries(
    event: _history.AnyEvent,
    sent: list[_history.AnyEvent],
    answers: list[_history.AnyEvent],
) -> list[Try]:
    """Return the tries of a request but the one that an answer ends."""
    found = []
    own = nearest(event, sent)
    for one in sent:
        if one is own:
            continue
        refused = [
            answer['t']
            for answer in answers
            if answer['ran'] == 'no' and nearest(answer, sent) is one
        ]
        found.append(Try(one['vm'], one['t'], min(refused, default=None)))
    return found


def nearest(
    answer: _history.AnyEvent, sent: list[_history.AnyEvent]
) -> _history.AnyEvent | None:
    """Return the try that an answer ends, by VM and time sent."""
    at = _violations.attempt_sent_at(answer)
    return min(
        (one for one in sent if one['vm'] == answer['vm']),
        key=lambda one: abs(float(one['t']) - at),
        default=None,
    )


def is_lie(
    event: _history.AnyEvent, begin: _history.AnyEvent, others: list[Try]
) -> bool:
    """Tell whether a run belies an answer that said not run.

    For a request that may run once the answer is about all its tries so far;
    otherwise about its own try, unless another one can have run it.  A try
    that found no connection got no answer, so it tells of itself alone.
    """
    answered = event['status'] != 0
    once = answered and not event['idempotent']
    if once and begin['t'] <= event['t']:
        return True
    return begin['t'] >= _violations.attempt_sent_at(event) and not any(
        one.sent_at <= begin['t']
        and (one.refused_at is None or one.refused_at >= begin['t'])
        for one in others
    )


def check_once(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P9: a non-idempotent request runs at most once, resends included."""
    families = {
        str(event['request_id']): str(event['family'])
        for event in _violations.select_events(history, 'sent')
    }
    runs: collections.Counter[tuple[str, str]] = collections.Counter()
    found = []
    for event in _violations.select_events(history, 'begin'):
        fact = facts.services.get(event['service'])
        if fact is None or event['method'] in fact.idempotent_methods:
            continue
        request = str(event['request_id'])
        order = (event['service'], families.get(request, request))
        runs[order] += 1
        if runs[order] > 1:
            what = f'{order[1]} ran {runs[order]} times, last as {request}'
            found.append(_violations.Violation('P9', event['t'], what))
    return found


def check_stops(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P11: a planned stop or drain cuts no request."""
    found = []
    gave_up = {
        event['request_id']
        for event in _violations.select_events(history, 'gave_up')
    }
    for event in _violations.select_events(history, 'answered'):
        if event['request_id'] in gave_up or not is_cut(event):
            continue
        start = _violations.attempt_sent_at(event)
        if _violations.was_killed_between(
            facts, event['vm'], start, event['t']
        ):
            continue
        for stop in facts.vm_stops:
            ended = stop.ended_at is not None and start > stop.ended_at
            if stop.vm == event['vm'] and event['t'] >= stop.began_at:
                if not ended:
                    what = (
                        f'{event["request_id"]} cut by the stop of {stop.vm}'
                    )
                    found.append(
                        _violations.Violation('P11', event['t'], what)
                    )
    return found + check_drained_servers(history, facts, gave_up)


def is_cut(event: _history.AnyEvent) -> bool:
    """Tell whether a caller got no answer, or not a whole one."""
    lost = event['status'] == 0 and event['kind'] in CUT_KINDS
    return lost or (event['status'] != 0 and not event['complete'])


def check_drained_servers(
    history: _violations.History, facts: _facts.Facts, gave_up: set[str]
) -> list[_violations.Violation]:
    """Find runs on a draining backend server that the system cancelled."""
    excused = {
        event['request_id']
        for event in _violations.select_events(history, 'answered')
        if is_cut(event) or event['kind'] == 'deadline_exceeded'
    }
    found = []
    for event in _violations.select_events(history, 'cancel'):
        if event['request_id'] in gave_up | excused:
            continue
        for drain in facts.server_drains:
            over = drain.ended_at is not None and event['t'] > drain.ended_at
            if drain.server != event['server'] or over:
                continue
            if event['t'] >= drain.began_at:
                what = f'{event["request_id"]} cancelled on {drain.server}'
                found.append(_violations.Violation('P11', event['t'], what))
    return found
