"""The asking side of transfers: whom to ask, retries and credits.

Asks peers in the order of their expected surplus, at most three at once for
one resource and one call per peer and resource.  A peer that gave nothing is
asked again after a delay that doubles, because when all VMs are short the
calls would only add load.
"""

import asyncio
import collections.abc
import random
import typing

import result

from filbertstep import _buckets
from filbertstep import _ownership
from filbertstep import _transfers
from filbertstep import codec
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

# Peers asked at once for one resource.
ASK_AT_ONCE: typing.Final = 3

# Time limit in seconds of one call; several round trips between regions.
ASK_TIMEOUT_S: typing.Final = 0.2

# Delays in seconds before a peer that gave nothing is asked again.
FIRST_DELAY_S: typing.Final = 0.1
LONGEST_DELAY_S: typing.Final = 1.6

# Resources in a heartbeat.  A heartbeat must stay small, and only those with
# the most demand matter for the choice of whom to ask.
HEARTBEAT_ROWS: typing.Final = 128


class PeerRow(typing.NamedTuple):
    """What a peer's heartbeat said about a resource."""

    units: int
    demand: float


class Row(typing.TypedDict):
    """A resource in a heartbeat: units and demand a second."""

    units: _transfers.Units
    demand: _transfers.NonNegative


class HeartbeatDoc(typing.TypedDict):
    """Share part of a heartbeat; other resources have the equal split."""

    resources: dict[str, Row]


class Ask(typing.NamedTuple):
    """A request that has not been answered yet."""

    incarnation: str
    message: _transfers.AskDoc


class Line:
    """State of asking one peer for one resource."""

    def __init__(self) -> None:
        self.ask: Ask | None = None
        self.calling = False
        self.not_before = float('-inf')
        self.delay_s = FIRST_DELAY_S


class Asker:
    """Asks peers for units and credits what they answer."""

    def __init__(
        self,
        table: _buckets.ShareTable,
        membership: systems.Membership,
        peers: transport.Peers,
        rng: random.Random,
        clock_now: collections.abc.Callable[[], float],
        credited: collections.abc.Callable[[_buckets.Bucket, float], None],
    ) -> None:
        self.table = table
        self.membership = membership
        self.peers = peers
        self.rng = rng
        self.clock_now = clock_now
        self.credited = credited
        self.stopped = False
        self.last_id = 0
        self.lines: dict[tuple[str, str], Line] = {}
        self.heard: dict[str, tuple[str, dict[str, PeerRow]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def receive(
        self, vm: str, incarnation: str, payload: dict[str, typing.Any]
    ) -> None:
        """Take over what a peer's heartbeat says."""
        checked = codec.convert(payload, HeartbeatDoc)
        if isinstance(checked, result.Err):
            return
        rows = checked.ok_value['resources']
        self.heard[vm] = (
            incarnation,
            {
                name: PeerRow(row['units'], row['demand'])
                for name, row in rows.items()
            },
        )

    def peer_row(
        self, peer: systems.LiveVm, bucket: _buckets.Bucket
    ) -> PeerRow:
        """Return a peer's units and demand, as far as they are known."""
        incarnation, rows = self.heard.get(peer.vm, ('', {}))
        if incarnation == peer.incarnation and bucket.resource in rows:
            return rows[bucket.resource]
        splits = [
            self.table.split(
                identifier, bucket.resource, peer.vm, peer.incarnation
            )
            for identifier in self.table.epochs
        ]
        return PeerRow(min(splits, default=0), 0.0)

    def surplus(self, peer: systems.LiveVm, bucket: _buckets.Bucket) -> float:
        """Return units of a peer that its demand does not need."""
        row = self.peer_row(peer, bucket)
        if not row.units or not bucket.limits.rate:
            return 0.0
        needed = (
            row.demand / bucket.limits.rate * _ownership.UNITS_PER_RESOURCE
        )
        if bucket.waiters:
            # A holder with demand too may give some of its tokens.
            needed = min(needed, row.units - 1)
        return row.units - needed

    def candidates(
        self,
        live: list[systems.LiveVm],
        bucket: _buckets.Bucket,
        now: float,
    ) -> list[systems.LiveVm]:
        """Return peers to ask now, the largest surplus first."""
        found = []
        for peer in live:
            line = self.line(peer.vm, bucket.resource)
            surplus = self.surplus(peer, bucket)
            ready = line.ask is None and now >= line.not_before
            if ready and surplus > 0 and peer.state != 'leaving':
                found.append((-surplus, self.rng.random(), peer))
        return [peer for _, _, peer in sorted(found)]

    def line(self, vm: str, resource: str) -> Line:
        """Return the state of asking a peer for a resource."""
        return self.lines.setdefault((vm, resource), Line())

    def ask(self, bucket: _buckets.Bucket, now: float) -> None:
        """Ask peers for units of a resource."""
        if self.stopped or not self.table.epochs:
            return
        live = self.membership.live_vms(now)
        # A dead peer's request stays unanswered and must not count here.
        busy = sum(
            self.line(peer.vm, bucket.resource).ask is not None
            for peer in live
        )
        free = max(0, ASK_AT_ONCE - busy)
        for peer in self.candidates(live, bucket, now)[:free]:
            self.start(peer, bucket, now)

    def start(
        self, peer: systems.LiveVm, bucket: _buckets.Bucket, now: float
    ) -> None:
        """Begin one request for units."""
        self.last_id += 1
        message: _transfers.AskDoc = {
            'vm': self.table.vm,
            'incarnation': self.table.incarnation,
            'resource': bucket.resource,
            'transfer_id': self.last_id,
            'epoch': sorted(bucket.splits),
            'demand': bucket.demand.rate(now),
            'want': bucket.missing() if bucket.waiters else 0.0,
            'units': bucket.units,
            'short': _transfers.units_short(bucket),
            'waited_s': bucket.waited_s(now),
        }
        line = self.line(peer.vm, bucket.resource)
        line.ask = Ask(peer.incarnation, message)
        self.call_soon(peer.vm, line, line.ask)

    def call_soon(self, vm: str, line: Line, ask: Ask) -> None:
        """Start one call."""
        line.calling = True
        task = asyncio.get_running_loop().create_task(self.call(vm, line, ask))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, vm: str, line: Line, ask: Ask) -> None:
        """Send a request and apply its answer."""
        try:
            answer = await self.peers.call(
                vm,
                _transfers.ASK_PATH,
                _transfers.as_message(ask.message),
                ASK_TIMEOUT_S,
            )
        finally:
            line.calling = False
        if line.ask is ask:
            self.apply(vm, line, ask, answer)

    def apply(
        self,
        vm: str,
        line: Line,
        ask: Ask,
        answer: result.Result[transport.Message, errors.Failure],
    ) -> None:
        """Credit an answer once, or keep the request for a retry."""
        now = self.clock_now()
        if isinstance(answer, result.Err):
            line.not_before = now + FIRST_DELAY_S
            if answer.err_value.kind is errors.ErrorKind.BAD_REQUEST:
                line.ask = None
            return
        line.ask = None
        checked = codec.convert(answer.ok_value, _transfers.GrantDoc)
        bucket = self.table.get(ask.message['resource'], now)
        if isinstance(checked, result.Err) or bucket is None:
            return
        grant = checked.ok_value
        self.delay(line, ask, grant['units'], now)
        if grant['units']:
            bucket.credit(
                grant['units'], grant['tokens'], ask.message['epoch']
            )
            self.note_given(vm, bucket.resource, grant['units'])
        self.credited(bucket, now)

    def delay(self, line: Line, ask: Ask, units: int, now: float) -> None:
        """Set when a peer may be asked again.

        Where all VMs are short, requests wait all the time, and answers
        without a delay between them would be asked for all the time too.  A
        peer that keeps a small bucket's units for an older request has them
        free again soon, so that its delay does not grow.
        """
        gave = units >= _transfers.LEAST_TRANSFER
        if gave:
            line.delay_s = FIRST_DELAY_S
        if gave and ask.message['short']:
            return
        line.not_before = now + line.delay_s
        if not gave and not ask.message['short']:
            line.delay_s = min(LONGEST_DELAY_S, 2 * line.delay_s)

    def note_given(self, vm: str, resource: str, units: int) -> None:
        """Lower a peer's units as last heard by what it gave."""
        rows = self.heard.get(vm, ('', {}))[1]
        row = rows.get(resource)
        if row is not None:
            rows[resource] = row._replace(units=max(0, row.units - units))

    def retry(self, now: float) -> None:
        """Repeat unanswered requests; drop those of former epochs."""
        live = {peer.vm: peer for peer in self.membership.live_vms(now)}
        for (vm, _), line in list(self.lines.items()):
            ask = line.ask
            if ask is None or line.calling:
                continue
            peer = live.get(vm)
            restarted = (
                peer is not None and peer.incarnation != ask.incarnation
            )
            in_force = self.table.epochs.keys() & set(ask.message['epoch'])
            if restarted or not in_force:
                line.ask = None
            elif peer is not None and now >= line.not_before:
                self.call_soon(vm, line, ask)
        self.forget(live)

    def forget(self, live: dict[str, systems.LiveVm]) -> None:
        """Drop the state of peers that are gone."""
        self.heard = {vm: row for vm, row in self.heard.items() if vm in live}
        self.lines = {
            key: line
            for key, line in self.lines.items()
            if key[0] in live or line.ask is not None
        }
