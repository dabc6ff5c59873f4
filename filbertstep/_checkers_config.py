"""Checker of the roll-out of configurations: P12."""

import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Time from the commit of a ticket to the moment when every VM that serves
# requests must have its configuration in force.
CONFIG_ROLLOUT_BOUND_S: typing.Final = 9.0

# Events that show that a VM serves with its current configuration.
SERVING_EVENTS: typing.Final = frozenset({'admitted', 'placed', 'lookup'})


class AppliedConfig(typing.NamedTuple):
    """Head index and ticket number of the configuration a process applied."""

    head_index: int
    ticket: int


NO_CONFIG: typing.Final = AppliedConfig(0, 0)


def check_config_rollout(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P12: accepted tickets are in force everywhere and never revert."""
    violations = []
    applied: dict[tuple[str, str], AppliedConfig] = {}
    for event in history:
        process = (event['process'], event['incarnation'])
        current = applied.get(process, NO_CONFIG)
        if event['event'] == 'config_applied':
            new = AppliedConfig(event['head_index'], event['ticket'])
            fault = describe_revert(current, new)
            applied[process] = new
        elif event['event'] in SERVING_EVENTS:
            fault = describe_missing_ticket(event, current, facts)
        else:
            continue
        if fault:
            text = f'{process[0]} {fault}'
            violations.append(_violations.Violation('P12', event['t'], text))
    return violations


def describe_revert(current: AppliedConfig, new: AppliedConfig) -> str:
    """Return how a new configuration is older than the current one.

    Return an empty string if it is not.
    """
    if new.head_index < current.head_index or new.ticket < current.ticket:
        return f'reverted from {current} to {new}'
    return ''


def describe_missing_ticket(
    event: _history.AnyEvent, current: AppliedConfig, facts: _facts.Facts
) -> str:
    """Return which ticket a serving VM should have applied, but has not.

    Return an empty string if its configuration is current enough.
    """
    for ticket in facts.tickets:
        if current.ticket >= ticket.number:
            continue
        if ticket.accepted_at is not None and event['t'] > ticket.accepted_at:
            return f'serves without accepted ticket {ticket.number}'
        if event['t'] > ticket.committed_at + CONFIG_ROLLOUT_BOUND_S:
            return (
                f'serves without ticket {ticket.number}, '
                f'{event["t"] - ticket.committed_at:.1f} s after its commit'
            )
    return ''
