"""Keeps requests that end backend servers away from them.

A request whose connection broke before any answer gets a strike; enough
strikes without an answer quarantine it.  Its caller may send it to any VM, so
each VM writes its strikes into the store, where the others read them with
everything else.  The key lives under the VM's lease and goes with it.
"""

import asyncio
import secrets
import typing

import msgspec
import result

from filbertstep import clock
from filbertstep import routing
from filbertstep.entry import _contracts
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _messages

STRIKES_PREFIX: typing.Final = 'strikes/'

# Strikes that quarantine a request.  Servers also end for other reasons with
# requests of many callers in progress, so that two are too few.
QUARANTINE_STRIKES: typing.Final = 3

# Time in seconds for which a request stays in quarantine after its last
# strike.  A caller that gives up and comes back later gets another chance.
QUARANTINE_S: typing.Final = 120.0

# Least time in seconds between two writes of a VM's strikes, so that a server
# that ends with many requests costs few calls.  Well below the time within
# which all VMs have to know a request that has ended three servers.
MIN_WRITE_INTERVAL_S: typing.Final = 1.0


class StrikesRow(typing.TypedDict):
    """Value of ``strikes/NAME``; ``incarnation`` is that of the process."""

    incarnation: str
    strikes: list[routing.StrikeDoc]


class StrikeTable:
    """Strikes of this VM and of its peers, by request."""

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
        # Whether the store lacks strikes of this VM.
        self.unwritten = False

    def log_quarantine(self, account: str, name: str) -> None:
        """Log that a quarantine begins, by own strikes or with peers'."""
        self.log.write('quarantine', account=account, request=name)

    def quarantine_left_s(
        self, admitted: _messages.Admitted, body: bytes
    ) -> float | None:
        """Return the seconds left of a request's quarantine, None if none."""
        if not self.quarantine.strikes_by_account:
            return None
        return self.quarantine.quarantine_left_s(
            account_name(admitted),
            request_fingerprint(admitted, body),
            self.clock.now(),
        )

    def record_strike(self, admitted: _messages.Admitted, body: bytes) -> None:
        """Count a connection that broke before any answer."""
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
        """Take an answer as proof that the request ends no server."""
        if self.quarantine.strikes_by_account:
            self.quarantine.clear_strikes(
                account_name(admitted),
                request_fingerprint(admitted, body),
                self.clock.now(),
            )

    def apply_peer_strikes(self, change: _contracts.Change) -> None:
        """Take a peer's strikes as the store has them."""
        vm = change.key[len(STRIKES_PREFIX) :]
        if change.value is None or vm == self.vm:
            return
        try:
            row = msgspec.json.decode(change.value, type=StrikesRow)
        except msgspec.DecodeError as error:
            self.log.write(
                'unreadable_entry',
                key=change.key,
                revision=change.revision,
                reason=type(error).__name__,
            )
            return
        self.quarantine.receive(
            vm,
            row['incarnation'],
            {'strikes': row['strikes']},
            self.clock.now(),
        )

    def own_strikes(self) -> StrikesRow:
        """Return this VM's own strikes."""
        return {
            'incarnation': self.incarnation,
            'strikes': self.quarantine.payload(self.clock.now())['strikes'],
        }


class StrikeWriter:
    """Writes this VM's strikes into the store."""

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

    async def run(self) -> None:
        """Write new strikes and forget old ones, for ever."""
        while True:
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)
            self.strikes.quarantine.tick(self.strikes.clock.now())
            if self.strikes.unwritten and self.registration.lease:
                await self.write()

    async def write(self) -> None:
        """Write the strikes; a write without a result is repeated."""
        self.strikes.unwritten = False
        written = await self.store.write(
            {
                STRIKES_PREFIX + self.strikes.vm: msgspec.json.encode(
                    self.strikes.own_strikes()
                )
            },
            lease=self.registration.lease,
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
    """Return what is the same when a caller sends a request again."""
    return routing.request_fingerprint(
        account_name(admitted), admitted.call.method, admitted.call.path, body
    )
