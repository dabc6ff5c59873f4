"""Callers as the platform's pages describe them."""

import asyncio
import collections.abc
import random
import typing

import aiohttp

from filbertstep import _caller_connections
from tests.fleet_soak import _checks
from tests.fleet_soak import _history
from tests.fleet_soak import _world

# Mean time in seconds between two requests of one caller.
THINK_S: typing.Final = 0.25

# Time in seconds that a caller waits for an answer.
DEADLINE_S: typing.Final = 3.0

# Time limit in seconds of a look-up and of a new connection.
LOOKUP_S: typing.Final = 1.0
CONNECT_S: typing.Final = 1.0

# Requests on a connection until a caller picks another VM.
REUSES: typing.Final = 8

# Part of the callers that stay with a VM until its connection ends.
LOYAL_SHARE: typing.Final = 0.3

# Part of the requests of the account that stays below its rate, and of those
# with any key, withdrawn ones included.
MODEST_SHARE: typing.Final = 0.8
WITHDRAWN_SHARE: typing.Final = 0.15

# Objects that callers ask for.
OBJECTS: typing.Final = 20


Work = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Caller:
    """One caller with connections of its own."""

    def __init__(self, world: _world.World, number: int, seed: int) -> None:
        self.world = world
        self.random = random.Random(f'caller/{seed}/{number}')
        self.name = f'c{number}'
        self.zone = self.random.choice(list(_world.ZONES))
        self.loyal = self.random.random() < LOYAL_SHARE
        self.count = 0
        self.named: list[str] = []
        self.named_until = 0.0
        self.vm = ''
        self.uses = 0
        self.stopping = False
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Send requests until told to stop."""
        await self.with_session(self.go_on)

    async def with_session(self, work: Work) -> None:
        """Do work on connections of this caller's own."""
        connector = _caller_connections.SingleAttemptConnector(
            limit=0, keepalive_timeout=_caller_connections.KEEPALIVE_TIMEOUT_S
        )
        async with aiohttp.ClientSession(connector=connector) as session:
            self.session = session
            await work()

    async def go_on(self) -> None:
        """Send requests until told to stop."""
        while not self.stopping:
            await asyncio.sleep(self.random.expovariate(1 / THINK_S))
            await self.request()

    async def request(self) -> None:
        """Send one request, and once more where that is safe."""
        rng = self.random
        prefix = rng.choice(list(self.world.routes))
        _, idempotent = self.world.routes[prefix]
        key = self.choose_key()
        path = f'{prefix}{rng.randrange(OBJECTS)}'
        deadline = self.world.now() + DEADLINE_S
        for _ in range(2):
            done, retry_s = await self.attempt(path, key, idempotent, deadline)
            safe = idempotent or done.status in _checks.NOT_RUN
            if done.status in (200, 401, 404) or not safe:
                return
            left = deadline - self.world.now()
            if left < retry_s:
                return
            await asyncio.sleep(min(retry_s, left / 3))

    def choose_key(self) -> str:
        """Return a key; some callers go on with one that was withdrawn."""
        keys = self.world.in_force
        if self.random.random() < WITHDRAWN_SHARE:
            keys = self.world.keys
        modest = self.random.random() < MODEST_SHARE
        return self.random.choice(
            [
                key
                for key, account in keys.items()
                if (account == _checks.MODEST) == modest
            ]
            or list(self.world.keys)
        )

    async def attempt(
        self,
        path: str,
        key: str,
        idempotent: bool,
        deadline: float,
        poison: bool = False,
    ) -> tuple[_history.Answered, float]:
        """Send one attempt; return its end and Retry-After in seconds."""
        vm = await self.choose_vm()
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        left_s = max(0.05, deadline - self.world.now())
        sent = _history.Sent(
            self.world.now(),
            request_id,
            vm,
            self.world.keys[key],
            key,
            path,
            idempotent,
            left_s,
            poison,
        )
        self.world.history.sent[request_id] = sent
        token = _caller_connections.CONNECTED.set([])
        status, body, retry_s = 0, '', 0.0
        try:
            status, body, retry_s = await self.exchange(sent)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.vm = ''
        finally:
            _caller_connections.CONNECTED.reset(token)
            done = _history.Answered(
                self.world.now(),
                request_id,
                status,
                own=body.startswith(f'{request_id} '),
            )
            self.world.history.answered[request_id] = done
        return done, retry_s

    async def exchange(self, sent: _history.Sent) -> tuple[int, str, float]:
        """Return status, body and Retry-After of an HTTP exchange."""
        assert self.session is not None
        async with self.session.request(
            'GET' if sent.idempotent else 'POST',
            f'http://{sent.vm}{sent.path}',
            data=None if sent.idempotent else b'order',
            headers={
                'Host': _world.HOST,
                'X-Request-Id': sent.request_id,
                'X-Deadline-Ms': str(int(sent.deadline_s * 1000)),
                'Authorization': f'Bearer {sent.key}',
                'Cookie': f'X-Affinity-Key={sent.path}',
            },
            timeout=aiohttp.ClientTimeout(
                total=sent.deadline_s, connect=CONNECT_S
            ),
        ) as response:
            text = await response.text()
            retry = response.headers.get('Retry-After', '0')
            if response.status != 200:
                # Callers come back on a new connection.
                self.vm = ''
            return response.status, text, float(retry)

    async def choose_vm(self) -> str:
        """Return the VM for the next attempt."""
        now = self.world.now()
        if self.vm and self.loyal:
            return self.vm
        if now >= self.named_until:
            await self.look_up()
        self.uses += 1
        if self.vm not in self.named or self.uses > REUSES:
            self.vm = self.random.choice(self.named or self.all_vms())
            self.uses = 0
        return self.vm

    def all_vms(self) -> list[str]:
        """Return the addresses of all VMs."""
        return [vm.addresses['front'] for vm in self.world.vms]

    async def look_up(self) -> None:
        """Ask up to three VMs where to connect, the nearest first."""
        assert self.session is not None
        region = _world.ZONES[self.zone]
        nearest = sorted(
            self.world.vms,
            key=lambda vm: (
                vm.zone != self.zone,
                _world.ZONES[vm.zone] != region,
                self.random.random(),
            ),
        )
        for vm in nearest[:3]:
            try:
                async with self.session.get(
                    f'http://{vm.addresses["directory"]}/filbertstep/resolve',
                    params={
                        'name': _world.HOST,
                        'region': region,
                        'zone': self.zone,
                    },
                    timeout=aiohttp.ClientTimeout(total=LOOKUP_S),
                ) as response:
                    body = await response.json()
                self.named = body['addresses']
                self.named_until = self.world.now() + body['ttl_s']
                return
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                continue
