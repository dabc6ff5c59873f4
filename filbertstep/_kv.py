"""Table of the stand-in store: keys, sessions and their modify index.

Models the data and the rules of Consul's key-value service and sessions;
``_standin_store`` serves it over HTTP.  Times named ``now`` are in seconds of
a monotonic clock.
"""

import base64
import re
import typing
import uuid

import result

MAX_VALUE_BYTES: typing.Final = 1_000_000

# Consul rejects sessions with a time to live outside these bounds.
MIN_SESSION_TTL_S: typing.Final = 10.0
MAX_SESSION_TTL_S: typing.Final = 86_400.0
# Consul's default.  A key that was locked by an invalidated session cannot be
# locked again for this time.
DEFAULT_LOCK_DELAY_S: typing.Final = 15.0

SECONDS_PER_UNIT: typing.Final = {
    'ms': 0.001,
    's': 1.0,
    'm': 60.0,
    'h': 3600.0,
}


class KvEntry(typing.NamedTuple):
    """A key with its value and metadata.

    ``lock_index`` counts how often the key was locked.  ``session_id`` is the
    session that holds the lock, or None.
    """

    key: str
    value: bytes
    flags: int
    create_index: int
    modify_index: int
    lock_index: int
    session_id: str | None

    def api_document(self) -> dict[str, object]:
        """Return the JSON object that the HTTP API shows for the entry."""
        doc: dict[str, object] = {
            'LockIndex': self.lock_index,
            'Key': self.key,
            'Flags': self.flags,
            'Value': base64.b64encode(self.value).decode(),
            'CreateIndex': self.create_index,
            'ModifyIndex': self.modify_index,
        }
        if self.session_id is not None:
            doc['Session'] = self.session_id
        return doc


class Session(typing.NamedTuple):
    """A session, which can hold locks on keys.

    ``behavior`` is ``release`` or ``delete``: what happens to the locked keys
    when the session ends.  ``ttl_s`` 0 means no time to live, and
    ``expires_at`` is None then.
    """

    id: str
    name: str
    ttl_s: float
    behavior: str
    lock_delay_s: float
    expires_at: float | None
    create_index: int

    def api_document(self) -> dict[str, object]:
        """Return the JSON object that the HTTP API shows for the session."""
        return {
            'ID': self.id,
            'Name': self.name,
            'TTL': f'{self.ttl_s:g}s' if self.ttl_s else '',
            'Behavior': self.behavior,
            'LockDelay': int(self.lock_delay_s * 1e9),
            'CreateIndex': self.create_index,
            'ModifyIndex': self.create_index,
        }


class PutRequest(typing.NamedTuple):
    """One write with its conditions.

    ``cas`` is the modify index that the key must have; 0 means that the key
    must be absent.  ``acquire`` and ``release`` are ids of the session that
    locks or unlocks the key.  With ``equal_write_keeps_index``, a write that
    changes nothing does not raise the modify index.
    """

    key: str
    value: bytes
    flags: int = 0
    cas: int | None = None
    acquire: str | None = None
    release: str | None = None
    equal_write_keeps_index: bool = True


def parse_duration_s(text: str, default_s: float) -> float:
    """Parse a duration such as ``10s``, ``500ms`` or ``1m30s``.

    Digits without a unit are seconds; any other text gives the default.
    """
    parts = re.findall(r'(\d+(?:\.\d+)?)(ms|s|m|h)', text)
    if not parts:
        return float(text) if text.isdigit() else default_s
    return sum(
        float(amount) * SECONDS_PER_UNIT[unit] for amount, unit in parts
    )


class KvTable:
    """Keys and sessions, with one modify index that every change raises.

    ``lock_delay_until`` maps a key to the time until which it cannot be
    locked, after the session that held its lock was invalidated.
    """

    def __init__(self) -> None:
        # Starts above 0, because a read with index 0 does not block.
        self.index = 1
        self.entries: dict[str, KvEntry] = {}
        self.sessions: dict[str, Session] = {}
        self.lock_delay_until: dict[str, float] = {}

    def find(self, key: str, is_prefix: bool) -> list[KvEntry]:
        """Return the entry of a key, or of all keys with this prefix."""
        if not is_prefix:
            entry = self.entries.get(key)
            return [] if entry is None else [entry]
        return [
            entry
            for entry_key, entry in sorted(self.entries.items())
            if entry_key.startswith(key)
        ]

    def blocking_index(self, key: str, is_prefix: bool) -> int:
        """Return the index that a blocking query compares with its own.

        For an absent key or a prefix this is the newest index of the table.
        A blocking query for them may therefore return although nothing that
        it reads has changed, which Consul permits.
        """
        if is_prefix or key not in self.entries:
            return self.index
        return self.entries[key].modify_index

    def put(self, request: PutRequest, now: float) -> result.Result[bool, str]:
        """Write a key if all conditions of the request hold.

        Returns whether the key was written, or an error if ``acquire`` names
        an unknown session.
        """
        entry = self.entries.get(request.key)
        if request.cas is not None:
            current_index = 0 if entry is None else entry.modify_index
            if request.cas != current_index:
                return result.Ok(False)
        session_id = None if entry is None else entry.session_id
        lock_index = 0 if entry is None else entry.lock_index
        if request.acquire is not None:
            if request.acquire not in self.sessions:
                return result.Err(f'invalid session {request.acquire!r}')
            if session_id not in (None, request.acquire) or (
                now < self.lock_delay_until.get(request.key, now)
            ):
                return result.Ok(False)
            lock_index += int(session_id is None)
            session_id = request.acquire
        if request.release is not None:
            if session_id is None or session_id != request.release:
                return result.Ok(False)
            session_id = None
        self.replace_entry(request, lock_index, session_id)
        return result.Ok(True)

    def replace_entry(
        self, request: PutRequest, lock_index: int, session_id: str | None
    ) -> None:
        """Store the new entry of a key.

        Keeps the old entry and index if nothing changes and the request asks
        for that.
        """
        entry = self.entries.get(request.key)
        new_entry = KvEntry(
            key=request.key,
            value=request.value,
            flags=request.flags,
            create_index=self.index + 1
            if entry is None
            else entry.create_index,
            modify_index=self.index + 1,
            lock_index=lock_index,
            session_id=session_id,
        )
        if entry is not None and request.equal_write_keeps_index:
            if new_entry._replace(modify_index=entry.modify_index) == entry:
                return
        self.index += 1
        self.entries[request.key] = new_entry

    def delete(self, key: str, is_prefix: bool, cas: int | None) -> bool:
        """Delete a key, or all keys with this prefix.

        Returns False and deletes nothing if ``cas`` is given and is 0 or
        differs from the modify index of the key.
        """
        matches = self.find(key, is_prefix)
        if cas is not None:
            current_index = matches[0].modify_index if matches else 0
            if cas != current_index or cas == 0:
                return False
        if matches:
            self.index += 1
        for entry in matches:
            del self.entries[entry.key]
        return True

    def create_session(
        self, body: dict[str, typing.Any], now: float
    ) -> result.Result[Session, str]:
        """Create a session from the request body of the HTTP API.

        Returns an error if ``TTL`` or ``Behavior`` is invalid.
        """
        ttl_s = parse_duration_s(str(body.get('TTL', '')), 0.0)
        if ttl_s and not MIN_SESSION_TTL_S <= ttl_s <= MAX_SESSION_TTL_S:
            return result.Err('TTL must be between 10s and 24h')
        behavior = str(body.get('Behavior', 'release'))
        if behavior not in ('release', 'delete'):
            return result.Err(f'invalid behavior {behavior!r}')
        self.index += 1
        session = Session(
            id=str(uuid.uuid4()),
            name=str(body.get('Name', '')),
            ttl_s=ttl_s,
            behavior=behavior,
            lock_delay_s=parse_duration_s(
                str(body.get('LockDelay', '')), DEFAULT_LOCK_DELAY_S
            ),
            expires_at=now + ttl_s if ttl_s else None,
            create_index=self.index,
        )
        self.sessions[session.id] = session
        return result.Ok(session)

    def renew_session(self, session_id: str, now: float) -> Session | None:
        """Restart a session's time to live; None if the id is unknown."""
        session = self.sessions.get(session_id)
        if session is None:
            return None
        if session.expires_at is not None:
            session = session._replace(expires_at=now + session.ttl_s)
            self.sessions[session_id] = session
        return session

    def invalidate_session(self, session_id: str, now: float) -> None:
        """Remove a session; release or delete the keys that it has locked.

        An unknown session is ignored.
        """
        session = self.sessions.pop(session_id, None)
        if session is None:
            return
        locked_entries = [
            entry
            for entry in self.entries.values()
            if entry.session_id == session_id
        ]
        self.index += 1
        for entry in locked_entries:
            self.lock_delay_until[entry.key] = now + session.lock_delay_s
            if session.behavior == 'delete':
                del self.entries[entry.key]
            else:
                self.entries[entry.key] = entry._replace(
                    session_id=None, modify_index=self.index
                )

    def expire_sessions(self, now: float) -> bool:
        """Invalidate expired sessions; return whether there were any."""
        expired_ids = [
            session.id
            for session in self.sessions.values()
            if session.expires_at is not None and session.expires_at <= now
        ]
        for session_id in expired_ids:
            self.invalidate_session(session_id, now)
        return bool(expired_ids)
