"""Builds configurations and nodes of a given size for the measurements.

The nodes are real ones from ``filbertstep.node``.  Only the network between
them is replaced, by in-process calls that encode and decode each message as
HTTP calls do.
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

# Sizes of the target deployment in docs/design.md, section 1.6.
TARGET_NODES: typing.Final = 2_400
TARGET_BLOCKS: typing.Final = 470_000
TARGET_SITES: typing.Final = 260
TARGET_REGIONS: typing.Final = 11
TARGET_ZONES: typing.Final = 37
TARGET_NODES_PER_ZONE: typing.Final = 65

# The design gives no target for client accounts, backend servers and services.
# Client accounts and backend servers are scaled from the current deployment,
# which has 8 and 70 for 7 nodes; services are about two for each region.
TARGET_ACCOUNTS: typing.Final = 2_700
TARGET_SERVERS: typing.Final = 24_000
TARGET_SERVICES: typing.Final = 20

NODE_RANDOM_SEED: typing.Final = 1

JsonObject = dict[str, typing.Any]


class ConfigSize(typing.NamedTuple):
    """Numbers of entities; the defaults are those of the current deployment.

    ``blocks`` counts the client blocks of all sites together.
    """

    members: int = 7
    accounts: int = 8
    services: int = 2
    servers: int = 70
    regions: int = 3
    sites: int = 6
    blocks: int = 6


def region_and_zone(number: int, regions: int) -> tuple[str, str]:
    """Return the region and availability zone of the entity ``number``.

    ``regions`` is the number of regions; each has two availability zones.
    """
    region = f'region-{number % regions}'
    return region, f'{region}-{"abcd"[number // regions % 2]}'


def block_cidr(number: int) -> str:
    """Return the CIDR block ``number``; every fourth one is IPv6.

    Blocks with different numbers are disjoint.
    """
    if number % 4 == 3:
        return f'2001:{number >> 16:x}:{number & 0xFFFF:x}::/48'
    # Skips every other /24, so that adjacent blocks are not merged.
    number = (1 << 16) + 2 * number
    return f'{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24'


def service_documents(size: ConfigSize) -> dict[str, JsonObject]:
    """Return the documents of services, each offered in every region."""
    return {
        f'service-{number}': {
            'path_prefix': f'/service-{number}',
            'work': 'interactive',
            'open': False,
            'idempotent_methods': ['GET', 'HEAD'],
            'deadline_ms': 2000,
            'max_body_bytes': 65536,
            'queue_limit': 200,
            'regions': {
                f'region-{region_number}': 1.0
                for region_number in range(size.regions)
            },
            'objective': {
                'in_time_ms': 500,
                'in_time_share': 0.99,
                'served_share': 0.999,
            },
        }
        for number in range(size.services)
    }


def server_documents(size: ConfigSize) -> dict[str, JsonObject]:
    """Return the documents of backend servers, spread over all zones."""
    documents_by_name = {}
    for number in range(size.servers):
        region, zone = region_and_zone(number, size.regions)
        documents_by_name[f'server-{number}'] = {
            'service': f'service-{number % size.services}',
            'address': f'127.0.0.1:{1024 + number % 60_000}',
            'region': region,
            'availability_zone': zone,
            'slots': 3,
            'connections': 400,
            'warmup_s': 5.0,
        }
    return documents_by_name


def config_documents(size: ConfigSize) -> config.Documents:
    """Return the entity documents of a configuration of a given size."""
    documents = config.empty_documents()
    names = [f'region-{number}' for number in range(size.regions)]
    for name in names:
        documents[config.EntityKind.REGION][name] = {
            'availability_zones': [f'{name}-a', f'{name}-b'],
            'near': [other for other in names if other != name],
        }
    documents[config.EntityKind.SERVICE] = service_documents(size)
    documents[config.EntityKind.BACKEND_SERVER] = server_documents(size)
    for name in documents[config.EntityKind.SERVICE]:
        cap = {'max_share': 0.25, 'interval_s': 10.0}
        documents[config.EntityKind.SHIFT_CAP][name] = cap
    for number in range(size.accounts):
        name = f'account-{number}'
        documents[config.EntityKind.CLIENT_ACCOUNT][name] = {
            'rate': 100.0,
            'burst': 200.0,
            'services': sorted(documents[config.EntityKind.SERVICE]),
        }
        documents[config.EntityKind.KEY][f'{name}-1'] = {
            'client_account': name,
            'digest': f'{number:064x}',
        }
    for number in range(size.sites):
        documents[config.EntityKind.SITE][f'site-{number}'] = {
            'region': names[number % size.regions],
            'blocks': [
                block_cidr(block_number)
                for block_number in range(number, size.blocks, size.sites)
            ],
        }
    return documents


def encode_sections(documents: config.Documents) -> dict[str, bytes]:
    """Return the encoded section documents by store key."""
    return {
        config.section_key(name, content): codec.encode(content)
        for name, content in config.split_into_sections(documents).items()
    }


def build_member(number: int, regions: int) -> config.Member:
    """Return the member ``number``, placed in one of ``regions`` regions."""
    region, zone = region_and_zone(number, regions)
    return config.Member(f'vm-{number}', f'{number:012x}', region, zone)


def build_epoch(
    number: int, members: collections.abc.Iterable[config.Member]
) -> config.Epoch:
    """Return an epoch whose witnesses are up to nine of the members."""
    rows = {member.vm: member for member in members}
    return config.Epoch(number, rows, tuple(sorted(rows))[:9])


def build_head(
    documents: config.Documents, newest: config.Epoch
) -> config.HeadDoc:
    """Return the head document of a configuration."""
    head_document = config.empty_head()
    head_document['ticket'] = 1
    head_document['epoch'] = config.epoch_to_doc(newest)
    head_document['sections'] = {
        key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]: key
        for key in encode_sections(documents)
    }
    return head_document


def build_view(
    index: int, documents: config.Documents, newest: config.Epoch
) -> config.View:
    """Return the view of a configuration that has no former epochs."""
    return config.View(
        index,
        build_head(documents, newest),
        newest,
        (),
        documents,
        config.build_config(documents),
    )


class InProcessPeers(transport.Peers):
    """Calls peers in this process, with each message encoded as JSON.

    Counts successful calls, and the bytes of their request and answer bodies,
    by path.
    """

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, systems.Handler]] = {}
        self.calls_by_path: dict[str, int] = {}
        self.body_bytes_by_path: dict[str, int] = {}

    async def call(
        self,
        vm: str,
        path: str,
        message: transport.Message,
        timeout_s: float,
    ) -> result.Result[transport.Message, errors.Failure]:
        """Call the handler of a peer.

        Returns a NOT_RUN failure if the peer has no handler for the path.
        """
        handler = self.handlers.get(vm, {}).get(path)
        if handler is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.NOT_RUN,
                    f'no handler for this path at {vm}',
                )
            )
        body = codec.encode(message)
        answer = await handler(msgspec.json.decode(body))
        if isinstance(answer, result.Err):
            return answer
        answer_body = codec.encode(answer.ok_value)
        self.calls_by_path[path] = self.calls_by_path.get(path, 0) + 1
        self.body_bytes_by_path[path] = (
            self.body_bytes_by_path.get(path, 0) + len(body) + len(answer_body)
        )
        return result.Ok(msgspec.json.decode(answer_body))


class CountingStore(store.FakeStore):
    """An in-memory store that counts calls and the bytes of values."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0
        self.written_bytes = 0
        self.read_bytes = 0

    async def get(
        self, key: str
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key and count the call and the bytes read."""
        answer = await super().get(key)
        self.calls += 1
        if isinstance(answer, result.Ok):
            self.read_bytes += len(answer.ok_value.value)
        return answer

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, store.StoreError]:
        """Write a key and count the call and the bytes of the value."""
        self.calls += 1
        self.written_bytes += len(value)
        return await super().put_cas(key, value, index)


def node_settings(member: config.Member) -> settings.NodeSettings:
    """Return settings for a node that is never started and binds no port."""
    listener = settings.Listener(
        '127.0.0.1', 0, f'http://127.0.0.1:{20_000}/{member.vm}', None, None
    )
    return settings.NodeSettings(
        vm=member.vm,
        region=member.region,
        availability_zone=member.availability_zone,
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
async def node_with_config(
    size: ConfigSize, number: int = 0
) -> collections.abc.AsyncIterator[node.Node]:
    """Yield a node with a view and a heartbeat of every other member.

    ``number`` is the node's own member number.  No listener, loop or
    heartbeat is started, so the node sends nothing.
    """
    async with aiohttp.ClientSession() as session:
        identity = build_member(number, size.regions)
        new_node = node.Node(
            node_settings(identity), session, random.Random(NODE_RANDOM_SEED)
        )
        members = [
            build_member(member_number, size.regions)
            for member_number in range(size.members)
        ]
        members[number] = identity._replace(incarnation=new_node.incarnation)
        newest = build_epoch(1, members)
        current_view = build_view(10, config_documents(size), newest)
        now = new_node.clock.now()
        new_node.views.add_view(current_view, now)
        new_node.agreement.state = 'serving'
        record_store_evidence(new_node, now)
        await receive_heartbeats(new_node, members)
        yield new_node
        await new_node.health.close()
        await new_node.agreement.stop()


def record_store_evidence(measured_node: node.Node, now: float) -> None:
    """Record that the node read the store at ``now``."""
    measured_node.agreement.evidence.record_store_read(
        measured_node.views.head_index(), now
    )


async def receive_heartbeats(
    receiver: node.Node, members: collections.abc.Iterable[config.Member]
) -> None:
    """Deliver a heartbeat of every other member to a node.

    The heartbeats are the node's own with the sender's identity.
    """
    for other in members:
        if other.vm != receiver.options.vm:
            answer = await receiver.agreement.heartbeats.handle_heartbeat(
                build_heartbeat_from(receiver, other)
            )
            answer.unwrap()
            # Prevents ticks from sending heartbeats to this member.
            receiver.agreement.heartbeat_sent_at[other.vm] = float('inf')


def build_heartbeat_from(
    receiver: node.Node, sender: config.Member
) -> transport.Message:
    """Return the receiver's own heartbeat with the identity of ``sender``."""
    message = dict(receiver.agreement.heartbeats.build_request(sender.vm))
    identity = agreement.Identity(
        *sender,
        f'http://127.0.0.1:20000/{sender.vm}',
        f'http://127.0.0.1:20001/{sender.vm}',
    )
    message['identity'] = identity._asdict()
    decoded: transport.Message = msgspec.json.decode(codec.encode(message))
    return decoded
