"""Command that plays scenarios and compares policies."""

import collections.abc
import sys
import typing

import msgspec
import result

from filbertstep import _command_line
from filbertstep.emulator import _fleet
from filbertstep.emulator import _policies
from filbertstep.emulator import _report
from filbertstep.emulator import _scenario

NAME: typing.Final = 'filbertstep-emulate'


class UsageError(Exception):
    """The scenario or an option cannot be used."""


def unwrap(checked: result.Result[typing.Any, str]) -> typing.Any:
    """Return the value of a result; Any: of several types."""
    if isinstance(checked, result.Err):
        raise UsageError(checked.err_value)
    return checked.ok_value


def parse_seeds(seeds: object) -> list[int]:
    """Return the seeds of an option: a number, or several with commas."""
    values = seeds if isinstance(seeds, tuple | list) else [seeds]
    try:
        return [int(str(value)) for value in values]
    except (TypeError, ValueError):
        raise UsageError('seeds are whole numbers with commas') from None


def play_all(
    scenario: _scenario.Scenario,
    seeds: collections.abc.Iterable[int],
    overrides: tuple[_policies.Override, ...],
) -> list[_report.Report]:
    """Return a report for each seed."""
    with _policies.overridden(overrides):
        return [
            _report.summarize(_fleet.play(scenario, seed)) for seed in seeds
        ]


@_command_line.deferred
def emulate(
    scenario: str,
    seeds: object = 1,
    set: str = '',  # noqa: A002
    against: str | None = None,
    output: str = 'text',
    plot: str = '',
) -> int:
    """Play a scenario file and print what callers got.

    Args:
        scenario: path of the scenario file.
        seeds: a seed, or several with commas between them.
        set: constants to change, as module.CONSTANT=value with commas.
        against: constants of a second policy, played on the same seeds;
            empty for the unchanged product.
        output: text or json.
        plot: file for a plot of the worth by window.
    """
    try:
        doc: _scenario.Scenario = unwrap(_scenario.load_scenario(scenario))
        numbers = parse_seeds(seeds)
        policies = {'worth': unwrap(_policies.parse_overrides(set))}
        if against is not None:
            policies['other'] = unwrap(
                _policies.parse_overrides(str(against or ''))
            )
    except UsageError as error:
        return _command_line.report_usage_error(NAME, str(error))
    series = {
        label: play_all(doc, numbers, overrides)
        for label, overrides in policies.items()
    }
    if output == 'json':
        print(msgspec.json.encode(series).decode())
    elif against is not None:
        print(_report.compare(series['worth'], series['other']))
    else:
        for number, report in zip(numbers, series['worth'], strict=True):
            print(f'seed {number}')
            print(_report.render(report))
    if plot:
        _report.plot(plot, series)
    sys.stdout.flush()
    return _command_line.EXIT_OK


def main() -> None:
    """Run the command line program."""
    _command_line.run(NAME, emulate)
