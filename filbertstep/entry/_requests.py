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
MAX_WAIT_SHARE: typing.Final = 0.5

# Part of a route's target that a request waits in its region before another
# region is considered.
OVERFLOW_SHARE: typing.Final = 0.25

# Retry-After in seconds while this VM's knowledge is too old, and while no
# server may get requests; both mostly end within a second.
STALE_RETRY_S: typing.Final = 0.5
NO_SERVER_RETRY_S: typing.Final = 0.5

# Time in seconds for which a request waits for tokens from peers.
TOKEN_WAIT_S: typing.Final = 0.2

# Time in seconds assumed for a request whose caller names no deadline.
DEFAULT_DEADLINE_S: typing.Final = 30.0

# Time in seconds that a try needs at least to be of any use.
LEAST_TRY_S: typing.Final = 0.05

AskPeers = collections.abc.Callable[
    [steering.ClientAccount], collections.abc.Awaitable[float]
]


class RequestSystem:
    """Admits, places and forwards the requests of one VM."""

    def __init__(
        self,
        state: _state.State,
        tries: _tries.TrySystem,
        counters: metrics.Metrics,
        ask_peers: AskPeers,
    ) -> None:
        self.state = state
        self.clock = state.clock
        self.tries = tries
        self.counters = counters
        self.ask_peers = ask_peers

    def at_server_once(self, request_id: str) -> bool:
        """Tell whether a server has a request that may run once only."""
        return request_id in self.tries.at_server

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
            return self.finish(call, admitted, None)
        body = await read_body()
        if body is None:
            large = _messages.failed(
                ErrorKind.BODY_TOO_LARGE, 'the body is too large'
            )
            return self.finish(call, large, admitted)
        refused = self.quarantined(admitted, body)
        if refused is None:
            refused = await self.spend(admitted)
        if refused is not None:
            return self.finish(call, refused, admitted)
        self.state.retries.record_request(admitted.service, self.clock.now())
        reply = await self.run(admitted, body)
        self.settle(admitted, reply)
        return self.finish(call, reply, admitted)

    def admit(
        self, call: _messages.Call
    ) -> _messages.Admitted | _messages.Reply:
        """Find the route and the account, or refuse."""
        state, now = self.state, self.clock.now()
        configuration, routes = state.configuration, state.routes
        if configuration is None or routes is None:
            return _messages.failed(
                ErrorKind.NO_FRESH_CONFIG,
                'no configuration is known',
                STALE_RETRY_S,
            )
        route = routes.find(call.host, call.path.partition('?')[0])
        if route is None:
            return self.unknown(ErrorKind.NOT_FOUND, 'no route matches')
        account: steering.ClientAccount | None = None
        if configuration.accounts and not route.public:
            if not state.keys_usable(now):
                return _messages.failed(
                    ErrorKind.NO_FRESH_CONFIG,
                    'keys cannot be checked: the store is out of reach',
                    STALE_RETRY_S,
                )
            account = routes.accounts_by_key.get(call.key or '')
            if account is None:
                return self.unknown(ErrorKind.UNAUTHORIZED, 'unknown key')
        homes = common_homes(route, account)
        service = state.splits.choose_service(route)
        return _messages.Admitted(
            call,
            route,
            account,
            service,
            homes,
            min(call.deadline, call.arrived + route.timeout_s),
            # Homes leave no choice that could be kept steady.
            state.regions.choose_region(
                service, call.affinity_key if route.sticky else '', now
            )
            if homes is None
            else None,
        )

    def unknown(self, kind: ErrorKind, message: str) -> _messages.Reply:
        """Refuse for good only if what is known is fresh enough."""
        if self.state.certain(self.clock.now()):
            return _messages.failed(kind, message)
        return _messages.failed(
            ErrorKind.NO_FRESH_CONFIG,
            f'{message} in a configuration that may be old',
            STALE_RETRY_S,
        )

    def quarantined(
        self, admitted: _messages.Admitted, body: bytes
    ) -> _messages.Reply | None:
        """Refuse a request that ended the servers which ran it."""
        left_s = self.state.strikes.left_s(admitted, body)
        if left_s is None:
            return None
        return _messages.failed(
            ErrorKind.QUARANTINED,
            'the request ended each server that ran it',
            round(left_s, 1),
        )

    async def spend(
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
            async with asyncio.timeout(TOKEN_WAIT_S):
                await self.ask_peers(account)
        except TimeoutError:
            # The peers' answers still arrive and count for later requests.
            pass
        now = self.clock.now()
        if quotas.try_take(account, now):
            return None
        return _messages.failed(
            ErrorKind.OVER_RATE,
            'the client account is over its rate',
            _messages.bounded_retry(quotas.token_wait_s(account, now)),
        )

    def settle(
        self, admitted: _messages.Admitted, reply: _messages.Reply
    ) -> None:
        """Give back the token of a request that certainly did not run."""
        if admitted.account is None or reply.failure is None:
            return
        if errors.ANSWERS[reply.failure.kind].ran is errors.Ran.NO:
            self.state.quotas.refund(admitted.account, self.clock.now())

    async def run(
        self, admitted: _messages.Admitted, body: bytes
    ) -> _messages.Reply:
        """Try servers until one answers or no try is left."""
        tried: list[_tries.Try] = []
        while True:
            question = steering.PlacementQuery(
                admitted.route,
                admitted.service,
                admitted.call.affinity_key if admitted.route.sticky else '',
                admitted.homes,
                frozenset(
                    item.candidate.server.entry.server_id for item in tried
                ),
                admitted.region,
            )
            candidate = await self.place(admitted, question)
            if isinstance(candidate, _messages.Reply):
                if not tried:
                    return candidate
                return self.conclude(admitted, tried, candidate)
            if tried and not self.state.retries.try_take(
                admitted.service, self.clock.now()
            ):
                candidate.server.in_progress -= 1
                return self.conclude(admitted, tried, None)
            done = await self.tries.run(
                admitted, question, candidate, body, bool(tried)
            )
            tried += done
            self.note_strikes(admitted, body, done)
            if (
                not self.may_repeat(admitted, done[-1], tried)
                or self.state.strikes.left_s(admitted, body) is not None
            ):
                return self.conclude(admitted, tried, None)

    def note_strikes(
        self,
        admitted: _messages.Admitted,
        body: bytes,
        done: list[_tries.Try],
    ) -> None:
        """Count tries whose connection broke before any answer."""
        for item in done:
            outcome = item.outcome
            if outcome.kind is OutcomeKind.BROKEN and not outcome.status:
                self.state.strikes.strike(admitted, body)
            elif _tries.succeeded(outcome):
                self.state.strikes.clear(admitted, body)

    async def place(
        self, admitted: _messages.Admitted, question: steering.PlacementQuery
    ) -> steering.Candidate | _messages.Reply:
        """Return a server with a place taken on it, or the refusal."""
        state, now = self.state, self.clock.now()
        best, question = self.best_region(admitted, question, now)
        left = admitted.ends - now
        if best is None:
            return _messages.failed(
                ErrorKind.NO_ROOM,
                'no server can take the request',
                NO_SERVER_RETRY_S,
            )
        if left < LEAST_TRY_S:
            return _messages.failed(
                ErrorKind.NO_ROOM,
                'no time is left',
                _messages.SHORTEST_RETRY_S,
            )
        if best.can_send_now and not state.waiting.length(question.service):
            steering.reserve_slot(best, now)
            return best
        target = admitted.call.arrived + admitted.route.target_s
        max_wait_s = longest_wait(admitted)
        if not best.can_send_now and best.slot_wait_s > max_wait_s:
            return self.no_room(best.slot_wait_s)
        waiter = steering.WaitingRequest(
            question,
            priority(admitted),
            now,
            target,
            min(now + max_wait_s, admitted.ends - LEAST_TRY_S),
        )
        state.waiting.add(waiter)
        state.waiting.dispatch(question.service, now)
        try:
            placed = await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                held = waiter.future.result()
                if held is not None:
                    held.server.in_progress -= 1
            raise
        finally:
            state.waiting.discard(waiter)
        if placed is None:
            return self.no_room(best.slot_wait_s)
        return placed

    def best_region(
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
        max_wait_s = longest_wait(admitted)
        best = placement.best_candidate(question, now, max_wait_s)
        if question.region is None:
            return best, question
        if best is not None and (
            best.can_send_now
            or best.slot_wait_s < OVERFLOW_SHARE * admitted.route.target_s
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

    def no_room(self, start_s: float) -> _messages.Reply:
        """Refuse a request that would wait too long."""
        return _messages.failed(
            ErrorKind.NO_ROOM,
            'no slot becomes free in time',
            _messages.bounded_retry(start_s),
        )

    def may_repeat(
        self,
        admitted: _messages.Admitted,
        last: _tries.Try,
        tried: list[_tries.Try],
    ) -> bool:
        """Tell whether another server may get the request."""
        outcome = last.outcome
        if outcome.kind is OutcomeKind.CANCELLED:
            return False
        if _tries.not_run(outcome):
            pass
        elif outcome.kind is OutcomeKind.ANSWERED:
            if outcome.status not in _tries.FAILED_STATUSES:
                return False
            if not admitted.route.idempotent:
                return False
        elif not admitted.route.idempotent:
            return False
        sends = sum(
            item.outcome.kind is not OutcomeKind.NOT_SENT for item in tried
        )
        left = admitted.ends - self.clock.now()
        return sends < admitted.route.max_attempts and left > LEAST_TRY_S

    def conclude(
        self,
        admitted: _messages.Admitted,
        tried: list[_tries.Try],
        refusal: _messages.Reply | None,
    ) -> _messages.Reply:
        """Return the reply after the last try.

        ``refusal`` is why no further server could be tried.
        """
        for item in reversed(tried):
            # A server's own answer tells more than one made up here.
            outcome = item.outcome
            if outcome.kind is OutcomeKind.ANSWERED and not _tries.not_run(
                outcome
            ):
                return _messages.Reply(
                    outcome.status,
                    tuple(_messages.passed_on(outcome.headers)),
                    outcome.body,
                    outcome.stream,
                )
        if all(_tries.not_run(item.outcome) for item in tried):
            if refusal is not None:
                return refusal
            return _messages.failed(
                ErrorKind.NO_ROOM,
                'the servers that were tried did not take the request',
                _messages.SHORTEST_RETRY_S,
            )
        last = tried[-1].outcome
        if last.kind is OutcomeKind.TIMED_OUT:
            return _messages.failed(
                ErrorKind.DEADLINE_EXCEEDED, 'no answer within the time'
            )
        return _messages.failed(
            ErrorKind.BACKEND_FAILED, f'the server failed: {last.message}'
        )

    def finish(
        self,
        call: _messages.Call,
        reply: _messages.Reply,
        admitted: _messages.Admitted | None,
    ) -> _messages.Reply:
        """Count and log an answer."""
        took_s = self.clock.now() - call.arrived
        service = admitted.service if admitted else ''
        account = (
            admitted.account.name if (admitted and admitted.account) else ''
        )
        outcome = reply.failure.kind.value if reply.failure else 'ok'
        if reply.failure is None and reply.status >= 500:
            outcome = 'server_failed'
        self.counters.requests.labels(service, account, outcome).inc()
        self.counters.latency.labels(service).observe(took_s)
        age = self.state.knowledge.age(self.clock.now())
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
            left_s=round(call.deadline - call.arrived - took_s, 3),
            version=configuration.version if configuration else None,
            age_s=None if age == float('inf') else round(age, 3),
        )
        return reply


def longest_wait(admitted: _messages.Admitted) -> float:
    """Return the seconds for which a request may wait for a slot."""
    return MAX_WAIT_SHARE * admitted.route.target_s


def priority(admitted: _messages.Admitted) -> int:
    """Return the priority of a request; the account's goes first."""
    account = admitted.account
    if account is not None and account.priority is not None:
        return account.priority
    return admitted.route.priority


def common_homes(
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
