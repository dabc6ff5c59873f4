"""Limits on what clients may make a VM hold, over all of its listeners.

The limits bound the bytes of unfinished requests, those of answers that
clients do not read, the connections of each listener, and the times of heads
and of idle connections.  One periodic sweep enforces the times.

Nothing here performs input or output; times are those of the event loop.
"""

import abc
import collections.abc
import enum
import resource
import typing

from filbertstep import steering

# Bytes of an unfinished head, with empty lines before it, as a multiple of the
# limit of a complete head.  Heads between the two limits get an answer that
# names the limit.
HEAD_MARGIN: typing.Final = 4

# Bytes for the framing of a body (chunk sizes, extensions, trailers) for each
# byte of its content, and beyond that.  A chunk of one byte takes six bytes.
# One read, of up to 256 KB, may not be parsed yet.
FRAMING_FACTOR: typing.Final = 16
FRAMING_BYTES: typing.Final = 512 * 1024

# A head that arrives in time at the VM may be read this much later.
HEAD_DELAY_S: typing.Final = 1.0

# Time without progress after which a client counts as not reading its answer.
UNREAD_TIMEOUT_S: typing.Final = 30.0

# Sweeps are this far apart.  A later one had to wait for the event loop, and
# clients may have sent what was not read meanwhile.
SWEEP_INTERVAL_S: typing.Final = 0.25
LATE_SWEEP_S: typing.Final = 0.5

# Idle connections are checked less often, because there are more of them.
IDLE_SWEEP_INTERVAL_S: typing.Final = 1.0

# Memory of one connection.  Measured were 5 KB for one that was never used,
# and 10 KB for an idle one.
CONNECTION_BYTES: typing.Final = 16 * 1024

# Share of the descriptors and of the memory for connections that each listener
# for others than callers gets, relative to the listener for callers.
OTHER_LISTENER_SHARE: typing.Final = 1 / 6

# Part of a listener's connections that are closed together at its limit, so
# that many new connections do not each cause a search.
EVICTED_SHARE: typing.Final = 1 / 32

MIN_CONNECTIONS: typing.Final = 8

# Stands for the descriptors of a process without a limit.
MANY_DESCRIPTORS: typing.Final = 1024 * 1024


class CloseReason(enum.StrEnum):
    """Why a connection was closed; metrics and log lines have the values.

    MALFORMED: the head or the framing of a body cannot be parsed.
    HEAD_TOO_LARGE, HEAD_TIMEOUT: a head did not end within its limits.
    FRAMING: a body has far more framing than content.  REQUEST_MEMORY: the
    unfinished requests of all clients exceeded their memory.  UNREAD: the
    client does not read its answers.  UNREAD_MEMORY: the unread answers of all
    clients exceeded their memory.  CONNECTIONS: the listener had too many
    connections.  IDLE: no request for the configured time.
    """

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head_too_large'
    HEAD_TIMEOUT = 'head_timeout'
    FRAMING = 'framing'
    REQUEST_MEMORY = 'request_memory'
    UNREAD = 'unread'
    UNREAD_MEMORY = 'unread_memory'
    CONNECTIONS = 'connections'
    IDLE = 'idle'


class Capacity(typing.NamedTuple):
    """Limits of one process.

    ``request_bytes`` is for unfinished requests, ``unread_bytes`` for answers
    that clients have not read.
    """

    request_bytes: int
    unread_bytes: int
    caller_connections: int
    other_connections: int


UNLIMITED: typing.Final = Capacity(2**62, 2**62, 2**62, 2**62)


def connection_limits(
    descriptors: int, descriptor_share: float, memory_bytes: int
) -> tuple[int, int]:
    """Return the connections of the callers' listener and of each other one.

    ``memory_bytes`` is the memory for the connections of callers.
    """
    limit = min(
        descriptors * descriptor_share, memory_bytes / CONNECTION_BYTES
    )
    return (
        max(MIN_CONNECTIONS, int(limit)),
        max(MIN_CONNECTIONS, int(limit * OTHER_LISTENER_SHARE)),
    )


def descriptor_limit() -> int:
    """Return the number of descriptors that this process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MANY_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


class Connection(abc.ABC):
    """What the sweep needs to know of a connection."""

    __slots__ = ()

    @abc.abstractmethod
    def unfinished_bytes(self) -> int:
        """Return the bytes held for unfinished requests; 0 if none is."""

    @abc.abstractmethod
    def unread_bytes(self) -> int:
        """Return the bytes of answers that the client has not read."""

    @abc.abstractmethod
    def late_part(self, now: float, limits: steering.Limits) -> bool:
        """Return whether a part of a request takes longer than allowed."""

    @abc.abstractmethod
    def postpone(self, delay_s: float) -> None:
        """Do not count a time in which nothing was read."""

    @abc.abstractmethod
    def abort(self, reason: CloseReason) -> None:
        """Close the connection, with what was not sent."""


class Charge:
    """Bytes of one connection, held since a time."""

    __slots__ = ('size_bytes', 'since')

    def __init__(self, size_bytes: int, since: float) -> None:
        self.size_bytes = size_bytes
        self.since = since


class ChargeTable:
    """Bytes that connections hold for one purpose, and their limit.

    The entries are in the order of their times, oldest first.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.charges: dict[Connection, Charge] = {}

    def put(self, connection: Connection, size_bytes: int, now: float) -> None:
        """Set the bytes of a connection; a known one keeps its time."""
        charge = self.charges.get(connection)
        if charge is None:
            self.charges[connection] = Charge(size_bytes, now)
            self.used_bytes += size_bytes
        else:
            self.used_bytes += size_bytes - charge.size_bytes
            charge.size_bytes = size_bytes

    def discard(self, connection: Connection) -> None:
        """Free the bytes of a connection, if it has any."""
        charge = self.charges.pop(connection, None)
        if charge is not None:
            self.used_bytes -= charge.size_bytes

    def pop_excess(self) -> list[Connection]:
        """Remove connections until the rest fits; return them.

        The oldest with at least an average number of bytes goes first: those
        with few bytes are not the cause.
        """
        removed = []
        while self.charges and self.used_bytes > self.capacity_bytes:
            average = self.used_bytes / len(self.charges)
            connection = next(
                (
                    connection
                    for connection, charge in self.charges.items()
                    if charge.size_bytes >= average
                ),
                next(iter(self.charges)),
            )
            self.discard(connection)
            removed.append(connection)
        return removed


class IntakeObserver(abc.ABC):
    """Is told of connections that are closed because of a limit."""

    @abc.abstractmethod
    def connection_closed(
        self, listener: str, address: str, reason: CloseReason
    ) -> None:
        """Note a connection of a client at ``address``."""


class Intake:
    """The limits of one process and what counts towards them.

    ``limits`` returns those of the configuration in force.
    """

    def __init__(
        self,
        capacity: Capacity = UNLIMITED,
        limits: collections.abc.Callable[
            [], steering.Limits
        ] = steering.Limits,
        observer: IntakeObserver | None = None,
    ) -> None:
        self.capacity = capacity
        self.limits = limits
        self.observer = observer
        self.unfinished = ChargeTable(capacity.request_bytes)
        self.unread = ChargeTable(capacity.unread_bytes)
        self.swept_at: float | None = None

    def max_head_bytes(self) -> int:
        """Return the bytes that an unfinished head may have."""
        return HEAD_MARGIN * self.limits().max_head_bytes

    def put_unfinished(self, connection: Connection, now: float) -> None:
        """Count the unfinished requests of a connection."""
        size_bytes = connection.unfinished_bytes()
        if not size_bytes:
            self.unfinished.discard(connection)
            return
        self.unfinished.put(connection, size_bytes, now)
        if self.unfinished.used_bytes > self.unfinished.capacity_bytes:
            for excess in self.unfinished.pop_excess():
                excess.abort(CloseReason.REQUEST_MEMORY)

    def put_unread(self, connection: Connection, now: float) -> None:
        """Count the unread answers of a connection."""
        size_bytes = connection.unread_bytes()
        charge = self.unread.charges.get(connection)
        if charge is not None and size_bytes < charge.size_bytes:
            # The client reads; it becomes the newest entry.
            self.unread.discard(connection)
        if not size_bytes:
            self.unread.discard(connection)
            return
        self.unread.put(connection, size_bytes, now)
        if self.unread.used_bytes > self.unread.capacity_bytes:
            for excess in self.unread.pop_excess():
                excess.abort(CloseReason.UNREAD_MEMORY)

    def forget(self, connection: Connection) -> None:
        """Free what a lost connection held."""
        self.unfinished.discard(connection)
        self.unread.discard(connection)

    def report(self, listener: str, address: str, reason: CloseReason) -> None:
        """Report a connection that is closed because of a limit."""
        if self.observer is not None:
            self.observer.connection_closed(listener, address, reason)

    def sweep(self, now: float) -> None:
        """Close what exceeds its time; does nothing between two sweeps."""
        since_s = SWEEP_INTERVAL_S
        if self.swept_at is not None:
            since_s = now - self.swept_at
            if since_s < SWEEP_INTERVAL_S:
                return
        self.swept_at = now
        limits = self.limits()
        # All connections are late after a pause of the whole process.
        delay_s = since_s if since_s > LATE_SWEEP_S else 0.0
        for connection in list(self.unfinished.charges):
            if delay_s:
                connection.postpone(delay_s)
            self.put_unfinished(connection, now)
            if connection.late_part(now, limits):
                connection.abort(CloseReason.HEAD_TIMEOUT)
        for connection, charge in list(self.unread.charges.items()):
            if delay_s:
                charge.since += delay_s
            since = charge.since
            self.put_unread(connection, now)
            if (
                self.unread.charges.get(connection) is charge
                and now - since > UNREAD_TIMEOUT_S
            ):
                connection.abort(CloseReason.UNREAD)
