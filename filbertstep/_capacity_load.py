"""Look-ups sent by a client that costs little itself."""

import asyncio
import typing

# Connections over which look-ups are sent, each one after the other.
CONNECTIONS: typing.Final = 4

LOOKUP_PATH: typing.Final = '/v1/lookup?service=bookings&client=127.10.0.9'


async def send(url: str, count: int) -> int:
    """Send GETs over few kept connections; return the last body's size."""
    host, _, port = url.removeprefix('http://').partition(':')
    request = (f'GET {LOOKUP_PATH} HTTP/1.1\r\nHost: {host}\r\n\r\n').encode()
    sizes = await asyncio.gather(
        *(
            send_on_one(host, int(port), request, count // CONNECTIONS)
            for _ in range(CONNECTIONS)
        )
    )
    return sizes[0]


async def send_on_one(host: str, port: int, request: bytes, count: int) -> int:
    """Send requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection(host, port)
    size = 0
    try:
        for _ in range(count):
            writer.write(request)
            head = await reader.readuntil(b'\r\n\r\n')
            if not head.startswith(b'HTTP/1.1 200'):
                raise AssertionError(head.partition(b'\r\n')[0].decode())
            size = content_length(head)
            await reader.readexactly(size)
    finally:
        writer.close()
    return size


def content_length(head: bytes) -> int:
    """Return the length of an answer's body."""
    for line in head.lower().split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    raise AssertionError('an answer without Content-Length')
