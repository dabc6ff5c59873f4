"""Tests of the stand-in backend server."""

import asyncio
import hashlib
import json
import typing
import unittest

import aiohttp

from filbertstep import _standin_backend
from filbertstep import _standin_faults
from filbertstep import _standin_fleet
from filbertstep import _standin_load
from filbertstep import _standin_runs
from tests import standin_case

SECRET = 'fbk-0123456789abcdef'


class SecretCase(typing.NamedTuple):
    """A request and whether a key is in it."""

    name: str
    path: str
    headers: dict[str, str]
    body: bytes
    seen: bool


SECRET_CASES = [
    SecretCase('none', '/x?q=1', {'X-A': 'b'}, b'body', False),
    SecretCase('prefix of another', '/x?q=fbk', {}, b'fb k-', False),
    SecretCase('header', '/x', {'X-A': f'Bearer {SECRET}'}, b'', True),
    SecretCase('header name', '/x', {SECRET: '1'}, b'', True),
    SecretCase('cookie', '/x', {'Cookie': f'k={SECRET}'}, b'', True),
    SecretCase('query', f'/x?k={SECRET}', {}, b'', True),
    SecretCase('encoded query', '/x?k=%66bk%2D01', {}, b'', True),
    SecretCase('encoded twice', '/x?k=fbk%252D01', {}, b'', True),
    SecretCase('path', f'/x/{SECRET}/y', {}, b'', True),
    SecretCase('body', '/x', {}, f'{{"k": "{SECRET}"}}'.encode(), True),
    SecretCase('upper case', '/x', {'X-A': SECRET.upper()}, b'', True),
]


class TestBackend(standin_case.StandinCase):
    """One server over HTTP; two servers in this process."""

    async def asyncSetUp(self) -> None:
        """Serve two servers."""
        await super().asyncSetUp()
        docs: list[_standin_faults.ServerDoc] = [
            {
                'name': name,
                'service': 'bookings',
                'region': 'north',
                'host': '127.0.0.1',
                'port': 0,
            }
            for name in ('b-1', 'b-2')
        ]
        faults: _standin_faults.ServerFaults = {
            **_standin_faults.DEFAULT_FAULTS,
            'slots': 1,
            'queue': 1,
            'mean_ms': 1.0,
        }
        self.fleet = _standin_fleet.Backends(
            docs, faults, 1, 'fbk-', self.writer
        )
        self.addAsyncCleanup(self.fleet.close)
        self.server = await self.fleet.start('b-1')
        self.other = await self.fleet.start('b-2')
        self.url = self.url_of(self.server)

    def url_of(self, server: _standin_backend.BackendServer) -> str:
        """Return where a server listens."""
        assert server.runner is not None
        return f'http://127.0.0.1:{server.runner.addresses[0][1]}'

    async def until_running(self, count: int = 1) -> None:
        """Wait until some requests run."""
        async with asyncio.timeout(5):
            while self.server.slots.running < count:
                await asyncio.sleep(0.001)

    def run_long(self, query: str = '') -> asyncio.Task[standin_case.Answer]:
        """Start a request that runs until it is cancelled."""
        return asyncio.create_task(self.call('GET', f'/x?run_ms=20000{query}'))

    async def end(self, task: asyncio.Task[typing.Any]) -> None:
        """Cancel a request and wait until its slot is free."""
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(5):
            while self.server.slots.running:
                await asyncio.sleep(0.001)

    async def test_answer_says_what_ran(self) -> None:
        """Guards against answers that cannot be matched with requests."""
        answer = await self.call(
            'POST', '/x?bytes=500', b'body', {'X-Request-Id': 'r-1'}
        )
        self.assertEqual('r-1', answer.headers['X-Request-Id'])
        self.assertEqual(500, len(answer.body))
        content = answer.json()
        self.assertEqual('r-1', content['request_id'])
        self.assertEqual('b-1', content['server'])
        digest = hashlib.sha256(b'body').hexdigest()
        self.assertEqual(digest, content['body_digest'])
        begin, end = self.events('begin', 'end')
        self.assertEqual((1, 0), (begin['running'], end['running']))
        self.assertEqual(500, end['answer_bytes'])
        self.assertEqual(digest, begin['body_digest'])

    async def test_full_server_queues_then_sheds(self) -> None:
        """Guards against a server that runs more than its slots."""
        first = self.run_long()
        await self.until_running()
        second = asyncio.create_task(self.call('GET', '/x'))
        async with asyncio.timeout(5):
            while not self.server.slots.waiting:
                await asyncio.sleep(0.001)
        third = await self.call('GET', '/x')
        self.assertEqual(503, third.status)
        self.assertEqual('true', third.headers['X-Not-Run'])
        first.cancel()
        self.assertEqual(200, (await second).status)
        names = [event['event'] for event in self.events()]
        self.assertEqual(
            ['begin', 'queued', 'shed', 'cancel', 'begin', 'end'], names[2:]
        )

    async def test_cancellation_frees_the_slot(self) -> None:
        """Guards against work for a caller that has left."""
        task = self.run_long()
        await self.until_running()
        await self.end(task)
        self.assertEqual(1, len(self.events('cancel')))
        self.assertEqual(200, (await self.call('GET', '/x')).status)

    async def test_deadline_ends_the_run(self) -> None:
        """Guards against a run that outlasts its deadline."""
        answer = await self.call(
            'GET',
            '/x?run_ms=20000',
            headers={'X-Deadline-Ms': '30', 'X-Request-Id': 'r'},
        )
        self.assertEqual(504, answer.status)
        self.assertEqual('r', answer.headers['X-Request-Id'])
        self.assertEqual(1, len(self.events('deadline')))
        self.assertEqual(0, self.server.slots.running)

    async def test_deadline_in_the_queue_is_not_run(self) -> None:
        """Guards against a false "not run", or a run after a deadline."""
        task = self.run_long()
        await self.until_running()
        answer = await self.call('GET', '/x', headers={'X-Deadline-Ms': '30'})
        self.assertEqual('true', answer.headers['X-Not-Run'])
        await self.end(task)
        self.assertEqual(1, len(self.events('begin')))

    async def test_stream(self) -> None:
        """Guards against a streamed answer that loses bytes."""
        answer = await self.call('GET', '/x?stream_ms=20&bytes=1000')
        self.assertEqual(1000, len(answer.body))
        self.assertEqual('b-1', answer.json()['server'])
        self.assertEqual(1000, self.events('end')[0]['answer_bytes'])

    async def test_health_and_drain(self) -> None:
        """Guards against a drain that a prober or a forwarder cannot see."""
        task = self.run_long()
        await self.until_running()
        answer = await self.call('GET', '/healthz')
        self.assertEqual(200, answer.status)
        self.assertEqual(1.0, self.load(answer)['application_utilization'])
        await self.control(reported_load=0.25)
        answer = await self.call('GET', '/healthz')
        self.assertEqual(0.25, self.load(answer)['application_utilization'])
        await self.end(task)
        await self.control(draining=True)
        answer = await self.call('GET', '/healthz')
        self.assertEqual(503, answer.status)
        answer = await self.call('GET', '/x')
        self.assertEqual('true', answer.headers['X-Draining'])
        await self.control(draining=False, healthz_status=0)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/healthz')
        states = [
            event['state']
            for event in self.events('server_state')
            if event['server'] == 'b-1'
        ]
        self.assertEqual(['serving', 'draining', 'serving'], states)

    def load(self, answer: standin_case.Answer) -> dict[str, float]:
        """Return the load of an answer's header."""
        form, _, text = answer.headers['endpoint-load-metrics'].partition(' ')
        self.assertEqual('JSON', form)
        loaded: dict[str, float] = json.loads(text)
        return loaded

    async def test_crossed_answer(self) -> None:
        """Guards against a fault that never happens."""
        await self.call('GET', '/x', headers={'X-Request-Id': 'first'})
        await self.control(crossed_probability=1.0)
        answer = await self.call(
            'GET', '/x', headers={'X-Request-Id': 'second'}
        )
        self.assertEqual('first', answer.headers['X-Request-Id'])
        self.assertEqual('first', answer.json()['request_id'])
        self.assertEqual('second', self.events('crossed')[0]['request_id'])

    async def test_cut_answer(self) -> None:
        """Guards against a cut that a caller cannot notice."""
        await self.control(cut_probability=1.0)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x?bytes=100000')
        self.assertEqual(50000, self.events('cut')[0]['answer_bytes'])

    async def test_secrets_are_seen_and_not_written(self) -> None:
        """Guards against a key that passes unseen, or into a history."""
        for case in SECRET_CASES:
            with self.subTest(case.name):
                await self.call('POST', case.path, case.body, case.headers)
                begin = self.events('begin')[-1]
                self.assertEqual(case.seen, begin['secret_seen'])
        written = (self.directory / 'standin.jsonl').read_text().lower()
        self.assertNotIn('fbk-', written)

    async def test_crash_ends_only_its_server(self) -> None:
        """Guards against a crash that answers, or takes others along."""
        await self.control(crash_text='boom')
        with self.assertRaises(aiohttp.ClientError):
            await self.call('POST', '/x', b'a boom b')
        async with asyncio.timeout(5):
            while 'b-1' in self.fleet.servers:
                await asyncio.sleep(0.001)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x')
        self.url = self.url_of(self.other)
        self.assertEqual(200, (await self.call('GET', '/x')).status)
        (await self.fleet.change({'b-1': {'stopped': False}})).unwrap()
        self.url = self.url_of(self.fleet.servers['b-1'])
        self.assertEqual(200, (await self.call('GET', '/x')).status)

    async def test_connection_limit(self) -> None:
        """Guards against more connections than the server holds."""
        self.server.faults.merge({'connections': 1, 'slots': 3}).unwrap()
        task = self.run_long()
        await self.until_running()
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x')
        await self.end(task)

    async def test_fleet_control(self) -> None:
        """Guards against a change of one server that changes another."""
        (await self.fleet.change({'b-2': {'slots': 7}})).unwrap()
        shown = self.fleet.control_document()
        self.assertEqual(
            (1, 7), (shown['b-1']['slots'], shown['b-2']['slots'])
        )
        (await self.fleet.change({'*': {'slots': 5}})).unwrap()
        shown = self.fleet.control_document()
        self.assertEqual(
            (5, 5), (shown['b-1']['slots'], shown['b-2']['slots'])
        )
        wrong: list[dict[str, typing.Any]] = [
            {'b-3': {}},
            {'b-1': {'slotz': 1}},
            {'b-1': 1},
        ]
        for patch in wrong:
            self.assertTrue((await self.fleet.change(patch)).is_err())


class TestLoadReport(unittest.TestCase):
    """Load that lags, and slow start."""

    def test_lag(self) -> None:
        """Guards against a report that shows the present."""
        load = _standin_load.LoadReport(0.0)
        load.sample(10.0, 0.5, 5)
        load.sample(11.0, 1.0, 9)
        for lag_s, expected in ((0.0, 1.0), (1.5, 0.5), (5.0, 0.0)):
            with self.subTest(lag_s=lag_s):
                header = load.header(11.6, lag_s, None)
                shown = json.loads(header.partition(' ')[2])
                self.assertEqual(expected, shown['cpu_utilization'])

    def test_old_samples_are_dropped(self) -> None:
        """Guards against samples that fill the memory."""
        load = _standin_load.LoadReport(0.0)
        for number in range(1000):
            load.sample(float(number), 0.5, number)
        self.assertLessEqual(len(load.samples), 250)

    def test_slow_start(self) -> None:
        """Guards against a cold server as fast as a warm one."""
        load = _standin_load.LoadReport(100.0)
        for at, expected in ((100.0, 3.0), (105.0, 2.0), (110.0, 1.0)):
            self.assertEqual(expected, load.slowness(at, 3.0, 10.0))
        self.assertEqual(1.0, load.slowness(100.0, 3.0, 0.0))


class TestQuery(unittest.TestCase):
    """Numbers in a query."""

    def test_bad_numbers_are_zero(self) -> None:
        """Guards against a request whose query fails the stand-in."""
        for text, expected in (('5', 5.0), ('-1', 0.0), ('x', 0.0)):
            found = _standin_runs.number_in({'n': text}, 'n')
            self.assertEqual(expected, found)
