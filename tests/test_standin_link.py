"""Tests of the stand-in for links."""

import asyncio
import typing
import unittest

from filbertstep import _standin_link
from tests import standin_case


class TestDirection(unittest.TestCase):
    """When a piece leaves a link."""

    def test_delay_and_rate(self) -> None:
        """Guards against a rate that each connection has for itself."""
        direction = _standin_link.Direction()
        link: _standin_link.LinkFaults = {
            **_standin_link.OPEN,
            'delay_s': 0.5,
            'rate': 1000.0,
        }
        self.assertEqual(11.5, direction.leave_at(1000, 10.0, link))
        self.assertEqual(12.5, direction.leave_at(1000, 10.0, link))
        self.assertEqual(20.6, direction.leave_at(100, 20.0, link))

    def test_no_rate_means_no_wait(self) -> None:
        """Guards against a division by a rate of 0."""
        direction = _standin_link.Direction()
        self.assertEqual(
            10.0, direction.leave_at(10**9, 10.0, _standin_link.OPEN)
        )


class TestLinks(standin_case.StandinCase):
    """Relays over one link to a server that echoes."""

    async def asyncSetUp(self) -> None:
        """Start an echo server, two relays and the control path."""
        await super().asyncSetUp()
        self.echo = await asyncio.start_server(self.echo_back, '127.0.0.1', 0)
        self.addCleanup(self.echo.close)
        port = self.echo.sockets[0].getsockname()[1]
        self.links = _standin_link.LinkStandin('127.0.0.1', self.history)
        self.addAsyncCleanup(self.links.close)
        self.ports = [
            await self.links.add_relay(
                {'link': link, 'port': 0, 'target': f'127.0.0.1:{port}'}
            )
            for link in ('one', 'one', 'two')
        ]
        await self.serve(self.links.app())

    async def echo_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send back all that comes, and end when the other side does."""
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()

    async def connect(self, relay: int) -> _standin_link.Streams:
        """Connect to a relay."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[relay]
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def ask(self, streams: _standin_link.Streams, text: bytes) -> bytes:
        """Send a text and return as many bytes of the answer."""
        reader, writer = streams
        writer.write(text)
        async with asyncio.timeout(5):
            return await reader.readexactly(len(text))

    async def test_bytes_pass_unchanged_to_the_end(self) -> None:
        """Guards against lost or reordered pieces and endless streams."""
        await self.control(one={'delay_s': 0.002, 'rate': 50e6})
        text = bytes(range(256)) * 2000
        reader, writer = await self.connect(0)
        writer.write(text)
        writer.write_eof()
        async with asyncio.timeout(10):
            self.assertEqual(text, await reader.read(-1))
        shown = (await self.call('GET', '/control')).json()
        self.assertEqual(len(text), shown['one']['passed_forward'])
        self.assertEqual(0, shown['two']['passed_forward'])

    async def test_held_bytes_go_on_later(self) -> None:
        """Guards against a cut in one direction that loses bytes."""
        streams = await self.connect(0)
        await self.ask(streams, b'one')
        await self.control(one={'backward': 'hold'})
        streams[1].write(b'two')
        async with asyncio.timeout(5):
            while self.passed('forward') < 6:
                await asyncio.sleep(0.001)
        self.assertEqual(3, self.passed('backward'))
        await self.control(one={'backward': 'open'})
        async with asyncio.timeout(5):
            self.assertEqual(b'two', await streams[0].readexactly(3))

    def passed(self, way: str) -> int:
        """Return the bytes that passed a link in one direction."""
        return self.links.links['one'].directions[way].passed

    async def test_reset_breaks_and_refuses(self) -> None:
        """Guards against connections that survive a reset of their link."""
        streams = await self.connect(0)
        other = await self.connect(2)
        await self.ask(streams, b'one')
        await self.ask(other, b'one')
        await self.control(one={'forward': 'reset'})
        await self.assert_broken(streams)
        await self.assert_broken(await self.connect(1))
        self.assertEqual(b'two', await self.ask(other, b'two'))
        await self.control(one={'forward': 'open'})
        self.assertEqual(
            b'three', await self.ask(await self.connect(1), b'three')
        )

    async def assert_broken(self, streams: _standin_link.Streams) -> None:
        """Check that a connection has ended."""
        async with asyncio.timeout(5):
            try:
                self.assertEqual(b'', await streams[0].read(1))
            except ConnectionError:
                return

    async def test_bad_change_is_refused(self) -> None:
        """Guards against a cut that is not in force."""
        bad: list[dict[str, typing.Any]] = [
            {'three': {'delay_s': 1.0}},
            {'one': {'forward': 'shut'}},
        ]
        for patch in bad:
            answer = await self.call('POST', '/control', patch)
            self.assertEqual(400, answer.status)

    async def test_target_that_refuses(self) -> None:
        """Guards against a relay that hangs when its target is gone."""
        self.echo.close()
        await self.echo.wait_closed()
        await self.assert_broken(await self.connect(0))
