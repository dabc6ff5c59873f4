"""Base class of tests that run a stand-in in the test process."""

import json
import pathlib
import tempfile
import typing
import unittest

import aiohttp
from aiohttp import web

from filbertstep import _standin_common
from filbertstep import checking

JsonObject = dict[str, typing.Any]


class Response(typing.NamedTuple):
    """An HTTP response whose body has been read."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Serves one application on a free loopback port.

    The application writes its events to ``history``.
    """

    async def asyncSetUp(self) -> None:
        """Open a client session and a history file."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.history = checking.HistoryWriter(
            str(self.directory / 'standin.jsonl'), 'standin', '1'
        )
        self.addCleanup(self.history.close)
        # Each call gets a new connection, because some injected faults abort
        # connections.
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=5),
            connector=aiohttp.TCPConnector(force_close=True),
        )
        self.addAsyncCleanup(self.session.close)

    async def serve(self, app: web.Application) -> web.AppRunner:
        """Serve an application and set ``url`` to its address."""
        runner = await _standin_common.start_http_server(app, '127.0.0.1', 0)
        self.addAsyncCleanup(runner.cleanup)
        self.url = f'http://127.0.0.1:{_standin_common.bound_port(runner)}'
        return runner

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | JsonObject | None = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> Response:
        """Send one request to the application, on a new connection."""
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        async with self.session.request(
            method, self.url + path, data=data, headers=headers
        ) as response:
            return Response(
                response.status, response.headers, await response.read()
            )

    async def control(self, **patch: object) -> Response:
        """Post a patch to the control path of the stand-in."""
        return await self.call('POST', '/control', patch)

    def events(self, *names: str) -> list[checking.AnyEvent]:
        """Return the events written so far, optionally only of some names."""
        return [
            event
            for event in checking.read_history(self.directory)
            if not names or event['event'] in names
        ]
