"""Configurations, and fakes of the systems that routing depends on."""

import collections
import typing

from filbertstep import config
from filbertstep import systems

REGIONS = ('hobart', 'launceston', 'burnie')


def region_doc(name: str) -> dict[str, typing.Any]:
    """Return a region; the others are near it in the order of ``REGIONS``."""
    return {
        'availability_zones': [f'{name}-a', f'{name}-b'],
        'near': [other for other in REGIONS if other != name],
    }


def service_doc(
    work: str = 'interactive',
    regions: dict[str, float] | None = None,
    queue_limit: int = 100,
) -> dict[str, typing.Any]:
    """Return a service, by default with all weight in the first region."""
    return {
        'path_prefix': '/bookings',
        'work': work,
        'open': False,
        'idempotent_methods': ['GET'],
        'deadline_ms': 5000,
        'max_body_bytes': 65536,
        'queue_limit': queue_limit,
        'regions': regions or {'hobart': 1.0},
        'objective': {
            'in_time_ms': 100,
            'in_time_share': 0.99,
            'served_share': 0.999,
        },
    }


def server_doc(
    service: str, region: str, slots: int = 2, warmup_s: float = 10.0
) -> dict[str, typing.Any]:
    """Return a backend server in the first availability zone of a region."""
    return {
        'service': service,
        'address': '127.0.0.1:9',
        'region': region,
        'availability_zone': f'{region}-a',
        'slots': slots,
        'connections': 400,
        'warmup_s': warmup_s,
    }


def documents(
    services: dict[str, dict[str, typing.Any]] | None = None,
    servers: dict[str, dict[str, typing.Any]] | None = None,
    caps: dict[str, dict[str, typing.Any]] | None = None,
    drains: dict[str, dict[str, typing.Any]] | None = None,
    links: dict[str, dict[str, typing.Any]] | None = None,
) -> config.Documents:
    """Return documents; by default each region has two backend servers."""
    found = config.empty_documents()
    found[config.EntityKind.REGION] = {
        name: region_doc(name) for name in REGIONS
    }
    found[config.EntityKind.SERVICE] = services or {'bookings': service_doc()}
    found[config.EntityKind.BACKEND_SERVER] = (
        servers
        if servers is not None
        else {
            f'{region}-{number}': server_doc('bookings', region)
            for region in REGIONS
            for number in (1, 2)
        }
    )
    found[config.EntityKind.SHIFT_CAP] = caps or {}
    found[config.EntityKind.DRAIN] = drains or {}
    found[config.EntityKind.LINK] = links or {}
    return found


def learn(
    views: config.ViewTable,
    docs: config.Documents,
    head_index: int,
    now: float,
) -> None:
    """Add a configuration whose epoch has one member to a view table."""
    sections: config.Sections = {}
    head = config.empty_head()
    head['epoch'] = {
        'number': 1,
        'members': [
            {
                'vm': 'vm-1',
                'incarnation': 'a',
                'region': 'hobart',
                'availability_zone': 'hobart-a',
            }
        ],
        'witnesses': ['vm-1'],
    }
    for name, content in config.split_into_sections(docs).items():
        key = config.section_key(name, content)
        head['sections'][name] = key
        sections[key] = content
    views.add_view(config.make_view(head_index, head, sections), now)


class FakeSlots(systems.Slots):
    """Slots that this VM owns; raises KeyError on misuse.

    ``owned`` has the slot numbers by server, ``idle_fractions`` the idle
    share of the slots of all VMs by region.
    """

    def __init__(self, servers: dict[str, config.BackendServer]) -> None:
        self.servers = servers
        self.owned = {
            name: list(range(server.slots)) for name, server in servers.items()
        }
        self.busy: dict[str, dict[int, systems.SlotHold]] = (
            collections.defaultdict(dict)
        )
        self.idle_fractions: dict[str, float] = {}
        self.reported_waiting: dict[tuple[str, str], int] = {}
        self.held_to_deadline: list[systems.SlotHold] = []

    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return the number of idle slots by server."""
        return {
            name: len(self.owned[name]) - len(self.busy[name])
            for name, server in self.servers.items()
            if server.service == service and server.region == region
        }

    def in_use_count(self, server: str) -> int:
        """Return the number of slots of a server in use."""
        return len(self.busy[server])

    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Acquire the idle slot with the highest number.

        This is the one that the slow start is least likely to allow.
        """
        free = [n for n in self.owned[server] if n not in self.busy[server]]
        if not free:
            return None
        row = self.servers[server]
        hold = systems.SlotHold(
            server, max(free), row.service, row.region, None, now + run_for_s
        )
        self.busy[server][hold.slot] = hold
        return hold

    def release(self, hold: systems.SlotHold, now: float) -> None:
        """Release a slot; raises KeyError if it is not in use."""
        del self.busy[hold.server][hold.slot]

    def release_at_deadline(self, hold: systems.SlotHold) -> None:
        """Record the hold and keep the slot in use."""
        self.held_to_deadline.append(hold)

    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Record the newest number of waiting requests."""
        self.reported_waiting[service, region] = count

    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the configured fractions."""
        return dict(self.idle_fractions)

    def total_in_use(self) -> int:
        """Return the number of slots of all servers in use."""
        return sum(map(len, self.busy.values()))


class FakeTokenBuckets(systems.SharedTokenBuckets):
    """Buckets without refill; resources not in ``tokens`` are unlimited."""

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}
        self.asked: list[str] = []

    def try_consume(self, resource: str, amount: float, now: float) -> bool:
        """Take tokens if there are enough."""
        if self.tokens.get(resource, amount) < amount:
            return False
        self.charge(resource, amount, now)
        return True

    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Record the resource; peers never have tokens."""
        self.asked.append(resource)
        return False

    def refund(self, resource: str, amount: float, now: float) -> None:
        """Put tokens back."""
        self.charge(resource, -amount, now)

    def charge(self, resource: str, amount: float, now: float) -> None:
        """Take tokens without a check."""
        if resource in self.tokens:
            self.tokens[resource] -= amount

    def retry_after_s(self, resource: str, now: float) -> float:
        """Return a fixed time in seconds."""
        return 0.05
