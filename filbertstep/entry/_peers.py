"""Requests between entry VMs: relayed store content, tokens and loads."""

import asyncio
import typing

import aiohttp
from aiohttp import web
import msgspec
import result

from filbertstep import _decimals
from filbertstep import _web
from filbertstep import clock
from filbertstep import codec
from filbertstep import errors
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _explain
from filbertstep.entry import _load_exchange
from filbertstep.entry import _log
from filbertstep.entry import _peer_errors
from filbertstep.entry import _report_exchange
from filbertstep.entry import _state
from filbertstep.entry import _sync

TOKENS_PATH: typing.Final = '/tokens'

# Smaller answers fit about one packet.  A full listing has hundreds of
# kilobytes of repeated names.
MIN_COMPRESSED_BYTES: typing.Final = 1400

# Tokens and the name of an account take a fraction of this.
MAX_TOKENS_BODY_BYTES: typing.Final = 16 * 1024

TOKEN_REQUEST_TIMEOUT_S: typing.Final = 0.3

PEERS_PER_TOKEN_REQUEST: typing.Final = 2

# Holders that are asked one after the other for one request.
MAX_HOLDERS_IN_TURN: typing.Final = 4

# After peers gave less than one token, no request for the account is sent
# during this time.
NO_TOKENS_BACKOFF_S: typing.Final = 0.4


class TokensDoc(typing.TypedDict):
    """Tokens of an account: requested in a request, given in an answer."""

    account: str
    tokens: float


class PeerListener:
    """HTTP handler for requests from peers."""

    def __init__(
        self,
        state: _state.State,
        sync: _sync.StoreSync,
        store: _contracts.StoreClient,
        time_source: clock.Clock,
        log: _log.DecisionLog,
        report_exchange: _report_exchange.ReportExchange | None = None,
        explainer: _explain.Explainer | None = None,
    ) -> None:
        self.state = state
        self.sync = sync
        self.store = store
        self.report_exchange = report_exchange
        self.explainer = explainer
        self.clock = time_source
        self.log = log
        self.lease_renewals: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == _sync.KNOWLEDGE_PATH:
            return self.handle_knowledge(request)
        if request.path == TOKENS_PATH:
            body = await read_body(request, MAX_TOKENS_BODY_BYTES)
            if body is None:
                return web.Response(status=413)
            return self.handle_tokens(body)
        if request.path == _load_exchange.LOADS_PATH:
            return self.handle_loads()
        if request.path == _report_exchange.REPORTS_PATH:
            body = await read_body(request, _report_exchange.MAX_BODY_BYTES)
            if body is None:
                return web.Response(status=413)
            return self.handle_reports(body)
        if request.path == _explain.EXPLAIN_PATH:
            body = await read_body(request, MAX_TOKENS_BODY_BYTES)
            if body is None:
                return web.Response(status=413)
            return self.handle_explain(body)
        return web.Response(status=404)

    def handle_knowledge(self, request: web.BaseRequest) -> web.Response:
        """Relay this VM's content, and renew the lease that the peer names."""
        doc = self.sync.relay_answer(
            _contracts.Position(
                parse_number(request, 'era'), parse_number(request, 'after')
            )
        )
        if doc is None:
            return web.Response(status=503)
        lease = _contracts.Lease(
            parse_number(request, 'lease_era'), parse_number(request, 'lease')
        )
        if lease.lease_id:
            task = asyncio.ensure_future(self.renew_peer_lease(lease))
            self.lease_renewals.add(task)
            task.add_done_callback(self.lease_renewals.discard)
        answer = _web.json_response(doc)
        if (answer.content_length or 0) > MIN_COMPRESSED_BYTES:
            # Compression keeps the slow links of small VMs free for answers to
            # callers.
            answer.enable_compression(web.ContentCoding.deflate)
        return answer

    async def renew_peer_lease(self, lease: _contracts.Lease) -> None:
        """Renew a peer's lease; if that fails, its next request retries."""
        renewed = await self.store.renew_lease(lease)
        if isinstance(renewed, result.Err):
            self.log.write(
                'relayed_lease_failed',
                era=lease.era,
                lease=lease.lease_id,
                fault=renewed.err_value.value,
            )

    def handle_loads(self) -> web.Response:
        """Tell a peer the loads of this VM's region."""
        return _web.json_response(
            _load_exchange.loads_answer(self.state.regions, self.clock.now())
        )

    def handle_reports(self, body: bytes) -> web.Response:
        """Take reports on servers from a peer, and tell it those of others."""
        exchange = self.report_exchange
        answer = exchange.collect(body) if exchange is not None else None
        if answer is None:
            return web.Response(status=400)
        return _web.json_response(answer)

    def handle_explain(self, body: bytes) -> web.Response:
        """Explain a decision to an operator."""
        explainer = self.explainer
        if explainer is None or not explainer.is_enabled():
            return web.Response(status=404)
        answer = explainer.answer(body)
        if isinstance(answer, errors.Failure):
            return _web.error_response(answer)
        return _web.json_response(answer)

    def handle_tokens(self, body: bytes) -> web.Response:
        """Give tokens of an account that this VM does not need to a peer."""
        decoded = codec.decode_open(body, TokensDoc)
        if isinstance(decoded, result.Err):
            return web.Response(status=400)
        doc = decoded.ok_value
        configuration = self.state.configuration
        account = (
            configuration.accounts.get(doc['account'])
            if configuration
            else None
        )
        given = 0.0
        if account is not None:
            given = self.state.quotas.donate(
                account, doc['tokens'], self.clock.now()
            )
        answer: TokensDoc = {'account': doc['account'], 'tokens': given}
        return _web.json_response(answer)


class TokenRequester:
    """Requests tokens from peers, one request at a time for each account."""

    def __init__(
        self,
        state: _state.State,
        session: aiohttp.ClientSession,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.state = state
        self.session = session
        self.clock = time_source
        self.log = log
        self.pending_requests: dict[str, asyncio.Task[float]] = {}
        self.backoff_until: dict[str, float] = {}
        self.request_count = 0

    async def request_tokens(self, account: steering.ClientAccount) -> float:
        """Return the number of tokens that peers gave.

        Concurrent calls for an account share one request.
        """
        if self.clock.now() < self.backoff_until.get(account.name, 0.0):
            return 0.0
        pending = self.pending_requests.get(account.name)
        if pending is None:
            pending = asyncio.ensure_future(self.request_from_holders(account))
            self.pending_requests[account.name] = pending
            pending.add_done_callback(
                lambda _: self.pending_requests.pop(account.name, None)
            )
        return await asyncio.shield(pending)

    async def request_from_holders(
        self, account: steering.ClientAccount
    ) -> float:
        """Ask some of the account's holders, different ones each time.

        A VM with few requests of the account asks one after the other, until
        it has the token for one request.
        """
        quotas = self.state.quotas
        wanted = quotas.tokens_to_request(account, self.clock.now())
        if quotas.has_frequent_requests(account, self.clock.now()):
            peers = self.holders_to_ask(account)
            given = await asyncio.gather(
                *(
                    self.request_from_peer(
                        peer, account.name, wanted / len(peers)
                    )
                    for peer in peers
                )
            )
            total = sum(given)
        else:
            total = 0.0
            for peer in self.holders_in_turn(account)[:MAX_HOLDERS_IN_TURN]:
                total += await self.request_from_peer(
                    peer, account.name, wanted - total
                )
                if total >= wanted:
                    break
        self.state.quotas.receive(account, total, self.clock.now())
        if total < min(1.0, wanted):
            self.backoff_until[account.name] = (
                self.clock.now() + NO_TOKENS_BACKOFF_S
            )
        self.log.write(
            'tokens', account=account.name, wanted=wanted, given=total
        )
        return total

    def live_holders(
        self, account: steering.ClientAccount
    ) -> tuple[list[str], list[str]]:
        """Return the peer addresses of the account's other live holders.

        The first list is of those in this region, the second of all others.
        """
        state = self.state
        holders = state.quotas.holders(account)
        own_region: list[str] = []
        other_regions: list[str] = []
        for member in state.members.live.values():
            if member.vm in holders and member.vm != state.settings.vm:
                is_near = member.region == state.settings.region
                (own_region if is_near else other_regions).append(member.peers)
        return own_region, other_regions

    def holders_to_ask(self, account: steering.ClientAccount) -> list[str]:
        """Return a few holders, which are asked at the same time.

        Bandwidth between regions is scarce: if both sides have holders, only
        every other request leaves the region.
        """
        own_region, other_regions = self.live_holders(account)
        peers = (
            own_region
            if own_region and self.request_count % 2 == 0
            else other_regions or own_region
        )
        self.request_count += 1
        count = min(PEERS_PER_TOKEN_REQUEST, len(peers))
        return [
            peers[(self.request_count + step) % len(peers)]
            for step in range(count)
        ]

    def holders_in_turn(self, account: steering.ClientAccount) -> list[str]:
        """Return the holders in the order in which to ask them.

        Those of this region come first; each request begins with another one.
        """
        self.request_count += 1
        return [
            address
            for addresses in self.live_holders(account)
            for address in rotated(addresses, self.request_count)
        ]

    async def request_from_peer(
        self, peer: str, account: str, wanted_tokens: float
    ) -> float:
        """Return the tokens that one peer gave, 0 after a failure."""
        doc: TokensDoc = {'account': account, 'tokens': wanted_tokens}
        try:
            async with self.session.post(
                f'http://{peer}{TOKENS_PATH}',
                data=msgspec.json.encode(doc),
                timeout=aiohttp.ClientTimeout(total=TOKEN_REQUEST_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return 0.0
                body = await response.read()
            answer = msgspec.json.decode(body, type=TokensDoc)
        except _peer_errors.PEER_ERRORS as error:
            self.log.write(
                'tokens_failed', peer=peer, error=type(error).__name__
            )
            return 0.0
        return max(0.0, min(answer['tokens'], wanted_tokens))


def rotated(addresses: list[str], count: int) -> list[str]:
    """Return the addresses from another one on, by a count."""
    if not addresses:
        return []
    start = count % len(addresses)
    return addresses[start:] + addresses[:start]


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """Return the body of a request, None if it is larger."""
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            return None
    return bytes(body)


def parse_number(request: web.BaseRequest, name: str) -> int:
    """Return a number from the query, 0 if it is missing or invalid."""
    return _decimals.parse_decimal(request.query.get(name, '')) or 0
