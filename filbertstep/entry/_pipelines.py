"""Requests that callers send before earlier ones are answered.

Answers leave a connection in the order of the requests.  A request that waits
for an earlier answer loses the time that its caller allows.  So requests that
may run more than once start early, as long as that holds for all unanswered
requests before them on the connection (RFC 9112, section 9.3.2).  Others stay
unread: if an answer closes the connection, their callers send them again.
"""

import asyncio
import collections
import collections.abc
import typing

from aiohttp import http_parser

from filbertstep.entry import _connections
from filbertstep.entry import _messages

# Requests of a connection that run at the same time.  One caller must not take
# the slots of many, and each finished answer waits in memory.
MAX_CONCURRENT_REQUESTS: typing.Final = 4


class RunningRequest:
    """A request without a written answer; ``arrived_at`` is VM time."""

    def __init__(self, request_id: str, arrived_at: float) -> None:
        self.request_id = request_id
        self.arrived_at = arrived_at


class PipelinedRequest(typing.NamedTuple):
    """An unanswered request whose head was read; ``arrived_at`` is VM time.

    ``message`` also keeps the identity, under which it is found, unique.
    ``has_body`` is what the head announces, whether or not the body arrived.
    """

    message: http_parser.RawRequestMessage
    arrived_at: float
    has_body: bool


class EarlyRun(typing.NamedTuple):
    """A request that was started before its turn."""

    call: _messages.Call
    running: RunningRequest
    work: asyncio.Future[_messages.Reply]

    def give_up(self) -> None:
        """End the request, or close the answer that nobody takes."""
        if not self.work.cancel() and self.work.exception() is None:
            stream = self.work.result().stream
            if stream is not None:
                stream.close()


class Pipeline:
    """The unanswered requests of one connection, oldest first.

    ``early_runs`` has those that were started before their turn.  The identity
    of its message is the key of a request.
    """

    def __init__(self) -> None:
        self.requests: collections.OrderedDict[int, PipelinedRequest] = (
            collections.OrderedDict()
        )
        self.early_runs: dict[int, EarlyRun] = {}
        # The request whose turn it is, None between two.
        self.handled: int | None = None

    def waiting_to_start(
        self,
        is_repeatable: collections.abc.Callable[[PipelinedRequest], bool],
    ) -> list[PipelinedRequest]:
        """Return the requests that may start now, before their turn.

        The oldest is among them if its turn has not come yet, so that it gets
        a server before those behind it.
        """
        ready = []
        candidates = list(self.requests.values())[:MAX_CONCURRENT_REQUESTS]
        if len(candidates) < 2:
            return []
        for request in candidates:
            if request.has_body or not is_repeatable(request):
                break
            key = id(request.message)
            if key != self.handled and key not in self.early_runs:
                ready.append(request)
            if request.message.should_close:
                # Nothing behind it is answered.
                break
        return ready

    def held_answer_bytes(self) -> int:
        """Return the bytes of finished answers whose turn has not come."""
        return sum(
            len(early.work.result().body)
            for early in self.early_runs.values()
            if early.work.done()
            and not early.work.cancelled()
            and early.work.exception() is None
        )

    def finish(self, key: int) -> None:
        """Forget a request whose answer was written, or that ended."""
        self.requests.pop(key, None)
        self.early_runs.pop(key, None)
        self.handled = None


class PipelineTable:
    """Pipelines by connection."""

    def __init__(self) -> None:
        self.pipelines: dict[_connections.CallerConnection, Pipeline] = {}

    def open(self, connection: _connections.CallerConnection) -> Pipeline:
        """Return the pipeline of a connection, a new one at first."""
        return self.pipelines.setdefault(connection, Pipeline())

    def get(self, connection: object) -> Pipeline:
        """Return the pipeline of a connection, an empty one if it was lost."""
        if isinstance(connection, _connections.CallerConnection):
            return self.pipelines.get(connection) or Pipeline()
        return Pipeline()

    def close(
        self, connection: _connections.CallerConnection
    ) -> list[EarlyRun]:
        """Forget a lost connection; return what was started early on it."""
        pipeline = self.pipelines.pop(connection, None)
        if pipeline is None:
            return []
        # The handler of the first request may still refer to the pipeline.
        pipeline.requests.clear()
        return list(pipeline.early_runs.values())
