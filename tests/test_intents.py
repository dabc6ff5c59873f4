"""Tests of the intent protocol between owner, backup and other VMs."""

import asyncio
import typing
import unittest

import result

from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import transport

ACCOUNT = 'cafe'
DIGEST = 'd1'
ANSWER = delivery.StoredResponse(201, (('Content-Type', 'x/y'),), b'booked')
K = errors.ErrorKind


class IntentCase(unittest.IsolatedAsyncioTestCase):
    """An owner, a backup and a third VM."""

    def setUp(self) -> None:
        """Connect three VMs."""
        self.clock = clock.FakeClock(6000.0)
        self.peers = transport.FakePeers()
        self.systems: dict[str, delivery.IntentSystem] = {}
        for vm in ('owner', 'backup', 'third'):
            self.restart(vm, 'i1')
        self.suffix = 0

    def restart(self, vm: str, incarnation: str) -> None:
        """Start a process of a VM, which forgets everything."""
        system = delivery.IntentSystem(
            vm, incarnation, self.clock, self.peers, sleep=self.sleep
        )
        self.systems[vm] = system
        for path, handler in system.handlers().items():
            self.peers.handlers[vm, path] = handler

    async def sleep(self, seconds: float) -> None:
        """Let the fake clock pass, and other tasks run."""
        self.clock.advance(seconds)
        await asyncio.sleep(0)

    def new_id(self, backup: str = 'backup', owner: str = 'owner') -> str:
        """Return a request id that nobody has seen."""
        self.suffix += 1
        grant = delivery.Grant(
            owner, 'i1', backup, 'i1', delivery.minute_of(self.clock.now())
        )
        return f'{delivery.format_grant(grant)}~{self.suffix}'

    async def begin(
        self,
        request_id: str,
        vm: str = 'owner',
        digest: str = DIGEST,
        wait_s: float = 0.0,
    ) -> result.Result[delivery.BeginResult, errors.Failure]:
        """Bring a request to a VM."""
        return await self.systems[vm].begin(
            ACCOUNT, request_id, digest, wait_s
        )

    async def resolve(
        self, request_id: str, vm: str = 'third', wait_s: float = 0.0
    ) -> delivery.StoredResponse | errors.ErrorKind:
        """Ask a VM; return the answer or the kind of the failure."""
        outcome = await self.systems[vm].resolve(
            ACCOUNT, request_id, DIGEST, wait_s
        )
        if isinstance(outcome, result.Ok):
            return outcome.ok_value
        return outcome.err_value.kind

    def lose(self, vm: str, answer_only: bool = False) -> None:
        """Lose calls to a VM, or only their answers."""
        lost = (
            self.peers.lost_answers if answer_only else self.peers.lost_calls
        )
        lost.add((vm, delivery.INTENT_PATH))

    def mend(self) -> None:
        """Lose nothing any more."""
        self.peers.lost_calls.clear()
        self.peers.lost_answers.clear()

    async def flush(self, vm: str = 'owner') -> None:
        """Let a VM's repeated messages arrive or be given up."""
        self.assertTrue(await self.systems[vm].flush(5.0))


class TestRun(IntentCase):
    """The usual course."""

    async def test_run_and_ask_everywhere(self) -> None:
        """Guards against an answer that only the owner knows."""
        for backup in ('backup', 'owner'):
            with self.subTest(backup=backup):
                request_id = self.new_id(backup)
                begun = (await self.begin(request_id)).unwrap()
                self.assertTrue(begun.should_run)
                await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
                await self.flush()
                for vm in self.systems:
                    again = (await self.begin(request_id, vm)).unwrap()
                    self.assertEqual(
                        delivery.BeginResult(False, ANSWER), again
                    )

    async def test_fenced_id_is_refused(self) -> None:
        """Guards against a run after another VM said 'not run'."""
        for backup in ('backup', 'owner'):
            with self.subTest(backup=backup):
                request_id = self.new_id(backup)
                self.assertEqual(K.NOT_RUN, await self.resolve(request_id))
                failure = (await self.begin(request_id)).unwrap_err()
                self.assertIs(K.NOT_RUN, failure.kind)

    async def test_copies_at_the_owner_get_one_answer(self) -> None:
        """Guards against two runs and two answers of concurrent copies."""
        request_id = self.new_id()
        self.assertTrue((await self.begin(request_id)).unwrap().should_run)
        copies = [
            asyncio.create_task(self.begin(request_id, wait_s=30.0))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
        for copy in await asyncio.gather(*copies):
            self.assertEqual(
                delivery.BeginResult(False, ANSWER), copy.unwrap()
            )

    async def test_copies_while_the_backup_is_asked(self) -> None:
        """Guards against two runs when both copies come before the reply."""
        request_id = self.new_id()
        both = await asyncio.gather(
            self.begin(request_id), self.begin(request_id)
        )
        runs = [
            begun.ok_value.should_run
            for begun in both
            if isinstance(begun, result.Ok)
        ]
        self.assertEqual(1, sum(runs))

    async def test_other_body_is_refused(self) -> None:
        """Guards against an answer to another order."""
        request_id = self.new_id()
        await self.begin(request_id)
        for vm in self.systems:
            failure = (await self.begin(request_id, vm, 'd2')).unwrap_err()
            self.assertIs(K.ID_REUSED, failure.kind)

    async def test_third_vm_waits_for_the_outcome(self) -> None:
        """Guards against 'unknown' while the owner is only slow."""
        request_id = self.new_id()
        await self.begin(request_id)
        asked = asyncio.create_task(self.resolve(request_id, wait_s=3.0))
        await asyncio.sleep(0)
        await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
        self.assertEqual(ANSWER, await asked)

    async def test_large_answer(self) -> None:
        """Guards against a large answer that travels to the backup."""
        request_id = self.new_id()
        await self.begin(request_id)
        large = ANSWER._replace(body=b'x' * (delivery.MAX_STORED_BODY + 1))
        await self.systems['owner'].finish(ACCOUNT, request_id, large)
        await self.flush()
        kept = ANSWER._replace(body=b'', too_large=True)
        for vm in self.systems:
            self.assertEqual(kept, await self.resolve(request_id, vm))


class TestFailures(IntentCase):
    """Lost messages, frozen owners, restarts."""

    async def test_no_reply_to_the_intent(self) -> None:
        """Guards against a run that the backup may not know of."""
        for answer_only in (False, True):
            with self.subTest(answer_only=answer_only):
                request_id = self.new_id()
                self.lose('backup', answer_only)
                failure = (await self.begin(request_id)).unwrap_err()
                self.assertIs(K.NOT_RUN, failure.kind)
                self.mend()
                again = (await self.begin(request_id)).unwrap_err()
                self.assertIs(K.NOT_RUN, again.kind)
                await self.flush()
                self.assertEqual(K.NOT_RUN, await self.resolve(request_id))

    async def test_owner_frozen_before_the_send(self) -> None:
        """Guards against 'not run' of an id that is sent later."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.assertEqual(K.OUTCOME_UNKNOWN, await self.resolve(request_id))
        await self.systems['owner'].withdraw(ACCOUNT, request_id)
        await self.flush()
        self.assertEqual(K.NOT_RUN, await self.resolve(request_id))
        self.assertEqual(K.NOT_RUN, await self.resolve(request_id, 'owner'))

    async def test_lost_finish_is_repeated(self) -> None:
        """Guards against an outcome that stays unknown after one loss."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.lose('backup')
        await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
        await asyncio.sleep(0)
        self.assertEqual(K.OUTCOME_UNKNOWN, await self.resolve(request_id))
        self.assertEqual(ANSWER, await self.resolve(request_id, 'owner'))
        self.mend()
        await self.flush()
        self.assertEqual(ANSWER, await self.resolve(request_id))

    async def test_repeats_end(self) -> None:
        """Guards against messages that are repeated for ever."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.lose('backup')
        started = self.clock.now()
        await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
        await self.flush()
        self.assertLessEqual(self.clock.now() - started, 60.0)
        self.assertGreater(self.clock.now() - started, 55.0)

    async def test_restarted_backup(self) -> None:
        """Guards against 'not run' from a backup that lost its records."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.restart('backup', 'i2')
        for vm in ('backup', 'third'):
            self.assertEqual(
                K.OUTCOME_UNKNOWN, await self.resolve(request_id, vm)
            )
        fresh = self.new_id()
        failure = (await self.begin(fresh)).unwrap_err()
        self.assertIs(K.OUTCOME_UNKNOWN, failure.kind)

    async def test_restarted_owner(self) -> None:
        """Guards against a new owner process that runs old ids."""
        ran, unseen = self.new_id(), self.new_id()
        await self.begin(ran)
        self.restart('owner', 'i2')
        failure = (await self.begin(ran)).unwrap_err()
        self.assertIs(K.OUTCOME_UNKNOWN, failure.kind)
        failure = (await self.begin(unseen)).unwrap_err()
        self.assertIs(K.NOT_RUN, failure.kind)

    async def test_restarted_owner_that_was_its_own_backup(self) -> None:
        """Guards against 'not run' after a crash of the only VM."""
        request_id = self.new_id('owner')
        await self.begin(request_id)
        self.restart('owner', 'i2')
        for vm in self.systems:
            self.assertEqual(
                K.OUTCOME_UNKNOWN, await self.resolve(request_id, vm)
            )

    async def test_abandoned_run_stays_unknown(self) -> None:
        """Guards against copies that wait for ever or run again."""
        request_id = self.new_id()
        await self.begin(request_id)
        copy = asyncio.create_task(self.begin(request_id, wait_s=30.0))
        await asyncio.sleep(0)
        await self.systems['owner'].abandon(ACCOUNT, request_id)
        self.assertIs(K.OUTCOME_UNKNOWN, (await copy).unwrap_err().kind)
        self.assertEqual(K.OUTCOME_UNKNOWN, await self.resolve(request_id))

    async def test_cancelled_intent_is_withdrawn(self) -> None:
        """Guards against an id left open when its caller disconnects."""
        request_id = self.new_id()
        handler = self.peers.handlers['backup', delivery.INTENT_PATH]
        gate = asyncio.Event()

        async def slow(
            message: transport.Message,
        ) -> result.Result[transport.Message, errors.Failure]:
            answer = await handler(message)
            if message['event'] == 'intend':
                await gate.wait()
            return answer

        self.peers.handlers['backup', delivery.INTENT_PATH] = slow
        task = asyncio.create_task(self.begin(request_id))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.flush()
        self.assertEqual(K.NOT_RUN, await self.resolve(request_id))
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(K.NOT_RUN, failure.kind)


class TestLifetime(IntentCase):
    """Old ids, full tables, malformed messages."""

    async def test_old_id_does_not_run(self) -> None:
        """Guards against a copy that was held up for long."""
        request_id = self.new_id()
        self.clock.advance(11 * 60)
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(K.OUTCOME_UNKNOWN, failure.kind)
        self.assertEqual(K.OUTCOME_UNKNOWN, await self.resolve(request_id))

    async def test_forgotten_run_is_never_not_run(self) -> None:
        """Guards against 'not run' when owner and backup have forgotten."""
        request_id = self.new_id()
        await self.begin(request_id)
        await self.systems['owner'].finish(ACCOUNT, request_id, ANSWER)
        await self.flush()
        self.clock.advance(21 * 60)
        for system in self.systems.values():
            system.tick(self.clock.now())
        for lost in (False, True):
            if lost:
                self.lose('backup')
            failure = (await self.begin(request_id)).unwrap_err()
            self.assertIs(K.OUTCOME_UNKNOWN, failure.kind)
            self.assertEqual(K.OUTCOME_UNKNOWN, await self.resolve(request_id))

    async def test_full_backup_refuses_and_lets_the_id_be_sent_again(
        self,
    ) -> None:
        """Guards against an id that is lost to a passing shortage."""
        self.systems['backup'].backup.table.max_records = 0
        request_id = self.new_id()
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(K.OVERLOADED, failure.kind)
        self.systems['backup'].backup.table.max_records = 10
        self.assertTrue((await self.begin(request_id)).unwrap().should_run)

    async def test_full_owner_refuses(self) -> None:
        """Guards against an owner that runs ids it cannot remember."""
        self.systems['owner'].owned_requests.max_records = 0
        failure = (await self.begin(self.new_id())).unwrap_err()
        self.assertIs(K.OVERLOADED, failure.kind)

    async def test_malformed_messages_are_refused(self) -> None:
        """Guards against a peer of another version that breaks records."""
        good: dict[str, typing.Any] = {
            'event': 'intend',
            'account': ACCOUNT,
            'id': self.new_id(),
            'digest': DIGEST,
            'answer': None,
        }
        answer = {'status': 200, 'headers': [], 'body': '', 'too_large': False}
        wrong: list[dict[str, typing.Any]] = [
            {},
            {**good, 'event': 'other'},
            {**good, 'id': 'x'},
            {**good, 'extra': 1},
            {**good, 'answer': {**answer, 'body': '%'}},
            {**good, 'answer': {**answer, 'headers': [['one']]}},
        ]
        backup = self.systems['backup']
        for message in wrong:
            with self.subTest(message=message):
                failure = (await backup.backup.handle(message)).unwrap_err()
                self.assertIs(K.BAD_REQUEST, failure.kind)
        self.assertEqual({}, backup.backup.table.records)
        self.assertEqual(
            'go', (await backup.backup.handle(good)).unwrap()['reply']
        )
