"""Loopback proxy between one machine and the store, which can be cut."""

import asyncio
import typing

CHUNK_BYTES: typing.Final = 65536


class Link:
    """Forwards connections to ``target``; silent in both ways while cut.

    What arrives meanwhile is passed on after the cut, as TCP would do.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.address = ''
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.accept, '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def cut(self) -> None:
        """Pass nothing on from now on."""
        self.open.clear()

    def heal(self) -> None:
        """Pass on what was held back, and what comes."""
        self.open.set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        await self.open.wait()
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, far_writer), self.pump(far_reader, writer)
        )

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one direction until it ends."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
