"""Runs one deployment as subprocesses, injects faults and shuts it down.

Used by the demo, the proofs and the bench.  Nodes and the stand-ins for their
surroundings (store, VM list, backend servers, links) listen on the loopback
address, and each process appends to a history file of its own.  A
``Deployment`` is an asynchronous context manager; its exit ends every process
that it started, also after an exception.
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

# HTTP statuses after which resubmitting the same ticket cannot succeed.
PERMANENT_REFUSAL_STATUSES: typing.Final = frozenset({400, 401, 403, 409, 422})


class Deployment(_standin_set.StandinSet):
    """One running deployment; ``async with`` starts and ends it.

    Entering the context starts the stand-ins only.  ``start_nodes`` and
    ``submit_first_ticket`` are separate steps, so that a test can inject
    faults between them; ``start`` does everything.
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
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """End all processes."""
        await self.close()

    async def close(self) -> None:
        """End all processes: first the nodes, then their stand-ins."""
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
        """Cancel a task on SIGTERM, so that its cleanup ends the processes."""
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)

    async def start(self) -> None:
        """Start all nodes, apply the first ticket and wait for readiness."""
        await self.start_nodes()
        await self.submit_first_ticket()
        await self.wait_until_ready()

    # Nodes.

    def store_url(self, vm: str) -> str:
        """Return the URL at which a VM reaches the store, relayed or not."""
        if self.options.relays:
            return _standin_set.loopback_url(self.relay_ports[f'store-{vm}'])
        return self.control_urls['store']

    def write_settings(self, vm: str) -> str:
        """Write a node's settings file and return its path."""
        vm_plan, urls = self.vms[vm], self.node_urls[vm]
        fields: dict[str, object] = {
            'vm': vm,
            'region': vm_plan.region,
            'availability_zone': vm_plan.availability_zone,
            'peer_token': self.peer_token,
            'operator_token': self.operator_token,
            'store_url': self.store_url(vm),
            'vm_list_url': self.control_urls['vms'],
            'history_file': self.history_path(vm),
            'choice_policy': self.options.choice_policy,
        }
        for listener, url in urls._asdict().items():
            fields[f'{listener}_port'] = url.rpartition(':')[2]
        text = _plan.render_node_settings(self.plan, fields)
        return self.write_file(f'{vm}.json', text.encode())

    async def start_nodes(self) -> None:
        """Start all nodes and add each to the platform's VM list.

        The list shows them after the lag set in the options.
        """
        if self.options.relays:
            await self.configure_standin('vms', {'paths': self.relay_urls()})
        for vm in self.vms:
            await self.start_node(vm)

    def relay_urls(self) -> JsonObject:
        """Return ``peers_url`` of the relays by source VM and target VM."""
        return {
            source: {
                target: {
                    'peers_url': _standin_set.loopback_url(
                        self.relay_ports[f'{source}-to-{target}']
                    )
                }
                for target in self.vms
                if target != source
            }
            for source in self.vms
        }

    async def start_node(self, vm: str) -> None:
        """Start or restart a node and list its VM as live."""
        settings = self.write_settings(vm)
        self.processes.start(
            vm, [self.options.node_module, f'--settings={settings}']
        )
        await self.update_vm_list(vm, 'live')

    async def update_vm_list(self, vm: str, state: str | None) -> None:
        """Set a VM's state in the platform's VM list; None removes the VM."""
        entry = None
        if state is not None:
            urls = self.node_urls[vm]
            entry = {
                'address': '127.0.0.1',
                'port': int(urls.callers.rpartition(':')[2]),
                'peers_url': urls.peers,
                'callers_url': urls.callers,
                'state': state,
            }
        await self.configure_standin('vms', {'vms': {vm: entry}})

    async def kill_node(self, vm: str) -> None:
        """Kill a node with SIGKILL and remove its VM from the VM list.

        The list shows the removal after its lag.
        """
        self.record_event('killed', name=vm)
        self.processes.kill(vm)
        await self.update_vm_list(vm, None)

    async def kill_region(self, region: str) -> None:
        """Kill the nodes and the backend processes of a region.

        A backend process is killed if all its servers are in the region.
        """
        for process in self.backend_process_names():
            servers = [
                name
                for name in self.backend_process_by_server
                if self.backend_process_by_server[name] == process
            ]
            if all(self.servers[name].region == region for name in servers):
                self.record_event('killed', name=process)
                self.processes.kill(process)
        for vm, vm_plan in self.vms.items():
            if vm_plan.region == region and self.processes.is_running(vm):
                await self.kill_node(vm)

    async def stop_node(self, vm: str, timeout_s: float = 90.0) -> None:
        """Stop a node with SIGTERM and wait until it has exited.

        The VM is listed as leaving until then.  Raises DeploymentError when
        the node still runs after ``timeout_s``.
        """
        self.record_event('stop_began', name=vm)
        self.processes.send_signal(vm, signal.SIGTERM)
        await self.update_vm_list(vm, 'leaving')
        await self.wait_until(
            lambda: not self.processes.is_running(vm),
            timeout_s,
            f'exit of {vm}',
        )
        self.record_event('stop_ended', name=vm)
        await self.update_vm_list(vm, None)

    def suspend_process(self, name: str) -> None:
        """Suspend a process with SIGSTOP, which it cannot handle."""
        self.record_event('frozen', name=name)
        self.processes.send_signal(name, signal.SIGSTOP)

    def resume_process(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.record_event('thawed', name=name)
        self.processes.send_signal(name, signal.SIGCONT)

    # Network partitions, which need the option ``relays``.  State ``hold``
    # keeps a link's data back, ``reset`` aborts its connections, and ``open``
    # ends the partition.

    async def partition_store(self, vm: str, state: str = 'hold') -> None:
        """Set the state of the link from a VM to the store."""
        patch = {'forward': state, 'backward': state}
        await self.configure_standin('link', {f'store-{vm}': patch})

    async def partition_vms(
        self,
        sources: collections.abc.Collection[str],
        targets: collections.abc.Collection[str],
        state: str = 'hold',
    ) -> None:
        """Set the state of the links for calls from some VMs to others.

        Calls from callers do not pass through relays and are unaffected.
        """
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
        """Set the state of all links between a region and the others.

        This includes the links to the store that cross the region's border.
        """
        inside = [vm for vm in self.vms if self.vms[vm].region == region]
        outside = [vm for vm in self.vms if vm not in inside]
        await self.partition_vms(inside, outside, state)
        await self.partition_vms(outside, inside, state)
        without_store = (
            outside if region == self.plan['store_region'] else inside
        )
        for vm in without_store:
            await self.partition_store(vm, state)

    # Operators.

    async def call_operator_api(
        self, vm: str, method: str, path: str, body: object = None
    ) -> tuple[int, JsonObject]:
        """Call a node's operator API; return HTTP status and JSON body."""
        url = self.node_urls[vm].operators + path
        return await self.request_json(method, url, body, self.operator_token)

    async def wait_until_ready(
        self, vms: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Wait until nodes report that they are ready, by default all.

        Raises DeploymentError on a timeout or when a node has exited.
        """
        await asyncio.gather(
            *(self.wait_until_node_ready(vm) for vm in (vms or self.vms))
        )

    async def wait_until_node_ready(self, vm: str) -> None:
        """Wait until a node's status reports that it is ready."""

        async def is_ready() -> bool:
            self.require_running(vm)
            _, status = await self.call_operator_api(vm, 'GET', '/v1/status')
            return status.get('ready') is True

        await self.wait_until_async(
            is_ready, self.options.ready_timeout_s, f'{vm} is ready'
        )

    def read_facts(self) -> _facts.Facts:
        """Return what the checkers need besides the events.

        That is the configuration of the first ticket, and what the history
        so far adds to it.
        """
        documents = _plan.build_documents(self.build_first_ticket())
        regions = {vm.name: vm.region for vm in self.vms.values()}
        return _facts.add_history_facts(
            _facts.facts_from_config(config.build_config(documents), regions),
            self.read_events(),
        )

    def read_events(self) -> list[_history.AnyEvent]:
        """Return the events of all processes so far, merged."""
        return _history.read_history(self.directory / 'history')

    def build_first_ticket(self) -> _plan.Ticket:
        """Return the ticket that holds the initial configuration."""
        return _plan.build_first_ticket(
            self.plan, self.server_addresses, self.keys
        )

    async def submit_first_ticket(self) -> None:
        """Submit the initial configuration and wait until it is accepted."""
        await self.submit_changes(self.build_first_ticket()['changes'])

    async def submit_changes(
        self,
        changes: list[_plan.TicketChange],
        vm: str | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Submit changes as the next ticket and wait until it is accepted.

        The ticket goes to ``vm``, by default the first one.  Committing it
        and its acceptance may take ``timeout_s`` each.  Returns the ticket's
        number; raises DeploymentError when it is refused or on a timeout.
        """
        ticket: _plan.Ticket = {
            'number': self.next_ticket_number,
            'author': 'operator',
            'changes': changes,
        }
        submit_vm = vm or next(iter(self.vms))
        limit_s = timeout_s or self.options.ready_timeout_s

        async def is_committed() -> bool:
            status, answer = await self.submit_ticket(ticket, submit_vm)
            if status in PERMANENT_REFUSAL_STATUSES:
                raise _calls.DeploymentError(f'ticket refused: {answer}')
            return status < 300

        await self.wait_until_async(
            is_committed, limit_s, f'ticket {ticket["number"]}'
        )
        await self.wait_for_ticket_state(
            ticket['number'], 'accepted', submit_vm, limit_s
        )
        self.next_ticket_number += 1
        return ticket['number']

    async def submit_ticket(
        self, ticket: _plan.Ticket, vm: str
    ) -> tuple[int, JsonObject]:
        """Submit a ticket once, record the attempt, return the answer."""
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
            error_kind = answer.get('kind', '')
            self.record_event('ticket_refused', number=number, kind=error_kind)
        elif answer.get('state') in ('committed', 'accepted'):
            self.record_event('ticket_committed', number=number, kind='')
        return status, answer

    async def wait_for_ticket_state(
        self, number: int, state: str, vm: str, timeout_s: float
    ) -> None:
        """Wait until a VM reports that a ticket has reached a state."""

        async def has_state() -> bool:
            _, answer = await self.call_operator_api(
                vm, 'GET', f'/v1/tickets/{number}'
            )
            return answer.get('state') == state

        await self.wait_until_async(
            has_state, timeout_s, f'ticket {number} {state}'
        )
        if state == 'accepted':
            self.record_event('ticket_accepted', number=number, kind='')


def ticket_event_fields(ticket: _plan.Ticket) -> JsonObject:
    """Return the history fields that tell the checkers a ticket's changes.

    ``issued_keys`` lists (key name, client account) and ``withdrawn_keys``
    key names; ``drains`` lists (drain name, target kind, target) of drains
    that begin, and ``ended_drains`` the names of those that end.
    """
    withdrawn_keys: list[str] = []
    issued_keys: list[tuple[str, str]] = []
    drains: list[tuple[str, str, str]] = []
    ended_drains: list[str] = []
    for change in ticket['changes']:
        if change['kind'] == config.EntityKind.KEY and change['state'] is None:
            withdrawn_keys.append(change['name'])
        elif (
            change['kind'] == config.EntityKind.KEY
            and change['state'] is not None
        ):
            issued_keys.append(
                (change['name'], change['state']['client_account'])
            )
        if (
            change['kind'] == config.EntityKind.DRAIN
            and change['state'] is None
        ):
            ended_drains.append(change['name'])
        elif (
            change['kind'] == config.EntityKind.DRAIN
            and change['state'] is not None
        ):
            state = change['state']
            drains.append(
                (change['name'], state['target_kind'], state['target'])
            )
    return {
        'issued_keys': issued_keys,
        'withdrawn_keys': withdrawn_keys,
        'drains': drains,
        'ended_drains': ended_drains,
    }
