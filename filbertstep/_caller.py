"""HTTP client that finds entry VMs by lookup, fails over and retries safely.

The request id is an idempotency key: the system runs a request at most once
per id.  A non-idempotent request keeps its id in all attempts.  It gets a new
id only if no attempt under the old id can run any more.  That is the case if
every attempt was answered with 'not run', or if the system returned the error
kind ``not_run``, which is final for the id.
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

# Requests for the outcome count as attempts, lookups do not.
MAX_ATTEMPTS: typing.Final = 12

# Time limit for a call with all its attempts.
DEFAULT_DEADLINE_S: typing.Final = 20.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
LOOKUP_TIMEOUT_S: typing.Final = 2.0

# Shorter than the deadline, so that an attempt at a VM that does not answer
# leaves time for attempts at other VMs.
ATTEMPT_TIMEOUT_S: typing.Final = 6.0

# The delay between attempts is random, from 0 to a bound that doubles after
# each attempt (full jitter).
INITIAL_BACKOFF_S: typing.Final = 0.05
MAX_BACKOFF_S: typing.Final = 2.0

# A VM that failed is tried only after all others for this time.
AVOID_FAILED_VM_S: typing.Final = 5.0

IDEMPOTENT_METHODS: typing.Final = frozenset({'GET', 'HEAD', 'OPTIONS'})

OUTCOME_PATH: typing.Final = '/v1/outcome'


class CallerClient:
    """Calls services through the entry VMs that lookups return.

    Must be used as an async context manager.  ``api_key`` is sent as bearer
    token if it is given.  ``local_address`` is the source address of the
    connections.  ``seed`` makes the random choices reproducible.
    """

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
        # Maps a service to the expiry time of its last lookup (event loop
        # clock) and the VMs that it returned.
        self.lookup_cache: dict[
            str, tuple[float, list[lookup.LookupVmDoc]]
        ] = {}
        # Maps a URL to the time (event loop clock) until which it is tried
        # after all others.
        self.avoid_until: dict[str, float] = {}
        self.lookup_count = 0

    async def __aenter__(self) -> 'CallerClient':
        """Create the HTTP session."""
        local_addr = None
        if self.local_address is not None:
            local_addr = (self.local_address, 0)
        self.session = aiohttp.ClientSession(
            connector=_caller_connections.SingleAttemptConnector(
                limit=0,
                keepalive_timeout=_caller_connections.KEEPALIVE_TIMEOUT_S,
                local_addr=local_addr,
                ssl=True if self.tls_context is None else self.tls_context,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the HTTP session with its connections."""
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
        """Send a request until its result is final, and return the result.

        Args:
            service: service to look up.
            method: HTTP method.
            target: path with the percent-encoded query.
            headers: additional request headers.
            body: request body.
            idempotent: whether the request may run more than once; by default
                only GET, HEAD and OPTIONS may.
            deadline_s: time limit in seconds for all attempts together.
            attempt_timeout_s: time limit in seconds for one attempt.  It
                should exceed the service's deadline, because an attempt that
                is abandoned earlier occupies its slot until that deadline.

        Network failures raise no exception; the result reports them.
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
        limit_s = self.deadline_s if deadline_s is None else deadline_s
        progress = _caller_state.CallProgress(
            request, asyncio.get_running_loop().time() + limit_s
        )
        try:
            async with asyncio.timeout_at(progress.deadline):
                return await self.run_attempts(progress)
        except TimeoutError:
            return _caller_state.build_result(progress)

    async def run_attempts(
        self, progress: _caller_state.CallProgress
    ) -> _caller_state.CallResult:
        """Make attempts until a response is final or none is left."""
        max_jitter_s = INITIAL_BACKOFF_S
        while progress.attempts < self.max_attempts:
            vms = await self.current_vms(progress.request.service)
            vm = self.choose_vm(progress, vms)
            if vm is not None:
                response = await self.attempt(progress, vm)
                if self.handle_response(progress, vm, response):
                    return _caller_state.build_result(progress)
            await asyncio.sleep(self.retry_delay_s(progress, max_jitter_s))
            max_jitter_s = min(2 * max_jitter_s, MAX_BACKOFF_S)
        return _caller_state.build_result(progress)

    def retry_delay_s(
        self, progress: _caller_state.CallProgress, max_jitter_s: float
    ) -> float:
        """Return the time in seconds to wait before the next attempt.

        ``max_jitter_s`` is the bound of the random part.
        """
        last_response = progress.last_response
        if last_response is None:
            return self.random.uniform(0, max_jitter_s)
        immediate_retry_advice = (
            errors.Retry.OTHER_VM,
            errors.Retry.FRESH_GRANT,
        )
        if (
            progress.attempts == 1
            and last_response.retry() in immediate_retry_advice
        ):
            # The failure of one VM says nothing about the next one, so the
            # first retry is immediate.
            return 0.0
        return last_response.retry_after_s() + self.random.uniform(
            0, max_jitter_s
        )

    async def attempt(
        self, progress: _caller_state.CallProgress, vm: lookup.LookupVmDoc
    ) -> _caller_state.AttemptResponse:
        """Send the request to a VM, or ask the VM for its outcome."""
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
        # Unless the response says that it did not run, this attempt may still
        # run at any later time.
        may_run_before = progress.id_may_run
        progress.id_may_run = True
        response = await self.send_http(
            f'{vm["url"]}{request.target}',
            request.method,
            (*request.headers, ('X-Request-Id', progress.request_id)),
            request.body,
            request.attempt_timeout_s,
        )
        if response.ran() is errors.Ran.NO:
            progress.id_may_run = may_run_before
        return response

    def new_request_id(
        self, progress: _caller_state.CallProgress, vm: lookup.LookupVmDoc
    ) -> str:
        """Return a request id: a grant and a random suffix.

        The grant is the one that came with ``not_run``, if any, otherwise
        that of the VM.
        """
        grant = progress.grant or vm['grant']
        progress.grant = None
        return f'{grant}~{uuid.UUID(int=self.random.getrandbits(128))}'

    def handle_response(
        self,
        progress: _caller_state.CallProgress,
        vm: lookup.LookupVmDoc,
        response: _caller_state.AttemptResponse,
    ) -> bool:
        """Update the progress; return whether the call has ended."""
        asked_outcome = progress.ask_outcome
        progress.last_response = response
        progress.ask_outcome = False
        kind = response.kind()
        retry = response.retry()
        if kind is errors.ErrorKind.NOT_RUN:
            # The system will not run any attempt under this id.
            progress.id_may_run = False
            progress.request_id = None
            progress.grant = response.header('x-grant')
            if progress.grant is None:
                self.lookup_cache.pop(progress.request.service, None)
            return False
        final_advice = (None, errors.Retry.NEVER)
        if retry in final_advice or response.ran() is errors.Ran.YES:
            # A rejected request for the outcome does not tell whether the
            # call itself ran.
            if asked_outcome and retry is errors.Retry.NEVER:
                progress.ask_outcome = True
                self.deprioritize(vm)
                return False
            if response.ran() is errors.Ran.YES:
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
        ) or (asked_outcome and response.status != 0)
        if not progress.id_may_run and not progress.ask_outcome:
            progress.request_id = None
        return False

    def deprioritize(self, vm: lookup.LookupVmDoc) -> None:
        """Move a VM behind all others for ``AVOID_FAILED_VM_S``."""
        loop = asyncio.get_running_loop()
        self.avoid_until[vm['url']] = loop.time() + AVOID_FAILED_VM_S

    def choose_vm(
        self,
        progress: _caller_state.CallProgress,
        vms: list[lookup.LookupVmDoc],
    ) -> lookup.LookupVmDoc | None:
        """Return the VM for the next attempt, or None if none is known.

        With a grant from a ``not_run`` response, this is the VM that owns the
        grant, because only the owner may run a new request id.
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
        """Return a random VM of the preferred VM's region, by weight.

        If all requests until the next lookup went to the preferred VM, a few
        large callers would overload it while the slots of other VMs in the
        region are idle.
        """
        now = asyncio.get_running_loop().time()
        first = ordered[0]
        first_deprioritized = self.avoid_until.get(first['url'], 0.0) > now
        candidates = [
            vm
            for vm in ordered
            if vm['region'] == first['region']
            and (self.avoid_until.get(vm['url'], 0.0) > now)
            == first_deprioritized
        ]
        weights = [vm['weight'] for vm in candidates]
        return self.random.choices(candidates, weights)[0]

    async def current_vms(self, service: str) -> list[lookup.LookupVmDoc]:
        """Return the VMs for a service, in order of preference.

        The last lookup is used for its ``hold_s`` seconds, then renewed.
        """
        now = asyncio.get_running_loop().time()
        expires_at, vms = self.lookup_cache.get(service, (0.0, []))
        if now < expires_at:
            return vms
        urls = sorted(
            self.lookup_urls,
            key=lambda url: self.avoid_until.get(url, 0.0) > now,
        )
        for url in urls:
            lookup_doc = await self.fetch_lookup(url, service)
            if lookup_doc is not None:
                self.lookup_cache[service] = (
                    now + lookup_doc['hold_s'],
                    lookup_doc['vms'],
                )
                return lookup_doc['vms']
            self.avoid_until[url] = now + AVOID_FAILED_VM_S
        # No VM answers lookups.  An outdated list is better than none.
        return vms

    async def fetch_lookup(
        self, url: str, service: str
    ) -> lookup.LookupDoc | None:
        """Do a lookup at one VM; return None if it fails."""
        self.lookup_count += 1
        query = urllib.parse.urlencode({'service': service})
        response = await self.send_http(
            f'{url}/v1/lookup?{query}', 'GET', (), b'', LOOKUP_TIMEOUT_S
        )
        if response.status != 200:
            return None
        return codec.decode(response.body, lookup.LookupDoc).ok()

    async def send_http(
        self,
        url: str,
        method: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float | None = None,
    ) -> _caller_state.AttemptResponse:
        """Send one HTTP request and read the whole response.

        A network failure returns a response with status 0.
        """
        if timeout_s is None:
            timeout_s = self.attempt_timeout_s
        if self.session is None:
            raise RuntimeError(
                'the client must be used as an async context manager'
            )
        all_headers = list(headers)
        if self.api_key is not None:
            all_headers.append(('Authorization', f'Bearer {self.api_key}'))
        reset_token = _caller_connections.CONNECTED.set([])
        try:
            async with self.session.request(
                method,
                yarl.URL(url, encoded=True),
                headers=all_headers,
                data=body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                content = await response.read()
                header_pairs = tuple(response.headers.items())
                return _caller_state.AttemptResponse(
                    response.status, header_pairs, content
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return _caller_state.AttemptResponse(0, sent=False)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _caller_state.AttemptResponse(0)
        finally:
            _caller_connections.CONNECTED.reset(reset_token)
