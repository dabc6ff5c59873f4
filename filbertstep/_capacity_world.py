"""Configurations and nodes of a chosen size for the measurements.

The nodes are those of ``filbertstep.node``; only the network between them is
replaced, by one that encodes and decodes each message as HTTP calls do.
"""

import collections.abc
import contextlib
import random
import typing

import aiohttp
import msgspec
import result

from filbertstep import agreement
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import node
from filbertstep import settings
from filbertstep import store
from filbertstep import systems
from filbertstep import transport

# The target of docs/design.md, section 1.6.
NODES: typing.Final = 2_400
BLOCKS: typing.Final = 470_000
SITES: typing.Final = 260
REGIONS: typing.Final = 11
ZONES: typing.Final = 37
ZONE_NODES: typing.Final = 65

# The target names no accounts, services and backend servers.  Accounts and
# backend servers are today's, scaled with the number of nodes (8 and 70 for
# each 7); services are about two for each region.
ACCOUNTS: typing.Final = 2_700
SERVERS: typing.Final = 24_000
SERVICES: typing.Final = 20

SEED: typing.Final = 1

Fields = dict[str, typing.Any]


class Size(typing.NamedTuple):
    """Size of a configuration; the defaults are today's."""

    members: int = 7
    accounts: int = 8
    services: int = 2
    servers: int = 70
    regions: int = 3
    sites: int = 6
    blocks: int = 6


def zone_of(number: int, regions: int) -> tuple[str, str]:
    """Return region and availability zone of the entity with a number."""
    region = f'region-{number % regions}'
    return region, f'{region}-{"abcd"[number // regions % 2]}'


def block(number: int) -> str:
    """Return one of many disjoint blocks; every fourth is an IPv6 one."""
    if number % 4 == 3:
        return f'2001:{number >> 16:x}:{number & 0xFFFF:x}::/48'
    # Every other /24 is left out, so that neighbours do not join.
    number = (1 << 16) + 2 * number
    return f'{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24'


def services(size: Size) -> dict[str, Fields]:
    """Return documents of services, all in every region."""
    return {
        f'service-{number}': {
            'path_prefix': f'/service-{number}',
            'work': 'interactive',
            'open': False,
            'idempotent_methods': ['GET', 'HEAD'],
            'deadline_ms': 2000,
            'max_body_bytes': 65536,
            'queue_limit': 200,
            'regions': {f'region-{one}': 1.0 for one in range(size.regions)},
            'objective': {
                'in_time_ms': 500,
                'in_time_share': 0.99,
                'served_share': 0.999,
            },
        }
        for number in range(size.services)
    }


def servers(size: Size) -> dict[str, Fields]:
    """Return documents of backend servers, spread over zones."""
    found = {}
    for number in range(size.servers):
        region, zone = zone_of(number, size.regions)
        found[f'server-{number}'] = {
            'service': f'service-{number % size.services}',
            'address': f'127.0.0.1:{1024 + number % 60_000}',
            'region': region,
            'availability_zone': zone,
            'slots': 3,
            'connections': 400,
            'warmup_s': 5.0,
        }
    return found


def documents(size: Size) -> config.Documents:
    """Return a configuration of a size."""
    found = config.empty_documents()
    names = [f'region-{number}' for number in range(size.regions)]
    for name in names:
        found[config.EntityKind.REGION][name] = {
            'availability_zones': [f'{name}-a', f'{name}-b'],
            'near': [other for other in names if other != name],
        }
    found[config.EntityKind.SERVICE] = services(size)
    found[config.EntityKind.BACKEND_SERVER] = servers(size)
    for name in found[config.EntityKind.SERVICE]:
        cap = {'max_share': 0.25, 'interval_s': 10.0}
        found[config.EntityKind.SHIFT_CAP][name] = cap
    for number in range(size.accounts):
        name = f'account-{number}'
        found[config.EntityKind.CLIENT_ACCOUNT][name] = {
            'rate': 100.0,
            'burst': 200.0,
            'services': sorted(found[config.EntityKind.SERVICE]),
        }
        found[config.EntityKind.KEY][f'{name}-1'] = {
            'client_account': name,
            'digest': f'{number:064x}',
        }
    for number in range(size.sites):
        found[config.EntityKind.SITE][f'site-{number}'] = {
            'region': names[number % size.regions],
            'blocks': [
                block(one) for one in range(number, size.blocks, size.sites)
            ],
        }
    return found


def sections(documents: config.Documents) -> dict[str, bytes]:
    """Return the section documents as the store holds them, by key."""
    return {
        config.section_key(name, content): codec.encode(content)
        for name, content in config.split_into_sections(documents).items()
    }


def member(number: int, regions: int) -> config.Member:
    """Return the member with a number."""
    region, zone = zone_of(number, regions)
    return config.Member(f'vm-{number}', f'{number:012x}', region, zone)


def epoch(
    number: int, members: collections.abc.Iterable[config.Member]
) -> config.Epoch:
    """Return an epoch; up to nine members are witnesses."""
    rows = {one.vm: one for one in members}
    return config.Epoch(number, rows, tuple(sorted(rows))[:9])


def head(documents: config.Documents, newest: config.Epoch) -> config.HeadDoc:
    """Return the head of a configuration."""
    made = config.empty_head()
    made['ticket'] = 1
    made['epoch'] = config.epoch_to_doc(newest)
    made['sections'] = {
        key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]: key
        for key in sections(documents)
    }
    return made


def view(
    index: int, documents: config.Documents, newest: config.Epoch
) -> config.View:
    """Return the view of a configuration without former epochs."""
    return config.View(
        index,
        head(documents, newest),
        newest,
        (),
        documents,
        config.build_config(documents),
    )


class WirePeers(transport.Peers):
    """Peers in this process; messages pass through their JSON encoding.

    Counts calls and the bytes of bodies by path.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, systems.Handler]] = {}
        self.calls: dict[str, int] = {}
        self.bytes: dict[str, int] = {}

    async def call(
        self,
        vm: str,
        path: str,
        message: transport.Message,
        timeout_s: float,
    ) -> result.Result[transport.Message, errors.Failure]:
        """Deliver a call."""
        handler = self.handlers.get(vm, {}).get(path)
        if handler is None:
            return result.Err(
                errors.Failure(errors.ErrorKind.NOT_RUN, f'no {vm}')
            )
        body = codec.encode(message)
        answer = await handler(msgspec.json.decode(body))
        if isinstance(answer, result.Err):
            return answer
        back = codec.encode(answer.ok_value)
        self.calls[path] = self.calls.get(path, 0) + 1
        self.bytes[path] = self.bytes.get(path, 0) + len(body) + len(back)
        return result.Ok(msgspec.json.decode(back))


class CountingStore(store.FakeStore):
    """A store in memory that counts calls and the bytes of values."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0
        self.written_bytes = 0
        self.read_bytes = 0

    async def get(
        self, key: str
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key."""
        answer = await super().get(key)
        self.calls += 1
        if isinstance(answer, result.Ok):
            self.read_bytes += len(answer.ok_value.value)
        return answer

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, store.StoreError]:
        """Write a key."""
        self.calls += 1
        self.written_bytes += len(value)
        return await super().put_cas(key, value, index)


def options(one: config.Member) -> settings.NodeSettings:
    """Return the settings of a node that binds no port."""
    listener = settings.Listener(
        '127.0.0.1', 0, f'http://127.0.0.1:{20_000}/{one.vm}', None, None
    )
    return settings.NodeSettings(
        vm=one.vm,
        region=one.region,
        availability_zone=one.availability_zone,
        callers=listener,
        peers=listener,
        operators=listener,
        peer_token='0123456789abcdef',  # noqa: S106
        operator_tokens=('0123456789abcdef',),
        store_url='http://127.0.0.1:9',
        vm_list_url='http://127.0.0.1:9',
        log_level='ERROR',
        history_file=None,
        ca_file=None,
        stop_timeout_s=1.0,
        choice_policy='slot_aware',
    )


@contextlib.asynccontextmanager
async def node_of(
    size: Size, number: int = 0
) -> collections.abc.AsyncIterator[node.Node]:
    """Return a node that knows a configuration and has heard all members.

    It sends nothing: no listener, loop or heartbeat is started.
    """
    async with aiohttp.ClientSession() as session:
        one = member(number, size.regions)
        made = node.Node(options(one), session, random.Random(SEED))
        members = [member(each, size.regions) for each in range(size.members)]
        members[number] = one._replace(incarnation=made.incarnation)
        newest = epoch(1, members)
        learned = view(10, documents(size), newest)
        now = made.clock.now()
        made.views.add_view(learned, now)
        made.agreement.state = 'serving'
        keep_fresh(made, now)
        await hear_all(made, members)
        yield made
        await made.health.close()
        await made.agreement.stop()


def keep_fresh(one: node.Node, now: float) -> None:
    """Give a node store evidence of a time."""
    one.agreement.evidence.record_store_read(one.views.head_index(), now)


async def hear_all(
    one: node.Node, members: collections.abc.Iterable[config.Member]
) -> None:
    """Let a node hear a heartbeat of every other member.

    The heartbeats are the node's own with another identity.
    """
    for other in members:
        if other.vm != one.options.vm:
            heard = await one.agreement.heartbeats.handle_heartbeat(
                heartbeat(one, other)
            )
            heard.unwrap()
            one.agreement.heartbeat_sent_at[other.vm] = float('inf')


def heartbeat(one: node.Node, sender: config.Member) -> transport.Message:
    """Return a node's heartbeat as another member would send it."""
    message = dict(one.agreement.heartbeats.build_request(sender.vm))
    identity = agreement.Identity(
        *sender,
        f'http://127.0.0.1:20000/{sender.vm}',
        f'http://127.0.0.1:20001/{sender.vm}',
    )
    message['identity'] = identity._asdict()
    decoded: transport.Message = msgspec.json.decode(codec.encode(message))
    return decoded
