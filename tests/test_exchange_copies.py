"""Tests of what refusals of copies of one request say."""

import asyncio
import types
import typing
import unittest

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import _try_state
from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing

MINUTE: typing.Final = delivery.minute_of(clock.FakeClock().now())
GRANT: typing.Final = delivery.Grant('vm-1', 'a', 'vm-1', 'a', MINUTE)
REQUEST_ID: typing.Final = delivery.format_request_id(
    delivery.RequestId(GRANT, '6b1f0a52-9d6a-4d0b-8a7c-0f2f3c1f2a10')
)
REFUSED: typing.Final = errors.Failure(
    errors.ErrorKind.OVERLOADED, 'no slot', 1.0
)


class FakeAttemptRunner:
    """Ends each copy as its future says."""

    def __init__(self) -> None:
        self.waiting: list[asyncio.Future[_try_state.RequestResult]] = []

    async def run(self, job: _try_state.Job) -> _try_state.RequestResult:
        """Wait until the test ends the copy."""
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        return typing.cast(_try_state.RequestResult, await future)


class TestCopies(unittest.IsolatedAsyncioTestCase):
    """Two copies of an order at its owner."""

    def setUp(self) -> None:
        """Build an exchange whose tries the test ends."""
        self.clock = clock.FakeClock()
        self.attempt_runner = FakeAttemptRunner()
        self.intents = delivery.IntentSystem(
            'vm-1', 'a', self.clock, typing.cast(typing.Any, None)
        )
        self.executor = _exchange.RequestExecutor(
            typing.cast(typing.Any, self.attempt_runner),
            typing.cast(typing.Any, None),
            self.intents,
            typing.cast(typing.Any, None),
            routing.QuarantineSystem('vm-1', 'a'),
            self.clock,
        )

    def send(self) -> asyncio.Task[_exchange.Reply]:
        """Send one copy."""
        admitted = types.SimpleNamespace(
            account=_admission.OPEN_ACCOUNT,
            at_most_once=True,
            deadline=self.clock.now() + 5.0,
            raw=types.SimpleNamespace(
                method='POST', path='/bookings', query='', headers=()
            ),
        )
        return asyncio.create_task(
            self.executor.run(
                typing.cast(typing.Any, admitted), b'order', REQUEST_ID
            )
        )

    async def settle(self) -> None:
        """Let all tasks run until they wait."""
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_refusal_while_another_copy_waits(self) -> None:
        """Guards against 'not run' before the other copy runs."""
        first, second = self.send(), self.send()
        await self.settle()
        self.attempt_runner.waiting[1].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.UNKNOWN, (await second).ran)
        self.assertTrue(self.executor.knows_request_id(REQUEST_ID))
        # Nothing can run any more when the last copy is refused.
        self.attempt_runner.waiting[0].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.NO, (await first).ran)
        self.assertFalse(self.executor.knows_request_id(REQUEST_ID))

    async def test_refusal_after_another_copy_ran(self) -> None:
        """Guards against 'not run' after the other copy ran."""
        first, second = self.send(), self.send()
        await self.settle()
        begun = await self.intents.begin(
            _admission.OPEN_ACCOUNT, REQUEST_ID, 'digest'
        )
        self.assertTrue(begun.unwrap().should_run)
        await self.intents.finish(
            _admission.OPEN_ACCOUNT,
            REQUEST_ID,
            delivery.StoredResponse(200, (), b'done'),
        )
        self.attempt_runner.waiting[0].set_result(
            _try_state.RequestResult(status=200)
        )
        self.assertIs(errors.Ran.YES, (await first).ran)
        self.attempt_runner.waiting[1].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.UNKNOWN, (await second).ran)

    async def test_refusal_of_the_only_copy(self) -> None:
        """Guards against 'unknown' when nothing ran."""
        copy = self.send()
        await self.settle()
        self.attempt_runner.waiting[0].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.NO, (await copy).ran)
