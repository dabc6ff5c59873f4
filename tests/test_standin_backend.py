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
    """A request and whether it contains a secret key."""

    name: str
    path: str
    headers: dict[str, str]
    body: bytes
    has_secret: bool


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
    """Two servers in this process; requests go to the first over HTTP."""

    async def asyncSetUp(self) -> None:
        """Start two servers with one slot and one place in the queue each."""
        await super().asyncSetUp()
        specs: list[_standin_faults.ServerSpec] = [
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
        self.fleet = _standin_fleet.BackendFleet(
            specs, faults, 1, 'fbk-', self.history
        )
        self.addAsyncCleanup(self.fleet.close)
        self.server = await self.fleet.start_server('b-1')
        self.other_server = await self.fleet.start_server('b-2')
        self.url = self.server_url(self.server)

    def server_url(self, server: _standin_backend.BackendServer) -> str:
        """Return the URL at which a server listens."""
        assert server.runner is not None
        return f'http://127.0.0.1:{server.runner.addresses[0][1]}'

    async def wait_until_running(self, count: int = 1) -> None:
        """Wait until at least ``count`` requests are running."""
        async with asyncio.timeout(5):
            while self.server.slot_queue.running < count:
                await asyncio.sleep(0.001)

    def start_long_request(
        self, query: str = ''
    ) -> asyncio.Task[standin_case.Response]:
        """Start a request that runs until it is cancelled."""
        return asyncio.create_task(self.call('GET', f'/x?run_ms=20000{query}'))

    async def cancel_request(self, task: asyncio.Task[typing.Any]) -> None:
        """Cancel a request and wait until its slot is free."""
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(5):
            while self.server.slot_queue.running:
                await asyncio.sleep(0.001)

    async def test_response_identifies_the_run(self) -> None:
        """Guards against responses that cannot be matched with requests."""
        response = await self.call(
            'POST', '/x?bytes=500', b'body', {'X-Request-Id': 'r-1'}
        )
        self.assertEqual('r-1', response.headers['X-Request-Id'])
        self.assertEqual(500, len(response.body))
        content = response.json()
        self.assertEqual('r-1', content['request_id'])
        self.assertEqual('b-1', content['server'])
        digest = hashlib.sha256(b'body').hexdigest()
        self.assertEqual(digest, content['body_digest'])
        begin, end = self.events('begin', 'end')
        self.assertEqual((1, 0), (begin['running'], end['running']))
        self.assertEqual(500, end['answer_bytes'])
        self.assertEqual(digest, begin['body_digest'])

    async def test_full_server_queues_then_sheds(self) -> None:
        """Guards against a server that runs more requests than its slots."""
        first = self.start_long_request()
        await self.wait_until_running()
        second = asyncio.create_task(self.call('GET', '/x'))
        async with asyncio.timeout(5):
            while not self.server.slot_queue.waiters:
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
        """Guards against a run that goes on after its client disconnected."""
        task = self.start_long_request()
        await self.wait_until_running()
        await self.cancel_request(task)
        self.assertEqual(1, len(self.events('cancel')))
        self.assertEqual(200, (await self.call('GET', '/x')).status)

    async def test_deadline_ends_the_run(self) -> None:
        """Guards against a run that goes on after its deadline."""
        response = await self.call(
            'GET',
            '/x?run_ms=20000',
            headers={'X-Deadline-Ms': '30', 'X-Request-Id': 'r'},
        )
        self.assertEqual(504, response.status)
        self.assertEqual('r', response.headers['X-Request-Id'])
        self.assertEqual(1, len(self.events('deadline')))
        self.assertEqual(0, self.server.slot_queue.running)

    async def test_request_whose_deadline_passes_in_the_queue_is_not_run(
        self,
    ) -> None:
        """Guards against a queued request that runs after its deadline.

        The response must say that the request was not run.
        """
        task = self.start_long_request()
        await self.wait_until_running()
        response = await self.call(
            'GET', '/x', headers={'X-Deadline-Ms': '30'}
        )
        self.assertEqual('true', response.headers['X-Not-Run'])
        await self.cancel_request(task)
        self.assertEqual(1, len(self.events('begin')))

    async def test_stream(self) -> None:
        """Guards against a streamed response with missing bytes."""
        response = await self.call('GET', '/x?stream_ms=20&bytes=1000')
        self.assertEqual(1000, len(response.body))
        self.assertEqual('b-1', response.json()['server'])
        self.assertEqual(1000, self.events('end')[0]['answer_bytes'])

    async def test_health_and_drain(self) -> None:
        """Guards against draining that probes or requests do not show."""
        task = self.start_long_request()
        await self.wait_until_running()
        response = await self.call('GET', '/healthz')
        self.assertEqual(200, response.status)
        self.assertEqual(
            1.0, self.reported_load(response)['application_utilization']
        )
        await self.control(reported_load=0.25)
        response = await self.call('GET', '/healthz')
        self.assertEqual(
            0.25, self.reported_load(response)['application_utilization']
        )
        await self.cancel_request(task)
        await self.control(draining=True)
        response = await self.call('GET', '/healthz')
        self.assertEqual(503, response.status)
        response = await self.call('GET', '/x')
        self.assertEqual('true', response.headers['X-Draining'])
        await self.control(draining=False, healthz_status=0)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/healthz')
        states = [
            event['state']
            for event in self.events('server_state')
            if event['server'] == 'b-1'
        ]
        self.assertEqual(['serving', 'draining', 'serving'], states)

    def reported_load(
        self, response: standin_case.Response
    ) -> dict[str, float]:
        """Return the metrics of the load header of a response."""
        media_format, _, text = response.headers[
            'endpoint-load-metrics'
        ].partition(' ')
        self.assertEqual('JSON', media_format)
        metrics: dict[str, float] = json.loads(text)
        return metrics

    async def test_response_to_another_request(self) -> None:
        """Guards against a ``crossed_probability`` that has no effect."""
        await self.call('GET', '/x', headers={'X-Request-Id': 'first'})
        await self.control(crossed_probability=1.0)
        response = await self.call(
            'GET', '/x', headers={'X-Request-Id': 'second'}
        )
        self.assertEqual('first', response.headers['X-Request-Id'])
        self.assertEqual('first', response.json()['request_id'])
        self.assertEqual('second', self.events('crossed')[0]['request_id'])

    async def test_truncated_response(self) -> None:
        """Guards against truncated responses that a client takes for whole."""
        await self.control(cut_probability=1.0)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x?bytes=100000')
        self.assertEqual(50000, self.events('cut')[0]['answer_bytes'])

    async def test_secrets_are_detected_and_not_recorded(self) -> None:
        """Guards against keys that are not detected, or get into a history."""
        for case in SECRET_CASES:
            with self.subTest(case.name):
                await self.call('POST', case.path, case.body, case.headers)
                begin = self.events('begin')[-1]
                self.assertEqual(case.has_secret, begin['secret_seen'])
        history_text = (self.directory / 'standin.jsonl').read_text().lower()
        self.assertNotIn('fbk-', history_text)

    async def test_crash_ends_only_its_server(self) -> None:
        """Guards against a crash that responds or stops other servers."""
        await self.control(crash_text='boom')
        with self.assertRaises(aiohttp.ClientError):
            await self.call('POST', '/x', b'a boom b')
        async with asyncio.timeout(5):
            while 'b-1' in self.fleet.servers:
                await asyncio.sleep(0.001)
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x')
        self.url = self.server_url(self.other_server)
        self.assertEqual(200, (await self.call('GET', '/x')).status)
        (await self.fleet.apply_patches({'b-1': {'stopped': False}})).unwrap()
        self.url = self.server_url(self.fleet.servers['b-1'])
        self.assertEqual(200, (await self.call('GET', '/x')).status)

    async def test_connection_limit(self) -> None:
        """Guards against requests on more connections than the limit."""
        self.server.faults.merge({'connections': 1, 'slots': 3}).unwrap()
        task = self.start_long_request()
        await self.wait_until_running()
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/x')
        await self.cancel_request(task)

    async def test_fleet_control(self) -> None:
        """Guards against a change of one server that changes another."""
        (await self.fleet.apply_patches({'b-2': {'slots': 7}})).unwrap()
        shown = self.fleet.control_document()
        self.assertEqual(
            (1, 7), (shown['b-1']['slots'], shown['b-2']['slots'])
        )
        (await self.fleet.apply_patches({'*': {'slots': 5}})).unwrap()
        shown = self.fleet.control_document()
        self.assertEqual(
            (5, 5), (shown['b-1']['slots'], shown['b-2']['slots'])
        )
        bad_patches: list[dict[str, typing.Any]] = [
            {'b-3': {}},
            {'b-1': {'slotz': 1}},
            {'b-1': 1},
        ]
        for patch in bad_patches:
            self.assertTrue((await self.fleet.apply_patches(patch)).is_err())


class TestLoadReport(unittest.TestCase):
    """Delayed load reports and slow start."""

    def test_lag(self) -> None:
        """Guards against a report that ignores its lag."""
        load_report = _standin_load.LoadReport(0.0)
        load_report.add_sample(10.0, 0.5, 5)
        load_report.add_sample(11.0, 1.0, 9)
        for lag_s, expected in ((0.0, 1.0), (1.5, 0.5), (5.0, 0.0)):
            with self.subTest(lag_s=lag_s):
                header = load_report.orca_header(11.6, lag_s, None)
                shown = json.loads(header.partition(' ')[2])
                self.assertEqual(expected, shown['cpu_utilization'])

    def test_old_samples_are_dropped(self) -> None:
        """Guards against samples that accumulate without bound."""
        load_report = _standin_load.LoadReport(0.0)
        for number in range(1000):
            load_report.add_sample(float(number), 0.5, number)
        self.assertLessEqual(len(load_report.samples), 250)

    def test_slow_start(self) -> None:
        """Guards against a cold server as fast as a warm one."""
        load_report = _standin_load.LoadReport(100.0)
        for time_s, expected in ((100.0, 3.0), (105.0, 2.0), (110.0, 1.0)):
            self.assertEqual(
                expected, load_report.service_time_factor(time_s, 3.0, 10.0)
            )
        self.assertEqual(1.0, load_report.service_time_factor(100.0, 3.0, 0.0))


class TestQuery(unittest.TestCase):
    """Parsing of numbers in a query."""

    def test_bad_numbers_are_zero(self) -> None:
        """Guards against malformed queries that make a request fail."""
        for text, expected in (('5', 5.0), ('-1', 0.0), ('x', 0.0)):
            number = _standin_runs.parse_number({'n': text}, 'n')
            self.assertEqual(expected, number)
