"""Arithmetic of the bench: pure functions from a history to figures."""

import collections
import collections.abc
import math
import statistics
import typing

from filbertstep import checking

Events = collections.abc.Sequence[checking.AnyEvent]

# Events of a backend server that tell how many requests it runs and queues.
SERVER_EVENTS: typing.Final = frozenset(
    {'begin', 'end', 'cancel', 'deadline', 'shed', 'crash', 'cut', 'queued'}
)

# A process that used more of one core than this, or a caller that sent less
# than this part of its planned requests, was limited by the machine.
BUSY_SHARE: typing.Final = 0.85
LEAST_SENT: typing.Final = 0.9


class Window(typing.NamedTuple):
    """One scenario's part of a history; times of ``CLOCK_BOOTTIME``.

    ``start`` to ``end`` is when requests were sent, ``closed`` when the last
    had ended.
    """

    start: float
    end: float
    closed: float


class Machine(typing.NamedTuple):
    """Use of the machine in a window.

    ``planned`` requests.  ``node_cpu_s`` is None when a node ended meanwhile.
    Shares are of one core; ``load`` is the load average of the machine.
    """

    planned: float
    node_cpu_s: float | None
    busiest_node: float
    generator: float
    load: float


class Figures(typing.TypedDict):
    """Figures of one run of a scenario with one policy; None: not measured.

    Latencies in milliseconds of interactive requests, resends included.
    ``idle_slots`` and ``top_use`` are about the interactive service: the mean
    share of all slots that was idle, and the most that one region's servers
    ran and queued, as a share of its slots.  ``worst`` is the part of its due
    that the worst-served account got.  ``wrongful`` is the share of requests
    inside the rate of which any try was refused; ``unserved`` is that of
    which the last one was.  Neither counts the account that sends too much.
    ``goodput`` is a share of the capacity.
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


NUMBERS: typing.Final = tuple(
    name for name in Figures.__annotations__ if name != 'limited'
)


class Spread(typing.NamedTuple):
    """Median and range of some runs."""

    median: float
    least: float
    most: float


def spread(values: collections.abc.Iterable[float | None]) -> Spread | None:
    """Return median and range of what was measured, None if nothing was."""
    known = [value for value in values if value is not None]
    if not known:
        return None
    return Spread(statistics.median(known), min(known), max(known))


def ratios(
    ours: collections.abc.Sequence[float | None],
    others: collections.abc.Sequence[float | None],
) -> Spread | None:
    """Return the spread of the ratios of pairs of runs of the same seed.

    Pairs with a value that is missing or a divisor of 0 do not count.
    """
    return spread(
        own / other
        for own, other in zip(ours, others, strict=True)
        if own is not None and other
    )


def fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    Nobody gets more than its demand; what one leaves goes to the others in
    proportion to their weights.
    """
    found: dict[str, float] = {}
    left = capacity
    open_names = set(demands)
    while open_names:
        total = sum(weights[name] for name in open_names)
        level = left / total if total > 0 else 0.0
        content = {
            name
            for name in open_names
            if demands[name] <= level * weights[name]
        }
        if not content:
            found.update((name, level * weights[name]) for name in open_names)
            break
        for name in content:
            found[name] = demands[name]
            left -= demands[name]
        open_names -= content
    return found


def worst_served(
    orders: collections.abc.Iterable[checking.LogicalRequest],
    rates: dict[str, float],
    capacities: dict[str, float],
    seconds: float,
    greedy: str | None,
) -> float:
    """Return the least part of its due that any account was served.

    An account's due is the lesser of what it offered inside its rate and its
    fair share, summed over the services.  ``greedy`` is left out.
    """
    offered: collections.Counter[tuple[str, str]] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for order in orders:
        offered[order.service, order.account] += order.inside_rate
        served[order.account] += order.outcome() == 'ok'
    due: collections.Counter[str] = collections.Counter()
    for service, capacity in capacities.items():
        demands = {
            account: float(count)
            for (name, account), count in offered.items()
            if name == service
        }
        shares = fair_shares(demands, rates, capacity * seconds)
        for account, share in shares.items():
            due[account] += share  # type: ignore[assignment]
    return min(
        (
            min(1.0, served[account] / share)
            for account, share in due.items()
            if account != greedy and share > 0
        ),
        default=1.0,
    )


def slot_use(
    events: Events, facts: checking.Facts, service: str, window: Window
) -> tuple[float, float]:
    """Return the mean idle share of a service's slots and a region's top use.

    Use counts what runs and what waits at the servers.
    """
    slots: collections.Counter[str] = collections.Counter()
    for row in facts.servers.values():
        if row.service == service:
            slots[row.region] += row.slots
    total = sum(slots.values())
    busy: dict[str, int] = {}
    use: dict[str, int] = {}
    by_region: collections.Counter[str] = collections.Counter()
    running, area, at, top = 0, 0.0, window.start, 0.0
    for event in events:
        if event['event'] not in SERVER_EVENTS or event['service'] != service:
            continue
        time = min(max(event['t'], window.start), window.end)
        area += running * (time - at)
        at = time
        server, region = event['server'], event['region']
        running += event['running'] - busy.get(server, 0)
        busy[server] = event['running']
        now = event['running'] + event['waiting']
        by_region[region] += now - use.get(server, 0)
        use[server] = now
        if window.start <= event['t'] <= window.end:
            top = max(top, by_region[region] / slots[region])
    area += running * (window.end - at)
    return 1 - area / (total * (window.end - window.start)), top


def drain_time(events: Events, drained: str, region: str) -> float | None:
    """Return how long a planned stop or drain took, None without one.

    A region is drained when the last request was placed in it.
    """
    times: dict[str, float] = {}
    last_placed: float | None = None
    for event in events:
        if event['event'] in ('stop_began', 'stop_ended', 'ticket_committed'):
            times.setdefault(event['event'], event['t'])
        elif event['event'] == 'placed' and event['region'] == region:
            last_placed = event['t']
    if drained == 'vm' and 'stop_ended' in times:
        return times['stop_ended'] - times['stop_began']
    if drained == 'region' and 'ticket_committed' in times:
        start = times['ticket_committed']
        return max(0.0, (last_placed or start) - start)
    return None


def figures(
    events: Events,
    facts: checking.Facts,
    window: Window,
    machine: Machine,
    service: str,
    capacities: dict[str, float],
    greedy: str | None,
    drain_s: float | None,
) -> Figures:
    """Return the figures of one window; ``service`` is the interactive one."""
    seconds = window.end - window.start
    orders = checking.logical_requests(events, facts)
    useful = [order for order in orders if order.outcome() == 'ok']
    times = sorted(
        order.latency_s() * 1000
        for order in useful
        if order.service == service
    )
    in_time = sum(
        order.last_response is not None
        and order.last_response['t'] <= window.end
        for order in useful
    )
    inside = [
        order
        for order in orders
        if order.inside_rate and order.account != greedy
    ]
    rates = {name: row.rate_per_s for name, row in facts.accounts.items()}
    idle, top = slot_use(events, facts, service, window)
    cpu_s = machine.node_cpu_s
    return {
        'offered': len(orders) / seconds,
        'p50_ms': checking.percentile(times, 0.5),
        'p99_ms': checking.percentile(times, 0.99),
        'idle_slots': idle,
        'top_use': top,
        'drain_s': drain_s,
        'worst': worst_served(orders, rates, capacities, seconds, greedy),
        'wrongful': share(sum(order.was_refused for order in inside), inside),
        'unserved': share(
            sum(
                order.outcome() in checking.SYSTEM_REFUSAL_KINDS
                for order in inside
            ),
            inside,
        ),
        'goodput': in_time / seconds / sum(capacities.values()),
        'cut': sum(order.was_interrupted for order in orders),
        'cpu_ms': None
        if cpu_s is None
        else 1000 * cpu_s / max(1, len(orders)),
        'generator': machine.generator,
        'busiest_node': machine.busiest_node,
        'load': machine.load,
        'limited': limited(len(orders), machine),
    }


def share(count: int, of: collections.abc.Sized) -> float:
    """Return a count as a share, 0 of nothing."""
    return count / len(of) if len(of) else 0.0


def limited(sent: int, machine: Machine) -> bool:
    """Tell whether the machine rather than the code set the figures.

    The number of Poisson arrivals varies by its root; three of them are no
    sign of a caller that could not keep up.
    """
    noise = 3 * math.sqrt(machine.planned)
    return (
        max(machine.generator, machine.busiest_node) > BUSY_SHARE
        or sent < LEAST_SENT * machine.planned - noise
    )
