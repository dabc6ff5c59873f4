"""Starts and configures the stand-ins of one deployment.

The stand-ins simulate the store, the platform's VM list, the backend servers
and, if relays are used, the network links.
"""

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

JsonObject = dict[str, typing.Any]

BACKEND_PREFIX: typing.Final = 'backends-'


class Options(typing.NamedTuple):
    """How a deployment is started.

    directory: where settings, logs and histories are written.
    seed: seed of the API keys, tokens and stand-ins.
    separate_backends: run each backend server as a process of its own, so that
        it can crash alone; otherwise one process runs all servers of a region.
    relays: connect nodes to the store and to each other through the link
        stand-in, with the delays of the plan.
    vm_list_lag_s: time until a change of the VM list becomes visible.
    store_writes_per_s, store_reads_per_s: rate limits of the store.
    crash_text: a backend server crashes on requests that contain this text;
        '' means never.
    ready_timeout_s: time limit for a process to become ready.
    node_module: module that runs a node; it is passed ``--settings=PATH``.
    choice_policy: policy by which all nodes choose backend servers.
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


class NodeUrls(typing.NamedTuple):
    """URLs of a node's listeners for callers, peer nodes and operators."""

    callers: str
    peers: str
    operators: str


def derive_token(label: str, seed: int) -> str:
    """Return a reproducible bearer token for a deployment's settings."""
    return hashlib.sha256(f'{label}/{seed}'.encode()).hexdigest()[:32]


def loopback_url(port: int) -> str:
    """Return the URL of a port of the loopback address."""
    return f'http://127.0.0.1:{port}'


class StandinSet(_calls.JsonClient):
    """Plan, ports and stand-in processes of a deployment.

    Base class of ``Deployment``, which adds the nodes and the operators.

    ``vms`` and ``servers`` are the plans by name.  ``control_urls`` maps a
    stand-in process to the base URL of its control path, and
    ``backend_process_by_server`` a backend server to the process that runs it.
    ``relay_ports`` maps a link to the port of its relay.
    """

    def __init__(self, plan: _plan.Plan, options: Options) -> None:
        super().__init__()
        self.plan = plan
        self.options = options
        self.directory = pathlib.Path(options.directory)
        self.vms = {vm.name: vm for vm in _plan.list_vms(plan)}
        self.servers = {
            server.name: server for server in _plan.list_servers(plan)
        }
        self.keys = _plan.generate_keys(plan, options.seed)
        self.peer_token = derive_token('peer', options.seed)
        self.operator_token = derive_token('operator', options.seed)
        self.node_urls: dict[str, NodeUrls] = {}
        self.server_addresses: dict[str, str] = {}
        self.control_urls: dict[str, str] = {}
        self.backend_process_by_server: dict[str, str] = {}
        self.relay_specs: list[JsonObject] = []
        self.relay_ports: dict[str, int] = {}
        self.next_ticket_number = 1
        self.processes = _processes.ProcessManager(self.directory / 'logs')
        self.history_writer: _history.HistoryWriter | None = None

    async def start_standins(self) -> None:
        """Assign all ports, start the stand-ins and wait until they answer.

        Raises DeploymentError when one exits or does not answer in time.
        """
        (self.directory / 'history').mkdir(parents=True, exist_ok=True)
        self.history_writer = _history.HistoryWriter(
            self.history_path('operator'), 'operator', 'operator'
        )
        self.open_session()
        self.assign_ports()
        self.start_standin('store', *self.store_flags())
        self.start_standin('vms', f'--lag_s={self.options.vm_list_lag_s}')
        for process in self.backend_process_names():
            self.start_backend_process(process)
        if self.options.relays:
            spec_path = self.write_file(
                'relays.json', codec.encode(self.relay_specs)
            )
            self.start_standin('link', f'--spec={spec_path}')
        await asyncio.gather(
            *(
                self.wait_until_standin_ready(name)
                for name in self.control_urls
            )
        )
        if self.options.relays:
            await self.configure_link_delays()

    def assign_ports(self) -> None:
        """Assign a port to every listener of the deployment.

        These are the store, the VM list and the links; three for each VM; one
        for each backend server and one for each backend process; and a relay
        for each VM to the store and to each other VM.
        """
        ports = iter(
            _processes.allocate_ports(
                3
                + 3 * len(self.vms)
                + 2 * len(self.servers)
                + len(self.vms) * (len(self.vms) + 1)
            )
        )
        for name in ('store', 'vms', *['link'] * self.options.relays):
            self.control_urls[name] = loopback_url(next(ports))
        for vm in self.vms:
            self.node_urls[vm] = NodeUrls(
                *(loopback_url(next(ports)) for _ in range(3))
            )
        for name, server in self.servers.items():
            self.server_addresses[name] = f'127.0.0.1:{next(ports)}'
            separate = self.options.separate_backends
            self.backend_process_by_server[name] = BACKEND_PREFIX + (
                name if separate else server.region
            )
        for process in self.backend_process_names():
            self.control_urls[process] = loopback_url(next(ports))
        if self.options.relays:
            self.assign_relays(ports)

    def assign_relays(self, ports: collections.abc.Iterator[int]) -> None:
        """Define relays from each VM to the store and to each other VM."""
        store = self.control_urls['store'].removeprefix('http://')
        for source in self.vms:
            self.add_relay(f'store-{source}', next(ports), store)
            for vm, urls in self.node_urls.items():
                if vm != source:
                    target = urls.peers.removeprefix('http://')
                    self.add_relay(f'{source}-to-{vm}', next(ports), target)

    def add_relay(self, link: str, port: int, target: str) -> None:
        """Define a relay to ``host:port`` over a link of its own."""
        self.relay_ports[link] = port
        self.relay_specs.append({'link': link, 'port': port, 'target': target})

    def backend_process_names(self) -> list[str]:
        """Return the names of the processes that run backend servers."""
        return sorted(set(self.backend_process_by_server.values()))

    def write_file(self, name: str, data: bytes) -> str:
        """Write a file in the deployment's directory and return its path.

        Only the owner may read it, because settings hold tokens.
        """
        path = self.directory / name
        path.touch(mode=0o600)
        path.write_bytes(data)
        return str(path)

    def record_event(self, event: str, **fields: object) -> None:
        """Append an event of the process ``operator`` to the history."""
        if self.history_writer is not None:
            self.history_writer.write(event, **fields)

    def history_path(self, name: str) -> str:
        """Return the path of a process's history file."""
        return str(self.directory / 'history' / f'{name}.jsonl')

    def start_standin(self, name: str, *flags: str) -> None:
        """Start a stand-in that serves its control path on its main port."""
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

    def store_flags(self) -> list[str]:
        """Return the command line flags of the store stand-in."""
        return [
            f'--writes_per_s={self.options.store_writes_per_s}',
            f'--reads_per_s={self.options.store_reads_per_s}',
            f'--seed={self.options.seed}',
        ]

    def start_backend_process(self, process: str) -> None:
        """Start or restart a process with all its backend servers."""
        specs = [
            self.backend_server_spec(server)
            for server, name in self.backend_process_by_server.items()
            if name == process
        ]
        spec_path = self.write_file(f'{process}.json', codec.encode(specs))
        flags = [
            f'--spec={spec_path}',
            f'--control_port={self.control_urls[process].rpartition(":")[2]}',
            f'--secret_prefix={_plan.KEY_PREFIX}',
            f'--seed={self.options.seed}',
            f'--history={self.history_path(process)}',
        ]
        if self.options.crash_text:
            flags.append(f'--crash_text={self.options.crash_text}')
        self.processes.start(
            process, ['filbertstep.standins', 'backend', *flags]
        )

    def backend_server_spec(self, name: str) -> JsonObject:
        """Return a backend server's entry in its process's spec file."""
        server = self.servers[name]
        service = self.plan['services'][server.service]
        host, _, port = self.server_addresses[name].rpartition(':')
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

    async def configure_link_delays(self) -> None:
        """Set the delay of every link to that between its endpoints."""
        patch = {}
        for link in self.relay_ports:
            source, _, vm = link.partition('-to-')
            if vm:
                delay_ms = self.link_delay_ms(source, self.vms[vm].region)
            else:
                source = link.removeprefix('store-')
                delay_ms = self.link_delay_ms(
                    source, self.plan['store_region']
                )
            patch[link] = {'delay_s': delay_ms / 1000}
        await self.configure_standin('link', patch)

    def link_delay_ms(self, source_vm: str, region: str) -> float:
        """Return the one-way delay from a VM to a region."""
        if self.vms[source_vm].region == region:
            return self.plan['zone_delay_ms']
        return self.plan['region_delay_ms']

    async def configure_standin(
        self, name: str, patch: JsonObject
    ) -> JsonObject:
        """Change the settings of a stand-in process and return them all.

        For backend servers, ``name`` is that of their process.  Raises
        DeploymentError when the stand-in refuses the patch.
        """
        status, current = await self.request_json(
            'POST', f'{self.control_urls[name]}/control', patch
        )
        if status != 200:
            raise _calls.DeploymentError(f'{name}: {current.get("message")}')
        return current

    async def configure_backend_server(
        self, name: str, **fields: object
    ) -> JsonObject:
        """Change limits or injected faults of one backend server."""
        return await self.configure_standin(
            self.backend_process_by_server[name], {name: fields}
        )

    async def wait_until_standin_ready(self, name: str) -> None:
        """Wait until a stand-in process answers on its control path."""

        async def is_ready() -> bool:
            self.require_running(name)
            url = f'{self.control_urls[name]}/control'
            return (await self.request_json('GET', url))[0] == 200

        await self.wait_until_async(
            is_ready, self.options.ready_timeout_s, name
        )

    def require_running(self, name: str) -> None:
        """Raise DeploymentError with the log's end if a process has exited."""
        if not self.processes.is_running(name):
            log_tail = self.processes.read_log_tail(name)
            raise _calls.DeploymentError(f'{name} has exited:\n{log_tail}')
