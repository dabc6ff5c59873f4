"""Command line handling that all programs share.

``--help``, ``--version`` and ``--check-settings`` work the same way in all
programs.  A command runs only after the whole command line has been parsed.
``fire`` alone would call the function first and report unknown arguments
afterwards, when a change ticket might already have been submitted.
"""

import collections.abc
import functools
import sys
import typing

import fire

import filbertstep

EXIT_OK: typing.Final = 0
EXIT_USAGE: typing.Final = 2

# Flags that may be given without a value, spelled with underscores.
BOOLEAN_FLAGS: typing.Final = frozenset(
    {'__check_settings', '__json', '__no_wait'}
)

Parameters = typing.ParamSpec('Parameters')


class DeferredCommand:
    """A parsed command that has not run yet.

    The function returns the exit code, or None for success.  The attribute is
    private because ``fire`` offers public attributes as commands.
    """

    def __init__(
        self, function: collections.abc.Callable[[], int | None]
    ) -> None:
        self._function = function


def deferred(
    function: collections.abc.Callable[Parameters, int | None],
) -> collections.abc.Callable[Parameters, DeferredCommand]:
    """Make a command return a ``DeferredCommand`` instead of running."""

    @functools.wraps(function)
    def wrapper(
        *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> DeferredCommand:
        return DeferredCommand(functools.partial(function, *args, **kwargs))

    return wrapper


def serialize_result(command_result: object) -> object:
    """Return what ``fire`` prints: nothing for a deferred command."""
    return (
        None if isinstance(command_result, DeferredCommand) else command_result
    )


def expand_boolean_flag(argument: str) -> str:
    """Append ``=True`` to a boolean flag.

    ``fire`` would otherwise use the next argument as the value of the flag.
    """
    if argument.replace('-', '_') in BOOLEAN_FLAGS:
        return f'{argument}=True'
    return argument


def run(name: str, component: object) -> None:
    """Parse the command line and run the command.

    Exits with the command's exit code if that is not 0.
    """
    arguments = [expand_boolean_flag(argument) for argument in sys.argv[1:]]
    if '--version' in arguments:
        print(filbertstep.__version__)
        return
    command_result = fire.Fire(
        component, command=arguments, name=name, serialize=serialize_result
    )
    if isinstance(command_result, DeferredCommand):
        code = run_deferred(command_result)
        if code:
            sys.exit(code)


def run_deferred(deferred_command: DeferredCommand) -> int:
    """Run a deferred command; return the exit code."""
    return deferred_command._function() or EXIT_OK


def report_usage_error(name: str, message: str) -> int:
    """Print why a command cannot start; return ``EXIT_USAGE``."""
    print(f'{name}: {message}', file=sys.stderr)
    return EXIT_USAGE
