"""Tests of the checkers with histories that keep or break each promise."""

import typing
import unittest

from filbertstep import checking
from tests import events as ev

Facts = checking.Facts


class Case(typing.NamedTuple):
    """A history and the times of the violations that must be reported."""

    name: str
    history: list[ev.Event]
    violation_times_s: list[float] = []
    facts: Facts = ev.FACTS


def reference_placements(
    count: int, interval_s: float = 0.1
) -> list[ev.Event]:
    """Return regular placements in the reference region from time 0 on."""
    return [ev.placed(position * interval_s) for position in range(count)]


def runs_at(times_s: list[float], **fields: object) -> list[ev.Event]:
    """Return runs of one account at the given times, one request each."""
    return [
        ev.begin(at, f'r{position}', **fields)
        for position, at in enumerate(times_s)
    ]


P1 = [
    Case(
        'moved share equal to the cap',
        [
            *reference_placements(7),
            ev.placed_elsewhere(0.7),
            ev.placed_elsewhere(0.8),
        ][:8],
    ),
    Case('first request moved', [ev.placed_elsewhere(0.0)], [0.0]),
    Case(
        'two of seven moved',
        [
            *reference_placements(5),
            ev.placed_elsewhere(0.5),
            ev.placed_elsewhere(0.6),
        ],
        [0.6],
    ),
    Case(
        'moves before the interval do not count',
        [
            *reference_placements(3),
            ev.placed_elsewhere(0.3),
            *reference_placements(0),
            ev.placed(10.9),
        ]
        + [ev.placed(11.0), ev.placed(11.1), ev.placed_elsewhere(11.2)],
    ),
    Case(
        'requests before the interval do not count',
        [*reference_placements(50), ev.placed_elsewhere(20.0)],
        [20.0],
    ),
    Case(
        'a moved request not marked as moved',
        [*reference_placements(50), ev.placed(5.0, region='south')],
        [5.0],
    ),
    Case(
        'a service without a cap',
        [{**ev.placed_elsewhere(0.0), 'service': 'menu'}],
    ),
]

P2 = [
    Case('all slots in use', [ev.begin(1.0, running=2)]),
    Case('more runs than slots', [ev.begin(1.0, running=3)], [1.0]),
    Case(
        'a request queued for a slot',
        [ev.server_event('queued', 1.0, running=2, waiting=1)],
        [1.0],
    ),
    Case(
        'request shed by a full server',
        [ev.server_event('shed', 1.0, running=2)],
        [1.0],
    ),
    Case(
        'request shed by a server with free slots',
        [ev.server_event('shed', 1.0)],
    ),
    Case(
        'more requests than slots in a region',
        [
            ev.begin(1.0, running=2),
            ev.begin(2.0, server='b-2', running=3),
        ],
        [2.0, 2.0],
    ),
    Case(
        'a restarted server has no runs',
        [
            ev.begin(1.0, running=3),
            ev.make_event('server_state', 2.0, server='b-1', state='serving'),
            ev.begin(3.0, server='b-2', running=2),
        ],
        [1.0],
    ),
    Case(
        'link above its burst and allowance',
        [
            ev.placed(1.0),
            ev.begin(1.0, region='south', server='b-3', body_bytes=740),
            ev.begin(1.1, region='south', server='b-3', body_bytes=150),
        ],
        [1.1],
    ),
    Case(
        'link at its burst and allowance',
        [
            ev.placed(1.0),
            ev.begin(1.0, region='south', server='b-3', body_bytes=750),
            ev.begin(1.75, region='south', server='b-3', body_bytes=750),
        ],
    ),
    Case(
        'largest response charged after its end',
        [
            ev.placed(1.0, process='vm-2'),
            ev.end(1.0, region='north', answer_bytes=5000),
        ],
    ),
    Case(
        'responses above the rate of the link',
        [
            ev.placed(1.0, process='vm-2'),
            ev.end(1.0, region='north', answer_bytes=5000),
            ev.end(1.5, region='north', answer_bytes=5000),
        ],
        [1.5],
    ),
    Case(
        'no link within a region',
        [ev.placed(1.0), ev.begin(1.0, body_bytes=10**9)],
    ),
]

P3 = [
    Case('key of the same account', [ev.sent(1.0), ev.begin(2.0)]),
    Case(
        'key of another account',
        [ev.sent(1.0), ev.begin(2.0, account='zeta')],
        [2.0],
    ),
    Case(
        'no key',
        [ev.sent(1.0, key_name=''), ev.begin(2.0)],
        [2.0],
    ),
    Case(
        'unknown key',
        [ev.sent(1.0, key_name='gone'), ev.begin(2.0, account='')],
        [2.0],
    ),
    Case('run without a sent event', [ev.begin(2.0)], [2.0]),
    Case('sent after the run', [ev.begin(2.0), ev.sent(3.0)], [2.0]),
    Case(
        'service that needs no key',
        [ev.sent(1.0, key_name=''), ev.begin(2.0, service='menu')],
    ),
    Case(
        'service that the account may not use',
        [ev.sent(1.0), ev.begin(2.0, service='secret-menu')],
        [2.0],
    ),
]

P4 = [
    Case(
        'no key seen by a server',
        [ev.begin(1.0), ev.server_event('shed', 2.0)],
    ),
    Case('key in a run', [ev.begin(1.0, secret_seen=True)], [1.0]),
    Case(
        'key in a shed request',
        [ev.server_event('shed', 1.0, secret_seen=True)],
        [1.0],
    ),
]

KEY_WITHDRAWN = ev.FACTS._replace(
    key_withdrawals=(checking.KeyWithdrawalFact('acme-1', 10.0),)
)

P5 = [
    Case(
        'run just within the bound',
        [ev.sent(18.9), ev.begin(19.0), ev.answered(18.95)],
        facts=KEY_WITHDRAWN,
    ),
    Case(
        'run after the bound',
        [ev.sent(18.9), ev.begin(19.1)],
        [19.1],
        KEY_WITHDRAWN,
    ),
    Case(
        'response on an open connection after the bound',
        [ev.sent(9.0), ev.begin(9.1), ev.answered(19.2)],
        [19.2],
        KEY_WITHDRAWN,
    ),
    Case(
        'refusal after the bound',
        [
            ev.sent(30.0),
            ev.answered_not_run(30.1, kind='unauthorized', status=401),
        ],
        facts=KEY_WITHDRAWN,
    ),
    Case(
        'other keys keep working',
        [ev.sent(30.0, key_name='zeta-1'), ev.begin(30.1)],
        facts=KEY_WITHDRAWN,
    ),
]

P6 = [
    Case('burst and allowance at once', runs_at([1.0] * 7)),
    Case('one request above burst and allowance', runs_at([1.0] * 8), [1.0]),
    Case('at the rate', runs_at([number / 10 for number in range(100)])),
    Case(
        'at twice the rate for a second',
        runs_at([number / 20 for number in range(16)]),
        [14 / 20],
    ),
    Case(
        'burst after an idle period',
        runs_at([0.0] * 5 + [0.5] * 5),
    ),
    Case(
        'an idle period does not raise the burst',
        runs_at([0.0] + [100.0] * 8),
        [100.0],
    ),
    Case(
        'accounts are limited separately',
        runs_at([1.0] * 6) + runs_at([1.0] * 6, account='zeta'),
    ),
    Case(
        "account known only from the caller's event",
        [ev.sent(0.0, f'r{number}') for number in range(8)]
        + runs_at([1.0] * 8, account=''),
        [1.0],
    ),
    Case('service that needs no key', runs_at([1.0] * 20, service='menu')),
]

VM_KILLED = ev.FACTS._replace(
    process_kills=(checking.ProcessKillFact('vm-1', 4.5),)
)

P7 = [
    Case(
        'complete response to the same request',
        [ev.begin(1), ev.end(2), ev.answered(3.0)],
    ),
    Case(
        'response to another request',
        [ev.answered(3.0, answer_request_id='other')],
        [3.0],
    ),
    Case(
        'response to another request body',
        [ev.answered(3.0, answer_digest='0')],
        [3.0],
    ),
    Case(
        'short response marked as complete',
        [ev.begin(1), ev.end(2), ev.answered(3.0, answer_bytes=50)],
        [3.0],
    ),
    Case(
        'truncated although the run ended',
        [ev.begin(1), ev.end(2), ev.answered(3.0, complete=False)],
        [3.0],
    ),
    Case(
        'truncated by the backend server',
        [
            ev.begin(1),
            ev.server_event('cut', 2),
            ev.answered(3.0, complete=False),
        ],
    ),
    Case(
        'truncated because the VM was killed',
        [ev.begin(4), ev.end(4.1), ev.answered(5.0, complete=False)],
        facts=VM_KILLED,
    ),
    Case(
        'truncated long after the VM was killed',
        [ev.begin(8), ev.end(8.1), ev.answered(9.0, complete=False)],
        [9.0],
        VM_KILLED,
    ),
    Case(
        'truncated after its key was withdrawn',
        [ev.begin(11), ev.end(11.1), ev.answered(12.0, complete=False)],
        facts=KEY_WITHDRAWN,
    ),
    Case(
        'truncated before its key was withdrawn',
        [ev.begin(8), ev.end(8.1), ev.answered(9.0, complete=False)],
        [9.0],
        KEY_WITHDRAWN,
    ),
    Case(
        'error responses are not checked',
        [ev.answered_not_run(3.0, answer_request_id='')],
    ),
]

P8 = [
    Case(
        'answered not run, and did not run',
        [ev.sent(1.0), ev.answered_not_run(2.0)],
    ),
    Case(
        'ran before it was answered not run',
        [ev.sent(1.0), ev.begin(1.5), ev.answered_not_run(2.0)],
        [2.0],
    ),
    Case(
        'ran after it was answered not run',
        [ev.sent(1.0), ev.answered_not_run(2.0), ev.begin(2.5)],
        [2.0],
    ),
    Case(
        'non-idempotent request ran in an earlier attempt',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.sent(3.0, vm='vm-2'),
            ev.answered_not_run(4.0, vm='vm-2'),
        ],
        [4.0],
    ),
    Case(
        'idempotent request runs in a later attempt',
        [
            ev.sent(1.0, idempotent=True),
            ev.answered_not_run(2.0, idempotent=True),
            ev.sent(3.0, vm='vm-2', idempotent=True),
            ev.begin(3.5),
        ],
    ),
    Case(
        'idempotent request refused in both attempts',
        [
            ev.sent(1.0, idempotent=True),
            ev.answered_not_run(2.0, idempotent=True),
            ev.sent(3.0, vm='vm-2', idempotent=True),
            ev.begin(3.5),
            ev.answered_not_run(4.0, vm='vm-2', idempotent=True),
        ],
        [4.0],
    ),
    Case(
        'answered unknown whether it ran',
        [ev.sent(1.0), ev.begin(1.5), ev.answered_not_run(2.0, ran='unknown')],
    ),
    Case(
        'failed connection covers only its own attempt',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.sent(3.0, vm='vm-2'),
            ev.answered_not_run(
                4.0, vm='vm-2', status=0, kind='connect_failed'
            ),
        ],
    ),
    Case(
        'attempt that failed to connect but ran',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.answered_not_run(2.0, status=0, kind='connect_failed'),
        ],
        [2.0],
    ),
]

P9 = [
    Case('runs once', [ev.sent(1.0), ev.begin(1.5)]),
    Case('runs twice', [ev.sent(1.0), ev.begin(1.5), ev.begin(2.0)], [2.0]),
    Case(
        'runs twice under two request ids',
        [
            ev.sent(1.0, 'r1', family='f'),
            ev.begin(1.5, 'r1'),
            ev.sent(2.0, 'r2', family='f'),
            ev.begin(2.5, 'r2'),
        ],
        [2.5],
    ),
    Case(
        'shed, then run',
        [ev.server_event('shed', 1.0), ev.begin(1.5)],
    ),
    Case(
        'idempotent request may run twice',
        [ev.begin(1.0, method='GET'), ev.begin(1.5, method='GET')],
    ),
    Case(
        'crashed run counts as a run',
        [ev.begin(1.0), ev.server_event('crash', 1.0), ev.begin(2.0)],
        [2.0],
    ),
]

SERVER_DRAINED = ev.FACTS._replace(
    server_drains=(checking.ServerDrainFact('b-1', 10.0, 30.0),)
)

P10 = [
    Case('work just within the bound', [ev.begin(15.0)], facts=SERVER_DRAINED),
    Case('work after the bound', [ev.begin(15.1)], [15.1], SERVER_DRAINED),
    Case(
        'shed after the bound',
        [ev.server_event('shed', 16)],
        [16.0],
        SERVER_DRAINED,
    ),
    Case('work after the drain', [ev.begin(30.1)], facts=SERVER_DRAINED),
    Case(
        'another server', [ev.begin(20.0, server='b-2')], facts=SERVER_DRAINED
    ),
    Case(
        'earlier run ends during the drain',
        [ev.end(20.0)],
        facts=SERVER_DRAINED,
    ),
]

VM_STOPPED = ev.FACTS._replace(
    vm_stops=(checking.VmStopFact('vm-1', 10.0, 20.0),),
    server_drains=(checking.ServerDrainFact('b-1', 10.0, None),),
)

CONNECTION_LOST: ev.Event = {
    'status': 0,
    'kind': 'connection_lost',
    'complete': False,
}

P11 = [
    Case(
        'complete response during the stop',
        [ev.answered(12.0)],
        facts=VM_STOPPED,
    ),
    Case(
        'connection lost during the stop',
        [ev.answered(12.0, **CONNECTION_LOST)],
        [12.0],
        VM_STOPPED,
    ),
    Case(
        'response truncated during the stop',
        [ev.answered(12.0, complete=False)],
        [12.0],
        VM_STOPPED,
    ),
    Case(
        'sent before the end of the stop, lost after it',
        [ev.answered(20.5, **CONNECTION_LOST)],
        [20.5],
        VM_STOPPED,
    ),
    Case(
        'connection lost before the stop',
        [ev.answered(9.0, **CONNECTION_LOST)],
        facts=VM_STOPPED,
    ),
    Case(
        'sent and lost after the stop',
        [ev.answered(22.0, **CONNECTION_LOST)],
        facts=VM_STOPPED,
    ),
    Case(
        'connection to another VM lost',
        [ev.answered(12.0, vm='vm-2', **CONNECTION_LOST)],
        facts=VM_STOPPED,
    ),
    Case(
        'VM killed during the stop',
        [ev.answered(12.0, **CONNECTION_LOST)],
        facts=VM_STOPPED._replace(
            process_kills=(checking.ProcessKillFact('vm-1', 11.5),)
        ),
    ),
    Case(
        'failed to connect during the stop',
        [ev.answered(12.0, **{**CONNECTION_LOST, 'kind': 'connect_failed'})],
        facts=VM_STOPPED,
    ),
    Case(
        'caller gave up',
        [
            ev.make_event('gave_up', 11.0, request_id='r'),
            ev.answered(12.0, **CONNECTION_LOST),
        ],
        facts=VM_STOPPED,
    ),
    Case(
        'run cancelled on a draining server',
        [ev.server_event('cancel', 12.0)],
        [12.0],
        VM_STOPPED,
    ),
    Case(
        'run cancelled at its deadline',
        [
            ev.server_event('cancel', 12.0),
            ev.answered(12.1, status=504, kind='deadline_exceeded'),
        ],
        facts=VM_STOPPED,
    ),
    Case(
        'run cancelled because the caller gave up',
        [
            ev.make_event('gave_up', 11.0, request_id='r'),
            ev.server_event('cancel', 12.0),
        ],
        facts=VM_STOPPED,
    ),
]

WITH_TICKETS = ev.FACTS._replace(
    tickets=(
        checking.TicketFact(1, 10.0, 12.0),
        checking.TicketFact(2, 20.0, None),
    )
)

P12 = [
    Case(
        'tickets applied in time',
        [ev.config_applied(11.0, 5, 1), ev.admitted(13.0), ev.admitted(28.9)],
        facts=WITH_TICKETS,
    ),
    Case('ticket not yet accepted', [ev.admitted(11.9)], facts=WITH_TICKETS),
    Case(
        'serves without an accepted ticket',
        [ev.admitted(12.1)],
        [12.1],
        WITH_TICKETS,
    ),
    Case(
        'serves without a ticket committed long ago',
        [ev.config_applied(11.0, 5, 1), ev.admitted(29.1)],
        [29.1],
        WITH_TICKETS,
    ),
    Case(
        'head index decreases',
        [ev.config_applied(11.0, 5, 1), ev.config_applied(12.0, 4, 1)],
        [12.0],
    ),
    Case(
        'ticket number decreases',
        [ev.config_applied(11.0, 5, 2), ev.config_applied(12.0, 6, 1)],
        [12.0],
    ),
    Case(
        'new epoch keeps the ticket number',
        [ev.config_applied(11.0, 5, 1), ev.config_applied(12.0, 6, 1)],
    ),
    Case(
        'restarted VM lacks an accepted ticket',
        [
            ev.config_applied(11.0, 5, 1),
            {**ev.admitted(13.0), 'incarnation': 'j'},
        ],
        [13.0],
        WITH_TICKETS,
    ),
]

CASES = {
    'P1': P1,
    'P2': P2,
    'P3': P3,
    'P4': P4,
    'P5': P5,
    'P6': P6,
    'P7': P7,
    'P8': P8,
    'P9': P9,
    'P10': P10,
    'P11': P11,
    'P12': P12,
}


class TestCheckers(unittest.TestCase):
    """Each promise has histories that break it and ones that just keep it."""

    def test_violations_of_each_promise(self) -> None:
        """Guards against missed and against unfounded violations."""
        for promise, cases in CASES.items():
            for case in cases:
                with self.subTest(promise=promise, name=case.name):
                    violations = checking.CHECKERS[promise](
                        case.history, case.facts
                    )
                    self.assertEqual(
                        case.violation_times_s,
                        [violation.time_s for violation in violations],
                        violations,
                    )
                    self.assertLessEqual(
                        {violation.promise for violation in violations},
                        {promise},
                    )

    def test_every_promise_has_good_and_bad_histories(self) -> None:
        """Guards against a checker that has never reported a violation."""
        self.assertEqual(set(checking.CHECKERS), set(CASES))
        for promise, cases in CASES.items():
            with self.subTest(promise=promise):
                self.assertTrue(any(case.violation_times_s for case in cases))
                self.assertTrue(
                    any(not case.violation_times_s for case in cases)
                )

    def test_check_history_runs_all_checkers(self) -> None:
        """Guards against a checker that check_history leaves out."""
        history = [ev.begin(2.0, secret_seen=True)]
        promises = {
            violation.promise
            for violation in checking.check_history(history, ev.FACTS)
        }
        self.assertEqual({'P3', 'P4'}, promises)


class TestFacts(unittest.TestCase):
    """Facts from the events of the operator and of backend servers."""

    def test_facts_from_history_events(self) -> None:
        """Guards against drains and withdrawals that the facts leave out."""
        history = [
            ev.make_event(
                'ticket_submitted',
                1.0,
                number=2,
                withdrawn_keys=['acme-1'],
                issued_keys=[('new-1', 'acme')],
                drains=[('d', 'backend_server', 'b-1'), ('e', 'vm', 'vm-1')],
                ended_drains=[],
            ),
            ev.make_event(
                'ticket_submitted', 1.5, number=3, ended_drains=['d']
            ),
            ev.make_event('ticket_committed', 2.0, number=2),
            ev.make_event('ticket_accepted', 3.0, number=2),
            ev.make_event('ticket_accepted', 4.0, number=3),
            ev.make_event(
                'ticket_submitted', 5.0, number=4, withdrawn_keys=['x']
            ),
            ev.make_event('server_state', 6.0, server='b-2', state='draining'),
            ev.make_event('server_state', 7.0, server='b-2', state='serving'),
            ev.make_event('stop_began', 8.0, name='vm-1'),
            ev.make_event('stop_ended', 9.0, name='vm-1'),
            ev.make_event('killed', 9.5, name='vm-2'),
        ]
        facts = checking.add_history_facts(ev.FACTS, history)
        self.assertEqual(
            (
                checking.TicketFact(2, 2.0, 3.0),
                checking.TicketFact(3, 4.0, 4.0),
            ),
            facts.tickets,
        )
        self.assertEqual(
            (checking.KeyWithdrawalFact('acme-1', 2.0),), facts.key_withdrawals
        )
        self.assertEqual(
            (
                checking.ServerDrainFact('b-1', 2.0, 4.0),
                checking.ServerDrainFact('b-2', 6.0, 7.0),
            ),
            facts.server_drains,
        )
        self.assertEqual(
            (checking.VmStopFact('vm-1', 8.0, 9.0),), facts.vm_stops
        )
        self.assertEqual(
            (checking.ProcessKillFact('vm-2', 9.5),), facts.process_kills
        )
        self.assertEqual('acme', facts.key_accounts['new-1'])


class TestSummary(unittest.TestCase):
    """Figures count a logical request once, with all its resends."""

    def events(self) -> list[ev.Event]:
        """Return the events of five non-idempotent requests.

        Account acme has one that is resent, one that runs twice and one that
        is lost; account zeta has one refused and one successful request.
        """
        zeta = {'account': 'zeta', 'key_name': 'zeta-1'}
        refusal = {'kind': 'over_rate', 'status': 429}
        history = [
            ev.sent(1.0, 'a1', family='a'),
            ev.answered(
                1.5, 'a1', family='a', latency_s=0.5, **CONNECTION_LOST
            ),
            ev.sent(2.0, 'a2', family='a'),
            ev.begin(2.1, 'a2'),
            ev.answered(3.0, 'a2', family='a'),
            ev.sent(3.0, 'b'),
            ev.begin(3.1, 'b'),
            ev.begin(3.2, 'b'),
            ev.answered(3.5, 'b'),
            ev.sent(4.0, 'c'),
            ev.answered(4.1, 'c'),
            ev.sent(5.0, 'd', **zeta),
            ev.answered_not_run(5.1, 'd', **zeta, **refusal),
            ev.sent(5.2, 'e', **zeta),
            ev.begin(5.3, 'e', **zeta),
            ev.answered(5.4, 'e', **zeta),
        ]
        return history

    def test_figures(self) -> None:
        """Guards against wrong counts of resent, doubled or lost requests."""
        summary = checking.summarize(self.events(), ev.FACTS)
        total = summary['total']
        self.assertEqual(5, total['requests'])
        self.assertEqual({'ok': 4, 'over_rate': 1}, total['outcomes'])
        self.assertEqual(1, total['doubled'])
        self.assertEqual(1, total['lost'])
        self.assertEqual(1, total['refused_inside_rate'])
        self.assertEqual(1, total['cut'])
        self.assertAlmostEqual(0.2, total['latency_s']['p50'])
        self.assertAlmostEqual(2.0, total['latency_s']['p99'])
        self.assertEqual({'acme', 'zeta'}, set(summary['by_account']))
        self.assertEqual(5, summary['by_service']['bookings']['requests'])

    def test_worst_served_account(self) -> None:
        """Guards against a worst-served account that an average would hide."""
        summary = checking.summarize(self.events(), ev.FACTS)
        self.assertEqual(('zeta', 0.5), summary['worst_served'])
        with_fair_share = checking.summarize(
            self.events(), ev.FACTS, {'zeta': 1.0}
        )
        self.assertEqual(('acme', 1.0), with_fair_share['worst_served'])

    def test_refusals_above_the_rate_are_not_counted(self) -> None:
        """Guards against counting refusals of requests above the rate."""
        history = []
        for number in range(8):
            history.append(ev.sent(1.0, f'r{number}'))
            if number >= 5:
                history.append(
                    ev.answered_not_run(1.1, f'r{number}', kind='over_rate')
                )
        total = checking.summarize(history, ev.FACTS)['total']
        self.assertEqual(5, total['inside_rate'])
        self.assertEqual(0, total['refused_inside_rate'])

    def test_refusals_do_not_count_if_the_rate_was_served(self) -> None:
        """Guards against counting refusals although the rate was served.

        The account sends 8 requests at once with a burst of 5; the system
        refuses the first 3 and serves the other 5.
        """
        history = []
        for number in range(8):
            history.append(ev.sent(1.0, f'r{number}'))
            if number < 3:
                history.append(
                    ev.answered_not_run(1.1, f'r{number}', kind='over_rate')
                )
            else:
                history.append(ev.begin(1.05, f'r{number}'))
                history.append(ev.answered(1.1, f'r{number}'))
        total = checking.summarize(history, ev.FACTS)['total']
        self.assertEqual(0, total['refused_inside_rate'])

    def test_requests_with_a_withdrawn_key_are_not_inside_the_rate(
        self,
    ) -> None:
        """Guards against counting refusals of a withdrawn key."""
        withdrawal = checking.KeyWithdrawalFact('acme-1', 0.5)
        facts = ev.FACTS._replace(key_withdrawals=(withdrawal,))
        history = [
            ev.sent(1.0, 'a', key_name='acme-1'),
            ev.answered_not_run(1.1, 'a', kind='unauthorized', status=401),
        ]
        total = checking.summarize(history, facts)['total']
        self.assertEqual(0, total['inside_rate'])
