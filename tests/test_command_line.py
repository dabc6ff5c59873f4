"""Tests of what all command lines share, without starting anything."""

import asyncio
import contextlib
import io
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

from aiohttp import web

import filbertstep
from filbertstep import _command_line
from filbertstep import _ctl
from filbertstep import _web
from filbertstep import caller
from filbertstep import ctl
from filbertstep import demo
from filbertstep import node
from filbertstep import settings
from filbertstep import standins
from tests import test_settings

MAINS = {
    'filbertstep-node': node.main,
    'filbertstep-ctl': ctl.main,
    'filbertstep-call': caller.main,
    'filbertstep-demo': demo.main,
    'filbertstep-standin-store': standins.store_main,
    'filbertstep-standin-vms': standins.vms_main,
    'filbertstep-standin-backend': standins.backend_main,
    'filbertstep-standin-link': standins.link_main,
}


def run(name: str, *arguments: str) -> tuple[int, str, str]:
    """Run a main function; return exit code, output and error output."""
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, 'argv', [name, *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            MAINS[name]()
        except SystemExit as error:
            code = error.code if isinstance(error.code, int) else 1
            return code, out.getvalue(), err.getvalue()
    return 0, out.getvalue(), err.getvalue()


class TestAllCommands(unittest.TestCase):
    """Flags that work the same way everywhere."""

    def setUp(self) -> None:
        """Make files to check."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.absent = str(self.directory / 'absent')

    def write(self, name: str, text: str) -> str:
        """Write a file; return its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def test_version_and_help(self) -> None:
        """Guards against a command that starts when asked what it is."""
        for name in MAINS:
            with self.subTest(name):
                code, out, _ = run(name, '--version')
                self.assertEqual(
                    (0, filbertstep.__version__), (code, out.strip())
                )
                code, out, err = run(name, '--help')
                self.assertEqual(0, code)
                self.assertIn(name, out + err)

    def test_unknown_flags(self) -> None:
        """Guards against a command that runs before its line is read."""
        for name in MAINS:
            with (
                self.subTest(name),
                mock.patch('uvloop.run', side_effect=AssertionError),
            ):
                self.assertEqual(2, run(name, '--bogus=1')[0])

    def test_check_settings(self) -> None:
        """Guards against a check that starts something, or checks nothing."""
        node_file = self.write('node.json', test_settings.VALID_SETTINGS)
        ctl_file = self.write(
            'ctl.json', '{"urls": ["http://127.0.0.1:1"], "token": "abc"}'
        )
        key = self.write('key', 'k' * 40)
        short = self.write('short', 'k')
        spec = self.write('spec.json', '[]')
        broken = self.write('broken.json', '{"vm": 1}')
        call = ('bookings', '/bookings', '--lookup-urls=http://127.0.0.1:1')
        cases: list[tuple[str, tuple[str, ...], int]] = [
            ('filbertstep-node', (f'--settings={node_file}',), 0),
            ('filbertstep-node', (f'--settings={broken}',), 2),
            ('filbertstep-node', (f'--settings={self.absent}',), 2),
            ('filbertstep-node', (), 2),
            ('filbertstep-ctl', (f'--settings={ctl_file}',), 0),
            ('filbertstep-ctl', (f'--settings={broken}',), 2),
            ('filbertstep-ctl', (f'--settings={self.absent}',), 2),
            ('filbertstep-call', (*call, f'--key-file={key}'), 0),
            ('filbertstep-call', (*call, f'--key-file={short}'), 2),
            ('filbertstep-call', (*call, f'--key-file={self.absent}'), 2),
            ('filbertstep-call', (*call, '--deadline-s=soon'), 2),
            ('filbertstep-call', (*call, f'--ca-file={self.absent}'), 2),
            ('filbertstep-call', (*call[:2], '--lookup-urls=x'), 2),
            ('filbertstep-demo', (), 0),
            ('filbertstep-demo', ('--only=nobody',), 2),
            ('filbertstep-standin-store', ('--port=1',), 0),
            ('filbertstep-standin-store', (), 2),
            ('filbertstep-standin-vms', ('--port=1',), 0),
            ('filbertstep-standin-backend', (f'--spec={spec}',), 0),
            ('filbertstep-standin-backend', (f'--spec={broken}',), 2),
            ('filbertstep-standin-link', ('--port=1', f'--spec={spec}'), 0),
            (
                'filbertstep-standin-link',
                ('--port=1', f'--spec={self.absent}'),
                2,
            ),
        ]
        for name, arguments, expected in cases:
            for flag in ('--check-settings', '--check_settings'):
                with self.subTest(name, arguments=arguments):
                    with mock.patch('uvloop.run', side_effect=AssertionError):
                        # First, where it could take the next argument.
                        code, _, err = run(name, flag, *arguments)
                    self.assertEqual(expected, code, err)
                    self.assertEqual(bool(expected), bool(err))

    def test_switches(self) -> None:
        """Guards against a switch that takes the next argument.

        ``--no_wait tickets submit FILE`` was read as ``--no_wait=tickets``.
        """
        found = {
            item: _command_line.expand_boolean_flag(item)
            for item in ('--no-wait', '--no_wait', '--output', 'no-wait')
        }
        self.assertEqual('--no-wait=True', found['--no-wait'])
        self.assertEqual('--no_wait=True', found['--no_wait'])
        self.assertEqual('--output', found['--output'])
        self.assertEqual('no-wait', found['no-wait'])


class TestWaiting(unittest.IsolatedAsyncioTestCase):
    """Tickets that are not in force in time, at an operators' listener."""

    async def asyncSetUp(self) -> None:
        """Serve an operators' listener whose tickets stay committed."""
        self.posted: list[bytes] = []
        self.break_post = False
        app = web.Application()
        app.router.add_get('/v1/tickets', self.list_tickets)
        app.router.add_post('/v1/tickets', self.submit)
        app.router.add_get('/v1/tickets/{number}', self.show)
        app.router.add_get('/v1/config/key/{name}', self.absent)
        runner = await _web.start_listener(
            app, settings.Listener('127.0.0.1', 0, '', None, None), 1.0
        )
        self.addAsyncCleanup(runner.cleanup)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = f'{directory.name}/ctl.json'
        url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        pathlib.Path(self.path).write_text(
            f'{{"urls": ["{url}", "{url}"], "token": "abc"}}'
        )

    async def list_tickets(self, request: web.Request) -> web.Response:
        """Answer with the newest number."""
        return _web.json_response({'newest': 4, 'tickets': []})

    async def submit(self, request: web.Request) -> web.Response:
        """Take a ticket, or break the connection after it arrived."""
        self.posted.append(await request.read())
        if self.break_post and request.transport is not None:
            request.transport.abort()
        return await self.show(request)

    async def show(self, request: web.Request) -> web.Response:
        """Answer that the ticket is committed."""
        return _web.json_response({'number': 5, 'state': 'committed'})

    async def absent(self, request: web.Request) -> web.Response:
        """Answer that there is no such key."""
        return web.json_response(
            {'kind': 'not_found', 'message': '', 'ran': 'no'}, status=404
        )

    async def run_ctl(self, *arguments: str) -> tuple[int, str, str]:
        """Run the client beside this event loop."""
        with mock.patch.object(_ctl, 'TICKET_WAIT_S', 0.3):
            return await asyncio.to_thread(
                run, 'filbertstep-ctl', f'--settings={self.path}', *arguments
            )

    async def test_not_in_time(self) -> None:
        """Guards against a success that is reported too early."""
        code, _, err = await self.run_ctl('tickets', 'wait', '5')
        self.assertEqual(6, code)
        self.assertIn('ticket 5 is committed', err)

    async def test_key_is_shown_when_its_ticket_may_take_effect(self) -> None:
        """Guards against a key in force that nobody has."""
        issue = ('key', 'issue', 'cafe-1', 'cafe-1-2')
        code, out, _ = await self.run_ctl(*issue)
        self.assertEqual(6, code)
        self.assertIn('key: fbk-', out)
        self.break_post = True
        code, out, err = await self.run_ctl(*issue)
        self.assertEqual(5, code)
        self.assertIn('key: fbk-', out)
        self.assertIn('ticket 5', err)

    async def test_ticket_is_sent_once(self) -> None:
        """Guards against a ticket that is sent again after a broken call."""
        self.break_post = True
        await self.run_ctl('entity', 'delete', 'key', 'cafe-1-2')
        self.assertEqual(1, len(self.posted))
