"""Explanations of decisions, compared with the decisions that follow."""

import asyncio
import collections
import contextlib
import enum
import io
import json
import random
import sys
import typing
import unittest
from unittest import mock

from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import explain
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _explain
from filbertstep.entry import _messages
from filbertstep.entry import _peers
from filbertstep.platform import _settings
from tests import entry_samples
from tests import steering_samples as samples
from tests import test_entry_program
from tests import test_entry_requests
from tests import test_platform_adapter as adapter_tests

KEY: typing.Final = test_entry_requests.KEY

ZONES: typing.Final = ('a-1', 'a-1', 'a-2', 'b-1', 'c-1')

# Neither is sent to a second server, which would happen in real time.
ROUTES: typing.Final = (
    samples.route(priority=0, max_attempts=1),
    samples.route(
        name='split',
        path_prefix='/split/',
        idempotent=False,
        destinations=(
            steering.Destination('orders', 70.0),
            steering.Destination('search', 30.0),
        ),
        priority=2,
        target_s=2.0,
        timeout_s=8.0,
    ),
    samples.route(
        name='home',
        path_prefix='/home/',
        idempotent=False,
        home_regions=frozenset({'a', 'b'}),
        public=True,
        sticky=False,
    ),
)

ACCOUNTS: typing.Final = {
    'acme': samples.account(
        api_keys=frozenset({KEY, 'other' * 4}),
        rate_per_s=0.5,
        burst_tokens=1.0,
    ),
    'local': samples.account(
        name='local',
        api_keys=frozenset({'l' * 20}),
        priority=1,
        rate_per_s=0.0,
        home_regions=frozenset({'a'}),
    ),
    'busy': samples.account(
        name='busy', api_keys=frozenset({'b' * 20}), rate_per_s=0.0
    ),
    'keyless': samples.account(name='keyless', api_keys=frozenset()),
}


def freeze(value: object, seen: dict[int, int] | None = None) -> object:
    """Return all that an object consists of, in a form to compare.

    Objects that occur again are numbered in the order of their occurrence.
    Futures are compared by identity, and by whether they are done.
    """
    seen = {} if seen is None else seen
    if value is None or isinstance(
        value, str | int | float | bytes | enum.Enum
    ):
        return repr(value)
    if isinstance(value, asyncio.Future):
        return (id(value), value.done())
    if id(value) in seen:
        return f'object {seen[id(value)]}'
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        return [
            (freeze(key, seen), freeze(item, seen))
            for key, item in value.items()
        ]
    if isinstance(value, list | tuple | collections.deque):
        return [freeze(item, seen) for item in value]
    if isinstance(value, set | frozenset):
        return [freeze(item, seen) for item in value]
    if type(value).__module__.startswith(('filbertstep', 'tests')):
        return (
            type(value).__name__,
            [
                (name, freeze(item, seen))
                for name, item in vars(value).items()
                if not isinstance(item, clock.Clock)
            ],
        )
    return id(value)


class HoldingForwarder(test_entry_requests.FakeForwarder):
    """Answers attempts only when it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.held: list[asyncio.Future[delivery.ForwardOutcome]] = []

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Hold an attempt until the test gives its outcome."""
        failure = before_send()
        if failure is not None:
            return delivery.ForwardOutcome(
                test_entry_requests.Kind.NOT_SENT, False, failure=failure
            )
        self.attempts.append(attempt)
        outcome: asyncio.Future[delivery.ForwardOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.held.append(outcome)
        return await outcome


class ExplainCase(test_entry_requests.RequestTestCase):
    """Base class: one VM with a clock that stands still."""

    def make_clock(self) -> clock.Clock:
        """Return a clock of the test."""
        self.fake_clock = clock.FakeClock()
        return self.fake_clock

    def explain(self, **fields: typing.Any) -> _explain.ReportDoc:
        """Explain a request of the test account; Any: types of fields."""
        question = typing.cast(
            _explain.QuestionDoc,
            {
                'host': 'shop.example',
                'path': '/orders/7?x=1',
                'account': 'acme',
                'affinity': 'x',
                'deadline_ms': 3000,
                **fields,
            },
        )
        return _explain.explain(
            self.state, question, self.clock.now()
        ).unwrap()


class TestAgreement(ExplainCase):
    """Explanations beside the decisions of a VM in a random course."""

    def build_random(self, seed: int) -> None:
        """Build a VM in a random state."""
        self.rng = random.Random(seed)
        self.build()
        self.holding = HoldingForwarder()
        self.system.attempt_sender.forwarder = self.holding
        self.state.set_settings(
            entry_samples.settings(
                bounds=samples.BOUNDS._replace(
                    rate_slack_tokens=1.0, max_shift_share=0.5
                ),
                overload_order=self.rng.choice(tuple(steering.OverloadOrder)),
            )
        )
        self.configure(
            routes=ROUTES,
            services={
                'orders': samples.SERVICE,
                'search': samples.SERVICE._replace(name='search'),
            },
            accounts=ACCOUNTS,
        )
        for _ in range(24):
            self.change_server()

    def change_server(self) -> None:
        """Let a server join, leave, pause, become cold or busy."""
        rng, now = self.rng, self.clock.now()
        server_id = f's{rng.randrange(24)}'
        server = self.state.servers.by_id.get(server_id)
        change = rng.randrange(8)
        if server is None or change == 0:
            self.state.servers.put(
                samples.server(
                    server_id,
                    rng.choice(ZONES),
                    service=rng.choice(('orders', 'orders', 'search')),
                    slots=rng.choice((1, 2, 3)),
                    cold_left_s=rng.choice((0.0, 0.0, 4.0)),
                    draining=rng.random() < 0.1,
                ),
                now,
            )
        elif change == 1:
            self.state.servers.remove(server_id)
        elif change == 2:
            server.announcements.request_pause(2.0 * rng.random(), now)
        elif change == 3:
            server.record_failure(now, rng.random() < 0.5)
        elif change == 4:
            server.record_load(rng.randrange(5), rng.randrange(3), now)
        elif change == 5:
            server.record_success(3.0 * rng.random(), now)
        elif change == 6 and rng.random() < 0.3:
            zone = rng.choice(ZONES)
            if zone in self.state.servers.evacuated_zones:
                self.state.servers.end_evacuation(zone, now, {})
            else:
                self.state.servers.evacuate(zone)
        elif change == 7 and rng.random() < 0.15:
            for paused in self.state.servers.by_id.values():
                paused.announcements.request_pause(0.2, now)

    async def settle(self) -> None:
        """Let all tasks run until they wait."""
        for _ in range(12):
            await asyncio.sleep(0)

    async def advance(self) -> None:
        """Let time pass, servers answer and change, and waits end."""
        rng = self.rng
        self.fake_clock.advance(rng.choice((0.0, 0.01, 0.05, 0.3)))
        self.set_knowledge_age(0.0)
        for _ in range(rng.randrange(3)):
            self.change_server()
        for _ in range(rng.choice((0, 0, 1, 2))):
            if self.holding.held:
                held = self.holding.held.pop(
                    rng.randrange(len(self.holding.held))
                )
                if not held.done():
                    held.set_result(
                        rng.choice(
                            (
                                test_entry_requests.answered(200),
                                test_entry_requests.answered(200),
                                test_entry_requests.answered(500),
                                test_entry_requests.SHED,
                                test_entry_requests.no_answer(
                                    test_entry_requests.Kind.NOT_SENT, False
                                ),
                            )
                        )
                    )
        await self.settle()
        self.state.regions.tick(self.clock.now())
        for service in list(self.state.wait_queue.queues):
            self.state.wait_queue.dispatch(service, self.clock.now())
        await self.settle()

    async def compare_one(self) -> str:
        """Explain a random request, then serve it; return the outcome."""
        rng = self.rng
        path = rng.choice(('/orders/1', '/split/1', '/split/2', '/home/1'))
        name = rng.choice(('acme', 'acme', 'local', *['busy'] * 8, 'keyless'))
        name = rng.choice((name,) * 20 + ('',))
        affinity = rng.choice(('', f'k{rng.randrange(9)}'))
        deadline_ms = rng.choice((30, 500, 2000, 4000, 9000, 9000))
        fields: dict[str, typing.Any] = {
            'path': path,
            'affinity': affinity,
            'deadline_ms': deadline_ms,
        }
        if name:
            fields['account'] = name
        question = {'host': 'shop.example', **fields}
        before = freeze(self.state)
        report = _explain.explain(
            self.state,
            typing.cast(_explain.QuestionDoc, question),
            self.clock.now(),
        ).unwrap()
        self.assertEqual(freeze(self.state), before)
        self.check_servers(report)
        sent = len(self.holding.attempts)
        keys = sorted(ACCOUNTS[name].api_keys) if name else []
        task = asyncio.ensure_future(
            self.serve(
                path=path,
                key=rng.choice(keys) if keys else None,
                affinity_key=affinity,
                deadline=self.clock.now() + deadline_ms / 1000,
            )
        )
        self.tasks.append(task)
        await self.settle()
        self.check(report, task, sent)
        wait = report['wait']
        if wait is not None:
            return f'wait by {wait["order"]}'
        region = report['region']
        if report['outcome'] == 'send' and region is not None:
            assert report['server'] is not None
            server = self.state.servers.by_id[report['server']]
            if region['region'] not in (None, server.region):
                return 'send by overflow'
        if report['reply'] is not None:
            return f'{report["outcome"]} {report["reply"]["message"]}'
        return report['outcome']

    def check(
        self,
        report: _explain.ReportDoc,
        task: asyncio.Task[_messages.Reply],
        sent: int,
    ) -> None:
        """Compare an explanation with what became of the request."""
        outcome = report['outcome']
        new_servers = [
            dict(attempt.headers)['X-Expect-Instance']
            for attempt in self.holding.attempts[sent:]
        ]
        if outcome == 'send':
            # Its arrival may have dispatched others that waited.
            self.assertIn(report['server'], new_servers)
            self.assertFalse(task.done())
            return
        if outcome == 'wait':
            self.assertFalse(task.done())
            wait = report['wait']
            assert wait is not None
            service = next(
                part['service']
                for part in report['destinations']
                if part['chosen']
            )
            queue = self.state.wait_queue.queues[service]
            self.assertEqual(wait['waiting'], len(queue))
            (place,) = [
                place
                for place, waiting in enumerate(queue)
                if waiting.waits_since == self.clock.now()
                and waiting.future is self.newest_future(queue)
            ]
            self.assertEqual(wait['ahead'], place)
            return
        self.assertTrue(task.done())
        self.assertEqual(new_servers, [])
        refusal = report['reply']
        if outcome == 'ask_peers':
            token = report['token']
            assert token is not None
            refusal = token['refusal']
        assert refusal is not None
        reply = task.result()
        assert reply.failure is not None
        self.assertEqual(
            (
                refusal['status'],
                refusal['kind'],
                refusal['message'],
                refusal['retry_after_s'],
            ),
            (
                reply.status,
                reply.failure.kind.value,
                reply.failure.message,
                reply.failure.retry_after_s,
            ),
        )

    def newest_future(
        self, queue: list[steering.WaitingRequest]
    ) -> asyncio.Future[steering.Candidate | None]:
        """Return the future of the request that began to wait last."""
        (newest,) = [
            waiting.future
            for waiting in queue
            if waiting.future not in self.known_futures
        ]
        return newest

    def check_servers(self, report: _explain.ReportDoc) -> None:
        """Check that each server of the service is listed once."""
        self.known_futures = {
            waiting.future
            for queue in self.state.wait_queue.queues.values()
            for waiting in queue
        }
        chosen = [
            part['service']
            for part in report['destinations']
            if part['chosen']
        ]
        for comparison in report['comparisons']:
            names = [
                *(row['server'] for row in comparison['candidates']),
                *(row['server'] for row in comparison['excluded']),
            ]
            self.assertEqual(
                sorted(names),
                sorted(self.state.servers.by_service.get(chosen[0], {})),
            )
            usable = {
                server.entry.server_id
                for server in self.state.servers.usable_servers(
                    chosen[0], None
                )
            }
            self.assertLessEqual(
                {row['server'] for row in comparison['candidates']}, usable
            )

    async def test_explanations_agree_with_decisions(self) -> None:
        """Guards against an explanation that is not the decision.

        Also guards against one that changes what the VM decides later: all
        of its state is compared, with what is kept for later decisions.
        """
        outcomes: collections.Counter[str] = collections.Counter()
        for seed in range(6):
            with self.subTest(seed=seed):
                self.tasks: list[asyncio.Task[_messages.Reply]] = []
                self.build_random(seed)
                for _ in range(120):
                    outcomes[await self.compare_one()] += 1
                    await self.advance()
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
        for outcome, least in (
            ('send', 100),
            ('send by overflow', 5),
            ('wait by cost', 10),
            ('wait by priority', 10),
            ('reject no slot becomes free in time', 5),
            ('reject all servers asked for a pause', 2),
            ('reject no server can take the request', 20),
            ('reject unknown key', 20),
            ('ask_peers', 5),
        ):
            with self.subTest(outcome=outcome):
                self.assertGreaterEqual(outcomes[outcome], least, outcomes)


class TestReport(ExplainCase):
    """What a report says about single conditions."""

    async def test_reasons_of_excluded_servers(self) -> None:
        """Guards against a server that is missing without its reason."""
        self.build()
        now, servers = self.clock.now(), self.state.servers
        for server_id, zone, changes in (
            ('leaving', 'a-1', {'draining': True}),
            ('paused', 'a-1', {}),
            ('failed', 'a-1', {}),
            ('cold', 'a-2', {'cold_left_s': 3.0}),
            ('evacuated', 'b-2', {}),
            ('far', 'b-1', {}),
        ):
            servers.put(samples.server(server_id, zone, **changes), now)
        self.state.placement.set_vms('v1', {'a-2': frozenset({'v2'})})
        servers.by_id['paused'].announcements.request_pause(2.0, now)
        servers.by_id['failed'].record_failure(now, True)
        servers.evacuate('b-2')
        for number in range(3, 7):
            servers.put(samples.server(f's{number}'), now)
        report = self.explain()
        region, anywhere = report['comparisons']
        reasons = {row['server']: row for row in region['excluded']}
        expected = {
            'leaving': steering.Reason.LEAVING,
            'paused': steering.Reason.REQUESTED_PAUSE,
            'failed': steering.Reason.FAILURES,
            'cold': steering.Reason.SLOW_START,
            'evacuated': steering.Reason.EVACUATED,
            'far': steering.Reason.OTHER_REGION,
        }
        for server_id, reason in expected.items():
            with self.subTest(server_id=server_id):
                self.assertEqual(reasons[server_id]['reason'], reason.value)
        self.assertEqual(reasons['paused']['left_s'], 2.0)
        self.assertEqual(reasons['failed']['left_s'], 0.5)
        self.assertEqual(reasons['cold']['left_s'], 3.0)
        self.assertEqual(
            [row['reason'] for row in region['excluded']].count(
                steering.Reason.RANK.value
            ),
            3,
        )
        self.assertIn('far', [row['server'] for row in anywhere['candidates']])

    async def test_priority_replaces_the_one_that_applies(self) -> None:
        """Guards against a question about a priority without effect."""
        for account_priority in (None, 2):
            with self.subTest(account_priority=account_priority):
                self.build()
                account = samples.account(priority=account_priority)
                self.configure(accounts={'acme': account})
                usual = 1 if account_priority is None else account_priority
                self.assertEqual(self.explain()['priority'], usual)
                self.assertEqual(self.explain(priority=0)['priority'], 0)

    async def test_no_key_is_shown(self) -> None:
        """Guards against keys, and objects of others, in explanations."""
        self.build()
        for row in self.state.servers.by_id.values():
            row.in_progress = 3
        waiting = asyncio.ensure_future(self.serve(affinity_key='secret-7'))
        await asyncio.sleep(0)
        report = self.explain()
        self.assertEqual(report['outcome'], 'wait')
        for text in (json.dumps(report), explain.render(report)):
            self.assertNotIn(KEY, text)
            self.assertNotIn('secret-7', text)
        waiting.cancel()
        await asyncio.wait([waiting])

    async def test_unknown_names_are_errors(self) -> None:
        """Guards against an explanation of something that does not exist."""
        self.build()
        for changes in ({'account': 'nobody'}, {'path': '/other'}):
            with self.subTest(changes=changes):
                question = typing.cast(
                    _explain.QuestionDoc,
                    {'host': 'shop.example', 'path': '/orders/', **changes},
                )
                answer = _explain.explain(
                    self.state, question, self.clock.now()
                )
                self.assertTrue(answer.is_err())

    async def test_a_vm_without_a_configuration_explains_that(self) -> None:
        """Guards against an error while the VM starts."""
        self.build()
        self.state.configuration = self.state.routes = None
        report = self.explain(account='nobody')
        assert report['reply'] is not None
        self.assertEqual(
            (report['outcome'], report['reply']['status']), ('reject', 503)
        )

    async def test_a_stop_is_explained(self) -> None:
        """Guards against counting a refusal that did not happen."""
        self.build()
        self.state.stop.begin(self.clock.now(), 6.0)
        self.fake_clock.advance(5.0)
        self.set_knowledge_age(0.0)
        report = self.explain()
        assert report['reply'] is not None
        self.assertEqual(report['reply']['kind'], 'stopping')
        self.assertEqual(report['vm']['phase'], 'refusing')
        self.assertEqual(self.system.stop_refusals, 0)

    async def test_lookup_of_the_callers_zone(self) -> None:
        """Guards against naming VMs that callers of a zone do not get."""
        self.build()
        self.state.members.live.update(
            {
                'v1': samples.member('v1', 'a-1'),
                'v2': samples.member('v2', 'b-1'),
            }
        )
        for zone, names, own in (
            ('a-1', ['v1'], True),
            ('a-2', ['v1'], True),
            ('b-2', ['v2'], False),
        ):
            with self.subTest(zone=zone):
                lookup = self.explain(zone=zone)['lookup']
                assert lookup is not None
                self.assertEqual(lookup['vms'], names)
                self.assertEqual(lookup['names_this_vm'], own)


class TestExplainer(ExplainCase):
    """Questions as they arrive."""

    def ask(self, question: object) -> typing.Any:
        """Return the answer to a question; Any: a report or a failure."""
        body = (
            question
            if isinstance(question, bytes)
            else json.dumps(question).encode()
        )
        return self.explainer.answer(body)

    def setUp(self) -> None:
        """Build a VM that explains two decisions a second."""
        self.build()
        self.counters = metrics.Metrics()
        self.explainer = _explain.Explainer(self.state, self.counters)

    async def test_malformed_questions(self) -> None:
        """Guards against an exception, or an answer to another question."""
        good = {'host': 'shop.example', 'path': '/orders/1'}
        deep = b'[' * 100_000 + b']' * 100_000
        for question in (
            b'',
            b'\xff',
            b'[]',
            deep,
            b'{"host":"shop.example","path":"/","x":' + deep + b'}',
            b'{"host":"' + b'x' * _explain.MAX_QUESTION_BYTES + b'"}',
            {'host': 'shop.example'},
            {**good, 'host': ''},
            {**good, 'path': 'orders'},
            {**good, 'path': 7},
            {**good, 'method': 'GET /'},
            {**good, 'key': 'no such field'},
            {**good, 'priority': -1},
            {**good, 'priority': 10**30},
            {**good, 'deadline_ms': -5},
            {**good, 'deadline_ms': 10**300},
            {**good, 'deadline_ms': 1.5},
            {**good, 'zone': 'nowhere'},
            {**good, 'affinity': None},
        ):
            with self.subTest(question=str(question)[:60]):
                answer = self.ask(question)
                self.assertIsInstance(answer, errors.Failure)
                self.assertIs(answer.kind, errors.ErrorKind.BAD_REQUEST)

    async def test_extreme_values_are_explained(self) -> None:
        """Guards against an exception for values within the limits."""
        good = {'host': 'shop.example:80', 'path': '/orders/1'}
        for changes in (
            {'deadline_ms': 0},
            {'deadline_ms': 10**12},
            {'priority': 1000},
            {'affinity': 'x' * 40_000},
            {'path': '/orders/\u0000\ud7ff'},
        ):
            with self.subTest(changes=str(changes)[:60]):
                self.fake_clock.advance(1.0)
                self.set_knowledge_age(0.0)
                answer = self.ask({**good, 'account': 'acme', **changes})
                self.assertIn(answer['outcome'], ('send', 'reject'))

    async def test_the_rate_is_limited(self) -> None:
        """Guards against questions that keep the VM from its requests."""
        question = {'host': 'shop.example', 'path': '/orders/1'}
        self.fake_clock.advance(10.0)
        answers = [self.ask(question) for _ in range(5)]
        limited = [
            answer for answer in answers if isinstance(answer, errors.Failure)
        ]
        self.assertEqual(len(limited), 3)
        self.assertEqual(
            {answer.kind for answer in limited}, {errors.ErrorKind.OVER_RATE}
        )
        self.fake_clock.advance(0.5)
        self.assertNotIsInstance(self.ask(question), errors.Failure)

    async def test_questions_are_counted_and_logged(self) -> None:
        """Guards against explanations that leave no trace."""
        self.ask(
            {'host': 'shop.example', 'path': '/orders/', 'account': 'acme'}
        )
        self.ask(b'')
        for outcome in ('send', 'bad_request'):
            with self.subTest(outcome=outcome):
                self.assertEqual(
                    self.counters.registry.get_sample_value(
                        'filbertstep_explanations_total', {'outcome': outcome}
                    ),
                    1.0,
                )
        (line,) = self.log_lines('explain')
        self.assertEqual((line['account'], line['outcome']), ('acme', 'send'))

    async def test_the_setting_is_checked(self) -> None:
        """Guards against a limit that is not read, or is out of range."""
        text = adapter_tests.render_settings({})
        for value, expected in ((None, 2.0), (0, 0.0), (7.5, 7.5)):
            with self.subTest(value=value):
                loaded = _settings.parse_settings(with_limit(text, value))
                self.assertEqual(loaded.unwrap().explains_per_s, expected)
        for wrong in (-1, 21, 'many'):
            with self.subTest(wrong=wrong):
                loaded = _settings.parse_settings(with_limit(text, wrong))
                self.assertIn('explains_per_s', loaded.unwrap_err())

    async def test_statuses_of_the_peer_port(self) -> None:
        """Guards against a limit or a setting that the port ignores."""
        listener = _peers.PeerListener(
            self.state,
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            self.clock,
            self.log,
            explainer=self.explainer,
        )
        body = b'{"host":"shop.example","path":"/orders/1"}'
        self.assertEqual(listener.handle_explain(b'{}').status, 400)
        self.assertEqual(listener.handle_explain(body).status, 200)
        self.assertEqual(listener.handle_explain(body).status, 429)
        self.state.set_settings(entry_samples.settings(explains_per_s=0.0))
        self.assertEqual(listener.handle_explain(body).status, 404)


def with_limit(text: str, value: object) -> str:
    """Return the text of settings with a limit of explanations."""
    if value is None:
        return text
    return text.replace('{', f'{{explains_per_s: {json.dumps(value)},', 1)


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run the command; return exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, 'argv', ['filbertstep-explain', *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            explain.main()
        except SystemExit as error:
            code = error.code if isinstance(error.code, int) else 1
            return code, out.getvalue(), err.getvalue()
    return 0, out.getvalue(), err.getvalue()


class TestCommandLine(unittest.TestCase):
    """Options of the command, without a VM."""

    def test_wrong_options(self) -> None:
        """Guards against asking something else than was meant."""
        good = ('--vm=127.0.0.1:1', '--host=shop.example', '--path=/orders/')
        for arguments in (
            good[:2],
            ('--vm=127.0.0.1', *good[1:]),
            (*good, '--priority=high'),
            (*good, '--deadline-ms=-1'),
            (*good, '--no-such-option=1'),
        ):
            with self.subTest(arguments=arguments):
                code, out, _ = run_command(*arguments)
                self.assertEqual((code, out), (2, ''))

    def test_a_vm_that_does_not_answer(self) -> None:
        """Guards against a success, or a trace, without an explanation."""
        code, out, err = run_command(
            '--vm=127.0.0.1:1', '--host=shop.example', '--path=/orders/'
        )
        self.assertEqual((code, out), (1, ''))
        self.assertIn('127.0.0.1:1 does not answer', err)
        self.assertNotIn('Traceback', err)


class TestProgram(test_entry_program.ProgramCase):
    """The command against the real program."""

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command as a process of its own."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            'from filbertstep import explain; explain.main()',
            f'--vm={self.addresses["control"]}',
            '--host=shop.example',
            *arguments,
            cwd=adapter_tests.ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode(), err.decode()

    async def test_explanation_by_the_program(self) -> None:
        """The command, the peer port and the decision must fit together."""

        async def server_is_known() -> bool:
            return (await self.send_request())[0] == 200

        await self.wait_until(server_is_known)
        requests = len(self.server.requests)
        code, out, err = await self.run_command(
            '--path=/orders/1', '--method=POST', '--account=acme', '--json'
        )
        self.assertEqual((code, err), (0, ''))
        report = json.loads(out)
        self.assertEqual(
            (report['outcome'], report['server']), ('send', 'i-1')
        )
        self.assertNotIn(test_entry_program.KEY, out)
        code, out, _ = await self.run_command(
            '--path=/orders/1', '--account=acme', '--zone=hobart-a'
        )
        self.assertEqual(code, 0)
        self.assertIn('Outcome: sent to i-1', out)
        for arguments, message in (
            (('--path=/orders/1', '--account=nobody'), 'unknown account'),
            (('--path=/unknown',), 'no route matches'),
            (('--path=/orders/1', '--zone=nowhere'), 'unknown availability'),
        ):
            with self.subTest(arguments=arguments):
                # The limit of explanations is two per second.
                await asyncio.sleep(0.6)
                code, out, err = await self.run_command(*arguments)
                self.assertEqual((code, out), (2, ''), err)
                self.assertIn(message, err)
        url = f'http://{self.addresses["control"]}/explain'
        async with self.session.post(url, data=b'{') as response:
            self.assertEqual(response.status, 400)
        self.assertEqual(len(self.server.requests), requests)
