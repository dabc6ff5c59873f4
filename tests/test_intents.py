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
RESPONSE = delivery.StoredResponse(201, (('Content-Type', 'x/y'),), b'booked')
ErrorKind = errors.ErrorKind


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
        """Start a new process of a VM, which has no records."""
        system = delivery.IntentSystem(
            vm, incarnation, self.clock, self.peers, sleep=self.sleep
        )
        self.systems[vm] = system
        for path, handler in system.handlers().items():
            self.peers.handlers[vm, path] = handler

    async def sleep(self, seconds: float) -> None:
        """Advance the fake clock, and let other tasks run."""
        self.clock.advance(seconds)
        await asyncio.sleep(0)

    def new_id(self, backup: str = 'backup', owner: str = 'owner') -> str:
        """Return a request id that was not used before."""
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
        """Begin a request at a VM."""
        return await self.systems[vm].begin(
            ACCOUNT, request_id, digest, wait_s
        )

    async def resolve(
        self, request_id: str, vm: str = 'third', wait_s: float = 0.0
    ) -> delivery.StoredResponse | errors.ErrorKind:
        """Query a VM; return the response or the kind of the failure."""
        outcome = await self.systems[vm].resolve(
            ACCOUNT, request_id, DIGEST, wait_s
        )
        if isinstance(outcome, result.Ok):
            return outcome.ok_value
        return outcome.err_value.kind

    def drop_calls(self, vm: str, drop_reply_only: bool = False) -> None:
        """Drop calls to a VM, or only their replies."""
        dropped = (
            self.peers.lost_answers
            if drop_reply_only
            else self.peers.lost_calls
        )
        dropped.add((vm, delivery.INTENT_PATH))

    def restore_network(self) -> None:
        """Stop dropping calls and replies."""
        self.peers.lost_calls.clear()
        self.peers.lost_answers.clear()

    async def flush(self, vm: str = 'owner') -> None:
        """Wait until a VM's retried messages are delivered or given up."""
        self.assertTrue(await self.systems[vm].flush(5.0))


class TestRun(IntentCase):
    """Requests without faults."""

    async def test_run_and_query_at_every_vm(self) -> None:
        """Guards against a response that only the owner can return."""
        for backup in ('backup', 'owner'):
            with self.subTest(backup=backup):
                request_id = self.new_id(backup)
                begun = (await self.begin(request_id)).unwrap()
                self.assertTrue(begun.should_run)
                await self.systems['owner'].finish(
                    ACCOUNT, request_id, RESPONSE
                )
                await self.flush()
                for vm in self.systems:
                    again = (await self.begin(request_id, vm)).unwrap()
                    self.assertEqual(
                        delivery.BeginResult(False, RESPONSE), again
                    )

    async def test_fenced_id_is_refused(self) -> None:
        """Guards against a run after another VM reported 'not run'."""
        for backup in ('backup', 'owner'):
            with self.subTest(backup=backup):
                request_id = self.new_id(backup)
                self.assertEqual(
                    ErrorKind.NOT_RUN, await self.resolve(request_id)
                )
                failure = (await self.begin(request_id)).unwrap_err()
                self.assertIs(ErrorKind.NOT_RUN, failure.kind)

    async def test_copies_at_the_owner_get_one_response(self) -> None:
        """Guards against concurrent copies that run twice or differ."""
        request_id = self.new_id()
        self.assertTrue((await self.begin(request_id)).unwrap().should_run)
        copies = [
            asyncio.create_task(self.begin(request_id, wait_s=30.0))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        await self.systems['owner'].finish(ACCOUNT, request_id, RESPONSE)
        for copy in await asyncio.gather(*copies):
            self.assertEqual(
                delivery.BeginResult(False, RESPONSE), copy.unwrap()
            )

    async def test_copies_while_the_intent_is_pending(self) -> None:
        """Guards against two runs if both copies arrive before the reply."""
        request_id = self.new_id()
        results = await asyncio.gather(
            self.begin(request_id), self.begin(request_id)
        )
        runs = [
            begun.ok_value.should_run
            for begun in results
            if isinstance(begun, result.Ok)
        ]
        self.assertEqual(1, sum(runs))

    async def test_other_digest_is_refused(self) -> None:
        """Guards against a response to a different request."""
        request_id = self.new_id()
        await self.begin(request_id)
        for vm in self.systems:
            failure = (await self.begin(request_id, vm, 'd2')).unwrap_err()
            self.assertIs(ErrorKind.ID_REUSED, failure.kind)

    async def test_third_vm_waits_for_the_outcome(self) -> None:
        """Guards against 'outcome unknown' while the request is running."""
        request_id = self.new_id()
        await self.begin(request_id)
        query = asyncio.create_task(self.resolve(request_id, wait_s=3.0))
        await asyncio.sleep(0)
        await self.systems['owner'].finish(ACCOUNT, request_id, RESPONSE)
        self.assertEqual(RESPONSE, await query)

    async def test_large_response(self) -> None:
        """Guards against a large body that is sent to the backup."""
        request_id = self.new_id()
        await self.begin(request_id)
        large_response = RESPONSE._replace(
            body=b'x' * (delivery.MAX_STORED_BODY + 1)
        )
        await self.systems['owner'].finish(ACCOUNT, request_id, large_response)
        await self.flush()
        expected = RESPONSE._replace(body=b'', too_large=True)
        for vm in self.systems:
            self.assertEqual(expected, await self.resolve(request_id, vm))


class TestFailures(IntentCase):
    """Lost messages, frozen owners and restarts."""

    async def test_no_reply_to_the_intent(self) -> None:
        """Guards against a run that the backup may not have recorded."""
        for drop_reply_only in (False, True):
            with self.subTest(drop_reply_only=drop_reply_only):
                request_id = self.new_id()
                self.drop_calls('backup', drop_reply_only)
                failure = (await self.begin(request_id)).unwrap_err()
                self.assertIs(ErrorKind.NOT_RUN, failure.kind)
                self.restore_network()
                again = (await self.begin(request_id)).unwrap_err()
                self.assertIs(ErrorKind.NOT_RUN, again.kind)
                await self.flush()
                self.assertEqual(
                    ErrorKind.NOT_RUN, await self.resolve(request_id)
                )

    async def test_owner_frozen_before_the_send(self) -> None:
        """Guards against 'not run' of an id that is sent later."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id)
        )
        await self.systems['owner'].withdraw(ACCOUNT, request_id)
        await self.flush()
        self.assertEqual(ErrorKind.NOT_RUN, await self.resolve(request_id))
        self.assertEqual(
            ErrorKind.NOT_RUN, await self.resolve(request_id, 'owner')
        )

    async def test_lost_finish_is_retried(self) -> None:
        """Guards against an outcome that stays unknown after a loss."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.drop_calls('backup')
        await self.systems['owner'].finish(ACCOUNT, request_id, RESPONSE)
        await asyncio.sleep(0)
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id)
        )
        self.assertEqual(RESPONSE, await self.resolve(request_id, 'owner'))
        self.restore_network()
        await self.flush()
        self.assertEqual(RESPONSE, await self.resolve(request_id))

    async def test_retries_end(self) -> None:
        """Guards against messages that are retried for ever."""
        request_id = self.new_id()
        await self.begin(request_id)
        self.drop_calls('backup')
        started = self.clock.now()
        await self.systems['owner'].finish(ACCOUNT, request_id, RESPONSE)
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
                ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id, vm)
            )
        fresh = self.new_id()
        failure = (await self.begin(fresh)).unwrap_err()
        self.assertIs(ErrorKind.OUTCOME_UNKNOWN, failure.kind)

    async def test_restarted_owner(self) -> None:
        """Guards against a new process that runs ids of the former owner."""
        recorded_id, unrecorded_id = self.new_id(), self.new_id()
        await self.begin(recorded_id)
        self.restart('owner', 'i2')
        failure = (await self.begin(recorded_id)).unwrap_err()
        self.assertIs(ErrorKind.OUTCOME_UNKNOWN, failure.kind)
        failure = (await self.begin(unrecorded_id)).unwrap_err()
        self.assertIs(ErrorKind.NOT_RUN, failure.kind)

    async def test_restarted_owner_that_was_its_own_backup(self) -> None:
        """Guards against 'not run' for an id that ran before the crash."""
        request_id = self.new_id('owner')
        await self.begin(request_id)
        self.restart('owner', 'i2')
        for vm in self.systems:
            self.assertEqual(
                ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id, vm)
            )

    async def test_abandoned_run_stays_unknown(self) -> None:
        """Guards against copies that wait for ever or run again."""
        request_id = self.new_id()
        await self.begin(request_id)
        copy = asyncio.create_task(self.begin(request_id, wait_s=30.0))
        await asyncio.sleep(0)
        await self.systems['owner'].abandon(ACCOUNT, request_id)
        self.assertIs(
            ErrorKind.OUTCOME_UNKNOWN, (await copy).unwrap_err().kind
        )
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id)
        )

    async def test_cancelled_intent_is_withdrawn(self) -> None:
        """Guards against an id left unsettled when its caller disconnects."""
        request_id = self.new_id()
        handler = self.peers.handlers['backup', delivery.INTENT_PATH]
        reply_allowed = asyncio.Event()

        async def delayed_handler(
            message: transport.Message,
        ) -> result.Result[transport.Message, errors.Failure]:
            reply = await handler(message)
            if message['event'] == 'intend':
                await reply_allowed.wait()
            return reply

        self.peers.handlers['backup', delivery.INTENT_PATH] = delayed_handler
        task = asyncio.create_task(self.begin(request_id))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.flush()
        self.assertEqual(ErrorKind.NOT_RUN, await self.resolve(request_id))
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(ErrorKind.NOT_RUN, failure.kind)


class TestLifetime(IntentCase):
    """Old ids, full tables and malformed messages."""

    async def test_old_id_does_not_run(self) -> None:
        """Guards against running a copy that was delayed for a long time."""
        request_id = self.new_id()
        self.clock.advance(11 * 60)
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(ErrorKind.OUTCOME_UNKNOWN, failure.kind)
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id)
        )

    async def test_pruned_run_is_never_not_run(self) -> None:
        """Guards against 'not run' after owner and backup pruned the id."""
        request_id = self.new_id()
        await self.begin(request_id)
        await self.systems['owner'].finish(ACCOUNT, request_id, RESPONSE)
        await self.flush()
        self.clock.advance(21 * 60)
        for system in self.systems.values():
            system.tick(self.clock.now())
        for dropped in (False, True):
            if dropped:
                self.drop_calls('backup')
            failure = (await self.begin(request_id)).unwrap_err()
            self.assertIs(ErrorKind.OUTCOME_UNKNOWN, failure.kind)
            self.assertEqual(
                ErrorKind.OUTCOME_UNKNOWN, await self.resolve(request_id)
            )

    async def test_full_backup_refuses_and_permits_a_retry(
        self,
    ) -> None:
        """Guards against an id that stays refused once there is room."""
        self.systems['backup'].backup.table.max_records = 0
        request_id = self.new_id()
        failure = (await self.begin(request_id)).unwrap_err()
        self.assertIs(ErrorKind.OVERLOADED, failure.kind)
        self.systems['backup'].backup.table.max_records = 10
        self.assertTrue((await self.begin(request_id)).unwrap().should_run)

    async def test_full_owner_refuses(self) -> None:
        """Guards against an owner that runs ids it cannot record."""
        self.systems['owner'].owned_requests.max_records = 0
        failure = (await self.begin(self.new_id())).unwrap_err()
        self.assertIs(ErrorKind.OVERLOADED, failure.kind)

    async def test_malformed_messages_are_refused(self) -> None:
        """Guards against records made from messages of another version."""
        valid_message: dict[str, typing.Any] = {
            'event': 'intend',
            'account': ACCOUNT,
            'id': self.new_id(),
            'digest': DIGEST,
            'answer': None,
        }
        response_doc = {
            'status': 200,
            'headers': [],
            'body': '',
            'too_large': False,
        }
        malformed: list[dict[str, typing.Any]] = [
            {},
            {**valid_message, 'event': 'other'},
            {**valid_message, 'id': 'x'},
            {**valid_message, 'extra': 1},
            {**valid_message, 'answer': {**response_doc, 'body': '%'}},
            {
                **valid_message,
                'answer': {**response_doc, 'headers': [['one']]},
            },
        ]
        backup = self.systems['backup']
        for message in malformed:
            with self.subTest(message=message):
                failure = (await backup.backup.handle(message)).unwrap_err()
                self.assertIs(ErrorKind.BAD_REQUEST, failure.kind)
        self.assertEqual({}, backup.backup.table.records)
        self.assertEqual(
            'go', (await backup.backup.handle(valid_message)).unwrap()['reply']
        )
