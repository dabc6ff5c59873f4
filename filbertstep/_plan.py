"""Plan of an example deployment, and what follows from it.

``examples/NAME/deployment.json`` says which regions, services and client
accounts a deployment has.  Addresses, keys, the first ticket and the settings
of the nodes are generated from it.
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

# Text that every generated key begins with, so that the stand-in backend
# servers can look for keys without knowing any.
KEY_PREFIX: typing.Final = 'fbk-'

# The part of a link's rate that filbertstep may use, and what it may send at
# once, in seconds of that rate.
LINK_USABLE_SHARE: typing.Final = 0.8
LINK_BURST_S: typing.Final = 0.1

# First port and seed of the keys of the tickets kept in the examples.
EXAMPLE_FIRST_PORT: typing.Final = 21_000
EXAMPLE_KEY_SEED: typing.Final = 1

JsonObject = dict[str, typing.Any]


class RegionPlan(typing.TypedDict):
    """A region: its VMs are spread over its availability zones."""

    availability_zones: list[str]
    near: list[str]
    vms: int
    client_blocks: list[str]


class ShiftCapPlan(typing.TypedDict):
    """Cap on shifts of a service's traffic."""

    max_share: float
    interval_s: float


class ObjectivePlan(typing.TypedDict):
    """Service-level objective, as the configuration has it."""

    in_time_ms: int
    in_time_share: float
    served_share: float


class ServicePlan(typing.TypedDict):
    """A service and its backend servers; ``mean_ms`` is their run time."""

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
    """A client account, which may use every service."""

    rate: float
    burst: float


class Plan(typing.TypedDict):
    """A deployment; ``link_bytes_per_s`` holds between any two regions."""

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
    """A key as its client account holds it; only tests know ``secret``."""

    name: str
    client_account: str
    secret: str

    def digest(self) -> str:
        """Return what the configuration keeps of the key."""
        return hashlib.sha256(self.secret.encode()).hexdigest()


class TicketChange(typing.TypedDict):
    """One change of a ticket; without a state the entity is deleted."""

    kind: str
    name: str
    state: JsonObject | None


class Ticket(typing.TypedDict):
    """A change ticket as operators submit it."""

    number: int
    author: str
    changes: list[TicketChange]


def load_plan(name: str) -> Plan:
    """Read the plan of an example deployment."""
    path = EXAMPLES_DIRECTORY / name / 'deployment.json'
    text = path.read_text(encoding='utf-8')
    return codec.decode_with_comments(text, Plan).unwrap()


def interleave_zones(plan: Plan) -> list[tuple[str, str]]:
    """Return (region, zone): each region's first zone, then the second."""
    rows = [
        [(name, zone) for zone in region['availability_zones']]
        for name, region in plan['regions'].items()
    ]
    return [pair for column in zip(*rows, strict=True) for pair in column]


def list_vms(plan: Plan) -> list[VmPlan]:
    """Return the entry VMs, spread over the zones of their regions."""
    found: list[VmPlan] = []
    for region, doc in plan['regions'].items():
        for _ in range(doc['vms']):
            own = sum(vm.region == region for vm in found)
            zone = doc['availability_zones'][
                own % len(doc['availability_zones'])
            ]
            found.append(VmPlan(f'vm-{len(found) + 1}', region, zone))
    return found


def list_servers(plan: Plan) -> list[ServerPlan]:
    """Return the backend servers, spread evenly over all zones."""
    places = interleave_zones(plan)
    return [
        ServerPlan(
            f'{service}-{number + 1}', service, *places[number % len(places)]
        )
        for service, doc in plan['services'].items()
        for number in range(doc['upstreams'])
    ]


def generate_keys(plan: Plan, seed: int) -> list[IssuedKey]:
    """Return one key for each client account."""
    source = random.Random(f'keys/{plan["name"]}/{seed}')
    return [
        IssuedKey(
            f'{account}-1', account, KEY_PREFIX + source.randbytes(32).hex()
        )
        for account in plan['client_accounts']
    ]


def generate_key(account: str, name: str, seed: int) -> IssuedKey:
    """Return one more key for an account."""
    source = random.Random(f'key/{account}/{name}/{seed}')
    return IssuedKey(name, account, KEY_PREFIX + source.randbytes(32).hex())


def make_change(
    kind: config.EntityKind, name: str, state: JsonObject | None
) -> TicketChange:
    """Return one change of a ticket."""
    return {'kind': kind.value, 'name': name, 'state': state}


def build_first_ticket(
    plan: Plan, addresses: dict[str, str], issued: list[IssuedKey]
) -> Ticket:
    """Return ticket 1: the whole configuration of a deployment.

    ``addresses`` maps a backend server's name to ``host:port``.
    """
    changes = [
        *region_changes(plan),
        *service_changes(plan),
        *server_changes(plan, addresses),
        *account_changes(plan),
    ]
    for key in issued:
        state = {
            'client_account': key.client_account,
            'digest': key.digest(),
        }
        changes.append(make_change(config.EntityKind.KEY, key.name, state))
    return {'number': 1, 'author': 'operator', 'changes': changes}


def region_changes(plan: Plan) -> list[TicketChange]:
    """Return the changes that add regions, sites and links."""
    made = []
    for name, doc in plan['regions'].items():
        region = {
            'availability_zones': doc['availability_zones'],
            'near': doc['near'],
        }
        made.append(make_change(config.EntityKind.REGION, name, region))
        site = {'region': name, 'blocks': doc['client_blocks']}
        made.append(
            make_change(config.EntityKind.SITE, f'{name}-clients', site)
        )
        for other in plan['regions']:
            if other != name:
                made.append(link_change(plan, name, other))
    return made


def link_change(plan: Plan, source: str, target: str) -> TicketChange:
    """Return the change that adds one direction of a link."""
    rate = plan['link_bytes_per_s'] * LINK_USABLE_SHARE
    state = {
        'from_region': source,
        'to_region': target,
        'bytes_per_s': rate,
        'burst_bytes': rate * LINK_BURST_S,
    }
    return make_change(config.EntityKind.LINK, f'{source}-to-{target}', state)


def service_changes(plan: Plan) -> list[TicketChange]:
    """Return the changes that add services and their shift caps.

    A region's weight is its part of the service's backend servers.
    """
    made = []
    for name, doc in plan['services'].items():
        own = [one for one in list_servers(plan) if one.service == name]
        state = {
            'path_prefix': doc['path_prefix'],
            'work': doc['work'],
            'open': False,
            'idempotent_methods': doc['idempotent_methods'],
            'deadline_ms': doc['deadline_ms'],
            'max_body_bytes': doc['max_body_bytes'],
            'queue_limit': doc['queue_limit'],
            'regions': {
                region: float(sum(one.region == region for one in own))
                for region in plan['regions']
            },
            'objective': doc['objective'],
        }
        made.append(make_change(config.EntityKind.SERVICE, name, state))
        cap = dict(doc['shift_cap'])
        made.append(make_change(config.EntityKind.SHIFT_CAP, name, cap))
    return made


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
                'rate': doc['rate'],
                'burst': doc['burst'],
                'services': sorted(plan['services']),
            },
        )
        for name, doc in plan['client_accounts'].items()
    ]


def render_node_settings(plan: Plan, fields: dict[str, object]) -> str:
    """Return the settings file of one node from the plan's template."""
    path = EXAMPLES_DIRECTORY / plan['name'] / 'node.json'
    template = string.Template(path.read_text(encoding='utf-8'))
    return template.safe_substitute(fields)


def build_documents(ticket: Ticket) -> config.Documents:
    """Return the documents of a deployment after its first ticket."""
    found = config.empty_documents()
    for one in ticket['changes']:
        if one['state'] is not None:
            found[config.EntityKind(one['kind'])][one['name']] = one['state']
    return found


def build_example_ticket(plan: Plan) -> Ticket:
    """Return the first ticket as kept in ``examples/NAME/ticket-1.json``."""
    addresses = {
        server.name: f'127.0.0.1:{EXAMPLE_FIRST_PORT + position}'
        for position, server in enumerate(list_servers(plan))
    }
    return build_first_ticket(
        plan, addresses, generate_keys(plan, EXAMPLE_KEY_SEED)
    )
