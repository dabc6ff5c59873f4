"""The agreement system of a node: builds its components and schedules them.

The agreement system makes the VMs agree on one sequence of configurations and
epochs (sets of members).  Its state is one record in the store, the head.
"""

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

# A blocking read of the head returns after this time even when the head did
# not change, so that store evidence is renewed about once a second.
HEAD_READ_WAIT_S: typing.Final = 1.0

# Delay before the next read after a store error, plus up to the jitter.
STORE_BACKOFF_S: typing.Final = 0.5
STORE_JITTER_S: typing.Final = 0.25

# Limits the rate of reads when the store answers blocking reads at once.
MIN_HEAD_READ_INTERVAL_S: typing.Final = 0.1

# The store counts as reachable for this time after an answer.  A blocking read
# is answered every ``HEAD_READ_WAIT_S`` at the latest.
STORE_REACHABLE_S: typing.Final = 2.0

VM_LIST_INTERVAL_S: typing.Final = 1.0

# Time between two epoch proposals of this node, plus up to the jitter.
EPOCH_PROPOSAL_INTERVAL_S: typing.Final = 1.0
EPOCH_PROPOSAL_JITTER_S: typing.Final = 0.5

LEAVE_TIMEOUT_S: typing.Final = 3.0


class Agreement(systems.System, systems.Freshness, systems.Membership):
    """Freshness, commits and membership of one node.

    ``load`` returns the fraction of this VM's slots that is in use.
    """

    def __init__(
        self,
        identity: _evidence.Identity,
        time_source: clock.Clock,
        store_client: store.Store,
        vm_list: _vm_list.VmList,
        peers: transport.Peers,
        views: config.ViewTable,
        parts: collections.abc.Sequence[systems.HeartbeatPart],
        load: _heartbeat.LoadFunction,
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
        self.proposals = _promises.ProposalTable(
            identity, views, _promises.SectionCache()
        )
        self.learner = _catchup.Learner(
            time_source,
            store_client,
            peers,
            views,
            self.proposals,
            self.evidence,
        )
        self.membership = _membership.Membership(
            identity, views, time_source.now()
        )
        self.committer = _commit.Committer(
            identity,
            self.learner,
            lambda vm: self.membership.reachability(vm, time_source.now()),
        )
        self.ticket_table = _ticket_book.TicketTable(
            time_source, self.committer
        )
        self.heartbeats = _heartbeat.Heartbeats(
            time_source,
            self.evidence,
            self.proposals,
            self.membership,
            parts,
            load,
        )
        self.heartbeats.head_index_listeners.append(
            self.ticket_table.record_head_index
        )
        self.learner.view_listeners.append(self.ticket_table.on_view_learned)
        self.learner.view_listeners.append(self.on_view_learned)
        self.tasks = _tasks.NamedTasks()
        self.heartbeat_sent_at: dict[str, float] = {}
        self.next_epoch_proposal_at = _evidence.NEVER
        self.was_fresh = False

    @property
    def state(self) -> str:
        """This VM's state: joining, serving, draining or leaving."""
        return self.membership.state

    @state.setter
    def state(self, state: str) -> None:
        self.membership.state = state

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handlers of calls from peers, by path."""
        return {
            _heartbeat.HEARTBEAT_PATH: self.heartbeats.handle_heartbeat,
            _catchup.CONFIG_PATH: self.learner.handle_config_request,
            _commit.PROMISE_PATH: self.committer.handle_promise_request,
        }

    def add_heartbeat_part(self, part: systems.HeartbeatPart) -> None:
        """Send the data of another system with each heartbeat."""
        self.heartbeats.parts[part.part_name] = part

    def add_view_listener(
        self,
        listener: collections.abc.Callable[[config.View, float], None],
    ) -> None:
        """Call a function with each newly learned view and the time."""
        self.learner.view_listeners.append(listener)

    async def start(self) -> None:
        """Start to watch the head and to poll the platform's VM list."""
        self.tasks.start('store', self.watch_head)
        self.tasks.start('vm_list', self.poll_vm_list)

    async def stop(self) -> None:
        """Cancel all background tasks and wait for them."""
        await self.tasks.stop()

    def tick(self, now: float) -> None:
        """Update the local tables and start the calls that are due."""
        self.membership.tick(now)
        self.evidence.prune(now)
        self.views.prune(now)
        self.log_freshness_change(now)
        for vm in self.membership.peer_table.peer_urls:
            elapsed_s = now - self.heartbeat_sent_at.get(vm, _evidence.NEVER)
            if elapsed_s >= _heartbeat.HEARTBEAT_INTERVAL_S:
                self.start_heartbeat(vm, now)
        for vm in sorted(self.heartbeats.vms_ahead):
            self.heartbeats.vms_ahead.discard(vm)
            self.tasks.start(
                f'catch up {vm}',
                functools.partial(self.learner.learn_from_peer, vm),
            )
        overdue = self.proposals.overdue(now)
        if now - self.learner.store_answered_at < STORE_REACHABLE_S:
            self.start_due_proposal(now, overdue)

    def start_heartbeat(self, vm: str, now: float) -> None:
        """Start a heartbeat to a VM unless one is still in progress."""
        if self.tasks.start(
            f'heartbeat {vm}', lambda: self.send_heartbeat(vm)
        ):
            self.heartbeat_sent_at[vm] = now

    def start_due_proposal(
        self, now: float, overdue: list[config.Proposal]
    ) -> None:
        """Fence an overdue proposal, or else propose an epoch if due."""
        if overdue:
            proposal = overdue[0]
            self.tasks.start('fence', lambda: self.fence_proposal(proposal))
            return
        evidence = self.evidence.latest_store_read
        head_absent = evidence is not None and evidence.head_index == 0
        edit = self.membership.due_edit(now, head_absent)
        if edit is not None and now >= self.next_epoch_proposal_at:
            self.next_epoch_proposal_at = (
                now
                + EPOCH_PROPOSAL_INTERVAL_S
                + self.rng.random() * EPOCH_PROPOSAL_JITTER_S
            )
            self.tasks.start('epoch', lambda: self.propose_epoch(edit))

    async def fence_proposal(self, proposal: config.Proposal) -> None:
        """Fence a proposal after a random delay.

        The delay spreads the attempts, because the proposal becomes overdue
        on all VMs at about the same time.
        """
        await asyncio.sleep(self.rng.random() * STORE_BACKOFF_S)
        await self.committer.fence(proposal)

    async def propose_epoch(self, edit: _epochs.EpochEdit) -> None:
        """Commit a change of the epoch; log a failure."""
        outcome = await self.committer.commit(_epochs.epoch_change(edit))
        if isinstance(outcome, result.Err):
            logs.state_change(
                LOGGER, 'epoch_refused', kind=outcome.err_value.kind.value
            )

    async def send_heartbeat(self, vm: str) -> None:
        """Send a heartbeat to one VM and process its answer."""
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
            self.heartbeats.process(decoded.ok_value, sent_at)

    async def watch_head(self) -> None:
        """Learn each new head by repeated blocking reads; never return."""
        while True:
            sent_at = self.clock.now()
            answer = await self.store.wait_for_change(
                config.HEAD_KEY, self.views.head_index(), HEAD_READ_WAIT_S
            )
            outcome: result.Result[int, object]
            if isinstance(answer, result.Ok):
                self.learner.record_store_answer(answer.ok_value, sent_at)
                outcome = await self.learner.learn_from_entry(answer.ok_value)
            else:
                outcome = answer
            if isinstance(outcome, result.Err):
                jitter = self.rng.random() * STORE_JITTER_S
                await asyncio.sleep(STORE_BACKOFF_S + jitter)
            elif self.clock.now() - sent_at < MIN_HEAD_READ_INTERVAL_S:
                await asyncio.sleep(MIN_HEAD_READ_INTERVAL_S)

    async def poll_vm_list(self) -> None:
        """Fetch the platform's VM list periodically; never return."""
        while True:
            fetched = await self.vm_list.fetch()
            if isinstance(fetched, result.Ok):
                self.membership.update_from_list(
                    fetched.ok_value, self.clock.now()
                )
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    async def leave(self) -> None:
        """Announce to peers that this process leaves; remove it as member.

        Gives up after ``LEAVE_TIMEOUT_S``, for example when the store is down.
        """
        self.state = 'leaving'
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self.send_heartbeat(vm)
                        for vm in self.membership.peer_table.peer_urls
                    )
                )
                process = (self.identity.vm, self.identity.incarnation)
                edit = _epochs.EpochEdit(frozenset({process}), frozenset())
                await self.propose_epoch(edit)
        except TimeoutError:
            logs.state_change(LOGGER, 'leave_timeout')

    def on_view_learned(self, view: config.View, now: float) -> None:
        """Log a new view and make all heartbeats due, to tell the peers."""
        logs.state_change(
            LOGGER,
            'head_learned',
            index=view.head_index,
            epoch=view.epoch.number,
            ticket=view.head['ticket'],
        )
        self.heartbeat_sent_at.clear()

    def log_freshness_change(self, now: float) -> None:
        """Log when the evidence expires and when it is fresh again."""
        fresh = self.is_fresh(now)
        if fresh != self.was_fresh:
            logs.state_change(
                LOGGER,
                'fresh' if fresh else 'lapsed',
                head=self.views.head_index(),
            )
        self.was_fresh = fresh

    def is_fresh(self, now: float) -> bool:
        """Return whether this node may act on its newest view."""
        return self.evidence.is_fresh(now)

    def evidence_age_s(self, now: float) -> float:
        """Return the age of the evidence in seconds, infinite for none."""
        return self.evidence.age_s(now)

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the other live VMs, sorted by name."""
        return self.membership.live_vms(now)

    def minute(self, now: float) -> int:
        """Return this process's minute counter."""
        return self.heartbeats.minute(now)

    def peer_url(self, vm: str) -> str | None:
        """Return the URL at which a VM takes calls of peers, if known."""
        return self.membership.peer_table.peer_urls.get(vm)

    async def submit_ticket(
        self, raw: object
    ) -> result.Result[_ticket_book.TicketStatus, errors.Failure]:
        """Commit a ticket; see ``TicketTable.submit``."""
        return await self.ticket_table.submit(raw)

    def ticket_status(self, number: int) -> _ticket_book.TicketStatus | None:
        """Return the status of a ticket, None when it is unknown here."""
        return self.ticket_table.status(number, self.clock.now())

    def recent_tickets(self) -> list[_ticket_book.TicketStatus]:
        """Return the status of each known ticket, newest first."""
        return self.ticket_table.recent(self.clock.now())

    def status(self) -> dict[str, typing.Any]:
        """Return the status document for operators.

        ``evidence_age_s`` is None when the evidence is not fresh.
        """
        now = self.clock.now()
        epoch = self.membership.epoch()
        newest = self.views.newest
        fresh = self.is_fresh(now)
        return {
            'vm': self.identity.vm,
            'incarnation': self.identity.incarnation,
            'state': self.state,
            'fresh': fresh,
            'evidence_age_s': self.evidence_age_s(now) if fresh else None,
            'store_reached': (
                now - self.learner.store_answered_at < STORE_REACHABLE_S
            ),
            'head_index': self.views.head_index(),
            'ticket': 0 if newest is None else newest.head['ticket'],
            'epoch': epoch.number,
            'members': sorted(epoch.members),
            'witnesses': list(epoch.witnesses),
            'member': self.evidence.is_member(),
            'pending': len(self.views.pending),
            'live': [
                {'vm': row.vm, 'state': row.state}
                for row in self.live_vms(now)
            ],
            'vms': self.vm_statuses(now),
        }

    def vm_statuses(self, now: float) -> dict[str, dict[str, typing.Any]]:
        """Return the status of every known VM by name.

        These are this VM, the VMs that sent a heartbeat, and members of the
        epoch that did not.  ``heard_s`` is the time since the last heartbeat.
        """
        peers = self.membership.peer_table.peers
        live = {row.vm for row in self.live_vms(now)}
        statuses: dict[str, dict[str, typing.Any]] = {
            name: {
                'region': member.region,
                'availability_zone': member.availability_zone,
                'state': 'not_heard',
                'head_index': None,
                'heard_s': None,
            }
            for name, member in self.membership.epoch().members.items()
        }
        for name, row in peers.items():
            statuses[name] = {
                'region': row.region,
                'availability_zone': row.availability_zone,
                'state': row.state if name in live else 'not_heard',
                'head_index': row.head_index,
                'heard_s': round(now - row.heard_at, 2),
            }
        statuses[self.identity.vm] = {
            'region': self.identity.region,
            'availability_zone': self.identity.availability_zone,
            'state': self.state,
            'head_index': self.views.head_index(),
            'heard_s': 0.0,
        }
        return dict(sorted(statuses.items()))
