"""Base of tests that call a stand-in over loopback in this process."""

import json
import pathlib
import tempfile
import typing
import unittest

import aiohttp
from aiohttp import web

from filbertstep import _standin_common
from filbertstep import checking

Fields = dict[str, typing.Any]


class Answer(typing.NamedTuple):
    """An answer whose body was read."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Serves one application on a free port, with a history file."""

    async def asyncSetUp(self) -> None:
        """Open a session and a history."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.writer = checking.HistoryWriter(
            str(self.directory / 'standin.jsonl'), 'standin', '1'
        )
        self.addCleanup(self.writer.close)
        # Each call has a connection of its own, as tests of faults that end
        # connections need.
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=5),
            connector=aiohttp.TCPConnector(force_close=True),
        )
        self.addAsyncCleanup(self.session.close)

    async def serve(self, app: web.Application) -> web.AppRunner:
        """Serve an application; ``url`` is where it listens."""
        runner = await _standin_common.start_http_server(app, '127.0.0.1', 0)
        self.addAsyncCleanup(runner.cleanup)
        self.url = f'http://127.0.0.1:{_standin_common.bound_port(runner)}'
        return runner

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | Fields | None = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> Answer:
        """Call the application once, on a connection of its own."""
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        async with self.session.request(
            method, self.url + path, data=data, headers=headers
        ) as answer:
            return Answer(answer.status, answer.headers, await answer.read())

    async def control(self, **patch: object) -> Answer:
        """Change the stand-in."""
        return await self.call('POST', '/control', patch)

    def events(self, *names: str) -> list[checking.AnyEvent]:
        """Return the events written so far with one of some names."""
        return [
            event
            for event in checking.read_history(self.directory)
            if not names or event['event'] in names
        ]
