"""One checker for each promise, P1 to P12, of the design document."""

import typing

from filbertstep import _checkers_answers
from filbertstep import _checkers_config
from filbertstep import _checkers_keys
from filbertstep import _checkers_load
from filbertstep import _facts
from filbertstep import _violations

CHECKERS: typing.Final[dict[str, _violations.Checker]] = {
    'P1': _checkers_load.check_shift_caps,
    'P2': _checkers_load.check_overload,
    'P3': _checkers_keys.check_authorization,
    'P4': _checkers_keys.check_key_leaks,
    'P5': _checkers_keys.check_key_withdrawals,
    'P6': _checkers_keys.check_account_rates,
    'P7': _checkers_answers.check_response_integrity,
    'P8': _checkers_answers.check_not_run,
    'P9': _checkers_answers.check_at_most_once,
    'P10': _checkers_load.check_server_drains,
    'P11': _checkers_answers.check_planned_stops,
    'P12': _checkers_config.check_config_rollout,
}


def check_history(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """Return the violations of all promises in a history."""
    return [
        violation
        for checker in CHECKERS.values()
        for violation in checker(history, facts)
    ]
