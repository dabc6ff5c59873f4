"""Tests of admission: routes, keys, accounts and deadlines."""

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
    """Admission with one view."""

    def setUp(self) -> None:
        """Learn the configuration."""
        self.views = config.ViewTable()
        routing_fakes.learn(
            self.views, exchange_bench.documents(), 1, NOW - 50
        )
        self.admission = _admission.Admission(self.views)

    def admit(
        self, now: float = NOW, **parts: typing.Any
    ) -> result.Result[_admission.AdmittedRequest, errors.Failure]:
        """Admit a request."""
        return self.admission.admit(exchange_bench.raw_request(**parts), now)

    def kind(self, now: float = NOW, **parts: typing.Any) -> ErrorKind:
        """Return the kind of the refusal of a request."""
        return self.admit(now, **parts).unwrap_err().kind


class TestRoutes(AdmissionCase):
    """The service of a path."""

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
        """Guards against a request that runs at another service."""
        view = self.views.newest
        assert view is not None
        for path, name in self.CASES.items():
            with self.subTest(path):
                found = _admission.RouteTable().find_service(view, path)
                self.assertEqual(name, found.name if found else None)

    def test_changed_services_are_used_at_once(self) -> None:
        """Guards against routes of a view that is no longer the newest."""
        docs = exchange_bench.documents()
        self.assertEqual(ErrorKind.NOT_FOUND, self.kind(path='/jobs/1'))
        docs[config.EntityKind.SERVICE]['bookings']['path_prefix'] = '/jobs'
        routing_fakes.learn(self.views, docs, 2, NOW)
        self.assertEqual(ErrorKind.NOT_FOUND, self.kind(path='/bookings/1'))
        self.assertTrue(self.admit(path='/jobs/1').is_ok())

    def test_nothing_is_found_without_a_view(self) -> None:
        """Guards against a crash before the first configuration."""
        admission = _admission.Admission(config.ViewTable())
        refused = admission.admit(exchange_bench.raw_request(), NOW)
        self.assertEqual(ErrorKind.NOT_FOUND, refused.unwrap_err().kind)


class TestAccounts(AdmissionCase):
    """Whose request it is."""

    def test_refusals(self) -> None:
        """Guards against a request that runs without its account's key."""
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
        """Guards against an open service that asks for a key."""
        for key in (None, exchange_bench.SECRET):
            admitted = self.admit(path='/parts/1', key=key).unwrap()
            self.assertEqual(_admission.OPEN_ACCOUNT, admitted.account)
            self.assertEqual(_admission.OPEN_ACCOUNT_WEIGHT, admitted.weight)

    def test_no_client_account_has_the_name_of_the_open_one(self) -> None:
        """Guards against a client account without a rate.

        The name of the open account was ``open``, which a ticket could give
        to a client account; that account then had no rate at all.
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
        """Guards against a key that works after its withdrawal (P5)."""
        admitted = self.admit().unwrap()
        self.assertTrue(self.admission.is_still_authorized(admitted, NOW))
        docs = exchange_bench.documents(with_key=False)
        routing_fakes.learn(self.views, docs, 2, NOW)
        self.assertEqual(ErrorKind.UNAUTHORIZED, self.kind())
        self.assertFalse(self.admission.is_still_authorized(admitted, NOW))

    def test_issued_key_waits_for_the_other_vms(self) -> None:
        """Guards against a permission that not all VMs know yet."""
        without = exchange_bench.documents(with_key=False)
        routing_fakes.learn(self.views, without, 2, NOW - 1)
        routing_fakes.learn(self.views, exchange_bench.documents(), 3, NOW)
        self.assertEqual(ErrorKind.UNAUTHORIZED, self.kind(NOW + 3.9))
        self.assertTrue(self.admit(NOW + 4.1).is_ok())


class TestDeadlines(AdmissionCase):
    """The least of the caller's and the service's time."""

    def test_deadlines(self) -> None:
        """Guards against a request that runs longer than its caller waits."""
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

    def test_tracked_methods(self) -> None:
        """Guards against an order that is taken for idempotent."""
        for method, at_most_once in {
            'GET': False,
            'POST': True,
            'get': True,
        }.items():
            admitted = self.admit(method=method).unwrap()
            self.assertEqual(at_most_once, admitted.at_most_once, method)


class TestDigests(unittest.TestCase):
    """The digest that tells two requests under one id apart."""

    def test_every_part_counts(self) -> None:
        """Guards against another order under the id of the first one."""
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
