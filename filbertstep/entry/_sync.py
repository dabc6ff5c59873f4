"""Keeps the knowledge of the store fresh, by own reads or by peers' relays.

One VM of each availability zone reads the store and the others of the zone ask
it, so that the store's calls grow with zones and not with VMs.  A VM whose
reader fails reads the store itself, and one that the store does not answer
asks any peer.
"""

import asyncio
import base64
import random
import typing

import aiohttp
import msgspec
import result

from filbertstep import clock
from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _membership

# Longest wait in seconds of one watch.  Each answer, empty or not, confirms
# that the knowledge was newest when the watch was sent, so that it is up to
# two waits old.  That must stay below the bound on applying a change.
MAX_WATCH_WAIT_S: typing.Final = 0.9

# Least time in seconds between two watches, so that frequent changes come
# several to an answer.  Well below the bound on applying a change.
MIN_WATCH_INTERVAL_S: typing.Final = 0.3

# First and longest time in seconds between attempts after a failure.
INITIAL_RETRY_DELAY_S: typing.Final = 0.2
MAX_RETRY_DELAY_S: typing.Final = 1.5

# Age in seconds of the knowledge from which a VM asks peers to relay.
RELAY_AT_AGE_S: typing.Final = 2.4

# Time in seconds between questions to a relay, the time without a byte after
# which one has failed, and its limit as long as bytes arrive.
RELAY_INTERVAL_S: typing.Final = 0.6
RELAY_IDLE_TIMEOUT_S: typing.Final = 0.8
RELAY_TOTAL_TIMEOUT_S: typing.Final = 4.0

# Knowledge older than this in seconds is not relayed.
MAX_RELAYED_AGE_S: typing.Final = 3.0

# Time in seconds between questions of a VM to the reader of its availability
# zone, the age up to which that reader's knowledge will do, and the time for
# which a VM reads the store itself after a reader that failed.
FOLLOW_INTERVAL_S: typing.Final = 0.4
MAX_FOLLOWED_AGE_S: typing.Final = 2.0
DIRECT_READ_S: typing.Final = 3.0

KNOWLEDGE_PATH: typing.Final = '/knowledge'


class ChangeDoc(typing.TypedDict):
    """A change on the way between peers; ``value`` is base64 or null."""

    key: str
    revision: int
    value: str | None


class KnowledgeDoc(typing.TypedDict):
    """Answer of a relay; ``age_s`` is the age of what it knows."""

    age_s: float
    revision: int
    partial: bool
    changes: list[ChangeDoc]


class StoreSync:
    """Reads the store, or asks peers while the store does not answer."""

    def __init__(
        self,
        store: _contracts.StoreClient,
        replica: _knowledge.StoreReplica,
        members: _membership.MemberTable,
        registration: _membership.Registration,
        seed_addresses: tuple[str, ...],
        session: aiohttp.ClientSession,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.store = store
        self.replica = replica
        self.members = members
        self.registration = registration
        self.seed_addresses = seed_addresses
        self.session = session
        self.clock = time_source
        self.log = log
        self.connected = False
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        self.listed = False
        self.relay_peer = ''
        self.followed_peer = ''
        self.follow_after = float('-inf')

    async def run_store(self) -> None:
        """Read the whole content once, then its changes, for ever."""
        while True:
            started = self.clock.now()
            reader = self.zone_reader(started)
            if reader and await self.follow_reader(reader):
                await asyncio.sleep(FOLLOW_INTERVAL_S)
                continue
            fault = await self.read_store()
            if fault is None:
                self.set_connected(True)
                self.retry_delay_s = INITIAL_RETRY_DELAY_S
                left = MIN_WATCH_INTERVAL_S - (self.clock.now() - started)
                await asyncio.sleep(max(0.0, left))
                continue
            if fault is _contracts.StoreFault.HISTORY_GONE:
                self.listed = False
            self.set_connected(False, fault)
            await asyncio.sleep(self.retry_delay_s * random.uniform(0.5, 1.0))
            self.retry_delay_s = min(
                MAX_RETRY_DELAY_S, self.retry_delay_s * 2.0
            )

    def zone_reader(self, now: float) -> str:
        """Return the address of the VM that reads for this one, or nothing.

        It is the first by name of the zone's VMs that are registered, and
        nothing on that VM itself.
        """
        own = self.registration.own
        live = self.members.live
        if now < self.follow_after or own.vm not in live:
            return ''
        first = min(
            row.vm
            for row in live.values()
            if row.availability_zone == own.availability_zone
        )
        return '' if first == own.vm else live[first].peers

    async def follow_reader(self, reader: str) -> bool:
        """Take the reader's knowledge; return whether it is fresh enough."""
        answered = await self.fetch_from_peer(reader)
        now = self.clock.now()
        if answered and self.replica.age(now) < MAX_FOLLOWED_AGE_S:
            if self.followed_peer != reader:
                self.log.write(
                    'following', peer=reader, age_s=self.rounded_age()
                )
            self.followed_peer = reader
            return True
        self.log.write(
            'following_ended',
            peer=reader,
            answered=answered,
            age_s=self.rounded_age(),
        )
        self.followed_peer = ''
        self.follow_after = now + DIRECT_READ_S
        return False

    async def read_store(self) -> _contracts.StoreFault | None:
        """Do one read; return its fault."""
        sent_at = self.clock.now()
        if not self.listed:
            listed = await self.store.list('')
            if isinstance(listed, result.Err):
                return listed.err_value
            self.listed = True
            self.replica.replace(listed.ok_value, sent_at, self.clock.now())
            return None
        watched = await self.store.watch(
            '', self.replica.revision, MAX_WATCH_WAIT_S
        )
        if isinstance(watched, result.Err):
            return watched.err_value
        self.replica.apply(watched.ok_value, sent_at, self.clock.now())
        return None

    def set_connected(
        self, connected: bool, fault: _contracts.StoreFault | None = None
    ) -> None:
        """Log that the store was lost or regained."""
        if connected == self.connected:
            return
        self.connected = connected
        self.log.write(
            'store_regained' if connected else 'store_lost',
            fault=None if fault is None else fault.value,
            revision=self.replica.revision,
            age_s=self.rounded_age(),
        )

    def rounded_age(self) -> float | None:
        """Return the age of the knowledge for a log line."""
        age = self.replica.age(self.clock.now())
        return None if age == float('inf') else round(age, 3)

    async def run_relay(self) -> None:
        """Ask peers whenever the knowledge grows old."""
        while True:
            now = self.clock.now()
            if self.replica.age(now) > RELAY_AT_AGE_S:
                await self.fetch_from_any_peer()
            elif self.relay_peer and (self.connected or self.followed_peer):
                self.log.write('relay_ended', peer=self.relay_peer)
                self.relay_peer = ''
            await asyncio.sleep(
                RELAY_INTERVAL_S if self.relay_peer else RELAY_INTERVAL_S / 2
            )

    def relay_candidates(self) -> list[str]:
        """Return peers to ask, the nearest first."""
        own = self.registration.own
        rows = [row for row in self.members.live.values() if row.vm != own.vm]
        rows.sort(
            key=lambda row: (
                row.peers != self.relay_peer,
                row.availability_zone != own.availability_zone,
                row.region != own.region,
                row.vm,
            )
        )
        addresses = [row.peers for row in rows]
        addresses += [
            seed_address
            for seed_address in self.seed_addresses
            if seed_address not in addresses
        ]
        return [address for address in addresses if address != own.peers]

    async def fetch_from_any_peer(self) -> None:
        """Take the knowledge of the first peer that has any fresh."""
        for address in self.relay_candidates():
            before = self.replica.fresh_at
            lease = self.registration.lease
            if await self.fetch_from_peer(address, lease) and (
                self.replica.fresh_at > before
            ):
                if self.relay_peer != address:
                    self.log.write(
                        'relay_started', peer=address, age_s=self.rounded_age()
                    )
                self.relay_peer = address
                return
        self.relay_peer = ''

    async def fetch_from_peer(self, address: str, lease: int = 0) -> bool:
        """Take what a peer knows if it is fresher; return if it answered.

        The peer renews the lease for this VM, which cannot reach the store.
        """
        sent_at = self.clock.now()
        after = self.replica.revision
        params = {
            'after': str(after),
            'lease': str(lease),
        }
        try:
            async with self.session.get(
                f'http://{address}{KNOWLEDGE_PATH}',
                params=params,
                timeout=aiohttp.ClientTimeout(
                    total=RELAY_TOTAL_TIMEOUT_S,
                    connect=RELAY_IDLE_TIMEOUT_S,
                    sock_read=RELAY_IDLE_TIMEOUT_S,
                ),
            ) as response:
                if response.status != 200:
                    return False
                body = await response.read()
            doc = msgspec.json.decode(body, type=KnowledgeDoc)
            changes = tuple(
                _contracts.Change(
                    row['key'],
                    row['revision'],
                    None
                    if row['value'] is None
                    else base64.b64decode(row['value']),
                )
                for row in doc['changes']
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.write(
                'relay_failed', peer=address, error=type(error).__name__
            )
            return False
        except (msgspec.DecodeError, ValueError) as error:
            self.log.write(
                'relay_unreadable', peer=address, error=type(error).__name__
            )
            return False
        fresh_at = sent_at - doc['age_s']
        if fresh_at <= self.replica.fresh_at:
            return True
        listing = _contracts.ChangeBatch(changes, doc['revision'])
        now = self.clock.now()
        if doc['partial']:
            self.replica.apply(listing, fresh_at, now)
        else:
            self.replica.replace(listing, fresh_at, now)
        return True

    def relay_answer(self, after: int) -> KnowledgeDoc | None:
        """Return this VM's knowledge for a peer, None when it is too old."""
        age = self.replica.age(self.clock.now())
        if age > MAX_RELAYED_AGE_S:
            return None
        changes, partial = self.replica.changes_since(after)
        return {
            'age_s': age,
            'revision': self.replica.revision,
            'partial': partial,
            'changes': [
                {
                    'key': change.key,
                    'revision': change.revision,
                    'value': None
                    if change.value is None
                    else base64.b64encode(change.value).decode(),
                }
                for change in changes
            ],
        }
