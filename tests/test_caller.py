"""Tests of the caller against fake entry VMs with scripted responses."""

import asyncio
import collections
import contextlib
import io
import json
import typing
import unittest

from aiohttp import web

from filbertstep import _command_line
from filbertstep import caller
from filbertstep import errors

ErrorKind = errors.ErrorKind
Ran = errors.Ran
KEY = 'k' * 43


class ScriptedResponse(typing.NamedTuple):
    """One response of an entry VM.

    With ``closes_connection``, the connection is closed without a response.
    With ``hangs``, the response is delayed by 30 s, longer than any deadline.
    """

    status: int = 200
    kind: errors.ErrorKind | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    closes_connection: bool = False
    hangs: bool = False


def error_response(kind: errors.ErrorKind, **headers: str) -> ScriptedResponse:
    """Return the response of a node for an error kind."""
    answer = errors.ANSWERS[kind]
    pairs = [('X-Error-Kind', kind.value), ('X-Ran', answer.ran.value)]
    pairs.extend(
        (name.replace('_', '-'), value) for name, value in headers.items()
    )
    return ScriptedResponse(answer.status, kind, tuple(pairs))


SUCCESS = ScriptedResponse(201, headers=(('X-Ran', 'yes'),), body=b'booked')
CONNECTION_LOST = ScriptedResponse(closes_connection=True)


class ReceivedRequest(typing.NamedTuple):
    """A request that an entry VM received."""

    vm: str
    method: str
    path: str
    request_id: str | None
    body: bytes


class FakeVms:
    """Fake entry VMs and the requests that they received, in order."""

    def __init__(self) -> None:
        self.requests: list[ReceivedRequest] = []
        self.scripts: dict[str, list[ScriptedResponse]] = {}
        self.urls: dict[str, str] = {}
        self.runners: dict[str, web.AppRunner] = {}
        self.authorizations: set[str | None] = set()
        self.lookups: list[str] = []
        self.hold_s = 2
        self.failing_lookups: set[str] = set()
        self.one_region = False

    async def start(self, vm: str) -> None:
        """Start an entry VM on a free port."""

        async def serve(request: web.Request) -> web.StreamResponse:
            return await self.serve(vm, request)

        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', serve)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        self.runners[vm] = runner
        self.urls[vm] = f'http://127.0.0.1:{port}'
        self.scripts[vm] = []

    async def stop(self, vm: str) -> None:
        """Stop an entry VM, which then refuses connections."""
        runner = self.runners.pop(vm, None)
        if runner is not None:
            await runner.cleanup()

    def lookup(self, vm: str) -> web.Response:
        """Answer a lookup with all VMs, sorted by name."""
        self.lookups.append(vm)
        if vm in self.failing_lookups:
            return web.Response(status=503)
        rows = [
            {
                'vm': name,
                'url': url,
                # Callers distribute requests over the VMs of one region.
                # Tests that need a fixed order put each VM in its own region.
                'region': 'hobart' if self.one_region else name,
                'grant': self.grant(name),
                'weight': 1,
            }
            for name, url in sorted(self.urls.items())
        ]
        return web.json_response(
            {'service': 'bookings', 'hold_s': self.hold_s, 'vms': rows}
        )

    def grant(self, owner: str, minute: int = 1) -> str:
        """Return a grant of a VM, issued in a certain minute."""
        return f'{owner}~i~backup~i~{minute}'

    async def serve(self, vm: str, request: web.Request) -> web.StreamResponse:
        """Record a request and send the next response of the VM's script."""
        self.authorizations.add(request.headers.get('Authorization'))
        if request.path == '/v1/lookup':
            return self.lookup(vm)
        request_id = request.headers.get('X-Request-Id')
        if request.path == '/v1/outcome':
            request_id = request.query['id']
        self.requests.append(
            ReceivedRequest(
                vm,
                request.method,
                request.path_qs.partition('?id=')[0],
                request_id,
                await request.read(),
            )
        )
        response = self.scripts[vm].pop(0)
        if response.hangs:
            await asyncio.sleep(30)
        if response.closes_connection:
            assert request.transport is not None
            request.transport.close()
        return web.Response(
            status=response.status,
            headers=list(response.headers),
            body=response.body,
        )


class CallerCase(unittest.IsolatedAsyncioTestCase):
    """Starts three fake entry VMs."""

    async def asyncSetUp(self) -> None:
        """Start the VMs."""
        self.fake_vms = FakeVms()
        for vm in ('vm-1', 'vm-2', 'vm-3'):
            await self.fake_vms.start(vm)
            self.addAsyncCleanup(self.fake_vms.stop, vm)

    def script(self, **scripts: list[ScriptedResponse]) -> None:
        """Set the responses of VMs; ``vm_1`` stands for the VM ``vm-1``."""
        for vm, script in scripts.items():
            self.fake_vms.scripts[vm.replace('_', '-')] = script

    async def call(
        self, method: str = 'POST', **options: typing.Any
    ) -> caller.CallResult:
        """Send one request with a new client."""
        client_options = {
            name: options.pop(name)
            for name in ('max_attempts', 'attempt_timeout_s')
            if name in options
        }
        urls = list(self.fake_vms.urls.values())
        async with caller.CallerClient(
            urls, KEY, seed=1, **client_options
        ) as client:
            return await client.call(
                'bookings', method, '/bookings/1?x=%20', body=b'b', **options
            )

    def request_ids(self) -> list[str | None]:
        """Return the ids of the received requests, in order."""
        return [request.request_id for request in self.fake_vms.requests]

    def contacted_vms(self) -> list[str]:
        """Return the VM that received each request, in order."""
        return [request.vm for request in self.fake_vms.requests]


class TestAnswers(CallerCase):
    """Requests for which the first response is final."""

    async def test_first_vm_answers(self) -> None:
        """Guards against unnecessary attempts and modified requests."""
        self.script(vm_1=[SUCCESS])
        call_result = await self.call()
        self.assertEqual(
            (201, b'booked', 1, None, Ran.YES),
            (
                call_result.status,
                call_result.body,
                call_result.attempts,
                call_result.kind,
                call_result.ran,
            ),
        )
        request = self.fake_vms.requests[0]
        self.assertEqual(('POST', b'b'), (request.method, request.body))
        self.assertEqual('/bookings/1?x=%20', request.path)
        grant, _, suffix = str(request.request_id).rpartition('~')
        self.assertEqual(self.fake_vms.grant('vm-1'), grant)
        self.assertEqual(36, len(suffix))
        self.assertEqual(call_result.request_ids, (request.request_id,))
        self.assertEqual({f'Bearer {KEY}'}, self.fake_vms.authorizations)

    async def test_final_refusals(self) -> None:
        """Guards against retries that cannot succeed."""
        for kind, answer in errors.ANSWERS.items():
            if answer.retry is not errors.Retry.NEVER:
                continue
            with self.subTest(kind=kind):
                self.script(vm_1=[error_response(kind)])
                call_result = await self.call()
                self.assertEqual(1, call_result.attempts)
                self.assertIs(kind, call_result.kind)
                self.assertIs(Ran.NO, call_result.ran)

    async def test_answers_of_backend_servers_are_final(self) -> None:
        """Guards against retries after an error status of a backend server."""
        self.script(vm_1=[ScriptedResponse(500, headers=(('X-Ran', 'yes'),))])
        call_result = await self.call()
        self.assertEqual((500, 1), (call_result.status, call_result.attempts))
        self.assertIsNone(call_result.kind)

    async def test_each_request_has_an_id_of_its_own(self) -> None:
        """Guards against two requests that are treated as one."""
        self.script(vm_1=[SUCCESS, SUCCESS])
        urls = list(self.fake_vms.urls.values())
        async with caller.CallerClient(urls, KEY) as client:
            await client.call('bookings', 'POST', '/bookings')
            await client.call('bookings', 'POST', '/bookings')
            self.assertEqual(1, client.lookup_count)
        self.assertEqual(2, len(set(self.request_ids())))


class TestDistribution(CallerCase):
    """Distribution of requests over the VMs of the nearest region."""

    async def test_equal_vms_share_the_requests(self) -> None:
        """Guards against callers that use one VM while others are idle."""
        self.fake_vms.one_region = True
        for script in self.fake_vms.scripts.values():
            script.extend([SUCCESS] * 60)
        urls = list(self.fake_vms.urls.values())
        async with caller.CallerClient(urls, KEY, seed=1) as client:
            for _ in range(60):
                call_result = await client.call(
                    'bookings', 'POST', '/bookings/1'
                )
                self.assertEqual(201, call_result.status)
        counts = collections.Counter(self.contacted_vms())
        self.assertEqual(set(self.fake_vms.urls), set(counts))
        self.assertGreater(min(counts.values()), 60 / len(counts) / 3)


class TestFailover(CallerCase):
    """Failover from VMs that are down, stopping or unresponsive."""

    async def test_unreachable_vm(self) -> None:
        """Guards against a request that fails because one VM is down."""
        await self.fake_vms.stop('vm-1')
        self.script(vm_2=[SUCCESS])
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        self.assertEqual(['vm-2'], self.contacted_vms())
        self.assertTrue(str(self.request_ids()[0]).startswith('vm-2~'))

    async def test_vm_that_stops(self) -> None:
        """Guards against retries at a VM that is stopping."""
        for kind in (ErrorKind.MOVED, ErrorKind.NO_FRESH_CONFIG):
            with self.subTest(kind=kind):
                self.fake_vms.requests.clear()
                self.script(vm_1=[error_response(kind)], vm_2=[SUCCESS])
                call_result = await self.call()
                self.assertEqual(201, call_result.status)
                self.assertEqual(['vm-1', 'vm-2'], self.contacted_vms())
                owners = [
                    str(request_id).partition('~')[0]
                    for request_id in self.request_ids()
                ]
                self.assertEqual(['vm-1', 'vm-2'], owners)

    async def test_lookup_fails_over(self) -> None:
        """Guards against a client that depends on a single VM for lookups."""
        self.fake_vms.failing_lookups = {'vm-1', 'vm-2'}
        self.script(vm_3=[SUCCESS])
        self.assertEqual(201, (await self.call()).status)
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.fake_vms.lookups)

    async def test_unresponsive_vm(self) -> None:
        """Guards against waiting forever for a VM that does not respond.

        The VM accepts the request but sends no response in time.
        """
        self.script(vm_1=[ScriptedResponse(hangs=True)], vm_2=[SUCCESS])
        call_result = await self.call(attempt_timeout_s=0.2)
        self.assertEqual(201, call_result.status)
        self.assertEqual(1, len(set(self.request_ids())))


class TestAtMostOnce(CallerCase):
    """When a non-idempotent request may get a new id."""

    async def test_broken_connection_keeps_the_id(self) -> None:
        """Guards against a request that runs twice after a lost response."""
        self.script(
            vm_1=[CONNECTION_LOST], vm_2=[CONNECTION_LOST], vm_3=[SUCCESS]
        )
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.contacted_vms())
        self.assertEqual(1, len(set(self.request_ids())))

    async def test_not_run_gets_a_fresh_id(self) -> None:
        """Guards against retries with an id that the system will not run."""
        fresh_grant = self.fake_vms.grant('vm-3', 9)
        self.script(
            vm_1=[CONNECTION_LOST],
            vm_2=[error_response(ErrorKind.NOT_RUN, X_Grant=fresh_grant)],
            vm_3=[SUCCESS],
        )
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        request_ids = self.request_ids()
        self.assertEqual(request_ids[0], request_ids[1])
        self.assertTrue(str(request_ids[2]).startswith(fresh_grant + '~'))
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.contacted_vms())
        self.assertEqual(
            (request_ids[0], request_ids[2]), call_result.request_ids
        )

    async def test_refusal_after_a_lost_response_keeps_the_id(self) -> None:
        """Guards against a new id while an earlier attempt may still run.

        The refusal says only that the second attempt did not run.
        """
        self.script(
            vm_1=[CONNECTION_LOST],
            vm_2=[error_response(ErrorKind.OVER_RATE), SUCCESS],
        )
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        self.assertEqual(1, len(set(self.request_ids())))

    async def test_refusal_of_every_attempt_allows_a_new_id(self) -> None:
        """Guards against retries with an id whose grant expires meanwhile."""
        self.script(
            vm_1=[
                error_response(ErrorKind.OVERLOADED),
                error_response(ErrorKind.OVER_RATE),
                SUCCESS,
            ]
        )
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        self.assertEqual(3, len(set(self.request_ids())))

    async def test_unknown_outcome_is_asked_for(self) -> None:
        """Guards against a resend where the outcome must be asked for."""
        for kind in (
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.BACKEND_FAILED,
            ErrorKind.DEADLINE_EXCEEDED,
            ErrorKind.INTERNAL,
        ):
            with self.subTest(kind=kind):
                self.fake_vms.requests.clear()
                self.script(
                    vm_1=[
                        error_response(kind),
                        error_response(ErrorKind.OUTCOME_UNKNOWN),
                        error_response(ErrorKind.OVER_RATE),
                        SUCCESS,
                    ]
                )
                call_result = await self.call()
                self.assertEqual(
                    (201, Ran.YES), (call_result.status, call_result.ran)
                )
                self.assertEqual(
                    ['POST', 'GET', 'GET', 'GET'],
                    [request.method for request in self.fake_vms.requests],
                )
                self.assertEqual('/v1/outcome', self.fake_vms.requests[1].path)
                self.assertEqual(1, len(set(self.request_ids())))

    async def test_outcome_that_is_not_run(self) -> None:
        """Guards against giving up after ``not_run``, which allows a retry."""
        self.script(
            vm_1=[
                error_response(ErrorKind.OUTCOME_UNKNOWN),
                error_response(ErrorKind.NOT_RUN),
                SUCCESS,
            ]
        )
        call_result = await self.call()
        self.assertEqual(201, call_result.status)
        self.assertEqual(2, len(set(self.request_ids())))
        self.assertEqual(
            ['POST', 'GET', 'POST'],
            [request.method for request in self.fake_vms.requests],
        )

    async def test_outcome_stays_unknown(self) -> None:
        """Guards against reporting 'not run' when an attempt may have run."""
        self.script(
            vm_1=[CONNECTION_LOST],
            vm_2=[error_response(ErrorKind.OVER_RATE)],
            vm_3=[],
        )
        call_result = await self.call(max_attempts=2)
        self.assertEqual(2, call_result.attempts)
        self.assertIs(Ran.UNKNOWN, call_result.ran)

    async def test_deadline(self) -> None:
        """Guards against a client that ignores its deadline."""
        self.script(vm_1=[ScriptedResponse(hangs=True)])
        call_result = await self.call(deadline_s=0.3)
        self.assertIs(Ran.UNKNOWN, call_result.ran)
        self.assertIs(ErrorKind.DEADLINE_EXCEEDED, call_result.kind)
        self.assertEqual(0, call_result.status)

    async def test_nothing_was_sent(self) -> None:
        """Guards against reporting 'unknown' when no VM was reachable."""
        for vm in list(self.fake_vms.runners):
            await self.fake_vms.stop(vm)
        call_result = await self.call(deadline_s=0.3)
        self.assertIs(Ran.NO, call_result.ran)
        self.assertEqual(0, call_result.attempts)


class TestIdempotent(CallerCase):
    """Idempotent requests, which may run more than once."""

    async def test_retried_with_new_ids(self) -> None:
        """Guards against asking for the outcome of an idempotent request."""
        self.script(
            vm_1=[error_response(ErrorKind.BACKEND_FAILED), CONNECTION_LOST],
            vm_2=[error_response(ErrorKind.DEADLINE_EXCEEDED), SUCCESS],
        )
        call_result = await self.call('GET')
        self.assertEqual((201, 4), (call_result.status, call_result.attempts))
        self.assertEqual(4, len(set(self.request_ids())))

    async def test_attempts_are_limited(self) -> None:
        """Guards against unlimited retries, which make an overload worse."""
        self.script(vm_1=[error_response(ErrorKind.OVERLOADED)] * 5)
        call_result = await self.call('GET', max_attempts=3)
        self.assertEqual(3, call_result.attempts)
        self.assertEqual(2, len(self.fake_vms.scripts['vm-1']))
        self.assertIs(ErrorKind.OVERLOADED, call_result.kind)

    async def test_retry_after_is_respected(self) -> None:
        """Guards against a client that ignores Retry-After."""
        over_rate = error_response(ErrorKind.OVER_RATE, Retry_After='30')
        self.script(vm_1=[over_rate, SUCCESS])
        call_result = await self.call('GET', deadline_s=0.4)
        self.assertEqual(1, len(self.fake_vms.requests))
        self.assertIs(ErrorKind.OVER_RATE, call_result.kind)
        self.assertIs(Ran.NO, call_result.ran)


class TestCommand(CallerCase):
    """The ``filbertstep-call`` command."""

    async def test_output(self) -> None:
        """Guards against a summary that scripts cannot parse."""
        self.script(vm_1=[SUCCESS])
        output = io.TextIOWrapper(io.BytesIO(), write_through=True)
        with contextlib.redirect_stdout(output):
            deferred = caller.command(
                'bookings',
                '/bookings',
                ','.join(self.fake_vms.urls.values()),
                method='POST',
                body='{"a": 1}',
            )
            code = await asyncio.to_thread(
                _command_line.run_deferred, deferred
            )
        self.assertEqual(0, code)
        output.seek(0)
        summary, body = output.read().split('\n', 1)
        self.assertEqual('booked', body)
        self.assertEqual(
            {
                'status': 201,
                'attempts': 1,
                'request_ids': self.request_ids(),
                'kind': None,
                'ran': 'yes',
            },
            json.loads(summary),
        )
        self.assertEqual(b'{"a": 1}', self.fake_vms.requests[0].body)
