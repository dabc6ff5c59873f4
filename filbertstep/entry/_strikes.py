"""Quarantines requests that crash backend servers.

A request whose connection to a server broke before any answer gets a strike,
one for each crash of a server; enough strikes without an answer in between
quarantine the request.  Its caller may send it to any VM, so each VM writes
its strikes to the store, from which the other VMs read them with everything
else.

Strikes must outlast the process that counted them.  Each process therefore has
a key of its own, under a lease that lasts as long as a quarantine: the store
deletes it when all strikes in it have expired.
"""

import asyncio
import secrets
import typing

import msgspec
import result

from filbertstep import clock
from filbertstep import codec
from filbertstep import routing
from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _messages
from filbertstep.entry import _own_keys

STRIKES_PREFIX: typing.Final = 'strikes/'

# Servers also end for other reasons while they run harmless requests, so two
# strikes are too few.
QUARANTINE_STRIKES: typing.Final = 3

# Counted from the last strike.  A caller that gives up and returns later gets
# another chance.
QUARANTINE_S: typing.Final = 120.0

# Requests in one value of a key, of all accounts and of one.  With three
# crashes each, a value takes up to 48 KB.
MAX_WRITTEN_REQUESTS: typing.Final = 128
MAX_WRITTEN_REQUESTS_PER_ACCOUNT: typing.Final = 32

# Bounds the store calls when a server ends with many requests in progress.
# Well below the time within which all VMs must know a request that has crashed
# three servers.
MIN_WRITE_INTERVAL_S: typing.Final = 1.0


class StrikesRow(typing.TypedDict):
    """Value of ``strikes/NAME/INCARNATION``; it identifies the process."""

    incarnation: str
    strikes: list[routing.IdentifiedStrikeDoc]


class StrikeTable:
    """Strikes recorded by this VM and by its peers, by request."""

    def __init__(
        self, vm: str, time_source: clock.Clock, log: _log.DecisionLog
    ) -> None:
        self.vm = vm
        self.incarnation = secrets.token_hex(6)
        self.key = f'{STRIKES_PREFIX}{vm}/{self.incarnation}'
        self.clock = time_source
        self.log = log
        self.quarantine = routing.QuarantineSystem(
            vm,
            self.incarnation,
            QUARANTINE_STRIKES,
            QUARANTINE_S,
            self.log_quarantine,
            MAX_WRITTEN_REQUESTS,
            MAX_WRITTEN_REQUESTS_PER_ACCOUNT,
        )
        # Whether the store lacks strikes of this process, or has some that an
        # answer cleared.
        self.unwritten = False

    def log_quarantine(self, account: str, name: str) -> None:
        """Log the start of a quarantine."""
        self.log.write('quarantine', account=account, request=name)

    def quarantine_left_s(
        self, admitted: _messages.Admitted, body: bytes
    ) -> float | None:
        """Return the seconds left of a request's quarantine, or None."""
        if not self.quarantine.strikes_by_account:
            return None
        return self.quarantine.quarantine_left_s(
            account_name(admitted),
            request_fingerprint(admitted, body),
            self.clock.now(),
        )

    def record_strike(
        self, admitted: _messages.Admitted, body: bytes, crash: routing.Crash
    ) -> None:
        """Record a connection that broke before any answer.

        It is no strike if another one has told of the same crash.
        """
        name = request_fingerprint(admitted, body)
        counted = self.quarantine.record_strike(
            account_name(admitted), name, self.clock.now(), crash
        )
        self.unwritten |= counted
        self.log.write(
            'strike',
            id=admitted.call.request_id,
            account=account_name(admitted),
            request=name,
            server=crash.server,
            incarnation=crash.incarnation,
            counted=counted,
        )

    def record_answer(self, admitted: _messages.Admitted, body: bytes) -> None:
        """Record an answer, which shows that the request crashes no server."""
        if not self.quarantine.strikes_by_account:
            return
        name = request_fingerprint(admitted, body)
        cleared = self.quarantine.clear_strikes(
            account_name(admitted), name, self.clock.now()
        )
        if self.quarantine.process in cleared:
            self.unwritten = True
        if cleared:
            self.log.write(
                'strikes_cleared',
                id=admitted.call.request_id,
                account=account_name(admitted),
                request=name,
            )

    def apply_peer_strikes(self, change: _contracts.Change) -> None:
        """Apply a change of another process's ``strikes/`` key.

        That process may be a former one of this VM.  A deletion ends no
        strikes: they expire by their age.
        """
        if change.key == self.key:
            return
        if change.value is None:
            self.log_key(change, [])
            return
        decoded = codec.decode_open(change.value, StrikesRow)
        if isinstance(decoded, result.Err):
            self.log.write(
                'unreadable_entry',
                key=change.key,
                revision=change.revision,
                reason=decoded.err_value,
            )
            return
        row = decoded.ok_value
        self.log_key(change, row['strikes'])
        name = change.key[len(STRIKES_PREFIX) :]
        self.quarantine.receive(
            name.removesuffix(f'/{row["incarnation"]}'),
            row['incarnation'],
            {'strikes': row['strikes']},
            self.clock.now(),
        )

    def log_key(
        self,
        change: _contracts.Change,
        strikes: list[routing.IdentifiedStrikeDoc],
    ) -> None:
        """Log a change of a ``strikes/`` key, and the requests in it."""
        self.log.write(
            'strikes_key',
            key=change.key,
            revision=change.revision,
            deleted=change.value is None,
            requests=[row['fingerprint'] for row in strikes],
        )

    def own_strikes(self) -> StrikesRow:
        """Return this VM's own strikes as stored under its key."""
        return {
            'incarnation': self.incarnation,
            'strikes': self.quarantine.own_strikes(self.clock.now()),
        }


class StrikeWriter:
    """Writes the strikes of this process to the store."""

    def __init__(
        self,
        strikes: StrikeTable,
        store: _contracts.StoreClient,
        replica: _knowledge.StoreReplica,
        log: _log.DecisionLog,
    ) -> None:
        self.strikes = strikes
        self.store = store
        self.log = log
        self.key = _own_keys.OwnKey(strikes.key, store, replica)
        self.lease: _contracts.Lease | None = None
        # One write at a time: an older value must not follow a newer one.
        self.writing = asyncio.Lock()

    async def run(self) -> None:
        """Write new strikes and drop expired ones, in an endless loop."""
        while True:
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)
            self.strikes.quarantine.tick(self.strikes.clock.now())
            await self.write_changes()

    async def write_changes(self) -> None:
        """Make the store have the strikes of this process, if it does not.

        After a failure, the next call retries.
        """
        async with self.writing:
            if not self.strikes.unwritten and not self.key.is_lost():
                return
            self.strikes.unwritten = False
            row = self.strikes.own_strikes()
            fault = await (
                self.write(row) if row['strikes'] else self.withdraw()
            )
            if fault is not None:
                self.strikes.unwritten = True
                self.log.write('strikes_not_written', fault=fault.value)

    async def withdraw(self) -> _contracts.StoreFault | None:
        """Delete the key by ending its lease; return a fault."""
        if self.lease is not None:
            ended = await self.store.revoke_lease(self.lease)
            if isinstance(ended, result.Err) and (
                ended.err_value is not _contracts.StoreFault.LEASE_GONE
            ):
                return ended.err_value
        self.lease = None
        self.key.written = None
        return None

    async def write(self, row: StrikesRow) -> _contracts.StoreFault | None:
        """Write a row under a lease that begins now; return a fault.

        The lease is kept after a failed write, which the store may still
        execute.
        """
        if self.lease is not None:
            renewed = await self.store.renew_lease(self.lease)
            if isinstance(renewed, result.Err):
                if renewed.err_value is not _contracts.StoreFault.LEASE_GONE:
                    return renewed.err_value
                self.lease = None
        if self.lease is None:
            granted = await self.store.grant_lease(QUARANTINE_S)
            if isinstance(granted, result.Err):
                return granted.err_value
            self.lease = granted.ok_value
        written = await self.key.write(msgspec.json.encode(row), self.lease)
        return written.err()


def account_name(admitted: _messages.Admitted) -> str | None:
    """Return the name of a request's account, None on a public route."""
    return admitted.account.name if admitted.account else None


def request_fingerprint(admitted: _messages.Admitted, body: bytes) -> str:
    """Return a digest that stays the same when a caller resends a request."""
    return routing.request_fingerprint(
        account_name(admitted), admitted.call.method, admitted.call.path, body
    )
