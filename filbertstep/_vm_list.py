"""Client of the platform's VM list, which has the form of Consul's health API.

The list lags behind.  It gives the URLs of VMs and tells when a VM no longer
exists.  Whether a VM is live is decided by heartbeats.
"""

import abc
import typing

import aiohttp
import msgspec
import result

from filbertstep import codec

VM_LIST_PATH: typing.Final = '/v1/health/service/filbertstep'

VM_LIST_TIMEOUT_S: typing.Final = 2.0


class ListedVm(typing.NamedTuple):
    """A VM on the platform's list.

    The URLs are those of its listeners for peers and callers, without a slash
    at the end.  ``state`` is live or leaving.
    """

    vm: str
    peers_url: str
    callers_url: str
    state: str


class VmList(abc.ABC):
    """Source of the platform's VM list."""

    @abc.abstractmethod
    async def fetch(self) -> result.Result[list[ListedVm], str]:
        """Return the VMs on the list, or a message why it was not read."""


class HealthNode(msgspec.Struct):
    """The node of a health entry; its name is that of the VM."""

    Node: str


class HealthService(msgspec.Struct):
    """The service of a health entry."""

    Address: str
    Port: int
    Meta: dict[str, str]


class HealthEntry(msgspec.Struct):
    """A health entry; fields that are not named here are ignored."""

    Node: HealthNode
    Service: HealthService


class ConsulVmList(VmList):
    """Reads the list over HTTP.

    ``own_vm`` is sent with the request, because the platform may give each VM
    a different list.
    """

    def __init__(
        self, url: str, own_vm: str, session: aiohttp.ClientSession
    ) -> None:
        self.url = url.rstrip('/')
        self.own_vm = own_vm
        self.session = session

    async def fetch(self) -> result.Result[list[ListedVm], str]:
        """Fetch and decode the list."""
        try:
            async with self.session.get(
                self.url + VM_LIST_PATH,
                params={'vm': self.own_vm},
                timeout=aiohttp.ClientTimeout(total=VM_LIST_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status != 200:
                    return result.Err(f'VM list status {response.status}')
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return result.Err(f'VM list: {error}')
        return (
            codec.decode_open(body, list[HealthEntry])
            .map(lambda entries: [parse_entry(entry) for entry in entries])
            .map_err(lambda error: f'VM list: {error}')
        )


def parse_entry(entry: HealthEntry) -> ListedVm:
    """Return the VM that a health entry describes."""
    service = entry.Service
    default_peers_url = f'http://{service.Address}:{service.Port}'
    return ListedVm(
        vm=entry.Node.Node,
        peers_url=service.Meta.get('peers_url', default_peers_url).rstrip('/'),
        callers_url=service.Meta.get('callers_url', '').rstrip('/'),
        state=service.Meta.get('state', 'live'),
    )


class FakeVmList(VmList):
    """A VM list for tests; ``fetch`` fails while ``down`` is true."""

    def __init__(self, vms: list[ListedVm] | None = None) -> None:
        self.vms = vms or []
        self.down = False

    async def fetch(self) -> result.Result[list[ListedVm], str]:
        """Return a copy of the list."""
        if self.down:
            return result.Err('VM list unreadable')
        return result.Ok(list(self.vms))
