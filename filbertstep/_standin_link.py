"""Stand-in for links: TCP relays with delay, rate limit and cuts.

A link has one delay, one rate and one state for each direction; any number of
relays (port pairs) share it.  ``forward`` is from who connects to the target.
"""

import asyncio
import collections.abc
import pathlib
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _standin_common
from filbertstep import codec

# Bytes of one read.  Smaller pieces make the rate limit smoother.
PIECE_BYTES: typing.Final = 16 * 1024

# Pieces under way in one direction of a connection before the relay stops
# reading.  2 MB at most, as a window of TCP would allow.
MAX_PIECES: typing.Final = 128


class RelayDoc(typing.TypedDict):
    """A relay: connections to ``port`` go to ``target`` over a link."""

    link: str
    port: int
    target: str


class LinkFaults(typing.TypedDict):
    """State of a link; ``rate`` in bytes a second each way, 0 for no limit.

    ``hold`` keeps bytes until the direction opens, ``reset`` breaks the
    connections and refuses new ones.
    """

    delay_s: float
    rate: float
    forward: typing.Literal['open', 'hold', 'reset']
    backward: typing.Literal['open', 'hold', 'reset']


OPEN: typing.Final[LinkFaults] = {
    'delay_s': 0.0,
    'rate': 0.0,
    'forward': 'open',
    'backward': 'open',
}

# A piece and the time at which it may leave; an empty piece ends the stream.
Piece = tuple[float, bytes]


class Direction:
    """One direction of a link, shared by its connections."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.passed = 0

    def leave_at(self, size: int, now: float, link: LinkFaults) -> float:
        """Return when a piece that arrives now has passed the link."""
        start = max(now, self.free_at)
        if link['rate'] > 0:
            self.free_at = start + size / link['rate']
        else:
            self.free_at = now
        return self.free_at + link['delay_s']


class Link:
    """State of a link and the connections that use it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = _standin_common.FaultSettings(
            LinkFaults, OPEN, self.changed
        )
        self.directions = {
            'forward': Direction(),
            'backward': Direction(),
        }
        self.open = {name: asyncio.Event() for name in self.directions}
        self.transports: set[asyncio.WriteTransport] = set()
        self.changed()

    def state(self) -> LinkFaults:
        """Return the fields in force."""
        return typing.cast(LinkFaults, self.faults.fields)

    def is_reset(self) -> bool:
        """Tell whether connections over the link break."""
        return 'reset' in (self.state()['forward'], self.state()['backward'])

    def changed(self) -> None:
        """Let held bytes go, or break connections."""
        for name, event in self.open.items():
            if self.faults.fields[name] == 'open':
                event.set()
            else:
                event.clear()
        if self.is_reset():
            for transport in list(self.transports):
                transport.abort()

    def control_document(self) -> _standin_common.JsonObject:
        """Return the state and the bytes passed each way."""
        passed = {
            f'passed_{name}': direction.passed
            for name, direction in self.directions.items()
        }
        return {
            **self.faults.fields,
            **passed,
            'connections': len(self.transports) // 2,
        }


class LinkStandin:
    """The links and relays of one process."""

    def __init__(self, host: str, history: _history.HistoryWriter) -> None:
        self.host = host
        self.links: dict[str, Link] = {}
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.history = history

    def app(self) -> web.Application:
        """Return the application of the control path."""
        app = web.Application()
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Change links by name; ``*`` changes all."""
        for name, fields in patch.items():
            if name != '*' and name not in self.links:
                return result.Err(f'no link {name!r}')
            chosen = self.links.values() if name == '*' else [self.links[name]]
            for link in chosen:
                done = link.faults.merge(fields)
                if isinstance(done, result.Err):
                    return done
            self.history.write('link', link=name, change=fields)
        return result.Ok(None)

    def control_document(self) -> _standin_common.JsonObject:
        """Return all links by name."""
        return {
            name: link.control_document() for name, link in self.links.items()
        }

    async def add_relay(self, doc: RelayDoc) -> int:
        """Start a relay and return its port."""
        link = self.links.setdefault(doc['link'], Link(doc['link']))
        host, _, port = doc['target'].rpartition(':')

        def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # asyncio logs an error when it cancels a task of its own that
            # serves a connection, so that relays have tasks of their own.
            task = asyncio.create_task(
                relay(link, (reader, writer), host, int(port))
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        server = await asyncio.start_server(
            accept, self.host, doc['port'], limit=4 * PIECE_BYTES
        )
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop all relays and break their connections."""
        for server in self.servers:
            server.close()
        for link in self.links.values():
            for transport in list(link.transports):
                transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def relay(link: Link, near: Streams, host: str, port: int) -> None:
    """Relay one connection until both directions have ended."""
    if link.is_reset():
        near[1].transport.abort()
        return
    transports = {near[1].transport}
    link.transports.add(near[1].transport)
    try:
        # A new connection costs one round trip before its first byte.
        await asyncio.sleep(2 * link.state()['delay_s'])
        far = await asyncio.open_connection(host, port, limit=4 * PIECE_BYTES)
        transports.add(far[1].transport)
        link.transports.add(far[1].transport)
        async with asyncio.TaskGroup() as group:
            group.create_task(carry(link, 'forward', near[0], far[1]))
            group.create_task(carry(link, 'backward', far[0], near[1]))
    except* OSError:
        # Either side refused or broke the connection: so does the relay.
        pass
    finally:
        for transport in transports:
            link.transports.discard(transport)
            transport.abort()


async def carry(
    link: Link,
    way: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Carry one direction of a connection to its end."""
    pieces: asyncio.Queue[Piece] = asyncio.Queue(MAX_PIECES)
    async with asyncio.TaskGroup() as group:
        group.create_task(receive(link, way, reader, pieces))
        group.create_task(deliver(link, way, pieces, writer))


async def receive(
    link: Link,
    way: str,
    reader: asyncio.StreamReader,
    pieces: asyncio.Queue[Piece],
) -> None:
    """Read pieces and give each the time at which it leaves."""
    while True:
        data = await reader.read(PIECE_BYTES)
        at = link.directions[way].leave_at(
            len(data), _standin_common.loop_time(), link.state()
        )
        await pieces.put((at, data))
        if not data:
            return


async def deliver(
    link: Link,
    way: str,
    pieces: asyncio.Queue[Piece],
    writer: asyncio.StreamWriter,
) -> None:
    """Write pieces when they are due and the direction is open."""
    while True:
        at, data = await pieces.get()
        wait_s = at - _standin_common.loop_time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        await link.open[way].wait()
        if writer.transport.is_closing():
            raise ConnectionResetError
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        link.directions[way].passed += len(data)
        await writer.drain()


def read_spec(path: str) -> list[RelayDoc]:
    """Read a spec file: a JSON list of relays."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return codec.decode_with_comments(text, list[RelayDoc]).unwrap()


async def run(
    host: str,
    port: int,
    relays: collections.abc.Sequence[RelayDoc],
    initial: _standin_common.JsonObject,
    history: str,
) -> None:
    """Relay until the process is told to stop; ``initial`` is a change."""
    writer = _standin_common.open_history(history, 'link')
    links = LinkStandin(host, writer)
    runner = None
    try:
        for doc in relays:
            await links.add_relay(doc)
        links.apply_patch(initial).unwrap()
        runner = await _standin_common.start_http_server(
            links.app(), host, port
        )
        await _standin_common.wait_for_stop_signal()
    finally:
        await links.close()
        if runner is not None:
            await runner.cleanup()
        writer.close()
