"""Pure functions that compute the benchmark figures from a history."""

import collections
import collections.abc
import math
import statistics
import typing

from filbertstep import checking

Events = collections.abc.Sequence[checking.AnyEvent]

# Events of a backend server that carry its running and queued requests.
SERVER_LOAD_EVENTS: typing.Final = frozenset(
    {'begin', 'end', 'cancel', 'deadline', 'shed', 'crash', 'cut', 'queued'}
)

# A process that used a larger share of one core was limited by the machine.
MAX_CPU_SHARE: typing.Final = 0.85

# A run that sent a smaller share of its planned requests was limited too,
# unless random variation explains the shortfall.
MIN_SENT_SHARE: typing.Final = 0.9


class Window(typing.NamedTuple):
    """Part of a history that belongs to one scenario.

    Requests were sent from ``start`` to ``send_end``; the last of them ended
    at ``completed``.  Times are seconds of ``CLOCK_BOOTTIME``.
    """

    start: float
    send_end: float
    completed: float


class MachineUsage(typing.NamedTuple):
    """Processor use of the processes, and load of the machine, in a window.

    ``planned_requests`` is the expected number of requests.  ``node_cpu_s`` is
    the sum over all nodes, None if a node ended in the window.  Shares are of
    one core.
    """

    planned_requests: float
    node_cpu_s: float | None
    busiest_node_cpu_share: float
    generator_cpu_share: float
    load_average: float


class Figures(typing.TypedDict):
    """Figures of one run of a scenario with one policy; None: not measured.

    ``offered``: requests sent per second.
    ``p50_ms``, ``p99_ms``: latency of successful interactive requests from the
    first attempt to the last response, retries included.
    ``idle_slots``: mean share of the slots of the interactive service that was
    idle.
    ``top_use``: highest number of interactive requests running and queued at
    the servers of one region, as a share of the slots of that region.
    ``drain_s``: duration of the drain of a VM or region.
    ``worst``: share of its entitlement that the worst-served account got,
    without the greedy account.
    ``wrongful``, ``unserved``: share of the requests inside their account's
    rate of which any attempt, or the last one, was refused; the greedy account
    is left out.
    ``goodput``: requests that succeeded before the sending ended, as a share
    of the capacity.
    ``cut``: number of requests with an interrupted response.
    ``cpu_ms``: processor time of all nodes per request, in milliseconds.
    ``generator``, ``busiest_node``: share of one core used by the traffic
    generator and by the busiest node.
    ``load``: load average of the machine.
    ``limited``: whether the machine limited the run.
    """

    offered: float
    p50_ms: float
    p99_ms: float
    idle_slots: float
    top_use: float
    drain_s: float | None
    worst: float
    wrongful: float
    unserved: float
    goodput: float
    cut: int
    cpu_ms: float | None
    generator: float
    busiest_node: float
    load: float
    limited: bool


NUMERIC_FIGURES: typing.Final = tuple(
    name for name in Figures.__annotations__ if name != 'limited'
)


class Spread(typing.NamedTuple):
    """Median and range of one figure over several runs."""

    median: float
    minimum: float
    maximum: float


def spread(values: collections.abc.Iterable[float | None]) -> Spread | None:
    """Return the median and range of the values that are not None, if any."""
    measured = [value for value in values if value is not None]
    if not measured:
        return None
    return Spread(statistics.median(measured), min(measured), max(measured))


def paired_ratios(
    numerators: collections.abc.Sequence[float | None],
    divisors: collections.abc.Sequence[float | None],
) -> Spread | None:
    """Return the spread of the ratios between runs of the same seed.

    Both sequences are in the order of the seeds.  Ignores pairs with a missing
    value or a divisor of 0; returns None if no pair remains.
    """
    return spread(
        numerator / divisor
        for numerator, divisor in zip(numerators, divisors, strict=True)
        if numerator is not None and divisor
    )


def max_min_fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    No share exceeds the demand; capacity that one leaves unused goes to the
    others in proportion to their weights.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    unsatisfied = set(demands)
    while unsatisfied:
        total_weight = sum(weights[name] for name in unsatisfied)
        share_per_weight = (
            remaining / total_weight if total_weight > 0 else 0.0
        )
        satisfied = {
            name
            for name in unsatisfied
            if demands[name] <= share_per_weight * weights[name]
        }
        if not satisfied:
            shares.update(
                (name, share_per_weight * weights[name])
                for name in unsatisfied
            )
            break
        for name in satisfied:
            shares[name] = demands[name]
            remaining -= demands[name]
        unsatisfied -= satisfied
    return shares


def worst_served_share(
    requests: collections.abc.Iterable[checking.LogicalRequest],
    rates: dict[str, float],
    capacities: dict[str, float],
    seconds: float,
    greedy_account: str | None,
) -> float:
    """Return the lowest share of its entitlement that any account got.

    Per service, an account is entitled to the smaller of its requests inside
    its rate and its fair share of the capacity.  Entitlements and successful
    requests are summed over the services.  The greedy account is left out.
    ``capacities`` are in requests per second.
    """
    offered: collections.Counter[tuple[str, str]] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for request in requests:
        offered[request.service, request.account] += request.inside_rate
        served[request.account] += request.outcome() == 'ok'
    entitled: collections.Counter[str] = collections.Counter()
    for service, capacity in capacities.items():
        demands = {
            account: float(count)
            for (name, account), count in offered.items()
            if name == service
        }
        shares = max_min_fair_shares(demands, rates, capacity * seconds)
        for account, share in shares.items():
            entitled[account] += share  # type: ignore[assignment]
    return min(
        (
            min(1.0, served[account] / share)
            for account, share in entitled.items()
            if account != greedy_account and share > 0
        ),
        default=1.0,
    )


def slot_usage(
    events: Events, facts: checking.Facts, service: str, window: Window
) -> tuple[float, float]:
    """Return the mean idle share and the peak regional use of a service.

    The use of a region counts the requests running and queued at its servers,
    as a share of its slots.
    """
    slots_by_region: collections.Counter[str] = collections.Counter()
    for server_fact in facts.servers.values():
        if server_fact.service == service:
            slots_by_region[server_fact.region] += server_fact.slots
    total_slots = sum(slots_by_region.values())
    running_by_server: dict[str, int] = {}
    use_by_server: dict[str, int] = {}
    use_by_region: collections.Counter[str] = collections.Counter()
    running, slot_seconds, last_time, top_use = 0, 0.0, window.start, 0.0
    for event in events:
        if (
            event['event'] not in SERVER_LOAD_EVENTS
            or event['service'] != service
        ):
            continue
        clamped_time = min(max(event['t'], window.start), window.send_end)
        slot_seconds += running * (clamped_time - last_time)
        last_time = clamped_time
        server, region = event['server'], event['region']
        running += event['running'] - running_by_server.get(server, 0)
        running_by_server[server] = event['running']
        server_use = event['running'] + event['waiting']
        use_by_region[region] += server_use - use_by_server.get(server, 0)
        use_by_server[server] = server_use
        if window.start <= event['t'] <= window.send_end:
            top_use = max(
                top_use, use_by_region[region] / slots_by_region[region]
            )
    slot_seconds += running * (window.send_end - last_time)
    return 1 - slot_seconds / (
        total_slots * (window.send_end - window.start)
    ), top_use


def drain_duration_s(
    events: Events, drain_target: str, region: str
) -> float | None:
    """Return how long the drain of a VM or region took, None without one.

    The drain of a VM is its planned stop.  The drain of a region lasts from
    the commit of the ticket until the last request is placed in the region.
    """
    first_times: dict[str, float] = {}
    last_placed: float | None = None
    for event in events:
        if event['event'] in ('stop_began', 'stop_ended', 'ticket_committed'):
            first_times.setdefault(event['event'], event['t'])
        elif event['event'] == 'placed' and event['region'] == region:
            last_placed = event['t']
    if drain_target == 'vm' and 'stop_ended' in first_times:
        return first_times['stop_ended'] - first_times['stop_began']
    if drain_target == 'region' and 'ticket_committed' in first_times:
        start = first_times['ticket_committed']
        return max(0.0, (last_placed or start) - start)
    return None


def compute_figures(
    events: Events,
    facts: checking.Facts,
    window: Window,
    machine: MachineUsage,
    service: str,
    capacities: dict[str, float],
    greedy_account: str | None,
    drain_s: float | None,
) -> Figures:
    """Return the figures of a window; ``service`` is the interactive one."""
    send_seconds = window.send_end - window.start
    requests = checking.logical_requests(events, facts)
    successful = [request for request in requests if request.outcome() == 'ok']
    latencies_ms = sorted(
        request.latency_s() * 1000
        for request in successful
        if request.service == service
    )
    completed_in_window = sum(
        request.last_response is not None
        and request.last_response['t'] <= window.send_end
        for request in successful
    )
    inside_rate = [
        request
        for request in requests
        if request.inside_rate and request.account != greedy_account
    ]
    rates = {
        name: account_fact.rate_per_s
        for name, account_fact in facts.accounts.items()
    }
    idle_share, top_use = slot_usage(events, facts, service, window)
    cpu_s = machine.node_cpu_s
    return {
        'offered': len(requests) / send_seconds,
        'p50_ms': checking.percentile(latencies_ms, 0.5),
        'p99_ms': checking.percentile(latencies_ms, 0.99),
        'idle_slots': idle_share,
        'top_use': top_use,
        'drain_s': drain_s,
        'worst': worst_served_share(
            requests, rates, capacities, send_seconds, greedy_account
        ),
        'wrongful': share(
            sum(request.was_refused for request in inside_rate), inside_rate
        ),
        'unserved': share(
            sum(
                request.outcome() in checking.SYSTEM_REFUSAL_KINDS
                for request in inside_rate
            ),
            inside_rate,
        ),
        'goodput': completed_in_window
        / send_seconds
        / sum(capacities.values()),
        'cut': sum(request.was_interrupted for request in requests),
        'cpu_ms': None
        if cpu_s is None
        else 1000 * cpu_s / max(1, len(requests)),
        'generator': machine.generator_cpu_share,
        'busiest_node': machine.busiest_node_cpu_share,
        'load': machine.load_average,
        'limited': limited_by_machine(len(requests), machine),
    }


def share(count: int, items: collections.abc.Sized) -> float:
    """Return a count as a share of the items, 0 if there are none."""
    return count / len(items) if len(items) else 0.0


def limited_by_machine(sent_requests: int, machine: MachineUsage) -> bool:
    """Return whether the machine, not the code, determined the figures.

    The standard deviation of the number of Poisson arrivals is its square
    root.  A shortfall within three of them is normal variation and no sign of
    a traffic generator that could not keep up.
    """
    arrival_noise = 3 * math.sqrt(machine.planned_requests)
    return (
        max(machine.generator_cpu_share, machine.busiest_node_cpu_share)
        > MAX_CPU_SHARE
        or sent_requests
        < MIN_SENT_SHARE * machine.planned_requests - arrival_noise
    )
