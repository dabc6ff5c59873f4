"""The backup's side of the intent protocol, and calls to it.

A process can be the backup of its own ids when there is no other VM, so the
records are reached in the same way wherever they are.
"""

import collections
import typing

import result

from filbertstep import _intent_messages
from filbertstep import _intent_table
from filbertstep import _request_ids
from filbertstep import clock as clocks
from filbertstep import codec
from filbertstep import errors
from filbertstep import transport

# Time limit in seconds of one call to the backup.  A round trip to another
# region takes 24 ms; a caller with an order waits this long at most when the
# backup just died.
CALL_TIMEOUT_S: typing.Final = 0.5


class Backup:
    """The records of this process, and the way to those of others."""

    def __init__(
        self,
        vm: str,
        incarnation: str,
        clock: clocks.Clock,
        peers: transport.Peers,
        max_records: int,
        counts: collections.Counter[str],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.clock = clock
        self.peers = peers
        self.table = _intent_table.IntentTable(max_records)
        self.counts = counts

    async def handle(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a message of an owner or of a VM that was asked."""
        checked = codec.convert(message, _intent_messages.IntentDoc)
        if isinstance(checked, result.Err):
            return _intent_messages.bad_request(checked.err_value)
        doc = checked.ok_value
        parsed = _request_ids.parse_request_id(doc['id'])
        if isinstance(parsed, result.Err):
            return parsed
        response = _intent_messages.response_from_doc(doc['answer'])
        if isinstance(response, result.Err):
            return response
        applied = self.apply(
            doc['event'],
            (doc['account'], doc['id']),
            parsed.ok_value.grant,
            doc['digest'],
            response.ok_value,
        )
        if isinstance(applied, result.Err):
            return applied
        reply = _intent_messages.ReplyDoc(
            reply=applied.ok_value.reply,
            answer=_intent_messages.response_to_doc(applied.ok_value.response),
        )
        return result.Ok(dict(reply))

    def apply(
        self,
        event: _intent_table.Event,
        key: _intent_table.RecordKey,
        grant: _request_ids.Grant,
        digest: str,
        response: _intent_table.StoredResponse | None,
    ) -> result.Result[_intent_table.BackupReply, errors.Failure]:
        """Apply an event to this process's own records."""
        self.counts[f'intent_{event.value}'] += 1
        this_process = (self.vm, self.incarnation)
        if (grant.backup, grant.backup_incarnation) != this_process:
            expired = _intent_table.BackupReply(_intent_table.Reply.EXPIRED)
            return result.Ok(expired)
        return self.table.apply(
            event, key, grant.minute, digest, self.clock.now(), response
        )

    async def send_event(
        self,
        event: _intent_table.Event,
        key: _intent_table.RecordKey,
        grant: _request_ids.Grant,
        digest: str,
        response: _intent_table.StoredResponse | None = None,
    ) -> result.Result[_intent_table.BackupReply, errors.Failure]:
        """Tell or ask the backup of a grant, which may be this process."""
        if grant.backup == self.vm:
            return self.apply(event, key, grant, digest, response)
        message = _intent_messages.IntentDoc(
            event=event,
            account=key[0],
            id=key[1],
            digest=digest,
            answer=_intent_messages.response_to_doc(response),
        )
        answered = await self.peers.call(
            grant.backup,
            _intent_messages.INTENT_PATH,
            dict(message),
            CALL_TIMEOUT_S,
        )
        if isinstance(answered, result.Err):
            return answered
        checked = codec.convert(answered.ok_value, _intent_messages.ReplyDoc)
        if isinstance(checked, result.Err):
            return _intent_messages.outcome_unknown(
                f'reply of the backup: {checked.err_value}'
            )
        stored = _intent_messages.response_from_doc(checked.ok_value['answer'])
        if isinstance(stored, result.Err):
            return stored
        return result.Ok(
            _intent_table.BackupReply(
                checked.ok_value['reply'], stored.ok_value
            )
        )
