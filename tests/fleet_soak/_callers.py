"""Callers that behave as the platform's documentation describes."""

import asyncio
import collections.abc
import random
import typing

import aiohttp

from filbertstep import _caller_connections
from tests.fleet_soak import _checks
from tests.fleet_soak import _history
from tests.fleet_soak import _world

# Mean time between two requests of the same caller.
MEAN_REQUEST_INTERVAL_S: typing.Final = 0.25

# Fraction of the callers whose requests are rare and take long.  They keep
# their connection and stay with a VM until an attempt fails.
RARE_CALLER_FRACTION: typing.Final = 0.4
MEAN_RARE_INTERVAL_S: typing.Final = 1.5

# Time limit of a request, including retries.
REQUEST_DEADLINE_S: typing.Final = 3.0

LOOKUP_TIMEOUT_S: typing.Final = 1.0
CONNECT_TIMEOUT_S: typing.Final = 1.0

# Attempts to the same VM, after the first one, until a caller chooses again.
MAX_VM_REUSES: typing.Final = 8

# Fraction of the callers that stay with a VM until an attempt fails.
STICKY_CALLER_FRACTION: typing.Final = 0.3

# Fraction of the requests for the client account that stays below its rate
# limit.
WITHIN_LIMIT_FRACTION: typing.Final = 0.8

# Fraction of the requests whose key is one of all keys, withdrawn ones
# included.
ANY_KEY_FRACTION: typing.Final = 0.15

# Objects per route that callers request.
OBJECT_COUNT: typing.Final = 20


AsyncCallback = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Caller:
    """A caller with its own connections and random sequence."""

    def __init__(self, world: _world.World, number: int, seed: int) -> None:
        self.world = world
        self.rng = random.Random(f'caller/{seed}/{number}')
        self.name = f'c{number}'
        self.zone = self.rng.choice(list(_world.REGION_BY_ZONE))
        self.sticky = self.rng.random() < STICKY_CALLER_FRACTION
        self.rare = self.rng.random() < RARE_CALLER_FRACTION
        self.attempt_count = 0
        self.resolved_addresses: list[str] = []
        self.resolved_until = 0.0
        self.vm_address = ''
        self.vm_reuses = 0
        self.stopping = False
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Open a session and send requests until ``stopping`` is set."""
        await self.run_with_session(self.send_requests)

    async def run_with_session(self, callback: AsyncCallback) -> None:
        """Call a function while the session of this caller is open."""
        connector = _caller_connections.SingleAttemptConnector(
            limit=0, keepalive_timeout=_caller_connections.KEEPALIVE_TIMEOUT_S
        )
        async with aiohttp.ClientSession(connector=connector) as session:
            self.session = session
            await callback()

    async def send_requests(self) -> None:
        """Send requests until ``stopping`` is set."""
        mean_interval_s = (
            MEAN_RARE_INTERVAL_S if self.rare else MEAN_REQUEST_INTERVAL_S
        )
        while not self.stopping:
            await asyncio.sleep(self.rng.expovariate(1 / mean_interval_s))
            if not self.stopping:
                await self.send_request()

    async def send_request(self) -> None:
        """Send a request and retry it at most once, if a retry is safe.

        It is safe if the request is idempotent or was not executed.
        """
        rng = self.rng
        prefix = rng.choice(list(self.world.routes))
        _, idempotent = self.world.routes[prefix]
        key = self.choose_key()
        path = f'{prefix}{rng.randrange(OBJECT_COUNT)}'
        if self.rare:
            path = f'{prefix}{_world.LONG_OBJECT}'
        deadline = self.world.now() + REQUEST_DEADLINE_S
        for _ in range(2):
            result, retry_after_s = await self.send_attempt(
                path, key, idempotent, deadline
            )
            retry_is_safe = (
                idempotent or result.status in _checks.NOT_EXECUTED_STATUSES
            )
            if result.status in (200, 401, 404) or not retry_is_safe:
                return
            remaining_s = deadline - self.world.now()
            if remaining_s < retry_after_s:
                return
            await asyncio.sleep(min(retry_after_s, remaining_s / 3))

    def choose_key(self) -> str:
        """Return an API key; some requests use one that may be withdrawn."""
        keys = self.world.active_keys
        if self.rng.random() < ANY_KEY_FRACTION:
            keys = self.world.account_by_key
        within_limit = self.rng.random() < WITHIN_LIMIT_FRACTION
        return self.rng.choice(
            [
                key
                for key, account in keys.items()
                if (account == _checks.ACCOUNT_WITHIN_LIMIT) == within_limit
            ]
            or list(self.world.account_by_key)
        )

    async def send_attempt(
        self,
        path: str,
        key: str,
        idempotent: bool,
        deadline: float,
        poison: bool = False,
    ) -> tuple[_history.AttemptResult, float]:
        """Send a request once.

        Return its result and Retry-After in seconds.
        """
        vm_address = await self.choose_vm()
        self.attempt_count += 1
        request_id = f'{self.name}-{self.attempt_count}'
        remaining_s = max(0.05, deadline - self.world.now())
        attempt = _history.Attempt(
            self.world.now(),
            request_id,
            vm_address,
            self.world.account_by_key[key],
            key,
            path,
            idempotent,
            remaining_s,
            poison,
        )
        self.world.history.attempts[request_id] = attempt
        token = _caller_connections.CONNECTED.set([])
        status, body, retry_after_s = 0, '', 0.0
        try:
            status, body, retry_after_s = await self.exchange(attempt)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.vm_address = ''
        finally:
            _caller_connections.CONNECTED.reset(token)
            result = _history.AttemptResult(
                self.world.now(),
                request_id,
                status,
                matches_request=body.startswith(f'{request_id} '),
            )
            self.world.history.results[request_id] = result
        return result, retry_after_s

    async def exchange(
        self, attempt: _history.Attempt
    ) -> tuple[int, str, float]:
        """Send an HTTP request.

        Return status, body and Retry-After in seconds.
        """
        assert self.session is not None
        async with self.session.request(
            'GET' if attempt.idempotent else 'POST',
            f'http://{attempt.vm_address}{attempt.path}',
            data=None if attempt.idempotent else b'order',
            headers={
                'Host': _world.HOST,
                'X-Request-Id': attempt.request_id,
                'X-Deadline-Ms': str(int(attempt.deadline_s * 1000)),
                'Authorization': f'Bearer {attempt.key}',
                'Cookie': f'X-Affinity-Key={attempt.path}',
            },
            timeout=aiohttp.ClientTimeout(
                total=attempt.deadline_s, connect=CONNECT_TIMEOUT_S
            ),
        ) as response:
            text = await response.text()
            retry_after = response.headers.get('Retry-After', '0')
            if response.status != 200:
                # Callers reconnect after an error, possibly to another VM.
                self.vm_address = ''
            return response.status, text, float(retry_after)

    async def choose_vm(self) -> str:
        """Return the address of the VM for the next attempt."""
        now = self.world.now()
        if self.vm_address and (self.sticky or self.rare):
            return self.vm_address
        if now >= self.resolved_until:
            await self.resolve_addresses()
        self.vm_reuses += 1
        if (
            self.vm_address not in self.resolved_addresses
            or self.vm_reuses > MAX_VM_REUSES
        ):
            self.vm_address = self.rng.choice(
                self.resolved_addresses or self.all_vms()
            )
            self.vm_reuses = 0
        return self.vm_address

    def all_vms(self) -> list[str]:
        """Return the addresses at which all VMs accept requests."""
        return [vm.addresses['front'] for vm in self.world.vms]

    async def resolve_addresses(self) -> None:
        """Get addresses from up to three VMs, in order of distance.

        The first that responds determines them and how long they are valid.
        """
        assert self.session is not None
        region = _world.REGION_BY_ZONE[self.zone]
        vms_by_distance = sorted(
            self.world.vms,
            key=lambda vm: (
                vm.zone != self.zone,
                _world.REGION_BY_ZONE[vm.zone] != region,
                self.rng.random(),
            ),
        )
        for vm in vms_by_distance[:3]:
            try:
                async with self.session.get(
                    f'http://{vm.addresses["directory"]}/filbertstep/resolve',
                    params={
                        'name': _world.HOST,
                        'region': region,
                        'zone': self.zone,
                    },
                    timeout=aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S),
                ) as response:
                    body = await response.json()
                self.resolved_addresses = body['addresses']
                self.resolved_until = self.world.now() + body['ttl_s']
                return
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                continue
