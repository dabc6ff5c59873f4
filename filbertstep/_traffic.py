"""Callers of a deployment: open-loop traffic of all client accounts.

Requests arrive as a Poisson process whether or not earlier ones have been
answered, because people do not wait for each other.  Every try is written to
the history, so that the checkers see what callers sent and got.
"""

import asyncio
import collections.abc
import hashlib
import json
import random
import typing

import msgspec

from filbertstep import caller
from filbertstep import checking
from filbertstep import deployment
from filbertstep import lookup

# Time limit in seconds of one request, resends included.
INTERACTIVE_LIMIT_S: typing.Final = 8.0
DEFERRABLE_LIMIT_S: typing.Final = 20.0

# Time limit in seconds of one try, where a kind names none.
TRY_S: typing.Final = 6.0

# Time in seconds that one try may take beyond the service's deadline.
TRY_MARGIN_S: typing.Final = 2.0

# Share of a service's requests that are not idempotent, where it has any.
ORDER_SHARE: typing.Final = 0.2

# Share of all requests that are of deferrable services.
DEFERRABLE_SHARE: typing.Final = 0.25

# Requests that one source may have under way, so that a deployment that does
# not answer cannot exhaust the memory of the machine.
MAX_UNDER_WAY: typing.Final = 2000


class TrafficSource(typing.NamedTuple):
    """Callers of one account in one region.

    ``rate`` in requests a second.  ``local_address`` is their address, by
    which look-ups know the region.
    """

    key: deployment.IssuedKey
    region: str
    rate: float
    local_address: str
    lookup_urls: tuple[str, ...]


class RequestKind(typing.NamedTuple):
    """One kind of request and its share of all requests."""

    service: str
    method: str
    target: str
    idempotent: bool
    time_limit_s: float
    share: float
    try_timeout_s: float = TRY_S


def request_kinds(plan: deployment.Plan) -> list[RequestKind]:
    """Return the kinds of requests of a plan's callers."""
    found = []
    for name, service in plan['services'].items():
        deferrable = service['work'] == 'deferrable'
        share = DEFERRABLE_SHARE if deferrable else 1 - DEFERRABLE_SHARE
        time_limit_s = (
            DEFERRABLE_LIMIT_S if deferrable else INTERACTIVE_LIMIT_S
        )
        orders = 0.0 if deferrable else ORDER_SHARE
        try_s = service['deadline_ms'] / 1000 + TRY_MARGIN_S
        target = f'{service["path_prefix"]}/items'
        found.append(
            RequestKind(
                name,
                'GET',
                target,
                True,
                time_limit_s,
                share * (1 - orders),
                try_s,
            )
        )
        if orders:
            found.append(
                RequestKind(
                    name,
                    'POST',
                    target,
                    False,
                    time_limit_s,
                    share * orders,
                    try_s,
                )
            )
    return found


class RecordingClient(caller.CallerClient):
    """A caller that writes each try to the history."""

    def __init__(
        self, source: TrafficSource, writer: checking.HistoryWriter, seed: int
    ):
        super().__init__(
            source.lookup_urls,
            source.key.secret,
            seed=seed,
            local_address=source.local_address,
        )
        self.source = source
        self.history_writer = writer

    async def attempt(
        self, progress: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> caller.AttemptResponse:
        """Record one try and its end."""
        if progress.request_id is None:
            progress.request_id = self.new_request_id(progress, vm)
            progress.request_ids.append(progress.request_id)
        request = progress.request
        fields = {
            'request_id': progress.request_id,
            'family': progress.request_ids[0],
            'account': self.source.key.client_account,
            'key_name': self.source.key.name,
            'vm': vm['vm'],
            'service': request.service,
            'method': request.method,
            'idempotent': request.idempotent,
            'body_digest': hashlib.sha256(request.body).hexdigest(),
        }
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.history_writer.write('sent', **fields)
        reply = caller.AttemptResponse(0)
        kind = 'timeout'
        try:
            reply = await super().attempt(progress, vm)
            kind = self.kind(reply)
        except asyncio.CancelledError:
            self.history_writer.write(
                'gave_up', request_id=progress.request_id
            )
            raise
        finally:
            said = echoed(reply)
            self.history_writer.write(
                'answered',
                **fields,
                status=reply.status,
                kind=kind,
                ran=reply.ran().value,
                complete=reply.status != 0,
                answer_request_id=reply.header('x-request-id') or '',
                answer_digest=said,
                answer_bytes=len(reply.body),
                latency_s=loop.time() - started,
            )
        return reply

    def kind(self, reply: caller.AttemptResponse) -> str:
        """Return the kind of a reply as the history has it."""
        if reply.status == 0:
            return 'connection_lost' if reply.sent else 'connect_failed'
        kind = reply.kind()
        return '' if kind is None else kind.value


def echoed(reply: caller.AttemptResponse) -> str:
    """Return the digest of the body that the backend server says it ran."""
    if reply.status != 200:
        return ''
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.DecodeError:
        return ''
    return str(answer.get('body_digest', '')) if answer else ''


class TrafficGenerator:
    """All callers of a deployment."""

    client_class: type[RecordingClient] = RecordingClient

    def __init__(
        self,
        deployed: deployment.Deployment,
        seed: int,
        mix: collections.abc.Sequence[RequestKind] | None = None,
    ) -> None:
        self.deployed = deployed
        self.random = random.Random(seed)
        self.mix = list(mix or request_kinds(deployed.plan))
        self.history_writer = checking.HistoryWriter(
            deployed.history_path('callers'), 'callers', f'seed-{seed}'
        )
        self.stopped = False

    def sources(
        self, load: float, factors: collections.abc.Mapping[str, float]
    ) -> list[TrafficSource]:
        """Return the sources: each account in each region.

        ``load`` is the share of its rate that an account offers, unless
        ``factors`` has another one for it.
        """
        plan = self.deployed.plan
        found = []
        for key in self.deployed.keys:
            account = plan['client_accounts'][key.client_account]
            share = factors.get(key.client_account, load)
            rate = account['rate'] * share / len(plan['regions'])
            found.extend(self.sources_for_key(key, rate))
        return found

    def sources_for_key(
        self, key: deployment.IssuedKey, rate: float
    ) -> list[TrafficSource]:
        """Return the sources of one key; ``rate`` is that of a region."""
        found = []
        for region, row in self.deployed.plan['regions'].items():
            block = row['client_blocks'][0].rpartition('.')[0]
            urls = self.lookup_urls(region)
            found.append(TrafficSource(key, region, rate, f'{block}.1', urls))
        return found

    def lookup_urls(self, region: str) -> tuple[str, ...]:
        """Return the VMs that callers of a region know for look-ups."""
        vms = sorted(
            self.deployed.vms.values(),
            key=lambda vm: (vm.region != region, vm.name),
        )
        return tuple(self.deployed.node_urls[vm.name].callers for vm in vms)

    async def run(
        self,
        seconds: float,
        load: float,
        factors: collections.abc.Mapping[str, float] | None = None,
    ) -> None:
        """Send traffic for some seconds and wait for its end."""
        sources = self.sources(load, factors or {})
        await asyncio.gather(
            *(self.run_source(source, seconds) for source in sources)
        )

    async def run_with_key(
        self, key: deployment.IssuedKey, seconds: float, rate: float
    ) -> None:
        """Send traffic with one key; ``rate`` is that of a region."""
        await asyncio.gather(
            *(
                self.run_source(source, seconds)
                for source in self.sources_for_key(key, rate)
            )
        )

    async def run_source(self, source: TrafficSource, seconds: float) -> None:
        """Send one source's requests."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self.random.getrandbits(64))
        end = loop.time() + seconds
        under_way: set[asyncio.Task[None]] = set()
        client = self.client_class(
            source, self.history_writer, rng.getrandbits(32)
        )
        async with client:
            at = loop.time()
            while source.rate > 0:
                at += rng.expovariate(source.rate)
                if at >= end or self.stopped:
                    break
                await asyncio.sleep(max(0.0, at - loop.time()))
                if len(under_way) < MAX_UNDER_WAY:
                    task = loop.create_task(self.request(client, rng))
                    under_way.add(task)
                    task.add_done_callback(under_way.discard)
            if under_way:
                await asyncio.wait(under_way)

    async def request(
        self, client: RecordingClient, rng: random.Random
    ) -> None:
        """Send one request of a random kind."""
        kind = rng.choices(self.mix, [kind.share for kind in self.mix])[0]
        body = b''
        if kind.method == 'POST':
            body = json.dumps({'order': rng.getrandbits(64)}).encode()
        await client.call(
            kind.service,
            kind.method,
            kind.target,
            body=body,
            idempotent=kind.idempotent,
            deadline_s=kind.time_limit_s,
            attempt_timeout_s=kind.try_timeout_s,
        )

    def close(self) -> None:
        """Close the history."""
        self.history_writer.close()
