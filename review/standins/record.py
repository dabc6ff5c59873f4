"""Record of a run: what was sent, answered and run, by seconds."""

import json
import pathlib
import time


class Record:
    """Writes one line for each event; times count from the first one."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w', encoding='utf-8')
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started

    def write(self, event: str, **fields: object) -> float:
        """Write an event and return its time."""
        now = self.now()
        self.file.write(f'{now:8.3f} {event} {json.dumps(fields)}\n')
        self.file.flush()
        return now
