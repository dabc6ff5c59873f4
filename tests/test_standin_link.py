"""Tests of the stand-in for links."""

import asyncio
import typing
import unittest

from filbertstep import _standin_link
from tests import standin_case


class TestDirection(unittest.TestCase):
    """Delivery times of chunks."""

    def test_delay_and_rate(self) -> None:
        """Guards against a rate limit that each connection has on its own."""
        direction = _standin_link.Direction()
        faults: _standin_link.LinkFaults = {
            **_standin_link.NO_FAULTS,
            'delay_s': 0.5,
            'rate': 1000.0,
        }
        self.assertEqual(11.5, direction.delivery_time(1000, 10.0, faults))
        self.assertEqual(12.5, direction.delivery_time(1000, 10.0, faults))
        self.assertEqual(20.6, direction.delivery_time(100, 20.0, faults))

    def test_no_rate_means_no_wait(self) -> None:
        """Guards against a division by a rate of 0."""
        direction = _standin_link.Direction()
        self.assertEqual(
            10.0, direction.delivery_time(10**9, 10.0, _standin_link.NO_FAULTS)
        )


class TestLinks(standin_case.StandinCase):
    """Relays to an echo server: two over link ``one``, one over ``two``."""

    async def asyncSetUp(self) -> None:
        """Start an echo server, three relays and the control path."""
        await super().asyncSetUp()
        self.echo_server = await asyncio.start_server(
            self.handle_echo, '127.0.0.1', 0
        )
        self.addCleanup(self.echo_server.close)
        port = self.echo_server.sockets[0].getsockname()[1]
        self.standin = _standin_link.LinkStandin('127.0.0.1', self.history)
        self.addAsyncCleanup(self.standin.close)
        self.ports = [
            await self.standin.add_relay(
                {'link': link, 'port': 0, 'target': f'127.0.0.1:{port}'}
            )
            for link in ('one', 'one', 'two')
        ]
        await self.serve(self.standin.app())

    async def handle_echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send back all bytes; close when the client ends its stream."""
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()

    async def connect(self, relay_index: int) -> _standin_link.StreamPair:
        """Open a connection to a relay, given by its index in ``ports``."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[relay_index]
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(
        self, streams: _standin_link.StreamPair, text: bytes
    ) -> bytes:
        """Send bytes and return as many bytes from the other side."""
        reader, writer = streams
        writer.write(text)
        async with asyncio.timeout(5):
            return await reader.readexactly(len(text))

    async def test_bytes_pass_unchanged_to_the_end(self) -> None:
        """Guards against lost or reordered chunks and a missing stream end."""
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

    async def test_held_bytes_are_delivered_later(self) -> None:
        """Guards against a hold in one direction that loses bytes."""
        streams = await self.connect(0)
        await self.exchange(streams, b'one')
        await self.control(one={'backward': 'hold'})
        streams[1].write(b'two')
        async with asyncio.timeout(5):
            while self.forwarded_bytes('forward') < 6:
                await asyncio.sleep(0.001)
        self.assertEqual(3, self.forwarded_bytes('backward'))
        await self.control(one={'backward': 'open'})
        async with asyncio.timeout(5):
            self.assertEqual(b'two', await streams[0].readexactly(3))

    def forwarded_bytes(self, direction: str) -> int:
        """Return the bytes that link ``one`` forwarded in a direction."""
        return self.standin.links['one'].directions[direction].forwarded_bytes

    async def test_reset_breaks_and_refuses(self) -> None:
        """Guards against connections that survive a reset of their link."""
        streams = await self.connect(0)
        other_streams = await self.connect(2)
        await self.exchange(streams, b'one')
        await self.exchange(other_streams, b'one')
        await self.control(one={'forward': 'reset'})
        await self.assert_broken(streams)
        await self.assert_broken(await self.connect(1))
        self.assertEqual(b'two', await self.exchange(other_streams, b'two'))
        await self.control(one={'forward': 'open'})
        self.assertEqual(
            b'three', await self.exchange(await self.connect(1), b'three')
        )

    async def assert_broken(self, streams: _standin_link.StreamPair) -> None:
        """Check that a connection was closed or aborted by the relay."""
        async with asyncio.timeout(5):
            try:
                self.assertEqual(b'', await streams[0].read(1))
            except ConnectionError:
                return

    async def test_invalid_patch_is_rejected(self) -> None:
        """Guards against an invalid fault that is ignored silently."""
        bad_patches: list[dict[str, typing.Any]] = [
            {'three': {'delay_s': 1.0}},
            {'one': {'forward': 'shut'}},
        ]
        for patch in bad_patches:
            response = await self.call('POST', '/control', patch)
            self.assertEqual(400, response.status)

    async def test_target_that_refuses_connections(self) -> None:
        """Guards against a relay that hangs when its target is down."""
        self.echo_server.close()
        await self.echo_server.wait_closed()
        await self.assert_broken(await self.connect(0))
