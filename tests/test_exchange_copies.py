"""Tests for what refusals of concurrent copies of a request report."""

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
    """Returns for each copy the result that the test sets."""

    def __init__(self) -> None:
        self.waiting: list[asyncio.Future[_try_state.RequestResult]] = []

    async def run(self, job: _try_state.Job) -> _try_state.RequestResult:
        """Wait until the test sets the copy's result."""
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        return typing.cast(_try_state.RequestResult, await future)


class TestCopies(unittest.IsolatedAsyncioTestCase):
    """Copies of an at-most-once request at its owner."""

    def setUp(self) -> None:
        """Build an executor with a fake attempt runner."""
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
        """Start to run one copy."""
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
        """Let other tasks run until they wait."""
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_refusal_while_another_copy_waits(self) -> None:
        """A copy must not be 'not run' while another may still run."""
        first, second = self.send(), self.send()
        await self.settle()
        self.attempt_runner.waiting[1].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.UNKNOWN, (await second).ran)
        self.assertTrue(self.executor.knows_request_id(REQUEST_ID))
        # When the last copy is refused, none can run any more.
        self.attempt_runner.waiting[0].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.NO, (await first).ran)
        self.assertFalse(self.executor.knows_request_id(REQUEST_ID))

    async def test_refusal_after_another_copy_ran(self) -> None:
        """A copy must not be 'not run' after another one ran."""
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
        """A refused single copy must be 'not run', not 'unknown'."""
        copy = self.send()
        await self.settle()
        self.attempt_runner.waiting[0].set_result(
            _try_state.RequestResult(failure=REFUSED)
        )
        self.assertIs(errors.Ran.NO, (await copy).ran)
