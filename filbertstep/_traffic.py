"""Open-loop load generator that acts as the callers of a deployment.

Requests of every client account arrive as a Poisson process whether or not
earlier ones have been answered, as those of independent users do.  Every
attempt is written to the history, which shows the checkers what callers sent
and received.
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

# Time limits of one request, including all its attempts.
INTERACTIVE_TIME_LIMIT_S: typing.Final = 8.0
DEFERRABLE_TIME_LIMIT_S: typing.Final = 20.0

DEFAULT_ATTEMPT_TIMEOUT_S: typing.Final = 6.0

# Added to the service's deadline to get the timeout of one attempt.
ATTEMPT_TIMEOUT_MARGIN_S: typing.Final = 2.0

# Share of non-idempotent requests in an interactive service; a deferrable one
# has none.
NON_IDEMPOTENT_SHARE: typing.Final = 0.2

# Share of all requests that go to a deferrable service.
DEFERRABLE_SHARE: typing.Final = 0.25

# Limit per traffic source, so that a deployment that does not answer cannot
# exhaust the memory of the machine.
MAX_IN_FLIGHT: typing.Final = 2000


class TrafficSource(typing.NamedTuple):
    """Callers of one account in one region.

    ``rate`` is in requests a second.  ``local_address`` is their source
    address, from which look-ups derive the region.
    """

    key: deployment.IssuedKey
    region: str
    rate: float
    local_address: str
    lookup_urls: tuple[str, ...]


class RequestKind(typing.NamedTuple):
    """One kind of request and its share of all requests.

    ``target`` is the path with the query.  ``time_limit_s`` covers all
    attempts of a request, ``attempt_timeout_s`` one of them.
    """

    service: str
    method: str
    target: str
    idempotent: bool
    time_limit_s: float
    share: float
    attempt_timeout_s: float = DEFAULT_ATTEMPT_TIMEOUT_S


def request_kinds(plan: deployment.Plan) -> list[RequestKind]:
    """Return the kinds of requests that the callers of a plan send."""
    kinds = []
    for name, service in plan['services'].items():
        deferrable = service['work'] == 'deferrable'
        share = DEFERRABLE_SHARE if deferrable else 1 - DEFERRABLE_SHARE
        time_limit_s = (
            DEFERRABLE_TIME_LIMIT_S if deferrable else INTERACTIVE_TIME_LIMIT_S
        )
        non_idempotent_share = 0.0 if deferrable else NON_IDEMPOTENT_SHARE
        attempt_timeout_s = (
            service['deadline_ms'] / 1000 + ATTEMPT_TIMEOUT_MARGIN_S
        )
        target = f'{service["path_prefix"]}/items'
        kinds.append(
            RequestKind(
                name,
                'GET',
                target,
                True,
                time_limit_s,
                share * (1 - non_idempotent_share),
                attempt_timeout_s,
            )
        )
        if non_idempotent_share:
            kinds.append(
                RequestKind(
                    name,
                    'POST',
                    target,
                    False,
                    time_limit_s,
                    share * non_idempotent_share,
                    attempt_timeout_s,
                )
            )
    return kinds


class RecordingClient(caller.CallerClient):
    """A caller that writes each attempt to the history."""

    def __init__(
        self,
        source: TrafficSource,
        history_writer: checking.HistoryWriter,
        seed: int,
    ):
        super().__init__(
            source.lookup_urls,
            source.key.secret,
            seed=seed,
            local_address=source.local_address,
        )
        self.source = source
        self.history_writer = history_writer

    async def attempt(
        self, progress: caller.CallProgress, vm: lookup.LookupVmDoc
    ) -> caller.AttemptResponse:
        """Make one attempt and record its start and its result."""
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
        started_at = loop.time()
        self.history_writer.write('sent', **fields)
        response = caller.AttemptResponse(0)
        kind = 'timeout'
        try:
            response = await super().attempt(progress, vm)
            kind = self.history_kind(response)
        except asyncio.CancelledError:
            self.history_writer.write(
                'gave_up', request_id=progress.request_id
            )
            raise
        finally:
            executed_digest = executed_body_digest(response)
            self.history_writer.write(
                'answered',
                **fields,
                status=response.status,
                kind=kind,
                ran=response.ran().value,
                complete=response.status != 0,
                answer_request_id=response.header('x-request-id') or '',
                answer_digest=executed_digest,
                answer_bytes=len(response.body),
                latency_s=loop.time() - started_at,
            )
        return response

    def history_kind(self, response: caller.AttemptResponse) -> str:
        """Return the error kind for the history, '' for a success."""
        if response.status == 0:
            return 'connection_lost' if response.sent else 'connect_failed'
        kind = response.kind()
        return '' if kind is None else kind.value


def executed_body_digest(response: caller.AttemptResponse) -> str:
    """Return the digest of the request body that the backend server reports.

    Returns '' if the response is not a success or contains no digest.
    """
    if response.status != 200:
        return ''
    try:
        answer = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return ''
    return str(answer.get('body_digest', '')) if answer else ''


class TrafficGenerator:
    """Generates the traffic of all callers of a deployment.

    Setting ``stopped`` ends the traffic early.
    """

    client_class: type[RecordingClient] = RecordingClient

    def __init__(
        self,
        deployed: deployment.Deployment,
        seed: int,
        kinds: collections.abc.Sequence[RequestKind] | None = None,
    ) -> None:
        self.deployed = deployed
        self.random = random.Random(seed)
        self.request_kinds = list(kinds or request_kinds(deployed.plan))
        self.history_writer = checking.HistoryWriter(
            deployed.history_path('callers'), 'callers', f'seed-{seed}'
        )
        self.stopped = False

    def sources(
        self,
        load: float,
        load_by_account: collections.abc.Mapping[str, float],
    ) -> list[TrafficSource]:
        """Return one source for each account in each region.

        ``load`` is the offered load of an account as a multiple of its rate;
        ``load_by_account`` overrides it for single accounts.  An account's
        load is split evenly between the regions.
        """
        plan = self.deployed.plan
        sources = []
        for key in self.deployed.keys:
            account = plan['client_accounts'][key.client_account]
            account_load = load_by_account.get(key.client_account, load)
            rate = account['rate'] * account_load / len(plan['regions'])
            sources.extend(self.sources_for_key(key, rate))
        return sources

    def sources_for_key(
        self, key: deployment.IssuedKey, rate: float
    ) -> list[TrafficSource]:
        """Return one source of a key for each region.

        ``rate`` is in requests a second for each region.
        """
        sources = []
        for region, region_plan in self.deployed.plan['regions'].items():
            network = region_plan['client_blocks'][0].rpartition('.')[0]
            urls = self.lookup_urls(region)
            sources.append(
                TrafficSource(key, region, rate, f'{network}.1', urls)
            )
        return sources

    def lookup_urls(self, region: str) -> tuple[str, ...]:
        """Return the look-up URLs of a region's callers, own region first."""
        vms = sorted(
            self.deployed.vms.values(),
            key=lambda vm: (vm.region != region, vm.name),
        )
        return tuple(self.deployed.node_urls[vm.name].callers for vm in vms)

    async def run(
        self,
        seconds: float,
        load: float,
        load_by_account: collections.abc.Mapping[str, float] | None = None,
    ) -> None:
        """Send traffic for some seconds, then wait for the last results.

        ``load`` and ``load_by_account`` are those of ``sources``.
        """
        sources = self.sources(load, load_by_account or {})
        await asyncio.gather(
            *(self.run_source(source, seconds) for source in sources)
        )

    async def run_with_key(
        self, key: deployment.IssuedKey, seconds: float, rate: float
    ) -> None:
        """Send traffic with one key, then wait for the last results.

        ``rate`` is in requests a second for each region.
        """
        await asyncio.gather(
            *(
                self.run_source(source, seconds)
                for source in self.sources_for_key(key, rate)
            )
        )

    async def run_source(self, source: TrafficSource, seconds: float) -> None:
        """Send the requests of one source, then wait for their results."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self.random.getrandbits(64))
        end_at = loop.time() + seconds
        in_flight: set[asyncio.Task[None]] = set()
        client = self.client_class(
            source, self.history_writer, rng.getrandbits(32)
        )
        async with client:
            send_at = loop.time()
            while source.rate > 0:
                send_at += rng.expovariate(source.rate)
                if send_at >= end_at or self.stopped:
                    break
                await asyncio.sleep(max(0.0, send_at - loop.time()))
                if len(in_flight) < MAX_IN_FLIGHT:
                    task = loop.create_task(self.request(client, rng))
                    in_flight.add(task)
                    task.add_done_callback(in_flight.discard)
            if in_flight:
                await asyncio.wait(in_flight)

    async def request(
        self, client: RecordingClient, rng: random.Random
    ) -> None:
        """Send one request of a kind drawn according to the shares."""
        kind = rng.choices(
            self.request_kinds, [kind.share for kind in self.request_kinds]
        )[0]
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
            attempt_timeout_s=kind.attempt_timeout_s,
        )

    def close(self) -> None:
        """Close the history file."""
        self.history_writer.close()
