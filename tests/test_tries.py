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

Kind = delivery.ForwardOutcomeKind

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

    def __init__(self, kind: Kind, status: int = 0) -> None:
        self.kind = kind
        self.status = status

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Return the outcome without sending."""
        return delivery.ForwardOutcome(
            self.kind, self.kind is not Kind.NOT_SENT, self.status
        )


class Ignored:
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
        tracked=False,
        credentials=delivery.Credentials(None, None),
        raw=types.SimpleNamespace(
            method='GET', path='/bookings', query='', headers=()
        ),
    )
    return _try_state.Job(
        typing.cast(typing.Any, admitted), b'', 'r', '', None
    )


def tries_of(kind: Kind, slots: int, status: int = 0) -> _tries.Tries:
    """Return tries that end in one way while there are slots."""
    ignored = typing.cast(typing.Any, Ignored())
    tries = _tries.Tries(
        ignored,
        typing.cast(typing.Any, FakeDispatcher(slots)),
        ignored,
        typing.cast(typing.Any, FakeForwarder(kind, status)),
        routing.QuarantineSystem('vm-1', 'a'),
        ignored,
        clock.FakeClock(),
        ignored,
        ignored,
    )
    # A budget that allows the one repeat of these requests.
    for _ in range(100):
        tries.retries.record_request('bookings')
    return tries


async def run(kind: Kind, slots: int) -> _try_state.Ended:
    """Run a request whose tries end in one way while there are slots."""
    return await tries_of(kind, slots).run(job())


class TestRefusedRepeat(unittest.IsolatedAsyncioTestCase):
    """What a refusal says after an earlier try."""

    async def test_broken_try_may_have_run(self) -> None:
        """Guards against 'not run' when only the repeat found no slot."""
        for kind in (Kind.BROKEN, Kind.MISMATCHED):
            with self.subTest(kind):
                ended = await run(kind, 1)
                assert ended.failure is not None
                self.assertIs(
                    errors.ErrorKind.BACKEND_FAILED, ended.failure.kind
                )
                self.assertIs(errors.Ran.UNKNOWN, ended.ran)

    async def test_other_tries_did_not_run(self) -> None:
        """Guards against 'unknown' for a request that was never sent."""
        for kind in (Kind.SHED, Kind.NOT_SENT):
            for slots in (0, 1):
                with self.subTest(kind, slots=slots):
                    ended = await run(kind, slots)
                    self.assertEqual(REFUSED, ended.failure)
                    self.assertIsNone(ended.ran)


class TestStrikes(unittest.IsolatedAsyncioTestCase):
    """Which broken connections count against a request."""

    async def test_only_crashes_count(self) -> None:
        """Guards against cut answers that quarantine a popular request."""
        for status, struck in ((0, True), (200, False)):
            with self.subTest(status=status):
                tries = tries_of(Kind.BROKEN, 2, status)
                await tries.run(job())
                self.assertEqual(struck, tries.quarantined(job()))
