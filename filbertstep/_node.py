"""The daemon of an entry VM: builds the systems and runs them.

All entry VMs run the same daemon and have the same role.  The node keeps no
data of its own.  It builds the systems, calls their ``tick`` methods in a
fixed order, and goes through the states joining, serving, draining and
leaving.
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

# A draining node refuses requests after this time.  By the end of the lifetime
# of look-up answers, callers know that this VM stops; the additional second is
# for requests in transit.
REFUSE_AFTER_S: typing.Final = lookup.ANSWER_LIFETIME_S + 1.0

# Time limit for the last messages to peers in a graceful shutdown.
FINAL_MESSAGES_TIMEOUT_S: typing.Final = 2.0

COMMAND_NAME: typing.Final = 'filbertstep-node'

# Exit codes of the process.
EXIT_OK: typing.Final = 0
EXIT_REQUESTS_CUT: typing.Final = 3


class Node:
    """The systems and listeners of one entry VM."""

    def __init__(
        self,
        options: settings.NodeSettings,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.session = session
        self.incarnation = secrets.token_hex(6)
        self.clock = clock.SystemClock()
        self.counters = metrics.Metrics()
        self.views = config.ViewTable()
        self.writer = checking.HistoryWriter(
            options.history_file, options.vm, self.incarnation
        )
        self.recorder = _recorder.HistoryRecorder(self.writer)
        self.build_agreement(rng)
        self.build_sharing(rng)
        self.build_routing(rng)
        self.build_delivery()
        self.build_listeners()
        self.runners: list[web.AppRunner] = []
        self.recorded_state = ''

    def build_agreement(self, rng: random.Random) -> None:
        """Build the client for peers, and the agreement on configuration."""
        options = self.options
        self.peers = _http_peers.HttpPeers(
            self.session,
            options.peer_token,
            lambda vm: self.agreement.peer_url(vm),
            _tls.client_context(options.ca_file),
            self.counters,
        )
        self.agreement = agreement.Agreement(
            agreement.Identity(
                options.vm,
                self.incarnation,
                options.region,
                options.availability_zone,
                options.callers.url,
                options.peers.url,
            ),
            self.clock,
            store.ConsulStore(options.store_url, self.session),
            agreement.ConsulVmList(
                options.vm_list_url, options.vm, self.session
            ),
            self.peers,
            self.views,
            (),
            # Updated once per tick, because summing over all slots for each
            # heartbeat is too expensive.
            lambda: self.lookups.load,
            rng,
        )

    def build_sharing(self, rng: random.Random) -> None:
        """Build the token buckets and slots that the VMs share."""
        dependencies = (
            self.options.vm,
            self.incarnation,
            self.clock,
            self.views,
            self.agreement,
            self.agreement,
            self.peers,
            rng,
        )
        self.token_buckets = sharing.TokenBucketSystem(*dependencies)
        self.slots: sharing.SlotSystem | sharing.UnlimitedSlots
        if self.options.choice_policy == settings.DEFAULT_POLICY:
            self.slots = sharing.SlotSystem(*dependencies)
        else:
            self.slots = sharing.UnlimitedSlots(self.views)

    def build_routing(self, rng: random.Random) -> None:
        """Build the systems that choose a backend server for a request."""
        options = self.options
        health = routing.HealthTable()
        directory = routing.ServerDirectory(self.views, health)
        self.health = routing.HealthSystem(
            health,
            self.views,
            routing.HttpProber(self.session),
            self.clock,
            options.region,
            rng,
        )
        self.shift = routing.ShiftSystem(self.views, directory, options.region)
        self.quarantine = routing.QuarantineSystem(
            options.vm, self.incarnation
        )
        self.dispatcher = routing.Dispatcher(
            routing.DispatcherSystems(
                self.views, self.slots, self.token_buckets, health, self.shift
            ),
            self.clock,
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
        """Build the systems that admit and execute requests."""
        options = self.options
        self.intents = delivery.IntentSystem(
            options.vm, self.incarnation, self.clock, self.peers
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
            self.clock,
            self.views,
            self.agreement,
            self.agreement,
        )
        self.admission = _admission.Admission(self.views)
        attempt_runner = _tries.AttemptRunner(
            self.admission,
            self.dispatcher,
            self.intents,
            self.forwarder,
            self.quarantine,
            self.agreement,
            self.clock,
            self.counters,
            self.recorder,
        )
        self.executor = _exchange.RequestExecutor(
            attempt_runner,
            self.token_buckets,
            self.intents,
            self.agreement,
            self.quarantine,
            self.clock,
        )

    def build_listeners(self) -> None:
        """Build the listeners, and connect the systems to the agreement."""
        self.burn_table = burn.BurnTable(self.clock.now())
        self.caller_listener = _callers.CallerListener(
            self.admission,
            self.executor,
            self.lookups,
            self.agreement,
            self.forwarder,
            self.clock,
            self.counters,
            self.burn_table,
            self.recorder,
            self.options.region,
        )
        self.operator_listener = _operators.OperatorListener(
            self.options.vm,
            self.agreement,
            self.views,
            self.burn_table,
            self.peers,
            self.clock,
            self.counters,
            self.status,
        )
        parts: list[systems.HeartbeatPart] = [
            self.token_buckets,
            self.slots,
            self.shift,
            routing.CrashesPart(self.quarantine),
            self.quarantine,
        ]
        for part in parts:
            self.agreement.add_heartbeat_part(part)
        # Recorded at once, not in the next tick, which may come after an
        # operator was told that the ticket is accepted.
        self.agreement.add_view_listener(
            lambda view, now: self.recorder.record_config_applied(
                view.head_index, view.head['ticket']
            )
        )
        # The order of ticks.  Agreement is first, because the other systems
        # act on the views that it learned.
        self.systems: list[systems.System] = [
            self.agreement,
            self.token_buckets,
            self.slots,
            self.health,
            self.shift,
            self.quarantine,
            self.dispatcher,
            self.intents,
            self.lookups,
        ]

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handlers of calls from peers, by path."""
        handlers = dict(self.operator_listener.handlers())
        for system in self.systems:
            handlers.update(system.handlers())
        return handlers

    def used_slot_fraction(self) -> float:
        """Return the fraction of this VM's usable slots that is in use."""
        now = self.clock.now()
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
        """Call ``tick`` of all systems."""
        now = self.clock.now()
        for system in self.systems:
            system.tick(now)
        self.caller_listener.tick(now)
        self.lookups.load = self.used_slot_fraction()
        # A VM that restarts while the store is down cannot become a member of
        # the epoch, but may serve with slots and tokens borrowed from peers.
        if self.agreement.state == 'joining' and self.agreement.is_fresh(now):
            self.agreement.state = 'serving'
        self.report_changes(now)

    def report_changes(self, now: float) -> None:
        """Update metrics; record and log a change of the node's state."""
        fresh = self.agreement.is_fresh(now)
        self.counters.evidence_age.set(
            self.agreement.evidence_age_s(now) if fresh else -1
        )
        self.counters.head_index.set(self.views.head_index())
        for name, queue in self.dispatcher.queues.items():
            self.counters.queued.labels(name).set(len(queue))
        if self.agreement.state != self.recorded_state:
            self.recorded_state = self.agreement.state
            self.lookups.state = self.agreement.state
            self.recorder.record_state(self.agreement.state)
            logs.state_change(LOGGER, 'node_state', state=self.agreement.state)

    def status(self) -> dict[str, typing.Any]:
        """Return the status document for operators."""
        reporter = _status.StatusReporter(
            self.agreement,
            self.views,
            self.dispatcher,
            self.health.table,
            self.slots,
        )
        return reporter.report(self.clock.now())

    async def start(self) -> None:
        """Start the listeners and the agreement."""
        options = self.options
        callers = self.caller_listener.make_application()
        peers = _peer_server.PeerServer(self.handlers())
        operators = self.operator_listener.make_application(
            options.operator_tokens
        )
        # The peers' listener binds first, which fails while the previous
        # process of this VM is still running.
        for app, listener, limits in (
            (peers.make_application(options.peer_token), options.peers, None),
            (operators, options.operators, None),
            (callers, options.callers, _callers.parser_limits()),
        ):
            self.runners.append(
                await _web.start_listener(
                    app, listener, options.stop_timeout_s, limits
                )
            )
        await self.agreement.start()

    async def run(self, stop: asyncio.Event) -> None:
        """Call ``tick`` regularly until ``stop`` is set."""
        while not stop.is_set():
            self.tick()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), systems.TICK_INTERVAL_S)

    async def drain(self) -> bool:
        """Stop gracefully; return whether all requests finished in time."""
        self.agreement.state = 'draining'
        tick_task = asyncio.get_running_loop().create_task(self.keep_ticking())
        await asyncio.sleep(REFUSE_AFTER_S)
        self.caller_listener.stopping = True
        all_finished = await _callers.wait_until_idle(
            self.caller_listener, self.options.stop_timeout_s
        )
        await self.token_buckets.hand_over()
        await self.slots.hand_over()
        await self.intents.flush(FINAL_MESSAGES_TIMEOUT_S)
        await self.agreement.leave()
        tick_task.cancel()
        return all_finished

    async def keep_ticking(self) -> None:
        """Call ``tick`` regularly until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(systems.TICK_INTERVAL_S)

    async def close(self) -> None:
        """Close the listeners, connections and files."""
        for runner in reversed(self.runners):
            await runner.cleanup()
        await self.agreement.stop()
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
            # Objects created during the start live as long as the process.
            # Examining them in each garbage collection would take several
            # milliseconds each time.
            gc.freeze()
            await node.run(stop)
            all_finished = await node.drain()
        finally:
            await node.close()
    logs.state_change(LOGGER, 'node_stopped', cut=not all_finished)
    return EXIT_OK if all_finished else EXIT_REQUESTS_CUT


@_command_line.deferred
def command(settings: str, check_settings: bool = False) -> int:
    """Run the node of an entry VM.

    Args:
        settings: path of the settings file, JSON with comments.
        check_settings: only check the settings; exit code 2 if wrong.
    """
    loaded = read_settings(settings)
    if isinstance(loaded, result.Err):
        return _command_line.report_usage_error(COMMAND_NAME, loaded.err_value)
    if check_settings:
        return _command_line.EXIT_OK
    logs.configure(loaded.ok_value.log_level)
    return uvloop.run(serve(loaded.ok_value))


def read_settings(path: str) -> result.Result[settings.NodeSettings, str]:
    """Load the settings; check them and the files that they name."""
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        return loaded
    checked = _tls.check_files(loaded.ok_value)
    return loaded if isinstance(checked, result.Ok) else checked


def main() -> None:
    """Run the ``filbertstep-node`` command."""
    _command_line.run(COMMAND_NAME, command)
