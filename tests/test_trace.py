"""Log lines of a failed request show the injected cause."""

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
    """Output of the command for failed requests."""

    def build_logged(self, *outcomes: object) -> None:
        """Build a VM that writes its log to a pipe."""
        self.build(*outcomes)  # type: ignore[arg-type]
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = _log.PipeHandler(writer)
        self.decision_log = _log.DecisionLog(
            'v1', 1000.0, clock.SystemClock(), self.handler
        )
        self.state.log = self.decision_log

    def render(self, request_id: str) -> str:
        """Return the output of the command."""
        self.decision_log.flush()
        text = os.read(self.reader, 1 << 20).decode()
        lines = [
            line for line in map(trace.parse_line, text.splitlines()) if line
        ]
        return trace.render_lines(
            trace.related_lines(lines, request_id), request_id
        )

    async def test_an_exceeded_rate(self) -> None:
        """Guards against a refusal without its cause in the log."""
        self.build_logged()
        account = samples.account(rate_per_s=1.0, burst_tokens=1.0)
        self.configure(accounts={'acme': account})
        for number in range(14):
            await self.serve(request_id=f'id-{number}')
        output = self.render('id-13')
        self.assertIn('outcome=over_rate', output)
        self.assertIn('account=acme', output)
        self.assertIn('configuration version=', output)

    async def test_a_broken_server_connection(self) -> None:
        """Guards against a request of unknown outcome without its server."""
        self.build_logged(requests.no_answer(requests.Kind.BROKEN))
        self.configure(routes=(samples.route(idempotent=False),))
        await self.serve(request_id='order')
        output = self.render('order')
        self.assertIn('outcome=broken', output)
        self.assertIn('server=s', output)
        self.assertIn(errors.ErrorKind.BACKEND_FAILED.value, output)

    async def test_a_draining_server(self) -> None:
        """Guards against a drain that is not logged."""
        self.build_logged()
        key = _contracts.ParsedKey(_contracts.KeyKind.SERVER, 's0')
        for server_entry in (samples.server('s0', draining=True), None):
            self.state.apply_server(key, server_entry)
        await self.serve(request_id='next')
        output = self.render('next')
        self.assertIn('server=s0 service=orders draining=True', output)
        self.assertIn('before=True', output)

    async def test_a_key_missing_from_an_outdated_configuration(self) -> None:
        """Guards against a refusal without the age of the VM's data."""
        self.build_logged()
        self.set_knowledge_age(3.5)
        await self.serve(request_id='new', key='added just now')
        output = self.render('new')
        self.assertIn('outcome=no_fresh_config', output)
        self.assertIn('age_s=3.5', output)
        self.assertIn('look at: age_s', output)


class TestParse(unittest.TestCase):
    """Parsing of log lines."""

    def test_prefixes_and_other_formats(self) -> None:
        """Guards against rejecting lines with a prefix of the platform."""
        fields = {'at': 1.5, 'vm': 'v', 'kind': 'try', 'id': 'x'}
        line = trace.parse_line(f'  12.3 front-a {json.dumps(fields)}')
        assert line is not None
        self.assertEqual((line.vm, line.time_s, line.kind), ('v', 1.5, 'try'))
        for text in ('', 'no json', '{broken', '{"at":1}'):
            with self.subTest(text=text):
                self.assertIsNone(trace.parse_line(text))
