"""Tests of the backup's records."""

import typing
import unittest

import result

from filbertstep import delivery
from filbertstep import errors

KEY = ('cafe', 'vm-1~a~vm-2~b~100~x')
START = 100 * 60.0
DIGEST = 'd1'
ANSWER = delivery.StoredResponse(201, (('Content-Type', 'x/y'),), b'booked')

E = delivery.Event
R = delivery.Reply
S = delivery.State


class Row(typing.NamedTuple):
    """One row of the state table: what the events before led to."""

    before: tuple[delivery.Event, ...]
    state: delivery.State
    event: delivery.Event
    next: delivery.State
    reply: delivery.Reply


INTENDED = (E.INTEND,)
FENCED = (E.RESOLVE,)
DONE = (E.INTEND, E.FINISH)

ROWS = [
    # The rows of the design page.
    Row((), S.NONE, E.INTEND, S.INTENDED, R.GO),
    Row((), S.NONE, E.RESOLVE, S.FENCED, R.NOT_RUN),
    Row(INTENDED, S.INTENDED, E.INTEND, S.INTENDED, R.DUPLICATE),
    Row(INTENDED, S.INTENDED, E.RESOLVE, S.INTENDED, R.OUTCOME_UNKNOWN),
    Row(INTENDED, S.INTENDED, E.FINISH, S.DONE, R.OK),
    Row(INTENDED, S.INTENDED, E.WITHDRAW, S.FENCED, R.OK),
    Row(FENCED, S.FENCED, E.INTEND, S.FENCED, R.REFUSED),
    Row(FENCED, S.FENCED, E.RESOLVE, S.FENCED, R.NOT_RUN),
    Row(DONE, S.DONE, E.INTEND, S.DONE, R.STORED),
    Row(DONE, S.DONE, E.RESOLVE, S.DONE, R.STORED),
    # Repeated and overtaking messages.
    Row((), S.NONE, E.WITHDRAW, S.FENCED, R.OK),
    Row((), S.NONE, E.FINISH, S.NONE, R.CONFLICT),
    Row(FENCED, S.FENCED, E.WITHDRAW, S.FENCED, R.OK),
    Row(FENCED, S.FENCED, E.FINISH, S.FENCED, R.CONFLICT),
    Row(DONE, S.DONE, E.FINISH, S.DONE, R.OK),
    Row(DONE, S.DONE, E.WITHDRAW, S.DONE, R.CONFLICT),
]


class TableCase(unittest.TestCase):
    """A table and its state of one id."""

    def setUp(self) -> None:
        """Make an empty table."""
        self.table = delivery.IntentTable()

    def apply(
        self,
        event: delivery.Event,
        key: tuple[str, str] = KEY,
        minute: int = 100,
        digest: str = DIGEST,
        now: float = START,
        answer: delivery.StoredResponse | None = ANSWER,
    ) -> result.Result[typing.Any, errors.Failure]:
        """Apply an event, a finish with its answer."""
        given = answer if event is E.FINISH else None
        return self.table.apply(event, key, minute, digest, now, given)

    def state(self) -> delivery.State:
        """Return the state of the id."""
        record = self.table.records.get(KEY)
        return S.NONE if record is None else record.state


class TestTransitions(TableCase):
    """Every row of the state table."""

    def test_every_row(self) -> None:
        """Guards against a row that runs an id twice or lies about it."""
        for row in ROWS:
            with self.subTest(state=row.state, event=row.event):
                self.table = delivery.IntentTable()
                for event in row.before:
                    self.apply(event)
                self.assertIs(row.state, self.state())
                applied = self.apply(row.event).unwrap()
                self.assertIs(row.reply, applied.reply)
                self.assertIs(row.next, self.state())
                stored = ANSWER if row.reply is R.STORED else None
                self.assertEqual(stored, applied.response)

    def test_rows_cover_the_table(self) -> None:
        """Guards against a row that was added without a test."""
        self.assertEqual(
            set(delivery.INTENT_TRANSITIONS),
            {(row.state, row.event) for row in ROWS},
        )
        self.assertEqual(len(S) * len(E), len(ROWS))

    def test_second_finish_keeps_the_first_answer(self) -> None:
        """Guards against two answers of one id."""
        self.apply(E.INTEND)
        self.apply(E.FINISH)
        self.apply(E.FINISH, answer=ANSWER._replace(status=500))
        self.assertEqual(ANSWER, self.apply(E.RESOLVE).unwrap().response)


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
            for event in (E.INTEND, E.RESOLVE, E.WITHDRAW):
                with self.subTest(minute=minute, event=event):
                    self.table = delivery.IntentTable()
                    applied = self.apply(event, minute=minute).unwrap()
                    self.assertEqual(recorded, applied.reply is not R.EXPIRED)
                    self.assertEqual(recorded, KEY in self.table.records)

    def test_forgotten_id_is_too_old(self) -> None:
        """Guards against an id that runs again after it was forgotten."""
        self.apply(E.INTEND, now=START + 59.9 + 10 * 60)
        forgotten_at = START + 59.9 + 30 * 60
        self.table.prune(forgotten_at - 0.1)
        self.assertIs(S.INTENDED, self.state())
        self.table.prune(forgotten_at)
        self.assertIs(S.NONE, self.state())
        applied = self.apply(E.INTEND, now=forgotten_at).unwrap()
        self.assertIs(R.EXPIRED, applied.reply)

    def test_known_id_is_answered_after_ten_minutes(self) -> None:
        """Guards against an outcome that is lost while it is kept."""
        self.apply(E.INTEND)
        self.apply(E.FINISH)
        applied = self.apply(E.RESOLVE, now=START + 19 * 60).unwrap()
        self.assertEqual(ANSWER, applied.response)


class TestKeysAndDigests(TableCase):
    """Records belong to one account and one request."""

    def test_other_account_sees_nothing(self) -> None:
        """Guards against an account that reads another's answer."""
        self.apply(E.INTEND)
        self.apply(E.FINISH)
        applied = self.apply(E.RESOLVE, key=('other', KEY[1])).unwrap()
        self.assertIs(R.NOT_RUN, applied.reply)

    def test_other_digest_is_refused(self) -> None:
        """Guards against an answer to a request that was not asked."""
        for event in (E.INTEND, E.RESOLVE):
            with self.subTest(event=event):
                self.table = delivery.IntentTable()
                self.apply(E.INTEND)
                failure = self.apply(event, digest='d2').unwrap_err()
                self.assertIs(errors.ErrorKind.ID_REUSED, failure.kind)

    def test_question_without_the_request(self) -> None:
        """Guards against a poll that needs the body."""
        self.apply(E.INTEND)
        self.apply(E.FINISH)
        applied = self.apply(E.RESOLVE, digest='').unwrap()
        self.assertEqual(ANSWER, applied.response)


class TestBounds(TableCase):
    """Memory is bounded without forgetting a record that is needed."""

    def test_full_table_refuses(self) -> None:
        """Guards against a fence that is forgotten to make room."""
        self.table = delivery.IntentTable(max_records=2)
        keys = [('cafe', f'vm-1~a~vm-2~b~100~{n}') for n in range(3)]
        self.apply(E.INTEND, key=keys[0])
        self.apply(E.RESOLVE, key=keys[1])
        refused = self.apply(E.INTEND, key=keys[2]).unwrap_err()
        self.assertIs(errors.ErrorKind.OVERLOADED, refused.kind)
        unfenced = self.apply(E.RESOLVE, key=keys[2]).unwrap()
        self.assertIs(R.OUTCOME_UNKNOWN, unfenced.reply)
        self.assertEqual(keys[:2], list(self.table.records))
        self.table.prune(START + 20 * 60)
        self.assertEqual({}, self.table.records)

    def test_one_account_leaves_room_for_others(self) -> None:
        """Guards against one tenant that fills the table."""
        self.table = delivery.IntentTable(
            max_records=4, max_records_per_account=2
        )
        for number in range(3):
            for account, room in (('loud', number < 2), ('calm', True)):
                if account == 'calm' and number == 2:
                    continue
                key = (account, f'vm-1~a~vm-2~b~100~{number}')
                got = self.apply(E.INTEND, key=key)
                self.assertEqual(room, isinstance(got, result.Ok))
        self.table.prune(START + 20 * 60)
        self.assertEqual(0, len(self.table.record_counts))

    def test_large_answer_is_known_to_have_run(self) -> None:
        """Guards against a cut body that passes for the whole one."""
        limit = delivery.MAX_STORED_BODY
        for size, too_large in [(limit, False), (limit + 1, True)]:
            with self.subTest(size=size):
                self.table = delivery.IntentTable()
                self.apply(E.INTEND)
                self.apply(E.FINISH, answer=ANSWER._replace(body=b'x' * size))
                stored = self.apply(E.RESOLVE).unwrap().response
                self.assertEqual(too_large, stored.too_large)
                self.assertEqual(0 if too_large else size, len(stored.body))

    def test_bytes_of_all_answers_are_bounded(self) -> None:
        """Guards against a node that runs out of memory."""
        self.table = delivery.IntentTable(max_stored_bytes=1000)
        for number in range(5):
            key = ('cafe', f'vm-1~a~vm-2~b~100~{number}')
            self.apply(E.INTEND, key=key)
            answer = ANSWER._replace(body=b'x' * 300)
            self.apply(E.FINISH, key=key, answer=answer)
        kept = [
            record.response.too_large
            for record in self.table.records.values()
            if record.response is not None
        ]
        self.assertEqual([False, False, False, True, True], kept)
        self.table.prune(START + 20 * 60)
        self.assertEqual(0, self.table.budget.used_bytes)
