"""Handling of a caller's request on this VM, from admission to the reply.

The steps are: find the route and client account, take a rate token, reserve a
slot on a backend server, send the request, retry if allowed, and log the
reply.  ``_tries`` sends the individual attempts.
"""

import asyncio
import collections.abc
import typing

from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _messages
from filbertstep.entry import _state
from filbertstep.entry import _tries

ErrorKind = errors.ErrorKind
OutcomeKind = delivery.ForwardOutcomeKind

# After a longer wait the answer would hardly meet the latency target, and the
# caller can use the remaining time on another VM.
MAX_WAIT_FRACTION_OF_TARGET: typing.Final = 0.5

# A request whose estimated wait in its own region is at least this fraction of
# the target latency may go to another region.
OVERFLOW_WAIT_FRACTION_OF_TARGET: typing.Final = 0.25

# A replica that is too old and a service without usable servers both mostly
# recover within a second.
STALE_REPLICA_RETRY_AFTER_S: typing.Final = 0.5
NO_SERVER_RETRY_AFTER_S: typing.Final = 0.5

PEER_TOKEN_WAIT_S: typing.Final = 0.2

# Applies to requests without a deadline header.
DEFAULT_DEADLINE_S: typing.Final = 30.0

# An attempt with less time left has no use.
MIN_ATTEMPT_S: typing.Final = 0.05

RequestPeerTokens = collections.abc.Callable[
    [steering.ClientAccount], collections.abc.Awaitable[float]
]


class BegunWait(typing.NamedTuple):
    """A request that is about to wait for a slot.

    ``best`` is the best server now.  The wait ends at ``wait_end``, or before
    if this VM stops.
    """

    waiter: steering.WaitingRequest
    best: steering.Candidate
    wait_end: float


class RequestHandler:
    """Admits callers' requests and sends them to backend servers."""

    def __init__(
        self,
        state: _state.State,
        attempt_sender: _tries.AttemptSender,
        counters: metrics.Metrics,
        request_peer_tokens: RequestPeerTokens,
    ) -> None:
        self.state = state
        self.clock = state.clock
        self.attempt_sender = attempt_sender
        self.counters = counters
        self.request_peer_tokens = request_peer_tokens
        # Requests refused because this VM stops.
        self.stop_refusals = 0
        # Requests without an answer of a server when this VM exits.
        self.stop_interruptions = 0
        self.overloads = steering.OverloadTable()

    def has_non_idempotent_in_flight(self, request_id: str) -> bool:
        """Return whether this id is of a non-idempotent request in flight."""
        return request_id in self.attempt_sender.non_idempotent_in_flight

    def is_sent(self, request_id: str) -> bool:
        """Return whether a server may have this request and still run it."""
        return self.attempt_sender.forwarder.has_sent(request_id)

    async def serve(
        self,
        call: _messages.Call,
        read_body: collections.abc.Callable[
            [], collections.abc.Awaitable[bytes | errors.Failure]
        ],
    ) -> _messages.Reply:
        """Handle a request and return the reply.

        ``read_body`` returns a failure if this VM cannot hold the body.
        """
        admitted = self.admit(call)
        if isinstance(admitted, _messages.Reply):
            return self.record_reply(call, admitted, None)
        body = await read_body()
        if isinstance(body, errors.Failure):
            refused = _messages.failure_reply(
                body.kind, body.message, body.retry_after_s
            )
            return self.record_reply(call, refused, admitted)
        refusal = self.check_quarantine(admitted, body)
        if refusal is None:
            refusal = await self.take_token(admitted)
        if refusal is not None:
            return self.record_reply(call, refusal, admitted)
        self.state.retry_budget.record_request(
            admitted.service, self.clock.now()
        )
        reply = await self.send_until_answered(admitted, body)
        self.refund_token(admitted, reply)
        return self.record_reply(call, reply, admitted)

    def admit(
        self, call: _messages.Call
    ) -> _messages.Admitted | _messages.Reply:
        """Find the route and client account of a request.

        Returns a failure reply if the request is refused.
        """
        state, now = self.state, self.clock.now()
        if not state.stop.rules(now).accepts:
            return self.refuse_stopping()
        configuration, routes = state.configuration, state.routes
        if configuration is None or routes is None:
            return _messages.failure_reply(
                ErrorKind.NO_FRESH_CONFIG,
                'no configuration is known',
                STALE_REPLICA_RETRY_AFTER_S,
            )
        route = routes.find(call.host, call.path.partition('?')[0])
        if route is None:
            return self.refuse_unknown(ErrorKind.NOT_FOUND, 'no route matches')
        account: steering.ClientAccount | None = None
        if configuration.accounts and not route.public:
            if not state.may_accept_keys(now):
                return _messages.failure_reply(
                    ErrorKind.NO_FRESH_CONFIG,
                    'keys cannot be checked: the store is out of reach',
                    STALE_REPLICA_RETRY_AFTER_S,
                )
            account = routes.accounts_by_key.get(call.key or '')
            if account is None:
                return self.refuse_unknown(
                    ErrorKind.UNAUTHORIZED, 'unknown key'
                )
        allowed_regions = intersect_home_regions(route, account)
        service = state.splits.choose_service(route)
        return _messages.Admitted(
            call,
            route,
            account,
            service,
            allowed_regions,
            min(call.deadline, call.arrived_at + route.timeout_s),
            # Requests limited to home regions may be placed in any of these;
            # only the others follow the split over regions.
            state.regions.choose_region(
                service, call.affinity_key if route.sticky else '', now
            )
            if allowed_regions is None
            else None,
        )

    def refuse_unknown(self, kind: ErrorKind, message: str) -> _messages.Reply:
        """Return the failure reply for an unknown route or API key.

        While the replica may lack a recent change, the reply is a temporary
        failure instead of ``kind``.
        """
        if self.state.can_confirm_missing(self.clock.now()):
            return _messages.failure_reply(kind, message)
        return _messages.failure_reply(
            ErrorKind.NO_FRESH_CONFIG,
            f'{message} in a configuration that may be old',
            STALE_REPLICA_RETRY_AFTER_S,
        )

    def check_quarantine(
        self, admitted: _messages.Admitted, body: bytes
    ) -> _messages.Reply | None:
        """Return a failure reply if the request is quarantined, else None."""
        left_s = self.state.strikes.quarantine_left_s(admitted, body)
        if left_s is None:
            return None
        return _messages.failure_reply(
            ErrorKind.QUARANTINED,
            'the request ended each server that ran it',
            round(left_s, 1),
        )

    async def take_token(
        self, admitted: _messages.Admitted
    ) -> _messages.Reply | None:
        """Take one token from the account's rate limit.

        If this VM has none, peers are asked.  Returns a failure reply if no
        token was available in time, else None.
        """
        account = admitted.account
        if account is None:
            return None
        quotas = self.state.quotas
        if quotas.try_take(account, self.clock.now()):
            return None
        try:
            async with asyncio.timeout(PEER_TOKEN_WAIT_S):
                # Requests of the account that wait share the answers, so the
                # tokens of one may be gone.
                while await self.request_peer_tokens(account) > 0.0:
                    if quotas.try_take(account, self.clock.now(), False):
                        return None
        except TimeoutError:
            # The request to the peers continues; tokens that arrive later are
            # available to later requests.
            pass
        now = self.clock.now()
        if quotas.try_take(account, now, False):
            return None
        return self.refuse_over_rate(account, now)

    def refuse_over_rate(
        self, account: steering.ClientAccount, now: float
    ) -> _messages.Reply:
        """Return the failure reply for a request without a rate token."""
        return _messages.failure_reply(
            ErrorKind.OVER_RATE,
            'the client account is over its rate',
            _messages.clamp_retry_after(
                self.state.quotas.token_wait_s(account, now)
            ),
        )

    def refund_token(
        self, admitted: _messages.Admitted, reply: _messages.Reply
    ) -> None:
        """Return the rate token of a request that certainly did not run."""
        if admitted.account is None or reply.failure is None:
            return
        if errors.ANSWERS[reply.failure.kind].ran is errors.Ran.NO:
            self.state.quotas.refund(admitted.account, self.clock.now())

    async def send_until_answered(
        self, admitted: _messages.Admitted, body: bytes
    ) -> _messages.Reply:
        """Send attempts until a server answers or no retry is allowed."""
        attempts: list[_tries.FinishedAttempt] = []
        while True:
            query = placement_query(
                admitted,
                frozenset(
                    attempt.candidate.server.entry.server_id
                    for attempt in attempts
                ),
            )
            candidate = await self.reserve_server(admitted, query)
            if isinstance(candidate, _messages.Reply):
                if not attempts:
                    return candidate
                return self.final_reply(admitted, attempts, candidate)
            if attempts and not self.state.retry_budget.try_take(
                admitted.service, self.clock.now()
            ):
                candidate.server.in_progress -= 1
                return self.final_reply(admitted, attempts, None)
            finished = await self.attempt_sender.run(
                admitted, query, candidate, body, bool(attempts)
            )
            attempts += finished
            self.record_strikes(admitted, body, finished)
            if (
                not self.may_retry(admitted, finished[-1], attempts)
                or self.state.strikes.quarantine_left_s(admitted, body)
                is not None
            ):
                return self.final_reply(admitted, attempts, None)

    def record_strikes(
        self,
        admitted: _messages.Admitted,
        body: bytes,
        finished: list[_tries.FinishedAttempt],
    ) -> None:
        """Record the crashes that connections without an answer tell of.

        A successful answer is recorded too and clears earlier strikes.
        """
        for attempt in finished:
            outcome = attempt.outcome
            if outcome.kind is OutcomeKind.BROKEN and not outcome.status:
                self.state.strikes.record_strike(
                    admitted, body, attempt.crash()
                )
            elif _tries.is_success(outcome):
                self.state.strikes.record_answer(admitted, body)

    async def reserve_server(
        self, admitted: _messages.Admitted, query: steering.PlacementQuery
    ) -> steering.Candidate | _messages.Reply:
        """Reserve a slot on a server, waiting for one if necessary.

        Returns the reserved candidate, or a failure reply if no slot becomes
        free in time.
        """
        wait_until = self.wait_until(admitted)
        while True:
            now = self.clock.now()
            begun = self.begin_reservation(admitted, query, wait_until, now)
            if not isinstance(begun, BegunWait):
                return begun
            reserved = await self.wait_for_slot(
                admitted, begun.waiter, begun.best, now
            )
            ended = self.end_wait(admitted, begun, reserved, self.clock.now())
            if ended is not None:
                return ended
            # No server of the query wants the request any more, but those of
            # another region may.

    def wait_until(self, admitted: _messages.Admitted) -> float:
        """Return when the wait of a request without a cost ends."""
        return min(
            self.clock.now() + max_slot_wait_s(admitted),
            admitted.deadline - MIN_ATTEMPT_S,
        )

    def begin_reservation(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        wait_until: float,
        now: float,
    ) -> steering.Candidate | _messages.Reply | BegunWait:
        """Reserve a slot that is free, refuse the request, or let it wait."""
        max_wait_s = max_slot_wait_s(admitted)
        best, placed_query = self.find_candidate(admitted, query, now)
        if best is None:
            return self.refuse_no_server(admitted, now)
        if admitted.deadline - now < MIN_ATTEMPT_S:
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'no time is left',
                _messages.MIN_RETRY_AFTER_S,
            )
        if best.can_send_now and not self.state.wait_queue.length(
            query.service
        ):
            steering.reserve_slot(best, now)
            return best
        cost = self.request_cost(admitted, best, wait_until, now)
        if (
            cost is None
            and not best.can_send_now
            and best.slot_wait_s > max_wait_s
        ):
            return self.refuse_no_slot(admitted, best.slot_wait_s)
        wait_end = self.before_exit(
            wait_until if cost is None else cost.latest_start
        )
        waiter = steering.WaitingRequest(
            placed_query,
            effective_priority(admitted),
            now,
            admitted.call.arrived_at + admitted.route.target_s,
            wait_end,
            cost,
            self.before_exit(wait_until),
        )
        return BegunWait(waiter, best, wait_end)

    def end_wait(
        self,
        admitted: _messages.Admitted,
        begun: BegunWait,
        reserved: steering.Candidate | None,
        now: float,
    ) -> steering.Candidate | _messages.Reply | None:
        """Return what a wait led to, None if servers are compared again."""
        waiter = begun.waiter
        if reserved is not None:
            return reserved
        if waiter.retry_after_s is not None:
            return self.refuse_no_slot(admitted, waiter.retry_after_s)
        if now >= min(waiter.deadline, self.before_exit(begun.wait_end)):
            return self.refuse_no_slot(admitted, begun.best.slot_wait_s)
        return None

    async def wait_for_slot(
        self,
        admitted: _messages.Admitted,
        waiter: steering.WaitingRequest,
        best: steering.Candidate,
        now: float,
    ) -> steering.Candidate | None:
        """Wait in the queue of the service for a slot.

        ``best`` is the best server now.  Returns the reserved candidate, or
        None if there is none until the deadline of the waiting request, if no
        server wants any request, or if the request is rejected.
        """
        state = self.state
        self.counters.waits.labels(
            admitted.service, str(effective_priority(admitted))
        ).inc()
        state.wait_queue.start_wait(waiter, best, now)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                abandoned = waiter.future.result()
                if abandoned is not None:
                    abandoned.server.in_progress -= 1
            raise
        finally:
            state.wait_queue.discard(waiter)

    def request_cost(
        self,
        admitted: _messages.Admitted,
        best: steering.Candidate,
        wait_until: float,
        now: float,
    ) -> steering.RequestCost | None:
        """Return what a request is worth and takes on its best server.

        It does not wait longer than ``wait_until``, however long its caller
        would: a late answer is worth little, and takes the slot in which
        another request would be on time.  The result is None if the order by
        cost does not apply, or a figure is wrong.
        """
        if not self.state.wait_queue.plans(admitted.service, now):
            return None
        cost = steering.make_cost(
            admitted.route,
            admitted.account,
            steering.urgency_rank(
                admitted.route.priority,
                admitted.account.priority if admitted.account else None,
            ),
            admitted.call.arrived_at,
            admitted.deadline,
            best.run_s / best.server.slowdown,
            best.run_s,
            MIN_ATTEMPT_S,
        )
        if cost is None:
            return None
        latest_start = min(cost.latest_start, wait_until)
        return cost._replace(
            latest_start=latest_start, due=min(cost.due, latest_start)
        )

    def before_exit(self, wait_until: float) -> float:
        """Return ``wait_until``, or the last useful time before the exit."""
        return min(wait_until, self.state.stop.runs_until - MIN_ATTEMPT_S)

    def find_candidate(
        self,
        admitted: _messages.Admitted,
        query: steering.PlacementQuery,
        now: float,
    ) -> tuple[steering.Candidate | None, steering.PlacementQuery]:
        """Return the best server and the placement query that found it.

        Servers of the request's region are preferred.  Another region is used
        if this one has no usable server left, or, for a limited number of
        requests, if the wait for a slot here is too long or all servers here
        asked for a pause.
        """
        placement = self.state.placement
        max_wait_s = max_slot_wait_s(admitted)
        best = placement.best_candidate(query, now, max_wait_s)
        if query.region is None:
            return best, query
        if best is not None and (
            best.can_send_now
            or best.slot_wait_s
            < OVERFLOW_WAIT_FRACTION_OF_TARGET * admitted.route.target_s
        ):
            return best, query
        anywhere = query._replace(region=None)
        elsewhere = placement.best_candidate(anywhere, now, max_wait_s)
        # Pauses end, so they must not move all requests of a region at once.
        limited = best is not None or (
            now < placement.accepting_from(query, now) < float('inf')
        )
        if elsewhere is None or (
            best is not None and not elsewhere.can_send_now
        ):
            return best, query
        if limited and not self.state.regions.try_overflow(query.service, now):
            return best, query
        return elsewhere, anywhere

    def refuse_no_server(
        self, admitted: _messages.Admitted, now: float
    ) -> _messages.Reply:
        """Return the failure reply for a request that no server can take."""
        pause_s = self.remaining_pause_s(admitted, now)
        if pause_s <= 0.0 and self.state.stop.interrupts(admitted.deadline):
            # Other VMs have more time for the same servers.
            return self.refuse_stopping()
        if not 0.0 < pause_s < float('inf'):
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'no server can take the request',
                NO_SERVER_RETRY_AFTER_S,
            )
        return _messages.failure_reply(
            ErrorKind.NO_ROOM,
            'all servers asked for a pause',
            _messages.clamp_retry_after(pause_s),
        )

    def remaining_pause_s(
        self, admitted: _messages.Admitted, now: float
    ) -> float:
        """Return the shortest pause that the servers of a request asked for.

        It is 0 if one of them asked for none, and infinite without servers.
        """
        query = steering.PlacementQuery(
            admitted.route, admitted.service, '', admitted.allowed_regions
        )
        return self.state.placement.accepting_from(query, now) - now

    def refuse_no_slot(
        self, admitted: _messages.Admitted, slot_wait_s: float
    ) -> _messages.Reply:
        """Return the failure reply for a request without a slot in time."""
        self.record_rejection(admitted)
        return _messages.failure_reply(
            ErrorKind.NO_ROOM,
            'no slot becomes free in time',
            _messages.clamp_retry_after(slot_wait_s),
        )

    def record_rejection(self, admitted: _messages.Admitted) -> None:
        """Count a request without a slot; log the begin of an overload."""
        service, now = admitted.service, self.clock.now()
        self.counters.rejected_overload.labels(
            service, str(effective_priority(admitted))
        ).inc()
        if self.overloads.record_rejection(service, now):
            self.state.log.write(
                'overload',
                service=service,
                entered=True,
                waiting=self.state.wait_queue.length(service),
                slots=self.state.wait_queue.known_slots(service),
            )

    def log_ended_overloads(self, now: float) -> None:
        """Log which services have left overload."""
        for service, lasted_s, rejected in self.overloads.ended(now):
            self.state.log.write(
                'overload',
                service=service,
                entered=False,
                lasted_s=round(lasted_s, 3),
                rejected=rejected,
            )

    def refuse_stopping(self) -> _messages.Reply:
        """Return the failure reply while this VM stops and others serve."""
        self.stop_refusals += 1
        return _messages.failure_reply(
            ErrorKind.STOPPING, 'this VM stops', _messages.MIN_RETRY_AFTER_S
        )

    def may_retry(
        self,
        admitted: _messages.Admitted,
        last: _tries.FinishedAttempt,
        attempts: list[_tries.FinishedAttempt],
    ) -> bool:
        """Return whether the request may be sent to another server."""
        outcome = last.outcome
        if outcome.kind is OutcomeKind.CANCELLED:
            return False
        if _tries.certainly_not_run(outcome):
            pass
        elif outcome.kind is OutcomeKind.ANSWERED:
            if outcome.status not in _tries.SERVER_FAILURE_STATUSES:
                return False
            if not admitted.route.idempotent:
                return False
        elif not admitted.route.idempotent:
            return False
        sends = sum(
            attempt.outcome.kind is not OutcomeKind.NOT_SENT
            for attempt in attempts
        )
        time_left_s = admitted.deadline - self.clock.now()
        return (
            sends < admitted.route.max_attempts and time_left_s > MIN_ATTEMPT_S
        )

    def final_reply(
        self,
        admitted: _messages.Admitted,
        attempts: list[_tries.FinishedAttempt],
        no_server_reply: _messages.Reply | None,
    ) -> _messages.Reply:
        """Return the reply to the caller after the last attempt.

        ``no_server_reply`` is the failure reply if no further server could be
        reserved, else None.
        """
        # Prefer a server's own answer to a failure reply of this system.
        answers = [
            attempt.outcome
            for attempt in attempts
            if _tries.may_pass_on(attempt.outcome, admitted.route.idempotent)
        ]
        answer = answers[-1] if answers else None
        for attempt in attempts:
            stream = attempt.outcome.stream
            if stream is not None and attempt.outcome is not answer:
                stream.close()
        if answer is not None:
            return _messages.Reply(
                answer.status,
                tuple(_messages.end_to_end_headers(answer.headers)),
                answer.body,
                answer.stream,
            )
        if all(
            _tries.certainly_not_run(attempt.outcome) for attempt in attempts
        ):
            if no_server_reply is not None:
                return no_server_reply
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'the servers that were tried did not take the request',
                _messages.clamp_retry_after(
                    self.remaining_pause_s(admitted, self.clock.now())
                ),
            )
        last = attempts[-1].outcome
        if last.kind is OutcomeKind.TIMED_OUT and self.state.stop.interrupts(
            admitted.deadline
        ):
            self.stop_interruptions += 1
            return _messages.failure_reply(
                ErrorKind.INTERRUPTED, 'this VM stops before an answer'
            )
        if last.kind is OutcomeKind.TIMED_OUT:
            return _messages.failure_reply(
                ErrorKind.DEADLINE_EXCEEDED, 'no answer within the time'
            )
        return _messages.failure_reply(
            ErrorKind.BACKEND_FAILED,
            f'the server failed: {last.message or last.status}',
        )

    def record_reply(
        self,
        call: _messages.Call,
        reply: _messages.Reply,
        admitted: _messages.Admitted | None,
    ) -> _messages.Reply:
        """Count and log a reply, and return it."""
        took_s = self.clock.now() - call.arrived_at
        service = admitted.service if admitted else ''
        account = (
            admitted.account.name if (admitted and admitted.account) else ''
        )
        outcome = reply.failure.kind.value if reply.failure else 'ok'
        if reply.failure is None and reply.status >= 500:
            outcome = 'server_failed'
        self.counters.requests.labels(service, account, outcome).inc()
        self.counters.latency.labels(service).observe(took_s)
        age = self.state.replica.documents_age(self.clock.now())
        configuration = self.state.configuration
        self.state.log.write(
            'answer' if outcome == 'ok' else 'failure',
            id=call.request_id,
            route=admitted.route.name if admitted else None,
            account=account or None,
            status=reply.status,
            outcome=outcome,
            message=reply.failure.message if reply.failure else None,
            retry_after_s=reply.failure.retry_after_s
            if reply.failure
            else None,
            took_s=round(took_s, 3),
            left_s=round(call.deadline - call.arrived_at - took_s, 3),
            version=configuration.version if configuration else None,
            age_s=None if age == float('inf') else round(age, 3),
        )
        return reply


def placement_query(
    admitted: _messages.Admitted, tried_servers: frozenset[str] = frozenset()
) -> steering.PlacementQuery:
    """Return the query for the server of a request's next attempt."""
    return steering.PlacementQuery(
        admitted.route,
        admitted.service,
        admitted.call.affinity_key if admitted.route.sticky else '',
        admitted.allowed_regions,
        tried_servers,
        admitted.region,
        admitted.deadline,
    )


def max_slot_wait_s(admitted: _messages.Admitted) -> float:
    """Return how long in seconds a request may wait for a slot."""
    return MAX_WAIT_FRACTION_OF_TARGET * admitted.route.target_s


def effective_priority(admitted: _messages.Admitted) -> int:
    """Return the account's priority if it has one, else the route's."""
    account = admitted.account
    if account is not None and account.priority is not None:
        return account.priority
    return admitted.route.priority


def intersect_home_regions(
    route: steering.Route, account: steering.ClientAccount | None
) -> frozenset[str] | None:
    """Return the regions that may serve a request, None for all.

    If both the route and the account have home regions, a region must be in
    both sets; the intersection may be empty.
    """
    sets = [route.home_regions] if route.home_regions else []
    if account is not None and account.home_regions:
        sets.append(account.home_regions)
    if not sets:
        return None
    return frozenset.intersection(*sets)
