"""The platform's list of VMs, in the form of Consul's health endpoint.

The list lags.  It gives addresses, and it tells when the platform no longer
has a VM; whether a VM lives is decided by heartbeats.
"""

import abc
import typing

import aiohttp
import msgspec
import result

LIST_PATH: typing.Final = '/v1/health/service/filbertstep'

LIST_TIMEOUT_S: typing.Final = 2.0


class ListedVm(typing.NamedTuple):
    """A VM on the platform's list; ``state`` is live or leaving."""

    vm: str
    peers_url: str
    callers_url: str
    state: str


class VmList(abc.ABC):
    """Source of the platform's list."""

    @abc.abstractmethod
    async def fetch(self) -> result.Result[list[ListedVm], str]:
        """Return the VMs on the list, or why it could not be read."""


class HealthNode(msgspec.Struct):
    """Node of a health entry."""

    Node: str


class HealthService(msgspec.Struct):
    """Service of a health entry."""

    Address: str
    Port: int
    Meta: dict[str, str]


class HealthEntry(msgspec.Struct):
    """The fields of a health entry that are read; others are ignored."""

    Node: HealthNode
    Service: HealthService


class ConsulVmList(VmList):
    """Reads the list over HTTP.

    ``own_vm`` is passed along, because the list may differ by reader.
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
                self.url + LIST_PATH,
                params={'vm': self.own_vm},
                timeout=aiohttp.ClientTimeout(total=LIST_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status != 200:
                    return result.Err(f'VM list status {response.status}')
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return result.Err(f'VM list: {error}')
        try:
            entries = msgspec.json.decode(body, type=list[HealthEntry])
        except msgspec.DecodeError as error:
            return result.Err(f'VM list: {error}')
        return result.Ok([parse_entry(entry) for entry in entries])


def parse_entry(entry: HealthEntry) -> ListedVm:
    """Return the row of a health entry."""
    service = entry.Service
    fallback = f'http://{service.Address}:{service.Port}'
    return ListedVm(
        vm=entry.Node.Node,
        peers_url=service.Meta.get('peers_url', fallback).rstrip('/'),
        callers_url=service.Meta.get('callers_url', '').rstrip('/'),
        state=service.Meta.get('state', 'live'),
    )


class FakeVmList(VmList):
    """A list that tests set; ``down`` makes it unreadable."""

    def __init__(self, vms: list[ListedVm] | None = None) -> None:
        self.vms = vms or []
        self.down = False

    async def fetch(self) -> result.Result[list[ListedVm], str]:
        """Return the list that was set."""
        if self.down:
            return result.Err('VM list unreadable')
        return result.Ok(list(self.vms))
