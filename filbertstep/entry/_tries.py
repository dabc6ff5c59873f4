"""Attempts to send a request to backend servers, and their bookkeeping."""

import asyncio
import typing

from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import routing
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _log
from filbertstep.entry import _messages
from filbertstep.entry import _report_exchange
from filbertstep.entry import _state

OutcomeKind = delivery.ForwardOutcomeKind

# An idempotent request without an answer is also sent to a second server after
# this multiple of its estimated time, but not before the minimum.
HEDGE_DELAY_FACTOR: typing.Final = 2.5
MIN_HEDGE_DELAY_S: typing.Final = 0.25

# With these statuses a server says that it ran the request and failed.
SERVER_FAILURE_STATUSES: typing.Final = frozenset({500, 502, 503, 504})

# These statuses tell a caller that its request did not run and never will.
NOT_RUN_STATUSES: typing.Final = frozenset({408, 421, 429, 503})

# Keeps divisors from 0: the target latency of a route, and with it the
# expected run time, may be 0.
MIN_EXPECTED_RUN_S: typing.Final = 0.001


class FinishedAttempt(typing.NamedTuple):
    """A finished attempt at one server, and its times on the VM's clock."""

    candidate: steering.Candidate
    outcome: delivery.ForwardOutcome
    sent_at: float
    ended_at: float

    def crash(self) -> routing.Crash:
        """Return the crash that a broken connection is a sign of."""
        entry = self.candidate.server.entry
        return routing.Crash(
            entry.server_id, entry.incarnation, self.sent_at, self.ended_at
        )


class RunningAttempt(typing.NamedTuple):
    """An attempt without an outcome, and what was known when it was sent.

    ``requests_ahead`` is the estimated number of other requests at the
    server.  ``load_age_s`` is the age in seconds of the server's newest load
    report, infinite if there was none.  ``longest_s`` is the longest time to
    the answer, by which a VM that stops decides; None before the stop.
    """

    candidate: steering.Candidate
    sent_at: float
    requests_ahead: float
    load_age_s: float
    longest_s: float | None

    def log_fields(self, stop_begun_at: float) -> dict[str, _log.FieldValue]:
        """Return the fields of a log line on what a stop ended."""
        return {
            'server': self.candidate.server.entry.server_id,
            'sent_after_s': round(self.sent_at - stop_begun_at, 3),
            'ahead': round(self.requests_ahead, 2),
            'load_age_s': round(self.load_age_s, 3)
            if self.load_age_s != float('inf')
            else None,
            'longest_s': round(self.longest_s, 3)
            if self.longest_s is not None
            else None,
        }


class AttemptSender:
    """Sends requests to the backend servers on which slots are reserved."""

    def __init__(
        self,
        state: _state.State,
        forwarder: delivery.Forwarder,
        wire_format: _contracts.WireFormat,
        counters: metrics.Metrics,
        report_exchange: _report_exchange.ReportExchange | None = None,
    ) -> None:
        self.state = state
        self.clock = state.clock
        self.forwarder = forwarder
        self.report_exchange = report_exchange
        self.wire_format = wire_format
        self.counters = counters
        # The caller's values of these headers are never forwarded; where a
        # server needs one of them, this system sets it.
        self.replaced_headers = frozenset(
            name.lower()
            for name in (
                wire_format.key_header,
                wire_format.account_header,
                wire_format.expected_server_header,
                wire_format.deadline_header,
                wire_format.request_id_header,
            )
        )
        # Ids of non-idempotent requests that were sent and have not ended.
        self.non_idempotent_in_flight: set[str] = set()
        # Attempts without an outcome by request id, oldest first.
        self.running: dict[str, list[RunningAttempt]] = {}

    async def run(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
        is_retry: bool,
    ) -> list[FinishedAttempt]:
        """Send a request, and again to a second server if the first is slow.

        A hedged request must be idempotent and must not be a retry.  Returns
        the finished attempts, a successful one last; attempts that still run
        are cancelled.
        """
        first = self.start_attempt(admitted, query, candidate, body)
        running = {first}
        finished: list[FinishedAttempt] = []
        try:
            if admitted.route.idempotent and admitted.route.max_attempts > 1:
                if not is_retry:
                    second = await self.start_hedge(
                        admitted, query, candidate, body, first
                    )
                    if second is not None:
                        running.add(second)
            while running:
                ended_tasks, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                finished += [task.result() for task in ended_tasks]
                if any(is_success(attempt.outcome) for attempt in finished):
                    break
            finished.sort(key=lambda attempt: is_success(attempt.outcome))
            return finished
        finally:
            for task in {first, *running}:
                task.cancel()

    async def start_hedge(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
        first: asyncio.Task[FinishedAttempt],
    ) -> asyncio.Task[FinishedAttempt] | None:
        """Start a second attempt if the first takes much longer than expected.

        Returns None if the first attempt finished or no second one is
        possible.
        """
        wait_s = max(
            MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * candidate.estimate_s
        )
        ended_tasks, _ = await asyncio.wait({first}, timeout=wait_s)
        now = self.clock.now()
        if ended_tasks:
            return None
        expected_s = max(
            MIN_EXPECTED_RUN_S, candidate.run_s / candidate.server.slowdown
        )
        candidate.server.record_overdue(wait_s / expected_s, now)
        hedge_query = query._replace(
            tried_servers=frozenset({candidate.server.entry.server_id})
        )
        hedge_candidate = self.state.placement.best_candidate(hedge_query, now)
        if hedge_candidate is None or not hedge_candidate.can_send_now:
            return None
        if admitted.deadline - now < hedge_candidate.estimate_s:
            return None
        if not self.state.retry_budget.try_take(admitted.service, now):
            return None
        steering.reserve_slot(hedge_candidate, now)
        self.state.log.write(
            'hedge',
            id=admitted.call.request_id,
            server=hedge_candidate.server.entry.server_id,
            after_s=round(wait_s, 3),
        )
        return self.start_attempt(admitted, hedge_query, hedge_candidate, body)

    def start_attempt(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
    ) -> asyncio.Task[FinishedAttempt]:
        """Start an attempt on a reserved slot, which is released at its end.

        The server works on a streamed answer until the end of the stream.  A
        done callback releases the slot, because a task that is cancelled
        before its first step runs none of its own code.
        """
        task = asyncio.ensure_future(
            self.send(admitted, query, candidate, body)
        )

        def release() -> None:
            candidate.server.in_progress -= 1
            self.state.wait_queue.dispatch(query.service, self.clock.now())

        def release_at_end(ended: asyncio.Task[FinishedAttempt]) -> None:
            stream = (
                None
                if ended.cancelled() or ended.exception()
                else ended.result().outcome.stream
            )
            if stream is None:
                release()
            else:
                stream.call_when_closed(release)

        task.add_done_callback(release_at_end)
        return task

    async def send(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
    ) -> FinishedAttempt:
        """Send a request to the server on which its slot is reserved."""
        server = candidate.server
        sent_at = self.clock.now()
        self.state.placement.record_sent(query, server, sent_at)
        path, _, query_string = admitted.call.path.partition('?')
        attempt = delivery.Attempt(
            server=server.entry.address,
            method=admitted.call.method,
            path=path,
            query=query_string,
            headers=self.server_headers(admitted, server),
            body=body,
            request_id=admitted.call.request_id,
            time_left_s=admitted.deadline - sent_at,
        )
        if not admitted.route.idempotent:
            self.non_idempotent_in_flight.add(attempt.request_id)
        running = RunningAttempt(
            candidate,
            sent_at,
            # The slot of this attempt is reserved already.
            max(0.0, server.estimated_requests(sent_at) - 1.0),
            sent_at - server.load_reported_at,
            self.state.placement.longest_s(server, query, sent_at)
            if self.state.stop.interrupts(admitted.deadline)
            else None,
        )
        self.running.setdefault(attempt.request_id, []).append(running)
        try:
            outcome = await self.forwarder.send(
                attempt, lambda: self.check_pause(server)
            )
        finally:
            self.non_idempotent_in_flight.discard(attempt.request_id)
            self.forget_running(attempt.request_id, running)
        self.record_outcome(
            admitted, query, candidate, outcome, sent_at, len(body)
        )
        if (
            outcome.kind is OutcomeKind.TIMED_OUT
            and self.state.stop.interrupts(admitted.deadline)
        ):
            self.counters.events.labels('attempt_interrupted').inc()
            self.state.log.write(
                'interrupted',
                id=attempt.request_id,
                **running.log_fields(self.state.stop.begun_at),
            )
        return FinishedAttempt(candidate, outcome, sent_at, self.clock.now())

    def forget_running(self, request_id: str, running: RunningAttempt) -> None:
        """Remove an attempt that has ended."""
        attempts = self.running[request_id]
        attempts.remove(running)
        if not attempts:
            del self.running[request_id]

    def newest_attempt(self, request_id: str) -> RunningAttempt | None:
        """Return the newest attempt without an outcome, None without any."""
        attempts = self.running.get(request_id)
        return attempts[-1] if attempts else None

    def check_pause(
        self, server: steering.ServerRecord
    ) -> errors.Failure | None:
        """Return a failure if the server wants no requests any more.

        It may have asked for a pause while this VM connected to it.
        """
        now = self.clock.now()
        if not server.has_requested_pause(now):
            return None
        return errors.Failure(
            errors.ErrorKind.NO_ROOM,
            'the server asked for a pause',
            _messages.clamp_retry_after(
                server.announcements.requested_pause_until - now
            ),
        )

    def server_headers(
        self, admitted: _messages.Admitted, server: steering.ServerRecord
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers for a server, without the caller's API key."""
        wire_format = self.wire_format
        headers = [
            (name, value)
            for name, value in _messages.end_to_end_headers(
                admitted.call.headers
            )
            if name.lower() not in self.replaced_headers
        ]
        headers.append(
            (wire_format.expected_server_header, server.entry.server_id)
        )
        if admitted.account is not None:
            headers.append((wire_format.account_header, admitted.account.name))
        return tuple(headers)

    def record_outcome(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        candidate: steering.Candidate,
        outcome: delivery.ForwardOutcome,
        sent_at: float,
        sent_bytes: int,
    ) -> None:
        """Update what is known of the server from an outcome, and log it."""
        server, now = candidate.server, self.clock.now()
        took_s = now - sent_at
        self.record_notice(
            server,
            self.wire_format.parse_server_notice(
                outcome.status, outcome.headers
            ),
            now,
        )
        load_report = find_header(outcome, self.wire_format.load_header)
        load = steering.parse_load(load_report or '')
        if load is not None:
            self.state.placement.record_reported_load(server, load, now)
            if self.report_exchange is not None:
                # A server that did not run the request does not have its
                # object cached.
                handled_object = (
                    query.affinity_key if is_success(outcome) else ''
                )
                self.report_exchange.record(
                    server.entry.server_id, handled_object, load, now
                )
            self.state.regions.record_load(server, load.running, load.waiting)
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            self.state.regions.record_latency(
                server, took_s, admitted.route.target_s
            )
            if candidate.slot_wait_s == 0.0:
                self.state.placement.record_run_s(query.service, took_s)
            steering.record_run(
                self.state.placement.route_run_times(admitted.route),
                candidate,
                steering.MeasuredRun(
                    took_s,
                    len(outcome.body) + sent_bytes,
                    load.machine_slowdown if load else None,
                ),
                now,
            )
        elif outcome.kind is OutcomeKind.SHED:
            server.record_shed(now)
        elif (
            outcome.kind is not OutcomeKind.CANCELLED
            and outcome.failure is None
        ):
            server.record_failure(now, outcome.kind is OutcomeKind.NOT_SENT)
        name = outcome.kind.name.lower()
        self.counters.events.labels(f'try_{name}').inc()
        self.state.log.write(
            'try',
            id=admitted.call.request_id,
            server=server.entry.server_id,
            availability_zone=server.entry.availability_zone,
            region=query.region,
            affinity_key=query.affinity_key,
            warm=candidate.cached,
            estimate_s=round(candidate.estimate_s, 3),
            took_s=round(took_s, 3),
            body_bytes=sent_bytes,
            in_progress=server.in_progress,
            others=round(server.current_other_vm_requests(now), 2),
            load=load_report,
            outcome=name,
            status=outcome.status,
            message=outcome.message,
        )

    def record_notice(
        self,
        server: steering.ServerRecord,
        notice: _contracts.ServerNotice,
        now: float,
    ) -> None:
        """Record what a server said about itself; log changes of state."""
        if notice.leaving and not server.announcements.leaving:
            server.announcements.leaving = True
            self.counters.events.labels('server_leaving').inc()
            self.state.log.write(
                'server_leaving',
                server=server.entry.server_id,
                service=server.entry.service,
                draining=server.entry.draining,
            )
        if notice.pause_s > 0:
            was_paused = server.has_requested_pause(now)
            server.announcements.request_pause(notice.pause_s, now)
            if not was_paused:
                self.counters.events.labels('server_paused').inc()
                self.state.log.write(
                    'server_paused',
                    server=server.entry.server_id,
                    service=server.entry.service,
                    requested_s=notice.pause_s,
                    until=round(server.announcements.requested_pause_until, 3),
                )


def is_success(outcome: delivery.ForwardOutcome) -> bool:
    """Return whether a server ran a request and reported no own failure."""
    return (
        outcome.kind is OutcomeKind.ANSWERED
        and outcome.status not in SERVER_FAILURE_STATUSES
        and not certainly_not_run(outcome)
    )


def certainly_not_run(outcome: delivery.ForwardOutcome) -> bool:
    """Return whether the server certainly did not run the request."""
    if outcome.kind in (OutcomeKind.NOT_SENT, OutcomeKind.SHED):
        return True
    return outcome.kind is OutcomeKind.ANSWERED and outcome.status == 421


def may_pass_on(outcome: delivery.ForwardOutcome, idempotent: bool) -> bool:
    """Return whether a caller may get an outcome as a server's answer.

    A server that did not run a request marks its answer.  The status alone
    must not make the caller repeat a request that may run only once.
    """
    return (
        outcome.kind is OutcomeKind.ANSWERED
        and not certainly_not_run(outcome)
        and (idempotent or outcome.status not in NOT_RUN_STATUSES)
    )


def find_header(
    outcome: delivery.ForwardOutcome, header_name: str
) -> str | None:
    """Return the value of a header of a server's answer, None if absent."""
    for name, value in outcome.headers:
        if name.lower() == header_name.lower():
            return value
    return None
