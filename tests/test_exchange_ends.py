"""Tests for requests whose caller disconnects or that raise an exception."""

import asyncio

from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing
from tests import exchange_bench
from tests import test_exchange

OutcomeKind = delivery.ForwardOutcomeKind


class TestDisconnectingCallers(test_exchange.RequestPathTestCase):
    """The caller disconnects at any point."""

    async def test_at_every_step(self) -> None:
        """Each slot must be released exactly once."""
        for method in ('GET', 'POST'):
            for steps in range(25):
                with self.subTest(method=method, steps=steps):
                    await self.leave_after(method, steps)

    async def leave_after(self, method: str, steps: int) -> None:
        """Cancel a request after some iterations of the event loop."""
        self.setUp()
        bench = self.bench
        gate = self.forwarder.gate = asyncio.Event()
        request_id = bench.new_request_id()
        task = asyncio.ensure_future(bench.run(method, request_id))
        for step in range(steps):
            await asyncio.sleep(0)
            if step == 12:
                gate.set()
        task.cancel()
        gate.set()
        await asyncio.gather(task, return_exceptions=True)
        await bench.settle()
        self.assertEqual(set(), self.dispatcher.running)
        self.assertEqual(set(), bench.executor.background_tasks)
        self.assertEqual({}, dict(bench.executor.active_copies))
        if method == 'POST' and steps > 0:
            # It is completed, and its caller can ask for the outcome.
            self.assertEqual('done', bench.backup_state(request_id))

    async def test_slot_of_a_cancelled_send_stays_busy(self) -> None:
        """The slot must not be reused while the server may still work."""
        self.forwarder.gate = asyncio.Event()
        task = asyncio.ensure_future(self.bench.run())
        await self.bench.settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        attempt_result = self.dispatcher.attempt_results[0]
        self.assertEqual(
            routing.AttemptOutcome.CANCELLED, attempt_result.outcome
        )
        self.assertTrue(attempt_result.run_may_continue)

    async def test_stream_of_a_disconnected_caller(self) -> None:
        """A streamed answer must not keep its slot for ever.

        The reply to an at-most-once request whose caller had disconnected was
        dropped, so nobody read its stream or released its slot.
        """
        for finished_first in (False, True):
            with self.subTest(finished_first=finished_first):
                self.setUp()
                stream = exchange_bench.FakeStream([b'a', b'b'])
                self.forwarder.outcomes = [
                    exchange_bench.answered(stream=stream)
                ]
                gate = self.forwarder.gate = asyncio.Event()
                task = asyncio.ensure_future(
                    self.bench.run('POST', self.bench.new_request_id())
                )
                await self.bench.settle()
                if not finished_first:
                    task.cancel()
                gate.set()
                for _ in range(100):
                    background = self.bench.executor.background_tasks
                    if all(one.done() for one in background):
                        break
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await self.bench.settle()
                self.assertTrue(stream.closed)
                self.assertEqual(set(), self.dispatcher.running)


class TestStreams(test_exchange.RequestPathTestCase):
    """Streamed responses."""

    async def test_slot_is_held_until_stream_end(self) -> None:
        """A slot must not be released while its response is streamed."""
        for complete, outcome in (
            (True, routing.AttemptOutcome.ANSWERED),
            (False, routing.AttemptOutcome.CANCELLED),
        ):
            self.setUp()
            stream = exchange_bench.FakeStream([b'a'])
            self.forwarder.outcomes = [exchange_bench.answered(stream=stream)]
            request_id = self.bench.new_request_id()
            reply = await self.bench.run('POST', request_id)
            self.assertEqual(1, len(self.dispatcher.running))
            assert reply.on_stream_end is not None
            reply.on_stream_end(1, complete)
            self.assertTrue(stream.closed)
            attempt_result = self.dispatcher.attempt_results[0]
            self.assertEqual(outcome, attempt_result.outcome)
            self.assertEqual(not complete, attempt_result.run_may_continue)
            copy = await self.bench.run('POST', request_id)
            # The body was not stored, but it is known that the request ran.
            self.assertEqual(errors.Ran.YES, copy.ran)


class TestExceptions(test_exchange.RequestPathTestCase):
    """Unexpected exceptions while a request runs."""

    async def test_intent_is_settled(self) -> None:
        """An exception in the forwarder must settle the intent.

        The id stayed in the running state: copies waited until their deadline
        and the owner never forgot the id.
        """
        request_id = self.bench.new_request_id()
        self.forwarder.outcomes = [ValueError('x')]
        with self.assertRaises(ValueError):
            await self.bench.run('POST', request_id)
        own = self.bench.intents.owned_requests.rows[
            exchange_bench.ACCOUNT, request_id
        ]
        self.assertTrue(own.outcome.done())
        attempt_result = self.dispatcher.attempt_results[0]
        self.assertTrue(attempt_result.run_may_continue)
        copy = await self.bench.run('POST', request_id)
        self.assertEqual(errors.Ran.UNKNOWN, copy.ran)
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_idempotent_request(self) -> None:
        """An exception must release the slot."""
        self.forwarder.outcomes = [ValueError('x')]
        with self.assertRaises(ValueError):
            await self.bench.run()

    async def test_lost_reply_of_the_backup(self) -> None:
        """A request must not run if its intent may not be recorded."""
        self.bench.peers.lost_answers.add(('backup', '/peer/intent'))
        request_id = self.bench.new_request_id()
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, errors.ErrorKind.NOT_RUN, errors.Ran.NO)
        self.assertEqual([], self.forwarder.attempts)
        self.bench.peers.lost_answers.clear()
        await self.bench.settle()
        self.assertEqual('fenced', self.bench.backup_state(request_id))
