"""Tests of the backup's records."""

import typing
import unittest

import result

from filbertstep import delivery
from filbertstep import errors

KEY = ('cafe', 'vm-1~a~vm-2~b~100~x')
START = 100 * 60.0
DIGEST = 'd1'
RESPONSE = delivery.StoredResponse(201, (('Content-Type', 'x/y'),), b'booked')

Event = delivery.Event
Reply = delivery.Reply
State = delivery.State


class Case(typing.NamedTuple):
    """A transition: ``event`` applied to the state after ``prior_events``."""

    prior_events: tuple[delivery.Event, ...]
    state: delivery.State
    event: delivery.Event
    next: delivery.State
    reply: delivery.Reply


INTENDED = (Event.INTEND,)
FENCED = (Event.RESOLVE,)
DONE = (Event.INTEND, Event.FINISH)

CASES = [
    # The rows of the design page.
    Case((), State.NONE, Event.INTEND, State.INTENDED, Reply.GO),
    Case((), State.NONE, Event.RESOLVE, State.FENCED, Reply.NOT_RUN),
    Case(
        INTENDED, State.INTENDED, Event.INTEND, State.INTENDED, Reply.DUPLICATE
    ),
    Case(
        INTENDED,
        State.INTENDED,
        Event.RESOLVE,
        State.INTENDED,
        Reply.OUTCOME_UNKNOWN,
    ),
    Case(INTENDED, State.INTENDED, Event.FINISH, State.DONE, Reply.OK),
    Case(INTENDED, State.INTENDED, Event.WITHDRAW, State.FENCED, Reply.OK),
    Case(FENCED, State.FENCED, Event.INTEND, State.FENCED, Reply.REFUSED),
    Case(FENCED, State.FENCED, Event.RESOLVE, State.FENCED, Reply.NOT_RUN),
    Case(DONE, State.DONE, Event.INTEND, State.DONE, Reply.STORED),
    Case(DONE, State.DONE, Event.RESOLVE, State.DONE, Reply.STORED),
    # Retried and reordered messages.
    Case((), State.NONE, Event.WITHDRAW, State.FENCED, Reply.OK),
    Case((), State.NONE, Event.FINISH, State.NONE, Reply.CONFLICT),
    Case(FENCED, State.FENCED, Event.WITHDRAW, State.FENCED, Reply.OK),
    Case(FENCED, State.FENCED, Event.FINISH, State.FENCED, Reply.CONFLICT),
    Case(DONE, State.DONE, Event.FINISH, State.DONE, Reply.OK),
    Case(DONE, State.DONE, Event.WITHDRAW, State.DONE, Reply.CONFLICT),
]


class TableCase(unittest.TestCase):
    """A table with at most one record of ``KEY``."""

    def setUp(self) -> None:
        """Create an empty table."""
        self.table = delivery.IntentTable()

    def apply(
        self,
        event: delivery.Event,
        key: tuple[str, str] = KEY,
        minute: int = 100,
        digest: str = DIGEST,
        now: float = START,
        response: delivery.StoredResponse | None = RESPONSE,
    ) -> result.Result[typing.Any, errors.Failure]:
        """Apply an event; ``response`` is used for ``FINISH`` only."""
        stored_response = response if event is Event.FINISH else None
        return self.table.apply(
            event, key, minute, digest, now, stored_response
        )

    def state(self) -> delivery.State:
        """Return the state of ``KEY``."""
        record = self.table.records.get(KEY)
        return State.NONE if record is None else record.state


class TestTransitions(TableCase):
    """Every row of ``INTENT_TRANSITIONS``."""

    def test_every_row(self) -> None:
        """Guards against a row with a wrong next state or reply."""
        for row in CASES:
            with self.subTest(state=row.state, event=row.event):
                self.table = delivery.IntentTable()
                for event in row.prior_events:
                    self.apply(event)
                self.assertIs(row.state, self.state())
                applied = self.apply(row.event).unwrap()
                self.assertIs(row.reply, applied.reply)
                self.assertIs(row.next, self.state())
                stored = RESPONSE if row.reply is Reply.STORED else None
                self.assertEqual(stored, applied.response)

    def test_rows_cover_the_table(self) -> None:
        """Guards against a transition without a test case."""
        self.assertEqual(
            set(delivery.INTENT_TRANSITIONS),
            {(row.state, row.event) for row in CASES},
        )
        self.assertEqual(len(State) * len(Event), len(CASES))

    def test_second_finish_keeps_the_first_response(self) -> None:
        """Guards against two different responses for one id."""
        self.apply(Event.INTEND)
        self.apply(Event.FINISH)
        self.apply(Event.FINISH, response=RESPONSE._replace(status=500))
        self.assertEqual(RESPONSE, self.apply(Event.RESOLVE).unwrap().response)


class TestAge(TableCase):
    """Ids are accepted for ten minutes and recorded for twenty."""

    def test_age_limits(self) -> None:
        """Guards against ids that are too old or from the future."""
        for minute, recorded in [
            (100, True),
            (90, True),
            (89, False),
            (101, False),
        ]:
            for event in (Event.INTEND, Event.RESOLVE, Event.WITHDRAW):
                with self.subTest(minute=minute, event=event):
                    self.table = delivery.IntentTable()
                    applied = self.apply(event, minute=minute).unwrap()
                    self.assertEqual(
                        recorded, applied.reply is not Reply.EXPIRED
                    )
                    self.assertEqual(recorded, KEY in self.table.records)

    def test_pruned_id_is_too_old(self) -> None:
        """Guards against an id that runs again after its record is pruned."""
        self.apply(Event.INTEND, now=START + 59.9 + 10 * 60)
        pruned_at = START + 59.9 + 30 * 60
        self.table.prune(pruned_at - 0.1)
        self.assertIs(State.INTENDED, self.state())
        self.table.prune(pruned_at)
        self.assertIs(State.NONE, self.state())
        applied = self.apply(Event.INTEND, now=pruned_at).unwrap()
        self.assertIs(Reply.EXPIRED, applied.reply)

    def test_known_id_is_answered_after_ten_minutes(self) -> None:
        """Guards against 'expired' for an id whose record still exists."""
        self.apply(Event.INTEND)
        self.apply(Event.FINISH)
        applied = self.apply(Event.RESOLVE, now=START + 19 * 60).unwrap()
        self.assertEqual(RESPONSE, applied.response)


class TestKeysAndDigests(TableCase):
    """Records belong to one account and one request."""

    def test_other_account_sees_nothing(self) -> None:
        """Guards against an account that gets a response of another one."""
        self.apply(Event.INTEND)
        self.apply(Event.FINISH)
        applied = self.apply(Event.RESOLVE, key=('other', KEY[1])).unwrap()
        self.assertIs(Reply.NOT_RUN, applied.reply)

    def test_other_digest_is_refused(self) -> None:
        """Guards against the response to a different request."""
        for event in (Event.INTEND, Event.RESOLVE):
            with self.subTest(event=event):
                self.table = delivery.IntentTable()
                self.apply(Event.INTEND)
                failure = self.apply(event, digest='d2').unwrap_err()
                self.assertIs(errors.ErrorKind.ID_REUSED, failure.kind)

    def test_query_without_the_request(self) -> None:
        """Guards against an outcome query that needs the request body."""
        self.apply(Event.INTEND)
        self.apply(Event.FINISH)
        applied = self.apply(Event.RESOLVE, digest='').unwrap()
        self.assertEqual(RESPONSE, applied.response)


class TestBounds(TableCase):
    """Memory is limited without dropping a record that is still needed."""

    def test_full_table_refuses(self) -> None:
        """Guards against a fence that is dropped to make room."""
        self.table = delivery.IntentTable(max_records=2)
        keys = [('cafe', f'vm-1~a~vm-2~b~100~{n}') for n in range(3)]
        self.apply(Event.INTEND, key=keys[0])
        self.apply(Event.RESOLVE, key=keys[1])
        failure = self.apply(Event.INTEND, key=keys[2]).unwrap_err()
        self.assertIs(errors.ErrorKind.OVERLOADED, failure.kind)
        reply = self.apply(Event.RESOLVE, key=keys[2]).unwrap()
        self.assertIs(Reply.OUTCOME_UNKNOWN, reply.reply)
        self.assertEqual(keys[:2], list(self.table.records))
        self.table.prune(START + 20 * 60)
        self.assertEqual({}, self.table.records)

    def test_one_account_leaves_room_for_others(self) -> None:
        """Guards against one client account that fills the table."""
        self.table = delivery.IntentTable(
            max_records=4, max_records_per_account=2
        )
        for number in range(3):
            for account, room in (('loud', number < 2), ('calm', True)):
                if account == 'calm' and number == 2:
                    continue
                key = (account, f'vm-1~a~vm-2~b~100~{number}')
                got = self.apply(Event.INTEND, key=key)
                self.assertEqual(room, isinstance(got, result.Ok))
        self.table.prune(START + 20 * 60)
        self.assertEqual(0, len(self.table.record_counts))

    def test_large_response_is_marked_too_large(self) -> None:
        """Guards against a dropped body that looks complete."""
        limit = delivery.MAX_STORED_BODY
        for size, too_large in [(limit, False), (limit + 1, True)]:
            with self.subTest(size=size):
                self.table = delivery.IntentTable()
                self.apply(Event.INTEND)
                self.apply(
                    Event.FINISH, response=RESPONSE._replace(body=b'x' * size)
                )
                stored = self.apply(Event.RESOLVE).unwrap().response
                self.assertEqual(too_large, stored.too_large)
                self.assertEqual(0 if too_large else size, len(stored.body))

    def test_bytes_of_all_responses_are_limited(self) -> None:
        """Guards against response bodies that use up the node's memory."""
        self.table = delivery.IntentTable(max_stored_bytes=1000)
        for number in range(5):
            key = ('cafe', f'vm-1~a~vm-2~b~100~{number}')
            self.apply(Event.INTEND, key=key)
            response = RESPONSE._replace(body=b'x' * 300)
            self.apply(Event.FINISH, key=key, response=response)
        too_large_flags = [
            record.response.too_large
            for record in self.table.records.values()
            if record.response is not None
        ]
        self.assertEqual([False, False, False, True, True], too_large_flags)
        self.table.prune(START + 20 * 60)
        self.assertEqual(0, self.table.budget.used_bytes)
