"""The request path of a node for tests, with fakes at its boundaries.

Admission, request execution, attempts, intents and quarantine are real.  The
token buckets, the dispatcher and the forwarder are fakes that record calls.
"""

import asyncio
import collections
import collections.abc
import typing

import result

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import _recorder
from filbertstep import _tries
from filbertstep import checking
from filbertstep import clock
from filbertstep import config
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import routing
from filbertstep import systems
from filbertstep import transport
from tests import routing_fakes

ACCOUNT = 'cafe-1'
SECRET = 'fbk-0123456789abcdefghijklmnopqrstuv'
MAX_BODY_BYTES = 1000

OutcomeKind = delivery.ForwardOutcomeKind
Step = collections.abc.Callable[
    [delivery.Attempt, delivery.BeforeSend],
    collections.abc.Awaitable[delivery.ForwardOutcome],
]


def service_docs() -> dict[str, dict[str, typing.Any]]:
    """Return services, two of them with nested paths, one an open service."""
    own = {'max_body_bytes': MAX_BODY_BYTES}
    return {
        'bookings': {**routing_fakes.service_doc(), **own},
        'urgent': {
            **routing_fakes.service_doc(),
            **own,
            'path_prefix': '/bookings/urgent',
        },
        'parts': {
            **routing_fakes.service_doc(),
            **own,
            'path_prefix': '/parts',
            'open': True,
        },
    }


def documents(with_key: bool = True) -> config.Documents:
    """Return a configuration with one client account and its key."""
    docs = routing_fakes.documents(services=service_docs())
    docs[config.EntityKind.CLIENT_ACCOUNT] = {
        ACCOUNT: {'rate': 20.0, 'burst': 40.0, 'services': ['bookings']}
    }
    if with_key:
        docs[config.EntityKind.KEY] = {
            'key-1': {
                'client_account': ACCOUNT,
                'digest': delivery.key_digest(SECRET),
            }
        }
    return docs


def raw_request(
    method: str = 'GET',
    path: str = '/bookings/1',
    key: str | None = SECRET,
    headers: tuple[tuple[str, str], ...] = (),
) -> _admission.RawRequest:
    """Return a request as received, with the key as its credentials."""
    if key is not None:
        headers = (*headers, ('Authorization', f'Bearer {key}'))
    return _admission.RawRequest(method, path, '', headers)


class FixedTokenBuckets(routing_fakes.FakeTokenBuckets):
    """Fake token buckets that have tokens while ``has_tokens`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.has_tokens = True
        # If set, requests wait for it before they get a token.
        self.gate: asyncio.Event | None = None

    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Return ``has_tokens``, after waiting for ``gate``."""
        self.asked.append(resource)
        if self.gate is not None:
            await self.gate.wait()
        return self.has_tokens


class FakeDispatcher:
    """Assigns a new server each time; checks that each slot is released once.

    Entries of ``refusals`` are returned before any assignment.  If ``gate`` is
    set, ``assign`` waits for it.
    """

    def __init__(self) -> None:
        self.refusals: list[errors.Failure] = []
        self.requests: list[routing.DispatchRequest] = []
        self.running: set[int] = set()
        self.attempt_results: list[routing.AttemptResult] = []
        self.gate: asyncio.Event | None = None
        self.refuse_failures: list[errors.Failure] = []

    async def assign(
        self, request: routing.DispatchRequest
    ) -> result.Result[routing.Assignment, errors.Failure]:
        """Return the next refusal, or an assignment to a new server."""
        self.requests.append(request)
        if self.gate is not None:
            await self.gate.wait()
        if self.refusals:
            return result.Err(self.refusals.pop(0))
        number = len(self.requests)
        self.running.add(number)
        name = f'server-{number}'
        return result.Ok(
            routing.Assignment(
                number,
                config.BackendServer(
                    name,
                    request.service.name,
                    '127.0.0.1:9',
                    'hobart',
                    'hobart-a',
                    2,
                    400,
                    1.0,
                ),
                systems.SlotHold(
                    name,
                    0,
                    request.service.name,
                    'hobart',
                    None,
                    request.deadline,
                ),
                routing.Placement(
                    'hobart', 'hobart', False, request.service.name, 0, 0
                ),
                routing.LinkReservation(None, None, 0.0, 0.0),
            )
        )

    def finish(
        self,
        assignment: routing.Assignment,
        attempt_result: routing.AttemptResult,
        now: float,
    ) -> None:
        """Release a slot; raise ``KeyError`` if it was released before."""
        self.running.remove(assignment.number)
        self.attempt_results.append(attempt_result)

    def refuse_waiting(
        self,
        predicate: collections.abc.Callable[[routing.DispatchRequest], bool],
        failure: errors.Failure,
    ) -> int:
        """Record the failure; no request waits in this fake."""
        self.refuse_failures.append(failure)
        return 0


class FakeForwarder:
    """Returns prepared outcomes, one per attempt; the last one is repeated.

    If ``gate`` is set, ``send`` waits for it.
    """

    def __init__(self) -> None:
        self.outcomes: list[delivery.ForwardOutcome | Exception] = [answered()]
        self.attempts: list[delivery.Attempt] = []
        self.gate: asyncio.Event | None = None
        self.cancelled: list[str] = []

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Call ``before_send``, then return or raise the next outcome."""
        failure = before_send()
        if failure is not None:
            return delivery.ForwardOutcome(
                OutcomeKind.NOT_SENT, False, failure=failure
            )
        self.attempts.append(attempt)
        if self.gate is not None:
            await self.gate.wait()
        outcome = self.outcomes[0]
        if len(self.outcomes) > 1:
            self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def cancel(self, request_id: str) -> bool:
        """Record which request is cancelled."""
        self.cancelled.append(request_id)
        return True


class FakeStream:
    """A streamed response; if ``broken``, it ends by an exception."""

    def __init__(self, chunks: list[bytes], broken: bool = False) -> None:
        self.chunks = chunks
        self.broken = broken
        self.closed = False
        # If set, the stream waits for it before its last chunk.
        self.gate: asyncio.Event | None = None

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks."""
        for number, chunk in enumerate(self.chunks):
            if self.gate is not None and number == len(self.chunks) - 1:
                await self.gate.wait()
            yield chunk
        if self.broken:
            raise delivery.TruncatedBodyError('cut')

    def close(self) -> None:
        """Record that the stream was closed."""
        self.closed = True


def answered(
    body: bytes = b'ok', stream: FakeStream | None = None
) -> delivery.ForwardOutcome:
    """Return the outcome of an attempt with a response."""
    return delivery.ForwardOutcome(
        OutcomeKind.ANSWERED,
        True,
        200,
        (('Content-Type', 'text/plain'),),
        b'' if stream is not None else body,
        stream=typing.cast(delivery.ResponseStream | None, stream),
    )


class FakeMembership(systems.Membership):
    """Contains the VM ``backup`` as the only live VM."""

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the VM ``backup`` with its current minute counter."""
        return [
            systems.LiveVm(
                'backup',
                'i1',
                'hobart',
                'hobart-b',
                'serving',
                '',
                delivery.minute_of(now),
                0.0,
            )
        ]


class FakeFreshness(systems.Freshness):
    """Freshness that a test sets."""

    def __init__(self) -> None:
        self.value = True

    def is_fresh(self, now: float) -> bool:
        """Return the value set by the test."""
        return self.value


class Bench:
    """The request path of VM ``owner``; VM ``backup`` records its intents."""

    def __init__(self) -> None:
        self.clock = clock.FakeClock(6000.0)
        self.views = config.ViewTable()
        routing_fakes.learn(self.views, documents(), 1, 0.0)
        self.peers = transport.FakePeers()
        self.intents, self.backup, self.third = (
            self.intent_system(vm) for vm in ('owner', 'backup', 'third')
        )
        self.token_buckets = FixedTokenBuckets()
        self.dispatcher = FakeDispatcher()
        self.forwarder = FakeForwarder()
        self.freshness = FakeFreshness()
        self.quarantine = routing.QuarantineSystem('owner', 'i1')
        self.admission = _admission.Admission(self.views)
        self.recorder = _recorder.HistoryRecorder(
            checking.HistoryWriter(None, 'owner', 'i1')
        )
        self.counters = metrics.Metrics()
        self.settled: collections.Counter[str] = collections.Counter()
        self.attempt_runner = _tries.AttemptRunner(
            self.admission,
            typing.cast(routing.Dispatcher, self.dispatcher),
            self.intents,
            typing.cast(delivery.Forwarder, self.forwarder),
            self.quarantine,
            self.freshness,
            self.clock,
            self.counters,
            self.recorder,
        )
        self.executor = _exchange.RequestExecutor(
            self.attempt_runner,
            self.token_buckets,
            self.intents,
            FakeMembership(self.clock),
            self.quarantine,
            self.clock,
        )
        self.last_suffix = 0

    def intent_system(self, vm: str) -> delivery.IntentSystem:
        """Create the intent system of one VM and register its handlers."""
        system = delivery.IntentSystem(
            vm, 'i1', self.clock, self.peers, sleep=self.sleep
        )
        for path, handler in system.handlers().items():
            self.peers.handlers[vm, path] = handler
        return system

    async def sleep(self, seconds: float) -> None:
        """Advance the fake clock and let other tasks run."""
        self.clock.advance(seconds)
        await asyncio.sleep(0)

    def new_request_id(self, owner: str = 'owner') -> str:
        """Return a request id that was not used before."""
        self.last_suffix += 1
        minute = delivery.minute_of(self.clock.now())
        grant = delivery.Grant(owner, 'i1', 'backup', 'i1', minute)
        return f'{delivery.format_grant(grant)}~{self.last_suffix}'

    def admit(
        self, request: _admission.RawRequest
    ) -> _admission.AdmittedRequest:
        """Admit a request; raise if it is refused."""
        return self.admission.admit(request, self.clock.now()).unwrap()

    async def run(
        self,
        method: str = 'GET',
        request_id: str = 'r-1',
        body: bytes = b'',
        path: str = '/bookings/1',
    ) -> _exchange.Reply:
        """Admit and run one request."""
        admitted = self.admit(raw_request(method, path))
        return await self.executor.run(admitted, body, request_id)

    async def settle(self) -> None:
        """Let other tasks run until they wait."""
        for _ in range(30):
            await asyncio.sleep(0)

    def backup_state(self, request_id: str) -> str:
        """Return the state of a request id at the backup, 'none' without."""
        record = self.backup.backup.table.records.get((ACCOUNT, request_id))
        return 'none' if record is None else record.state.value

    def allow_retries(self) -> None:
        """Fill the retry budget of the service ``bookings``."""
        for _ in range(100):
            self.attempt_runner.retry_budget.record_request('bookings')
