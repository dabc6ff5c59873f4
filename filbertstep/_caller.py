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
DEADLINE_S: typing.Final = 20.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
LOOKUP_TIMEOUT_S: typing.Final = 2.0

# A try at a frozen VM must leave time for others.
TRY_TIMEOUT_S: typing.Final = 6.0

# Backoff in seconds between tries: full jitter up to a doubling bound.
FIRST_BACKOFF_S: typing.Final = 0.05
LONGEST_BACKOFF_S: typing.Final = 2.0

# Time in seconds for which a VM that failed is tried after all others.
AVOID_S: typing.Final = 5.0

IDEMPOTENT_METHODS: typing.Final = frozenset({'GET', 'HEAD', 'OPTIONS'})

OUTCOME_PATH: typing.Final = '/v1/outcome'


class CallerClient:
    """Calls services through the entry VMs that look-ups name."""

    def __init__(
        self,
        lookup_urls: collections.abc.Sequence[str],
        key: str | None,
        deadline_s: float = DEADLINE_S,
        max_attempts: int = MAX_ATTEMPTS,
        try_timeout_s: float = TRY_TIMEOUT_S,
        seed: int | None = None,
        local_address: str | None = None,
        ca_file: str | None = None,
    ) -> None:
        self.tls = _tls.client_context(ca_file)
        self.local_address = local_address
        self.lookup_urls = [url.rstrip('/') for url in lookup_urls]
        self.key = key
        self.deadline_s = deadline_s
        self.max_attempts = max_attempts
        self.try_timeout_s = try_timeout_s
        self.random = random.Random(seed)
        self.session: aiohttp.ClientSession | None = None
        self.cache: dict[str, tuple[float, list[lookup.LookupVmDoc]]] = {}
        # Time of the event loop until which a URL is tried last.
        self.avoid: dict[str, float] = {}
        self.lookups = 0

    async def __aenter__(self) -> 'CallerClient':
        """Open the client's connections."""
        local = None
        if self.local_address is not None:
            local = (self.local_address, 0)
        self.session = aiohttp.ClientSession(
            connector=_caller_connections.OnceConnector(
                limit=0,
                keepalive_timeout=_caller_connections.KEEPALIVE_S,
                local_addr=local,
                ssl=True if self.tls is None else self.tls,
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
    ) -> _caller_state.CallAnswer:
        """Run a request; ``target`` is its path with an encoded query.

        Without ``idempotent`` the method decides, as for GET.  Never raises
        for failures of the network.
        """
        if idempotent is None:
            idempotent = method in IDEMPOTENT_METHODS
        request = _caller_state.Request(
            service, method, target, tuple(headers), body, idempotent
        )
        limit = self.deadline_s if deadline_s is None else deadline_s
        progress = _caller_state.Progress(
            request, asyncio.get_running_loop().time() + limit
        )
        try:
            async with asyncio.timeout_at(progress.deadline):
                return await self.run(progress)
        except TimeoutError:
            return _caller_state.ended(progress)

    async def run(
        self, progress: _caller_state.Progress
    ) -> _caller_state.CallAnswer:
        """Try until an answer is final or the tries are used up."""
        backoff = FIRST_BACKOFF_S
        while progress.attempts < self.max_attempts:
            vms = await self.vms(progress.request.service)
            vm = self.choose(progress, vms)
            if vm is not None:
                reply = await self.attempt(progress, vm)
                if self.decide(progress, vm, reply):
                    return _caller_state.ended(progress)
            await asyncio.sleep(self.pause(progress, backoff))
            backoff = min(2 * backoff, LONGEST_BACKOFF_S)
        return _caller_state.ended(progress)

    def pause(self, progress: _caller_state.Progress, backoff: float) -> float:
        """Return seconds to wait before the next try."""
        last = progress.last
        if last is None:
            return self.random.uniform(0, backoff)
        elsewhere = (errors.Retry.OTHER_VM, errors.Retry.FRESH_GRANT)
        if progress.attempts == 1 and last.retry() in elsewhere:
            # The failure of one VM says nothing about the next one.
            return 0.0
        return last.retry_after_s() + self.random.uniform(0, backoff)

    async def attempt(
        self, progress: _caller_state.Progress, vm: lookup.LookupVmDoc
    ) -> _caller_state.Reply:
        """Send a request, or ask for its outcome, once."""
        progress.attempts += 1
        request = progress.request
        if progress.request_id is None:
            progress.request_id = self.new_id(progress, vm)
            progress.ids.append(progress.request_id)
        if progress.polling:
            query = urllib.parse.urlencode({'id': progress.request_id})
            return await self.send(
                f'{vm["url"]}{OUTCOME_PATH}?{query}', 'GET', (), b''
            )
        # Until an answer comes, this try may run at any later time.
        before = progress.open_id
        progress.open_id = True
        reply = await self.send(
            f'{vm["url"]}{request.target}',
            request.method,
            (*request.headers, ('X-Request-Id', progress.request_id)),
            request.body,
        )
        if reply.ran() is errors.Ran.NO:
            progress.open_id = before
        return reply

    def new_id(
        self, progress: _caller_state.Progress, vm: lookup.LookupVmDoc
    ) -> str:
        """Return a request id of a VM's grant."""
        grant = progress.grant or vm['grant']
        progress.grant = None
        return f'{grant}~{uuid.UUID(int=self.random.getrandbits(128))}'

    def decide(
        self,
        progress: _caller_state.Progress,
        vm: lookup.LookupVmDoc,
        reply: _caller_state.Reply,
    ) -> bool:
        """Note an answer; return whether it ends the request."""
        asked_outcome = progress.polling
        progress.last = reply
        progress.polling = False
        kind = reply.kind()
        retry = reply.retry()
        if kind is errors.ErrorKind.NOT_RUN:
            # Final for the id: nothing under it runs any more.
            progress.open_id = False
            progress.request_id = None
            progress.grant = reply.header('x-grant')
            if progress.grant is None:
                self.cache.pop(progress.request.service, None)
            return False
        final = (None, errors.Retry.NEVER)
        if retry in final or reply.ran() is errors.Ran.YES:
            # A refusal of the question says nothing about the request.
            if asked_outcome and retry is errors.Retry.NEVER:
                progress.polling = True
                self.shun(vm)
                return False
            if reply.ran() is errors.Ran.YES:
                progress.open_id = False
            return True
        if retry is errors.Retry.OTHER_VM:
            self.shun(vm)
        if progress.request.idempotent:
            progress.request_id = None
            return False
        progress.polling = retry in (
            errors.Retry.ASK_OUTCOME,
            errors.Retry.IDEMPOTENT_ONLY,
        ) or (asked_outcome and reply.status != 0)
        if not progress.open_id and not progress.polling:
            progress.request_id = None
        return False

    def shun(self, vm: lookup.LookupVmDoc) -> None:
        """Try a VM after the others for some time."""
        loop = asyncio.get_running_loop()
        self.avoid[vm['url']] = loop.time() + AVOID_S

    def choose(
        self, progress: _caller_state.Progress, vms: list[lookup.LookupVmDoc]
    ) -> lookup.LookupVmDoc | None:
        """Return the VM for the next try.

        A new id goes to its owner, which alone may run it.
        """
        now = asyncio.get_running_loop().time()
        ordered = sorted(
            vms, key=lambda vm: self.avoid.get(vm['url'], 0.0) > now
        )
        if progress.grant is not None and progress.request_id is None:
            owner = progress.grant.partition('~')[0]
            for vm in ordered:
                if vm['vm'] == owner:
                    return vm
            progress.grant = None
        return ordered[0] if ordered else None

    async def vms(self, service: str) -> list[lookup.LookupVmDoc]:
        """Return the VMs of a look-up that is not older than its hold."""
        now = asyncio.get_running_loop().time()
        until, vms = self.cache.get(service, (0.0, []))
        if now < until:
            return vms
        urls = sorted(
            self.lookup_urls, key=lambda url: self.avoid.get(url, 0.0) > now
        )
        for url in urls:
            found = await self.look_up(url, service)
            if found is not None:
                self.cache[service] = (now + found['hold_s'], found['vms'])
                return found['vms']
            self.avoid[url] = now + AVOID_S
        # No VM answers look-ups; the former answer is better than none.
        return vms

    async def look_up(self, url: str, service: str) -> lookup.LookupDoc | None:
        """Ask one VM; return None when it does not answer."""
        self.lookups += 1
        query = urllib.parse.urlencode({'service': service})
        reply = await self.send(
            f'{url}/v1/lookup?{query}', 'GET', (), b'', LOOKUP_TIMEOUT_S
        )
        if reply.status != 200:
            return None
        return codec.decode(reply.body, lookup.LookupDoc).ok()

    async def send(
        self,
        url: str,
        method: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float | None = None,
    ) -> _caller_state.Reply:
        """Send one HTTP request and read the whole answer."""
        if timeout_s is None:
            timeout_s = self.try_timeout_s
        if self.session is None:
            raise RuntimeError('the client is used outside its context')
        sent = list(headers)
        if self.key is not None:
            sent.append(('Authorization', f'Bearer {self.key}'))
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
                return _caller_state.Reply(response.status, pairs, content)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return _caller_state.Reply(0, sent=False)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return _caller_state.Reply(0)
        finally:
            _caller_connections.CONNECTED.reset(token)
