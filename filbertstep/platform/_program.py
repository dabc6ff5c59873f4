"""Command line of the entry program."""

import os
import sys
import typing

from filbertstep import _command_line
from filbertstep import entry
from filbertstep.platform import _adapter

NAME: typing.Final = 'filbertstep-entry'

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE: typing.Final = 'FILBERTSTEP_NODE_FILE'


@_command_line.deferred
def serve(settings: str = '', check_settings: bool = False) -> int:
    """Serve callers on this VM.

    Args:
        settings: path of the settings file; by default the one that the
            platform names in the environment.
        check_settings: check the settings file and stop.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        return _command_line.report_usage_error(
            NAME, f'no --settings given and {SETTINGS_VARIABLE} is not set'
        )
    return entry.run(NAME, _adapter.PlatformAdapter(path), check_settings)


def main() -> None:
    """Run the command line program."""
    _command_line.run(NAME, serve)
    sys.exit(0)
