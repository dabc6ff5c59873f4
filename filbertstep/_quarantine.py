"""Quarantine of requests that crash backend servers.

A request gets a strike for each crash of a backend server that ran it.  One
crash breaks the connections of all requests at the server, of equal ones and
of those of other VMs too, and counts once.  The caller may resend a request to
any VM, so each VM publishes the crashes that it saw itself, and crashes are
counted over all VMs.  Strikes are kept by client account, so that no account
can get another's requests refused.
"""

import collections
import collections.abc
import itertools
import math
import typing

import logbook
import result
import xxhash

from filbertstep import codec
from filbertstep import logs
from filbertstep import systems

LOGGER = logbook.Logger('quarantine')

# Strikes of all VMs that put a fingerprint in quarantine.
STRIKE_LIMIT: typing.Final = 2

# Duration of a quarantine after the last strike.
QUARANTINE_S: typing.Final = 600.0

# Fingerprints kept for an account; the oldest one is evicted.
MAX_FINGERPRINTS_PER_ACCOUNT: typing.Final = 256

# Fingerprints in one heartbeat.  One takes about 100 bytes, and 190 more with
# two crashes; a node may send 8 KB/s for all control traffic.
MAX_SENT_FINGERPRINTS: typing.Final = 16

# Limits the share of one account in a heartbeat.
MAX_SENT_FINGERPRINTS_PER_ACCOUNT: typing.Final = 4

# A crashed server needs at least this time to start again.
MIN_RESTART_S: typing.Final = 2.0

Fingerprint = str

QuarantineCallback = collections.abc.Callable[[str, Fingerprint], None]
"""Called with account and fingerprint when a quarantine begins."""


class Crash(typing.NamedTuple):
    """A connection that broke, as a sign that a server crashed.

    ``incarnation`` tells the starts of a server apart; 0 if it is not told.
    The server ran the request at some time between ``sent_at`` and
    ``broke_at``.
    """

    server: str
    incarnation: int
    sent_at: float
    broke_at: float


class CrashDoc(typing.TypedDict):
    """A crash as sent between VMs; the ages are in seconds."""

    server: str
    incarnation: int
    sent_age_s: float
    broke_age_s: float


class StrikeDoc(typing.TypedDict):
    """The strikes against a fingerprint that one VM counted itself.

    ``age_s`` is the age of the last strike in seconds.
    """

    account: str
    fingerprint: str
    strikes: int
    age_s: float


class IdentifiedStrikeDoc(StrikeDoc):
    """Strikes with their newest crashes.

    VMs of an earlier version send no crashes, and ignore them.
    """

    crashes: typing.NotRequired[list[CrashDoc]]


class StrikesDoc(typing.TypedDict):
    """Heartbeat payload: the strikes that one VM counted itself."""

    strikes: list[IdentifiedStrikeDoc]


class StrikeCount(typing.NamedTuple):
    """Strikes counted by one VM process; ``last_at`` is the newest.

    ``crashes`` are the newest ones whose servers are known.
    """

    strikes: int
    last_at: float
    crashes: tuple[Crash, ...] = ()

    def unidentified(self) -> int:
        """Return the strikes whose crashes are not known."""
        return max(0, self.strikes - len(self.crashes))


class FingerprintStrikes:
    """Strikes of one fingerprint by VM process.

    The key is ``vm~incarnation``, so that the strikes of a restarted VM add
    to those counted before the restart.
    """

    def __init__(self) -> None:
        self.counts: dict[str, StrikeCount] = {}
        # Strikes up to this time are ignored: the request was answered then.
        self.cleared_at = -math.inf

    def total(self) -> int:
        """Return the strikes of all VMs; a crash that several saw is one."""
        return count_crashes(
            crash
            for counted in self.counts.values()
            for crash in counted.crashes
        ) + sum(counted.unidentified() for counted in self.counts.values())

    def last_at(self) -> float:
        """Return the time of the newest strike, or of the last clearing."""
        return max(
            (counted.last_at for counted in self.counts.values()),
            default=self.cleared_at,
        )


def count_crashes(crashes: collections.abc.Iterable[Crash]) -> int:
    """Return how many crashes explain all connections that broke.

    A start of a server crashes once at most.  Where starts are not told, the
    server had to be back before it could run another request.
    """
    by_start: dict[tuple[str, int], list[Crash]] = collections.defaultdict(
        list
    )
    for crash in crashes:
        by_start[crash.server, crash.incarnation].append(crash)
    count = 0
    for (_, incarnation), broken in by_start.items():
        if incarnation:
            count += 1
            continue
        crashed_at = -math.inf
        for crash in sorted(broken, key=lambda crash: crash.broke_at):
            if crash.sent_at >= crashed_at + MIN_RESTART_S:
                count += 1
                crashed_at = crash.broke_at
    return count


def request_fingerprint(
    account: str | None, method: str, path: str, body: bytes
) -> Fingerprint:
    """Return the hash of a request as 32 hexadecimal digits.

    Each part but the last is preceded by its length, to separate the parts.
    """
    digest = xxhash.xxh3_128()
    for part in ((account or '').encode(), method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


def log_quarantine(account: str, fingerprint: Fingerprint) -> None:
    """Log the beginning of a quarantine."""
    logs.state_change(
        LOGGER, 'request_quarantined', account=account, request=fingerprint
    )


class QuarantineSystem(systems.System, systems.HeartbeatPart):
    """Counts strikes and decides which requests are in quarantine."""

    part_name = 'quarantine'

    def __init__(
        self,
        vm: str,
        incarnation: str,
        strike_limit: int = STRIKE_LIMIT,
        quarantine_s: float = QUARANTINE_S,
        on_quarantine: QuarantineCallback | None = None,
        max_sent: int = MAX_SENT_FINGERPRINTS,
        max_sent_per_account: int = MAX_SENT_FINGERPRINTS_PER_ACCOUNT,
    ) -> None:
        self.process = f'{vm}~{incarnation}'
        self.strike_limit = strike_limit
        self.quarantine_s = quarantine_s
        self.on_quarantine = on_quarantine or log_quarantine
        # Fingerprints in one payload, of all accounts and of one.
        self.max_sent = max_sent
        self.max_sent_per_account = max_sent_per_account
        self.strikes_by_account: dict[
            str, dict[Fingerprint, FingerprintStrikes]
        ] = {}

    def tick(self, now: float) -> None:
        """Drop fingerprints whose last strike is older than a quarantine."""
        expired_at = now - self.quarantine_s
        for account, rows in list(self.strikes_by_account.items()):
            for fingerprint in [
                fingerprint
                for fingerprint, row in rows.items()
                if row.last_at() <= expired_at
            ]:
                del rows[fingerprint]
            if not rows:
                del self.strikes_by_account[account]

    def record_strike(
        self,
        account: str | None,
        fingerprint: Fingerprint,
        now: float,
        crash: Crash | None = None,
    ) -> bool:
        """Count a strike of this VM against a request.

        Returns False if another connection has told this VM of the crash.
        """
        row = self.strikes_of(account or '', fingerprint)
        known = row.counts.get(self.process, StrikeCount(0, now))
        crashes = known.crashes
        if crash is not None:
            if count_crashes((*crashes, crash)) == count_crashes(crashes):
                return False
            # With more, the number of strikes decides alone.
            crashes = (*crashes, crash)[-self.strike_limit :]
        self.merge(
            account or '',
            fingerprint,
            self.process,
            StrikeCount(known.strikes + 1, now, crashes),
        )
        return True

    def quarantine_left_s(
        self, account: str | None, fingerprint: Fingerprint, now: float
    ) -> float | None:
        """Return the seconds left of a quarantine, None if there is none."""
        row = self.strikes_by_account.get(account or '', {}).get(fingerprint)
        if row is None or row.total() < self.strike_limit:
            return None
        left_s = row.last_at() + self.quarantine_s - now
        return left_s if left_s > 0 else None

    def clear_strikes(
        self, account: str | None, fingerprint: Fingerprint, now: float
    ) -> frozenset[str]:
        """Drop the strikes of a request after a server answered it.

        In that case the servers crashed for another reason, and many callers
        may send this request.  Returns the processes whose strikes there were.
        """
        row = self.strikes_by_account.get(account or '', {}).get(fingerprint)
        if row is None:
            return frozenset()
        processes = frozenset(row.counts)
        row.counts.clear()
        row.cleared_at = now
        return processes

    def strikes_of(
        self, account: str, fingerprint: Fingerprint
    ) -> FingerprintStrikes:
        """Return the strikes of a fingerprint, adding it if necessary.

        The oldest fingerprint of an account at its limit is evicted.
        """
        rows = self.strikes_by_account.setdefault(account, {})
        row = rows.get(fingerprint)
        if row is None:
            if len(rows) >= MAX_FINGERPRINTS_PER_ACCOUNT:
                del rows[min(rows, key=lambda key: rows[key].last_at())]
            row = rows[fingerprint] = FingerprintStrikes()
        return row

    def merge(
        self,
        account: str,
        fingerprint: Fingerprint,
        process: str,
        counted: StrikeCount,
    ) -> None:
        """Store the strikes of a process if they are more than those known.

        A repeated message does not change the stored time.  Otherwise the
        message delay would move it forward at each repetition, and the
        strikes would never expire.
        """
        row = self.strikes_of(account, fingerprint)
        known = row.counts.get(process)
        if known is not None and known.strikes >= counted.strikes:
            return
        if counted.last_at <= row.cleared_at:
            return
        before = row.total()
        row.counts[process] = counted
        if before < self.strike_limit <= row.total():
            self.on_quarantine(account, fingerprint)

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the newest of this VM's own strikes, limited by account.

        Peers of an earlier version take these fields only.
        """
        return {
            'strikes': [
                {
                    name: value
                    for name, value in doc.items()
                    if name in StrikeDoc.__annotations__
                }
                for doc in self.own_strikes(now)
            ]
        }

    def own_strikes(self, now: float) -> list[IdentifiedStrikeDoc]:
        """Return the newest of this VM's own strikes with their crashes."""
        own = list(
            itertools.chain.from_iterable(
                self.account_strikes(account, rows, now)
                for account, rows in self.strikes_by_account.items()
            )
        )
        own.sort(key=lambda doc: doc['age_s'])
        return own[: self.max_sent]

    def account_strikes(
        self,
        account: str,
        rows: dict[Fingerprint, FingerprintStrikes],
        now: float,
    ) -> list[IdentifiedStrikeDoc]:
        """Return the newest of this VM's own strikes of one account."""
        docs: list[IdentifiedStrikeDoc] = [
            {
                'account': account,
                'fingerprint': fingerprint,
                'strikes': own.strikes,
                'age_s': age_s(own.last_at, now),
                'crashes': [
                    {
                        'server': crash.server,
                        'incarnation': crash.incarnation,
                        'sent_age_s': age_s(crash.sent_at, now),
                        'broke_age_s': age_s(crash.broke_at, now),
                    }
                    for crash in own.crashes
                ],
            }
            for fingerprint, row in rows.items()
            if (own := row.counts.get(self.process)) is not None
        ]
        docs.sort(key=lambda doc: doc['age_s'])
        return docs[: self.max_sent_per_account]

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Merge the strikes of a peer; an invalid payload is ignored."""
        decoded = codec.convert(payload, StrikesDoc)
        if not isinstance(decoded, result.Ok):
            return
        for doc in decoded.ok_value['strikes'][: self.max_sent]:
            if 0 <= doc['age_s'] < self.quarantine_s and doc['strikes'] > 0:
                counted = StrikeCount(
                    doc['strikes'],
                    now - doc['age_s'],
                    tuple(
                        Crash(
                            crash['server'],
                            crash['incarnation'],
                            now - crash['sent_age_s'],
                            now - crash['broke_age_s'],
                        )
                        for crash in doc.get('crashes', [])[
                            -self.strike_limit :
                        ]
                    ),
                )
                process = f'{vm}~{incarnation}'
                self.merge(
                    doc['account'], doc['fingerprint'], process, counted
                )


class CrashesPart(systems.HeartbeatPart):
    """Sends strikes with their crashes, which earlier versions do not take.

    It is sent before the part of the quarantine itself, which then adds
    nothing.
    """

    part_name = 'crashes'

    def __init__(self, quarantine: QuarantineSystem) -> None:
        self.quarantine = quarantine

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the newest of this VM's own strikes."""
        return {'strikes': self.quarantine.own_strikes(now)}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Merge the strikes of a peer; an invalid payload is ignored."""
        self.quarantine.receive(vm, incarnation, payload, now)


def age_s(at: float, now: float) -> float:
    """Return the age of an event for a message."""
    return round(max(0.0, now - at), 3)
