"""An HTTP server that loads the libraries of a node and sends a fixed body.

Its memory is the lower bound of a node's memory.  Its processor time for an
answer is the baseline for that of a look-up.
"""

import asyncio
import importlib
import typing

from aiohttp import web
import fire
import uvloop

# Libraries that a node loads besides aiohttp and uvloop.
NODE_LIBRARIES: typing.Final = (
    'logbook',
    'msgspec',
    'prometheus_client',
    'pyjson5',
    'result',
    'xxhash',
)


async def serve(port: int, answer_bytes: int) -> None:
    """Answer every GET request until the process is terminated."""
    body = b'{' + b' ' * max(0, answer_bytes - 2) + b'}'

    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=body, content_type='application/json')

    app = web.Application()
    app.router.add_get('/{tail:.*}', answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


def command(port: int, answer_bytes: int) -> None:
    """Serve a fixed body on a loopback port."""
    for name in NODE_LIBRARIES:
        importlib.import_module(name)
    uvloop.run(serve(port, answer_bytes))


if __name__ == '__main__':
    fire.Fire(command)
