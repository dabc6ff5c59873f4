"""Tests of the request quarantine and the retry budget."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from filbertstep import routing

ACCOUNTS = ('bakery', 'roaster', None)
FINGERPRINTS = ('f0', 'f1', 'f2')


class TestFingerprint(unittest.TestCase):
    """Only equal requests of one account have the same fingerprint."""

    def test_each_part_matters(self) -> None:
        """Guards against different requests with the same fingerprint."""
        cases = (
            ('a', 'GET', '/x', b''),
            ('b', 'GET', '/x', b''),
            (None, 'GET', '/x', b''),
            ('a', 'PUT', '/x', b''),
            ('a', 'GET', '/y', b''),
            ('a', 'GET', '/x', b'1'),
            ('aG', 'ET', '/x', b''),
            ('a', 'GET', '/', b'x'),
            ('a', 'GET', '', b'/x'),
        )
        found = {routing.request_fingerprint(*case) for case in cases}
        self.assertEqual(len(cases), len(found))
        self.assertEqual(
            routing.request_fingerprint(*cases[0]),
            routing.request_fingerprint(*cases[0]),
        )


class TestQuarantine(unittest.TestCase):
    """Two strikes put a request of an account in quarantine for 600 s."""

    def test_second_strike_quarantines(self) -> None:
        """Guards against a request that crashes one server after another."""
        system = routing.QuarantineSystem('vm-1', 'a')
        system.record_strike('bakery', 'f', 10.0)
        self.assertIsNone(system.quarantine_left_s('bakery', 'f', 10.0))
        system.record_strike('bakery', 'f', 20.0)
        self.assertEqual(600.0, system.quarantine_left_s('bakery', 'f', 20.0))
        self.assertEqual(1.0, system.quarantine_left_s('bakery', 'f', 619.0))
        self.assertIsNone(system.quarantine_left_s('bakery', 'f', 620.0))
        self.assertIsNone(system.quarantine_left_s('roaster', 'f', 20.0))
        system.tick(620.0)
        self.assertEqual({}, system.strikes_by_account)

    def test_strikes_of_two_vms_add_up(self) -> None:
        """Guards against a caller that resends to one VM after another."""
        first = routing.QuarantineSystem('vm-1', 'a')
        second = routing.QuarantineSystem('vm-2', 'b')
        first.record_strike('bakery', 'f', 10.0)
        second.record_strike('bakery', 'f', 110.0)
        second.receive('vm-1', 'a', first.payload(12.0), 112.0)
        self.assertIsNotNone(second.quarantine_left_s('bakery', 'f', 112.0))
        # Repeated heartbeats change neither the count nor the time.
        until = second.quarantine_left_s('bakery', 'f', 120.0)
        for _ in range(20):
            second.receive('vm-1', 'a', first.payload(12.0), 120.0)
            first.receive('vm-2', 'b', second.payload(120.0), 20.0)
        self.assertEqual(until, second.quarantine_left_s('bakery', 'f', 120.0))
        self.assertEqual(590.0, first.quarantine_left_s('bakery', 'f', 20.0))

    def test_strike_is_not_counted_twice(self) -> None:
        """Guards against counting a strike again when a peer sends it back."""
        first = routing.QuarantineSystem('vm-1', 'a')
        second = routing.QuarantineSystem('vm-2', 'b')
        first.record_strike('bakery', 'f', 10.0)
        for now in range(11, 60):
            second.receive('vm-1', 'a', first.payload(now), now)
            first.receive('vm-2', 'b', second.payload(now), now)
        self.assertIsNone(first.quarantine_left_s('bakery', 'f', 60.0))
        self.assertIsNone(second.quarantine_left_s('bakery', 'f', 60.0))

    def test_a_crash_counts_once(self) -> None:
        """Guards against a quarantine of what one crash has broken off.

        Where starts are not told, the time between two requests tells whether
        the server can have started again.
        """
        for starts, sent, expected in (
            ('111', (0.0, 1.0, 30.0), 1),
            ('112', (0.0, 1.0, 1.0), 2),
            ('000', (0.0, 1.0, 1.5), 1),
            ('000', (0.0, 6.0, 12.0), 3),
            # Broke at 4 and at 10: the second can have run from 3 on only.
            ('00', (3.0, 5.9), 1),
            ('00', (3.0, 6.1), 2),
        ):
            with self.subTest(starts=starts, sent=sent):
                crashes = [
                    routing.Crash('s', int(start), at, max(4.0, at + 0.5))
                    for start, at in zip(starts, sent, strict=True)
                ]
                first = routing.QuarantineSystem('vm-1', 'a', expected + 1)
                second = routing.QuarantineSystem('vm-2', 'b', expected)
                for crash in crashes:
                    first.record_strike('a', 'f', 40.0, crash)
                    second.record_strike('a', 'f', 40.0, crash)
                part = routing.CrashesPart(first)
                for system in (first, second):
                    routing.CrashesPart(system).receive(
                        'vm-1', 'a', part.payload(40.0), 40.0
                    )
                    system.receive('vm-1', 'a', first.payload(40.0), 40.0)
                self.assertIsNone(first.quarantine_left_s('a', 'f', 40.0))
                self.assertIsNotNone(second.quarantine_left_s('a', 'f', 40.0))

    def test_vms_that_see_one_crash(self) -> None:
        """Guards against one crash that counts once for each VM."""
        systems = [routing.QuarantineSystem(f'vm-{n}', 'a') for n in range(3)]
        for system in systems:
            crash = routing.Crash('s', 0, 1.0, 2.0)
            system.record_strike('a', 'f', 2.0, crash)
        for number, sender in enumerate(systems):
            for system in systems:
                if system is not sender:
                    for part in (routing.CrashesPart(sender), sender):
                        part_of_receiver = (
                            system
                            if part is sender
                            else routing.CrashesPart(system)
                        )
                        part_of_receiver.receive(
                            f'vm-{number}', 'a', part.payload(3.0), 3.0
                        )
        for system in systems:
            self.assertIsNone(system.quarantine_left_s('a', 'f', 3.0))

    def test_payload_is_bounded_and_shared_by_accounts(self) -> None:
        """Guards against one account that takes all space in heartbeats."""
        system = routing.QuarantineSystem('vm-1', 'a')
        system.record_strike('bakery', 'victim', 1.0)
        for number in range(2000):
            name = routing.request_fingerprint(
                'flood', 'GET', f'/{number}', b''
            )
            system.record_strike('flood', name, 2.0 + number / 1000)
        payload = system.payload(10.0)
        self.assertIn(
            'victim', [row['fingerprint'] for row in payload['strikes']]
        )
        self.assertLess(len(json.dumps(payload)), 2500)
        self.assertLessEqual(len(system.strikes_by_account['flood']), 256)

    def test_invalid_payload_is_ignored(self) -> None:
        """Guards against exceptions due to peers of another version."""
        system = routing.QuarantineSystem('vm-1', 'a')
        row = {'account': 'a', 'fingerprint': 'f', 'strikes': 2, 'age_s': 1.0}
        for invalid in (
            {},
            {'strikes': 1},
            {'strikes': [{**row, 'age_s': -5.0}]},
            {'strikes': [{**row, 'age_s': 1e9}]},
            {'strikes': [{**row, 'strikes': -1}]},
            {'strikes': [{**row, 'other': 1}]},
        ):
            with self.subTest(invalid=invalid):
                system.receive('vm-2', 'b', invalid, 10.0)
                self.assertEqual({}, system.strikes_by_account)

    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.just('strike'),
                    strategies.integers(0, 2),
                    strategies.sampled_from(ACCOUNTS),
                    strategies.sampled_from(FINGERPRINTS),
                ),
                strategies.tuples(
                    strategies.just('heartbeat'),
                    strategies.integers(0, 2),
                    strategies.integers(0, 2),
                    strategies.none(),
                ),
                strategies.tuples(
                    strategies.just('pause'),
                    strategies.sampled_from([1, 60, 400, 599]),
                    strategies.none(),
                    strategies.none(),
                ),
            ),
            max_size=40,
        )
    )
    def test_any_interleaving(
        self, steps: list[tuple[str, int, object, str | None]]
    ) -> None:
        """Guards against a quarantine without two strikes of the account.

        Each VM quarantines what it saw struck twice within ten minutes, and
        nothing that the same account's requests did not cause.
        """
        systems = [routing.QuarantineSystem(f'vm-{n}', 'a') for n in range(3)]
        struck: list[tuple[int, int, object, str]] = []
        now = 0
        for kind, number, second, name in steps:
            if kind == 'pause':
                now += number
                for system in systems:
                    system.tick(now)
            elif kind == 'heartbeat':
                assert isinstance(second, int)
                if number != second:
                    systems[second].receive(
                        f'vm-{number}', 'a', systems[number].payload(now), now
                    )
            else:
                assert name is not None
                assert second is None or isinstance(second, str)
                systems[number].record_strike(second, name, now)
                struck.append((now, number, second, name))
            self.check(systems, struck, now)

    def check(
        self,
        systems: list[routing.QuarantineSystem],
        struck: list[tuple[int, int, object, str]],
        now: int,
    ) -> None:
        """Check the quarantine of every VM, account and fingerprint."""
        for number, system in enumerate(systems):
            for account in ACCOUNTS:
                for name in FINGERPRINTS:
                    hits = [
                        (at, vm)
                        for at, vm, whose, what in struck
                        if whose == account and what == name
                    ]
                    left = system.quarantine_left_s(account, name, now)
                    own = [at for at, vm in hits if vm == number]
                    if (
                        len(own) > 1
                        and own[-1] - own[-2] < 600 > now - own[-1]
                    ):
                        self.assertIsNotNone(left)
                    if left is not None:
                        self.assertGreater(len(hits), 1)
                        self.assertLessEqual(left, hits[-1][0] + 600 - now)


class TestRetryBudget(unittest.TestCase):
    """Retries are limited to a tenth of the requests of a service."""

    def test_retries_are_a_tenth_of_requests(self) -> None:
        """Guards against retries that multiply the load."""
        budget = routing.RetryBudget()
        self.assertFalse(budget.try_spend('bookings'))
        retries = 0
        for number in range(1, 1001):
            budget.record_request('bookings')
            retries += budget.try_spend('bookings')
            self.assertLessEqual(retries, number / 10)
        self.assertEqual(100, retries)

    def test_services_have_separate_budgets(self) -> None:
        """Guards against a service that spends the budget of another."""
        budget = routing.RetryBudget()
        for _ in range(10):
            budget.record_request('bookings')
        self.assertFalse(budget.try_spend('parts'))
        self.assertTrue(budget.try_spend('bookings'))
        budget.retain_services({'parts'})
        self.assertEqual({}, budget.tokens)

    def test_saved_retries_are_limited(self) -> None:
        """Guards against a large burst of retries after a long quiet time."""
        budget = routing.RetryBudget()
        for _ in range(100_000):
            budget.record_request('bookings')
        retries = sum(budget.try_spend('bookings') for _ in range(1000))
        self.assertEqual(20, retries)
