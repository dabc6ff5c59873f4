"""All stand-in backend servers of one process and their control path."""

import asyncio
import os
import pathlib
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _standin_backend
from filbertstep import _standin_common
from filbertstep import _standin_faults
from filbertstep import codec

# Used when a request with the crash text ends the process.
CRASH_EXIT_STATUS: typing.Final = 70


class BackendFleet:
    """The backend servers of one process.

    ``servers`` holds the running ones by name, ``specs`` all of them.
    """

    def __init__(
        self,
        specs: list[_standin_faults.ServerSpec],
        faults: _standin_faults.ServerFaults,
        seed: int,
        secret_prefix: str,
        history: _history.HistoryWriter,
    ) -> None:
        self.specs = {spec['name']: spec for spec in specs}
        self.faults = faults
        self.seed = seed
        self.secret_prefix = secret_prefix
        self.history = history
        self.servers: dict[str, _standin_backend.BackendServer] = {}
        self.stop_tasks: set[asyncio.Task[None]] = set()

    async def start_server(self, name: str) -> _standin_backend.BackendServer:
        """Start a server that is not running.

        Raises ``result.UnwrapError`` if its ``overrides`` are invalid.
        """
        spec = self.specs[name]
        server = _standin_backend.BackendServer(
            spec,
            self.faults,
            self.seed,
            self.secret_prefix,
            self.history,
            lambda: self.crash_server(name),
        )
        server.apply_patch(spec.get('overrides', {})).unwrap()
        server.runner = await _standin_common.start_http_server(
            server.app(), spec['host'], spec['port']
        )
        self.servers[name] = server
        server.record_state_event('serving')
        return server

    def crash_server(self, name: str) -> None:
        """Stop a server, or exit the process if that is its only server."""
        if len(self.specs) == 1:
            os._exit(CRASH_EXIT_STATUS)
        # Aborted at once, so that the request that caused the crash gets no
        # response.
        abort_connections(self.servers[name])
        task = asyncio.create_task(self.stop_server(name))
        self.stop_tasks.add(task)
        task.add_done_callback(self.stop_tasks.discard)

    async def stop_server(self, name: str) -> None:
        """Abort the connections of a server and close its listener."""
        server = self.servers.pop(name, None)
        if server is None or server.runner is None:
            return
        server.record_state_event('stopped')
        abort_connections(server)
        await server.runner.cleanup()

    def control_document(self) -> _standin_common.JsonObject:
        """Return the state of all servers by name; null for a stopped one."""
        return {
            name: self.servers[name].control_document()
            if name in self.servers
            else None
            for name in self.specs
        }

    async def handle_control(self, request: web.Request) -> web.Response:
        """Handle ``GET`` and ``POST`` of the control path for all servers.

        The body of a ``POST`` maps server names to patches.
        """
        if request.method == 'POST':
            patches = await _standin_common.read_json_object(request)
            applied = (
                patches
                if isinstance(patches, result.Err)
                else await self.apply_patches(patches.ok_value)
            )
            if isinstance(applied, result.Err):
                return _standin_common.json_response(
                    {'message': applied.err_value}, 400
                )
        return _standin_common.json_response(self.control_document())

    async def apply_patches(
        self, patches: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Apply patches to servers by name, ``*`` standing for all servers.

        ``stopped`` true stops a server; any other patch starts the server
        first if it is not running.  Returns an error at the first invalid
        patch; the patches before it stay applied.
        """
        for name in list(patches):
            if name == '*':
                common_patch = patches.pop(name)
                patches = {
                    server_name: common_patch for server_name in self.specs
                } | patches
        for name, patch in patches.items():
            if name not in self.specs or not isinstance(patch, dict):
                return result.Err(f'no fields of a server: {name!r}')
            if patch.get('stopped') is True:
                await self.stop_server(name)
                continue
            server = self.servers.get(name) or await self.start_server(name)
            applied = server.apply_patch(patch)
            if isinstance(applied, result.Err):
                return applied
        return result.Ok(None)

    async def close(self) -> None:
        """Stop all servers."""
        for name in list(self.servers):
            await self.stop_server(name)


def abort_connections(server: _standin_backend.BackendServer) -> None:
    """Abort all connections of a server."""
    if server.runner is None or server.runner.server is None:
        return
    for connection in server.runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()


def read_server_specs(path: str) -> list[_standin_faults.ServerSpec]:
    """Read a spec file, a JSON list of servers; comments are allowed.

    Raises ``result.UnwrapError`` if the content is invalid.
    """
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return codec.decode_with_comments(
        text, list[_standin_faults.ServerSpec]
    ).unwrap()


async def run(
    specs: list[_standin_faults.ServerSpec],
    control_address: tuple[str, int] | None,
    faults: _standin_faults.ServerFaults,
    seed: int,
    secret_prefix: str,
    history_path: str,
) -> None:
    """Serve backend servers until the process gets a stop signal."""
    process_name = (
        specs[0]['name'] if len(specs) == 1 else f'backends-{os.getpid()}'
    )
    writer = _standin_common.open_history(history_path, process_name)
    backends = BackendFleet(specs, faults, seed, secret_prefix, writer)
    control_runner = None
    try:
        for spec in specs:
            await backends.start_server(spec['name'])
        if control_address is not None:
            app = web.Application()
            app.router.add_get(
                _standin_common.CONTROL_PATH, backends.handle_control
            )
            app.router.add_post(
                _standin_common.CONTROL_PATH, backends.handle_control
            )
            control_runner = await _standin_common.start_http_server(
                app, *control_address
            )
        await _standin_common.wait_for_stop_signal()
    finally:
        await backends.close()
        if control_runner is not None:
            await control_runner.cleanup()
        writer.close()
