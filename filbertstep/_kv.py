"""Table of the stand-in store: keys, sessions and one modify index."""

import base64
import re
import typing
import uuid

import result

MAX_VALUE_BYTES: typing.Final = 1_000_000

# Consul's bounds of a session's time to live, and the time for which a key
# whose lock was lost with its session cannot be locked again, in seconds.
MIN_TTL_S: typing.Final = 10.0
MAX_TTL_S: typing.Final = 86_400.0
DEFAULT_LOCK_DELAY_S: typing.Final = 15.0

UNITS_S: typing.Final = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0}


class KvEntry(typing.NamedTuple):
    """Row of a key."""

    key: str
    value: bytes
    flags: int
    create_index: int
    modify_index: int
    lock_index: int
    session: str | None

    def document(self) -> dict[str, object]:
        """Return the entry as the API shows it."""
        doc: dict[str, object] = {
            'LockIndex': self.lock_index,
            'Key': self.key,
            'Flags': self.flags,
            'Value': base64.b64encode(self.value).decode(),
            'CreateIndex': self.create_index,
            'ModifyIndex': self.modify_index,
        }
        if self.session is not None:
            doc['Session'] = self.session
        return doc


class Session(typing.NamedTuple):
    """Row of a session; without TTL ``expires_at`` is None."""

    id: str
    name: str
    ttl_s: float
    behavior: str
    lock_delay_s: float
    expires_at: float | None
    create_index: int

    def document(self) -> dict[str, object]:
        """Return the session as the API shows it."""
        return {
            'ID': self.id,
            'Name': self.name,
            'TTL': f'{self.ttl_s:g}s' if self.ttl_s else '',
            'Behavior': self.behavior,
            'LockDelay': int(self.lock_delay_s * 1e9),
            'CreateIndex': self.create_index,
            'ModifyIndex': self.create_index,
        }


class Put(typing.NamedTuple):
    """One write; ``cas`` 0 means that the key must be absent."""

    key: str
    value: bytes
    flags: int = 0
    cas: int | None = None
    acquire: str | None = None
    release: str | None = None
    keeps_index: bool = True


def duration_s(text: str, default: float) -> float:
    """Return seconds of a duration such as ``10s`` or ``500ms``."""
    parts = re.findall(r'(\d+(?:\.\d+)?)(ms|s|m|h)', text)
    if not parts:
        return float(text) if text.isdigit() else default
    return sum(float(number) * UNITS_S[unit] for number, unit in parts)


class KvTable:
    """Keys and sessions; every change raises the one modify index."""

    def __init__(self) -> None:
        # Consul's index starts above 0, since 0 means "do not block".
        self.index = 1
        self.entries: dict[str, KvEntry] = {}
        self.sessions: dict[str, Session] = {}
        self.locked_until: dict[str, float] = {}

    def find(self, key: str, prefix: bool) -> list[KvEntry]:
        """Return a key's entry, or those of all keys with a prefix."""
        if not prefix:
            entry = self.entries.get(key)
            return [] if entry is None else [entry]
        return [
            entry
            for name, entry in sorted(self.entries.items())
            if name.startswith(key)
        ]

    def index_of(self, key: str, prefix: bool) -> int:
        """Return the index that a blocking query compares with.

        Absent keys and prefixes have the newest index, so that a query for
        them may return early, which Consul permits.
        """
        if prefix or key not in self.entries:
            return self.index
        return self.entries[key].modify_index

    def put(self, put: Put, now: float) -> result.Result[bool, str]:
        """Write a key if its conditions hold."""
        entry = self.entries.get(put.key)
        if put.cas is not None:
            held = 0 if entry is None else entry.modify_index
            if put.cas != held:
                return result.Ok(False)
        session = None if entry is None else entry.session
        lock_index = 0 if entry is None else entry.lock_index
        if put.acquire is not None:
            if put.acquire not in self.sessions:
                return result.Err(f'invalid session {put.acquire!r}')
            if session not in (None, put.acquire) or (
                now < self.locked_until.get(put.key, now)
            ):
                return result.Ok(False)
            lock_index += int(session is None)
            session = put.acquire
        if put.release is not None:
            if session is None or session != put.release:
                return result.Ok(False)
            session = None
        self.store(put, lock_index, session)
        return result.Ok(True)

    def store(self, put: Put, lock_index: int, session: str | None) -> None:
        """Replace an entry, unless nothing in it changes."""
        entry = self.entries.get(put.key)
        new = KvEntry(
            key=put.key,
            value=put.value,
            flags=put.flags,
            create_index=self.index + 1
            if entry is None
            else entry.create_index,
            modify_index=self.index + 1,
            lock_index=lock_index,
            session=session,
        )
        if entry is not None and put.keeps_index:
            if new._replace(modify_index=entry.modify_index) == entry:
                return
        self.index += 1
        self.entries[put.key] = new

    def delete(self, key: str, prefix: bool, cas: int | None) -> bool:
        """Delete a key, or all with a prefix; False if ``cas`` differs."""
        found = self.find(key, prefix)
        if cas is not None:
            held = found[0].modify_index if found else 0
            if cas != held or cas == 0:
                return False
        if found:
            self.index += 1
        for entry in found:
            del self.entries[entry.key]
        return True

    def create_session(
        self, body: dict[str, typing.Any], now: float
    ) -> result.Result[Session, str]:
        """Create a session from the fields of the API."""
        ttl_s = duration_s(str(body.get('TTL', '')), 0.0)
        if ttl_s and not MIN_TTL_S <= ttl_s <= MAX_TTL_S:
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
            lock_delay_s=duration_s(
                str(body.get('LockDelay', '')), DEFAULT_LOCK_DELAY_S
            ),
            expires_at=now + ttl_s if ttl_s else None,
            create_index=self.index,
        )
        self.sessions[session.id] = session
        return result.Ok(session)

    def renew_session(self, session_id: str, now: float) -> Session | None:
        """Start a session's time to live anew."""
        session = self.sessions.get(session_id)
        if session is None:
            return None
        if session.expires_at is not None:
            session = session._replace(expires_at=now + session.ttl_s)
            self.sessions[session_id] = session
        return session

    def end_session(self, session_id: str, now: float) -> None:
        """Remove a session; its keys are released or deleted."""
        session = self.sessions.pop(session_id, None)
        if session is None:
            return
        held = [
            entry
            for entry in self.entries.values()
            if entry.session == session_id
        ]
        self.index += 1
        for entry in held:
            self.locked_until[entry.key] = now + session.lock_delay_s
            if session.behavior == 'delete':
                del self.entries[entry.key]
            else:
                self.entries[entry.key] = entry._replace(
                    session=None, modify_index=self.index
                )

    def expire(self, now: float) -> bool:
        """End sessions whose time is over; tell whether there were any."""
        over = [
            session.id
            for session in self.sessions.values()
            if session.expires_at is not None and session.expires_at <= now
        ]
        for session_id in over:
            self.end_session(session_id, now)
        return bool(over)
