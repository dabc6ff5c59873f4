"""Plans of the example deployments and the documents generated from them.

``examples/NAME/deployment.json`` lists the regions, services and client
accounts of a deployment.  Its VMs, backend servers, API keys, first change
ticket and node settings are derived from this plan.
"""

import hashlib
import pathlib
import random
import string
import typing

from filbertstep import codec
from filbertstep import config

EXAMPLES_DIRECTORY: typing.Final = (
    pathlib.Path(__file__).parent.parent / 'examples'
)

# Prefix of every generated key, so that the stand-in backend servers can
# detect a leaked key without knowing any.
KEY_PREFIX: typing.Final = 'fbk-'

# Share of a link's rate that filbertstep may use.
LINK_USABLE_SHARE: typing.Final = 0.8

# Burst allowed on a link, in seconds at the usable rate.
LINK_BURST_S: typing.Final = 0.1

# Port of the first backend server in the checked-in example tickets.
EXAMPLE_FIRST_PORT: typing.Final = 21_000

EXAMPLE_KEY_SEED: typing.Final = 1

JsonObject = dict[str, typing.Any]


class RegionPlan(typing.TypedDict):
    """A region and the number of its VMs, spread over its zones.

    ``near`` lists the other regions, nearest first.  ``client_blocks`` are the
    address blocks of the callers in this region.
    """

    availability_zones: list[str]
    near: list[str]
    vms: int
    client_blocks: list[str]


class ShiftCapPlan(typing.TypedDict):
    """Limit on how much of a service's traffic may move per interval."""

    max_share: float
    interval_s: float


class ObjectivePlan(typing.TypedDict):
    """Service-level objective, in the form of the configuration."""

    in_time_ms: int
    in_time_share: float
    served_share: float


class ServicePlan(typing.TypedDict):
    """A service and its backend servers.

    ``work`` is ``interactive`` or ``deferrable``.  ``upstreams`` is the number
    of backend servers; ``slots`` and ``connections`` are limits of each one.
    ``mean_ms`` is the mean run time of a request.  It is ``cold_factor`` times
    longer at a server's start; the factor falls to 1 within ``warmup_s``.
    """

    path_prefix: str
    work: str
    idempotent_methods: list[str]
    deadline_ms: int
    max_body_bytes: int
    queue_limit: int
    objective: ObjectivePlan
    shift_cap: ShiftCapPlan
    upstreams: int
    slots: int
    connections: int
    warmup_s: float
    cold_factor: float
    mean_ms: float


class AccountPlan(typing.TypedDict):
    """Request rate and burst of a client account.

    Every account may use every service.
    """

    rate: float
    burst: float


class Plan(typing.TypedDict):
    """A deployment.

    ``zone_delay_ms`` and ``region_delay_ms`` are one-way network delays within
    a region and between regions.  ``link_bytes_per_s`` is the rate of the link
    between any two regions.  ``store_region`` is where the store runs.
    """

    name: str
    regions: dict[str, RegionPlan]
    store_region: str
    zone_delay_ms: float
    region_delay_ms: float
    link_bytes_per_s: float
    services: dict[str, ServicePlan]
    client_accounts: dict[str, AccountPlan]


class VmPlan(typing.NamedTuple):
    """An entry VM of a deployment."""

    name: str
    region: str
    availability_zone: str


class ServerPlan(typing.NamedTuple):
    """A backend server of a deployment."""

    name: str
    service: str
    region: str
    availability_zone: str


class IssuedKey(typing.NamedTuple):
    """An API key with its secret, which the configuration does not hold."""

    name: str
    client_account: str
    secret: str

    def digest(self) -> str:
        """Return the SHA-256 hex digest that the configuration holds."""
        return hashlib.sha256(self.secret.encode()).hexdigest()


class TicketChange(typing.TypedDict):
    """One change of a ticket; the state None deletes the entity."""

    kind: str
    name: str
    state: JsonObject | None


class Ticket(typing.TypedDict):
    """A change ticket as operators submit it."""

    number: int
    author: str
    changes: list[TicketChange]


def load_plan(name: str) -> Plan:
    """Read the plan of the example deployment with this name.

    Raises an exception if the file is missing or is not a valid plan.
    """
    path = EXAMPLES_DIRECTORY / name / 'deployment.json'
    text = path.read_text(encoding='utf-8')
    return codec.decode_with_comments(text, Plan).unwrap()


def interleave_zones(plan: Plan) -> list[tuple[str, str]]:
    """Return (region, zone) pairs, alternating between the regions.

    The first zone of each region comes first, then the second of each, and so
    on.  All regions must have the same number of zones.
    """
    pairs_by_region = [
        [(name, zone) for zone in region['availability_zones']]
        for name, region in plan['regions'].items()
    ]
    return [
        pair for rank in zip(*pairs_by_region, strict=True) for pair in rank
    ]


def list_vms(plan: Plan) -> list[VmPlan]:
    """Return the entry VMs, spread evenly over the zones of their regions."""
    vms: list[VmPlan] = []
    for region, region_plan in plan['regions'].items():
        for _ in range(region_plan['vms']):
            vms_in_region = sum(vm.region == region for vm in vms)
            zone = region_plan['availability_zones'][
                vms_in_region % len(region_plan['availability_zones'])
            ]
            vms.append(VmPlan(f'vm-{len(vms) + 1}', region, zone))
    return vms


def list_servers(plan: Plan) -> list[ServerPlan]:
    """Return the backend servers, spread evenly over all zones."""
    zones = interleave_zones(plan)
    return [
        ServerPlan(
            f'{service}-{number + 1}', service, *zones[number % len(zones)]
        )
        for service, service_plan in plan['services'].items()
        for number in range(service_plan['upstreams'])
    ]


def generate_keys(plan: Plan, seed: int) -> list[IssuedKey]:
    """Return one key for each client account; a seed fixes the secrets."""
    rng = random.Random(f'keys/{plan["name"]}/{seed}')
    return [
        IssuedKey(
            f'{account}-1', account, KEY_PREFIX + rng.randbytes(32).hex()
        )
        for account in plan['client_accounts']
    ]


def generate_key(account: str, name: str, seed: int) -> IssuedKey:
    """Return an additional key for an account."""
    rng = random.Random(f'key/{account}/{name}/{seed}')
    return IssuedKey(name, account, KEY_PREFIX + rng.randbytes(32).hex())


def make_change(
    kind: config.EntityKind, name: str, state: JsonObject | None
) -> TicketChange:
    """Return a change that sets an entity's state, or deletes it if None."""
    return {'kind': kind.value, 'name': name, 'state': state}


def build_first_ticket(
    plan: Plan, addresses: dict[str, str], keys: list[IssuedKey]
) -> Ticket:
    """Return ticket 1, which creates the whole configuration.

    ``addresses`` maps a backend server's name to ``host:port``.
    """
    changes = [
        *region_changes(plan),
        *service_changes(plan),
        *server_changes(plan, addresses),
        *account_changes(plan),
    ]
    for key in keys:
        state = {
            'client_account': key.client_account,
            'digest': key.digest(),
        }
        changes.append(make_change(config.EntityKind.KEY, key.name, state))
    return {'number': 1, 'author': 'operator', 'changes': changes}


def region_changes(plan: Plan) -> list[TicketChange]:
    """Return the changes that add regions, sites and links."""
    changes = []
    for name, region_plan in plan['regions'].items():
        region = {
            'availability_zones': region_plan['availability_zones'],
            'near': region_plan['near'],
        }
        changes.append(make_change(config.EntityKind.REGION, name, region))
        site = {'region': name, 'blocks': region_plan['client_blocks']}
        changes.append(
            make_change(config.EntityKind.SITE, f'{name}-clients', site)
        )
        for other in plan['regions']:
            if other != name:
                changes.append(link_change(plan, name, other))
    return changes


def link_change(plan: Plan, source: str, target: str) -> TicketChange:
    """Return the change that adds a link from one region to another."""
    bytes_per_s = plan['link_bytes_per_s'] * LINK_USABLE_SHARE
    state = {
        'from_region': source,
        'to_region': target,
        'bytes_per_s': bytes_per_s,
        'burst_bytes': bytes_per_s * LINK_BURST_S,
    }
    return make_change(config.EntityKind.LINK, f'{source}-to-{target}', state)


def service_changes(plan: Plan) -> list[TicketChange]:
    """Return the changes that add services and their shift caps.

    A region's weight is the number of the service's backend servers in it.
    """
    changes = []
    for name, service_plan in plan['services'].items():
        servers = [
            server for server in list_servers(plan) if server.service == name
        ]
        state = {
            'path_prefix': service_plan['path_prefix'],
            'work': service_plan['work'],
            'open': False,
            'idempotent_methods': service_plan['idempotent_methods'],
            'deadline_ms': service_plan['deadline_ms'],
            'max_body_bytes': service_plan['max_body_bytes'],
            'queue_limit': service_plan['queue_limit'],
            'regions': {
                region: float(
                    sum(server.region == region for server in servers)
                )
                for region in plan['regions']
            },
            'objective': service_plan['objective'],
        }
        changes.append(make_change(config.EntityKind.SERVICE, name, state))
        cap = dict(service_plan['shift_cap'])
        changes.append(make_change(config.EntityKind.SHIFT_CAP, name, cap))
    return changes


def server_changes(
    plan: Plan, addresses: dict[str, str]
) -> list[TicketChange]:
    """Return the changes that add backend servers."""
    return [
        make_change(
            config.EntityKind.BACKEND_SERVER,
            server.name,
            {
                'service': server.service,
                'address': addresses[server.name],
                'region': server.region,
                'availability_zone': server.availability_zone,
                'slots': plan['services'][server.service]['slots'],
                'connections': plan['services'][server.service]['connections'],
                'warmup_s': plan['services'][server.service]['warmup_s'],
            },
        )
        for server in list_servers(plan)
    ]


def account_changes(plan: Plan) -> list[TicketChange]:
    """Return the changes that add client accounts."""
    return [
        make_change(
            config.EntityKind.CLIENT_ACCOUNT,
            name,
            {
                'rate': account_plan['rate'],
                'burst': account_plan['burst'],
                'services': sorted(plan['services']),
            },
        )
        for name, account_plan in plan['client_accounts'].items()
    ]


def render_node_settings(plan: Plan, fields: dict[str, object]) -> str:
    """Return the text of a node's settings file from the plan's template.

    ``fields`` are the values for the template's placeholders.
    """
    path = EXAMPLES_DIRECTORY / plan['name'] / 'node.json'
    template = string.Template(path.read_text(encoding='utf-8'))
    return template.safe_substitute(fields)


def build_documents(ticket: Ticket) -> config.Documents:
    """Return the configuration documents that the first ticket creates."""
    documents = config.empty_documents()
    for change in ticket['changes']:
        if change['state'] is not None:
            documents[config.EntityKind(change['kind'])][change['name']] = (
                change['state']
            )
    return documents


def build_example_ticket(plan: Plan) -> Ticket:
    """Return the ticket checked in as ``examples/NAME/ticket-1.json``."""
    addresses = {
        server.name: f'127.0.0.1:{EXAMPLE_FIRST_PORT + index}'
        for index, server in enumerate(list_servers(plan))
    }
    return build_first_ticket(
        plan, addresses, generate_keys(plan, EXAMPLE_KEY_SEED)
    )
