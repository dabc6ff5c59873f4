"""Stand-in for clients, after "Ingress" and "Requests"."""

import asyncio
import itertools
import random
import time
import typing

import aiohttp

from review.standins import machines
from review.standins import record as records

MAX_TTL_S: typing.Final = 5.0
RESOLVE_TIMEOUT_S: typing.Final = 1.0
CONNECT_TIMEOUT_S: typing.Final = 1.0

ids = itertools.count(1)


class Answer(typing.NamedTuple):
    """What a client saw of one request; ``status`` 0 means no answer."""

    request_id: str
    address: str
    status: int
    body: bytes
    sent_at: float
    ended_at: float


class Client:
    """A client in a zone, which opens a connection for each request."""

    def __init__(
        self,
        name: str,
        zone: str,
        directories: list[machines.Machine],
        record: records.Record,
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = machines.ZONES[zone]
        # Nearest first, three at most.
        self.directories = sorted(
            directories,
            key=lambda m: (m.zone != zone, m.region != self.region),
        )[:3]
        self.record = record
        self.addresses: list[str] = []
        self.failed: set[str] = set()
        self.valid_until = 0.0
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def resolve(self) -> None:
        """Ask where to connect, unless the last answer still counts."""
        if time.monotonic() < self.valid_until:
            return
        for machine in self.directories:
            url = (
                f'http://{machine.addresses["directory"]}/filbertstep/resolve'
            )
            query = {
                'name': 'shop.example',
                'region': self.region,
                'zone': self.zone,
            }
            try:
                async with self.session.get(
                    url,
                    params=query,
                    timeout=aiohttp.ClientTimeout(total=RESOLVE_TIMEOUT_S),
                ) as response:
                    if response.status != 200:
                        continue
                    doc = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if doc.get('addresses'):
                self.addresses = doc['addresses']
                self.failed.clear()
                self.valid_until = time.monotonic() + min(
                    MAX_TTL_S, doc['ttl_s']
                )
                return

    async def request(
        self,
        method: str,
        path: str,
        key: str | None,
        deadline_ms: int,
        body: bytes = b'',
        address: str = '',
        affinity: str = '',
    ) -> Answer:
        """Send one request over a new connection and return the answer.

        Without ``address``, the directory names the machine.
        """
        if not address:
            await self.resolve()
            usable = [a for a in self.addresses if a not in self.failed]
            if not usable:
                now = self.record.write('client_without_address', by=self.name)
                return Answer('', '', 0, b'', now, now)
            address = random.choice(usable)
        request_id = f'{self.name}-{next(ids):06d}'
        headers = {
            'Host': 'shop.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
        }
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        if affinity:
            headers['Cookie'] = f'X-Affinity-Key={affinity}'
        status, content, error = 0, b'', ''
        sent_at = self.record.write(
            'client_sent',
            id=request_id,
            method=method,
            path=path,
            to=address,
        )
        try:
            async with self.session.request(
                method,
                f'http://{address}{path}',
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(
                    total=deadline_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as failure:
            error = type(failure).__name__
            if isinstance(failure, aiohttp.ClientConnectorError):
                self.failed.add(address)
        ended_at = self.record.write(
            'client_answered',
            id=request_id,
            status=status,
            error=error,
            body=content[:60].decode(errors='replace'),
        )
        return Answer(request_id, address, status, content, sent_at, ended_at)


async def is_ready(
    session: aiohttp.ClientSession, machine: machines.Machine
) -> bool:
    """Return whether a machine answers the platform's check with 200."""
    url = f'http://{machine.addresses["ready"]}/filbertstep/ready'
    try:
        async with session.get(
            url, timeout=aiohttp.ClientTimeout(total=1.0)
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def wait_until_ready(
    session: aiohttp.ClientSession,
    all_machines: list[machines.Machine],
    time_s: float = 20.0,
) -> None:
    """Wait until all machines are ready; raise ``TimeoutError`` otherwise."""
    async with asyncio.timeout(time_s):
        for machine in all_machines:
            while not await is_ready(session, machine):
                await asyncio.sleep(0.1)
