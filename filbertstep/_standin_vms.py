"""Stand-in for the platform's list of VMs, which lags.

Answers Consul's ``/v1/health/service/filbertstep``.  With ``?vm=ASKER`` each
asker can get other addresses of the same VM, so that its calls pass through
the relays of the link stand-in.
"""

import asyncio
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _standin_common
from filbertstep import codec

SERVICE_PATH: typing.Final = '/v1/health/service/filbertstep'


class VmDoc(typing.TypedDict):
    """A VM as the platform knows it."""

    address: str
    port: int
    peers_url: str
    callers_url: str
    state: typing.Literal['live', 'leaving']


class PathDoc(typing.TypedDict, total=False):
    """Addresses of a VM for one asker."""

    peers_url: str
    callers_url: str


class VmsPatch(typing.TypedDict, total=False):
    """Body of a change; ``paths`` maps an asker to VMs to addresses.

    A VM that is null leaves the list.  ``lag_s`` holds for changes from then
    on; ``paths`` take effect at once.
    """

    lag_s: float
    down: bool
    delay_s: float
    vms: dict[str, VmDoc | None]
    paths: dict[str, dict[str, PathDoc]]


class PendingChange(typing.NamedTuple):
    """A change that shows at a time."""

    shown_at: float
    vm: str
    doc: VmDoc | None


class VmsStandin:
    """HTTP side of the VM list."""

    def __init__(self, lag_s: float, history: _history.HistoryWriter) -> None:
        self.lag_s = lag_s
        self.down = False
        self.delay_s = 0.0
        self.shown: dict[str, VmDoc] = {}
        self.pending: list[PendingChange] = []
        self.paths: dict[str, dict[str, PathDoc]] = {}
        self.index = 1
        self.calls = 0
        self.history = history

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get(SERVICE_PATH, self.list)
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Take a change; entries show after the lag."""
        checked = codec.convert(patch, VmsPatch)
        if isinstance(checked, result.Err):
            return checked
        change = checked.ok_value
        self.lag_s = change.get('lag_s', self.lag_s)
        self.down = change.get('down', self.down)
        self.delay_s = change.get('delay_s', self.delay_s)
        for asker, paths in change.get('paths', {}).items():
            self.paths.setdefault(asker, {}).update(paths)
        shown_at = _standin_common.loop_time() + self.lag_s
        for vm, doc in change.get('vms', {}).items():
            self.pending.append(PendingChange(shown_at, vm, doc))
            self.history.write('vm_list', vm=vm, lag_s=self.lag_s)
        return result.Ok(None)

    def control_document(self) -> _standin_common.JsonObject:
        """Return the list as shown and what is still hidden."""
        self.advance()
        return {
            'lag_s': self.lag_s,
            'down': self.down,
            'delay_s': self.delay_s,
            'vms': self.shown,
            'pending': [change.vm for change in self.pending],
            'calls': self.calls,
        }

    def advance(self) -> None:
        """Show the changes whose lag is over, in their order."""
        now = _standin_common.loop_time()
        due = [change for change in self.pending if change.shown_at <= now]
        self.pending = [
            change for change in self.pending if change.shown_at > now
        ]
        for change in sorted(due, key=lambda change: change.shown_at):
            self.index += 1
            if change.doc is None:
                self.shown.pop(change.vm, None)
            else:
                self.shown[change.vm] = change.doc

    async def list(self, request: web.Request) -> web.Response:
        """Answer the list of VMs for one asker."""
        self.calls += 1
        if self.down:
            return _standin_common.abort_connection(request)
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        self.advance()
        paths = self.paths.get(request.query.get('vm', ''), {})
        answer = _standin_common.json_response(
            [
                entry(vm, doc, paths.get(vm, {}))
                for vm, doc in sorted(self.shown.items())
            ]
        )
        answer.headers['X-Consul-Index'] = str(self.index)
        return answer


def entry(vm: str, doc: VmDoc, path: PathDoc) -> dict[str, object]:
    """Return one element of the answer."""
    return {
        'Node': {'Node': vm},
        'Service': {
            'Service': 'filbertstep',
            'Address': doc['address'],
            'Port': doc['port'],
            'Meta': {
                'peers_url': path.get('peers_url', doc['peers_url']),
                'callers_url': path.get('callers_url', doc['callers_url']),
                'state': doc['state'],
            },
        },
    }


async def run(host: str, port: int, lag_s: float, history: str) -> None:
    """Serve the list until the process is told to stop."""
    writer = _standin_common.open_history(history, 'vms')
    standin = VmsStandin(lag_s, writer)
    runner = await _standin_common.start_http_server(standin.app(), host, port)
    try:
        await _standin_common.wait_for_stop_signal()
    finally:
        await runner.cleanup()
        writer.close()
