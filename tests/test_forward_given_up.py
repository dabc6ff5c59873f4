"""Requests that a VM gives up must not reach their servers afterwards."""

import asyncio
import socket
import typing
import unittest

from filbertstep import delivery
from tests import test_forward_faulty

Kind = delivery.ForwardOutcomeKind

# More than the kernel's buffers take for a connection that nobody reads.
LARGE_BODY: typing.Final = b'a' * (32 * 1024 * 1024)

TIME_LEFT_S: typing.Final = 0.3


class Arrived(typing.NamedTuple):
    """What reached the server, and whether the connection was reset."""

    received: bytes
    was_reset: bool


class TestGivenUpRequests(unittest.IsolatedAsyncioTestCase):
    """A server that reads nothing until the request was given up.

    A network drops what it holds up only if the sender resets the connection.
    """

    async def asyncSetUp(self) -> None:
        """Listen without accepting, and make a forwarder."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.forwarder = delivery.Forwarder(
            conventions=test_forward_faulty.CONVENTIONS,
            skip_mismatched_responses=True,
        )
        self.addAsyncCleanup(self.forwarder.close)

    def send(
        self, body: bytes, time_left_s: float
    ) -> asyncio.Task[delivery.ForwardOutcome]:
        """Start an attempt at the server."""
        port = self.listener.getsockname()[1]
        return asyncio.ensure_future(
            self.forwarder.send(
                delivery.Attempt(
                    f'127.0.0.1:{port}',
                    'POST',
                    '/orders/1',
                    '',
                    (),
                    body,
                    'r1',
                    time_left_s,
                ),
                lambda: None,
            )
        )

    async def arrived(self) -> Arrived:
        """Read what the server gets, to the end of the connection."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self.listener)
        received = bytearray()
        with connection:
            try:
                async with asyncio.timeout(5.0):
                    while data := await loop.sock_recv(connection, 65536):
                        received += data
            except ConnectionResetError:
                return Arrived(bytes(received), True)
        return Arrived(bytes(received), False)

    async def test_timed_out_request_is_dropped(self) -> None:
        """Guards against a request that runs in an evacuated zone."""
        outcome = await self.send(b'order', TIME_LEFT_S)
        self.assertEqual(outcome.kind, Kind.TIMED_OUT)
        self.assertTrue((await self.arrived()).was_reset)

    async def test_cancelled_request_is_dropped(self) -> None:
        """Guards against a run for a caller that has left."""
        attempt = self.send(b'order', 10 * TIME_LEFT_S)
        await asyncio.sleep(TIME_LEFT_S)
        attempt.cancel()
        await asyncio.wait({attempt})
        self.assertTrue((await self.arrived()).was_reset)

    async def test_withdrawn_request_is_dropped(self) -> None:
        """Guards against a run for a key that was withdrawn."""
        attempt = self.send(b'order', 10 * TIME_LEFT_S)
        await asyncio.sleep(TIME_LEFT_S)
        self.assertTrue(self.forwarder.cancel('r1'))
        self.assertEqual((await attempt).kind, Kind.CANCELLED)
        self.assertTrue((await self.arrived()).was_reset)

    async def test_rest_of_a_body_is_not_sent(self) -> None:
        """Guards against an upload that goes on after it was given up."""
        outcome = await self.send(LARGE_BODY, TIME_LEFT_S)
        self.assertEqual(outcome.kind, Kind.TIMED_OUT)
        arrived = await self.arrived()
        self.assertTrue(arrived.was_reset)
        self.assertLess(len(arrived.received), len(LARGE_BODY) / 2)


if __name__ == '__main__':
    unittest.main()
