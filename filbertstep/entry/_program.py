"""Starts, reconfigures and stops the entry program."""

import asyncio
import contextlib
import gc
import os
import signal
import sys
import typing

import aiohttp
from aiohttp import web
import result
import uvloop

from filbertstep import _command_line
from filbertstep import clock
from filbertstep import delivery
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _callers
from filbertstep.entry import _connections
from filbertstep.entry import _contracts
from filbertstep.entry import _explain
from filbertstep.entry import _intake
from filbertstep.entry import _load_exchange
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _peers
from filbertstep.entry import _report_exchange
from filbertstep.entry import _requests
from filbertstep.entry import _state
from filbertstep.entry import _stopping
from filbertstep.entry import _strikes
from filbertstep.entry import _supervision
from filbertstep.entry import _sync
from filbertstep.entry import _tries

TICK_INTERVAL_S: typing.Final = 0.05

DRAIN_POLL_INTERVAL_S: typing.Final = 0.01

# The settings file may change without a signal.
SETTINGS_CHECK_INTERVAL_S: typing.Final = 1.0

# Connections that the kernel queues until a listener accepts them.
LISTEN_BACKLOG: typing.Final = 1024


class CloseReporter(_intake.IntakeObserver):
    """Counts and logs connections that were closed because of a limit."""

    def __init__(
        self, counters: metrics.Metrics, log: _log.DecisionLog
    ) -> None:
        self.counters = counters
        self.log = log

    def connection_closed(
        self, listener: str, address: str, reason: _intake.CloseReason
    ) -> None:
        """Note a connection; idle ones are not logged."""
        self.counters.intake_closes.labels(listener, reason.value).inc()
        if reason is not _intake.CloseReason.IDLE:
            self.log.write(
                'intake_closed',
                listener=listener,
                client=address,
                reason=reason.value,
            )


class EntryProgram:
    """All parts of one entry process."""

    def __init__(
        self,
        platform: _contracts.Platform,
        settings: _contracts.EntrySettings,
    ) -> None:
        self.platform = platform
        self.settings = settings
        self.clock = clock.SystemClock()
        self.log = _log.DecisionLog(
            settings.vm,
            settings.log_lines_per_s,
            self.clock,
            _log.PipeHandler(sys.stdout.fileno()),
        )
        self.counters = metrics.Metrics()
        self.stop_requested = asyncio.Event()
        wire_format = platform.wire_format()
        self.state = _state.State(
            settings, platform.decoder(), self.clock, self.log
        )
        self.own_member = steering.Member(
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            region=settings.region,
            callers=settings.caller_address,
            peers=settings.peer_address,
        )
        self.session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar()
        )
        self.store = platform.open_store(settings)
        self.registration = _membership.Registration(
            self.store,
            self.own_member,
            self.state.members,
            self.state.replica,
            self.clock,
            self.log,
        )
        self.store_sync = _sync.StoreSync(
            self.store,
            self.state.replica,
            self.state.members,
            self.registration,
            settings.seed_addresses,
            self.session,
            settings.bounds.config_apply_s,
            self.clock,
            self.log,
        )
        self.strike_writer = _strikes.StrikeWriter(
            self.state.strikes, self.store, self.state.replica, self.log
        )
        self.forwarder = delivery.Forwarder(
            conventions=delivery.ResponseConventions(
                not_run_header=wire_format.not_run_header,
                not_run_values=frozenset(),
                allow_close_delimited=True,
            ),
            skip_mismatched_responses=True,
            buffer_bytes=settings.answer_memory_bytes,
        )
        self.report_exchange = _report_exchange.ReportExchange(
            self.state, self.session, self.clock, self.counters, self.log
        )
        token_requester = _peers.TokenRequester(
            self.state, self.session, self.clock, self.log
        )
        self.request_handler = _requests.RequestHandler(
            self.state,
            _tries.AttemptSender(
                self.state,
                self.forwarder,
                wire_format,
                self.counters,
                self.report_exchange,
            ),
            self.counters,
            token_requester.request_tokens,
        )
        self.caller_listener = _callers.CallerListener(
            self.request_handler,
            self.state,
            wire_format,
            self.clock,
            settings.body_memory_bytes,
        )
        self.lookup_listener = _callers.LookupListener(
            self.state,
            self.own_member,
            wire_format,
            self.clock,
        )
        self.peer_listener = _peers.PeerListener(
            self.state,
            self.store_sync,
            self.store,
            self.clock,
            self.log,
            self.report_exchange,
            _explain.Explainer(self.state, self.counters),
        )
        self.load_exchange = _load_exchange.LoadExchange(
            self.state, self.session, self.clock, self.log
        )
        self.intake = _intake.Intake(
            intake_capacity(settings),
            self.caller_listener.limits,
            CloseReporter(self.counters, self.log),
        )
        self.listeners: list[asyncio.Server] = []
        self.http_servers: list[_connections.CallerServer] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until a signal requests a stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload, 'signal')
        for name, work in (
            ('store', self.store_sync.run_store),
            ('relay', self.store_sync.run_relay),
            ('registration', self.registration.run),
            ('strikes', self.strike_writer.run),
            ('loads', self.load_exchange.run),
            ('reports', self.report_exchange.run),
            ('tick', self.tick),
            ('settings', self.watch_settings),
        ):
            running = _supervision.supervise(name, work, self.log)
            self.tasks.append(asyncio.ensure_future(running))
        settings = self.settings
        caller_server = _connections.make_http_server(
            self.caller_listener.handle,
            self.caller_listener,
            self.intake,
            'callers',
        )
        await self.listen(settings.caller_address, caller_server)
        for name, address, handler in (
            (
                'lookups',
                settings.lookup_address,
                self.lookup_listener.handle_lookup,
            ),
            (
                'ready',
                settings.ready_address,
                self.lookup_listener.handle_ready,
            ),
            ('peers', settings.peer_address, self.peer_listener.handle),
            (
                'metrics',
                f'{settings.host}:{settings.metrics_port}',
                self.handle_metrics,
            ),
        ):
            await self.listen(
                address,
                _connections.make_http_server(
                    handler, None, self.intake, name
                ),
            )
        # Exempts the objects created so far, which live as long as the
        # process, from garbage collection.
        gc.freeze()
        self.log.write('start', pid=os.getpid(), **start_fields(settings))
        self.log.flush()
        await self.stop_requested.wait()
        await self.shut_down(caller_server)

    async def listen(
        self, address: str, server: _connections.CallerServer
    ) -> None:
        """Open one listener; ``address`` is ``host:port``."""
        self.http_servers.append(server)
        host, _, port = address.rpartition(':')
        self.listeners.append(
            await asyncio.get_running_loop().create_server(
                server, host, int(port), backlog=LISTEN_BACKLOG
            )
        )

    async def handle_metrics(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve the metrics in the Prometheus text format."""
        age = self.state.replica.age(self.clock.now())
        self.counters.evidence_age.set(age)
        self.counters.head_index.set(self.state.replica.position.revision)
        self.counters.store_restores.set(self.store_sync.restores)
        self.counters.body_bytes.set(
            self.caller_listener.body_memory.used_bytes
        )
        self.counters.answer_bytes.set(self.forwarder.buffer_memory.used_bytes)
        self.counters.unfinished_bytes.set(self.intake.unfinished.used_bytes)
        self.counters.unread_bytes.set(self.intake.unread.used_bytes)
        self.counters.log_lines_dropped.set(self.log.handler.dropped)
        return web.Response(
            body=self.counters.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def tick(self) -> None:
        """Run periodic work in an endless loop.

        Applies held deletions and values, adjusts the split over regions,
        dispatches waiting requests, notes the end of overloads, closes
        connections that exceed a time, and flushes the log.
        """
        loop = asyncio.get_running_loop()
        while True:
            now = self.clock.now()
            self.state.replica.apply_held_deletions(now)
            self.state.replica.apply_refused(now)
            for service in self.state.regions.tick(now):
                split = self.state.regions.splits[service]
                self.log.write(
                    'split',
                    service=service,
                    moved=round(split.remote_share, 3),
                    loads=format_by_name(split.loads),
                    reports=[
                        f'{region}={count}'
                        for region, count in split.report_counts.items()
                    ],
                    times=format_by_name(split.latency_ratios),
                    weights=format_by_name(split.remote_weights),
                )
            for service in list(self.state.wait_queue.queues):
                self.state.wait_queue.dispatch(service, now)
            self.request_handler.log_ended_overloads(now)
            self.intake.sweep(loop.time())
            for server in self.http_servers:
                server.sweep(loop.time())
            self.log.flush()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def watch_settings(self) -> None:
        """Reload the settings file periodically."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload('file')

    def reload(self, reason: str) -> None:
        """Load the settings again and apply them if they changed.

        Only the bounds, the regions and the order of waiting requests take
        effect without a restart.
        """
        loaded = self.platform.load_settings()
        if isinstance(loaded, result.Err):
            self.log.write('reload_failed', error=loaded.err_value)
            return
        settings = loaded.ok_value
        if settings == self.settings:
            if reason == 'signal':
                self.log.write('reload', reason=reason, changed=False)
            return
        self.settings = settings
        self.state.set_settings(settings)
        self.store_sync.config_apply_s = settings.bounds.config_apply_s
        self.log.write('reload', reason=reason, changed=True)

    def request_stop(self) -> None:
        """Begin a planned stop; its times count from the signal."""
        stop, now = self.state.stop, self.clock.now()
        self.state.begin_stop(now)
        self.caller_listener.end_bodies_by(stop.runs_until)
        # Attempts end by the clock of the event loop.
        loop_offset_s = asyncio.get_running_loop().time() - now
        self.forwarder.limit_attempts(
            stop.runs_until + loop_offset_s, stop.answers_until + loop_offset_s
        )
        self.stop_requested.set()

    async def shut_down(
        self, caller_server: _connections.CallerServer
    ) -> None:
        """Deregister, serve late requests, and close all connections.

        New requests are accepted until callers have stopped using old
        look-ups; running ones may finish until shortly before the stop
        timeout.
        """
        stop, running = self.state.stop, self.caller_listener.running
        self.log.write('stop', **self.stop_fields(caller_server))
        deregistration = asyncio.ensure_future(self.registration.deregister())
        await asyncio.sleep(stop.accepts_until - self.clock.now())
        await _connections.accept_pending(self.listeners)
        for listener in self.listeners:
            listener.close()
        self.log.write('refusing', **self.stop_fields(caller_server))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(stop.answers_until - self.clock.now()):
                await caller_server.drain(DRAIN_POLL_INTERVAL_S)
                # Nobody else knows the strikes of the last second.
                await self.strike_writer.write_changes()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(
                    _stopping.MIN_DELIVERY_S,
                    stop.exits_at - self.clock.now(),
                )
            ):
                await caller_server.drain(DRAIN_POLL_INTERVAL_S)
        for request in running:
            self.log.write(
                'request_cut',
                id=request.request_id,
                sent=self.request_handler.is_sent(request.request_id),
                age_s=round(self.clock.now() - request.arrived_at, 3),
                **self.attempt_fields(request.request_id),
            )
        self.log.write('stopped', **self.stop_fields(caller_server))
        for task in [*self.tasks, deregistration]:
            task.cancel()
        self.log.flush()

    def attempt_fields(self, request_id: str) -> dict[str, _log.FieldValue]:
        """Return the log fields of a request's attempt without an outcome."""
        attempt = self.request_handler.attempt_sender.newest_attempt(
            request_id
        )
        if attempt is None:
            return {}
        return attempt.log_fields(self.state.stop.begun_at)

    def stop_fields(
        self, caller_server: _connections.CallerServer
    ) -> dict[str, _log.FieldValue]:
        """Return the fields of the log lines about the stop."""
        now = self.clock.now()
        return {
            'after_s': round(now - self.state.stop.begun_at, 3),
            'running': len(self.caller_listener.running),
            'connections': len(caller_server.connections),
            'refused': self.request_handler.stop_refusals,
            'interrupted': self.request_handler.stop_interruptions,
        }


def format_by_name(values: dict[str, float]) -> list[str]:
    """Format values by name for a log line."""
    return [f'{name}={value:.2f}' for name, value in values.items()]


def intake_capacity(
    settings: _contracts.EntrySettings,
) -> _intake.Capacity:
    """Return the limits for clients of this process."""
    return _intake.Capacity(
        settings.request_memory_bytes,
        settings.unread_memory_bytes,
        *_intake.connection_limits(
            _intake.descriptor_limit(),
            settings.connection_share,
            settings.connection_memory_bytes,
        ),
    )


def start_fields(
    settings: _contracts.EntrySettings,
) -> dict[str, _log.FieldValue]:
    """Return the settings that the 'start' log line shows."""
    return {
        'availability_zone': settings.availability_zone,
        'callers': settings.caller_address,
        'peers': settings.peer_address,
        'first_start': settings.first_start,
    }


def run(name: str, platform: _contracts.Platform, check_settings: bool) -> int:
    """Run the entry program until it is stopped; return the exit code."""
    loaded = platform.load_settings()
    if isinstance(loaded, result.Err):
        return _command_line.report_usage_error(name, loaded.err_value)
    if check_settings:
        print(f'{name}: the settings are correct')
        return _command_line.EXIT_OK
    settings = loaded.ok_value

    async def serve() -> None:
        await EntryProgram(platform, settings).run()

    uvloop.run(serve())
    # Exit at once; closing the remaining connections would only take time.
    sys.stdout.flush()
    os._exit(_command_line.EXIT_OK)
