"""Benchmark scenarios, and deployment plans scaled to a fixed capacity.

The capacity is set through the service times of the backend servers, so that
the request rates stay low enough for one machine that runs other work too.
The numbers of regions, servers, slots, accounts and VMs are not scaled.
"""

import asyncio
import collections.abc
import copy
import typing

from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic

# Request rate of both services together that keeps all slots busy.
CAPACITY_PER_S: typing.Final = 200.0

# Sum of the account rates as a multiple of the capacity.  It exceeds 1 because
# accounts that keep to their rates could not overload a deployment otherwise.
RATE_OVERSUBSCRIPTION: typing.Final = 2.0

# Multiple of its rate that the greedy account sends.
GREEDY_FACTOR: typing.Final = 5.0

# Time from the start of the traffic to the disruption.
DISRUPTION_DELAY_S: typing.Final = 2.0

# Age of the load that backend servers report in scenario ``lag-90``.
LOAD_REPORT_LAG_S: typing.Final = 5.0

DeploymentAction = collections.abc.Callable[
    [deployment.Deployment], collections.abc.Awaitable[None]
]


class Scenario(typing.NamedTuple):
    """Traffic pattern and the disruption that it is measured under.

    ``offered_loads`` are shares of the capacity, each sent for an equal part
    of ``duration_s``.  If ``has_greedy_account`` is set, one account sends
    more than its rate.  ``setup`` runs before the traffic and ``disruption``
    during it; ``teardown`` undoes what they changed.  Scenarios with
    ``needs_own_deployment`` leave a deployment that no other scenario can use.
    ``drain_target`` is ``vm``, ``region`` or empty: what is drained.
    ``queues_backlog`` queues deferrable work before the traffic starts.
    Scenarios with ``runs_by_default`` run when none are named.
    """

    name: str
    offered_loads: tuple[float, ...]
    duration_s: float
    has_greedy_account: bool = False
    setup: DeploymentAction | None = None
    disruption: DeploymentAction | None = None
    teardown: DeploymentAction | None = None
    needs_own_deployment: bool = False
    drain_target: str = ''
    queues_backlog: bool = False
    runs_by_default: bool = False


def interactive_service(plan: deployment.Plan) -> str:
    """Return the name of the interactive service."""
    return next(
        name
        for name, service in plan['services'].items()
        if service['work'] == 'interactive'
    )


def deferrable_service(plan: deployment.Plan) -> str:
    """Return the name of the deferrable service."""
    return next(
        name
        for name, service in plan['services'].items()
        if service['work'] == 'deferrable'
    )


def service_capacities(
    plan: deployment.Plan, capacity: float = CAPACITY_PER_S
) -> dict[str, float]:
    """Return the capacity of each service in requests per second."""
    shares: dict[str, float] = dict.fromkeys(plan['services'], 0.0)
    for kind in traffic.request_kinds(plan):
        shares[kind.service] += kind.share
    return {name: share * capacity for name, share in shares.items()}


def scale_plan(
    plan: deployment.Plan, capacity: float = CAPACITY_PER_S
) -> deployment.Plan:
    """Return a copy of a plan scaled to a capacity in requests per second.

    Sets the mean service times so that this rate keeps all slots busy.  Scales
    all account rates by the same factor, to a sum of ``RATE_OVERSUBSCRIPTION``
    times the capacity.
    """
    scaled_plan = copy.deepcopy(plan)
    service_rates = service_capacities(plan, capacity)
    for name, service in scaled_plan['services'].items():
        slots = service['upstreams'] * service['slots']
        service['mean_ms'] = 1000 * slots / service_rates[name]
    total_rate = sum(
        account['rate'] for account in plan['client_accounts'].values()
    )
    for account in scaled_plan['client_accounts'].values():
        account['rate'] *= RATE_OVERSUBSCRIPTION * capacity / total_rate
    return scaled_plan


def select_greedy_account(plan: deployment.Plan) -> str:
    """Return the account with the lowest rate, which is the greedy one."""
    accounts = plan['client_accounts']
    return min(accounts, key=lambda name: accounts[name]['rate'])


def offered_rate_factors(
    plan: deployment.Plan, load: float, greedy_account: str | None
) -> tuple[float, dict[str, float]]:
    """Return the multiple of its rate that each account offers.

    ``load`` is the total offered load as a share of the capacity.  Returns the
    factor of most accounts and a dict with that of the greedy account, if any.
    """
    rates = {
        name: account['rate']
        for name, account in plan['client_accounts'].items()
    }
    total_rate = sum(rates.values())
    offered_rate = load * total_rate / RATE_OVERSUBSCRIPTION
    if greedy_account is None:
        return offered_rate / total_rate, {}
    remaining_rate = offered_rate - GREEDY_FACTOR * rates[greedy_account]
    return remaining_rate / (total_rate - rates[greedy_account]), {
        greedy_account: GREEDY_FACTOR
    }


def first_interactive_server(deployed: deployment.Deployment) -> str:
    """Return the first server of the interactive service."""
    service = interactive_service(deployed.plan)
    return min(
        name
        for name, server in deployed.servers.items()
        if server.service == service
    )


def disrupted_region(deployed: deployment.Deployment) -> str:
    """Return the region that fails or is drained: not that of the store."""
    return list(deployed.plan['regions'])[-1]


async def configure_all_backend_servers(
    deployed: deployment.Deployment, **fields: object
) -> None:
    """Change limits or injected faults of all backend servers."""
    for group in deployed.backend_process_names():
        await deployed.configure_standin(group, {'*': fields})


async def delay_load_reports(deployed: deployment.Deployment) -> None:
    """Make all backend servers report a load that is out of date."""
    await configure_all_backend_servers(deployed, load_lag_s=LOAD_REPORT_LAG_S)


async def restore_load_reports(deployed: deployment.Deployment) -> None:
    """Make all backend servers report their current load again."""
    await configure_all_backend_servers(deployed, load_lag_s=0.0)


async def start_false_idle_reports(deployed: deployment.Deployment) -> None:
    """Slow one server down and make it report that it is idle."""
    mean_ms = deployed.plan['services'][interactive_service(deployed.plan)][
        'mean_ms'
    ]
    await deployed.configure_backend_server(
        first_interactive_server(deployed),
        reported_load=0.0,
        mean_ms=2 * mean_ms,
    )


async def stop_false_idle_reports(deployed: deployment.Deployment) -> None:
    """Restore the server that ``start_false_idle_reports`` changed."""
    mean_ms = deployed.plan['services'][interactive_service(deployed.plan)][
        'mean_ms'
    ]
    await deployed.configure_backend_server(
        first_interactive_server(deployed), reported_load=None, mean_ms=mean_ms
    )


async def make_store_unavailable(deployed: deployment.Deployment) -> None:
    """Make the store refuse all calls."""
    await deployed.configure_standin('store', {'down': True})


async def restore_store(deployed: deployment.Deployment) -> None:
    """Make the store accept calls again."""
    await deployed.configure_standin('store', {'down': False})


async def kill_vm(deployed: deployment.Deployment) -> None:
    """Kill a VM while the traffic runs."""
    await asyncio.sleep(DISRUPTION_DELAY_S)
    await deployed.kill_node(sorted(deployed.vms)[-1])


async def stop_vm(deployed: deployment.Deployment) -> None:
    """Stop a VM gracefully while the traffic runs."""
    await asyncio.sleep(DISRUPTION_DELAY_S)
    await deployed.stop_node(sorted(deployed.vms)[0])


async def kill_region(deployed: deployment.Deployment) -> None:
    """Kill all processes of a region while the traffic runs."""
    await asyncio.sleep(DISRUPTION_DELAY_S)
    await deployed.kill_region(disrupted_region(deployed))


async def drain_region(deployed: deployment.Deployment) -> None:
    """Set the weight of a region to 0 in both services."""
    await asyncio.sleep(DISRUPTION_DELAY_S)
    region = disrupted_region(deployed)
    changes = []
    for change in deployed.build_first_ticket()['changes']:
        if (
            change['kind'] == config.EntityKind.SERVICE
            and change['state'] is not None
        ):
            weights = {**change['state']['regions'], region: 0.0}
            state = {**change['state'], 'regions': weights}
            changes.append(
                deployment.make_change(
                    config.EntityKind.SERVICE, change['name'], state
                )
            )
    await deployed.submit_changes(changes)


async def drain_region_to_cold_servers(
    deployed: deployment.Deployment,
) -> None:
    """Drain a region while all servers are cold, as after a start."""
    await asyncio.sleep(DISRUPTION_DELAY_S)
    for group in deployed.backend_process_names():
        await deployed.configure_standin(group, {'*': {'cold': True}})
    await drain_region(deployed)


SCENARIOS: typing.Final = (
    Scenario('steady-60', (0.6,), 8.0, runs_by_default=True),
    Scenario('steady-90', (0.9,), 8.0, runs_by_default=True),
    Scenario(
        'overload-150',
        (1.5,),
        10.0,
        has_greedy_account=True,
        runs_by_default=True,
    ),
    Scenario(
        'lag-90',
        (0.9,),
        8.0,
        setup=delay_load_reports,
        teardown=restore_load_reports,
        runs_by_default=True,
    ),
    Scenario(
        'false-idle',
        (0.75,),
        8.0,
        setup=start_false_idle_reports,
        teardown=stop_false_idle_reports,
    ),
    Scenario(
        'store-down',
        (0.6,),
        10.0,
        setup=make_store_unavailable,
        teardown=restore_store,
    ),
    Scenario('rush', (0.3, 0.45, 0.6, 0.75, 0.9), 15.0, queues_backlog=True),
    Scenario(
        'vm-killed',
        (0.6,),
        12.0,
        disruption=kill_vm,
        needs_own_deployment=True,
    ),
    Scenario(
        'vm-stop',
        (0.6,),
        12.0,
        disruption=stop_vm,
        needs_own_deployment=True,
        drain_target='vm',
    ),
    Scenario(
        'region-gone',
        (0.5,),
        12.0,
        disruption=kill_region,
        needs_own_deployment=True,
    ),
    Scenario(
        'region-drain',
        (0.5,),
        18.0,
        disruption=drain_region,
        needs_own_deployment=True,
        drain_target='region',
    ),
    Scenario(
        'move-cold',
        (0.5,),
        12.0,
        disruption=drain_region_to_cold_servers,
        needs_own_deployment=True,
    ),
)


def select_scenarios(
    names: str | collections.abc.Iterable[str],
) -> list[Scenario]:
    """Return the named scenarios, or the default ones if none are named.

    ``names`` is a sequence or a comma-separated string.  ``all`` selects all
    scenarios and ``none`` selects none, to measure only the processor time.

    Raises ValueError for an unknown name.
    """
    requested = [
        name.strip()
        for name in (names.split(',') if isinstance(names, str) else names)
        if name.strip()
    ]
    if not requested:
        return [scenario for scenario in SCENARIOS if scenario.runs_by_default]
    if requested == ['none']:
        return []
    if requested == ['all']:
        return list(SCENARIOS)
    by_name = {scenario.name: scenario for scenario in SCENARIOS}
    unknown = [name for name in requested if name not in by_name]
    if unknown:
        raise ValueError(
            f'unknown scenarios {unknown}; known: {sorted(by_name)}'
        )
    return [by_name[name] for name in requested]
