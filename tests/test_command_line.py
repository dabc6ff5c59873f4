"""Tests of command line handling that all programs share."""

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
from filbertstep import explain
from filbertstep import node
from filbertstep import settings
from filbertstep import standins
from tests import test_settings

MAIN_BY_NAME = {
    'filbertstep-node': node.main,
    'filbertstep-ctl': ctl.main,
    'filbertstep-call': caller.main,
    'filbertstep-demo': demo.main,
    'filbertstep-explain': explain.main,
    'filbertstep-standin-store': standins.store_main,
    'filbertstep-standin-vms': standins.vms_main,
    'filbertstep-standin-backend': standins.backend_main,
    'filbertstep-standin-link': standins.link_main,
}


def run_program(name: str, *arguments: str) -> tuple[int, str, str]:
    """Run a program in this process; return exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, 'argv', [name, *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            MAIN_BY_NAME[name]()
        except SystemExit as error:
            code = error.code if isinstance(error.code, int) else 1
            return code, out.getvalue(), err.getvalue()
    return 0, out.getvalue(), err.getvalue()


class TestAllCommands(unittest.TestCase):
    """Flags that work the same way in all programs."""

    def setUp(self) -> None:
        """Create a directory for settings files."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.absent = str(self.directory / 'absent')

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def test_version_and_help(self) -> None:
        """Guards against a program that starts on --version or --help."""
        for name in MAIN_BY_NAME:
            with self.subTest(name):
                code, out, _ = run_program(name, '--version')
                self.assertEqual(
                    (0, filbertstep.__version__), (code, out.strip())
                )
                code, out, err = run_program(name, '--help')
                self.assertEqual(0, code)
                self.assertIn(name, out + err)

    def test_unknown_flags(self) -> None:
        """Guards against a command that runs despite an unknown flag."""
        for name in MAIN_BY_NAME:
            with (
                self.subTest(name),
                mock.patch('uvloop.run', side_effect=AssertionError),
            ):
                self.assertEqual(2, run_program(name, '--bogus=1')[0])

    def test_check_settings(self) -> None:
        """Guards against a check that starts the program or checks nothing."""
        node_file = self.write('node.json', test_settings.VALID_SETTINGS)
        ctl_file = self.write(
            'ctl.json', '{"urls": ["http://127.0.0.1:1"], "token": "abc"}'
        )
        key_file = self.write('key', 'k' * 40)
        short_key_file = self.write('short', 'k')
        spec_file = self.write('spec.json', '[]')
        invalid_file = self.write('broken.json', '{"vm": 1}')
        call_arguments = (
            'bookings',
            '/bookings',
            '--lookup-urls=http://127.0.0.1:1',
        )
        cases: list[tuple[str, tuple[str, ...], int]] = [
            ('filbertstep-node', (f'--settings={node_file}',), 0),
            ('filbertstep-node', (f'--settings={invalid_file}',), 2),
            ('filbertstep-node', (f'--settings={self.absent}',), 2),
            ('filbertstep-node', (), 2),
            ('filbertstep-ctl', (f'--settings={ctl_file}',), 0),
            ('filbertstep-ctl', (f'--settings={invalid_file}',), 2),
            ('filbertstep-ctl', (f'--settings={self.absent}',), 2),
            (
                'filbertstep-call',
                (*call_arguments, f'--key-file={key_file}'),
                0,
            ),
            (
                'filbertstep-call',
                (*call_arguments, f'--key-file={short_key_file}'),
                2,
            ),
            (
                'filbertstep-call',
                (*call_arguments, f'--key-file={self.absent}'),
                2,
            ),
            ('filbertstep-call', (*call_arguments, '--deadline-s=soon'), 2),
            (
                'filbertstep-call',
                (*call_arguments, f'--ca-file={self.absent}'),
                2,
            ),
            ('filbertstep-call', (*call_arguments[:2], '--lookup-urls=x'), 2),
            ('filbertstep-demo', (), 0),
            ('filbertstep-demo', ('--only=nobody',), 2),
            ('filbertstep-standin-store', ('--port=1',), 0),
            ('filbertstep-standin-store', (), 2),
            ('filbertstep-standin-vms', ('--port=1',), 0),
            ('filbertstep-standin-backend', (f'--spec={spec_file}',), 0),
            ('filbertstep-standin-backend', (f'--spec={invalid_file}',), 2),
            (
                'filbertstep-standin-link',
                ('--port=1', f'--spec={spec_file}'),
                0,
            ),
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
                        # The flag comes first, so that fire could use the
                        # next argument as its value.
                        code, _, err = run_program(name, flag, *arguments)
                    self.assertEqual(expected, code, err)
                    self.assertEqual(bool(expected), bool(err))

    def test_boolean_flags(self) -> None:
        """Guards against a boolean flag that uses the next argument as value.

        ``--no_wait tickets submit FILE`` was parsed as ``--no_wait=tickets``.
        """
        expanded = {
            argument: _command_line.expand_boolean_flag(argument)
            for argument in ('--no-wait', '--no_wait', '--output', 'no-wait')
        }
        self.assertEqual('--no-wait=True', expanded['--no-wait'])
        self.assertEqual('--no_wait=True', expanded['--no_wait'])
        self.assertEqual('--output', expanded['--output'])
        self.assertEqual('no-wait', expanded['no-wait'])


class TestTicketsNotInForce(unittest.IsolatedAsyncioTestCase):
    """The ctl client with tickets that are not in force in time."""

    async def asyncSetUp(self) -> None:
        """Start a fake operators' listener where tickets stay committed."""
        self.posted_tickets: list[bytes] = []
        self.close_on_post = False
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
        self.settings_path = f'{directory.name}/ctl.json'
        url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        pathlib.Path(self.settings_path).write_text(
            f'{{"urls": ["{url}", "{url}"], "token": "abc"}}'
        )

    async def list_tickets(self, request: web.Request) -> web.Response:
        """Answer with the newest ticket number."""
        return _web.json_response({'newest': 4, 'tickets': []})

    async def submit(self, request: web.Request) -> web.Response:
        """Accept a ticket, or close the connection after receiving it."""
        self.posted_tickets.append(await request.read())
        if self.close_on_post and request.transport is not None:
            request.transport.abort()
        return await self.show(request)

    async def show(self, request: web.Request) -> web.Response:
        """Answer that the ticket is committed."""
        return _web.json_response({'number': 5, 'state': 'committed'})

    async def absent(self, request: web.Request) -> web.Response:
        """Answer that the key does not exist."""
        return web.json_response(
            {'kind': 'not_found', 'message': '', 'ran': 'no'}, status=404
        )

    async def run_ctl(self, *arguments: str) -> tuple[int, str, str]:
        """Run the client in a thread, while this event loop serves it."""
        with mock.patch.object(_ctl, 'TICKET_WAIT_S', 0.3):
            return await asyncio.to_thread(
                run_program,
                'filbertstep-ctl',
                f'--settings={self.settings_path}',
                *arguments,
            )

    async def test_ticket_not_in_force_in_time(self) -> None:
        """Guards against reporting success before a ticket is in force."""
        code, _, err = await self.run_ctl('tickets', 'wait', '5')
        self.assertEqual(6, code)
        self.assertIn('ticket 5 is committed', err)

    async def test_key_is_shown_when_its_ticket_may_take_effect(self) -> None:
        """Guards against a key in force that was never printed."""
        issue = ('key', 'issue', 'cafe-1', 'cafe-1-2')
        code, out, _ = await self.run_ctl(*issue)
        self.assertEqual(6, code)
        self.assertIn('key: fbk-', out)
        self.close_on_post = True
        code, out, err = await self.run_ctl(*issue)
        self.assertEqual(5, code)
        self.assertIn('key: fbk-', out)
        self.assertIn('ticket 5', err)

    async def test_ticket_is_sent_once(self) -> None:
        """Guards against resending a ticket after a lost connection."""
        self.close_on_post = True
        await self.run_ctl('entity', 'delete', 'key', 'cafe-1-2')
        self.assertEqual(1, len(self.posted_tickets))
