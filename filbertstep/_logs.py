"""Logging setup and structured log lines for changes of state.

Single events are counted in metrics (see ``_metrics``); a log line is written
only when a state changes.  API keys and bodies must never be logged.
"""

import sys

import logbook

LINE_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '{record.channel}: {record.message}'
)


def configure(level: str) -> None:
    """Write log lines of a level and above to standard error."""
    logbook.StreamHandler(
        sys.stderr, level=level, format_string=LINE_FORMAT
    ).push_application()


def state_change(logger: logbook.Logger, event: str, **fields: object) -> None:
    """Log a change of state as its name and its fields, sorted by name."""
    fields_text = ' '.join(f'{name}={fields[name]}' for name in sorted(fields))
    logger.info('{} {}', event, fields_text)
