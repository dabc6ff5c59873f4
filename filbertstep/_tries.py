"""Attempts to run a request on backend servers.

A request that certainly did not run may be sent to another server.  One that
may have run is sent again only if it is idempotent, only once, and only within
the service's retry budget.
"""

import typing

import result

from filbertstep import _admission
from filbertstep import _recorder
from filbertstep import _try_state
from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import routing
from filbertstep import systems

# Counts all servers that a request is tried at, also those that shed it.
MAX_ATTEMPTS: typing.Final = 4

# Divisor that maps a 52-bit hash to [0, 1).
HASH_RANGE: typing.Final = float(1 << 52)


class AttemptRunner:
    """Runs requests: gets a slot, records the intent, sends, and retries."""

    def __init__(
        self,
        admission: _admission.Admission,
        dispatcher: routing.Dispatcher,
        intents: delivery.IntentSystem,
        forwarder: delivery.Forwarder,
        quarantine: routing.QuarantineSystem,
        freshness: systems.Freshness,
        clock: clock.Clock,
        counters: metrics.Metrics,
        recorder: _recorder.HistoryRecorder,
    ) -> None:
        self.admission = admission
        self.dispatcher = dispatcher
        self.intents = intents
        self.forwarder = forwarder
        self.quarantine = quarantine
        self.freshness = freshness
        self.clock = clock
        self.counters = counters
        self.recorder = recorder
        self.retry_budget = routing.RetryBudget()

    async def run(self, job: _try_state.Job) -> _try_state.RequestResult:
        """Run a request whose rate limit was checked; return its result."""
        progress = _try_state.RequestProgress(job)
        self.recorder.record_admission(job.request_id, job.admitted)
        self.retry_budget.record_request(job.admitted.service.name)
        try:
            while True:
                request_result = await self.run_attempt(progress)
                if request_result is not None:
                    return request_result
        except BaseException:
            await self.abandon_intent(progress)
            raise
        finally:
            if job.account_token is not None:
                job.account_token.refund()

    async def abandon_intent(
        self, progress: _try_state.RequestProgress
    ) -> None:
        """Settle the intent of a request without a known outcome.

        Otherwise copies of the request would wait for it, and the owner would
        never forget it.
        """
        job = progress.job
        if progress.intent_recorded and not progress.intent_settled:
            progress.intent_settled = True
            await self.intents.abandon(job.admitted.account, job.request_id)

    async def run_attempt(
        self, progress: _try_state.RequestProgress
    ) -> _try_state.RequestResult | None:
        """Make one attempt; return None if another one may follow."""
        job = progress.job
        assigned = await self.dispatcher.assign(
            self.make_dispatch_request(progress)
        )
        if isinstance(assigned, result.Err):
            return await self.end_not_run(progress, assigned.err_value)
        assignment = assigned.ok_value
        self.recorder.record_placement(job, assignment.placement)
        outcome: delivery.ForwardOutcome | None = None
        progress.sending = False
        started_at = self.clock.now()
        try:
            request_result = await self.prepare_attempt(progress)
            if request_result is not None:
                return request_result
            progress.sending = True
            started_at = self.clock.now()
            outcome = await self.send(progress, assignment)
        finally:
            if outcome is None or outcome.stream is None:
                self.release_slot(
                    assignment, outcome, started_at, progress.sending
                )
        return await self.handle_outcome(
            progress, assignment, outcome, started_at
        )

    def make_dispatch_request(
        self, progress: _try_state.RequestProgress
    ) -> routing.DispatchRequest:
        """Return the description of a request for the dispatcher."""
        job = progress.job
        admitted = job.admitted
        request_hash = routing.request_fingerprint(
            admitted.account, job.request_id, '', b''
        )
        return routing.DispatchRequest(
            service=admitted.service,
            client_account=admitted.account,
            weight=admitted.weight,
            hash_point=(int(request_hash, 16) & ((1 << 52) - 1)) / HASH_RANGE,
            deadline=admitted.deadline,
            request_bytes=len(job.body),
            excluded_servers=frozenset(progress.tried_servers),
            api_key_digest=admitted.credentials.digest,
        )

    async def prepare_attempt(
        self, progress: _try_state.RequestProgress
    ) -> _try_state.RequestResult | None:
        """Get a token and record the intent; a result ends the request."""
        job = progress.job
        if job.account_token is not None:
            # The token may have expired while the request was queued.
            time_left_s = job.admitted.deadline - self.clock.now()
            if not await job.account_token.acquire(
                min(_try_state.MAX_TOKEN_WAIT_S, max(0.0, time_left_s))
            ):
                return await self.end_not_run(
                    progress, _try_state.over_rate_failure(job.account_token)
                )
        return await self.record_intent(progress)

    async def record_intent(
        self, progress: _try_state.RequestProgress
    ) -> _try_state.RequestResult | None:
        """Record the intent of an at-most-once request before its first send.

        Returns a result if the request must not be sent.
        """
        job = progress.job
        if not job.admitted.at_most_once or progress.intent_recorded:
            return None
        begin_result = await self.intents.begin(
            job.admitted.account,
            job.request_id,
            job.request_digest,
            max(0.0, job.admitted.deadline - self.clock.now()),
        )
        if isinstance(begin_result, result.Err):
            return _try_state.RequestResult(failure=begin_result.err_value)
        if not begin_result.ok_value.should_run:
            return _try_state.RequestResult(
                stored_response=begin_result.ok_value.response
            )
        progress.intent_recorded = True
        return None

    async def send(
        self,
        progress: _try_state.RequestProgress,
        assignment: routing.Assignment,
    ) -> delivery.ForwardOutcome:
        """Send a request to the assigned backend server."""
        job = progress.job
        admitted = job.admitted
        sanitized = delivery.sanitize_request(
            admitted.credentials,
            admitted.raw.path,
            admitted.raw.query,
            admitted.raw.headers,
            job.body,
        )
        if isinstance(sanitized, result.Err):
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.NOT_SENT,
                False,
                failure=sanitized.err_value,
            )
        run_until = min(admitted.deadline, assignment.slot_hold.run_until)
        attempt = delivery.Attempt(
            server=assignment.server.address,
            method=admitted.raw.method,
            path=admitted.raw.path,
            query=admitted.raw.query,
            headers=sanitized.ok_value.headers,
            body=job.body,
            request_id=job.request_id,
            time_left_s=run_until - self.clock.now(),
        )
        running = self.counters.running.labels(admitted.service.name)
        running.inc()
        try:
            return await self.forwarder.send(
                attempt, lambda: self.check_before_send(job, run_until)
            )
        finally:
            running.dec()

    def check_before_send(
        self, job: _try_state.Job, run_until: float
    ) -> errors.Failure | None:
        """Return a failure if the request must not be sent any more.

        Called when the connection is ready.  The VM may have been suspended
        since the request was admitted, so what may have changed is checked
        again.
        """
        now = self.clock.now()
        if not self.freshness.is_fresh(now):
            return errors.Failure(
                errors.ErrorKind.NO_FRESH_CONFIG,
                'this VM cannot confirm its configuration',
                1.0,
            )
        if not self.admission.is_still_authorized(job.admitted, now):
            return errors.Failure(
                errors.ErrorKind.UNAUTHORIZED, 'the key was withdrawn'
            )
        if now >= run_until:
            return errors.Failure(
                errors.ErrorKind.OVERLOADED,
                'the deadline passed before the request was sent',
                1.0,
            )
        if job.account_token is not None and not job.account_token.spend():
            return _try_state.over_rate_failure(job.account_token)
        return None

    def release_slot(
        self,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome | None,
        started_at: float,
        sending: bool,
    ) -> None:
        """Release the slot and report the attempt to the dispatcher.

        Not called for a streamed response, which still uses its slot.
        ``outcome`` is None if nothing was sent or an exception was raised.
        """
        now = self.clock.now()
        if outcome is None:
            # If the exception came while sending, bytes may have been sent.
            attempt_outcome = (
                routing.AttemptOutcome.CANCELLED
                if sending
                else routing.AttemptOutcome.NOT_SENT
            )
            attempt_result = routing.AttemptResult(
                attempt_outcome, 0.0, 0, sending
            )
        else:
            rule = _try_state.OUTCOME_RULES[outcome.kind]
            attempt_outcome = rule.attempt_outcome
            if outcome.failure is not None:
                attempt_outcome = routing.AttemptOutcome.NOT_SENT
            attempt_result = routing.AttemptResult(
                attempt_outcome,
                now - started_at,
                len(outcome.body),
                rule.run_may_continue,
                _try_state.lowercase_header(outcome.headers, 'x-draining')
                == 'true',
            )
        self.dispatcher.finish(assignment, attempt_result, now)

    async def handle_outcome(
        self,
        progress: _try_state.RequestProgress,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome,
        started_at: float,
    ) -> _try_state.RequestResult | None:
        """Return the request's result, or None to make another attempt."""
        rule = _try_state.OUTCOME_RULES[outcome.kind]
        if rule.next_step is _try_state.NextStep.DONE:
            return await self.end_answered(
                progress, assignment, outcome, started_at
            )
        if outcome.failure is not None:
            return await self.end_not_run(progress, outcome.failure)
        progress.may_have_run |= rule.run_may_continue
        progress.tried_servers.add(assignment.server.name)
        # A server that crashes on a request has not begun its response.
        # Truncated responses must not count as crashes, or a request that
        # many callers send would be quarantined.
        crashed = outcome.kind is delivery.ForwardOutcomeKind.BROKEN
        if crashed and outcome.status == 0:
            self.record_strike(progress.job, assignment, started_at)
        if (
            rule.next_step is _try_state.NextStep.RETRY_OTHER_SERVER
            and outcome.sent
        ):
            # The server shed the request without running it, so its token
            # was not used.
            if progress.job.account_token is not None:
                progress.job.account_token.undo_spend()
        if self.may_retry(progress, rule.next_step):
            self.counters.events.labels(f'retry_{outcome.kind.name}').inc()
            return None
        if rule.next_step is _try_state.NextStep.RETRY_OTHER_SERVER:
            return await self.end_not_run(
                progress,
                errors.Failure(
                    rule.error_kind, 'no backend server took it', 0.5
                ),
            )
        return await self.end_unknown(progress, rule.error_kind)

    def may_retry(
        self,
        progress: _try_state.RequestProgress,
        next_step: _try_state.NextStep,
    ) -> bool:
        """Return whether another attempt may follow.

        Spends the service's retry budget if the request may have run.
        """
        if len(progress.tried_servers) >= MAX_ATTEMPTS:
            return False
        admitted = progress.job.admitted
        if next_step is _try_state.NextStep.RETRY_OTHER_SERVER:
            return True
        if (
            next_step is not _try_state.NextStep.RETRY_IF_IDEMPOTENT
            or admitted.at_most_once
        ):
            return False
        if progress.retry_spent or self.is_quarantined(progress.job):
            return False
        progress.retry_spent = self.retry_budget.try_spend(
            admitted.service.name
        )
        return progress.retry_spent

    def quarantine_fingerprint(self, job: _try_state.Job) -> str:
        """Return the fingerprint by which the quarantine counts strikes."""
        raw = job.admitted.raw
        target = f'{raw.path}?{raw.query}' if raw.query else raw.path
        return routing.request_fingerprint(
            job.admitted.account, raw.method, target, job.body
        )

    def is_quarantined(self, job: _try_state.Job) -> bool:
        """Return whether the request is quarantined now."""
        return (
            self.quarantine.quarantine_left_s(
                job.admitted.account,
                self.quarantine_fingerprint(job),
                self.clock.now(),
            )
            is not None
        )

    def record_strike(
        self,
        job: _try_state.Job,
        assignment: routing.Assignment,
        started_at: float,
    ) -> None:
        """Record that a connection broke while the request ran."""
        now = self.clock.now()
        self.quarantine.record_strike(
            job.admitted.account,
            self.quarantine_fingerprint(job),
            now,
            # The configuration does not tell the starts of a server.
            routing.Crash(assignment.server.name, 0, started_at, now),
        )

    async def end_not_run(
        self, progress: _try_state.RequestProgress, failure: errors.Failure
    ) -> _try_state.RequestResult:
        """End a request whose last attempt did not run and never will.

        If an earlier attempt may have run, the outcome is unknown instead.
        """
        job = progress.job
        if progress.may_have_run:
            return await self.end_unknown(
                progress, errors.ErrorKind.BACKEND_FAILED
            )
        if progress.intent_recorded:
            progress.intent_settled = True
            await self.intents.withdraw(job.admitted.account, job.request_id)
        return _try_state.RequestResult(failure=failure)

    async def end_unknown(
        self,
        progress: _try_state.RequestProgress,
        error_kind: errors.ErrorKind,
    ) -> _try_state.RequestResult:
        """End a request that may have run."""
        if progress.intent_recorded:
            await self.abandon_intent(progress)
            error_kind = errors.ErrorKind.OUTCOME_UNKNOWN
        return _try_state.RequestResult(
            failure=errors.Failure(
                error_kind, 'the backend server gave no answer'
            ),
            ran=errors.Ran.UNKNOWN,
        )

    async def end_answered(
        self,
        progress: _try_state.RequestProgress,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome,
        started_at: float,
    ) -> _try_state.RequestResult:
        """End a request with a response, or with the start of a streamed one.

        The slot of a streamed response is released by ``on_stream_end``.
        """
        job = progress.job
        headers = delivery.strip_response_headers(outcome.headers)
        if progress.intent_recorded:
            progress.intent_settled = True
            await self.intents.finish(
                job.admitted.account,
                job.request_id,
                delivery.StoredResponse(
                    outcome.status,
                    headers,
                    outcome.body,
                    outcome.stream is not None,
                ),
            )

        stream = outcome.stream

        def on_stream_end(size: int, complete: bool) -> None:
            if stream is not None:
                # The caller may have disconnected before the stream's end.
                stream.close()
            now = self.clock.now()
            attempt_outcome = (
                routing.AttemptOutcome.ANSWERED if complete
                else routing.AttemptOutcome.CANCELLED
            )  # fmt: skip
            attempt_result = routing.AttemptResult(
                attempt_outcome, now - started_at, size, not complete
            )
            self.dispatcher.finish(assignment, attempt_result, now)

        return _try_state.RequestResult(
            status=outcome.status,
            headers=headers,
            body=outcome.body,
            stream=stream,
            on_stream_end=None if stream is None else on_stream_end,
        )
