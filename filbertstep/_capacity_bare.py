"""A process that loads a node's libraries and answers with fixed bytes.

Its memory is the floor of a node's, and its processor time for one answer is
what a look-up is compared with.
"""

import asyncio
import importlib
import typing

from aiohttp import web
import fire
import uvloop

# What a node loads besides aiohttp and uvloop.
LIBRARIES: typing.Final = (
    'logbook',
    'msgspec',
    'prometheus_client',
    'pyjson5',
    'result',
    'xxhash',
)


async def serve(port: int, answer_bytes: int) -> None:
    """Answer every request until the process is ended."""
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
    """Answer on a loopback port."""
    for name in LIBRARIES:
        importlib.import_module(name)
    uvloop.run(serve(port, answer_bytes))


if __name__ == '__main__':
    fire.Fire(command)
