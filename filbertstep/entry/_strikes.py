"""Quarantines requests that crash backend servers.

A request whose connection to a server broke before any answer gets a strike;
enough strikes without an answer in between quarantine the request.  Its caller
may send it to any VM, so each VM writes its strikes to the store, from which
the other VMs read them with everything else.  The key has the VM's lease and
is deleted with it.
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
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _messages

STRIKES_PREFIX: typing.Final = 'strikes/'

# A server that ends for another reason breaks the connections of many harmless
# requests, so two strikes are too few.
QUARANTINE_STRIKES: typing.Final = 3

# Counted from the last strike.  A caller that gives up and returns later gets
# another chance.
QUARANTINE_S: typing.Final = 120.0

# Bounds the store calls when a server ends with many requests in progress.
# Well below the time within which all VMs must know a request that has crashed
# three servers.
MIN_WRITE_INTERVAL_S: typing.Final = 1.0


class StrikesRow(typing.TypedDict):
    """Value of ``strikes/NAME``; ``incarnation`` identifies the process."""

    incarnation: str
    strikes: list[routing.StrikeDoc]


class StrikeTable:
    """Strikes recorded by this VM and by its peers, by request."""

    def __init__(
        self, vm: str, time_source: clock.Clock, log: _log.DecisionLog
    ) -> None:
        self.vm = vm
        self.incarnation = secrets.token_hex(6)
        self.clock = time_source
        self.log = log
        self.quarantine = routing.QuarantineSystem(
            vm,
            self.incarnation,
            QUARANTINE_STRIKES,
            QUARANTINE_S,
            self.log_quarantine,
        )
        # Whether some strikes of this VM are not in the store yet.
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

    def record_strike(self, admitted: _messages.Admitted, body: bytes) -> None:
        """Record a connection that broke before any answer."""
        name = request_fingerprint(admitted, body)
        self.quarantine.record_strike(
            account_name(admitted), name, self.clock.now()
        )
        self.unwritten = True
        self.log.write(
            'strike',
            id=admitted.call.request_id,
            account=account_name(admitted),
            request=name,
        )

    def record_answer(self, admitted: _messages.Admitted, body: bytes) -> None:
        """Record an answer, which shows that the request crashes no server."""
        if not self.quarantine.strikes_by_account:
            return
        name = request_fingerprint(admitted, body)
        if self.quarantine.clear_strikes(
            account_name(admitted), name, self.clock.now()
        ):
            self.log.write(
                'strikes_cleared',
                id=admitted.call.request_id,
                account=account_name(admitted),
                request=name,
            )

    def apply_peer_strikes(self, change: _contracts.Change) -> None:
        """Apply a change of a peer's ``strikes/`` key."""
        vm = change.key[len(STRIKES_PREFIX) :]
        if change.value is None:
            self.log_key(change, [])
        if change.value is None or vm == self.vm:
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
        self.quarantine.receive(
            vm,
            row['incarnation'],
            {'strikes': row['strikes']},
            self.clock.now(),
        )

    def log_key(
        self, change: _contracts.Change, strikes: list[routing.StrikeDoc]
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
            'strikes': self.quarantine.payload(self.clock.now())['strikes'],
        }


class StrikeWriter:
    """Writes this VM's strikes to the store."""

    def __init__(
        self,
        strikes: StrikeTable,
        store: _contracts.StoreClient,
        registration: _membership.Registration,
        log: _log.DecisionLog,
    ) -> None:
        self.strikes = strikes
        self.store = store
        self.registration = registration
        self.log = log
        # Lease of the key that was written last.
        self.lease: _contracts.Lease | None = None

    async def run(self) -> None:
        """Write new strikes and drop expired ones, in an endless loop."""
        while True:
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)
            self.strikes.quarantine.tick(self.strikes.clock.now())
            await self.write_changes()

    async def write_changes(self) -> None:
        """Write the own strikes if the store lacks some of them."""
        lease = self.registration.lease
        # The key was deleted with the lease before.
        lost = self.lease is not None and lease != self.lease
        if lease is not None and (self.strikes.unwritten or lost):
            await self.write(lease)

    async def write(self, lease: _contracts.Lease) -> None:
        """Write all own strikes; after a failure, the next round retries."""
        self.strikes.unwritten = False
        self.lease = lease
        written = await self.store.write(
            {
                STRIKES_PREFIX + self.strikes.vm: msgspec.json.encode(
                    self.strikes.own_strikes()
                )
            },
            lease=lease,
        )
        if isinstance(written, result.Err):
            self.strikes.unwritten = True
            self.log.write(
                'strikes_not_written', fault=written.err_value.value
            )


def account_name(admitted: _messages.Admitted) -> str | None:
    """Return the name of a request's account, None on a public route."""
    return admitted.account.name if admitted.account else None


def request_fingerprint(admitted: _messages.Admitted, body: bytes) -> str:
    """Return a digest that stays the same when a caller resends a request."""
    return routing.request_fingerprint(
        account_name(admitted), admitted.call.method, admitted.call.path, body
    )
