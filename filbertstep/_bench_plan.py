"""What the bench runs: scaled plans and scenarios.

Capacity is set by the run times of the backend servers, so that the request
rates stay low enough for one machine that others use too.  Numbers of
regions, servers, slots, accounts and VMs are those of the deployment.
"""

import asyncio
import collections.abc
import copy
import typing

from filbertstep import config
from filbertstep import deployment
from filbertstep import traffic

# Requests a second, of both services together, that fill all slots.
CAPACITY: typing.Final = 200.0

# The rates of all accounts together, as a multiple of the capacity: rates are
# sold for more than the capacity, or no account inside its rate could overload
# a deployment.
RATES_SOLD: typing.Final = 2.0

# An account that sends too much sends this multiple of its rate.
GREEDY_FACTOR: typing.Final = 5.0

# Time in seconds after the start of the traffic of what disturbs it.
DISTURB_AT_S: typing.Final = 2.0

# Lag in seconds of the load reports of the scenario with lagging reports.
REPORT_LAG_S: typing.Final = 5.0

Disturb = collections.abc.Callable[
    [deployment.Deployment], collections.abc.Awaitable[None]
]


class Scenario(typing.NamedTuple):
    """Traffic and what disturbs it.

    ``loads`` are shares of the capacity, each for an equal part of
    ``seconds``.  ``before`` runs before the traffic, ``during`` with it and
    ``after`` puts right what the others changed.  A scenario that is ``final``
    leaves a deployment that no other scenario can use.  ``drained`` says what
    leaves: ``vm``, ``region`` or nothing.  ``backlog`` queues deferrable work
    before the traffic starts.  ``by_default`` ones run unless scenarios are
    named.
    """

    name: str
    loads: tuple[float, ...]
    seconds: float
    greedy: bool = False
    before: Disturb | None = None
    during: Disturb | None = None
    after: Disturb | None = None
    final: bool = False
    drained: str = ''
    backlog: bool = False
    by_default: bool = False


def interactive(plan: deployment.Plan) -> str:
    """Return the name of the interactive service."""
    return next(
        name
        for name, service in plan['services'].items()
        if service['work'] == 'interactive'
    )


def deferrable(plan: deployment.Plan) -> str:
    """Return the name of the deferrable service."""
    return next(
        name
        for name, service in plan['services'].items()
        if service['work'] == 'deferrable'
    )


def service_capacities(
    plan: deployment.Plan, capacity: float = CAPACITY
) -> dict[str, float]:
    """Return the capacity of each service, requests a second."""
    parts: dict[str, float] = dict.fromkeys(plan['services'], 0.0)
    for kind in traffic.request_kinds(plan):
        parts[kind.service] += kind.share
    return {name: part * capacity for name, part in parts.items()}


def scaled(
    plan: deployment.Plan, capacity: float = CAPACITY
) -> deployment.Plan:
    """Return a plan whose slots are all busy at a rate of requests.

    The rates of the accounts keep their proportions.
    """
    made = copy.deepcopy(plan)
    rates = service_capacities(plan, capacity)
    for name, service in made['services'].items():
        slots = service['upstreams'] * service['slots']
        service['mean_ms'] = 1000 * slots / rates[name]
    sold = sum(row['rate'] for row in plan['client_accounts'].values())
    for account in made['client_accounts'].values():
        account['rate'] *= RATES_SOLD * capacity / sold
    return made


def greedy_account(plan: deployment.Plan) -> str:
    """Return the account that sends too much: the one with least rate."""
    accounts = plan['client_accounts']
    return min(accounts, key=lambda name: accounts[name]['rate'])


def account_shares(
    plan: deployment.Plan, load: float, greedy: str | None
) -> tuple[float, dict[str, float]]:
    """Return the share of its rate that each account offers.

    ``load`` is the whole offered load as a share of the capacity.  The second
    value has the account whose share differs.
    """
    rates = {
        name: row['rate'] for name, row in plan['client_accounts'].items()
    }
    sold = sum(rates.values())
    offered = load * sold / RATES_SOLD
    if greedy is None:
        return offered / sold, {}
    rest = offered - GREEDY_FACTOR * rates[greedy]
    return rest / (sold - rates[greedy]), {greedy: GREEDY_FACTOR}


def some_server(deployed: deployment.Deployment) -> str:
    """Return the first server of the interactive service."""
    service = interactive(deployed.plan)
    return min(
        name
        for name, row in deployed.servers.items()
        if row.service == service
    )


def last_region(deployed: deployment.Deployment) -> str:
    """Return the region that fails or is drained: not the store's."""
    return list(deployed.plan['regions'])[-1]


async def control_all(
    deployed: deployment.Deployment, **fields: object
) -> None:
    """Change limits or faults of all backend servers."""
    for group in deployed.backend_process_names():
        await deployed.configure_standin(group, {'*': fields})


async def lag_reports(deployed: deployment.Deployment) -> None:
    """Delay the load reports."""
    await control_all(deployed, load_lag_s=REPORT_LAG_S)


async def mend_reports(deployed: deployment.Deployment) -> None:
    """Let load reports be prompt again."""
    await control_all(deployed, load_lag_s=0.0)


async def report_false(deployed: deployment.Deployment) -> None:
    """Let one slow server report that it is idle."""
    mean_ms = deployed.plan['services'][interactive(deployed.plan)]['mean_ms']
    await deployed.configure_backend_server(
        some_server(deployed), reported_load=0.0, mean_ms=2 * mean_ms
    )


async def report_true(deployed: deployment.Deployment) -> None:
    """Let that server be as the others again."""
    mean_ms = deployed.plan['services'][interactive(deployed.plan)]['mean_ms']
    await deployed.configure_backend_server(
        some_server(deployed), reported_load=None, mean_ms=mean_ms
    )


async def store_down(deployed: deployment.Deployment) -> None:
    """Let the store refuse all calls."""
    await deployed.configure_standin('store', {'down': True})


async def store_up(deployed: deployment.Deployment) -> None:
    """Let the store answer again."""
    await deployed.configure_standin('store', {'down': False})


async def kill_vm(deployed: deployment.Deployment) -> None:
    """Kill a VM while the traffic runs."""
    await asyncio.sleep(DISTURB_AT_S)
    await deployed.kill_node(sorted(deployed.vms)[-1])


async def stop_vm(deployed: deployment.Deployment) -> None:
    """Stop a VM as planned while the traffic runs."""
    await asyncio.sleep(DISTURB_AT_S)
    await deployed.stop_node(sorted(deployed.vms)[0])


async def lose_region(deployed: deployment.Deployment) -> None:
    """Kill everything in a region while the traffic runs."""
    await asyncio.sleep(DISTURB_AT_S)
    await deployed.kill_region(last_region(deployed))


async def drain_region(deployed: deployment.Deployment) -> None:
    """Take a region's weight to 0 in both services."""
    await asyncio.sleep(DISTURB_AT_S)
    region = last_region(deployed)
    changes = []
    for one in deployed.build_first_ticket()['changes']:
        if (
            one['kind'] == config.EntityKind.SERVICE
            and one['state'] is not None
        ):
            weights = {**one['state']['regions'], region: 0.0}
            state = {**one['state'], 'regions': weights}
            changes.append(
                deployment.make_change(
                    config.EntityKind.SERVICE, one['name'], state
                )
            )
    await deployed.submit_changes(changes)


async def move_to_cold(deployed: deployment.Deployment) -> None:
    """Drain a region towards servers that have just started."""
    await asyncio.sleep(DISTURB_AT_S)
    for group in deployed.backend_process_names():
        await deployed.configure_standin(group, {'*': {'cold': True}})
    await drain_region(deployed)


SCENARIOS: typing.Final = (
    Scenario('steady-60', (0.6,), 8.0, by_default=True),
    Scenario('steady-90', (0.9,), 8.0, by_default=True),
    Scenario('overload-150', (1.5,), 10.0, greedy=True, by_default=True),
    Scenario(
        'lag-90',
        (0.9,),
        8.0,
        before=lag_reports,
        after=mend_reports,
        by_default=True,
    ),
    Scenario(
        'false-idle', (0.75,), 8.0, before=report_false, after=report_true
    ),
    Scenario('store-down', (0.6,), 10.0, before=store_down, after=store_up),
    Scenario('rush', (0.3, 0.45, 0.6, 0.75, 0.9), 15.0, backlog=True),
    Scenario('vm-killed', (0.6,), 12.0, during=kill_vm, final=True),
    Scenario(
        'vm-stop', (0.6,), 12.0, during=stop_vm, final=True, drained='vm'
    ),
    Scenario('region-gone', (0.5,), 12.0, during=lose_region, final=True),
    Scenario(
        'region-drain',
        (0.5,),
        18.0,
        during=drain_region,
        final=True,
        drained='region',
    ),
    Scenario('move-cold', (0.5,), 12.0, during=move_to_cold, final=True),
)


def chosen(names: str | collections.abc.Iterable[str]) -> list[Scenario]:
    """Return the named scenarios, without names those run by default.

    ``all`` stands for all and ``none`` for none, to measure costs only.

    Raises ValueError for an unknown name.
    """
    wanted = [
        name.strip()
        for name in (names.split(',') if isinstance(names, str) else names)
        if name.strip()
    ]
    if not wanted:
        return [one for one in SCENARIOS if one.by_default]
    if wanted == ['none']:
        return []
    if wanted == ['all']:
        return list(SCENARIOS)
    known = {one.name: one for one in SCENARIOS}
    unknown = [name for name in wanted if name not in known]
    if unknown:
        raise ValueError(
            f'unknown scenarios {unknown}; known: {sorted(known)}'
        )
    return [known[name] for name in wanted]
