"""The way of one request through a VM, from its head to its answer."""

import asyncio
import collections.abc
import typing

from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _log
from filbertstep.entry import _state

ErrorKind = errors.ErrorKind
OutcomeKind = delivery.OutcomeKind

# Part of a route's target that a request may wait on this VM for a slot.
# Later, its answer would hardly meet the target, and the caller can use the
# time that is left elsewhere.
MAX_WAIT_SHARE: typing.Final = 0.5

# Part of a route's target that a request waits in its region before another
# region is considered.
OVERFLOW_SHARE: typing.Final = 0.25

# Longest and shortest Retry-After in seconds.
LONGEST_RETRY_S: typing.Final = 2.0
SHORTEST_RETRY_S: typing.Final = 0.1

# Time in seconds for which a request waits for tokens from peers.
TOKEN_WAIT_S: typing.Final = 0.2

# Time in seconds assumed for a request whose caller names no deadline.
DEFAULT_DEADLINE_S: typing.Final = 30.0

# Multiple of the estimated time after which an idempotent request without an
# answer is sent to a second server as well, and the least such time.
HEDGE_FACTOR: typing.Final = 2.5
LEAST_HEDGE_S: typing.Final = 0.25

# Time in seconds that a try needs at least to be of any use.
LEAST_TRY_S: typing.Final = 0.05

# Statuses by which a server says that it failed after it ran the request.
FAILED_STATUSES: typing.Final = frozenset({500, 502, 503, 504})

# Headers that are not passed on to servers, or not to callers: those of one
# connection, and those that the HTTP library sets itself.
CONNECTION_HEADERS: typing.Final = delivery.HOP_BY_HOP | {
    'content-length',
    'expect',
}

AskPeers = collections.abc.Callable[
    [steering.ClientAccount], collections.abc.Awaitable[float]
]


class Call(typing.NamedTuple):
    """A caller's request, its body read.

    Times are those of the VM's clock; ``deadline`` is when the caller stops
    waiting.  ``path`` is encoded and includes the query.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    key: str | None
    affinity_key: str
    arrived: float
    deadline: float


class Reply(typing.NamedTuple):
    """An answer: a server's own, or a failure of this system."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: delivery.AnswerStream | None = None
    failure: errors.Failure | None = None


class Admitted(typing.NamedTuple):
    """A request that may run; ``account`` None on a public route."""

    call: Call
    route: steering.Route
    account: steering.ClientAccount | None
    service: str
    homes: frozenset[str] | None
    ends: float
    region: str | None


class Try(typing.NamedTuple):
    """A finished try at a server."""

    candidate: steering.Candidate
    outcome: delivery.Outcome


def failed(
    kind: ErrorKind, message: str, retry_after_s: float | None = None
) -> Reply:
    """Return the reply for a failure."""
    failure = errors.Failure(kind, message, retry_after_s)
    return Reply(errors.ANSWERS[kind].status, (), b'', failure=failure)


class RequestSystem:
    """Admits, places and forwards the requests of one VM."""

    def __init__(
        self,
        state: _state.State,
        forwarder: delivery.Forwarder,
        dialect: _contracts.Dialect,
        counters: metrics.Metrics,
        log: _log.DecisionLog,
        ask_peers: AskPeers,
    ) -> None:
        self.state = state
        self.clock = state.clock
        self.forwarder = forwarder
        self.dialect = dialect
        self.counters = counters
        self.log = log
        self.ask_peers = ask_peers
        # Ids of non-idempotent requests that a server has.
        self.at_server: set[str] = set()

    def at_server_once(self, request_id: str) -> bool:
        """Tell whether a server has a request that may run once only."""
        return request_id in self.at_server

    async def serve(
        self,
        call: Call,
        read_body: collections.abc.Callable[
            [], collections.abc.Awaitable[bytes | None]
        ],
    ) -> Reply:
        """Answer a request; ``read_body`` yields None for too large a body."""
        admitted = self.admit(call)
        if isinstance(admitted, Reply):
            return self.finish(call, admitted, None)
        body = await read_body()
        if body is None:
            large = failed(ErrorKind.BODY_TOO_LARGE, 'the body is too large')
            return self.finish(call, large, admitted)
        refused = await self.spend(admitted)
        if refused is not None:
            return self.finish(call, refused, admitted)
        self.state.retries.note_request(admitted.service, self.clock.now())
        reply = await self.run(admitted, body)
        self.settle(admitted, reply)
        return self.finish(call, reply, admitted)

    def admit(self, call: Call) -> Admitted | Reply:
        """Find the route and the account, or refuse."""
        state, now = self.state, self.clock.now()
        configuration, routes = state.configuration, state.routes
        if configuration is None or routes is None:
            return failed(
                ErrorKind.NO_FRESH_CONFIG, 'no configuration is known', 0.5
            )
        route = routes.find(call.host, call.path.partition('?')[0])
        if route is None:
            return self.unknown(ErrorKind.NOT_FOUND, 'no route matches')
        account: steering.ClientAccount | None = None
        if configuration.accounts and not route.public:
            if not state.keys_usable(now):
                return failed(
                    ErrorKind.NO_FRESH_CONFIG,
                    'keys cannot be checked: the store is out of reach',
                    0.5,
                )
            account = routes.by_key.get(call.key or '')
            if account is None:
                return self.unknown(ErrorKind.UNAUTHORIZED, 'unknown key')
        homes = common_homes(route, account)
        service = state.splits.choose(route)
        return Admitted(
            call,
            route,
            account,
            service,
            homes,
            min(call.deadline, call.arrived + route.timeout_s),
            # Homes leave no choice that could be kept steady.
            state.regions.choose(
                service, call.affinity_key if route.sticky else '', now
            )
            if homes is None
            else None,
        )

    def unknown(self, kind: ErrorKind, message: str) -> Reply:
        """Refuse for good only if what is known is fresh enough."""
        if self.state.certain(self.clock.now()):
            return failed(kind, message)
        return failed(
            ErrorKind.NO_FRESH_CONFIG,
            f'{message} in a configuration that may be old',
            0.5,
        )

    async def spend(self, admitted: Admitted) -> Reply | None:
        """Take a token of the account's rate, asking peers if need be."""
        account = admitted.account
        if account is None:
            return None
        quotas = self.state.quotas
        if quotas.take(account, self.clock.now()):
            return None
        try:
            async with asyncio.timeout(TOKEN_WAIT_S):
                await self.ask_peers(account)
        except TimeoutError:
            # The peers' answers still arrive and count for later requests.
            pass
        now = self.clock.now()
        if quotas.take(account, now):
            return None
        return failed(
            ErrorKind.OVER_RATE,
            'the client account is over its rate',
            bounded_retry(quotas.wait_s(account, now)),
        )

    def settle(self, admitted: Admitted, reply: Reply) -> None:
        """Give back the token of a request that certainly did not run."""
        if admitted.account is None or reply.failure is None:
            return
        if errors.ANSWERS[reply.failure.kind].ran is errors.Ran.NO:
            self.state.quotas.give_back(admitted.account, self.clock.now())

    async def run(self, admitted: Admitted, body: bytes) -> Reply:
        """Try servers until one answers or no try is left."""
        tried: list[Try] = []
        while True:
            question = steering.Question(
                admitted.route,
                admitted.service,
                admitted.call.affinity_key if admitted.route.sticky else '',
                admitted.homes,
                frozenset(
                    item.candidate.row.entry.server_id for item in tried
                ),
                admitted.region,
            )
            candidate = await self.place(admitted, question)
            if isinstance(candidate, Reply):
                if not tried:
                    return candidate
                return self.conclude(admitted, tried, candidate)
            if tried and not self.state.retries.take(
                admitted.service, self.clock.now()
            ):
                candidate.row.in_progress -= 1
                return self.conclude(admitted, tried, None)
            done = await self.attempt_hedged(
                admitted, question, candidate, body, bool(tried)
            )
            tried += done
            if not self.may_repeat(admitted, done[-1], tried):
                return self.conclude(admitted, tried, None)

    async def attempt_hedged(
        self,
        admitted: Admitted,
        question: steering.Question,
        candidate: steering.Candidate,
        body: bytes,
        again: bool,
    ) -> list[Try]:
        """Send a request, to a second server too if the first is silent.

        Only for requests that may run twice and were not repeated before.
        Returns the finished tries, the one that decides last; the others are
        cancelled.
        """
        first = self.start(admitted, question, candidate, body)
        running = {first}
        done: list[Try] = []
        try:
            if admitted.route.idempotent and admitted.route.attempts > 1:
                if not again:
                    second = await self.hedge(
                        admitted, question, candidate, body, first
                    )
                    if second is not None:
                        running.add(second)
            while running:
                finished, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                done += [task.result() for task in finished]
                if any(succeeded(item.outcome) for item in done):
                    break
            done.sort(key=lambda item: succeeded(item.outcome))
            return done
        finally:
            for task in {first, *running}:
                task.cancel()

    async def hedge(
        self,
        admitted: Admitted,
        question: steering.Question,
        candidate: steering.Candidate,
        body: bytes,
        first: asyncio.Task[Try],
    ) -> asyncio.Task[Try] | None:
        """Start a second try if the first takes much longer than expected."""
        wait_s = max(LEAST_HEDGE_S, HEDGE_FACTOR * candidate.estimate_s)
        finished, _ = await asyncio.wait({first}, timeout=wait_s)
        now = self.clock.now()
        if finished:
            return None
        expected_s = max(0.001, candidate.run_s / candidate.row.slowness)
        candidate.row.note_slow(wait_s / expected_s, now)
        other = question._replace(
            tried=frozenset({candidate.row.entry.server_id})
        )
        best = self.state.placement.best(other, now)
        if best is None or not best.free:
            return None
        if admitted.ends - now < best.estimate_s:
            return None
        if not self.state.retries.take(admitted.service, now):
            return None
        steering.reserve(best, now)
        self.log.write(
            'hedge',
            id=admitted.call.request_id,
            server=best.row.entry.server_id,
            after_s=round(wait_s, 3),
        )
        return self.start(admitted, other, best, body)

    def start(
        self,
        admitted: Admitted,
        question: steering.Question,
        candidate: steering.Candidate,
        body: bytes,
    ) -> asyncio.Task[Try]:
        """Start a try on a reserved place, which its end gives back.

        A task that is cancelled before its first step runs none of its code,
        so the place is given back by a callback.
        """
        task = asyncio.ensure_future(
            self.attempt(admitted, question, candidate, body)
        )

        def release(_: object) -> None:
            candidate.row.in_progress -= 1
            self.state.waiting.run(question.service, self.clock.now())

        task.add_done_callback(release)
        return task

    async def place(
        self, admitted: Admitted, question: steering.Question
    ) -> steering.Candidate | Reply:
        """Return a server with a place taken on it, or the refusal."""
        state, now = self.state, self.clock.now()
        best, question = self.best_region(admitted, question, now)
        left = admitted.ends - now
        if best is None:
            return failed(
                ErrorKind.NO_ROOM, 'no server can take the request', 0.5
            )
        if left < LEAST_TRY_S:
            return failed(ErrorKind.NO_ROOM, 'no time is left', 0.1)
        if best.free and not state.waiting.waiting(question.service):
            steering.reserve(best, now)
            return best
        target = admitted.call.arrived + admitted.route.target_s
        max_wait_s = MAX_WAIT_SHARE * admitted.route.target_s
        if not best.free and best.start_s > max_wait_s:
            return self.no_room(best.start_s)
        waiter = steering.Waiter(
            question,
            priority(admitted),
            now,
            target,
            min(now + max_wait_s, admitted.ends - LEAST_TRY_S),
        )
        state.waiting.add(waiter)
        state.waiting.run(question.service, now)
        try:
            placed = await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                held = waiter.future.result()
                if held is not None:
                    held.row.in_progress -= 1
            raise
        finally:
            state.waiting.discard(waiter)
        if placed is None:
            return self.no_room(best.start_s)
        return placed

    def best_region(
        self, admitted: Admitted, question: steering.Question, now: float
    ) -> tuple[steering.Candidate | None, steering.Question]:
        """Return the best server in the request's region.

        Another region is used when that one has no server left, and for few
        requests when it has no room.
        """
        placement = self.state.placement
        max_wait_s = MAX_WAIT_SHARE * admitted.route.target_s
        best = placement.best(question, now, max_wait_s)
        if question.region is None:
            return best, question
        if best is not None and (
            best.free
            or best.start_s < OVERFLOW_SHARE * admitted.route.target_s
        ):
            return best, question
        anywhere = question._replace(region=None)
        other = placement.best(anywhere, now, max_wait_s)
        if other is None or (best is not None and not other.free):
            return best, question
        if best is not None and not self.state.regions.may_overflow(
            question.service, now
        ):
            return best, question
        return other, anywhere

    def no_room(self, start_s: float) -> Reply:
        """Refuse a request that would wait too long."""
        return failed(
            ErrorKind.NO_ROOM,
            'no slot becomes free in time',
            bounded_retry(start_s),
        )

    async def attempt(
        self,
        admitted: Admitted,
        question: steering.Question,
        candidate: steering.Candidate,
        body: bytes,
    ) -> Try:
        """Send a request to the server on which a place was taken."""
        row = candidate.row
        sent_at = self.clock.now()
        if question.affinity_key:
            row.note_object(question.affinity_key, sent_at)
        path, _, query = admitted.call.path.partition('?')
        attempt = delivery.Attempt(
            server=row.entry.address,
            method=admitted.call.method,
            path=path,
            query=query,
            headers=self.server_headers(admitted, row),
            body=body,
            request_id=admitted.call.request_id,
            time_left_s=admitted.ends - sent_at,
        )
        if not admitted.route.idempotent:
            self.at_server.add(attempt.request_id)
        try:
            outcome = await self.forwarder.send(attempt, lambda: None)
        finally:
            self.at_server.discard(attempt.request_id)
        self.learn(admitted, question, candidate, outcome, sent_at, len(body))
        return Try(candidate, outcome)

    def server_headers(
        self, admitted: Admitted, row: steering.ServerRow
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers for a server, without the caller's key."""
        dialect = self.dialect
        own = {
            dialect.key_header.lower(),
            dialect.account_header.lower(),
            dialect.expected_server_header.lower(),
            dialect.deadline_header.lower(),
            dialect.request_id_header.lower(),
        }
        headers = [
            (name, value)
            for name, value in passed_on(admitted.call.headers)
            if name.lower() not in own
        ]
        headers.append((dialect.expected_server_header, row.entry.server_id))
        if admitted.account is not None:
            headers.append((dialect.account_header, admitted.account.name))
        return tuple(headers)

    def learn(
        self,
        admitted: Admitted,
        question: steering.Question,
        candidate: steering.Candidate,
        outcome: delivery.Outcome,
        sent_at: float,
        sent_bytes: int,
    ) -> None:
        """Update what is known of the server, and log the try."""
        row, now = candidate.row, self.clock.now()
        took_s = now - sent_at
        headers = {name.lower(): value for name, value in outcome.headers}
        load = read_load(headers.get(self.dialect.load_header.lower(), ''))
        if load is not None:
            row.note_report(load[0], load[1], now)
        if outcome.kind is OutcomeKind.ANSWERED and outcome.status < 500:
            times = self.state.placement.times(admitted.route)
            if candidate.start_s == 0.0:
                expected = times.expected(candidate.warm)
                row.note_success(took_s / max(0.001, expected), now)
                times.note(
                    candidate.warm,
                    took_s / row.slowness,
                    len(outcome.body) + sent_bytes,
                )
            else:
                row.note_success(row.slowness, now)
        elif outcome.kind is OutcomeKind.SHED:
            row.note_shed(now)
        elif outcome.kind is not OutcomeKind.CANCELLED:
            row.note_failure(now, outcome.kind is OutcomeKind.NOT_SENT)
        name = outcome.kind.name.lower()
        self.counters.events.labels(f'try_{name}').inc()
        self.log.write(
            'try',
            id=admitted.call.request_id,
            server=row.entry.server_id,
            availability_zone=row.entry.availability_zone,
            affinity_key=question.affinity_key,
            warm=candidate.warm,
            estimate_s=round(candidate.estimate_s, 3),
            took_s=round(took_s, 3),
            in_progress=row.in_progress,
            others=round(row.others_now(now), 2),
            load=headers.get(self.dialect.load_header.lower()),
            outcome=name,
            status=outcome.status,
            message=outcome.message,
        )

    def may_repeat(
        self, admitted: Admitted, last: Try, tried: list[Try]
    ) -> bool:
        """Tell whether another server may get the request."""
        outcome = last.outcome
        if outcome.kind is OutcomeKind.CANCELLED:
            return False
        if not_run(outcome):
            pass
        elif outcome.kind is OutcomeKind.ANSWERED:
            if outcome.status not in FAILED_STATUSES:
                return False
            if not admitted.route.idempotent:
                return False
        elif not admitted.route.idempotent:
            return False
        sends = sum(
            item.outcome.kind is not OutcomeKind.NOT_SENT for item in tried
        )
        left = admitted.ends - self.clock.now()
        return sends < admitted.route.attempts and left > LEAST_TRY_S

    def conclude(
        self,
        admitted: Admitted,
        tried: list[Try],
        refusal: Reply | None,
    ) -> Reply:
        """Return the reply after the last try.

        ``refusal`` is why no further server could be tried.
        """
        last = tried[-1].outcome
        if last.kind is OutcomeKind.ANSWERED and not not_run(last):
            return Reply(
                last.status,
                tuple(passed_on(last.headers)),
                last.body,
                last.stream,
            )
        if all(not_run(item.outcome) for item in tried):
            if refusal is not None:
                return refusal
            return failed(
                ErrorKind.NO_ROOM,
                'the servers that were tried did not take the request',
                SHORTEST_RETRY_S,
            )
        for item in reversed(tried):
            # A server's own failure tells more than one made up here.
            outcome = item.outcome
            if outcome.kind is OutcomeKind.ANSWERED and not not_run(outcome):
                return Reply(
                    outcome.status,
                    tuple(passed_on(outcome.headers)),
                    outcome.body,
                    outcome.stream,
                )
        if last.kind is OutcomeKind.TIMED_OUT:
            return failed(
                ErrorKind.DEADLINE_EXCEEDED, 'no answer within the time'
            )
        return failed(
            ErrorKind.BACKEND_FAILED, f'the server failed: {last.message}'
        )

    def finish(
        self, call: Call, reply: Reply, admitted: Admitted | None
    ) -> Reply:
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
        self.log.write(
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


def succeeded(outcome: delivery.Outcome) -> bool:
    """Tell whether a server answered, and not with a failure of its own."""
    return (
        outcome.kind is OutcomeKind.ANSWERED
        and outcome.status not in FAILED_STATUSES
        and not not_run(outcome)
    )


def not_run(outcome: delivery.Outcome) -> bool:
    """Tell whether it is certain that the server did not run a request."""
    if outcome.kind in (OutcomeKind.NOT_SENT, OutcomeKind.SHED):
        return True
    return outcome.kind is OutcomeKind.ANSWERED and outcome.status == 421


def priority(admitted: Admitted) -> int:
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


def bounded_retry(seconds: float) -> float:
    """Return a Retry-After within its bounds."""
    return round(
        min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, seconds)),
        2,
    )


def passed_on(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return headers without those that concern one connection only."""
    rows = list(headers)
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    return [
        (name, value)
        for name, value in rows
        if name.lower() not in CONNECTION_HEADERS and name.lower() not in named
    ]


def read_load(text: str) -> tuple[int, int] | None:
    """Return running and waiting requests of a server's load report."""
    parts = text.split(',')
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1])
