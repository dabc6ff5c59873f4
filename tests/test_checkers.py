"""Tests of the checkers, on histories that keep or break each promise."""

import typing
import unittest

from filbertstep import checking
from tests import events as ev

Facts = checking.Facts


class Case(typing.NamedTuple):
    """A history and the times at which its violations must be reported."""

    name: str
    history: list[ev.Event]
    wrong_at: list[float] = []
    facts: Facts = ev.FACTS


def steady(count: int, gap_s: float = 0.1) -> list[ev.Event]:
    """Return placements in the reference region, from time 0 on."""
    return [ev.placed(position * gap_s) for position in range(count)]


def runs(times: list[float], **fields: object) -> list[ev.Event]:
    """Return runs of one account at some times, one request each."""
    return [
        ev.begin(at, f'r{position}', **fields)
        for position, at in enumerate(times)
    ]


P1 = [
    Case('a quarter moved', [*steady(7), ev.moved(0.7), ev.moved(0.8)][:8]),
    Case('first request moved', [ev.moved(0.0)], [0.0]),
    Case(
        'two moved of seven',
        [*steady(5), ev.moved(0.5), ev.moved(0.6)],
        [0.6],
    ),
    Case(
        'older moves do not count',
        [*steady(3), ev.moved(0.3), *steady(0), ev.placed(10.9)]
        + [ev.placed(11.0), ev.placed(11.1), ev.moved(11.2)],
    ),
    Case(
        'older requests do not count',
        [*steady(50), ev.moved(20.0)],
        [20.0],
    ),
    Case(
        'a move that is not called one',
        [*steady(50), ev.placed(5.0, region='south')],
        [5.0],
    ),
    Case('another service has no cap', [{**ev.moved(0.0), 'service': 'menu'}]),
]

P2 = [
    Case('all slots in use', [ev.begin(1.0, running=2)]),
    Case('more runs than slots', [ev.begin(1.0, running=3)], [1.0]),
    Case(
        'a request waits for a slot',
        [ev.at_server('queued', 1.0, running=2, waiting=1)],
        [1.0],
    ),
    Case(
        'shed by a full server',
        [ev.at_server('shed', 1.0, running=2)],
        [1.0],
    ),
    Case('shed by a server with room', [ev.at_server('shed', 1.0)]),
    Case(
        'a region above its slots',
        [
            ev.begin(1.0, running=2),
            ev.begin(2.0, server='b-2', running=3),
        ],
        [2.0, 2.0],
    ),
    Case(
        'a server that started anew has no runs',
        [
            ev.begin(1.0, running=3),
            ev.event('server_state', 2.0, server='b-1', state='serving'),
            ev.begin(3.0, server='b-2', running=2),
        ],
        [1.0],
    ),
    Case(
        'a full link',
        [
            ev.placed(1.0),
            ev.begin(1.0, region='south', server='b-3', body_bytes=740),
            ev.begin(1.1, region='south', server='b-3', body_bytes=150),
        ],
        [1.1],
    ),
    Case(
        'a link used up to its burst and allowance',
        [
            ev.placed(1.0),
            ev.begin(1.0, region='south', server='b-3', body_bytes=750),
            ev.begin(1.75, region='south', server='b-3', body_bytes=750),
        ],
    ),
    Case(
        'an answer as large as the largest is settled afterwards',
        [
            ev.placed(1.0, process='vm-2'),
            ev.end(1.0, region='north', answer_bytes=5000),
        ],
    ),
    Case(
        'answers that fill the link',
        [
            ev.placed(1.0, process='vm-2'),
            ev.end(1.0, region='north', answer_bytes=5000),
            ev.end(1.5, region='north', answer_bytes=5000),
        ],
        [1.5],
    ),
    Case(
        'the same region has no link',
        [ev.placed(1.0), ev.begin(1.0, body_bytes=10**9)],
    ),
]

P3 = [
    Case('own account', [ev.sent(1.0), ev.begin(2.0)]),
    Case(
        'another account',
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
    Case('nobody sent it', [ev.begin(2.0)], [2.0]),
    Case('sent only later', [ev.begin(2.0), ev.sent(3.0)], [2.0]),
    Case(
        'open to all',
        [ev.sent(1.0, key_name=''), ev.begin(2.0, service='menu')],
    ),
    Case(
        'a service that the account may not use',
        [ev.sent(1.0), ev.begin(2.0, service='secret-menu')],
        [2.0],
    ),
]

P4 = [
    Case('no key seen', [ev.begin(1.0), ev.at_server('shed', 2.0)]),
    Case('key in a run', [ev.begin(1.0, secret_seen=True)], [1.0]),
    Case(
        'key in a request that was shed',
        [ev.at_server('shed', 1.0, secret_seen=True)],
        [1.0],
    ),
]

WITHDRAWN = ev.FACTS._replace(
    key_withdrawals=(checking.KeyWithdrawalFact('acme-1', 10.0),)
)

P5 = [
    Case(
        'a run just inside the bound',
        [ev.sent(18.9), ev.begin(19.0), ev.answered(18.95)],
        facts=WITHDRAWN,
    ),
    Case(
        'a run after the bound',
        [ev.sent(18.9), ev.begin(19.1)],
        [19.1],
        WITHDRAWN,
    ),
    Case(
        'an answer to a connected caller after the bound',
        [ev.sent(9.0), ev.begin(9.1), ev.answered(19.2)],
        [19.2],
        WITHDRAWN,
    ),
    Case(
        'a refusal after the bound',
        [ev.sent(30.0), ev.refused(30.1, kind='unauthorized', status=401)],
        facts=WITHDRAWN,
    ),
    Case(
        'another key works on',
        [ev.sent(30.0, key_name='zeta-1'), ev.begin(30.1)],
        facts=WITHDRAWN,
    ),
]

P6 = [
    Case('burst and allowance at once', runs([1.0] * 7)),
    Case('one above burst and allowance', runs([1.0] * 8), [1.0]),
    Case('at the rate', runs([number / 10 for number in range(100)])),
    Case(
        'at twice the rate for a second',
        runs([number / 20 for number in range(16)]),
        [14 / 20],
    ),
    Case(
        'burst after a pause',
        runs([0.0] * 5 + [0.5] * 5),
    ),
    Case('a pause adds no burst', runs([0.0] + [100.0] * 8), [100.0]),
    Case(
        'two accounts do not add up',
        runs([1.0] * 6) + runs([1.0] * 6, account='zeta'),
    ),
    Case(
        'account known only from the caller',
        [ev.sent(0.0, f'r{number}') for number in range(8)]
        + runs([1.0] * 8, account=''),
        [1.0],
    ),
    Case('open to all', runs([1.0] * 20, service='menu')),
]

KILLED = ev.FACTS._replace(
    process_kills=(checking.ProcessKillFact('vm-1', 4.5),)
)

P7 = [
    Case('whole and own', [ev.begin(1), ev.end(2), ev.answered(3.0)]),
    Case(
        'answer of another request',
        [ev.answered(3.0, answer_request_id='other')],
        [3.0],
    ),
    Case(
        'answer to another body',
        [ev.answered(3.0, answer_digest='0')],
        [3.0],
    ),
    Case(
        'too short but called whole',
        [ev.begin(1), ev.end(2), ev.answered(3.0, answer_bytes=50)],
        [3.0],
    ),
    Case(
        'cut though its run ended',
        [ev.begin(1), ev.end(2), ev.answered(3.0, complete=False)],
        [3.0],
    ),
    Case(
        'cut by the backend server',
        [
            ev.begin(1),
            ev.at_server('cut', 2),
            ev.answered(3.0, complete=False),
        ],
    ),
    Case(
        'cut by the death of the VM',
        [ev.begin(4), ev.end(4.1), ev.answered(5.0, complete=False)],
        facts=KILLED,
    ),
    Case(
        'cut by the death of the VM long before',
        [ev.begin(8), ev.end(8.1), ev.answered(9.0, complete=False)],
        [9.0],
        KILLED,
    ),
    Case(
        'cut by the withdrawal of its key',
        [ev.begin(11), ev.end(11.1), ev.answered(12.0, complete=False)],
        facts=WITHDRAWN,
    ),
    Case(
        'cut before the withdrawal of its key',
        [ev.begin(8), ev.end(8.1), ev.answered(9.0, complete=False)],
        [9.0],
        WITHDRAWN,
    ),
    Case('an error is no answer', [ev.refused(3.0, answer_request_id='')]),
]

P8 = [
    Case('not run and did not', [ev.sent(1.0), ev.refused(2.0)]),
    Case(
        'ran though not run',
        [ev.sent(1.0), ev.begin(1.5), ev.refused(2.0)],
        [2.0],
    ),
    Case(
        'ran after the answer',
        [ev.sent(1.0), ev.refused(2.0), ev.begin(2.5)],
        [2.0],
    ),
    Case(
        'an order that had run in an earlier try',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.sent(3.0, vm='vm-2'),
            ev.refused(4.0, vm='vm-2'),
        ],
        [4.0],
    ),
    Case(
        'a read that runs in a later try',
        [
            ev.sent(1.0, idempotent=True),
            ev.refused(2.0, idempotent=True),
            ev.sent(3.0, vm='vm-2', idempotent=True),
            ev.begin(3.5),
        ],
    ),
    Case(
        'a read refused in both tries',
        [
            ev.sent(1.0, idempotent=True),
            ev.refused(2.0, idempotent=True),
            ev.sent(3.0, vm='vm-2', idempotent=True),
            ev.begin(3.5),
            ev.refused(4.0, vm='vm-2', idempotent=True),
        ],
        [4.0],
    ),
    Case(
        'unknown makes no promise',
        [ev.sent(1.0), ev.begin(1.5), ev.refused(2.0, ran='unknown')],
    ),
    Case(
        'a copy that found no connection tells of itself alone',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.sent(3.0, vm='vm-2'),
            ev.refused(4.0, vm='vm-2', status=0, kind='connect_failed'),
        ],
    ),
    Case(
        'a try without a connection that ran',
        [
            ev.sent(1.0),
            ev.begin(1.5),
            ev.refused(2.0, status=0, kind='connect_failed'),
        ],
        [2.0],
    ),
]

P9 = [
    Case('once', [ev.sent(1.0), ev.begin(1.5)]),
    Case('twice', [ev.sent(1.0), ev.begin(1.5), ev.begin(2.0)], [2.0]),
    Case(
        'twice under two ids of one order',
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
        [ev.at_server('shed', 1.0), ev.begin(1.5)],
    ),
    Case(
        'a read may run twice',
        [ev.begin(1.0, method='GET'), ev.begin(1.5, method='GET')],
    ),
    Case(
        'a crash was a run',
        [ev.begin(1.0), ev.at_server('crash', 1.0), ev.begin(2.0)],
        [2.0],
    ),
]

DRAINED = ev.FACTS._replace(
    server_drains=(checking.ServerDrainFact('b-1', 10.0, 30.0),)
)

P10 = [
    Case('just inside the bound', [ev.begin(15.0)], facts=DRAINED),
    Case('after the bound', [ev.begin(15.1)], [15.1], DRAINED),
    Case('shed after it', [ev.at_server('shed', 16)], [16.0], DRAINED),
    Case('after the drain', [ev.begin(30.1)], facts=DRAINED),
    Case('another server', [ev.begin(20.0, server='b-2')], facts=DRAINED),
    Case('ends what ran', [ev.end(20.0)], facts=DRAINED),
]

STOPPED = ev.FACTS._replace(
    vm_stops=(checking.VmStopFact('vm-1', 10.0, 20.0),),
    server_drains=(checking.ServerDrainFact('b-1', 10.0, None),),
)

LOST: ev.Event = {'status': 0, 'kind': 'connection_lost', 'complete': False}

P11 = [
    Case('answered while stopping', [ev.answered(12.0)], facts=STOPPED),
    Case('cut by the stop', [ev.answered(12.0, **LOST)], [12.0], STOPPED),
    Case(
        'body cut by the stop',
        [ev.answered(12.0, complete=False)],
        [12.0],
        STOPPED,
    ),
    Case(
        'sent before the end, lost after it',
        [ev.answered(20.5, **LOST)],
        [20.5],
        STOPPED,
    ),
    Case('lost before the stop', [ev.answered(9.0, **LOST)], facts=STOPPED),
    Case('after its end', [ev.answered(22.0, **LOST)], facts=STOPPED),
    Case('other VM', [ev.answered(12.0, vm='vm-2', **LOST)], facts=STOPPED),
    Case(
        'killed while stopping',
        [ev.answered(12.0, **LOST)],
        facts=STOPPED._replace(
            process_kills=(checking.ProcessKillFact('vm-1', 11.5),)
        ),
    ),
    Case(
        'could not connect',
        [ev.answered(12.0, **{**LOST, 'kind': 'connect_failed'})],
        facts=STOPPED,
    ),
    Case(
        'the caller left',
        [ev.event('gave_up', 11.0, request_id='r'), ev.answered(12.0, **LOST)],
        facts=STOPPED,
    ),
    Case(
        'cancelled on a draining server',
        [ev.at_server('cancel', 12.0)],
        [12.0],
        STOPPED,
    ),
    Case(
        'cancelled at its deadline',
        [
            ev.at_server('cancel', 12.0),
            ev.answered(12.1, status=504, kind='deadline_exceeded'),
        ],
        facts=STOPPED,
    ),
    Case(
        'cancelled because the caller left',
        [
            ev.event('gave_up', 11.0, request_id='r'),
            ev.at_server('cancel', 12.0),
        ],
        facts=STOPPED,
    ),
]

TICKETS = ev.FACTS._replace(
    tickets=(
        checking.TicketFact(1, 10.0, 12.0),
        checking.TicketFact(2, 20.0, None),
    )
)

P12 = [
    Case(
        'applied in time',
        [ev.applied(11.0, 5, 1), ev.served(13.0), ev.served(28.9)],
        facts=TICKETS,
    ),
    Case('not yet accepted', [ev.served(11.9)], facts=TICKETS),
    Case('serves without it', [ev.served(12.1)], [12.1], TICKETS),
    Case(
        'committed too long ago',
        [ev.applied(11.0, 5, 1), ev.served(29.1)],
        [29.1],
        TICKETS,
    ),
    Case(
        'index goes back',
        [ev.applied(11.0, 5, 1), ev.applied(12.0, 4, 1)],
        [12.0],
    ),
    Case(
        'ticket goes back',
        [ev.applied(11.0, 5, 2), ev.applied(12.0, 6, 1)],
        [12.0],
    ),
    Case(
        'an epoch keeps the ticket',
        [ev.applied(11.0, 5, 1), ev.applied(12.0, 6, 1)],
    ),
    Case(
        'a restarted VM must have it as well',
        [
            ev.applied(11.0, 5, 1),
            {**ev.served(13.0), 'incarnation': 'j'},
        ],
        [13.0],
        TICKETS,
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
    """Each promise has histories that break it and near misses."""

    def test_cases(self) -> None:
        """Guards against a checker that misses a fault or invents one."""
        for promise, cases in CASES.items():
            for case in cases:
                with self.subTest(promise=promise, name=case.name):
                    found = checking.CHECKERS[promise](
                        case.history, case.facts
                    )
                    self.assertEqual(
                        case.wrong_at, [one.time_s for one in found], found
                    )
                    self.assertLessEqual(
                        {one.promise for one in found}, {promise}
                    )

    def test_every_promise_has_good_and_bad_histories(self) -> None:
        """Guards against a checker that no history has made fail."""
        self.assertEqual(set(checking.CHECKERS), set(CASES))
        for promise, cases in CASES.items():
            with self.subTest(promise=promise):
                self.assertTrue(any(case.wrong_at for case in cases))
                self.assertTrue(any(not case.wrong_at for case in cases))

    def test_check_runs_all(self) -> None:
        """Guards against a checker that is left out of the whole check."""
        history = [ev.begin(2.0, secret_seen=True)]
        found = {
            one.promise for one in checking.check_history(history, ev.FACTS)
        }
        self.assertEqual({'P3', 'P4'}, found)


class TestFacts(unittest.TestCase):
    """Facts that come from the operator's and the servers' events."""

    def test_ticket_times_and_effects(self) -> None:
        """Guards against drains and withdrawals that no checker sees."""
        history = [
            ev.event(
                'ticket_submitted',
                1.0,
                number=2,
                withdrawn_keys=['acme-1'],
                issued_keys=[('new-1', 'acme')],
                drains=[('d', 'backend_server', 'b-1'), ('e', 'vm', 'vm-1')],
                ended_drains=[],
            ),
            ev.event('ticket_submitted', 1.5, number=3, ended_drains=['d']),
            ev.event('ticket_committed', 2.0, number=2),
            ev.event('ticket_accepted', 3.0, number=2),
            ev.event('ticket_accepted', 4.0, number=3),
            ev.event('ticket_submitted', 5.0, number=4, withdrawn_keys=['x']),
            ev.event('server_state', 6.0, server='b-2', state='draining'),
            ev.event('server_state', 7.0, server='b-2', state='serving'),
            ev.event('stop_began', 8.0, name='vm-1'),
            ev.event('stop_ended', 9.0, name='vm-1'),
            ev.event('killed', 9.5, name='vm-2'),
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
    """Figures count a request with all its resends once."""

    def history(self) -> list[ev.Event]:
        """Return an order resent, one doubled, one lost and two refused."""
        zeta = {'account': 'zeta', 'key_name': 'zeta-1'}
        refusal = {'kind': 'over_rate', 'status': 429}
        history = [
            ev.sent(1.0, 'a1', family='a'),
            ev.answered(1.5, 'a1', family='a', latency_s=0.5, **LOST),
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
            ev.refused(5.1, 'd', **zeta, **refusal),
            ev.sent(5.2, 'e', **zeta),
            ev.begin(5.3, 'e', **zeta),
            ev.answered(5.4, 'e', **zeta),
        ]
        return history

    def test_figures(self) -> None:
        """Guards against resends, doubles or losses counted wrongly."""
        made = checking.summarize(self.history(), ev.FACTS)
        total = made['total']
        self.assertEqual(5, total['requests'])
        self.assertEqual({'ok': 4, 'over_rate': 1}, total['outcomes'])
        self.assertEqual(1, total['doubled'])
        self.assertEqual(1, total['lost'])
        self.assertEqual(1, total['refused_inside_rate'])
        self.assertEqual(1, total['cut'])
        self.assertAlmostEqual(0.2, total['latency_s']['p50'])
        self.assertAlmostEqual(2.0, total['latency_s']['p99'])
        self.assertEqual({'acme', 'zeta'}, set(made['by_account']))
        self.assertEqual(5, made['by_service']['bookings']['requests'])

    def test_worst_served_account(self) -> None:
        """Guards against a mean that hides the worst-served account."""
        made = checking.summarize(self.history(), ev.FACTS)
        self.assertEqual(('zeta', 0.5), made['worst_served'])
        fair = checking.summarize(self.history(), ev.FACTS, {'zeta': 1.0})
        self.assertEqual(('acme', 1.0), fair['worst_served'])

    def test_refusals_above_the_rate_are_rightful(self) -> None:
        """Guards against counting the excess of a greedy account."""
        history = []
        for number in range(8):
            history.append(ev.sent(1.0, f'r{number}'))
            if number >= 5:
                history.append(ev.refused(1.1, f'r{number}', kind='over_rate'))
        total = checking.summarize(history, ev.FACTS)['total']
        self.assertEqual(5, total['inside_rate'])
        self.assertEqual(0, total['refused_inside_rate'])

    def test_greedy_account_may_be_served_other_requests(self) -> None:
        """Guards against refusals called wrong though the rate was served."""
        history = []
        for number in range(8):
            history.append(ev.sent(1.0, f'r{number}'))
            if number < 3:
                history.append(ev.refused(1.1, f'r{number}', kind='over_rate'))
            else:
                history.append(ev.begin(1.05, f'r{number}'))
                history.append(ev.answered(1.1, f'r{number}'))
        total = checking.summarize(history, ev.FACTS)['total']
        self.assertEqual(0, total['refused_inside_rate'])

    def test_requests_with_a_withdrawn_key_are_due_nothing(self) -> None:
        """Guards against an account blamed for its callers' old key."""
        gone = checking.KeyWithdrawalFact('acme-1', 0.5)
        facts = ev.FACTS._replace(key_withdrawals=(gone,))
        history = [
            ev.sent(1.0, 'a', key_name='acme-1'),
            ev.refused(1.1, 'a', kind='unauthorized', status=401),
        ]
        total = checking.summarize(history, facts)['total']
        self.assertEqual(0, total['inside_rate'])
