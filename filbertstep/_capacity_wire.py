"""Measurements of the bytes and processor time of peer calls over HTTP."""

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

CALL_PATH: typing.Final = '/peer/heartbeat'
PEER_TOKEN: typing.Final = '0123456789abcdef'  # noqa: S105
MEASURED_CALLS: typing.Final = 100


class CountingRelay:
    """A TCP relay that counts the bytes in each direction."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.request_bytes = 0
        self.answer_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self.target_port
        )

        async def relay_answers() -> None:
            while data := await target_reader.read(65536):
                self.answer_bytes += len(data)
                writer.write(data)

        answer_task = asyncio.create_task(relay_answers())
        try:
            while data := await reader.read(65536):
                self.request_bytes += len(data)
                target_writer.write(data)
        finally:
            target_writer.close()
            await answer_task
            writer.close()


async def echo(
    message: transport.Message,
) -> result.Result[transport.Message, errors.Failure]:
    """Return the message as the answer."""
    return result.Ok(message)


async def run_peer_calls(body_bytes: int) -> _capacity_fit.FigureValues:
    """Measure calls whose request and answer bodies have ``body_bytes``."""
    server_port, relay_port = deployment.allocate_ports(2)
    listener = settings.Listener(
        '127.0.0.1', server_port, f'http://127.0.0.1:{server_port}', None, None
    )
    server = _peer_server.PeerServer({CALL_PATH: echo})
    runner = await _web.start_listener(
        server.make_application(PEER_TOKEN), listener, 1.0
    )
    counter = CountingRelay(server_port)
    relay = await asyncio.start_server(counter.serve, '127.0.0.1', relay_port)
    message = {'x': 'y' * (body_bytes - 8)}
    direct = listener.url
    relayed = f'http://127.0.0.1:{relay_port}'
    urls = {'direct': direct, 'relayed': relayed}
    try:
        async with aiohttp.ClientSession() as session:
            peers = _http_peers.HttpPeers(
                session, PEER_TOKEN, urls.get, None, metrics.Metrics()
            )
            for name in urls:
                (await peers.call(name, CALL_PATH, message, 5.0)).unwrap()
            request_bytes_before, answer_bytes_before = (
                counter.request_bytes,
                counter.answer_bytes,
            )
            (await peers.call('relayed', CALL_PATH, message, 5.0)).unwrap()
            timer = _capacity_fit.CpuTimer()
            for _ in range(MEASURED_CALLS):
                (await peers.call('direct', CALL_PATH, message, 5.0)).unwrap()
            call_us = timer.lap_us() / MEASURED_CALLS
    finally:
        relay.close()
        await runner.cleanup()
    return {
        'request_bytes': float(counter.request_bytes - request_bytes_before),
        'answer_bytes': float(counter.answer_bytes - answer_bytes_before),
        'cpu_us': call_us,
    }


def measure_peer_call(size: int) -> _capacity_fit.FigureValues:
    """Measure a call for a size of its bodies in bytes."""
    return uvloop.run(run_peer_calls(size))


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
        measure_peer_call,
    ),
)
