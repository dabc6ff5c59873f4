"""The way of a request through a VM: admission, placement, conclusion.

``_tries`` sends it to backend servers.
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
OutcomeKind = delivery.OutcomeKind

# Part of a route's target that a request may wait on this VM for a slot.
# Later, its answer would hardly meet the target, and the caller can use the
# time that is left elsewhere.
MAX_WAIT_FRACTION_OF_TARGET: typing.Final = 0.5

# Part of a route's target that a request waits in its region before another
# region is considered.
OVERFLOW_WAIT_FRACTION_OF_TARGET: typing.Final = 0.25

# Retry-After in seconds while this VM's knowledge is too old, and while no
# server may get requests; both mostly end within a second.
STALE_REPLICA_RETRY_AFTER_S: typing.Final = 0.5
NO_SERVER_RETRY_AFTER_S: typing.Final = 0.5

# Time in seconds for which a request waits for tokens from peers.
PEER_TOKEN_WAIT_S: typing.Final = 0.2

# Time in seconds assumed for a request whose caller names no deadline.
DEFAULT_DEADLINE_S: typing.Final = 30.0

# Time in seconds that a try needs at least to be of any use.
MIN_ATTEMPT_S: typing.Final = 0.05

RequestPeerTokens = collections.abc.Callable[
    [steering.ClientAccount], collections.abc.Awaitable[float]
]


class RequestHandler:
    """Admits, places and forwards the requests of one VM."""

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

    def has_non_idempotent_in_flight(self, request_id: str) -> bool:
        """Tell whether a server has a request that may run once only."""
        return request_id in self.attempt_sender.non_idempotent_in_flight

    async def serve(
        self,
        call: _messages.Call,
        read_body: collections.abc.Callable[
            [], collections.abc.Awaitable[bytes | None]
        ],
    ) -> _messages.Reply:
        """Answer a request; ``read_body`` yields None for too large a body."""
        admitted = self.admit(call)
        if isinstance(admitted, _messages.Reply):
            return self.record_reply(call, admitted, None)
        body = await read_body()
        if body is None:
            large = _messages.failure_reply(
                ErrorKind.BODY_TOO_LARGE, 'the body is too large'
            )
            return self.record_reply(call, large, admitted)
        refused = self.check_quarantine(admitted, body)
        if refused is None:
            refused = await self.take_token(admitted)
        if refused is not None:
            return self.record_reply(call, refused, admitted)
        self.state.retry_budget.record_request(
            admitted.service, self.clock.now()
        )
        reply = await self.send_until_answered(admitted, body)
        self.refund_token(admitted, reply)
        return self.record_reply(call, reply, admitted)

    def admit(
        self, call: _messages.Call
    ) -> _messages.Admitted | _messages.Reply:
        """Find the route and the account, or refuse."""
        state, now = self.state, self.clock.now()
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
            # Homes leave no choice that could be kept steady.
            state.regions.choose_region(
                service, call.affinity_key if route.sticky else '', now
            )
            if allowed_regions is None
            else None,
        )

    def refuse_unknown(self, kind: ErrorKind, message: str) -> _messages.Reply:
        """Refuse for good only if what is known is fresh enough."""
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
        """Refuse a request that ended the servers which ran it."""
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
        """Take a token of the account's rate, asking peers if need be."""
        account = admitted.account
        if account is None:
            return None
        quotas = self.state.quotas
        if quotas.try_take(account, self.clock.now()):
            return None
        try:
            async with asyncio.timeout(PEER_TOKEN_WAIT_S):
                await self.request_peer_tokens(account)
        except TimeoutError:
            # The peers' answers still arrive and count for later requests.
            pass
        now = self.clock.now()
        if quotas.try_take(account, now):
            return None
        return _messages.failure_reply(
            ErrorKind.OVER_RATE,
            'the client account is over its rate',
            _messages.clamp_retry_after(quotas.token_wait_s(account, now)),
        )

    def refund_token(
        self, admitted: _messages.Admitted, reply: _messages.Reply
    ) -> None:
        """Give back the token of a request that certainly did not run."""
        if admitted.account is None or reply.failure is None:
            return
        if errors.ANSWERS[reply.failure.kind].ran is errors.Ran.NO:
            self.state.quotas.refund(admitted.account, self.clock.now())

    async def send_until_answered(
        self, admitted: _messages.Admitted, body: bytes
    ) -> _messages.Reply:
        """Try servers until one answers or no try is left."""
        tried: list[_tries.FinishedAttempt] = []
        while True:
            question = steering.PlacementQuery(
                admitted.route,
                admitted.service,
                admitted.call.affinity_key if admitted.route.sticky else '',
                admitted.allowed_regions,
                frozenset(
                    item.candidate.server.entry.server_id for item in tried
                ),
                admitted.region,
            )
            candidate = await self.reserve_server(admitted, question)
            if isinstance(candidate, _messages.Reply):
                if not tried:
                    return candidate
                return self.final_reply(admitted, tried, candidate)
            if tried and not self.state.retry_budget.try_take(
                admitted.service, self.clock.now()
            ):
                candidate.server.in_progress -= 1
                return self.final_reply(admitted, tried, None)
            done = await self.attempt_sender.run(
                admitted, question, candidate, body, bool(tried)
            )
            tried += done
            self.record_strikes(admitted, body, done)
            if (
                not self.may_retry(admitted, done[-1], tried)
                or self.state.strikes.quarantine_left_s(admitted, body)
                is not None
            ):
                return self.final_reply(admitted, tried, None)

    def record_strikes(
        self,
        admitted: _messages.Admitted,
        body: bytes,
        done: list[_tries.FinishedAttempt],
    ) -> None:
        """Count tries whose connection broke before any answer."""
        for item in done:
            outcome = item.outcome
            if outcome.kind is OutcomeKind.BROKEN and not outcome.status:
                self.state.strikes.record_strike(admitted, body)
            elif _tries.is_success(outcome):
                self.state.strikes.record_answer(admitted, body)

    async def reserve_server(
        self, admitted: _messages.Admitted, question: steering.PlacementQuery
    ) -> steering.Candidate | _messages.Reply:
        """Return a server with a place taken on it, or the refusal."""
        state, now = self.state, self.clock.now()
        best, question = self.find_candidate(admitted, question, now)
        left = admitted.deadline - now
        if best is None:
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'no server can take the request',
                NO_SERVER_RETRY_AFTER_S,
            )
        if left < MIN_ATTEMPT_S:
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'no time is left',
                _messages.MIN_RETRY_AFTER_S,
            )
        if best.can_send_now and not state.wait_queue.length(question.service):
            steering.reserve_slot(best, now)
            return best
        target = admitted.call.arrived_at + admitted.route.target_s
        max_wait_s = max_slot_wait_s(admitted)
        if not best.can_send_now and best.slot_wait_s > max_wait_s:
            return self.refuse_no_slot(best.slot_wait_s)
        waiter = steering.WaitingRequest(
            question,
            effective_priority(admitted),
            now,
            target,
            min(now + max_wait_s, admitted.deadline - MIN_ATTEMPT_S),
        )
        state.wait_queue.add(waiter)
        state.wait_queue.dispatch(question.service, now)
        try:
            placed = await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                held = waiter.future.result()
                if held is not None:
                    held.server.in_progress -= 1
            raise
        finally:
            state.wait_queue.discard(waiter)
        if placed is None:
            return self.refuse_no_slot(best.slot_wait_s)
        return placed

    def find_candidate(
        self,
        admitted: _messages.Admitted,
        question: steering.PlacementQuery,
        now: float,
    ) -> tuple[steering.Candidate | None, steering.PlacementQuery]:
        """Return the best server in the request's region.

        Another region is used when that one has no server left, and for few
        requests when it has no room.
        """
        placement = self.state.placement
        max_wait_s = max_slot_wait_s(admitted)
        best = placement.best_candidate(question, now, max_wait_s)
        if question.region is None:
            return best, question
        if best is not None and (
            best.can_send_now
            or best.slot_wait_s
            < OVERFLOW_WAIT_FRACTION_OF_TARGET * admitted.route.target_s
        ):
            return best, question
        anywhere = question._replace(region=None)
        other = placement.best_candidate(anywhere, now, max_wait_s)
        if other is None or (best is not None and not other.can_send_now):
            return best, question
        if best is not None and not self.state.regions.try_overflow(
            question.service, now
        ):
            return best, question
        return other, anywhere

    def refuse_no_slot(self, start_s: float) -> _messages.Reply:
        """Refuse a request that would wait too long."""
        return _messages.failure_reply(
            ErrorKind.NO_ROOM,
            'no slot becomes free in time',
            _messages.clamp_retry_after(start_s),
        )

    def may_retry(
        self,
        admitted: _messages.Admitted,
        last: _tries.FinishedAttempt,
        tried: list[_tries.FinishedAttempt],
    ) -> bool:
        """Tell whether another server may get the request."""
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
            item.outcome.kind is not OutcomeKind.NOT_SENT for item in tried
        )
        left = admitted.deadline - self.clock.now()
        return sends < admitted.route.max_attempts and left > MIN_ATTEMPT_S

    def final_reply(
        self,
        admitted: _messages.Admitted,
        tried: list[_tries.FinishedAttempt],
        no_server_reply: _messages.Reply | None,
    ) -> _messages.Reply:
        """Return the reply after the last try.

        ``refusal`` is why no further server could be tried.
        """
        for item in reversed(tried):
            # A server's own answer tells more than one made up here.
            outcome = item.outcome
            if (
                outcome.kind is OutcomeKind.ANSWERED
                and not _tries.certainly_not_run(outcome)
            ):
                return _messages.Reply(
                    outcome.status,
                    tuple(_messages.end_to_end_headers(outcome.headers)),
                    outcome.body,
                    outcome.stream,
                )
        if all(_tries.certainly_not_run(item.outcome) for item in tried):
            if no_server_reply is not None:
                return no_server_reply
            return _messages.failure_reply(
                ErrorKind.NO_ROOM,
                'the servers that were tried did not take the request',
                _messages.MIN_RETRY_AFTER_S,
            )
        last = tried[-1].outcome
        if last.kind is OutcomeKind.TIMED_OUT:
            return _messages.failure_reply(
                ErrorKind.DEADLINE_EXCEEDED, 'no answer within the time'
            )
        return _messages.failure_reply(
            ErrorKind.BACKEND_FAILED, f'the server failed: {last.message}'
        )

    def record_reply(
        self,
        call: _messages.Call,
        reply: _messages.Reply,
        admitted: _messages.Admitted | None,
    ) -> _messages.Reply:
        """Count and log an answer."""
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
        age = self.state.replica.age(self.clock.now())
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


def max_slot_wait_s(admitted: _messages.Admitted) -> float:
    """Return the seconds for which a request may wait for a slot."""
    return MAX_WAIT_FRACTION_OF_TARGET * admitted.route.target_s


def effective_priority(admitted: _messages.Admitted) -> int:
    """Return the priority of a request; the account's goes first."""
    account = admitted.account
    if account is not None and account.priority is not None:
        return account.priority
    return admitted.route.priority


def intersect_home_regions(
    route: steering.Route, account: steering.ClientAccount | None
) -> frozenset[str] | None:
    """Return the regions that may serve a request, None for all.

    Where route and account both have homes, both bind; an empty set then
    allows none.
    """
    sets = [route.home_regions] if route.home_regions else []
    if account is not None and account.home_regions:
        sets.append(account.home_regions)
    if not sets:
        return None
    return frozenset.intersection(*sets)
