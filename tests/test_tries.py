"""Tests of the tries of one request."""

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
    """Assigns some slots, then refuses."""

    def __init__(self, slots: int) -> None:
        self.left = slots
        self.number = 0

    async def assign(
        self, request: routing.DispatchRequest
    ) -> result.Result[typing.Any, errors.Failure]:
        """Return an assignment at another server each time."""
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
        """Take a slot back."""


class FakeForwarder:
    """Ends each try in one way."""

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
    """Takes any call, for counters and the history."""

    def __getattr__(self, name: str) -> typing.Any:
        """Return itself, whatever is asked for."""
        return self

    def __call__(self, *arguments: object) -> typing.Any:
        """Return itself."""
        return self


def job() -> _try_state.Job:
    """Return a request that may run more than once."""
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
    """Return tries that end in one way while there are slots."""
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
    # A budget that allows the one repeat of these requests.
    for _ in range(100):
        runner.retry_budget.record_request('bookings')
    return runner


async def run(kind: OutcomeKind, slots: int) -> _try_state.RequestResult:
    """Run a request whose tries end in one way while there are slots."""
    return await attempt_runner_for(kind, slots).run(job())


class TestRefusedRepeat(unittest.IsolatedAsyncioTestCase):
    """What a refusal says after an earlier try."""

    async def test_broken_try_may_have_run(self) -> None:
        """Guards against 'not run' when only the repeat found no slot."""
        for kind in (OutcomeKind.BROKEN, OutcomeKind.MISMATCHED):
            with self.subTest(kind):
                request_result = await run(kind, 1)
                assert request_result.failure is not None
                self.assertIs(
                    errors.ErrorKind.BACKEND_FAILED,
                    request_result.failure.kind,
                )
                self.assertIs(errors.Ran.UNKNOWN, request_result.ran)

    async def test_other_tries_did_not_run(self) -> None:
        """Guards against 'unknown' for a request that was never sent."""
        for kind in (OutcomeKind.SHED, OutcomeKind.NOT_SENT):
            for slots in (0, 1):
                with self.subTest(kind, slots=slots):
                    request_result = await run(kind, slots)
                    self.assertEqual(REFUSED, request_result.failure)
                    self.assertIsNone(request_result.ran)


class TestStrikes(unittest.IsolatedAsyncioTestCase):
    """Which broken connections count against a request."""

    async def test_only_crashes_count(self) -> None:
        """Guards against cut answers that quarantine a popular request."""
        for status, struck in ((0, True), (200, False)):
            with self.subTest(status=status):
                runner = attempt_runner_for(OutcomeKind.BROKEN, 2, status)
                await runner.run(job())
                self.assertEqual(struck, runner.is_quarantined(job()))
