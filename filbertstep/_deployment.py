"""Starts, disturbs and ends the processes of one deployment.

Used by the demo, the proofs and the bench.  Stand-ins and nodes are
subprocesses on loopback; each appends to a history file of its own.  A
``Deployment`` is an asynchronous context manager that ends every process that
it started, whatever happens in between.
"""

import asyncio
import collections.abc
import signal
import types
import typing

from filbertstep import _calls
from filbertstep import _facts
from filbertstep import _history
from filbertstep import _plan
from filbertstep import _standin_set
from filbertstep import config

Fields = dict[str, typing.Any]

# Answers after which the same ticket cannot succeed.
FINAL_STATUSES: typing.Final = frozenset({400, 401, 403, 409, 422})


class Deployment(_standin_set.StandinSet):
    """One running deployment; ``async with`` starts and ends it.

    Entering starts the stand-ins only: ``start_nodes`` and
    ``submit_first_ticket`` are separate, so that a test can disturb between
    them, and ``start`` does all.
    """

    async def __aenter__(self) -> typing.Self:
        """Start the stand-ins."""
        self.cancel_on_sigterm(asyncio.current_task())
        try:
            await self.start_standins()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End everything."""
        await self.close()

    async def close(self) -> None:
        """End all processes; nodes before the stand-ins they need."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
        try:
            names = list(self.processes.running)
            standins = [name for name in names if name not in self.vms]
            nodes = [name for name in names if name in self.vms]
            await asyncio.to_thread(self.processes.end, nodes)
            await asyncio.to_thread(self.processes.end, standins)
        finally:
            self.processes.close()
            await self.close_session()
            if self.history is not None:
                self.history.close()

    def cancel_on_sigterm(self, task: asyncio.Task[typing.Any] | None) -> None:
        """Let SIGTERM cancel a task, so that the processes are ended."""
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)

    async def start(self) -> None:
        """Start all nodes, put the first ticket in force, await readiness."""
        await self.start_nodes()
        await self.submit_first_ticket()
        await self.wait_ready()

    # Nodes.

    def store_url(self, vm: str) -> str:
        """Return the URL under which a VM reaches the store."""
        if self.options.relays:
            return _standin_set.local_url(self.relay_ports[f'store-{vm}'])
        return self.control_urls['store']

    def write_settings(self, vm: str) -> str:
        """Write a node's settings file and return its path."""
        row, address = self.vms[vm], self.nodes[vm]
        fields: dict[str, object] = {
            'vm': vm,
            'region': row.region,
            'availability_zone': row.availability_zone,
            'peer_token': self.peer_token,
            'operator_token': self.operator_token,
            'store_url': self.store_url(vm),
            'vm_list_url': self.control_urls['vms'],
            'history_file': self.history_path(vm),
            'choice_policy': self.options.choice_policy,
        }
        for listener, url in address._asdict().items():
            fields[f'{listener}_port'] = url.rpartition(':')[2]
        text = _plan.settings_text(self.plan, fields)
        return self.write(f'{vm}.json', text.encode())

    async def start_nodes(self) -> None:
        """Start all nodes; the platform lists them after its lag."""
        if self.options.relays:
            await self.control('vms', {'paths': self.relay_paths()})
        for vm in self.vms:
            await self.start_node(vm)

    def relay_paths(self) -> Fields:
        """Return, by asker and VM, the URL of the relay between them."""
        return {
            asker: {
                vm: {
                    'peers_url': _standin_set.local_url(
                        self.relay_ports[f'{asker}-to-{vm}']
                    )
                }
                for vm in self.vms
                if vm != asker
            }
            for asker in self.vms
        }

    async def start_node(self, vm: str) -> None:
        """Start a node, also again after it ended."""
        settings = self.write_settings(vm)
        self.processes.start(
            vm, [self.options.node_module, f'--settings={settings}']
        )
        await self.list_vm(vm, 'live')

    async def list_vm(self, vm: str, state: str | None) -> None:
        """Change what the platform lists; without a state the VM goes."""
        doc = None
        if state is not None:
            address = self.nodes[vm]
            doc = {
                'address': '127.0.0.1',
                'port': int(address.callers.rpartition(':')[2]),
                'peers_url': address.peers,
                'callers_url': address.callers,
                'state': state,
            }
        await self.control('vms', {'vms': {vm: doc}})

    async def kill_node(self, vm: str) -> None:
        """Kill a node; the platform notices after its lag."""
        self.note('killed', name=vm)
        self.processes.kill(vm)
        await self.list_vm(vm, None)

    async def kill_region(self, region: str) -> None:
        """Kill a region's nodes and backend servers."""
        for group in self.backend_groups():
            own = [name for name in self.groups if self.groups[name] == group]
            if all(self.servers[name].region == region for name in own):
                self.note('killed', name=group)
                self.processes.kill(group)
        for vm, row in self.vms.items():
            if row.region == region and self.processes.is_running(vm):
                await self.kill_node(vm)

    async def stop_node(self, vm: str, timeout_s: float = 90.0) -> None:
        """Stop a node gracefully and wait until it has ended."""
        self.note('stop_began', name=vm)
        self.processes.signal(vm, signal.SIGTERM)
        await self.list_vm(vm, 'leaving')
        await self.wait_until(
            lambda: not self.processes.is_running(vm), timeout_s, f'end {vm}'
        )
        self.note('stop_ended', name=vm)
        await self.list_vm(vm, None)

    def freeze(self, name: str) -> None:
        """Stop a process without its noticing."""
        self.note('frozen', name=name)
        self.processes.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.note('thawed', name=name)
        self.processes.signal(name, signal.SIGCONT)

    # Links.

    async def cut_store(self, vm: str, state: str = 'hold') -> None:
        """Cut a VM from the store; state ``open`` mends it."""
        patch = {'forward': state, 'backward': state}
        await self.control('link', {f'store-{vm}': patch})

    async def cut_vms(
        self,
        sources: collections.abc.Collection[str],
        targets: collections.abc.Collection[str],
        state: str = 'hold',
    ) -> None:
        """Cut calls from some VMs to others; callers are not affected."""
        patch = {'forward': state, 'backward': state}
        await self.control(
            'link',
            {
                f'{source}-to-{target}': patch
                for source in sources
                for target in targets
                if source != target
            },
        )

    async def cut_region(self, region: str, state: str = 'hold') -> None:
        """Cut a region's VMs from those of other regions, both ways."""
        inside = [vm for vm in self.vms if self.vms[vm].region == region]
        outside = [vm for vm in self.vms if vm not in inside]
        await self.cut_vms(inside, outside, state)
        await self.cut_vms(outside, inside, state)
        cut = outside if region == self.plan['store_region'] else inside
        for vm in cut:
            await self.cut_store(vm, state)

    # Calls.

    # Operators.

    async def operate(
        self, vm: str, method: str, path: str, body: object = None
    ) -> tuple[int, Fields]:
        """Call a node's operators' listener."""
        url = self.nodes[vm].operators + path
        return await self.call(method, url, body, self.operator_token)

    async def wait_ready(
        self, vms: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Wait until nodes serve, by default all."""
        await asyncio.gather(*(self.wait_node(vm) for vm in (vms or self.vms)))

    async def wait_node(self, vm: str) -> None:
        """Wait until a node says that it is ready."""

        async def ready() -> bool:
            self.check_running(vm)
            _, status = await self.operate(vm, 'GET', '/v1/status')
            return status.get('ready') is True

        await self.wait_for(ready, self.options.ready_timeout_s, f'{vm} ready')

    def facts(self) -> _facts.Facts:
        """Return the facts of the first ticket and of the history so far."""
        documents = _plan.documents(self.first_ticket())
        regions = {vm.name: vm.region for vm in self.vms.values()}
        return _facts.add_history_facts(
            _facts.facts_from_config(config.build_config(documents), regions),
            self.events(),
        )

    def events(self) -> list[_history.AnyEvent]:
        """Return the merged history so far."""
        return _history.read_history(self.directory / 'history')

    def first_ticket(self) -> _plan.Ticket:
        """Return the ticket that configures the deployment."""
        return _plan.first_ticket(self.plan, self.addresses, self.keys)

    async def submit_first_ticket(self) -> None:
        """Submit ticket 1 and wait until it is accepted."""
        await self.submit_changes(self.first_ticket()['changes'])

    async def submit_changes(
        self,
        changes: list[_plan.Change],
        vm: str | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Submit the next ticket, wait until accepted, return its number."""
        ticket: _plan.Ticket = {
            'number': self.next_ticket,
            'author': 'operator',
            'changes': changes,
        }
        chosen = vm or next(iter(self.vms))
        limit = timeout_s or self.options.ready_timeout_s

        async def taken() -> bool:
            status, answer = await self.submit_ticket(ticket, chosen)
            if status in FINAL_STATUSES:
                raise _calls.DeploymentError(f'ticket refused: {answer}')
            return status < 300

        await self.wait_for(taken, limit, f'ticket {ticket["number"]}')
        await self.wait_ticket(ticket['number'], 'accepted', chosen, limit)
        self.next_ticket += 1
        return ticket['number']

    async def submit_ticket(
        self, ticket: _plan.Ticket, vm: str
    ) -> tuple[int, Fields]:
        """Submit a ticket once and return the answer."""
        number = ticket['number']
        self.note(
            'ticket_submitted',
            number=number,
            kind='',
            **ticket_effects(ticket),
        )
        status, answer = await self.operate(vm, 'POST', '/v1/tickets', ticket)
        if status in FINAL_STATUSES:
            kind = answer.get('kind', '')
            self.note('ticket_refused', number=number, kind=kind)
        elif answer.get('state') in ('committed', 'accepted'):
            self.note('ticket_committed', number=number, kind='')
        return status, answer

    async def wait_ticket(
        self, number: int, state: str, vm: str, timeout_s: float
    ) -> None:
        """Wait until a ticket has a state."""

        async def reached() -> bool:
            _, answer = await self.operate(vm, 'GET', f'/v1/tickets/{number}')
            return answer.get('state') == state

        await self.wait_for(reached, timeout_s, f'ticket {number} {state}')
        if state == 'accepted':
            self.note('ticket_accepted', number=number, kind='')


def ticket_effects(ticket: _plan.Ticket) -> Fields:
    """Return what the checkers need to know of a ticket's changes.

    ``issued_keys`` lists (name, client account), ``drains`` (name,
    target kind, target) of drains that begin.
    """
    withdrawn: list[str] = []
    issued: list[tuple[str, str]] = []
    drains: list[tuple[str, str, str]] = []
    ended: list[str] = []
    for one in ticket['changes']:
        if one['kind'] == config.EntityKind.KEY and one['state'] is None:
            withdrawn.append(one['name'])
        elif one['kind'] == config.EntityKind.KEY and one['state'] is not None:
            issued.append((one['name'], one['state']['client_account']))
        if one['kind'] == config.EntityKind.DRAIN and one['state'] is None:
            ended.append(one['name'])
        elif (
            one['kind'] == config.EntityKind.DRAIN and one['state'] is not None
        ):
            state = one['state']
            drains.append((one['name'], state['target_kind'], state['target']))
    return {
        'issued_keys': issued,
        'withdrawn_keys': withdrawn,
        'drains': drains,
        'ended_drains': ended,
    }
