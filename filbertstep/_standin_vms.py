"""Stand-in for the platform's list of VMs, which shows changes late.

Serves ``/v1/health/service/filbertstep`` of Consul's HTTP API.  With
``?vm=NAME`` the list can contain different URLs for each requesting VM, so
that its calls to other VMs go through the relays of the link stand-in.
"""

import asyncio
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _standin_common
from filbertstep import codec

VM_LIST_PATH: typing.Final = '/v1/health/service/filbertstep'


class VmRecord(typing.TypedDict):
    """A VM in the platform's list."""

    address: str
    port: int
    peers_url: str
    callers_url: str
    state: typing.Literal['live', 'leaving']


class VmUrls(typing.TypedDict, total=False):
    """URLs of a VM for one requesting VM, replacing those of its record."""

    peers_url: str
    callers_url: str


class VmsPatch(typing.TypedDict, total=False):
    """A change of the list or its faults, posted to the control path.

    ``vms`` adds or replaces records, or removes a VM that is null.  These
    changes become visible after ``lag_s``; a new ``lag_s`` applies from the
    same patch on.  ``paths`` maps a requesting VM to the URLs that it gets for
    other VMs, and takes effect at once.  ``down`` aborts the connection of
    every request for the list, and ``delay_s`` delays the response.
    """

    lag_s: float
    down: bool
    delay_s: float
    vms: dict[str, VmRecord | None]
    paths: dict[str, dict[str, VmUrls]]


class PendingChange(typing.NamedTuple):
    """A change of the list that becomes visible at ``visible_at``.

    ``visible_at`` is in event loop time.  ``record`` None removes the VM.
    """

    visible_at: float
    vm: str
    record: VmRecord | None


class VmListStandin:
    """HTTP API and state of the stand-in VM list.

    ``url_overrides`` maps a requesting VM to VMs to URLs.
    """

    def __init__(self, lag_s: float, history: _history.HistoryWriter) -> None:
        self.lag_s = lag_s
        self.down = False
        self.delay_s = 0.0
        self.visible_vms: dict[str, VmRecord] = {}
        self.pending_changes: list[PendingChange] = []
        self.url_overrides: dict[str, dict[str, VmUrls]] = {}
        self.list_index = 1
        self.call_count = 0
        self.history = history

    def app(self) -> web.Application:
        """Return the application with the list and the control path."""
        app = web.Application()
        app.router.add_get(VM_LIST_PATH, self.handle_list)
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Apply a patch from the control path; return an error if invalid."""
        converted = codec.convert(patch, VmsPatch)
        if isinstance(converted, result.Err):
            return converted
        vms_patch = converted.ok_value
        self.lag_s = vms_patch.get('lag_s', self.lag_s)
        self.down = vms_patch.get('down', self.down)
        self.delay_s = vms_patch.get('delay_s', self.delay_s)
        for requesting_vm, vm_urls in vms_patch.get('paths', {}).items():
            self.url_overrides.setdefault(requesting_vm, {}).update(vm_urls)
        visible_at = _standin_common.loop_time() + self.lag_s
        for vm, record in vms_patch.get('vms', {}).items():
            self.pending_changes.append(PendingChange(visible_at, vm, record))
            self.history.write('vm_list', vm=vm, lag_s=self.lag_s)
        return result.Ok(None)

    def control_document(self) -> _standin_common.JsonObject:
        """Return faults, visible VMs and names of VMs with pending changes."""
        self.apply_due_changes()
        return {
            'lag_s': self.lag_s,
            'down': self.down,
            'delay_s': self.delay_s,
            'vms': self.visible_vms,
            'pending': [change.vm for change in self.pending_changes],
            'calls': self.call_count,
        }

    def apply_due_changes(self) -> None:
        """Apply the pending changes whose lag is over, in order of time."""
        now = _standin_common.loop_time()
        due_changes = [
            change
            for change in self.pending_changes
            if change.visible_at <= now
        ]
        self.pending_changes = [
            change
            for change in self.pending_changes
            if change.visible_at > now
        ]
        for change in sorted(
            due_changes, key=lambda change: change.visible_at
        ):
            self.list_index += 1
            if change.record is None:
                self.visible_vms.pop(change.vm, None)
            else:
                self.visible_vms[change.vm] = change.record

    async def handle_list(self, request: web.Request) -> web.Response:
        """Respond with the list of VMs for one requesting VM."""
        self.call_count += 1
        if self.down:
            return _standin_common.abort_connection(request)
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        self.apply_due_changes()
        vm_urls = self.url_overrides.get(request.query.get('vm', ''), {})
        response = _standin_common.json_response(
            [
                service_entry(vm, record, vm_urls.get(vm, {}))
                for vm, record in sorted(self.visible_vms.items())
            ]
        )
        response.headers['X-Consul-Index'] = str(self.list_index)
        return response


def service_entry(
    vm: str, record: VmRecord, urls: VmUrls
) -> dict[str, object]:
    """Return the JSON object that the list contains for a VM."""
    return {
        'Node': {'Node': vm},
        'Service': {
            'Service': 'filbertstep',
            'Address': record['address'],
            'Port': record['port'],
            'Meta': {
                'peers_url': urls.get('peers_url', record['peers_url']),
                'callers_url': urls.get('callers_url', record['callers_url']),
                'state': record['state'],
            },
        },
    }


async def run(host: str, port: int, lag_s: float, history_path: str) -> None:
    """Serve the VM list until the process gets a stop signal."""
    writer = _standin_common.open_history(history_path, 'vms')
    standin = VmListStandin(lag_s, writer)
    runner = await _standin_common.start_http_server(standin.app(), host, port)
    try:
        await _standin_common.wait_for_stop_signal()
    finally:
        await runner.cleanup()
        writer.close()
