"""Injected faults are the cause that a request's log lines show."""

import json
import os
import unittest

from filbertstep import clock
from filbertstep import errors
from filbertstep import trace
from filbertstep.entry import _contracts
from filbertstep.entry import _log
from tests import steering_samples as samples
from tests import test_entry_requests as requests


class TestTrace(requests.RequestTestCase):
    """From the id of a failed request to its cause."""

    def build_logged(self, *outcomes: object) -> None:
        """Build a VM whose log lines can be read."""
        self.build(*outcomes)  # type: ignore[arg-type]
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = _log.PipeHandler(writer)
        self.lines = _log.DecisionLog(
            'v1', 1000.0, clock.SystemClock(), self.handler
        )
        self.state.log = self.lines

    def shown(self, request_id: str) -> str:
        """Return what the command prints."""
        self.lines.flush()
        text = os.read(self.reader, 1 << 20).decode()
        rows = [row for row in map(trace.parse_line, text.splitlines()) if row]
        return trace.render_lines(
            trace.related_lines(rows, request_id), request_id
        )

    async def test_a_rate_that_is_spent(self) -> None:
        """Guards against a refusal that logs do not explain."""
        self.build_logged()
        account = samples.account(rate_per_s=1.0, burst_tokens=1.0)
        self.configure(accounts={'acme': account})
        for number in range(14):
            await self.serve(request_id=f'id-{number}')
        found = self.shown('id-13')
        self.assertIn('outcome=over_rate', found)
        self.assertIn('account=acme', found)
        self.assertIn('configuration version=', found)

    async def test_an_order_whose_server_broke_off(self) -> None:
        """Guards against an order of unknown outcome without its server."""
        self.build_logged(requests.no_answer(requests.Kind.BROKEN))
        self.configure(routes=(samples.route(idempotent=False),))
        await self.serve(request_id='order')
        found = self.shown('order')
        self.assertIn('outcome=broken', found)
        self.assertIn('server=s', found)
        self.assertIn(errors.ErrorKind.BACKEND_FAILED.value, found)

    async def test_a_server_that_leaves(self) -> None:
        """Guards against a drain of which no line tells."""
        self.build_logged()
        subject = _contracts.ParsedKey(_contracts.KeyKind.SERVER, 's0')
        for entry in (samples.server('s0', draining=True), None):
            self.state.apply_server(subject, entry)
        await self.serve(request_id='next')
        found = self.shown('next')
        self.assertIn('server=s0 service=orders draining=True', found)
        self.assertIn('before=True', found)

    async def test_a_key_that_an_old_configuration_lacks(self) -> None:
        """Guards against a refusal without the age of what was known."""
        self.build_logged()
        self.set_knowledge_age(3.5)
        await self.serve(request_id='new', key='added just now')
        found = self.shown('new')
        self.assertIn('outcome=no_fresh_config', found)
        self.assertIn('age_s=3.5', found)
        self.assertIn('look at: age_s', found)


class TestParse(unittest.TestCase):
    """Lines of a log."""

    def test_prefixes_and_foreign_lines(self) -> None:
        """Guards against logs that a platform prefixed."""
        row = {'at': 1.5, 'vm': 'v', 'kind': 'try', 'id': 'x'}
        found = trace.parse_line(f'  12.3 front-a {json.dumps(row)}')
        assert found is not None
        self.assertEqual(
            (found.vm, found.time_s, found.kind), ('v', 1.5, 'try')
        )
        for text in ('', 'no json', '{broken', '{"at":1}'):
            with self.subTest(text=text):
                self.assertIsNone(trace.parse_line(text))
