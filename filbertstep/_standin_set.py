"""The stand-ins of one deployment: ports, processes, control, relays."""

import asyncio
import collections.abc
import hashlib
import pathlib
import typing

from filbertstep import _calls
from filbertstep import _history
from filbertstep import _plan
from filbertstep import _processes
from filbertstep import codec

Fields = dict[str, typing.Any]

BACKEND_PREFIX: typing.Final = 'backends-'


class Options(typing.NamedTuple):
    """How a deployment is started.

    With ``separate_backends`` each backend server is a process, so that a
    crash is that of a process; else one process serves a region's servers.
    With ``relays`` nodes reach the store and each other through the link
    stand-in, with the delays of the plan.  ``node_module`` is run with
    ``--settings=PATH``.  ``choice_policy`` is that of all nodes.
    """

    directory: str
    seed: int = 1
    separate_backends: bool = False
    relays: bool = False
    vm_list_lag_s: float = 1.0
    store_writes_per_s: float = 400.0
    store_reads_per_s: float = 2000.0
    crash_text: str = ''
    ready_timeout_s: float = 30.0
    node_module: str = 'filbertstep.node'
    choice_policy: str = 'slot_aware'


class NodeAddress(typing.NamedTuple):
    """URLs of a node's listeners."""

    callers: str
    peers: str
    operators: str


def token(label: str, seed: int) -> str:
    """Return a bearer token for the settings of a deployment."""
    return hashlib.sha256(f'{label}/{seed}'.encode()).hexdigest()[:32]


def local_url(port: int) -> str:
    """Return the URL of a port on loopback."""
    return f'http://127.0.0.1:{port}'


class StandinSet(_calls.Calls):
    """Plan, ports and stand-ins of a deployment."""

    def __init__(self, plan: _plan.Plan, options: Options) -> None:
        super().__init__()
        self.plan = plan
        self.options = options
        self.directory = pathlib.Path(options.directory)
        self.vms = {vm.name: vm for vm in _plan.vms(plan)}
        self.servers = {one.name: one for one in _plan.servers(plan)}
        self.keys = _plan.keys(plan, options.seed)
        self.peer_token = token('peer', options.seed)
        self.operator_token = token('operator', options.seed)
        self.nodes: dict[str, NodeAddress] = {}
        self.addresses: dict[str, str] = {}
        self.control_urls: dict[str, str] = {}
        self.groups: dict[str, str] = {}
        self.relay_docs: list[Fields] = []
        self.relay_ports: dict[str, int] = {}
        self.next_ticket = 1
        self.processes = _processes.Processes(self.directory / 'logs')
        self.history: _history.HistoryWriter | None = None

    async def start_standins(self) -> None:
        """Choose all ports, start the stand-ins and wait for them."""
        (self.directory / 'history').mkdir(parents=True, exist_ok=True)
        self.history = _history.HistoryWriter(
            self.history_path('operator'), 'operator', 'operator'
        )
        self.open_session()
        self.choose_ports()
        self.start_standin('store', *self.store_arguments())
        self.start_standin('vms', f'--lag_s={self.options.vm_list_lag_s}')
        for group in self.backend_groups():
            self.start_backends(group)
        if self.options.relays:
            spec = self.write('relays.json', codec.encode(self.relay_docs))
            self.start_standin('link', f'--spec={spec}')
        await asyncio.gather(
            *(self.wait_control(name) for name in self.control_urls)
        )
        if self.options.relays:
            await self.set_delays()

    def choose_ports(self) -> None:
        """Choose a port for everything that listens."""
        ports = iter(
            _processes.free_ports(
                3
                + 3 * len(self.vms)
                + 2 * len(self.servers)
                + len(self.vms) * (len(self.vms) + 1)
            )
        )
        for name in ('store', 'vms', *['link'] * self.options.relays):
            self.control_urls[name] = local_url(next(ports))
        for vm in self.vms:
            self.nodes[vm] = NodeAddress(
                *(local_url(next(ports)) for _ in range(3))
            )
        for name, server in self.servers.items():
            self.addresses[name] = f'127.0.0.1:{next(ports)}'
            separate = self.options.separate_backends
            self.groups[name] = BACKEND_PREFIX + (
                name if separate else server.region
            )
        for group in self.backend_groups():
            self.control_urls[group] = local_url(next(ports))
        if self.options.relays:
            self.choose_relays(ports)

    def choose_relays(self, ports: collections.abc.Iterator[int]) -> None:
        """Plan a relay from each VM to the store and to each other VM."""
        store = self.control_urls['store'].removeprefix('http://')
        for asker in self.vms:
            self.add_relay(f'store-{asker}', next(ports), store)
            for vm, address in self.nodes.items():
                if vm != asker:
                    target = address.peers.removeprefix('http://')
                    self.add_relay(f'{asker}-to-{vm}', next(ports), target)

    def add_relay(self, link: str, port: int, target: str) -> None:
        """Plan one relay, whose link has its name."""
        self.relay_ports[link] = port
        self.relay_docs.append({'link': link, 'port': port, 'target': target})

    def backend_groups(self) -> list[str]:
        """Return the names of the processes that serve backend servers."""
        return sorted(set(self.groups.values()))

    def write(self, name: str, data: bytes) -> str:
        """Write a file of the deployment and return its path."""
        path = self.directory / name
        path.touch(mode=0o600)
        path.write_bytes(data)
        return str(path)

    def note(self, event: str, **fields: object) -> None:
        """Append an event of the operator to the history."""
        if self.history is not None:
            self.history.write(event, **fields)

    def history_path(self, name: str) -> str:
        """Return the path of a process's history file."""
        return str(self.directory / 'history' / f'{name}.jsonl')

    def start_standin(self, name: str, *flags: str) -> None:
        """Start a stand-in whose control path is on its own port."""
        port = self.control_urls[name].rpartition(':')[2]
        self.processes.start(
            name,
            [
                'filbertstep.standins',
                name,
                f'--port={port}',
                f'--history={self.history_path(name)}',
                *flags,
            ],
        )

    def store_arguments(self) -> list[str]:
        """Return the flags of the store."""
        return [
            f'--writes_per_s={self.options.store_writes_per_s}',
            f'--reads_per_s={self.options.store_reads_per_s}',
            f'--seed={self.options.seed}',
        ]

    def start_backends(self, group: str) -> None:
        """Start the process of a group of backend servers."""
        docs = [
            self.server_doc(name)
            for name, own in self.groups.items()
            if own == group
        ]
        spec = self.write(f'{group}.json', codec.encode(docs))
        flags = [
            f'--spec={spec}',
            f'--control_port={self.control_urls[group].rpartition(":")[2]}',
            f'--secret_prefix={_plan.KEY_PREFIX}',
            f'--seed={self.options.seed}',
            f'--history={self.history_path(group)}',
        ]
        if self.options.crash_text:
            flags.append(f'--crash_text={self.options.crash_text}')
        self.processes.start(
            group, ['filbertstep.standins', 'backend', *flags]
        )

    def server_doc(self, name: str) -> Fields:
        """Return a backend server's part of a spec file."""
        server = self.servers[name]
        service = self.plan['services'][server.service]
        host, _, port = self.addresses[name].rpartition(':')
        return {
            'name': name,
            'service': server.service,
            'region': server.region,
            'host': host,
            'port': int(port),
            'overrides': {
                'slots': service['slots'],
                'connections': service['connections'],
                'mean_ms': service['mean_ms'],
                'warmup_s': service['warmup_s'],
                'cold_factor': service['cold_factor'],
            },
        }

    async def set_delays(self) -> None:
        """Give every relay's link the delay between its ends."""
        patch = {}
        for link in self.relay_ports:
            asker, _, vm = link.partition('-to-')
            if vm:
                delay_ms = self.delay_ms(asker, self.vms[vm].region)
            else:
                asker = link.removeprefix('store-')
                delay_ms = self.delay_ms(asker, self.plan['store_region'])
            patch[link] = {'delay_s': delay_ms / 1000}
        await self.control('link', patch)

    def delay_ms(self, asker: str, region: str) -> float:
        """Return the one-way delay from a VM to a region."""
        if self.vms[asker].region == region:
            return self.plan['zone_delay_ms']
        return self.plan['region_delay_ms']

    async def control(self, name: str, patch: Fields) -> Fields:
        """Change a stand-in; backend servers go by their group's name."""
        status, shown = await self.call(
            'POST', f'{self.control_urls[name]}/control', patch
        )
        if status != 200:
            raise _calls.DeploymentError(f'{name}: {shown.get("message")}')
        return shown

    async def control_server(self, name: str, **fields: object) -> Fields:
        """Change limits or faults of one backend server."""
        return await self.control(self.groups[name], {name: fields})

    async def wait_control(self, name: str) -> None:
        """Wait until a stand-in answers."""

        async def answers() -> bool:
            self.check_running(name)
            url = f'{self.control_urls[name]}/control'
            return (await self.call('GET', url))[0] == 200

        await self.wait_for(answers, self.options.ready_timeout_s, name)

    def check_running(self, name: str) -> None:
        """Raise when a process has ended, with the end of its log."""
        if not self.processes.is_running(name):
            tail = self.processes.log_tail(name)
            raise _calls.DeploymentError(f'{name} has ended:\n{tail}')
