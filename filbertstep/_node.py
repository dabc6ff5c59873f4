"""The daemon of an entry VM: builds the systems and runs them.

Every VM takes every duty.  The node owns no table; it builds the systems,
ticks them in a fixed order, and walks through the states joining, serving,
draining and leaving.
"""

import asyncio
import contextlib
import gc
import random
import secrets
import signal
import typing

import aiohttp
from aiohttp import web
import logbook
import result
import uvloop

from filbertstep import _admission
from filbertstep import _callers
from filbertstep import _command_line
from filbertstep import _exchange
from filbertstep import _http_peers
from filbertstep import _operators
from filbertstep import _peer_server
from filbertstep import _recorder
from filbertstep import _status
from filbertstep import _tls
from filbertstep import _tries
from filbertstep import _web
from filbertstep import agreement
from filbertstep import burn
from filbertstep import checking
from filbertstep import clock
from filbertstep import config
from filbertstep import delivery
from filbertstep import logs
from filbertstep import lookup
from filbertstep import metrics
from filbertstep import routing
from filbertstep import settings
from filbertstep import sharing
from filbertstep import store
from filbertstep import systems

LOGGER = logbook.Logger('node')

# After the look-up hold time callers know that this VM stops; the rest is for
# requests on their way.
MOVED_AFTER_S: typing.Final = lookup.ANSWER_LIFETIME_S + 1.0

# Time in seconds for messages to peers at the end of a graceful shutdown.
LEAVE_MESSAGES_S: typing.Final = 2.0

NAME: typing.Final = 'filbertstep-node'

# Exit codes.
EXIT_OK: typing.Final = 0
EXIT_CUT: typing.Final = 3


class Node:
    """One running entry VM."""

    def __init__(
        self,
        options: settings.NodeSettings,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.session = session
        self.incarnation = secrets.token_hex(6)
        self.ticks = clock.SystemClock()
        self.counters = metrics.Metrics()
        self.views = config.ViewTable()
        self.writer = checking.HistoryWriter(
            options.history_file, options.vm, self.incarnation
        )
        self.recorder = _recorder.Recorder(self.writer)
        self.build_agreement(rng)
        self.build_sharing(rng)
        self.build_routing(rng)
        self.build_delivery()
        self.build_listeners()
        self.runners: list[web.AppRunner] = []
        self.recorded_state = ''

    def build_agreement(self, rng: random.Random) -> None:
        """Build what tells whether this VM may act, and on what."""
        options = self.options
        self.peers = _http_peers.HttpPeers(
            self.session,
            options.peer_token,
            lambda vm: self.agree.peer_url(vm),
            _tls.client_context(options.ca_file),
            self.counters,
        )
        self.agree = agreement.Agreement(
            agreement.Identity(
                options.vm,
                self.incarnation,
                options.region,
                options.availability_zone,
                options.callers.url,
                options.peers.url,
            ),
            self.ticks,
            store.ConsulStore(options.store_url, self.session),
            agreement.ConsulVmList(
                options.vm_list_url, options.vm, self.session
            ),
            self.peers,
            self.views,
            (),
            # As of the last tick: a sum over all slots is too much for each
            # heartbeat.
            lambda: self.lookups.load,
            rng,
        )

    def build_sharing(self, rng: random.Random) -> None:
        """Build what the VMs share out among themselves."""
        neighbours = (
            self.options.vm,
            self.incarnation,
            self.ticks,
            self.views,
            self.agree,
            self.agree,
            self.peers,
            rng,
        )
        self.shares = sharing.TokenBucketSystem(*neighbours)
        self.slots: sharing.SlotSystem | sharing.UnlimitedSlots
        if self.options.choice_policy == settings.DEFAULT_POLICY:
            self.slots = sharing.SlotSystem(*neighbours)
        else:
            self.slots = sharing.UnlimitedSlots(self.views)

    def build_routing(self, rng: random.Random) -> None:
        """Build what decides where a request goes."""
        options = self.options
        health = routing.HealthTable()
        fleet = routing.ServerDirectory(self.views, health)
        self.health = routing.HealthSystem(
            health,
            self.views,
            routing.HttpProber(self.session),
            self.ticks,
            options.region,
            rng,
        )
        self.shift = routing.ShiftSystem(self.views, fleet, options.region)
        self.quarantine = routing.QuarantineSystem(
            options.vm, self.incarnation
        )
        self.dispatcher = routing.Dispatcher(
            routing.DispatcherSystems(
                self.views, self.slots, self.shares, health, self.shift
            ),
            self.ticks,
            options.region,
            options.availability_zone,
            rng,
            routing.CHOICE_POLICIES[options.choice_policy](),
        )
        if isinstance(self.slots, sharing.SlotSystem):
            self.slots.set_loans_callback(
                self.dispatcher.on_capacity_available
            )

    def build_delivery(self) -> None:
        """Build what carries a request out."""
        options = self.options
        self.intents = delivery.IntentSystem(
            options.vm, self.incarnation, self.ticks, self.peers
        )
        self.forwarder = delivery.Forwarder()
        self.lookups = lookup.LookupSystem(
            lookup.Identity(
                options.vm,
                self.incarnation,
                options.region,
                options.availability_zone,
                options.callers.url,
            ),
            self.ticks,
            self.views,
            self.agree,
            self.agree,
        )
        self.admission = _admission.Admission(self.views)
        tries = _tries.Tries(
            self.admission,
            self.dispatcher,
            self.intents,
            self.forwarder,
            self.quarantine,
            self.agree,
            self.ticks,
            self.counters,
            self.recorder,
        )
        self.exchange = _exchange.Exchange(
            tries,
            self.shares,
            self.intents,
            self.agree,
            self.quarantine,
            self.ticks,
        )

    def build_listeners(self) -> None:
        """Build the applications of the three listeners."""
        self.burn_table = burn.BurnTable(self.ticks.now())
        self.callers = _callers.Callers(
            self.admission,
            self.exchange,
            self.lookups,
            self.agree,
            self.forwarder,
            self.ticks,
            self.counters,
            self.burn_table,
            self.recorder,
            self.options.region,
        )
        self.operators = _operators.Operators(
            self.options.vm,
            self.agree,
            self.views,
            self.burn_table,
            self.peers,
            self.ticks,
            self.counters,
            self.status,
        )
        parts: list[systems.HeartbeatPart] = [
            self.shares,
            self.slots,
            self.shift,
            self.quarantine,
        ]
        for part in parts:
            self.agree.add_heartbeat_part(part)
        # Recorded when learned: the next tick may come after an operator was
        # told that the ticket is accepted.
        self.agree.add_view_listener(
            lambda view, now: self.recorder.config_applied(
                view.head_index, view.head['ticket']
            )
        )
        # Agreement first: what follows acts on the views it learned.
        self.systems: list[systems.System] = [
            self.agree,
            self.shares,
            self.slots,
            self.health,
            self.shift,
            self.quarantine,
            self.dispatcher,
            self.intents,
            self.lookups,
        ]

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the peers' paths of all systems."""
        found = dict(self.operators.handlers())
        for system in self.systems:
            found.update(system.handlers())
        return found

    def burden(self) -> float:
        """Return the part of this VM's slots that is in use."""
        now = self.ticks.now()
        view = self.views.newest
        if view is None:
            return 0.0
        running = len(self.dispatcher.running)
        idle = sum(
            sum(
                self.slots.idle_counts(name, self.options.region, now).values()
            )
            for name in view.config.services
        )
        return running / (running + idle) if running + idle else 0.0

    def tick(self) -> None:
        """Run all systems once."""
        now = self.ticks.now()
        for system in self.systems:
            system.tick(now)
        self.callers.tick(now)
        self.lookups.load = self.burden()
        # A VM that restarts while the store is down is no member of the epoch
        # but may serve with what its peers lend it.
        if self.agree.state == 'joining' and self.agree.is_fresh(now):
            self.agree.state = 'serving'
        self.note_changes(now)

    def note_changes(self, now: float) -> None:
        """Update gauges and record changes of state."""
        fresh = self.agree.is_fresh(now)
        self.counters.evidence_age.set(
            self.agree.evidence_age_s(now) if fresh else -1
        )
        self.counters.head_index.set(self.views.index())
        for name, queue in self.dispatcher.queues.items():
            self.counters.queued.labels(name).set(len(queue))
        if self.agree.state != self.recorded_state:
            self.recorded_state = self.agree.state
            self.lookups.state = self.agree.state
            self.recorder.state(self.agree.state)
            logs.state_change(LOGGER, 'node_state', state=self.agree.state)

    def status(self) -> dict[str, typing.Any]:
        """Return what operators see of this VM and through it."""
        shown = _status.Status(
            self.agree,
            self.views,
            self.dispatcher,
            self.health.table,
            self.slots,
        )
        return shown.show(self.ticks.now())

    async def start(self) -> None:
        """Bind the listeners and start the loops."""
        options = self.options
        callers = self.callers.application()
        peers = _peer_server.PeerServer(self.handlers())
        operators = self.operators.application(options.operator_tokens)
        # The peers' listener binds first: its port being free shows that the
        # former process of this VM is gone.
        for app, listener, limits in (
            (peers.application(options.peer_token), options.peers, None),
            (operators, options.operators, None),
            (callers, options.callers, _callers.handler_arguments()),
        ):
            self.runners.append(
                await _web.listen(
                    app, listener, options.stop_timeout_s, limits
                )
            )
        await self.agree.start()

    async def run(self, stop: asyncio.Event) -> None:
        """Tick until asked to stop."""
        while not stop.is_set():
            self.tick()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), systems.TICK_INTERVAL_S)

    async def drain(self) -> bool:
        """Stop gracefully; return whether no request was cut."""
        self.agree.state = 'draining'
        ticking = asyncio.get_running_loop().create_task(self.keep_ticking())
        await asyncio.sleep(MOVED_AFTER_S)
        self.callers.moved = True
        idle = await _callers.until_idle(
            self.callers, self.options.stop_timeout_s
        )
        await self.shares.hand_over()
        await self.slots.hand_over()
        await self.intents.flush(LEAVE_MESSAGES_S)
        await self.agree.leave()
        ticking.cancel()
        return idle

    async def keep_ticking(self) -> None:
        """Tick while the node drains."""
        while True:
            self.tick()
            await asyncio.sleep(systems.TICK_INTERVAL_S)

    async def close(self) -> None:
        """Close listeners and connections."""
        for runner in reversed(self.runners):
            await runner.cleanup()
        await self.agree.stop()
        await self.health.close()
        await self.forwarder.close()
        self.writer.close()


async def serve(options: settings.NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        node = Node(options, session, random.Random(secrets.randbits(64)))
        try:
            await node.start()
            # Objects of the start live as long as the process; collecting
            # them again and again costs several milliseconds each time.
            gc.freeze()
            await node.run(stop)
            idle = await node.drain()
        finally:
            await node.close()
    logs.state_change(LOGGER, 'node_stopped', cut=not idle)
    return EXIT_OK if idle else EXIT_CUT


@_command_line.deferred
def command(settings: str, check_settings: bool = False) -> int:
    """Run the node of an entry VM.

    Args:
        settings: path of the settings file, JSON with comments.
        check_settings: only check the settings; exit code 2 if wrong.
    """
    loaded = read_settings(settings)
    if isinstance(loaded, result.Err):
        return _command_line.fail(NAME, loaded.err_value)
    if check_settings:
        return _command_line.EXIT_OK
    logs.configure(loaded.ok_value.log_level)
    return uvloop.run(serve(loaded.ok_value))


def read_settings(path: str) -> result.Result[settings.NodeSettings, str]:
    """Read and check the settings and the files that they name."""
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        return loaded
    checked = _tls.check(loaded.ok_value)
    return loaded if isinstance(checked, result.Ok) else checked


def main() -> None:
    """Run the ``filbertstep-node`` command."""
    _command_line.run(NAME, command)
