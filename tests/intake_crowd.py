"""Clients that exceed all limits of the entry program's listeners."""

import asyncio
import contextlib
import socket
import typing

# Clients for each listener: most send as fast as they can, the others in
# small pieces with pauses.
FAST_CLIENTS: typing.Final = 10
SLOW_CLIENTS: typing.Final = 2

# A client whose connection was closed connects again after this time.
RECONNECT_S: typing.Final = 0.02

BLOCK_BYTES: typing.Final = 1024 * 1024
PIECE_BYTES: typing.Final = 100
PIECE_INTERVAL_S: typing.Final = 0.002

# Small, so that what a client does not read waits in the program.
RECEIVE_BUFFER_BYTES: typing.Final = 4096


class Stream(typing.NamedTuple):
    """What a client sends: ``first`` once, then ``repeated`` without end."""

    first: bytes
    repeated: bytes


class Crowd:
    """Clients that send a stream to several listeners and read nothing.

    They connect again whenever their connection is closed.
    """

    def __init__(self, addresses: list[str], stream: Stream) -> None:
        self.addresses = addresses
        self.stream = stream
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for address in self.addresses:
            for number in range(FAST_CLIENTS + SLOW_CLIENTS):
                client = self.run_client(address, number < SLOW_CLIENTS)
                self.tasks.append(asyncio.ensure_future(client))

    async def stop(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run_client(self, address: str, slow: bool) -> None:
        """Send the stream again and again."""
        host, _, port = address.rpartition(':')
        while True:
            connection = socket.socket()
            with contextlib.closing(connection):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                connection.setblocking(False)
                with contextlib.suppress(OSError):
                    await asyncio.get_running_loop().sock_connect(
                        connection, (host, int(port))
                    )
                    await self.send(connection, slow)
            await asyncio.sleep(RECONNECT_S)

    async def send(self, connection: socket.socket, slow: bool) -> None:
        """Send the stream until the other side closes the connection."""
        loop = asyncio.get_running_loop()
        size = PIECE_BYTES if slow else BLOCK_BYTES
        repeated = self.stream.repeated
        block = repeated * max(1, size // len(repeated))
        await loop.sock_sendall(connection, self.stream.first)
        while True:
            await loop.sock_sendall(connection, block)
            await asyncio.sleep(PIECE_INTERVAL_S if slow else 0)


async def open_silent(address: str, count: int) -> list[socket.socket]:
    """Open connections that send nothing."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    opened = []
    for _ in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        opened.append(connection)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                await loop.sock_connect(connection, (host, int(port)))
    return opened
