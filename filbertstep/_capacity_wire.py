"""Measurements of the bytes and time of peers' calls over HTTP."""

import asyncio
import typing

import aiohttp
import result
import uvloop

from filbertstep import _capacity_fit
from filbertstep import _http_peers
from filbertstep import _peer_server
from filbertstep import _web
from filbertstep import deployment
from filbertstep import errors
from filbertstep import metrics
from filbertstep import settings
from filbertstep import transport

PATH: typing.Final = '/peer/heartbeat'
TOKEN: typing.Final = '0123456789abcdef'  # noqa: S105
CALLS: typing.Final = 100


class CountingRelay:
    """A TCP relay that counts bytes in both directions."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.sent = 0
        self.answered = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        there, back = await asyncio.open_connection('127.0.0.1', self.target)

        async def pump_answers() -> None:
            while data := await there.read(65536):
                self.answered += len(data)
                writer.write(data)

        pumping = asyncio.create_task(pump_answers())
        try:
            while data := await reader.read(65536):
                self.sent += len(data)
                back.write(data)
        finally:
            back.close()
            await pumping
            writer.close()


async def answer(
    message: transport.Message,
) -> result.Result[transport.Message, errors.Failure]:
    """Answer with the message itself."""
    return result.Ok(message)


async def wire(payload: int) -> _capacity_fit.Values:
    """Measure calls whose bodies are a number of bytes."""
    server_port, relay_port = deployment.allocate_ports(2)
    listener = settings.Listener(
        '127.0.0.1', server_port, f'http://127.0.0.1:{server_port}', None, None
    )
    server = _peer_server.PeerServer({PATH: answer})
    runner = await _web.start_listener(
        server.make_application(TOKEN), listener, 1.0
    )
    counting = CountingRelay(server_port)
    relay = await asyncio.start_server(counting.serve, '127.0.0.1', relay_port)
    message = {'x': 'y' * (payload - 8)}
    direct = listener.url
    relayed = f'http://127.0.0.1:{relay_port}'
    urls = {'direct': direct, 'relayed': relayed}
    try:
        async with aiohttp.ClientSession() as session:
            peers = _http_peers.HttpPeers(
                session, TOKEN, urls.get, None, metrics.Metrics()
            )
            for name in urls:
                (await peers.call(name, PATH, message, 5.0)).unwrap()
            sent, answered = counting.sent, counting.answered
            (await peers.call('relayed', PATH, message, 5.0)).unwrap()
            watch = _capacity_fit.Stopwatch()
            for _ in range(CALLS):
                (await peers.call('direct', PATH, message, 5.0)).unwrap()
            spent = watch.us() / CALLS
    finally:
        relay.close()
        await runner.cleanup()
    return {
        'request_bytes': float(counting.sent - sent),
        'answer_bytes': float(counting.answered - answered),
        'cpu_us': spent,
    }


def measure_wire(size: int) -> _capacity_fit.Values:
    """Measure a call by the size of its bodies."""
    return uvloop.run(wire(size))


EXPERIMENTS: typing.Final = (
    _capacity_fit.Experiment(
        'peer_call',
        'bytes of the body',
        (256, 1024, 4096, 16384),
        (16, 32, 64, 128),
        1024,
        {
            'request_bytes': 'bytes with HTTP head',
            'answer_bytes': 'bytes with HTTP head',
            'cpu_us': 'us, both processes together',
        },
        measure_wire,
    ),
)
