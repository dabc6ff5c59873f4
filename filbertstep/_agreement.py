"""The agreement system of a node: assembly of its parts and their schedule."""

import asyncio
import collections.abc
import functools
import random
import typing

import logbook
import result

from filbertstep import _catchup
from filbertstep import _commit
from filbertstep import _epochs
from filbertstep import _evidence
from filbertstep import _heartbeat
from filbertstep import _membership
from filbertstep import _promises
from filbertstep import _tasks
from filbertstep import _ticket_book
from filbertstep import _vm_list
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import logs
from filbertstep import store
from filbertstep import systems
from filbertstep import transport

LOGGER = logbook.Logger('agreement')

# Wait in seconds of a blocking read of the head; gives store evidence about
# once a second.
STORE_WAIT_S: typing.Final = 1.0

# Back-off in seconds after an error of the store, and its random addition.
STORE_BACKOFF_S: typing.Final = 0.5
STORE_JITTER_S: typing.Final = 0.25

# Least time in seconds between two reads, should the store not block.
STORE_MIN_INTERVAL_S: typing.Final = 0.1

# A store that answered within this time in seconds counts as reachable; a
# blocking read answers every ``STORE_WAIT_S``.
STORE_REACHED_S: typing.Final = 2.0

LIST_INTERVAL_S: typing.Final = 1.0

# Pause in seconds after a proposal of an epoch, and its random addition.
PROPOSE_PAUSE_S: typing.Final = 1.0
PROPOSE_JITTER_S: typing.Final = 0.5

LEAVE_TIMEOUT_S: typing.Final = 3.0


class Agreement(systems.System, systems.Freshness, systems.Membership):
    """Freshness, commits and membership of one node."""

    def __init__(
        self,
        identity: _evidence.Identity,
        time_source: clock.Clock,
        store_client: store.Store,
        vm_list: _vm_list.VmList,
        peers: transport.Peers,
        views: config.ViewTable,
        parts: collections.abc.Sequence[systems.HeartbeatPart],
        burden: _heartbeat.Burden,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.clock = time_source
        self.store = store_client
        self.vm_list = vm_list
        self.peers = peers
        self.views = views
        self.rng = rng
        self.evidence = _evidence.Evidence(identity, views)
        self.book = _promises.ProposalTable(
            identity, views, _promises.SectionCache()
        )
        self.learner = _catchup.Learner(
            time_source, store_client, peers, views, self.book, self.evidence
        )
        self.members = _membership.Membership(
            identity, views, time_source.now()
        )
        self.committer = _commit.Committer(
            identity,
            self.learner,
            lambda vm: self.members.reach(vm, time_source.now()),
        )
        self.ticket_book = _ticket_book.TicketTable(
            time_source, self.committer
        )
        self.heartbeats = _heartbeat.Heartbeats(
            time_source,
            self.evidence,
            self.book,
            self.members,
            parts,
            burden,
        )
        self.heartbeats.listeners.append(self.ticket_book.heard)
        self.learner.listeners.append(self.ticket_book.learned)
        self.learner.listeners.append(self.announce)
        self.tasks = _tasks.Tasks()
        self.heartbeat_sent_at: dict[str, float] = {}
        self.propose_after = _evidence.NEVER
        self.was_fresh = False

    @property
    def state(self) -> str:
        """Return joining, serving, draining or leaving."""
        return self.members.state

    @state.setter
    def state(self, state: str) -> None:
        self.members.state = state

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the peers' paths answered here."""
        return {
            _heartbeat.HEARTBEAT_PATH: self.heartbeats.handle_heartbeat,
            _catchup.CONFIG_PATH: self.learner.answer_config,
            _commit.PROMISE_PATH: self.committer.answer_promise,
        }

    def add_heartbeat_part(self, part: systems.HeartbeatPart) -> None:
        """Include another system's part in the heartbeats."""
        self.heartbeats.parts[part.part_name] = part

    def add_view_listener(
        self,
        listener: collections.abc.Callable[[config.View, float], None],
    ) -> None:
        """Call a function with each view that is learned, and the time."""
        self.learner.listeners.append(listener)

    async def start(self) -> None:
        """Start the loops that follow the store and the platform's list."""
        self.tasks.start('store', self.follow_store)
        self.tasks.start('vm_list', self.follow_list)

    async def stop(self) -> None:
        """Stop all tasks."""
        await self.tasks.stop()

    def tick(self, now: float) -> None:
        """Start the calls that are due."""
        self.members.tick(now)
        self.evidence.prune(now)
        self.views.prune(now)
        self.log_freshness(now)
        for vm in self.members.table.addresses:
            since = now - self.heartbeat_sent_at.get(vm, _evidence.NEVER)
            if since >= _heartbeat.HEARTBEAT_INTERVAL_S:
                self.start_beat(vm, now)
        for vm in sorted(self.heartbeats.ahead):
            self.heartbeats.ahead.discard(vm)
            self.tasks.start(
                f'catch up {vm}',
                functools.partial(self.learner.from_peer, vm),
            )
        overdue = self.book.overdue(now)
        if now - self.learner.store_heard_at < STORE_REACHED_S:
            self.start_proposals(now, overdue)

    def start_beat(self, vm: str, now: float) -> None:
        """Send a heartbeat unless one to this VM is outstanding."""
        if self.tasks.start(
            f'heartbeat {vm}', lambda: self.send_heartbeat(vm)
        ):
            self.heartbeat_sent_at[vm] = now

    def start_proposals(
        self, now: float, overdue: list[config.Proposal]
    ) -> None:
        """Fence an unfinished proposal, or propose the next epoch."""
        if overdue:
            proposal = overdue[0]
            self.tasks.start('fence', lambda: self.fence(proposal))
            return
        evidence = self.evidence.store
        absent = evidence is not None and evidence.head_index == 0
        edit = self.members.due(now, absent)
        if edit is not None and now >= self.propose_after:
            self.propose_after = (
                now + PROPOSE_PAUSE_S + self.rng.random() * PROPOSE_JITTER_S
            )
            self.tasks.start('epoch', lambda: self.propose(edit))

    async def fence(self, proposal: config.Proposal) -> None:
        """Fence a proposal after a random delay.

        All VMs see the same proposal grow old at about the same time.
        """
        await asyncio.sleep(self.rng.random() * STORE_BACKOFF_S)
        await self.committer.fence(proposal)

    async def propose(self, edit: _epochs.EpochEdit) -> None:
        """Propose an epoch."""
        outcome = await self.committer.commit(_epochs.epoch_change(edit))
        if isinstance(outcome, result.Err):
            logs.state_change(
                LOGGER, 'epoch_refused', kind=outcome.err_value.kind.value
            )

    async def send_heartbeat(self, vm: str) -> None:
        """Exchange heartbeats with one VM."""
        sent_at = self.clock.now()
        answer = await self.peers.call(
            vm,
            _heartbeat.HEARTBEAT_PATH,
            dict(self.heartbeats.build_request(vm)),
            _heartbeat.HEARTBEAT_TIMEOUT_S,
        )
        if isinstance(answer, result.Err):
            return
        decoded = codec.convert(answer.ok_value, _heartbeat.HeartbeatDoc)
        if isinstance(decoded, result.Ok):
            self.heartbeats.take(decoded.ok_value, sent_at)

    async def follow_store(self) -> None:
        """Read the head again and again, waiting for its change."""
        while True:
            sent_at = self.clock.now()
            answer = await self.store.wait(
                config.HEAD_KEY, self.views.index(), STORE_WAIT_S
            )
            learned: result.Result[int, object]
            if isinstance(answer, result.Ok):
                self.learner.heard_store(answer.ok_value, sent_at)
                learned = await self.learner.from_entry(answer.ok_value)
            else:
                learned = answer
            if isinstance(learned, result.Err):
                jitter = self.rng.random() * STORE_JITTER_S
                await asyncio.sleep(STORE_BACKOFF_S + jitter)
            elif self.clock.now() - sent_at < STORE_MIN_INTERVAL_S:
                await asyncio.sleep(STORE_MIN_INTERVAL_S)

    async def follow_list(self) -> None:
        """Fetch the platform's list again and again."""
        while True:
            fetched = await self.vm_list.fetch()
            if isinstance(fetched, result.Ok):
                self.members.take_list(fetched.ok_value, self.clock.now())
            await asyncio.sleep(LIST_INTERVAL_S)

    async def leave(self) -> None:
        """Tell peers that this process leaves, and the store if it answers."""
        self.state = 'leaving'
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self.send_heartbeat(vm)
                        for vm in self.members.table.addresses
                    )
                )
                process = (self.identity.vm, self.identity.incarnation)
                edit = _epochs.EpochEdit(frozenset({process}), frozenset())
                await self.propose(edit)
        except TimeoutError:
            logs.state_change(LOGGER, 'leave_timeout')

    def announce(self, view: config.View, now: float) -> None:
        """Log a learned view and make heartbeats due, so that peers learn."""
        logs.state_change(
            LOGGER,
            'head_learned',
            index=view.head_index,
            epoch=view.epoch.number,
            ticket=view.head['ticket'],
        )
        self.heartbeat_sent_at.clear()

    def log_freshness(self, now: float) -> None:
        """Log when the evidence lapses and when it is fresh again."""
        fresh = self.is_fresh(now)
        if fresh != self.was_fresh:
            logs.state_change(
                LOGGER, 'fresh' if fresh else 'lapsed', head=self.views.index()
            )
        self.was_fresh = fresh

    def is_fresh(self, now: float) -> bool:
        """Tell whether this node may act."""
        return self.evidence.is_fresh(now)

    def evidence_age_s(self, now: float) -> float:
        """Return the age of the evidence in seconds."""
        return self.evidence.age(now)

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the other VMs that are live, sorted by name."""
        return self.members.live_vms(now)

    def minute(self, now: float) -> int:
        """Return this process's minute counter."""
        return self.heartbeats.minute(now)

    def peer_url(self, vm: str) -> str | None:
        """Return the URL of a VM's peers' listener."""
        return self.members.table.addresses.get(vm)

    async def submit_ticket(
        self, raw: object
    ) -> result.Result[_ticket_book.TicketStatus, errors.Failure]:
        """Commit a ticket."""
        return await self.ticket_book.submit(raw)

    def ticket_status(self, number: int) -> _ticket_book.TicketStatus | None:
        """Return the state of a ticket."""
        return self.ticket_book.status(number, self.clock.now())

    def recent_tickets(self) -> list[_ticket_book.TicketStatus]:
        """Return the known tickets, the newest first."""
        return self.ticket_book.recent(self.clock.now())

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see; ages in seconds, null for none."""
        now = self.clock.now()
        epoch = self.members.epoch()
        newest = self.views.newest
        fresh = self.is_fresh(now)
        return {
            'vm': self.identity.vm,
            'incarnation': self.identity.incarnation,
            'state': self.state,
            'fresh': fresh,
            'evidence_age_s': self.evidence_age_s(now) if fresh else None,
            'store_reached': (
                now - self.learner.store_heard_at < STORE_REACHED_S
            ),
            'head_index': self.views.index(),
            'ticket': 0 if newest is None else newest.head['ticket'],
            'epoch': epoch.number,
            'members': sorted(epoch.members),
            'witnesses': list(epoch.witnesses),
            'member': self.evidence.member(),
            'pending': len(self.views.pending),
            'live': [
                {'vm': row.vm, 'state': row.state}
                for row in self.live_vms(now)
            ],
            'vms': self.vm_status(now),
        }

    def vm_status(self, now: float) -> dict[str, dict[str, typing.Any]]:
        """Return this VM, those heard of and members not heard, by name."""
        heard = self.members.table.rows
        live = {row.vm for row in self.live_vms(now)}
        found: dict[str, dict[str, typing.Any]] = {
            name: {
                'region': member.region,
                'availability_zone': member.availability_zone,
                'state': 'not_heard',
                'head_index': None,
                'heard_s': None,
            }
            for name, member in self.members.epoch().members.items()
        }
        for name, row in heard.items():
            found[name] = {
                'region': row.region,
                'availability_zone': row.availability_zone,
                'state': row.state if name in live else 'not_heard',
                'head_index': row.head_index,
                'heard_s': round(now - row.heard_at, 2),
            }
        found[self.identity.vm] = {
            'region': self.identity.region,
            'availability_zone': self.identity.availability_zone,
            'state': self.state,
            'head_index': self.views.index(),
            'heard_s': 0.0,
        }
        return dict(sorted(found.items()))
