"""Tests of the caller, against entry VMs on loopback that follow a script."""

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

K = errors.ErrorKind
Ran = errors.Ran
KEY = 'k' * 43


class Step(typing.NamedTuple):
    """One answer of an entry VM; ``broken`` closes the connection instead."""

    status: int = 200
    kind: errors.ErrorKind | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    broken: bool = False
    hang: bool = False


def refused(kind: errors.ErrorKind, **headers: str) -> Step:
    """Return the answer of an error kind, as a node gives it."""
    row = errors.ANSWERS[kind]
    pairs = [('X-Error-Kind', kind.value), ('X-Ran', row.ran.value)]
    pairs.extend(
        (name.replace('_', '-'), value) for name, value in headers.items()
    )
    return Step(row.status, kind, tuple(pairs))


DONE = Step(201, headers=(('X-Ran', 'yes'),), body=b'booked')
BROKEN = Step(broken=True)


class Seen(typing.NamedTuple):
    """A request as an entry VM saw it."""

    vm: str
    method: str
    path: str
    request_id: str | None
    body: bytes


class Fleet:
    """Entry VMs and what they saw, in order."""

    def __init__(self) -> None:
        self.seen: list[Seen] = []
        self.scripts: dict[str, list[Step]] = {}
        self.urls: dict[str, str] = {}
        self.runners: dict[str, web.AppRunner] = {}
        self.keys: set[str | None] = set()
        self.lookups: list[str] = []
        self.hold_s = 2
        self.lookup_broken: set[str] = set()
        self.one_region = False

    async def start(self, vm: str) -> None:
        """Start an entry VM."""

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
        """Stop an entry VM; it refuses connections."""
        runner = self.runners.pop(vm, None)
        if runner is not None:
            await runner.cleanup()

    def lookup(self, vm: str) -> web.Response:
        """Answer a look-up with all VMs in the order of their names."""
        self.lookups.append(vm)
        if vm in self.lookup_broken:
            return web.Response(status=503)
        rows = [
            {
                'vm': name,
                'url': url,
                # Callers spread over VMs of one region; tests of the order
                # have each VM in a region of its own.
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
        """Return a grant of a VM."""
        return f'{owner}~i~backup~i~{minute}'

    async def serve(self, vm: str, request: web.Request) -> web.StreamResponse:
        """Take the next step of a VM's script."""
        self.keys.add(request.headers.get('Authorization'))
        if request.path == '/v1/lookup':
            return self.lookup(vm)
        request_id = request.headers.get('X-Request-Id')
        if request.path == '/v1/outcome':
            request_id = request.query['id']
        self.seen.append(
            Seen(
                vm,
                request.method,
                request.path_qs.partition('?id=')[0],
                request_id,
                await request.read(),
            )
        )
        step = self.scripts[vm].pop(0)
        if step.hang:
            await asyncio.sleep(30)
        if step.broken:
            assert request.transport is not None
            request.transport.close()
        return web.Response(
            status=step.status, headers=list(step.headers), body=step.body
        )


class CallerCase(unittest.IsolatedAsyncioTestCase):
    """Three entry VMs and a client."""

    async def asyncSetUp(self) -> None:
        """Start the VMs."""
        self.fleet = Fleet()
        for vm in ('vm-1', 'vm-2', 'vm-3'):
            await self.fleet.start(vm)
            self.addAsyncCleanup(self.fleet.stop, vm)

    def script(self, **steps: list[Step]) -> None:
        """Set the scripts of VMs, named ``vm_1`` and so on."""
        for vm, script in steps.items():
            self.fleet.scripts[vm.replace('_', '-')] = script

    async def call(
        self, method: str = 'POST', **options: typing.Any
    ) -> caller.CallResult:
        """Send one order with a client of its own."""
        client_options = {
            name: options.pop(name)
            for name in ('max_attempts', 'attempt_timeout_s')
            if name in options
        }
        urls = list(self.fleet.urls.values())
        async with caller.CallerClient(
            urls, KEY, seed=1, **client_options
        ) as client:
            return await client.call(
                'bookings', method, '/bookings/1?x=%20', body=b'b', **options
            )

    def ids(self) -> list[str | None]:
        """Return the request ids that the VMs saw."""
        return [seen.request_id for seen in self.fleet.seen]

    def vms(self) -> list[str]:
        """Return the VMs that saw a request."""
        return [seen.vm for seen in self.fleet.seen]


class TestAnswers(CallerCase):
    """Requests that are answered at once."""

    async def test_first_vm_answers(self) -> None:
        """Guards against needless tries and changed requests."""
        self.script(vm_1=[DONE])
        answer = await self.call()
        self.assertEqual(
            (201, b'booked', 1, None, Ran.YES),
            (
                answer.status,
                answer.body,
                answer.attempts,
                answer.kind,
                answer.ran,
            ),
        )
        seen = self.fleet.seen[0]
        self.assertEqual(('POST', b'b'), (seen.method, seen.body))
        self.assertEqual('/bookings/1?x=%20', seen.path)
        grant, _, suffix = str(seen.request_id).rpartition('~')
        self.assertEqual(self.fleet.grant('vm-1'), grant)
        self.assertEqual(36, len(suffix))
        self.assertEqual(answer.request_ids, (seen.request_id,))
        self.assertEqual({f'Bearer {KEY}'}, self.fleet.keys)

    async def test_final_refusals(self) -> None:
        """Guards against repeats that cannot succeed."""
        for kind, row in errors.ANSWERS.items():
            if row.retry is not errors.Retry.NEVER:
                continue
            with self.subTest(kind=kind):
                self.script(vm_1=[refused(kind)])
                answer = await self.call()
                self.assertEqual(1, answer.attempts)
                self.assertIs(kind, answer.kind)
                self.assertIs(Ran.NO, answer.ran)

    async def test_answers_of_backend_servers_are_final(self) -> None:
        """Guards against repeats after an answer that is no refusal."""
        self.script(vm_1=[Step(500, headers=(('X-Ran', 'yes'),))])
        answer = await self.call()
        self.assertEqual((500, 1), (answer.status, answer.attempts))
        self.assertIsNone(answer.kind)

    async def test_each_request_has_an_id_of_its_own(self) -> None:
        """Guards against two orders taken for one."""
        self.script(vm_1=[DONE, DONE])
        urls = list(self.fleet.urls.values())
        async with caller.CallerClient(urls, KEY) as client:
            await client.call('bookings', 'POST', '/bookings')
            await client.call('bookings', 'POST', '/bookings')
            self.assertEqual(1, client.lookup_count)
        self.assertEqual(2, len(set(self.ids())))


class TestSpread(CallerCase):
    """Requests go to all VMs of the nearest region."""

    async def test_equal_vms_share_the_requests(self) -> None:
        """Guards against callers that load one VM beside idle ones."""
        self.fleet.one_region = True
        for script in self.fleet.scripts.values():
            script.extend([DONE] * 60)
        urls = list(self.fleet.urls.values())
        async with caller.CallerClient(urls, KEY, seed=1) as client:
            for _ in range(60):
                answer = await client.call('bookings', 'POST', '/bookings/1')
                self.assertEqual(201, answer.status)
        counts = collections.Counter(self.vms())
        self.assertEqual(set(self.fleet.urls), set(counts))
        self.assertGreater(min(counts.values()), 60 / len(counts) / 3)


class TestFailover(CallerCase):
    """Dead and stopping VMs."""

    async def test_dead_vm(self) -> None:
        """Guards against an order that is lost with one VM."""
        await self.fleet.stop('vm-1')
        self.script(vm_2=[DONE])
        answer = await self.call()
        self.assertEqual(201, answer.status)
        self.assertEqual(['vm-2'], self.vms())
        self.assertTrue(str(self.ids()[0]).startswith('vm-2~'))

    async def test_vm_that_stops(self) -> None:
        """Guards against waiting for a VM that is going away."""
        for kind in (K.MOVED, K.NO_FRESH_CONFIG):
            with self.subTest(kind=kind):
                self.fleet.seen.clear()
                self.script(vm_1=[refused(kind)], vm_2=[DONE])
                answer = await self.call()
                self.assertEqual(201, answer.status)
                self.assertEqual(['vm-1', 'vm-2'], self.vms())
                owners = [str(one).partition('~')[0] for one in self.ids()]
                self.assertEqual(['vm-1', 'vm-2'], owners)

    async def test_lookup_fails_over(self) -> None:
        """Guards against a client that needs one certain VM."""
        self.fleet.lookup_broken = {'vm-1', 'vm-2'}
        self.script(vm_3=[DONE])
        self.assertEqual(201, (await self.call()).status)
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.fleet.lookups)

    async def test_frozen_vm(self) -> None:
        """Guards against a VM that accepts requests and never answers."""
        self.script(vm_1=[Step(hang=True)], vm_2=[DONE])
        answer = await self.call(attempt_timeout_s=0.2)
        self.assertEqual(201, answer.status)
        self.assertEqual(1, len(set(self.ids())))


class TestAtMostOnce(CallerCase):
    """When an order may get another id."""

    async def test_broken_connection_keeps_the_id(self) -> None:
        """Guards against a second booking after a lost answer."""
        self.script(vm_1=[BROKEN], vm_2=[BROKEN], vm_3=[DONE])
        answer = await self.call()
        self.assertEqual(201, answer.status)
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.vms())
        self.assertEqual(1, len(set(self.ids())))

    async def test_not_run_gets_a_fresh_id(self) -> None:
        """Guards against an id that was fenced being sent for ever."""
        fresh = self.fleet.grant('vm-3', 9)
        self.script(
            vm_1=[BROKEN],
            vm_2=[refused(K.NOT_RUN, X_Grant=fresh)],
            vm_3=[DONE],
        )
        answer = await self.call()
        self.assertEqual(201, answer.status)
        ids = self.ids()
        self.assertEqual(ids[0], ids[1])
        self.assertTrue(str(ids[2]).startswith(fresh + '~'))
        self.assertEqual(['vm-1', 'vm-2', 'vm-3'], self.vms())
        self.assertEqual((ids[0], ids[2]), answer.request_ids)

    async def test_refusal_after_a_broken_try_keeps_the_id(self) -> None:
        """Guards against 'not run' of a copy taken for that of the order."""
        self.script(
            vm_1=[BROKEN],
            vm_2=[refused(K.OVER_RATE), DONE],
        )
        answer = await self.call()
        self.assertEqual(201, answer.status)
        self.assertEqual(1, len(set(self.ids())))

    async def test_refusal_of_every_try_frees_the_id(self) -> None:
        """Guards against an id that outlives its grant while refused."""
        self.script(vm_1=[refused(K.OVERLOADED), refused(K.OVER_RATE), DONE])
        answer = await self.call()
        self.assertEqual(201, answer.status)
        self.assertEqual(3, len(set(self.ids())))

    async def test_unknown_outcome_is_asked_for(self) -> None:
        """Guards against an order that is sent again instead."""
        for kind in (
            K.OUTCOME_UNKNOWN,
            K.BACKEND_FAILED,
            K.DEADLINE_EXCEEDED,
            K.INTERNAL,
        ):
            with self.subTest(kind=kind):
                self.fleet.seen.clear()
                self.script(
                    vm_1=[
                        refused(kind),
                        refused(K.OUTCOME_UNKNOWN),
                        refused(K.OVER_RATE),
                        DONE,
                    ]
                )
                answer = await self.call()
                self.assertEqual((201, Ran.YES), (answer.status, answer.ran))
                self.assertEqual(
                    ['POST', 'GET', 'GET', 'GET'],
                    [seen.method for seen in self.fleet.seen],
                )
                self.assertEqual('/v1/outcome', self.fleet.seen[1].path)
                self.assertEqual(1, len(set(self.ids())))

    async def test_outcome_that_is_not_run(self) -> None:
        """Guards against an order that is given up though it can be sent."""
        self.script(
            vm_1=[refused(K.OUTCOME_UNKNOWN), refused(K.NOT_RUN), DONE]
        )
        answer = await self.call()
        self.assertEqual(201, answer.status)
        self.assertEqual(2, len(set(self.ids())))
        self.assertEqual(
            ['POST', 'GET', 'POST'], [seen.method for seen in self.fleet.seen]
        )

    async def test_unknown_to_the_end(self) -> None:
        """Guards against 'not run' claimed by the client itself."""
        self.script(
            vm_1=[BROKEN],
            vm_2=[refused(K.OVER_RATE)],
            vm_3=[],
        )
        answer = await self.call(max_attempts=2)
        self.assertEqual(2, answer.attempts)
        self.assertIs(Ran.UNKNOWN, answer.ran)

    async def test_deadline(self) -> None:
        """Guards against a client that waits for ever."""
        self.script(vm_1=[Step(hang=True)])
        answer = await self.call(deadline_s=0.3)
        self.assertIs(Ran.UNKNOWN, answer.ran)
        self.assertIs(K.DEADLINE_EXCEEDED, answer.kind)
        self.assertEqual(0, answer.status)

    async def test_nothing_was_sent(self) -> None:
        """Guards against 'unknown' when no VM could be reached."""
        for vm in list(self.fleet.runners):
            await self.fleet.stop(vm)
        answer = await self.call(deadline_s=0.3)
        self.assertIs(Ran.NO, answer.ran)
        self.assertEqual(0, answer.attempts)


class TestIdempotent(CallerCase):
    """Requests that may run more than once."""

    async def test_repeated_with_new_ids(self) -> None:
        """Guards against a read that waits for an outcome."""
        self.script(
            vm_1=[refused(K.BACKEND_FAILED), BROKEN],
            vm_2=[refused(K.DEADLINE_EXCEEDED), DONE],
        )
        answer = await self.call('GET')
        self.assertEqual((201, 4), (answer.status, answer.attempts))
        self.assertEqual(4, len(set(self.ids())))

    async def test_tries_are_bounded(self) -> None:
        """Guards against retries that multiply an overload."""
        self.script(vm_1=[refused(K.OVERLOADED)] * 5)
        answer = await self.call('GET', max_attempts=3)
        self.assertEqual(3, answer.attempts)
        self.assertEqual(2, len(self.fleet.scripts['vm-1']))
        self.assertIs(K.OVERLOADED, answer.kind)

    async def test_retry_after_is_kept(self) -> None:
        """Guards against a client that comes back too soon."""
        slow = refused(K.OVER_RATE, Retry_After='30')
        self.script(vm_1=[slow, DONE])
        answer = await self.call('GET', deadline_s=0.4)
        self.assertEqual(1, len(self.fleet.seen))
        self.assertIs(K.OVER_RATE, answer.kind)
        self.assertIs(Ran.NO, answer.ran)


class TestCommand(CallerCase):
    """The command line."""

    async def test_output(self) -> None:
        """Guards against a summary that scripts cannot read."""
        self.script(vm_1=[DONE])
        output = io.TextIOWrapper(io.BytesIO(), write_through=True)
        with contextlib.redirect_stdout(output):
            deferred = caller.command(
                'bookings',
                '/bookings',
                ','.join(self.fleet.urls.values()),
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
                'request_ids': self.ids(),
                'kind': None,
                'ran': 'yes',
            },
            json.loads(summary),
        )
        self.assertEqual(b'{"a": 1}', self.fleet.seen[0].body)
