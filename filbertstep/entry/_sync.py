"""Keeps the replica of the store current, by reads or from peers.

One VM of each availability zone, the zone's reader, reads the store; the other
VMs of the zone follow it, so that the load on the store grows with the number
of zones and not of VMs.  A VM whose reader fails reads the store itself.  A VM
that cannot reach the store fetches the content from any peer, which relays it.
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

# Limits of ``SyncTimes``.  Other changes than the configuration, such as those
# of servers that leave, have bounds that the settings do not name.
MAX_WATCH_WAIT_S: typing.Final = 0.4
MAX_FOLLOW_INTERVAL_S: typing.Final = 0.4
MAX_FOLLOWED_AGE_S: typing.Final = 1.5

# ``SyncTimes`` as shares of the bound on applying a configuration.  A replica
# gets two watch waits old; with one more interval, a follower's replica must
# stay younger than ``FOLLOWED_AGE_SHARE`` while nothing fails.  The rest up to
# the bound is left for reading the store after the reader has failed.
WATCH_WAIT_SHARE: typing.Final = 0.2
FOLLOW_INTERVAL_SHARE: typing.Final = 0.2
FOLLOWED_AGE_SHARE: typing.Final = 0.75

# Lets one answer carry several changes when they are frequent.  Well below the
# bound on applying a configuration.
MIN_WATCH_INTERVAL_S: typing.Final = 0.3

# Delays between attempts to read the store after a failure.
INITIAL_RETRY_DELAY_S: typing.Final = 0.2
MAX_RETRY_DELAY_S: typing.Final = 1.5

# From this age of the replica, the VM fetches from peers.
RELAY_AT_AGE_S: typing.Final = 2.4

RELAY_INTERVAL_S: typing.Final = 0.6

# A relaying peer has failed after the first time without a byte, and after the
# second one even while bytes arrive.
RELAY_IDLE_TIMEOUT_S: typing.Final = 0.8
RELAY_TOTAL_TIMEOUT_S: typing.Final = 4.0

# A replica older than this is not relayed, so that chains of relays cannot
# hide an outage.
MAX_RELAYED_AGE_S: typing.Final = 3.0

# How long a VM reads the store itself after the reader of its zone failed.
DIRECT_READ_S: typing.Final = 3.0

# A VM that starts after the store was restored asks this many peers at once
# for what the store lacks.
MAX_CONFIRMING_PEERS: typing.Final = 3

# Names the latest era of the store that is settled: VMs that start later need
# not wait.
ERA_KEY: typing.Final = 'era'

KNOWLEDGE_PATH: typing.Final = '/knowledge'


# An age of a peer's content.  A negative one would make content look newer
# than its fetch.
Age = typing.Annotated[float, msgspec.Meta(ge=0)]


class ChangeDoc(typing.TypedDict):
    """A change as sent between peers; ``value`` is base64, null if deleted."""

    key: str
    era: int
    revision: int
    value: str | None


class KnowledgeDoc(typing.TypedDict):
    """Answer of a relaying peer; ``age_s`` is the age of its replica.

    ``documents_age_s`` is the age of the operator's documents in it, null if
    they were never confirmed.  If ``partial``, the changes are those after the
    requested position, else the full content.
    """

    age_s: Age
    documents_age_s: Age | None
    era: int
    revision: int
    partial: bool
    changes: list[ChangeDoc]


class SyncTimes(typing.NamedTuple):
    """How long a VM waits for changes, in seconds.

    ``watch_wait_s`` is the longest wait of a watch in the store and
    ``follow_interval_s`` the time between two fetches from the zone's reader.
    A follower whose replica is ``max_followed_age_s`` old reads the store.
    """

    watch_wait_s: float
    follow_interval_s: float
    max_followed_age_s: float


def sync_times(config_apply_s: float) -> SyncTimes:
    """Return times that keep the bound on applying a configuration."""
    return SyncTimes(
        min(MAX_WATCH_WAIT_S, WATCH_WAIT_SHARE * config_apply_s),
        min(MAX_FOLLOW_INTERVAL_S, FOLLOW_INTERVAL_SHARE * config_apply_s),
        min(MAX_FOLLOWED_AGE_S, FOLLOWED_AGE_SHARE * config_apply_s),
    )


class StoreSync:
    """Reads the store, or fetches from peers if that is not possible.

    ``config_apply_s`` is the bound on applying a configuration.
    """

    def __init__(
        self,
        store: _contracts.StoreClient,
        replica: _knowledge.StoreReplica,
        members: _membership.MemberTable,
        registration: _membership.Registration,
        seed_addresses: tuple[str, ...],
        session: aiohttp.ClientSession,
        config_apply_s: float,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.store = store
        self.replica = replica
        self.members = members
        self.registration = registration
        self.seed_addresses = seed_addresses
        self.session = session
        self.config_apply_s = config_apply_s
        self.clock = time_source
        self.log = log
        self.connected = False
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        self.history_gone = False
        # Eras that followed the first one that was seen.
        self.restores = 0
        self.relay_peer = ''
        self.followed_peer = ''
        self.follow_after = float('-inf')

    async def run_store(self) -> None:
        """Keep the replica current in an endless loop.

        Follows the zone's reader if there is one, else reads the store.
        """
        while True:
            started = self.clock.now()
            reader = self.zone_reader(started)
            if reader and await self.follow_reader(reader):
                continue
            fault = await self.read_store()
            if fault is None:
                self.set_connected(True)
                self.retry_delay_s = INITIAL_RETRY_DELAY_S
                remaining_s = MIN_WATCH_INTERVAL_S - (
                    self.clock.now() - started
                )
                await asyncio.sleep(max(0.0, remaining_s))
                continue
            if fault is _contracts.StoreFault.HISTORY_GONE:
                self.history_gone = True
            self.set_connected(False, fault)
            await asyncio.sleep(self.retry_delay_s * random.uniform(0.5, 1.0))
            self.retry_delay_s = min(
                MAX_RETRY_DELAY_S, self.retry_delay_s * 2.0
            )

    def zone_reader(self, now: float) -> str:
        """Return the peer address of the VM that reads the store for this one.

        It is the first by name of the zone's registered VMs.  Empty if that is
        this VM itself, if this VM is not registered, or for a while after the
        reader failed.
        """
        own = self.registration.own
        live = self.members.live
        if now < self.follow_after or own.vm not in live:
            return ''
        first = min(
            member.vm
            for member in live.values()
            if member.availability_zone == own.availability_zone
        )
        return '' if first == own.vm else live[first].peers

    async def follow_reader(self, reader: str) -> bool:
        """Fetch from the reader, and wait for the time of the next fetch.

        Returns False as soon as this VM must read the store itself, whether
        the reader answers old content or none.
        """
        times = sync_times(self.config_apply_s)
        started = self.clock.now()
        fresh_at = self.replica.fresh_at
        if fresh_at == float('-inf'):
            # The first content; this VM uses none until then.
            fresh_at = started
        answered = await self.fetch_from_peer(
            reader, within_s=fresh_at + times.max_followed_age_s - started
        )
        left_s = times.max_followed_age_s - self.replica.age(self.clock.now())
        if answered and left_s > 0:
            if self.followed_peer != reader:
                self.log.write(
                    'following', peer=reader, age_s=self.rounded_age()
                )
            self.followed_peer = reader
            await asyncio.sleep(min(times.follow_interval_s, left_s))
            return True
        self.log.write(
            'following_ended',
            peer=reader,
            answered=answered,
            age_s=self.rounded_age(),
        )
        self.followed_peer = ''
        self.follow_after = self.clock.now() + DIRECT_READ_S
        return False

    async def read_store(self) -> _contracts.StoreFault | None:
        """Watch the store for changes, or list it if that is not possible.

        Content that peers relayed is complete and need not be listed.  Returns
        None, or the fault of a failed call.
        """
        sent_at = self.clock.now()
        position = self.replica.position
        if (
            self.history_gone
            or position == _knowledge.START
            or self.store.era > position.era
        ):
            listed = await self.store.list('')
            if isinstance(listed, result.Err):
                return listed.err_value
            self.history_gone = False
            self.replica.replace(listed.ok_value, sent_at, self.clock.now())
            self.log_new_era(position)
            return None
        watched = await self.store.watch(
            '', position, sync_times(self.config_apply_s).watch_wait_s
        )
        if isinstance(watched, result.Err):
            return watched.err_value
        self.replica.apply(watched.ok_value, sent_at, self.clock.now())
        await self.record_settled_era()
        return None

    async def record_settled_era(self) -> None:
        """Write the era once it is settled; the first live VM does so.

        A failed write is repeated after the next read.
        """
        era = self.replica.position.era
        recorded = self.replica.items.get(ERA_KEY)
        value = str(era).encode()
        if (
            (recorded and recorded.value == value)
            or not self.replica.is_settled()
            or min(self.members.live, default='') != self.registration.own.vm
        ):
            return
        await self.store.write({ERA_KEY: value})

    def log_new_era(self, before: _contracts.Position) -> None:
        """Log if the store was restored since the position ``before``."""
        after = self.replica.position
        if after.era == before.era or before == _knowledge.START:
            return
        self.restores += 1
        self.log.write(
            'store_restored',
            era=after.era,
            era_before=before.era,
            revision=after.revision,
            revision_before=before.revision,
            missing=len(self.replica.held_deletions),
            kept=sum(
                item.position.era < after.era
                for item in self.replica.items.values()
            ),
            documents_age_s=rounded(
                self.replica.documents_age(self.clock.now())
            ),
        )

    def set_connected(
        self, connected: bool, fault: _contracts.StoreFault | None = None
    ) -> None:
        """Log when the store becomes unreachable or reachable again."""
        if connected == self.connected:
            return
        self.connected = connected
        self.log.write(
            'store_regained' if connected else 'store_lost',
            fault=None if fault is None else fault.value,
            era=self.replica.position.era,
            revision=self.replica.position.revision,
            age_s=self.rounded_age(),
        )

    def rounded_age(self) -> float | None:
        """Return the replica age for a log line, None before any content."""
        return rounded(self.replica.age(self.clock.now()))

    async def run_relay(self) -> None:
        """Fetch from peers whenever the replica gets old."""
        while True:
            now = self.clock.now()
            if self.replica.age(now) > RELAY_AT_AGE_S:
                await self.fetch_from_any_peer()
            elif self.replica.documents_age(now) == float('inf'):
                await self.confirm_documents()
            elif self.relay_peer and (self.connected or self.followed_peer):
                self.log.write('relay_ended', peer=self.relay_peer)
                self.relay_peer = ''
            await asyncio.sleep(
                RELAY_INTERVAL_S if self.relay_peer else RELAY_INTERVAL_S / 2
            )

    def relay_candidates(self) -> list[str]:
        """Return addresses of peers to fetch from, in order of preference.

        The current relay comes first, then the nearest VMs, then the seeds.
        """
        own = self.registration.own
        members = [
            member
            for member in self.members.live.values()
            if member.vm != own.vm
        ]
        members.sort(
            key=lambda member: (
                member.peers != self.relay_peer,
                member.availability_zone != own.availability_zone,
                member.region != own.region,
                member.vm,
            )
        )
        addresses = [member.peers for member in members]
        addresses += [
            seed_address
            for seed_address in self.seed_addresses
            if seed_address not in addresses
        ]
        return [address for address in addresses if address != own.peers]

    async def fetch_from_any_peer(self) -> None:
        """Fetch from peers in turn until one makes the replica more recent."""
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

    async def confirm_documents(self) -> None:
        """Ask a few peers whether a restored store lacks documents."""
        for address in self.relay_candidates()[:MAX_CONFIRMING_PEERS]:
            await self.fetch_from_peer(address)
            if self.replica.documents_age(self.clock.now()) < float('inf'):
                return

    async def fetch_from_peer(
        self,
        address: str,
        lease: _contracts.Lease | None = None,
        within_s: float = RELAY_TOTAL_TIMEOUT_S,
    ) -> bool:
        """Fetch what a peer knows and apply it if it is more recent.

        Returns whether the peer answered within ``within_s`` seconds.  If
        ``lease`` is given, the peer also renews it on behalf of this VM, which
        cannot reach the store.
        """
        if within_s <= 0:
            return False
        sent_at = self.clock.now()
        position = self.replica.position
        if self.replica.documents_age(sent_at) == float('inf'):
            # Peers may know more than a restored store that was read.
            position = _knowledge.START
        params = {'era': str(position.era), 'after': str(position.revision)}
        if lease is not None:
            params['lease_era'] = str(lease.era)
            params['lease'] = str(lease.lease_id)
        try:
            async with self.session.get(
                f'http://{address}{KNOWLEDGE_PATH}',
                params=params,
                timeout=aiohttp.ClientTimeout(
                    total=min(RELAY_TOTAL_TIMEOUT_S, within_s),
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
                    change['key'],
                    change['revision'],
                    None
                    if change['value'] is None
                    else base64.b64decode(change['value']),
                    change['era'],
                )
                for change in doc['changes']
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.log.write(
                'relay_failed', peer=address, error=type(error).__name__
            )
            return False
        except (ValueError, RecursionError) as error:
            self.log.write(
                'relay_unreadable', peer=address, error=type(error).__name__
            )
            return False
        before = self.replica.position
        documents_age_s = doc['documents_age_s']
        self.replica.receive(
            _contracts.ChangeBatch(changes, doc['revision'], doc['era']),
            doc['partial'],
            sent_at - doc['age_s'],
            float('-inf')
            if documents_age_s is None
            else sent_at - documents_age_s,
            self.clock.now(),
        )
        self.log_new_era(before)
        return True

    def relay_answer(self, after: _contracts.Position) -> KnowledgeDoc | None:
        """Return the content for a peer, None if the replica is too old."""
        now = self.clock.now()
        age = self.replica.age(now)
        if age > MAX_RELAYED_AGE_S:
            return None
        documents_age_s = self.replica.documents_age(now)
        changes, partial = self.replica.changes_since(after)
        return {
            'age_s': age,
            'documents_age_s': None
            if documents_age_s == float('inf')
            else documents_age_s,
            'era': self.replica.position.era,
            'revision': self.replica.position.revision,
            'partial': partial,
            'changes': [
                {
                    'key': change.key,
                    'era': change.era,
                    'revision': change.revision,
                    'value': None
                    if change.value is None
                    else base64.b64encode(change.value).decode(),
                }
                for change in changes
            ],
        }


def rounded(age: float) -> float | None:
    """Return an age in seconds for a log line, None if it is infinite."""
    return None if age == float('inf') else round(age, 3)
