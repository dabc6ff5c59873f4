"""Look-up client that uses little processor time itself."""

import asyncio
import typing

# Each connection sends its look-ups in sequence.
CONNECTIONS: typing.Final = 4

LOOKUP_PATH: typing.Final = '/v1/lookup?service=bookings&client=127.10.0.9'


async def send_lookups(url: str, count: int) -> int:
    """Send look-ups over a few persistent connections.

    Returns the size in bytes of the last answer's body.
    """
    host, _, port = url.removeprefix('http://').partition(':')
    request = (f'GET {LOOKUP_PATH} HTTP/1.1\r\nHost: {host}\r\n\r\n').encode()
    body_sizes = await asyncio.gather(
        *(
            send_on_connection(host, int(port), request, count // CONNECTIONS)
            for _ in range(CONNECTIONS)
        )
    )
    return body_sizes[0]


async def send_on_connection(
    host: str, port: int, request: bytes, count: int
) -> int:
    """Send a request ``count`` times in sequence on one connection.

    Returns the size in bytes of the last body.  Raises AssertionError on a
    status other than 200.
    """
    reader, writer = await asyncio.open_connection(host, port)
    body_bytes = 0
    try:
        for _ in range(count):
            writer.write(request)
            head = await reader.readuntil(b'\r\n\r\n')
            if not head.startswith(b'HTTP/1.1 200'):
                raise AssertionError(head.partition(b'\r\n')[0].decode())
            body_bytes = content_length(head)
            await reader.readexactly(body_bytes)
    finally:
        writer.close()
    return body_bytes


def content_length(head: bytes) -> int:
    """Return the Content-Length of a response head.

    Raises AssertionError if the head has none.
    """
    for line in head.lower().split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    raise AssertionError('the response has no Content-Length header')
