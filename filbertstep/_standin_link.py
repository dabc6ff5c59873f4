"""Stand-in for network links: TCP relays with delay, rate limit and faults.

A link has one delay, one rate limit, and one state for each direction.  Any
number of relays share a link; each listens on a port and connects to a target.
``forward`` is the direction from the connecting client to the target,
``backward`` the opposite one.
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

# Upper bound of one read.  Smaller chunks make the rate limit smoother.
CHUNK_BYTES: typing.Final = 16 * 1024

# The relay stops reading from one side of a connection when this many chunks
# (2 MB) wait for delivery to the other, as a full TCP window would do.
MAX_QUEUED_CHUNKS: typing.Final = 128


class RelaySpec(typing.TypedDict):
    """A relay that forwards connections from ``port`` to ``target``.

    ``link`` is a name and ``target`` is ``host:port``.  Port 0 chooses a free
    port.
    """

    link: str
    port: int
    target: str


class LinkFaults(typing.TypedDict):
    """Delay, rate limit and state of a link.

    ``delay_s`` is the one-way delay.  ``rate`` is in bytes a second for each
    direction; 0 means no limit.  ``hold`` keeps back the bytes of a direction
    until it is ``open`` again.  ``reset`` in either direction aborts all
    connections over the link and refuses new ones.
    """

    delay_s: float
    rate: float
    forward: typing.Literal['open', 'hold', 'reset']
    backward: typing.Literal['open', 'hold', 'reset']


NO_FAULTS: typing.Final[LinkFaults] = {
    'delay_s': 0.0,
    'rate': 0.0,
    'forward': 'open',
    'backward': 'open',
}

# The time at which a chunk is due for delivery, and its bytes.  An empty chunk
# marks the end of the stream.
ScheduledChunk = tuple[float, bytes]


class Direction:
    """One direction of a link, shared by all connections over it.

    ``transmit_free_at`` is the time at which the link can transmit the next
    chunk.
    """

    def __init__(self) -> None:
        self.transmit_free_at = 0.0
        self.forwarded_bytes = 0

    def delivery_time(
        self, byte_count: int, now: float, faults: LinkFaults
    ) -> float:
        """Return the delivery time of a chunk that arrives now.

        The chunk occupies the link for its transmission time.
        """
        transmit_start = max(now, self.transmit_free_at)
        if faults['rate'] > 0:
            self.transmit_free_at = (
                transmit_start + byte_count / faults['rate']
            )
        else:
            self.transmit_free_at = now
        return self.transmit_free_at + faults['delay_s']


class Link:
    """A link with its faults, directions and open connections."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = _standin_common.FaultSettings(
            LinkFaults, NO_FAULTS, self.apply_faults
        )
        self.directions = {
            'forward': Direction(),
            'backward': Direction(),
        }
        self.open_events = {name: asyncio.Event() for name in self.directions}
        self.transports: set[asyncio.WriteTransport] = set()
        self.apply_faults()

    def faults_in_force(self) -> LinkFaults:
        """Return the current faults with their type."""
        return typing.cast(LinkFaults, self.faults.fields)

    def is_reset(self) -> bool:
        """Return whether connections over the link must be aborted."""
        return 'reset' in (
            self.faults_in_force()['forward'],
            self.faults_in_force()['backward'],
        )

    def apply_faults(self) -> None:
        """Release held bytes or abort connections, as the faults require."""
        for name, event in self.open_events.items():
            if self.faults.fields[name] == 'open':
                event.set()
            else:
                event.clear()
        if self.is_reset():
            for transport in list(self.transports):
                transport.abort()

    def control_document(self) -> _standin_common.JsonObject:
        """Return faults, forwarded bytes by direction, and connections."""
        forwarded_bytes = {
            f'passed_{name}': direction.forwarded_bytes
            for name, direction in self.directions.items()
        }
        return {
            **self.faults.fields,
            **forwarded_bytes,
            'connections': len(self.transports) // 2,
        }


class LinkStandin:
    """All links and relays of one process."""

    def __init__(self, host: str, history: _history.HistoryWriter) -> None:
        self.host = host
        self.links: dict[str, Link] = {}
        self.servers: list[asyncio.Server] = []
        self.relay_tasks: set[asyncio.Task[None]] = set()
        self.history = history

    def app(self) -> web.Application:
        """Return the application that serves the control path."""
        app = web.Application()
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Apply patches to links by name, ``*`` standing for all links.

        Returns an error at the first invalid patch; the patches before it stay
        applied.
        """
        for name, fields in patch.items():
            if name != '*' and name not in self.links:
                return result.Err(f'no link {name!r}')
            selected_links = (
                self.links.values() if name == '*' else [self.links[name]]
            )
            for link in selected_links:
                applied = link.faults.merge(fields)
                if isinstance(applied, result.Err):
                    return applied
            self.history.write('link', link=name, change=fields)
        return result.Ok(None)

    def control_document(self) -> _standin_common.JsonObject:
        """Return the state of all links by name."""
        return {
            name: link.control_document() for name, link in self.links.items()
        }

    async def add_relay(self, spec: RelaySpec) -> int:
        """Start a relay and return its port."""
        link = self.links.setdefault(spec['link'], Link(spec['link']))
        target_host, _, target_port = spec['target'].rpartition(':')

        def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # Relays get their own tasks, because asyncio logs an error when
            # a connection task that it has created itself is cancelled.
            task = asyncio.create_task(
                relay_connection(
                    link, (reader, writer), target_host, int(target_port)
                )
            )
            self.relay_tasks.add(task)
            task.add_done_callback(self.relay_tasks.discard)

        server = await asyncio.start_server(
            accept, self.host, spec['port'], limit=4 * CHUNK_BYTES
        )
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop all relays and abort their connections."""
        for server in self.servers:
            server.close()
        for link in self.links.values():
            for transport in list(link.transports):
                transport.abort()
        for task in list(self.relay_tasks):
            task.cancel()
        await asyncio.gather(*self.relay_tasks, return_exceptions=True)


StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def relay_connection(
    link: Link, client_streams: StreamPair, host: str, port: int
) -> None:
    """Relay one client connection until both directions have ended."""
    if link.is_reset():
        client_streams[1].transport.abort()
        return
    transports = {client_streams[1].transport}
    link.transports.add(client_streams[1].transport)
    try:
        # Connection setup takes one round trip before the first byte.
        await asyncio.sleep(2 * link.faults_in_force()['delay_s'])
        target_streams = await asyncio.open_connection(
            host, port, limit=4 * CHUNK_BYTES
        )
        transports.add(target_streams[1].transport)
        link.transports.add(target_streams[1].transport)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                relay_direction(
                    link, 'forward', client_streams[0], target_streams[1]
                )
            )
            group.create_task(
                relay_direction(
                    link, 'backward', target_streams[0], client_streams[1]
                )
            )
    except* OSError:
        # One side refused or broke its connection; both are aborted below.
        pass
    finally:
        for transport in transports:
            link.transports.discard(transport)
            transport.abort()


async def relay_direction(
    link: Link,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Relay one direction of a connection until the end of its stream."""
    chunks: asyncio.Queue[ScheduledChunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
    async with asyncio.TaskGroup() as group:
        group.create_task(read_chunks(link, direction, reader, chunks))
        group.create_task(write_chunks(link, direction, chunks, writer))


async def read_chunks(
    link: Link,
    direction: str,
    reader: asyncio.StreamReader,
    chunks: asyncio.Queue[ScheduledChunk],
) -> None:
    """Read chunks and queue them with their delivery times."""
    while True:
        data = await reader.read(CHUNK_BYTES)
        deliver_at = link.directions[direction].delivery_time(
            len(data), _standin_common.loop_time(), link.faults_in_force()
        )
        await chunks.put((deliver_at, data))
        if not data:
            return


async def write_chunks(
    link: Link,
    direction: str,
    chunks: asyncio.Queue[ScheduledChunk],
    writer: asyncio.StreamWriter,
) -> None:
    """Write each chunk when it is due and the direction is open.

    Raises ``ConnectionResetError`` if the connection is closing.
    """
    while True:
        deliver_at, data = await chunks.get()
        wait_s = deliver_at - _standin_common.loop_time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        await link.open_events[direction].wait()
        if writer.transport.is_closing():
            raise ConnectionResetError
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        link.directions[direction].forwarded_bytes += len(data)
        await writer.drain()


def read_relay_specs(path: str) -> list[RelaySpec]:
    """Read a spec file, a JSON list of relays; comments are allowed.

    Raises ``result.UnwrapError`` if the content is invalid.
    """
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return codec.decode_with_comments(text, list[RelaySpec]).unwrap()


async def run(
    host: str,
    port: int,
    specs: collections.abc.Sequence[RelaySpec],
    initial_patch: _standin_common.JsonObject,
    history_path: str,
) -> None:
    """Run relays until the process gets a stop signal.

    ``initial_patch`` is applied to the links first.
    """
    writer = _standin_common.open_history(history_path, 'link')
    standin = LinkStandin(host, writer)
    runner = None
    try:
        for spec in specs:
            await standin.add_relay(spec)
        standin.apply_patch(initial_patch).unwrap()
        runner = await _standin_common.start_http_server(
            standin.app(), host, port
        )
        await _standin_common.wait_for_stop_signal()
    finally:
        await standin.close()
        if runner is not None:
            await runner.cleanup()
        writer.close()
