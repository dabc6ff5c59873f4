"""Tests for admission: routes, keys, accounts and deadlines."""

import typing
import unittest

import result

from filbertstep import _admission
from filbertstep import config
from filbertstep import errors
from tests import exchange_bench
from tests import routing_fakes

ErrorKind = errors.ErrorKind
NOW = 100.0


class AdmissionCase(unittest.TestCase):
    """Base class: admission with one configuration view."""

    def setUp(self) -> None:
        """Build admission with the configuration."""
        self.views = config.ViewTable()
        routing_fakes.learn(
            self.views, exchange_bench.documents(), 1, NOW - 50
        )
        self.admission = _admission.Admission(self.views)

    def admit(
        self, now: float = NOW, **parts: typing.Any
    ) -> result.Result[_admission.AdmittedRequest, errors.Failure]:
        """Return the result of admitting a request."""
        return self.admission.admit(exchange_bench.raw_request(**parts), now)

    def kind(self, now: float = NOW, **parts: typing.Any) -> ErrorKind:
        """Return the error kind for a request that must be refused."""
        return self.admit(now, **parts).unwrap_err().kind


class TestRoutes(AdmissionCase):
    """Finding the service for a path."""

    CASES: typing.Final[dict[str, str | None]] = {
        '/bookings': 'bookings',
        '/bookings/': 'bookings',
        '/bookings/7/notes': 'bookings',
        '/bookings/urgent': 'urgent',
        '/bookings/urgent/7': 'urgent',
        '/bookings/urgently': 'bookings',
        '/bookingsx': None,
        '/Bookings': None,
        '/parts/3': 'parts',
        '/': None,
        '': None,
        '//bookings': None,
    }

    def test_longest_prefix_of_whole_segments(self) -> None:
        """A request must not be routed to another service."""
        view = self.views.newest
        assert view is not None
        for path, name in self.CASES.items():
            with self.subTest(path):
                found = _admission.RouteTable().find_service(view, path)
                self.assertEqual(name, found.name if found else None)

    def test_changed_services_are_used_at_once(self) -> None:
        """Routes must not be those of a replaced view."""
        docs = exchange_bench.documents()
        self.assertEqual(ErrorKind.NOT_FOUND, self.kind(path='/jobs/1'))
        docs[config.EntityKind.SERVICE]['bookings']['path_prefix'] = '/jobs'
        routing_fakes.learn(self.views, docs, 2, NOW)
        self.assertEqual(ErrorKind.NOT_FOUND, self.kind(path='/bookings/1'))
        self.assertTrue(self.admit(path='/jobs/1').is_ok())

    def test_nothing_is_found_without_a_view(self) -> None:
        """A request before the first configuration must not crash."""
        admission = _admission.Admission(config.ViewTable())
        refused = admission.admit(exchange_bench.raw_request(), NOW)
        self.assertEqual(ErrorKind.NOT_FOUND, refused.unwrap_err().kind)


class TestAccounts(AdmissionCase):
    """Finding and checking the account of a request."""

    def test_refusals(self) -> None:
        """A request without a permitted account's key must be refused."""
        cases: list[tuple[dict[str, typing.Any], ErrorKind]] = [
            ({'key': None}, ErrorKind.UNAUTHORIZED),
            ({'key': 'fbk-' + 'x' * 40}, ErrorKind.UNAUTHORIZED),
            ({'path': '/bookings/urgent'}, ErrorKind.FORBIDDEN),
            ({'path': '/nowhere', 'key': None}, ErrorKind.NOT_FOUND),
            (
                {'headers': (('X-Api-Key', 'fbk-' + 'y' * 40),)},
                ErrorKind.BAD_REQUEST,
            ),
        ]
        for parts, kind in cases:
            with self.subTest(parts=parts):
                self.assertEqual(kind, self.kind(**parts))

    def test_open_service(self) -> None:
        """An open service must not require a key."""
        for key in (None, exchange_bench.SECRET):
            admitted = self.admit(path='/parts/1', key=key).unwrap()
            self.assertEqual(_admission.OPEN_ACCOUNT, admitted.account)
            self.assertEqual(_admission.OPEN_ACCOUNT_WEIGHT, admitted.weight)

    def test_client_account_cannot_have_the_open_account_name(self) -> None:
        """No client account may escape its rate limit by its name.

        The open account was named ``open``.  A ticket could create a client
        account of that name, which then had no rate limit.
        """
        ticket = {
            'number': 1,
            'author': 'anna',
            'changes': [
                {
                    'kind': 'client_account',
                    'name': _admission.OPEN_ACCOUNT,
                    'state': {'rate': 1, 'burst': 1, 'services': []},
                }
            ],
        }
        parsed = config.check_ticket(ticket)
        self.assertIn('name', parsed.unwrap_err().message)

    def test_withdrawn_key(self) -> None:
        """A withdrawn key must stop working (property P5)."""
        admitted = self.admit().unwrap()
        self.assertTrue(self.admission.is_still_authorized(admitted, NOW))
        docs = exchange_bench.documents(with_key=False)
        routing_fakes.learn(self.views, docs, 2, NOW)
        self.assertEqual(ErrorKind.UNAUTHORIZED, self.kind())
        self.assertFalse(self.admission.is_still_authorized(admitted, NOW))

    def test_issued_key_works_after_former_view_expires(self) -> None:
        """A key must not work before all VMs can know it."""
        without = exchange_bench.documents(with_key=False)
        routing_fakes.learn(self.views, without, 2, NOW - 1)
        routing_fakes.learn(self.views, exchange_bench.documents(), 3, NOW)
        self.assertEqual(ErrorKind.UNAUTHORIZED, self.kind(NOW + 3.9))
        self.assertTrue(self.admit(NOW + 4.1).is_ok())


class TestDeadlines(AdmissionCase):
    """The deadline: the shorter of the caller's and the service's time."""

    def test_deadlines(self) -> None:
        """A request must not run longer than its caller waits."""
        cases: dict[str, float | None] = {
            '1500': 1.5,
            '1': 0.001,
            '99999': 5.0,
            '0': None,
            '-1': None,
            '1.5': None,
            '': None,
            'soon': None,
            '9' * 400: None,
        }
        for text, seconds in cases.items():
            with self.subTest(text):
                found = self.admit(headers=(('x-deadline-MS', text),))
                if seconds is None:
                    kind = found.unwrap_err().kind
                    self.assertEqual(ErrorKind.BAD_REQUEST, kind)
                else:
                    deadline = found.unwrap().deadline
                    self.assertAlmostEqual(NOW + seconds, deadline)
        self.assertEqual(NOW + 5.0, self.admit().unwrap().deadline)

    def test_at_most_once_methods(self) -> None:
        """A non-idempotent request must be marked to run at most once."""
        for method, at_most_once in {
            'GET': False,
            'POST': True,
            'get': True,
        }.items():
            admitted = self.admit(method=method).unwrap()
            self.assertEqual(at_most_once, admitted.at_most_once, method)


class TestDigests(unittest.TestCase):
    """The digest that detects different requests under one id."""

    def test_every_part_counts(self) -> None:
        """Another request under the id of the first must be detected."""
        base = _admission.RawRequest('POST', '/a', 'b=1', ())
        digests = {
            _admission.request_digest(one, body)
            for one, body in (
                (base, b''),
                (base, b'x'),
                (base._replace(method='PUT'), b''),
                (base._replace(path='/ab', query='=1'), b''),
                (base._replace(query='b=2'), b''),
            )
        }
        self.assertEqual(5, len(digests))
