"""Tests for the attempts of one request."""

import types
import typing
import unittest

import result

from filbertstep import _tries
from filbertstep import _try_state
from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing

OutcomeKind = delivery.ForwardOutcomeKind

REFUSED: typing.Final = errors.Failure(
    errors.ErrorKind.OVERLOADED, 'no slot', 1.0
)


class FakeDispatcher:
    """Assigns a number of slots, then refuses."""

    def __init__(self, slots: int) -> None:
        self.left = slots
        self.number = 0

    async def assign(
        self, request: routing.DispatchRequest
    ) -> result.Result[typing.Any, errors.Failure]:
        """Return an assignment to a new server, or a refusal."""
        if not self.left:
            return result.Err(REFUSED)
        self.left -= 1
        self.number += 1
        return result.Ok(
            types.SimpleNamespace(
                server=types.SimpleNamespace(
                    name=f'b-{self.number}', address='127.0.0.1:1'
                ),
                slot_hold=types.SimpleNamespace(run_until=100.0),
                placement=None,
            )
        )

    def finish(self, *arguments: object) -> None:
        """Release a slot."""


class FakeForwarder:
    """Returns the same outcome for each attempt."""

    def __init__(self, kind: OutcomeKind, status: int = 0) -> None:
        self.kind = kind
        self.status = status

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Return the outcome without sending."""
        return delivery.ForwardOutcome(
            self.kind, self.kind is not OutcomeKind.NOT_SENT, self.status
        )


class AcceptsAnyCall:
    """Replaces collaborators whose calls do not matter, such as counters."""

    def __getattr__(self, name: str) -> typing.Any:
        """Return itself for any attribute."""
        return self

    def __call__(self, *arguments: object) -> typing.Any:
        """Accept any call."""
        return self


def job() -> _try_state.Job:
    """Return an idempotent request."""
    admitted = types.SimpleNamespace(
        service=types.SimpleNamespace(name='bookings'),
        account='cafe',
        weight=1.0,
        deadline=10.0,
        at_most_once=False,
        credentials=delivery.Credentials(None, None),
        raw=types.SimpleNamespace(
            method='GET', path='/bookings', query='', headers=()
        ),
    )
    return _try_state.Job(
        typing.cast(typing.Any, admitted), b'', 'r', '', None
    )


def attempt_runner_for(
    kind: OutcomeKind, slots: int, status: int = 0
) -> _tries.AttemptRunner:
    """Return a runner whose attempts all have one kind of outcome."""
    any_call = typing.cast(typing.Any, AcceptsAnyCall())
    runner = _tries.AttemptRunner(
        any_call,
        typing.cast(typing.Any, FakeDispatcher(slots)),
        any_call,
        typing.cast(typing.Any, FakeForwarder(kind, status)),
        routing.QuarantineSystem('vm-1', 'a'),
        any_call,
        clock.FakeClock(),
        any_call,
        any_call,
    )
    # Fills the retry budget, so that the one allowed retry is possible.
    for _ in range(100):
        runner.retry_budget.record_request('bookings')
    return runner


async def run(kind: OutcomeKind, slots: int) -> _try_state.RequestResult:
    """Run a request whose attempts all have one kind of outcome."""
    return await attempt_runner_for(kind, slots).run(job())


class TestRefusedRetry(unittest.IsolatedAsyncioTestCase):
    """What a refusal reports after an earlier attempt."""

    async def test_broken_attempt_may_have_run(self) -> None:
        """A retry without a slot must not make the request 'not run'."""
        for kind in (OutcomeKind.BROKEN, OutcomeKind.MISMATCHED):
            with self.subTest(kind):
                request_result = await run(kind, 1)
                assert request_result.failure is not None
                self.assertIs(
                    errors.ErrorKind.BACKEND_FAILED,
                    request_result.failure.kind,
                )
                self.assertIs(errors.Ran.UNKNOWN, request_result.ran)

    async def test_other_attempts_did_not_run(self) -> None:
        """A request that no server ran must not be 'unknown'."""
        for kind in (OutcomeKind.SHED, OutcomeKind.NOT_SENT):
            for slots in (0, 1):
                with self.subTest(kind, slots=slots):
                    request_result = await run(kind, slots)
                    self.assertEqual(REFUSED, request_result.failure)
                    self.assertIsNone(request_result.ran)


class TestStrikes(unittest.IsolatedAsyncioTestCase):
    """Which broken connections count as strikes against a request."""

    async def test_only_crashes_count(self) -> None:
        """Truncated responses must not quarantine a popular request."""
        for status, struck in ((0, True), (200, False)):
            with self.subTest(status=status):
                runner = attempt_runner_for(OutcomeKind.BROKEN, 2, status)
                await runner.run(job())
                self.assertEqual(struck, runner.is_quarantined(job()))
