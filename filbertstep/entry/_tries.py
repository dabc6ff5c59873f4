"""Tries of a request at backend servers, and what is learned from them."""

import asyncio
import typing

from filbertstep import delivery
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _messages
from filbertstep.entry import _state

OutcomeKind = delivery.OutcomeKind

# Multiple of the estimated time after which an idempotent request without an
# answer is sent to a second server as well, and the least such time.
HEDGE_DELAY_FACTOR: typing.Final = 2.5
MIN_HEDGE_DELAY_S: typing.Final = 0.25

# Statuses by which a server says that it failed after it ran the request.
SERVER_FAILURE_STATUSES: typing.Final = frozenset({500, 502, 503, 504})

# Run time in seconds that is assumed of any request at least.
MIN_EXPECTED_RUN_S: typing.Final = 0.001


class FinishedAttempt(typing.NamedTuple):
    """A finished try at a server."""

    candidate: steering.Candidate
    outcome: delivery.Outcome


class AttemptSender:
    """Sends requests of one VM to the servers on which places were taken."""

    def __init__(
        self,
        state: _state.State,
        forwarder: delivery.Forwarder,
        wire_format: _contracts.WireFormat,
        counters: metrics.Metrics,
    ) -> None:
        self.state = state
        self.clock = state.clock
        self.forwarder = forwarder
        self.wire_format = wire_format
        self.counters = counters
        # Headers of callers that servers get in this system's own form.
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
        # Ids of non-idempotent requests that a server has.
        self.non_idempotent_in_flight: set[str] = set()

    async def run(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
        is_retry: bool,
    ) -> list[FinishedAttempt]:
        """Send a request, to a second server too if the first is silent.

        Only for requests that may run twice and were not repeated before.
        Returns the finished tries, the one that decides last; the others are
        cancelled.
        """
        first = self.start_attempt(admitted, question, candidate, body)
        running = {first}
        done: list[FinishedAttempt] = []
        try:
            if admitted.route.idempotent and admitted.route.max_attempts > 1:
                if not is_retry:
                    second = await self.start_hedge(
                        admitted, question, candidate, body, first
                    )
                    if second is not None:
                        running.add(second)
            while running:
                finished, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                done += [task.result() for task in finished]
                if any(is_success(item.outcome) for item in done):
                    break
            done.sort(key=lambda item: is_success(item.outcome))
            return done
        finally:
            for task in {first, *running}:
                task.cancel()

    async def start_hedge(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
        first: asyncio.Task[FinishedAttempt],
    ) -> asyncio.Task[FinishedAttempt] | None:
        """Start a second try if the first takes much longer than expected."""
        wait_s = max(
            MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * candidate.estimate_s
        )
        finished, _ = await asyncio.wait({first}, timeout=wait_s)
        now = self.clock.now()
        if finished:
            return None
        expected_s = max(
            MIN_EXPECTED_RUN_S, candidate.run_s / candidate.server.slowdown
        )
        candidate.server.record_overdue(wait_s / expected_s, now)
        other = question._replace(
            tried_servers=frozenset({candidate.server.entry.server_id})
        )
        best = self.state.placement.best_candidate(other, now)
        if best is None or not best.can_send_now:
            return None
        if admitted.deadline - now < best.estimate_s:
            return None
        if not self.state.retry_budget.try_take(admitted.service, now):
            return None
        steering.reserve_slot(best, now)
        self.state.log.write(
            'hedge',
            id=admitted.call.request_id,
            server=best.server.entry.server_id,
            after_s=round(wait_s, 3),
        )
        return self.start_attempt(admitted, other, best, body)

    def start_attempt(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
    ) -> asyncio.Task[FinishedAttempt]:
        """Start a try on a reserved place, which its end gives back.

        A task that is cancelled before its first step runs none of its code,
        so the place is given back by a callback.
        """
        task = asyncio.ensure_future(
            self.send(admitted, question, candidate, body)
        )

        def release(_: object) -> None:
            candidate.server.in_progress -= 1
            self.state.wait_queue.dispatch(question.service, self.clock.now())

        task.add_done_callback(release)
        return task

    async def send(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        candidate: steering.Candidate,
        body: bytes,
    ) -> FinishedAttempt:
        """Send a request to the server on which a place was taken."""
        row = candidate.server
        sent_at = self.clock.now()
        if question.affinity_key:
            row.record_object(question.affinity_key, sent_at)
        path, _, query = admitted.call.path.partition('?')
        attempt = delivery.Attempt(
            server=row.entry.address,
            method=admitted.call.method,
            path=path,
            query=query,
            headers=self.server_headers(admitted, row),
            body=body,
            request_id=admitted.call.request_id,
            time_left_s=admitted.deadline - sent_at,
        )
        if not admitted.route.idempotent:
            self.non_idempotent_in_flight.add(attempt.request_id)
        try:
            outcome = await self.forwarder.send(attempt, lambda: None)
        finally:
            self.non_idempotent_in_flight.discard(attempt.request_id)
        self.record_outcome(
            admitted, question, candidate, outcome, sent_at, len(body)
        )
        return FinishedAttempt(candidate, outcome)

    def server_headers(
        self, admitted: _messages.Admitted, row: steering.ServerRecord
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers for a server, without the caller's key."""
        wire_format = self.wire_format
        headers = [
            (name, value)
            for name, value in _messages.end_to_end_headers(
                admitted.call.headers
            )
            if name.lower() not in self.replaced_headers
        ]
        headers.append(
            (wire_format.expected_server_header, row.entry.server_id)
        )
        if admitted.account is not None:
            headers.append((wire_format.account_header, admitted.account.name))
        return tuple(headers)

    def record_outcome(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        candidate: steering.Candidate,
        outcome: delivery.Outcome,
        sent_at: float,
        sent_bytes: int,
    ) -> None:
        """Update what is known of the server, and log the try."""
        row, now = candidate.server, self.clock.now()
        took_s = now - sent_at
        reported = find_header(outcome, self.wire_format.load_header)
        load = parse_load(reported or '')
        if load is not None:
            row.record_load(load[0], load[1], now)
            self.state.regions.record_load(row, load[0], load[1])
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            self.state.regions.record_latency(
                row, took_s, admitted.route.target_s
            )
            times = self.state.placement.route_run_times(admitted.route)
            if candidate.slot_wait_s == 0.0:
                expected = times.expected_run_s(candidate.cached)
                row.record_success(
                    took_s / max(MIN_EXPECTED_RUN_S, expected), now
                )
                times.record(
                    candidate.cached,
                    took_s / row.slowdown,
                    len(outcome.body) + sent_bytes,
                )
            else:
                row.record_success(row.slowdown, now)
        elif outcome.kind is OutcomeKind.SHED:
            row.record_shed(now)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            row.record_failure(now, outcome.kind is OutcomeKind.NOT_SENT)
        name = outcome.kind.name.lower()
        self.counters.events.labels(f'try_{name}').inc()
        self.state.log.write(
            'try',
            id=admitted.call.request_id,
            server=row.entry.server_id,
            availability_zone=row.entry.availability_zone,
            affinity_key=question.affinity_key,
            warm=candidate.cached,
            estimate_s=round(candidate.estimate_s, 3),
            took_s=round(took_s, 3),
            in_progress=row.in_progress,
            others=round(row.current_other_vm_requests(now), 2),
            load=reported,
            outcome=name,
            status=outcome.status,
            message=outcome.message,
        )


def is_success(outcome: delivery.Outcome) -> bool:
    """Tell whether a server answered, and not with a failure of its own."""
    return (
        outcome.kind is OutcomeKind.ANSWERED
        and outcome.status not in SERVER_FAILURE_STATUSES
        and not certainly_not_run(outcome)
    )


def certainly_not_run(outcome: delivery.Outcome) -> bool:
    """Tell whether it is certain that the server did not run a request."""
    if outcome.kind in (OutcomeKind.NOT_SENT, OutcomeKind.SHED):
        return True
    return outcome.kind is OutcomeKind.ANSWERED and outcome.status == 421


def find_header(outcome: delivery.Outcome, wanted: str) -> str | None:
    """Return a header of a server's answer."""
    for name, value in outcome.headers:
        if name.lower() == wanted.lower():
            return value
    return None


def parse_load(text: str) -> tuple[int, int] | None:
    """Return running and waiting requests of a server's load report."""
    parts = text.split(',')
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1])
