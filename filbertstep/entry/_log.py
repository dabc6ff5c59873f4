"""Structured log lines on standard output.

Each line is one JSON object.  A line is written for each decision about a
request and for each change of the state that decisions depend on.  Each kind
of line has its own rate limit, and the process never waits for the reader of
its output: lines that do not fit are dropped and counted.
"""

import os
import typing

import logbook
import msgspec

from filbertstep import clock

# Limits the memory for lines that the reader has not taken yet.
MAX_PENDING_BYTES: typing.Final = 256 * 1024

# Unused budget accumulates for up to this time.
BUDGET_BURST_S: typing.Final = 2.0

FieldValue = str | int | float | bool | None | list[str]


class LineBudget:
    """Token bucket for lines of one kind; counts the suppressed lines."""

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now
        self.suppressed = 0


class PipeHandler(logbook.Handler):  # type: ignore[misc]
    """Writes to a non-blocking file descriptor; logbook is untyped."""

    def __init__(self, file_descriptor: int) -> None:
        super().__init__(level=logbook.DEBUG, bubble=False)
        self.file_descriptor = file_descriptor
        self.pending = bytearray()
        self.dropped = 0
        os.set_blocking(file_descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line; drop it if too many bytes are pending."""
        line = record.message.encode() + b'\n'
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending += line

    def flush(self) -> None:
        """Write as many pending bytes as the reader accepts now."""
        while self.pending:
            try:
                written = os.write(self.file_descriptor, self.pending[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to log to.
                self.dropped += self.pending.count(b'\n')
                self.pending.clear()
                return
            del self.pending[:written]


class DecisionLog:
    """Log of one process, rate-limited for each kind of line."""

    def __init__(
        self,
        vm: str,
        lines_per_s: float,
        time_source: clock.Clock,
        handler: PipeHandler,
    ) -> None:
        self.vm = vm
        self.lines_per_s = lines_per_s
        self.clock = time_source
        self.handler = handler
        self.logger = logbook.Logger('filbertstep')
        self.budgets: dict[str, LineBudget] = {}
        handler.push_application()

    def write(self, kind: str, **fields: FieldValue) -> None:
        """Write a line unless the budget of its kind is used up.

        ``left_out`` in a line is the number of lines of its kind that were
        suppressed before it.
        """
        now = self.clock.now()
        budget = self.budgets.get(kind)
        max_tokens = self.lines_per_s * BUDGET_BURST_S
        if budget is None:
            budget = self.budgets[kind] = LineBudget(max_tokens, now)
        budget.tokens = min(
            max_tokens,
            budget.tokens + (now - budget.updated_at) * self.lines_per_s,
        )
        budget.updated_at = now
        if budget.tokens < 1.0:
            budget.suppressed += 1
            return
        budget.tokens -= 1.0
        line_fields: dict[str, FieldValue] = {
            'at': round(now, 4),
            'vm': self.vm,
            'kind': kind,
            **fields,
        }
        if budget.suppressed:
            line_fields['left_out'], budget.suppressed = budget.suppressed, 0
        self.logger.info(msgspec.json.encode(line_fields).decode())

    def flush(self) -> None:
        """Write the pending lines."""
        self.handler.flush()
