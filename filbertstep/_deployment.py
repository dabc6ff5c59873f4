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

JsonObject = dict[str, typing.Any]

# Answers after which the same ticket cannot succeed.
PERMANENT_REFUSAL_STATUSES: typing.Final = frozenset({400, 401, 403, 409, 422})


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
            names = list(self.processes.popen_by_name)
            standins = [name for name in names if name not in self.vms]
            nodes = [name for name in names if name in self.vms]
            await asyncio.to_thread(self.processes.terminate, nodes)
            await asyncio.to_thread(self.processes.terminate, standins)
        finally:
            self.processes.close()
            await self.close_session()
            if self.history_writer is not None:
                self.history_writer.close()

    def cancel_on_sigterm(self, task: asyncio.Task[typing.Any] | None) -> None:
        """Let SIGTERM cancel a task, so that the processes are ended."""
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)

    async def start(self) -> None:
        """Start all nodes, put the first ticket in force, await readiness."""
        await self.start_nodes()
        await self.submit_first_ticket()
        await self.wait_until_ready()

    # Nodes.

    def store_url(self, vm: str) -> str:
        """Return the URL under which a VM reaches the store."""
        if self.options.relays:
            return _standin_set.loopback_url(self.relay_ports[f'store-{vm}'])
        return self.control_urls['store']

    def write_settings(self, vm: str) -> str:
        """Write a node's settings file and return its path."""
        row, address = self.vms[vm], self.node_urls[vm]
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
        text = _plan.render_node_settings(self.plan, fields)
        return self.write_file(f'{vm}.json', text.encode())

    async def start_nodes(self) -> None:
        """Start all nodes; the platform lists them after its lag."""
        if self.options.relays:
            await self.configure_standin('vms', {'paths': self.relay_urls()})
        for vm in self.vms:
            await self.start_node(vm)

    def relay_urls(self) -> JsonObject:
        """Return, by asker and VM, the URL of the relay between them."""
        return {
            asker: {
                vm: {
                    'peers_url': _standin_set.loopback_url(
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
        await self.update_vm_list(vm, 'live')

    async def update_vm_list(self, vm: str, state: str | None) -> None:
        """Change what the platform lists; without a state the VM goes."""
        doc = None
        if state is not None:
            address = self.node_urls[vm]
            doc = {
                'address': '127.0.0.1',
                'port': int(address.callers.rpartition(':')[2]),
                'peers_url': address.peers,
                'callers_url': address.callers,
                'state': state,
            }
        await self.configure_standin('vms', {'vms': {vm: doc}})

    async def kill_node(self, vm: str) -> None:
        """Kill a node; the platform notices after its lag."""
        self.record_event('killed', name=vm)
        self.processes.kill(vm)
        await self.update_vm_list(vm, None)

    async def kill_region(self, region: str) -> None:
        """Kill a region's nodes and backend servers."""
        for group in self.backend_process_names():
            own = [
                name
                for name in self.backend_process_by_server
                if self.backend_process_by_server[name] == group
            ]
            if all(self.servers[name].region == region for name in own):
                self.record_event('killed', name=group)
                self.processes.kill(group)
        for vm, row in self.vms.items():
            if row.region == region and self.processes.is_running(vm):
                await self.kill_node(vm)

    async def stop_node(self, vm: str, timeout_s: float = 90.0) -> None:
        """Stop a node gracefully and wait until it has ended."""
        self.record_event('stop_began', name=vm)
        self.processes.send_signal(vm, signal.SIGTERM)
        await self.update_vm_list(vm, 'leaving')
        await self.wait_until(
            lambda: not self.processes.is_running(vm), timeout_s, f'end {vm}'
        )
        self.record_event('stop_ended', name=vm)
        await self.update_vm_list(vm, None)

    def suspend_process(self, name: str) -> None:
        """Stop a process without its noticing."""
        self.record_event('frozen', name=name)
        self.processes.send_signal(name, signal.SIGSTOP)

    def resume_process(self, name: str) -> None:
        """Let a frozen process go on."""
        self.record_event('thawed', name=name)
        self.processes.send_signal(name, signal.SIGCONT)

    # Links.

    async def partition_store(self, vm: str, state: str = 'hold') -> None:
        """Cut a VM from the store; state ``open`` mends it."""
        patch = {'forward': state, 'backward': state}
        await self.configure_standin('link', {f'store-{vm}': patch})

    async def partition_vms(
        self,
        sources: collections.abc.Collection[str],
        targets: collections.abc.Collection[str],
        state: str = 'hold',
    ) -> None:
        """Cut calls from some VMs to others; callers are not affected."""
        patch = {'forward': state, 'backward': state}
        await self.configure_standin(
            'link',
            {
                f'{source}-to-{target}': patch
                for source in sources
                for target in targets
                if source != target
            },
        )

    async def partition_region(self, region: str, state: str = 'hold') -> None:
        """Cut a region's VMs from those of other regions, both ways."""
        inside = [vm for vm in self.vms if self.vms[vm].region == region]
        outside = [vm for vm in self.vms if vm not in inside]
        await self.partition_vms(inside, outside, state)
        await self.partition_vms(outside, inside, state)
        cut = outside if region == self.plan['store_region'] else inside
        for vm in cut:
            await self.partition_store(vm, state)

    # Calls.

    # Operators.

    async def call_operator_api(
        self, vm: str, method: str, path: str, body: object = None
    ) -> tuple[int, JsonObject]:
        """Call a node's operators' listener."""
        url = self.node_urls[vm].operators + path
        return await self.request_json(method, url, body, self.operator_token)

    async def wait_until_ready(
        self, vms: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Wait until nodes serve, by default all."""
        await asyncio.gather(
            *(self.wait_until_node_ready(vm) for vm in (vms or self.vms))
        )

    async def wait_until_node_ready(self, vm: str) -> None:
        """Wait until a node says that it is ready."""

        async def ready() -> bool:
            self.require_running(vm)
            _, status = await self.call_operator_api(vm, 'GET', '/v1/status')
            return status.get('ready') is True

        await self.wait_until_async(
            ready, self.options.ready_timeout_s, f'{vm} ready'
        )

    def read_facts(self) -> _facts.Facts:
        """Return the facts of the first ticket and of the history so far."""
        documents = _plan.build_documents(self.build_first_ticket())
        regions = {vm.name: vm.region for vm in self.vms.values()}
        return _facts.add_history_facts(
            _facts.facts_from_config(config.build_config(documents), regions),
            self.read_events(),
        )

    def read_events(self) -> list[_history.AnyEvent]:
        """Return the merged history so far."""
        return _history.read_history(self.directory / 'history')

    def build_first_ticket(self) -> _plan.Ticket:
        """Return the ticket that configures the deployment."""
        return _plan.build_first_ticket(
            self.plan, self.server_addresses, self.keys
        )

    async def submit_first_ticket(self) -> None:
        """Submit ticket 1 and wait until it is accepted."""
        await self.submit_changes(self.build_first_ticket()['changes'])

    async def submit_changes(
        self,
        changes: list[_plan.TicketChange],
        vm: str | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Submit the next ticket, wait until accepted, return its number."""
        ticket: _plan.Ticket = {
            'number': self.next_ticket_number,
            'author': 'operator',
            'changes': changes,
        }
        chosen = vm or next(iter(self.vms))
        limit = timeout_s or self.options.ready_timeout_s

        async def taken() -> bool:
            status, answer = await self.submit_ticket(ticket, chosen)
            if status in PERMANENT_REFUSAL_STATUSES:
                raise _calls.DeploymentError(f'ticket refused: {answer}')
            return status < 300

        await self.wait_until_async(taken, limit, f'ticket {ticket["number"]}')
        await self.wait_for_ticket_state(
            ticket['number'], 'accepted', chosen, limit
        )
        self.next_ticket_number += 1
        return ticket['number']

    async def submit_ticket(
        self, ticket: _plan.Ticket, vm: str
    ) -> tuple[int, JsonObject]:
        """Submit a ticket once and return the answer."""
        number = ticket['number']
        self.record_event(
            'ticket_submitted',
            number=number,
            kind='',
            **ticket_event_fields(ticket),
        )
        status, answer = await self.call_operator_api(
            vm, 'POST', '/v1/tickets', ticket
        )
        if status in PERMANENT_REFUSAL_STATUSES:
            kind = answer.get('kind', '')
            self.record_event('ticket_refused', number=number, kind=kind)
        elif answer.get('state') in ('committed', 'accepted'):
            self.record_event('ticket_committed', number=number, kind='')
        return status, answer

    async def wait_for_ticket_state(
        self, number: int, state: str, vm: str, timeout_s: float
    ) -> None:
        """Wait until a ticket has a state."""

        async def reached() -> bool:
            _, answer = await self.call_operator_api(
                vm, 'GET', f'/v1/tickets/{number}'
            )
            return answer.get('state') == state

        await self.wait_until_async(
            reached, timeout_s, f'ticket {number} {state}'
        )
        if state == 'accepted':
            self.record_event('ticket_accepted', number=number, kind='')


def ticket_event_fields(ticket: _plan.Ticket) -> JsonObject:
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
