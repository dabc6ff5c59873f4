"""Learns the speed of routes and servers from the runs that were measured.

A long run has one of three causes: the server is slow, its machine is slow at
this moment, or the request itself is long.  Only the first says something of
the next request there.  Servers that report the slowdown of their machines
make the three distinguishable; for others, each long run counts as slowness of
the server.
"""

import typing

from filbertstep.steering import _placement

# Keeps divisors from 0: the target latency of a route, and with it the
# expected run time, may be 0.
MIN_EXPECTED_RUN_S: typing.Final = 0.001

# Time after which a run no longer counts as the one before.  Longer than most
# times between two requests of one VM to one server, and shorter than the time
# for which a server stays slow.
MAX_RUN_INTERVAL_S: typing.Final = 10.0


class MeasuredRun(typing.NamedTuple):
    """Time and size of an answered request.

    ``took_s`` is the time from the request to its answer, ``size_bytes`` the
    size of both bodies.  ``machine_slowdown`` is what the server reported of
    its machine with the answer, None if it reports nothing.
    """

    took_s: float
    size_bytes: int
    machine_slowdown: float | None = None


def record_run(
    run_times: _placement.RunTimes,
    candidate: _placement.Candidate,
    run: MeasuredRun,
    now: float,
) -> None:
    """Update the averages of a route and of a server with one run.

    ``candidate`` is what was known when the request was sent.
    """
    server = candidate.server
    if candidate.slot_wait_s > 0.0:
        # The time to the answer contains a wait for a slot.
        server.record_success(server.slowdown, now)
        return
    machine_slowdown = run.machine_slowdown
    if machine_slowdown is None:
        cached = run_times.was_cached(
            candidate.cached, run.took_s, server.slowdown
        )
        ratio = relative_time(run_times, cached, run.took_s)
        server.record_success(ratio, now)
        run_times.record(cached, run.took_s / server.slowdown, run.size_bytes)
        return
    usual_s = run.took_s / max(1.0, machine_slowdown)
    cached = run_times.was_cached(candidate.cached, usual_s, server.slowdown)
    ratio = relative_time(run_times, cached, usual_s)
    if ratio < 1.0 and machine_slowdown > 1.0:
        # The machine became slow only shortly before the answer.
        expected_s = run_times.expected_run_s(cached)
        usual_s = min(run.took_s, max(usual_s, expected_s))
        ratio = relative_time(run_times, cached, usual_s)
    is_long = ratio > _placement.MAX_NORMAL_SLOWDOWN
    # A single long run is a long request; two in a row are a slow server.
    counted = ratio
    if is_long:
        in_a_row = now - server.last_run_at <= MAX_RUN_INTERVAL_S
        counted = min(
            ratio, max(1.0, server.last_run_ratio) if in_a_row else 1.0
        )
    server.last_run_ratio, server.last_run_at = ratio, now
    server.record_success(counted, now)
    if is_long and counted < ratio:
        run_times.record_size(run.size_bytes)
        return
    run_times.record(cached, usual_s / server.slowdown, run.size_bytes)


def relative_time(
    run_times: _placement.RunTimes, cached: bool, run_s: float
) -> float:
    """Return a run time relative to the expected one of the route."""
    return run_s / max(MIN_EXPECTED_RUN_S, run_times.expected_run_s(cached))
