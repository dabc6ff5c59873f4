"""A process with the listeners of a node, for tests of ``Deployment``.

It serves the operators' paths that a deployment calls, reads the VM list and
the store once as its settings say, and ends on SIGTERM.
"""

import asyncio
import signal
import typing

import aiohttp
from aiohttp import web
import fire

from filbertstep import codec
from filbertstep import settings

Fields = dict[str, typing.Any]


class FakeNode:
    """Keeps tickets in memory and accepts each one."""

    def __init__(self, row: settings.NodeSettings) -> None:
        self.row = row
        self.tickets: dict[int, Fields] = {}

    def answer(self, value: object, status: int = 200) -> web.Response:
        """Return a JSON answer."""
        return web.Response(body=codec.encode(value), status=status)

    def refuses(self, request: web.Request) -> bool:
        """Tell whether the operators' token is missing."""
        token = request.headers.get('Authorization', '')
        return token.removeprefix('Bearer ') not in self.row.operator_tokens

    async def status(self, request: web.Request) -> web.Response:
        """Show what the node sees of the platform."""
        if self.refuses(request):
            return self.answer({'kind': 'unauthorized'}, 401)
        urls = {
            'store': f'{self.row.store_url}/v1/kv/absent',
            'vm_list': f'{self.row.vm_list_url}'
            f'/v1/health/service/filbertstep?vm={self.row.vm}',
        }
        seen: Fields = {'ready': True, 'vm': self.row.vm}
        async with aiohttp.ClientSession() as session:
            for name, url in urls.items():
                async with session.get(url) as found:
                    seen[name] = found.status
        return self.answer(seen)

    async def submit(self, request: web.Request) -> web.Response:
        """Accept a ticket."""
        if self.refuses(request):
            return self.answer({'kind': 'unauthorized'}, 401)
        ticket: Fields = codec.decode(await request.read(), Fields).unwrap()
        if ticket['number'] != len(self.tickets) + 1:
            return self.answer({'kind': 'ticket_conflict'}, 409)
        self.tickets[ticket['number']] = ticket
        state = {'number': ticket['number'], 'state': 'committed'}
        return self.answer(state)

    async def state(self, request: web.Request) -> web.Response:
        """Show a ticket."""
        number = int(request.match_info['number'])
        if number not in self.tickets:
            return self.answer({'kind': 'not_found'}, 404)
        return self.answer({'number': number, 'state': 'accepted'})

    async def run(self) -> None:
        """Serve until SIGTERM."""
        app = web.Application()
        app.router.add_get('/v1/status', self.status)
        app.router.add_post('/v1/tickets', self.submit)
        app.router.add_get('/v1/tickets/{number}', self.state)
        runner = web.AppRunner(app)
        await runner.setup()
        for listener in (
            self.row.callers,
            self.row.peers,
            self.row.operators,
        ):
            await web.TCPSite(runner, listener.host, listener.port).start()
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        await stopped.wait()
        await runner.cleanup()


def main(settings_path: str) -> None:
    """Run a fake node."""
    asyncio.run(FakeNode(settings.load(settings_path).unwrap()).run())


if __name__ == '__main__':
    fire.Fire(lambda settings: main(settings))
