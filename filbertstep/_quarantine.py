"""Quarantine of requests that crash backend servers.

A request whose connection broke while it ran gets a strike.  Its caller may
resend it to any VM, so strikes are counted over all VMs: each VM tells its
own, and the sum decides.  Rows belong to a client account, so that no account
can have another's requests refused.
"""

import collections.abc
import math
import typing

import logbook
import result
import xxhash

from filbertstep import codec
from filbertstep import logs
from filbertstep import systems

LOGGER = logbook.Logger('quarantine')

# Strikes that quarantine a fingerprint, and for how long in seconds.
STRIKES: typing.Final = 2
QUARANTINE_S: typing.Final = 600.0

# Rows that one account can have; the oldest give way.
ROWS_PER_ACCOUNT: typing.Final = 256

# Rows in a heartbeat, over all accounts and of one account.  A row is about
# 80 bytes, and a node may send 8 KB a second for all control traffic.
SENT_ROWS: typing.Final = 16
SENT_PER_ACCOUNT: typing.Final = 4

Fingerprint = str

Announce = collections.abc.Callable[[str, Fingerprint], None]
"""Called with account and request when a quarantine begins."""


class StrikeDoc(typing.TypedDict):
    """A VM's own strikes against a fingerprint; ``age_s`` of the last."""

    account: str
    fingerprint: str
    strikes: int
    age_s: float


class StrikesDoc(typing.TypedDict):
    """Heartbeat part."""

    strikes: list[StrikeDoc]


class Strikes(typing.NamedTuple):
    """Strikes of one VM process; ``last`` is the time of the newest."""

    number: int
    last: float


class StrikeRow:
    """Strikes by VM process.

    The process is named ``vm~incarnation``: the count of a restarted VM
    begins anew and adds to that of its predecessor.
    """

    def __init__(self) -> None:
        self.strikes: dict[str, Strikes] = {}
        # Strikes up to this time do not count: the request was answered.
        self.cleared = -math.inf

    def total(self) -> int:
        """Return the strikes of all VMs."""
        return sum(seen.number for seen in self.strikes.values())

    def last(self) -> float:
        """Return the time of the newest strike, or of the last answer."""
        return max(
            (seen.last for seen in self.strikes.values()), default=self.cleared
        )


def request_fingerprint(
    account: str | None, method: str, path: str, body: bytes
) -> Fingerprint:
    """Return the hash of a request; parts are delimited by their lengths."""
    digest = xxhash.xxh3_128()
    for part in ((account or '').encode(), method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


def log_quarantine(account: str, name: Fingerprint) -> None:
    """Log that a quarantine begins."""
    logs.state_change(
        LOGGER, 'request_quarantined', account=account, request=name
    )


class QuarantineSystem(systems.System, systems.HeartbeatPart):
    """Counts strikes and tells which requests are in quarantine."""

    part_name = 'quarantine'

    def __init__(
        self,
        vm: str,
        incarnation: str,
        strikes: int = STRIKES,
        quarantine_s: float = QUARANTINE_S,
        announce: Announce | None = None,
    ) -> None:
        self.process = f'{vm}~{incarnation}'
        self.strikes = strikes
        self.quarantine_s = quarantine_s
        self.announce = announce or log_quarantine
        self.strikes_by_account: dict[str, dict[Fingerprint, StrikeRow]] = {}

    def tick(self, now: float) -> None:
        """Forget strikes that are over."""
        oldest = now - self.quarantine_s
        for account, rows in list(self.strikes_by_account.items()):
            for name in [
                name for name, row in rows.items() if row.last() <= oldest
            ]:
                del rows[name]
            if not rows:
                del self.strikes_by_account[account]

    def record_strike(
        self, account: str | None, name: Fingerprint, now: float
    ) -> None:
        """Count a broken connection of this VM against a request."""
        row = self.row(account or '', name)
        known = row.strikes.get(self.process)
        count = 1 if known is None else known.number + 1
        self.apply(account or '', name, self.process, Strikes(count, now))

    def quarantine_left_s(
        self, account: str | None, name: Fingerprint, now: float
    ) -> float | None:
        """Return the seconds left of a quarantine, None when there is none."""
        row = self.strikes_by_account.get(account or '', {}).get(name)
        if row is None or row.total() < self.strikes:
            return None
        left = row.last() + self.quarantine_s - now
        return left if left > 0 else None

    def clear_strikes(
        self, account: str | None, name: Fingerprint, now: float
    ) -> None:
        """Drop the strikes of a request that a server answered after all.

        The server ended for another reason, and many callers may send such a
        request.
        """
        row = self.strikes_by_account.get(account or '', {}).get(name)
        if row is not None:
            row.strikes.clear()
            row.cleared = now

    def row(self, account: str, name: Fingerprint) -> StrikeRow:
        """Return a row; the account's oldest gives way to a new one."""
        rows = self.strikes_by_account.setdefault(account, {})
        row = rows.get(name)
        if row is None:
            if len(rows) >= ROWS_PER_ACCOUNT:
                del rows[min(rows, key=lambda key: rows[key].last())]
            row = rows[name] = StrikeRow()
        return row

    def apply(
        self, account: str, name: Fingerprint, process: str, seen: Strikes
    ) -> None:
        """Take a process's strikes unless as many are known.

        The time is taken with the first message only.  Each repetition would
        move it by the time that the message took, and no strike would end.
        """
        row = self.row(account, name)
        known = row.strikes.get(process)
        if known is not None and known.number >= seen.number:
            return
        if seen.last <= row.cleared:
            return
        before = row.total()
        row.strikes[process] = seen
        if before < self.strikes <= row.total():
            self.announce(account, name)

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the newest of this VM's own strikes, few of each account."""
        own = [
            doc
            for account, rows in self.strikes_by_account.items()
            for doc in self.own_strikes(account, rows, now)
        ]
        own.sort(key=lambda doc: doc['age_s'])
        return {'strikes': own[:SENT_ROWS]}

    def own_strikes(
        self, account: str, rows: dict[Fingerprint, StrikeRow], now: float
    ) -> list[StrikeDoc]:
        """Return the newest of this VM's strikes against one account."""
        docs: list[StrikeDoc] = [
            {
                'account': account,
                'fingerprint': name,
                'strikes': own.number,
                'age_s': round(max(0.0, now - own.last), 3),
            }
            for name, row in rows.items()
            if (own := row.strikes.get(self.process)) is not None
        ]
        docs.sort(key=lambda doc: doc['age_s'])
        return docs[:SENT_PER_ACCOUNT]

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Take a peer's strikes."""
        read = codec.convert(payload, StrikesDoc)
        if not isinstance(read, result.Ok):
            return
        for doc in read.ok_value['strikes'][:SENT_ROWS]:
            if 0 <= doc['age_s'] < self.quarantine_s and doc['strikes'] > 0:
                seen = Strikes(doc['strikes'], now - doc['age_s'])
                process = f'{vm}~{incarnation}'
                self.apply(doc['account'], doc['fingerprint'], process, seen)
