"""One checker for each promise of the design page, P1 to P12."""

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
    'P3': _checkers_keys.check_accounts,
    'P4': _checkers_keys.check_secrets,
    'P5': _checkers_keys.check_withdrawals,
    'P6': _checkers_keys.check_rates,
    'P7': _checkers_answers.check_answers,
    'P8': _checkers_answers.check_not_run,
    'P9': _checkers_answers.check_once,
    'P10': _checkers_load.check_drains,
    'P11': _checkers_answers.check_stops,
    'P12': _checkers_config.check_config,
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
