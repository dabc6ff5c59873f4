"""What the stand-ins share: control path, listening, stopping, token bucket.

Each stand-in keeps its faults in one ``TypedDict``.  ``POST /control`` merges
a JSON object into it, and unknown fields are refused so that a misspelt fault
does not look like a passed test.
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

# Time in seconds that open connections get when a stand-in ends.  Clients of
# a stand-in must cope with broken connections anyway.
SHUTDOWN_S: typing.Final = 0.2

Fields = dict[str, typing.Any]


class Faults:
    """The faults of one stand-in; ``on_change`` is called after a change."""

    def __init__(
        self,
        shape: type,
        initial: collections.abc.Mapping[str, typing.Any],
        on_change: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.shape = shape
        self.fields: Fields = dict(initial)
        self.on_change = on_change

    def merge(self, patch: object) -> result.Result[None, str]:
        """Take over the fields of a JSON object, or none of them."""
        if not isinstance(patch, dict):
            return result.Err('a JSON object expected')
        merged = {**self.fields, **patch}
        checked: result.Result[object, str] = codec.convert(merged, self.shape)
        if isinstance(checked, result.Err):
            return checked
        self.fields.update(patch)
        self.on_change()
        return result.Ok(None)


class TokenBucket:
    """Limits calls to a rate a second, with one second's calls as burst."""

    def __init__(self, now: float) -> None:
        self.spent = 0.0
        self.at = now

    def try_take(self, rate: float, now: float) -> bool:
        """Count one call if the rate allows it; rate 0 means no limit."""
        if rate <= 0:
            return True
        self.spent = max(0.0, self.spent - (now - self.at) * rate)
        self.at = now
        if self.spent + 1 > rate:
            return False
        self.spent += 1
        return True


def now() -> float:
    """Return the time in seconds of the running loop."""
    return asyncio.get_running_loop().time()


def new_incarnation() -> str:
    """Return a name for this run of a process."""
    return secrets.token_hex(4)


def open_history(path: str, process: str) -> _history.HistoryWriter:
    """Open a history file; an empty path writes none."""
    return _history.HistoryWriter(path or None, process, new_incarnation())


def json_answer(value: object, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=codec.encode(value),
        status=status,
        content_type='application/json',
    )


async def read_json(request: web.Request) -> result.Result[Fields, str]:
    """Return the JSON object of a request's body."""
    return codec.decode(await request.read() or b'{}', Fields)


async def apply_control(
    request: web.Request,
    apply: collections.abc.Callable[[Fields], result.Result[None, str]],
    show: collections.abc.Callable[[], Fields],
) -> web.Response:
    """Answer ``GET`` and ``POST`` of the control path."""
    if request.method == 'POST':
        done = (await read_json(request)).and_then(apply)
        if isinstance(done, result.Err):
            return json_answer({'message': done.err_value}, 400)
    return json_answer(show())


def add_control(
    app: web.Application,
    apply: collections.abc.Callable[[Fields], result.Result[None, str]],
    show: collections.abc.Callable[[], Fields],
) -> None:
    """Serve the control path of a stand-in."""

    async def handle(request: web.Request) -> web.Response:
        return await apply_control(request, apply, show)

    app.router.add_get(CONTROL_PATH, handle)
    app.router.add_post(CONTROL_PATH, handle)


def close_without_answer(request: web.Request) -> web.Response:
    """Break the request's connection; the answer returned is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def listen(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Serve an application; the caller must clean the runner up."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_S,
    )
    await runner.setup()
    await web.TCPSite(
        runner, host, port, backlog=1024, reuse_address=True
    ).start()
    return runner


def bound_port(runner: web.AppRunner) -> int:
    """Return the port of a runner's only listener."""
    return int(runner.addresses[0][1])


async def until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
