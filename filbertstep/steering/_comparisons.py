"""Lists all servers of a service as a decision about a request sees them.

The servers that are compared come with their estimates, in the order in which
they are preferred; each of the others comes with the reason why it is not
among them.
"""

import collections.abc
import enum
import typing

from filbertstep.steering import _placement
from filbertstep.steering import _servers


class Reason(enum.StrEnum):
    """Why a server is not compared, the first that applies.

    REQUESTED_PAUSE: the server asked for no requests.  FAILURES: it is paused
    after failures.  SLOW_START: it is cold, and the rate for that gives this
    VM no request now.  STOP: it may answer only after this VM exits.  RANK:
    enough servers come before it.
    """

    LEAVING = 'leaving'
    EVACUATED = 'zone evacuated'
    HOME_REGIONS = 'outside the home regions'
    OTHER_REGION = 'outside the chosen region'
    TRIED = 'tried before'
    FAILURES = 'paused after failures'
    REQUESTED_PAUSE = 'asked for a pause'
    SLOW_START = 'slow start'
    STOP = 'may answer after the exit'
    RANK = 'behind others in rank'


class Exclusion(typing.NamedTuple):
    """A server that is not compared; ``left_s`` is for how long, if known."""

    server: _servers.ServerRecord
    reason: Reason
    left_s: float | None


class RankedCandidate(typing.NamedTuple):
    """A server that is compared, and its rank in its group."""

    rank: int
    candidate: _placement.Candidate


class FullComparison(typing.NamedTuple):
    """All servers of a service; the most preferred candidate is first.

    ``unused_first`` tells that it is preferred because it had no requests
    recently, and not for its estimate.
    """

    candidates: list[RankedCandidate]
    excluded: list[Exclusion]
    unused_first: bool


def compare_all(
    placement: _placement.Placement,
    query: _placement.PlacementQuery,
    now: float,
    max_wait_s: float,
) -> FullComparison:
    """Return what ``Placement.best_candidate`` compares, and what it skips.

    Decays the health of the servers, as each decision does.
    """
    compared = placement.comparison(query, now)
    candidates: list[RankedCandidate] = []
    if compared is not None:
        candidates = [
            RankedCandidate(
                rank,
                placement.estimate(
                    server,
                    compared.distances[server],
                    rank,
                    query,
                    compared.costs,
                    now,
                ),
            )
            for rank, server in compared.eligible
        ]
    too_late = {
        ranked.candidate.server
        for ranked in candidates
        if not placement.ends_in_time(ranked.candidate.server, query, now)
    }
    candidates = [
        ranked
        for ranked in candidates
        if ranked.candidate.server not in too_late
    ]
    best = placement.best_candidate(query, now, max_wait_s)
    candidates.sort(
        key=lambda ranked: (
            ranked.candidate.slot_wait_s > max_wait_s,
            ranked.candidate.estimate_s,
        )
    )
    unused_first = (
        best is not None and candidates[0].candidate.server is not best.server
    )
    if best is not None:
        candidates.sort(
            key=lambda ranked: ranked.candidate.server is not best.server
        )
    included = {ranked.candidate.server for ranked in candidates}
    return FullComparison(
        candidates,
        [
            Exclusion(server, Reason.STOP, None)
            if server in too_late
            else explain_exclusion(placement, query, server, now)
            for server in placement.table.by_service.get(
                query.service, {}
            ).values()
            if server not in included
        ],
        unused_first,
    )


def explain_exclusion(
    placement: _placement.Placement,
    query: _placement.PlacementQuery,
    server: _servers.ServerRecord,
    now: float,
) -> Exclusion:
    """Return why a server is not compared."""
    entry, regions = server.entry, query.allowed_regions
    pause_until = server.announcements.requested_pause_until
    reasons: collections.abc.Iterable[tuple[bool, Reason, float | None]] = (
        (server.is_leaving(), Reason.LEAVING, None),
        (
            entry.availability_zone in placement.table.evacuated_zones,
            Reason.EVACUATED,
            None,
        ),
        (
            regions is not None and server.region not in regions,
            Reason.HOME_REGIONS,
            None,
        ),
        (
            query.region is not None and server.region != query.region,
            Reason.OTHER_REGION,
            None,
        ),
        (entry.server_id in query.tried_servers, Reason.TRIED, None),
        (
            now < server.paused_until,
            Reason.FAILURES,
            server.paused_until - now,
        ),
        (now < pause_until, Reason.REQUESTED_PAUSE, pause_until - now),
        (
            not placement.may_send(server, query, now),
            Reason.SLOW_START,
            server.cold_until - now,
        ),
    )
    for applies, reason, left_s in reasons:
        if applies:
            return Exclusion(server, reason, left_s)
    return Exclusion(server, Reason.RANK, None)
