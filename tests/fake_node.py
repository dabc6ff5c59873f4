"""Fake node with the listeners of a real one, for tests of ``Deployment``.

Serves the operator API paths that a deployment calls, and exits on SIGTERM.
Each status request reads the VM list and the store at the URLs of the
settings, and so fails when these are unreachable.
"""

import asyncio
import signal
import typing

import aiohttp
from aiohttp import web
import fire

from filbertstep import codec
from filbertstep import settings

JsonObject = dict[str, typing.Any]


class FakeNode:
    """Operator API that keeps tickets in memory and accepts each one."""

    def __init__(self, node_settings: settings.NodeSettings) -> None:
        self.settings = node_settings
        self.tickets: dict[int, JsonObject] = {}

    def json_response(self, value: object, status: int = 200) -> web.Response:
        """Return a response with a JSON body."""
        return web.Response(body=codec.encode(value), status=status)

    def is_unauthorized(self, request: web.Request) -> bool:
        """Return whether the request lacks a valid operator token."""
        token = request.headers.get('Authorization', '')
        return (
            token.removeprefix('Bearer ') not in self.settings.operator_tokens
        )

    async def handle_status(self, request: web.Request) -> web.Response:
        """Return readiness and the HTTP statuses of the store and VM list."""
        if self.is_unauthorized(request):
            return self.json_response({'kind': 'unauthorized'}, 401)
        urls = {
            'store': f'{self.settings.store_url}/v1/kv/absent',
            'vm_list': f'{self.settings.vm_list_url}'
            f'/v1/health/service/filbertstep?vm={self.settings.vm}',
        }
        status: JsonObject = {'ready': True, 'vm': self.settings.vm}
        async with aiohttp.ClientSession() as session:
            for name, url in urls.items():
                async with session.get(url) as response:
                    status[name] = response.status
        return self.json_response(status)

    async def handle_submit(self, request: web.Request) -> web.Response:
        """Commit a ticket if its number is the next one."""
        if self.is_unauthorized(request):
            return self.json_response({'kind': 'unauthorized'}, 401)
        ticket: JsonObject = codec.decode(
            await request.read(), JsonObject
        ).unwrap()
        if ticket['number'] != len(self.tickets) + 1:
            return self.json_response({'kind': 'ticket_conflict'}, 409)
        self.tickets[ticket['number']] = ticket
        answer = {'number': ticket['number'], 'state': 'committed'}
        return self.json_response(answer)

    async def handle_ticket(self, request: web.Request) -> web.Response:
        """Return the state of a ticket, which is accepted if it exists."""
        number = int(request.match_info['number'])
        if number not in self.tickets:
            return self.json_response({'kind': 'not_found'}, 404)
        return self.json_response({'number': number, 'state': 'accepted'})

    async def run(self) -> None:
        """Serve the operator API on all listeners until SIGTERM."""
        app = web.Application()
        app.router.add_get('/v1/status', self.handle_status)
        app.router.add_post('/v1/tickets', self.handle_submit)
        app.router.add_get('/v1/tickets/{number}', self.handle_ticket)
        runner = web.AppRunner(app)
        await runner.setup()
        for listener in (
            self.settings.callers,
            self.settings.peers,
            self.settings.operators,
        ):
            await web.TCPSite(runner, listener.host, listener.port).start()
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        await stop_requested.wait()
        await runner.cleanup()


def main(settings_path: str) -> None:
    """Run a fake node with the settings in a file."""
    asyncio.run(FakeNode(settings.load(settings_path).unwrap()).run())


if __name__ == '__main__':
    fire.Fire(lambda settings: main(settings))
