"""Code shared by all stand-ins: control routes, HTTP server, rate limiter.

A stand-in simulates an external system in tests and experiments.  The faults
that it injects are fields of one ``TypedDict``.  ``POST /control`` merges a
JSON object into these fields.  Unknown fields are rejected, because a test
would pass without the fault that it meant to inject if a misspelt field name
were ignored.
"""

import asyncio
import collections.abc
import secrets
import signal
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import codec

CONTROL_PATH: typing.Final = '/control'

# Short, because clients of a stand-in must handle broken connections anyway.
SHUTDOWN_TIMEOUT_S: typing.Final = 0.2

JsonObject = dict[str, typing.Any]


class FaultSettings:
    """Faults of one stand-in, validated against a ``TypedDict``.

    ``on_change`` is called after each change of the fields.
    """

    def __init__(
        self,
        schema: type,
        initial: collections.abc.Mapping[str, typing.Any],
        on_change: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.schema = schema
        self.fields: JsonObject = dict(initial)
        self.on_change = on_change

    def merge(self, patch: object) -> result.Result[None, str]:
        """Update all fields given in a JSON object.

        If any of them is unknown or has the wrong type, nothing changes and
        the result is an error.
        """
        if not isinstance(patch, dict):
            return result.Err('a JSON object expected')
        merged = {**self.fields, **patch}
        converted: result.Result[object, str] = codec.convert(
            merged, self.schema
        )
        if isinstance(converted, result.Err):
            return converted
        self.fields.update(patch)
        self.on_change()
        return result.Ok(None)


class TokenBucket:
    """Rate limiter that allows bursts of up to one second's calls."""

    def __init__(self, now: float) -> None:
        self.used_tokens = 0.0
        self.updated_at = now

    def try_acquire(self, rate_per_s: float, now: float) -> bool:
        """Count one call if the rate permits it; return whether it does.

        ``rate_per_s`` 0 means no limit.
        """
        if rate_per_s <= 0:
            return True
        self.used_tokens = max(
            0.0, self.used_tokens - (now - self.updated_at) * rate_per_s
        )
        self.updated_at = now
        if self.used_tokens + 1 > rate_per_s:
            return False
        self.used_tokens += 1
        return True


def loop_time() -> float:
    """Return the monotonic time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def new_incarnation_id() -> str:
    """Return a random id for one start of a process."""
    return secrets.token_hex(4)


def open_history(path: str, process_name: str) -> _history.HistoryWriter:
    """Open a history file; with an empty path, events are discarded."""
    return _history.HistoryWriter(
        path or None, process_name, new_incarnation_id()
    )


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=codec.encode(value),
        status=status,
        content_type='application/json',
    )


async def read_json_object(
    request: web.Request,
) -> result.Result[JsonObject, str]:
    """Decode a request body as a JSON object; an empty body is ``{}``."""
    return codec.decode(await request.read() or b'{}', JsonObject)


async def handle_control_request(
    request: web.Request,
    apply_patch: collections.abc.Callable[
        [JsonObject], result.Result[None, str]
    ],
    get_document: collections.abc.Callable[[], JsonObject],
) -> web.Response:
    """Handle ``GET`` and ``POST`` of the control path.

    Both return the current document; a patch that is rejected returns 400.
    """
    if request.method == 'POST':
        applied = (await read_json_object(request)).and_then(apply_patch)
        if isinstance(applied, result.Err):
            return json_response({'message': applied.err_value}, 400)
    return json_response(get_document())


def add_control_routes(
    app: web.Application,
    apply_patch: collections.abc.Callable[
        [JsonObject], result.Result[None, str]
    ],
    get_document: collections.abc.Callable[[], JsonObject],
) -> None:
    """Add ``GET`` and ``POST`` routes for the control path."""

    async def handle(request: web.Request) -> web.Response:
        return await handle_control_request(request, apply_patch, get_document)

    app.router.add_get(CONTROL_PATH, handle)
    app.router.add_post(CONTROL_PATH, handle)


def abort_connection(request: web.Request) -> web.Response:
    """Abort a request's connection without a response.

    The returned response only satisfies the handler's signature; it is never
    sent.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def start_http_server(
    app: web.Application, host: str, port: int
) -> web.AppRunner:
    """Serve an application on a host and port.

    Port 0 chooses a free port.  The caller must call ``cleanup`` on the
    returned runner.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(
        runner, host, port, backlog=1024, reuse_address=True
    ).start()
    return runner


def bound_port(runner: web.AppRunner) -> int:
    """Return the port of a runner that has exactly one listener."""
    return int(runner.addresses[0][1])


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
