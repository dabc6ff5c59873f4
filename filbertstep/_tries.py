"""The tries of one request at backend servers.

A request that certainly did not run may be tried at another server.  One that
may have run is tried again only when it is idempotent, once, and inside the
service's retry budget.
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

# Servers that one request is sent to at most, those that shed it included.
MAX_TRIES: typing.Final = 4

# Denominator that turns a 52-bit hash into a number in [0, 1).
HASH_RANGE: typing.Final = float(1 << 52)


class Tries:
    """Assigns, records and sends requests."""

    def __init__(
        self,
        admission: _admission.Admission,
        dispatcher: routing.Dispatcher,
        intents: delivery.IntentSystem,
        forwarder: delivery.Forwarder,
        quarantine: routing.QuarantineSystem,
        freshness: systems.Freshness,
        ticks: clock.Clock,
        counters: metrics.Metrics,
        recorder: _recorder.Recorder,
    ) -> None:
        self.admission = admission
        self.dispatcher = dispatcher
        self.intents = intents
        self.forwarder = forwarder
        self.quarantine = quarantine
        self.freshness = freshness
        self.ticks = ticks
        self.counters = counters
        self.recorder = recorder
        self.retries = routing.RetryBudget()

    async def run(self, job: _try_state.Job) -> _try_state.Ended:
        """Try a request until it ends; the account's rate was checked."""
        progress = _try_state.Progress(job)
        self.recorder.admitted(job.request_id, job.admitted)
        self.retries.record_request(job.admitted.service.name)
        try:
            while True:
                ended = await self.try_once(progress)
                if ended is not None:
                    return ended
        except BaseException:
            await self.abandon(progress)
            raise
        finally:
            if job.token is not None:
                job.token.give_back()

    async def abandon(self, progress: _try_state.Progress) -> None:
        """Settle the intent of a request that ended by an exception.

        Otherwise its copies would wait for it, and its row would never be
        forgotten.
        """
        job = progress.job
        if progress.begun and not progress.settled:
            progress.settled = True
            await self.intents.abandon(job.admitted.account, job.request_id)

    async def try_once(
        self, progress: _try_state.Progress
    ) -> _try_state.Ended | None:
        """Do one try; None when another one may follow."""
        job = progress.job
        assigned = await self.dispatcher.assign(
            self.dispatch_request(progress)
        )
        if isinstance(assigned, result.Err):
            return await self.not_run(progress, assigned.err_value)
        assignment = assigned.ok_value
        self.recorder.placed(job, assignment.placement)
        outcome: delivery.ForwardOutcome | None = None
        progress.sending = False
        started = self.ticks.now()
        try:
            ended = await self.prepare(progress)
            if ended is not None:
                return ended
            progress.sending = True
            started = self.ticks.now()
            outcome = await self.send(progress, assignment)
        finally:
            if outcome is None or outcome.stream is None:
                self.finish(assignment, outcome, started, progress.sending)
        return await self.settle(progress, assignment, outcome, started)

    def dispatch_request(
        self, progress: _try_state.Progress
    ) -> routing.DispatchRequest:
        """Return what the dispatcher needs to know about a request."""
        job = progress.job
        admitted = job.admitted
        mark = routing.request_fingerprint(
            admitted.account, job.request_id, '', b''
        )
        return routing.DispatchRequest(
            service=admitted.service,
            client_account=admitted.account,
            weight=admitted.weight,
            hash_point=(int(mark, 16) & ((1 << 52) - 1)) / HASH_RANGE,
            deadline=admitted.deadline,
            request_bytes=len(job.body),
            excluded_servers=frozenset(progress.tried),
            api_key_digest=admitted.credentials.digest,
        )

    async def prepare(
        self, progress: _try_state.Progress
    ) -> _try_state.Ended | None:
        """Do what must precede a send; the result ends the request."""
        job = progress.job
        if job.token is not None:
            # The request may have waited in the queue for longer than its
            # token was good for.
            left = job.admitted.deadline - self.ticks.now()
            if not await job.token.take(
                min(_try_state.TOKEN_WAIT_S, max(0.0, left))
            ):
                return await self.not_run(
                    progress, _try_state.over_rate(job.token)
                )
        return await self.begin(progress)

    async def begin(
        self, progress: _try_state.Progress
    ) -> _try_state.Ended | None:
        """Have a tracked request recorded before its first send."""
        job = progress.job
        if not job.admitted.tracked or progress.begun:
            return None
        begun = await self.intents.begin(
            job.admitted.account,
            job.request_id,
            job.digest,
            max(0.0, job.admitted.deadline - self.ticks.now()),
        )
        if isinstance(begun, result.Err):
            return _try_state.Ended(failure=begun.err_value)
        if not begun.ok_value.should_run:
            return _try_state.Ended(stored=begun.ok_value.response)
        progress.begun = True
        return None

    async def send(
        self, progress: _try_state.Progress, assignment: routing.Assignment
    ) -> delivery.ForwardOutcome:
        """Send a request to the assigned server."""
        job = progress.job
        admitted = job.admitted
        scrubbed = delivery.sanitize_request(
            admitted.credentials,
            admitted.raw.path,
            admitted.raw.query,
            admitted.raw.headers,
            job.body,
        )
        if isinstance(scrubbed, result.Err):
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.NOT_SENT,
                False,
                failure=scrubbed.err_value,
            )
        end = min(admitted.deadline, assignment.slot_hold.run_until)
        attempt = delivery.Attempt(
            server=assignment.server.address,
            method=admitted.raw.method,
            path=admitted.raw.path,
            query=admitted.raw.query,
            headers=scrubbed.ok_value.headers,
            body=job.body,
            request_id=job.request_id,
            time_left_s=end - self.ticks.now(),
        )
        running = self.counters.running.labels(admitted.service.name)
        running.inc()
        try:
            return await self.forwarder.send(
                attempt, lambda: self.may_send(job, end)
            )
        finally:
            running.dec()

    def may_send(
        self, job: _try_state.Job, end: float
    ) -> errors.Failure | None:
        """Check once more, with the connection ready, what may have changed.

        The VM may have been frozen since the request was admitted.
        """
        now = self.ticks.now()
        if not self.freshness.is_fresh(now):
            return errors.Failure(
                errors.ErrorKind.NO_FRESH_CONFIG,
                'this VM cannot confirm its configuration',
                1.0,
            )
        if not self.admission.still_allowed(job.admitted, now):
            return errors.Failure(
                errors.ErrorKind.UNAUTHORIZED, 'the key was withdrawn'
            )
        if now >= end:
            return errors.Failure(
                errors.ErrorKind.OVERLOADED,
                'the deadline passed before the request was sent',
                1.0,
            )
        if job.token is not None and not job.token.spend():
            return _try_state.over_rate(job.token)
        return None

    def finish(
        self,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome | None,
        started: float,
        sending: bool,
    ) -> None:
        """Release the slot; without an outcome nothing was answered."""
        now = self.ticks.now()
        if outcome is None:
            # Cancelled while sending: bytes may have gone out.
            observed = (
                routing.AttemptOutcome.CANCELLED
                if sending
                else routing.AttemptOutcome.NOT_SENT
            )
            seen = routing.AttemptResult(observed, 0.0, 0, sending)
        else:
            rule = _try_state.RULES[outcome.kind]
            observed = rule.observed
            if outcome.failure is not None:
                observed = routing.AttemptOutcome.NOT_SENT
            seen = routing.AttemptResult(
                observed,
                now - started,
                len(outcome.body),
                rule.run_may_continue,
                _try_state.header(outcome.headers, 'x-draining') == 'true',
            )
        self.dispatcher.finish(assignment, seen, now)

    async def settle(
        self,
        progress: _try_state.Progress,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome,
        started: float,
    ) -> _try_state.Ended | None:
        """Decide what follows a try."""
        rule = _try_state.RULES[outcome.kind]
        if rule.following is _try_state.Next.DONE:
            return await self.answered(progress, assignment, outcome, started)
        if outcome.failure is not None:
            return await self.not_run(progress, outcome.failure)
        progress.may_have_run |= rule.run_may_continue
        progress.tried.add(assignment.server.name)
        # A server that crashes on a request has not begun to answer it; cut
        # answers must not quarantine a request that many callers send.
        crashed = outcome.kind is delivery.ForwardOutcomeKind.BROKEN
        if crashed and outcome.status == 0:
            self.strike(progress.job)
        if rule.following is _try_state.Next.OTHER_SERVER and outcome.sent:
            # Shed: the server did not run it, so its token is not used up.
            if progress.job.token is not None:
                progress.job.token.unspend()
        if self.may_follow(progress, rule.following):
            self.counters.events.labels(f'retry_{outcome.kind.name}').inc()
            return None
        if rule.following is _try_state.Next.OTHER_SERVER:
            return await self.not_run(
                progress,
                errors.Failure(rule.kind, 'no backend server took it', 0.5),
            )
        return await self.unknown(progress, rule.kind)

    def may_follow(
        self, progress: _try_state.Progress, following: _try_state.Next
    ) -> bool:
        """Tell whether another try may follow."""
        if len(progress.tried) >= MAX_TRIES:
            return False
        admitted = progress.job.admitted
        if following is _try_state.Next.OTHER_SERVER:
            return True
        if (
            following is not _try_state.Next.REPEAT_IDEMPOTENT
            or admitted.tracked
        ):
            return False
        if progress.repeated or self.quarantined(progress.job):
            return False
        progress.repeated = self.retries.try_spend(admitted.service.name)
        return progress.repeated

    def fingerprint(self, job: _try_state.Job) -> str:
        """Return the fingerprint that strikes are counted by."""
        raw = job.admitted.raw
        target = f'{raw.path}?{raw.query}' if raw.query else raw.path
        return routing.request_fingerprint(
            job.admitted.account, raw.method, target, job.body
        )

    def quarantined(self, job: _try_state.Job) -> bool:
        """Tell whether the request is quarantined by now."""
        return (
            self.quarantine.quarantine_left_s(
                job.admitted.account, self.fingerprint(job), self.ticks.now()
            )
            is not None
        )

    def strike(self, job: _try_state.Job) -> None:
        """Count a connection that broke while the request ran."""
        self.quarantine.record_strike(
            job.admitted.account, self.fingerprint(job), self.ticks.now()
        )

    async def not_run(
        self, progress: _try_state.Progress, failure: errors.Failure
    ) -> _try_state.Ended:
        """End a request whose last try was not run and never will be."""
        job = progress.job
        if progress.may_have_run:
            return await self.unknown(
                progress, errors.ErrorKind.BACKEND_FAILED
            )
        if progress.begun:
            progress.settled = True
            await self.intents.withdraw(job.admitted.account, job.request_id)
        return _try_state.Ended(failure=failure)

    async def unknown(
        self, progress: _try_state.Progress, kind: errors.ErrorKind
    ) -> _try_state.Ended:
        """End a request that may have run."""
        if progress.begun:
            await self.abandon(progress)
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        return _try_state.Ended(
            failure=errors.Failure(kind, 'the backend server gave no answer'),
            ran=errors.Ran.UNKNOWN,
        )

    async def answered(
        self,
        progress: _try_state.Progress,
        assignment: routing.Assignment,
        outcome: delivery.ForwardOutcome,
        started: float,
    ) -> _try_state.Ended:
        """End a request that has its answer, or the start of it."""
        job = progress.job
        headers = delivery.strip_response_headers(outcome.headers)
        if progress.begun:
            progress.settled = True
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

        def stream_ended(size: int, complete: bool) -> None:
            if stream is not None:
                # A caller that left early has not read it to its end.
                stream.close()
            now = self.ticks.now()
            observed = (
                routing.AttemptOutcome.ANSWERED if complete
                else routing.AttemptOutcome.CANCELLED
            )  # fmt: skip
            seen = routing.AttemptResult(
                observed, now - started, size, not complete
            )
            self.dispatcher.finish(assignment, seen, now)

        return _try_state.Ended(
            status=outcome.status,
            headers=headers,
            body=outcome.body,
            stream=stream,
            stream_ended=None if stream is None else stream_ended,
        )
