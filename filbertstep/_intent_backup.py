"""Access to intent records, in this process or in that of another VM.

A process is its own backup when there is no other VM, so callers reach the
records in the same way wherever they are.
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

# A round trip to another region takes 24 ms.  When the backup has just died, a
# caller's request is delayed by at most this time.
CALL_TIMEOUT_S: typing.Final = 0.5


class Backup:
    """Intent records of this process as backup, and calls to other backups.

    ``counts`` counts the events applied here, by ``intent_`` and the event.
    """

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
        """Apply the event in a message of a peer and return the reply.

        Failures: ``bad_request`` for a malformed message, and those of
        ``IntentTable.apply``.
        """
        converted = codec.convert(message, _intent_messages.IntentDoc)
        if isinstance(converted, result.Err):
            return _intent_messages.bad_request(converted.err_value)
        doc = converted.ok_value
        parsed = _request_ids.parse_request_id(doc['id'])
        if isinstance(parsed, result.Err):
            return parsed
        response = _intent_messages.response_from_doc(doc['answer'])
        if isinstance(response, result.Err):
            return response
        applied = self.apply_locally(
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

    def apply_locally(
        self,
        event: _intent_table.Event,
        key: _intent_table.RecordKey,
        grant: _request_ids.Grant,
        digest: str,
        response: _intent_table.StoredResponse | None,
    ) -> result.Result[_intent_table.BackupReply, errors.Failure]:
        """Apply an event to the records of this process.

        Replies ``EXPIRED`` if the grant names another process as the backup.
        """
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
        """Apply an event at the backup of a grant, which may be this process.

        Failures: those of ``IntentTable.apply``; those of the call if the
        backup is unreachable; ``outcome_unknown`` or ``bad_request`` for a
        malformed reply.
        """
        if grant.backup == self.vm:
            return self.apply_locally(event, key, grant, digest, response)
        message = _intent_messages.IntentDoc(
            event=event,
            account=key[0],
            id=key[1],
            digest=digest,
            answer=_intent_messages.response_to_doc(response),
        )
        call_result = await self.peers.call(
            grant.backup,
            _intent_messages.INTENT_PATH,
            dict(message),
            CALL_TIMEOUT_S,
        )
        if isinstance(call_result, result.Err):
            return call_result
        converted = codec.convert(
            call_result.ok_value, _intent_messages.ReplyDoc
        )
        if isinstance(converted, result.Err):
            return _intent_messages.outcome_unknown(
                f'reply of the backup: {converted.err_value}'
            )
        stored = _intent_messages.response_from_doc(
            converted.ok_value['answer']
        )
        if isinstance(stored, result.Err):
            return stored
        return result.Ok(
            _intent_table.BackupReply(
                converted.ok_value['reply'], stored.ok_value
            )
        )
