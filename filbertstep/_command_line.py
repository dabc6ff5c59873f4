"""What the command lines of all programs share.

``--help``, ``--version`` and ``--check-settings`` work the same way
everywhere.  A command runs only after the whole command line was understood:
``fire`` calls a function first and complains about what is left over
afterwards, when a change ticket would already be submitted.
"""

import collections.abc
import functools
import sys
import typing

import fire

import filbertstep

EXIT_OK: typing.Final = 0
EXIT_USAGE: typing.Final = 2

# Flags without a value, with underscores.
BOOLEAN_FLAGS: typing.Final = frozenset({'__check_settings', '__no_wait'})

Parameters = typing.ParamSpec('Parameters')


class DeferredCommand:
    """Work that a command line asks for; returns the exit code.

    The attribute is private because ``fire`` offers public ones as commands.
    """

    def __init__(self, work: collections.abc.Callable[[], int | None]) -> None:
        self._work = work


def deferred(
    function: collections.abc.Callable[Parameters, int | None],
) -> collections.abc.Callable[Parameters, DeferredCommand]:
    """Have a command return its work instead of doing it."""

    @functools.wraps(function)
    def wrapper(
        *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> DeferredCommand:
        return DeferredCommand(functools.partial(function, *args, **kwargs))

    return wrapper


def serialize_result(outcome: object) -> object:
    """Return what ``fire`` prints of a command's outcome."""
    return None if isinstance(outcome, DeferredCommand) else outcome


def expand_switch(argument: str) -> str:
    """Give a switch its value; ``fire`` would take the next argument."""
    if argument.replace('-', '_') in BOOLEAN_FLAGS:
        return f'{argument}=True'
    return argument


def run(name: str, component: object) -> None:
    """Read the command line, then do what it asks for."""
    arguments = [expand_switch(item) for item in sys.argv[1:]]
    if '--version' in arguments:
        print(filbertstep.__version__)
        return
    outcome = fire.Fire(
        component, command=arguments, name=name, serialize=serialize_result
    )
    if isinstance(outcome, DeferredCommand):
        code = run_deferred(outcome)
        if code:
            sys.exit(code)


def run_deferred(deferred_work: DeferredCommand) -> int:
    """Do deferred work; return the exit code."""
    return deferred_work._work() or EXIT_OK


def report_usage_error(name: str, message: str) -> int:
    """Print why a command cannot start; return the exit code."""
    print(f'{name}: {message}', file=sys.stderr)
    return EXIT_USAGE
