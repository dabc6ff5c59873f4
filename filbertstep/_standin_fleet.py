"""The backend servers of one stand-in process and their common control."""

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

# Exit status of a process that a request crashed.
CRASH_EXIT_STATUS: typing.Final = 70


class Backends:
    """The backend servers of one process."""

    def __init__(
        self,
        docs: list[_standin_faults.ServerDoc],
        faults: _standin_faults.ServerFaults,
        seed: int,
        secret_prefix: str,
        history: _history.HistoryWriter,
    ) -> None:
        self.docs = {doc['name']: doc for doc in docs}
        self.faults = faults
        self.seed = seed
        self.secret_prefix = secret_prefix
        self.history = history
        self.servers: dict[str, _standin_backend.BackendServer] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, name: str) -> _standin_backend.BackendServer:
        """Start a server that is not running."""
        doc = self.docs[name]
        server = _standin_backend.BackendServer(
            doc,
            self.faults,
            self.seed,
            self.secret_prefix,
            self.history,
            lambda: self.crash(name),
        )
        server.apply_patch(doc.get('overrides', {})).unwrap()
        server.runner = await _standin_common.start_http_server(
            server.app(), doc['host'], doc['port']
        )
        self.servers[name] = server
        server.write_state('serving')
        return server

    def crash(self, name: str) -> None:
        """End a server, or the process when it has no other."""
        if len(self.docs) == 1:
            os._exit(CRASH_EXIT_STATUS)
        # Connections break before the request that crashed can be answered.
        abort_connections(self.servers[name])
        task = asyncio.create_task(self.stop(name))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self, name: str) -> None:
        """Break a server's connections and close its listener."""
        server = self.servers.pop(name, None)
        if server is None or server.runner is None:
            return
        server.write_state('stopped')
        abort_connections(server)
        await server.runner.cleanup()

    def control_document(self) -> _standin_common.JsonObject:
        """Return the state of every server by name; stopped ones are null."""
        return {
            name: self.servers[name].control_document()
            if name in self.servers
            else None
            for name in self.docs
        }

    async def control(self, request: web.Request) -> web.Response:
        """Change servers by name; ``stopped`` ends or starts one."""
        if request.method == 'POST':
            patches = await _standin_common.read_json_object(request)
            done = (
                patches
                if isinstance(patches, result.Err)
                else await self.change(patches.ok_value)
            )
            if isinstance(done, result.Err):
                return _standin_common.json_response(
                    {'message': done.err_value}, 400
                )
        return _standin_common.json_response(self.control_document())

    async def change(
        self, patches: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Apply one object of fields to each named server, ``*`` for all."""
        for name in list(patches):
            if name == '*':
                every = patches.pop(name)
                patches = {one: every for one in self.docs} | patches
        for name, patch in patches.items():
            if name not in self.docs or not isinstance(patch, dict):
                return result.Err(f'no fields of a server: {name!r}')
            if patch.get('stopped') is True:
                await self.stop(name)
                continue
            server = self.servers.get(name) or await self.start(name)
            done = server.apply_patch(patch)
            if isinstance(done, result.Err):
                return done
        return result.Ok(None)

    async def close(self) -> None:
        """Stop all servers."""
        for name in list(self.servers):
            await self.stop(name)


def abort_connections(server: _standin_backend.BackendServer) -> None:
    """Break all connections of a server."""
    if server.runner is None or server.runner.server is None:
        return
    for connection in server.runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()


def read_spec(path: str) -> list[_standin_faults.ServerDoc]:
    """Read a spec file: a JSON list of servers."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return codec.decode_with_comments(
        text, list[_standin_faults.ServerDoc]
    ).unwrap()


async def run(
    docs: list[_standin_faults.ServerDoc],
    control: tuple[str, int] | None,
    faults: _standin_faults.ServerFaults,
    seed: int,
    secret_prefix: str,
    history: str,
) -> None:
    """Serve backend servers until the process is told to stop."""
    process = docs[0]['name'] if len(docs) == 1 else f'backends-{os.getpid()}'
    writer = _standin_common.open_history(history, process)
    backends = Backends(docs, faults, seed, secret_prefix, writer)
    runner = None
    try:
        for doc in docs:
            await backends.start(doc['name'])
        if control is not None:
            app = web.Application()
            app.router.add_get(_standin_common.CONTROL_PATH, backends.control)
            app.router.add_post(_standin_common.CONTROL_PATH, backends.control)
            runner = await _standin_common.start_http_server(app, *control)
        await _standin_common.wait_for_stop_signal()
    finally:
        await backends.close()
        if runner is not None:
            await runner.cleanup()
        writer.close()
