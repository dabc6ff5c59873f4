"""Log set-up: lines for changes of state only, with their fields as data.

Counters come first (see ``_metrics``); a line is written when a state changes.
Keys and bodies are never passed to a log.
"""

import sys

import logbook

FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '{record.channel}: {record.message}'
)


def configure(level: str) -> None:
    """Send log lines of at least a level to standard error."""
    logbook.StreamHandler(
        sys.stderr, level=level, format_string=FORMAT
    ).push_application()


def state_change(logger: logbook.Logger, event: str, **fields: object) -> None:
    """Log one change of state: its name, then its fields sorted by name."""
    pairs = ' '.join(f'{name}={fields[name]}' for name in sorted(fields))
    logger.info('{} {}', event, pairs)
