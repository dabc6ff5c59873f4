"""Checker of configurations: P12."""

import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Time in seconds after which an accepted configuration is in force wherever
# requests are served.
CONFIG_BOUND_S: typing.Final = 9.0

# Events that show that a VM serves under the configuration it has.
SERVES: typing.Final = frozenset({'admitted', 'placed', 'lookup'})


class Applied(typing.NamedTuple):
    """What one process has in force."""

    head_index: int
    ticket: int


NOTHING: typing.Final = Applied(0, 0)


def check_config(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P12: accepted tickets are in force everywhere and never revert."""
    found = []
    applied: dict[tuple[str, str], Applied] = {}
    for event in history:
        process = (event['process'], event['incarnation'])
        held = applied.get(process, NOTHING)
        if event['event'] == 'config_applied':
            new = Applied(event['head_index'], event['ticket'])
            what = reverts(held, new)
            applied[process] = new
        elif event['event'] in SERVES:
            what = outdated(event, held, facts)
        else:
            continue
        if what:
            text = f'{process[0]} {what}'
            found.append(_violations.Violation('P12', event['t'], text))
    return found


def reverts(held: Applied, new: Applied) -> str:
    """Return how a configuration goes back behind the one in force."""
    if new.head_index < held.head_index or new.ticket < held.ticket:
        return f'went back from {held} to {new}'
    return ''


def outdated(
    event: _history.AnyEvent, held: Applied, facts: _facts.Facts
) -> str:
    """Return which ticket a VM that serves should have, or nothing."""
    for ticket in facts.tickets:
        if held.ticket >= ticket.number:
            continue
        if ticket.accepted_at is not None and event['t'] > ticket.accepted_at:
            return f'serves without accepted ticket {ticket.number}'
        if event['t'] > ticket.committed_at + CONFIG_BOUND_S:
            return (
                f'serves without ticket {ticket.number} after '
                f'{event["t"] - ticket.committed_at:.1f} s'
            )
    return ''
