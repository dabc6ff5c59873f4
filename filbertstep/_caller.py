"""A small caller that fails over and repeats requests safely.

A request that must run at most once keeps its request id through all resends.
It gets a new id only when nothing under the old one can run any more: every
try was answered with 'not run', or the system said ``not_run``, which is
final for the id.
"""

import asyncio
import collections.abc
import random
import typing
import urllib.parse
import uuid

import aiohttp
import yarl

from filbertstep import _caller_connections
from filbertstep import _caller_state
from filbertstep import _tls
from filbertstep import codec
from filbertstep import errors
from filbertstep import lookup

# Tries of one request, look-ups not counted.
MAX_ATTEMPTS: typing.Final = 12

# Time limits in seconds of a request as a whole, of connecting, and of one
# look-up.
DEFAULT_DEADLINE_S: typing.Final = 20.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
LOOKUP_TIMEOUT_S: typing.Final = 2.0

# A try at a frozen VM must leave time for others.
ATTEMPT_TIMEOUT_S: typing.Final = 6.0

# Backoff in seconds between tries: full jitter up to a doubling bound.
INITIAL_BACKOFF_S: typing.Final = 0.05
MAX_BACKOFF_S: typing.Final = 2.0

# Time in seconds for which a VM that failed is tried after all others.
AVOID_FAILED_VM_S: typing.Final = 5.0

IDEMPOTENT_METHODS: typing.Final = frozenset({'GET', 'HEAD', 'OPTIONS'})

OUTCOME_PATH: typing.Final = '/v1/outcome'


class CallerClient:
    """Calls services through the entry VMs that look-ups name."""

    def __init__(
        self,
        lookup_urls: collections.abc.Sequence[str],
        api_key: str | None,
        deadline_s: float = DEFAULT_DEADLINE_S,
        max_attempts: int = MAX_ATTEMPTS,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
        seed: int | None = None,
        local_address: str | None = None,
        ca_file: str | None = None,
    ) -> None:
        self.tls_context = _tls.client_context(ca_file)
        self.local_address = local_address
        self.lookup_urls = [url.rstrip('/') for url in lookup_urls]
        self.api_key = api_key
        self.deadline_s = deadline_s
        self.max_attempts = max_attempts
        self.attempt_timeout_s = attempt_timeout_s
        self.random = random.Random(seed)
        self.session: aiohttp.ClientSession | None = None
        self.lookup_cache: dict[
            str, tuple[float, list[lookup.LookupVmDoc]]
        ] = {}
        # Time of the event loop until which a URL is tried last.
        self.avoid_until: dict[str, float] = {}
        self.lookup_count = 0

    async def __aenter__(self) -> 'CallerClient':
        """Open the client's connections."""
        local = None
        if self.local_address is not None:
            local = (self.local_address, 0)
        self.session = aiohttp.ClientSession(
            connector=_caller_connections.SingleAttemptConnector(
                limit=0,
                keepalive_timeout=_caller_connections.KEEPALIVE_TIMEOUT_S,
                local_addr=local,
                ssl=True if self.tls_context is None else self.tls_context,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the client's connections."""
        if self.session is not None:
            await self.session.close()

    async def call(
        self,
        service: str,
        method: str,
        target: str,
        headers: collections.abc.Sequence[tuple[str, str]] = (),
        body: bytes = b'',
        idempotent: bool | None = None,
        deadline_s: float | None = None,
        attempt_timeout_s: float | None = None,
    ) -> _caller_state.CallResult:
        """Run a request; ``target`` is its path with an encoded query.

        Without ``idempotent`` the method decides, as for GET.  A try should
        last longer than the service's deadline; giving up earlier keeps its
        slot in use until then.  Never raises for failures of the network.
        """
        if idempotent is None:
            idempotent = method in IDEMPOTENT_METHODS
        request = _caller_state.Request(
            service,
            method,
            target,
            tuple(headers),
            body,
            idempotent,
            self.attempt_timeout_s
            if attempt_timeout_s is None
            else attempt_timeout_s,
        )
        limit = self.deadline_s if deadline_s is None else deadline_s
        progress = _caller_state.CallProgress(
            request, asyncio.get_running_loop().time() + limit
        )
        try:
            async with asyncio.timeout_at(progress.deadline):
                return await self.run_attempts(progress)
        except TimeoutError:
            return _caller_state.build_result(progress)

    async def run_attempts(
        self, progress: _caller_state.CallProgress
    ) -> _caller_state.CallResult:
        """Try until an answer is final or the tries are used up."""
        backoff = INITIAL_BACKOFF_S
        while progress.attempts < self.max_attempts:
            vms = await self.current_vms(progress.request.service)
            vm = self.choose_vm(progress, vms)
            if vm is not None:
                reply = await self.attempt(progress, vm)
                if self.handle_response(progress, vm, reply):
                    return _caller_state.build_result(progress)
            await asyncio.sleep(self.retry_delay_s(progress, backoff))
            backoff = min(2 * backoff, MAX_BACKOFF_S)
        return _caller_state.build_result(progress)

    def retry_delay_s(
        self, progress: _caller_state.CallProgress, backoff: float
    ) -> float:
        """Return seconds to wait before the next try."""
        last = progress.last_response
        if last is None:
            return self.random.uniform(0, backoff)
        elsewhere = (errors.Retry.OTHER_VM, errors.Retry.FRESH_GRANT)
        if progress.attempts == 1 and last.retry() in elsewhere:
            # The failure of one VM says nothing about the next one.
            return 0.0
        return last.retry_after_s() + self.random.uniform(0, backoff)

    async def attempt(
        self, progress: _caller_state.CallProgress, vm: lookup.LookupVmDoc
    ) -> _caller_state.AttemptResponse:
        """Send a request, or ask for its outcome, once."""
        progress.attempts += 1
        request = progress.request
        if progress.request_id is None:
            progress.request_id = self.new_request_id(progress, vm)
            progress.request_ids.append(progress.request_id)
        if progress.ask_outcome:
            query = urllib.parse.urlencode({'id': progress.request_id})
            return await self.send_http(
                f'{vm["url"]}{OUTCOME_PATH}?{query}', 'GET', (), b''
            )
        # Until an answer comes, this try may run at any later time.
        before = progress.id_may_run
        progress.id_may_run = True
        reply = await self.send_http(
            f'{vm["url"]}{request.target}',
            request.method,
            (*request.headers, ('X-Request-Id', progress.request_id)),
            request.body,
            request.attempt_timeout_s,
        )
        if reply.ran() is errors.Ran.NO:
            progress.id_may_run = before
        return reply

    def new_request_id(
        self, progress: _caller_state.CallProgress, vm: lookup.LookupVmDoc
    ) -> str:
        """Return a request id of a VM's grant."""
        grant = progress.grant or vm['grant']
        progress.grant = None
        return f'{grant}~{uuid.UUID(int=self.random.getrandbits(128))}'

    def handle_response(
        self,
        progress: _caller_state.CallProgress,
        vm: lookup.LookupVmDoc,
        reply: _caller_state.AttemptResponse,
    ) -> bool:
        """Note an answer; return whether it ends the request."""
        asked_outcome = progress.ask_outcome
        progress.last_response = reply
        progress.ask_outcome = False
        kind = reply.kind()
        retry = reply.retry()
        if kind is errors.ErrorKind.NOT_RUN:
            # Final for the id: nothing under it runs any more.
            progress.id_may_run = False
            progress.request_id = None
            progress.grant = reply.header('x-grant')
            if progress.grant is None:
                self.lookup_cache.pop(progress.request.service, None)
            return False
        final = (None, errors.Retry.NEVER)
        if retry in final or reply.ran() is errors.Ran.YES:
            # A refusal of the question says nothing about the request.
            if asked_outcome and retry is errors.Retry.NEVER:
                progress.ask_outcome = True
                self.deprioritize(vm)
                return False
            if reply.ran() is errors.Ran.YES:
                progress.id_may_run = False
            return True
        if retry is errors.Retry.OTHER_VM:
            self.deprioritize(vm)
        if progress.request.idempotent:
            progress.request_id = None
            return False
        progress.ask_outcome = retry in (
            errors.Retry.ASK_OUTCOME,
            errors.Retry.IDEMPOTENT_ONLY,
        ) or (asked_outcome and reply.status != 0)
        if not progress.id_may_run and not progress.ask_outcome:
            progress.request_id = None
        return False

    def deprioritize(self, vm: lookup.LookupVmDoc) -> None:
        """Try a VM after the others for some time."""
        loop = asyncio.get_running_loop()
        self.avoid_until[vm['url']] = loop.time() + AVOID_FAILED_VM_S

    def choose_vm(
        self,
        progress: _caller_state.CallProgress,
        vms: list[lookup.LookupVmDoc],
    ) -> lookup.LookupVmDoc | None:
        """Return the VM for the next try.

        A new id goes to its owner, which alone may run it.
        """
        now = asyncio.get_running_loop().time()
        ordered = sorted(
            vms, key=lambda vm: self.avoid_until.get(vm['url'], 0.0) > now
        )
        if progress.grant is not None and progress.request_id is None:
            owner = progress.grant.partition('~')[0]
            for vm in ordered:
                if vm['vm'] == owner:
                    return vm
            progress.grant = None
        if progress.request_id is not None or not ordered:
            return ordered[0] if ordered else None
        return self.choose_weighted(ordered)

    def choose_weighted(
        self, ordered: list[lookup.LookupVmDoc]
    ) -> lookup.LookupVmDoc:
        """Return one of the VMs of the first one's region, by weight.

        With the first VM for all requests until the next look-up, a few large
        callers load one VM while its neighbours' slots are idle.
        """
        now = asyncio.get_running_loop().time()
        first = ordered[0]
        avoided = self.avoid_until.get(first['url'], 0.0) > now
        near = [
            vm
            for vm in ordered
            if vm['region'] == first['region']
            and (self.avoid_until.get(vm['url'], 0.0) > now) == avoided
        ]
        weights = [vm['weight'] for vm in near]
        return self.random.choices(near, weights)[0]

    async def current_vms(self, service: str) -> list[lookup.LookupVmDoc]:
        """Return the VMs of a look-up that is not older than its hold."""
        now = asyncio.get_running_loop().time()
        until, vms = self.lookup_cache.get(service, (0.0, []))
        if now < until:
            return vms
        urls = sorted(
            self.lookup_urls,
            key=lambda url: self.avoid_until.get(url, 0.0) > now,
        )
        for url in urls:
            found = await self.fetch_lookup(url, service)
            if found is not None:
                self.lookup_cache[service] = (
                    now + found['hold_s'],
                    found['vms'],
                )
                return found['vms']
            self.avoid_until[url] = now + AVOID_FAILED_VM_S
        # No VM answers look-ups; the former answer is better than none.
        return vms

    async def fetch_lookup(
        self, url: str, service: str
    ) -> lookup.LookupDoc | None:
        """Ask one VM; return None when it does not answer."""
        self.lookup_count += 1
        query = urllib.parse.urlencode({'service': service})
        reply = await self.send_http(
            f'{url}/v1/lookup?{query}', 'GET', (), b'', LOOKUP_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        return codec.decode(reply.body, lookup.LookupDoc).ok()

    async def send_http(
        self,
        url: str,
        method: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float | None = None,
    ) -> _caller_state.AttemptResponse:
        """Send one HTTP request and read the whole answer."""
        if timeout_s is None:
            timeout_s = self.attempt_timeout_s
        if self.session is None:
            raise RuntimeError('the client is used outside its context')
        sent = list(headers)
        if self.api_key is not None:
            sent.append(('Authorization', f'Bearer {self.api_key}'))
        token = _caller_connections.CONNECTED.set([])
        try:
            async with self.session.request(
                method,
                yarl.URL(url, encoded=True),
                headers=sent,
                data=body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                content = await response.read()
                pairs = tuple(response.headers.items())
                return _caller_state.AttemptResponse(
                    response.status, pairs, content
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return _caller_state.AttemptResponse(0, sent=False)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _caller_state.AttemptResponse(0)
        finally:
            _caller_connections.CONNECTED.reset(token)
