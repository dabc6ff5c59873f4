"""Tests the checks of the fault injection test, and executes some seeds."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing
import unittest

import uvloop

from tests import entry_process
from tests import fleet_soak
from tests import test_platform_adapter as adapter_tests

# Seeds that run in CI: one with planned faults only (3), one with all kinds.
SEEDS: typing.Final = (3, 1)

# Seeds that failed in the past, with the cause.
REGRESSIONS: typing.Final[dict[int, str]] = {
    300: 'two VMs were assigned the same port, so that one could not start',
    301: 'a VM left over from a terminated run sent requests to this run',
}

Kind = fleet_soak.ChangeKind
Notice = fleet_soak.NoticeKind


def make_attempt(
    request_id: str, sent_at: float = 1.0, **changes: typing.Any
) -> typing.Any:
    """Return an attempt; Any: the fields have different types."""
    return fleet_soak.Attempt(
        sent_at, request_id, 'vm', 'acme', 'k', '/order/1', False, 3.0
    )._replace(**changes)


def make_execution(
    request_id: str, started_at: float = 1.1, **changes: typing.Any
) -> typing.Any:
    """Return an execution; Any: the fields have different types."""
    return fleet_soak.Execution(
        started_at, request_id, 's', 'orders', 'a-1', 'acme'
    )._replace(**changes)


class TestChecks(unittest.TestCase):
    """Each check finds its violation, and none in a correct history."""

    def make_history(
        self,
        attempts: typing.Iterable[typing.Any],
        results: typing.Iterable[typing.Any] = (),
        executions: typing.Iterable[typing.Any] = (),
        changes: typing.Iterable[typing.Any] = (),
        notices: typing.Iterable[typing.Any] = (),
        arrivals: typing.Iterable[typing.Any] = (),
    ) -> fleet_soak.History:
        """Return a history with the given records.

        Executed requests arrived when their execution started.  Results lack
        the time at which they ended, which is the same for all.
        """
        history = fleet_soak.History()
        history.attempts = {
            attempt.request_id: attempt for attempt in attempts
        }
        history.results = {
            fields[0]: fleet_soak.AttemptResult(1.5, *fields)
            for fields in results
        }
        history.executions = list(executions)
        history.arrivals = [
            fleet_soak.Arrival(
                execution.started_at, execution.request_id, execution.server
            )
            for execution in history.executions
        ]
        history.arrivals += [
            fleet_soak.Arrival(*fields) for fields in arrivals
        ]
        history.notices = [fleet_soak.Notice(*fields) for fields in notices]
        history.changes = [fleet_soak.Change(*fields) for fields in changes]
        return history

    def failed_checks(self, history: fleet_soak.History) -> set[str]:
        """Return the names of failed checks, except for that of recovery."""
        return {
            name
            for name, check in fleet_soak.CHECKS.items()
            if name != 'fleet_recovers' and check(history)
        }

    def test_correct_history_passes(self) -> None:
        """Guards against checks that report correct behavior."""
        history = self.make_history(
            [
                make_attempt('r'),
                make_attempt('t'),
                make_attempt('u', idempotent=True),
            ],
            [('r', 200, True), ('t', 503), ('u', 429)],
            [
                make_execution('r'),
                make_execution('u'),
                make_execution('u', 1.2),
            ],
            [(0.0, Kind.ROUTE_ADDED, '/x/')],
        )
        self.assertEqual(self.failed_checks(history), set())

    def test_each_check_finds_its_violation(self) -> None:
        """Guards against checks that cannot fail, or that report too much."""
        late_s = 9.0
        many_attempts = [
            make_attempt(f'r{n}', idempotent=True) for n in range(700)
        ]
        poison_attempts = [
            make_attempt(f'p{n}', poison=True, idempotent=True)
            for n in range(9)
        ]
        cases: dict[str, fleet_soak.History] = {
            'at_most_once': self.make_history(
                [make_attempt('r')],
                (),
                [make_execution('r'), make_execution('r')],
            ),
            'not_executed_status': self.make_history(
                [make_attempt('r')], [('r', 503)], [make_execution('r')]
            ),
            'response_matches_request': self.make_history(
                [make_attempt('r')], [('r', 200, False)]
            ),
            'key_not_forwarded': self.make_history(
                [make_attempt('r')], (), [make_execution('r', key_leaked=True)]
            ),
            'withdrawn_key_rejected': self.make_history(
                [make_attempt('r', late_s)],
                (),
                [make_execution('r', late_s + 0.1)],
                [(1.0, Kind.KEY_WITHDRAWN, 'k')],
            ),
            'draining_server_unused': self.make_history(
                [make_attempt('r', late_s)],
                (),
                [make_execution('r', late_s)],
                [(5.0, Kind.SERVER_DRAINING, 's')],
            ),
            'leaving_server_unused': self.make_history(
                [make_attempt('q'), make_attempt('r', late_s)],
                [('q', 200, True)],
                [make_execution('q'), make_execution('r', late_s)],
                notices=[(1.4, Notice.LEAVING, 's', 'q')],
            ),
            'paused_server_unused': self.make_history(
                [make_attempt(f'r{n}') for n in range(4)],
                notices=[(0.3, Notice.PAUSE, 's', 'r0', 2.0)],
                arrivals=[(0.9 + n / 4, f'r{n}', 's') for n in range(1, 4)],
            ),
            'evacuated_zone_unused': self.make_history(
                [make_attempt('r', late_s)],
                (),
                [make_execution('r', late_s)],
                [(1.0, Kind.ZONE_EVACUATED, 'a-1')],
            ),
            'request_not_interrupted': self.make_history(
                [make_attempt('r')], [('r', 0)], [make_execution('r')]
            ),
            'allowed_request_admitted': self.make_history(
                [make_attempt(f'r{n}') for n in range(9)],
                [(f'r{n}', 404) for n in range(9)],
            ),
            'account_within_rate': self.make_history(
                many_attempts,
                (),
                [make_execution(f'r{n}') for n in range(700)],
            ),
            'poison_request_blocked': self.make_history(
                poison_attempts,
                (),
                [make_execution(f'p{n}', 2.0 * n) for n in range(9)],
            ),
        }
        self.assertEqual(
            cases.keys() | {'fleet_recovers'}, fleet_soak.CHECKS.keys()
        )
        for name, history in cases.items():
            with self.subTest(name=name):
                self.assertEqual(self.failed_checks(history), {name})

    def test_unplanned_fault_suspends_only_time_bounds(self) -> None:
        """Guards against faults that suspend unconditional guarantees."""
        history = self.make_history(
            [make_attempt('r', 9.0)],
            [('r', 503)],
            [make_execution('r', 9.0), make_execution('r', 9.1)],
            [
                (5.0, Kind.SERVER_DRAINING, 's'),
                (1.0, Kind.KEY_WITHDRAWN, 'k'),
            ],
        )
        history.faults = [fleet_soak.Fault(6.0, 7.0, 'kill_vms', False)]
        self.assertEqual(
            self.failed_checks(history),
            {'at_most_once', 'not_executed_status', 'withdrawn_key_rejected'},
        )

    def test_what_servers_say_is_tolerated_within_its_bounds(self) -> None:
        """Guards against checks that report what the bounds allow."""
        history = self.make_history(
            [
                make_attempt('q'),
                make_attempt('r', 3.4),
                *(make_attempt(f'r{n}') for n in range(9)),
                make_attempt('other', 9.0, vm_address='vm-2'),
                make_attempt('unused', 9.0, vm_address='vm-3'),
            ],
            [('q', 200, True), ('unused', 502)],
            [make_execution('q'), make_execution('r', 3.5)],
            notices=[
                (1.4, Notice.LEAVING, 's', 'q'),
                (1.4, Notice.LEAVING, 's', 'unused'),
                (0.3, Notice.PAUSE, 's', 'r0', 2.0),
            ],
            arrivals=[
                *((0.7, f'r{n}', 's') for n in range(5)),
                *((1.0, f'r{n}', 's') for n in range(5, 6)),
                *((2.4, f'r{n}', 's') for n in range(7, 9)),
                (9.0, 'other', 's'),
                (9.0, 'unused', 's'),
            ],
        )
        self.assertEqual(self.failed_checks(history), set())

    def test_only_restarts_and_cuts_excuse_requests(self) -> None:
        """Guards against an outage of the store that excuses too much."""
        history = self.make_history(
            [
                make_attempt('q'),
                *(make_attempt(f'r{n}', 9.0) for n in range(4)),
            ],
            [('q', 200, True)],
            [make_execution('q')],
            notices=[
                (1.4, Notice.LEAVING, 's', 'q'),
                (8.0, Notice.PAUSE, 't', 'r0', 9.0),
            ],
            arrivals=[
                *((9.1, f'r{n}', 't') for n in range(4)),
                (9.1, 'r0', 's'),
            ],
        )
        both = {'leaving_server_unused', 'paused_server_unused'}
        for kind, expected in (
            ('fail_store', both),
            ('cut_store_links', both),
            ('cut_server_links', {'leaving_server_unused'}),
            ('kill_vms', set()),
            ('stop_vms', set()),
            ('pause_vm', set()),
        ):
            with self.subTest(kind=kind):
                history.faults = [fleet_soak.Fault(8.5, 9.0, kind, False)]
                self.assertEqual(self.failed_checks(history), expected)

    def test_fleet_that_stays_down_fails(self) -> None:
        """Guards against runs that pass although no request succeeds."""
        history = self.make_history([make_attempt('r', 9.0)], [('r', 503)])
        history.recovery_deadline = 8.0
        self.assertTrue(fleet_soak.CHECKS['fleet_recovers'](history))
        history.results['r'] = fleet_soak.AttemptResult(9.1, 'r', 200, True)
        self.assertFalse(fleet_soak.CHECKS['fleet_recovers'](history))


def allocate_vm_ports() -> list[int]:
    """Return the ports of the listeners of a new VM."""
    vm = entry_process.EntryProcess(pathlib.Path(), 'vm')
    addresses = [*vm.addresses.values(), vm.metrics_address]
    return [int(address.rpartition(':')[2]) for address in addresses]


class TestProcesses(unittest.TestCase):
    """Runs must not interfere with each other."""

    def test_ports_are_assigned_only_once(self) -> None:
        """Guards against VMs that cannot bind their port (seed 300)."""
        ports = [port for _ in range(300) for port in allocate_vm_ports()]
        self.assertEqual(len(set(ports)), len(ports))

    def test_runs_beside_each_other_share_no_port(self) -> None:
        """Guards against VMs that bind a port of another run (seed 300).

        Another process draws all the ports that 20 runs need before this one
        draws any, and keeps them without listening yet.
        """
        script = (
            'import sys\n'
            'from tests import test_fleet_soak\n'
            'for _ in range(140):\n'
            '    print(*test_fleet_soak.allocate_vm_ports())\n'
            'print(flush=True)\n'
            'sys.stdin.read()\n'
        )
        with subprocess.Popen(
            [sys.executable, '-c', script],
            cwd=adapter_tests.ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other_run:
            assert other_run.stdout is not None
            lines = iter(other_run.stdout.readline, '\n')
            other_ports = {
                int(port) for line in lines for port in line.split()
            }
            ports = {port for _ in range(140) for port in allocate_vm_ports()}
            other_run.communicate('')
        self.assertEqual(len(other_ports), 700)
        self.assertEqual(ports & other_ports, set())

    def test_terminated_run_ends_its_processes(self) -> None:
        """Guards against leftover VMs that call a later run (seed 301).

        A server of that run received a request without an ID.  It came from a
        VM of a terminated run, which polled the former port of its store.
        """
        with tempfile.TemporaryDirectory() as folder:
            soak_process = subprocess.Popen(
                [sys.executable, '-m', 'tests.fleet_soak', '--seed=1'],
                cwd=adapter_tests.ROOT,
                env={**os.environ, 'TMPDIR': folder},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            deadline = time.monotonic() + 30.0
            while not self.settings_in_use(folder):
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.1)
            soak_process.terminate()
            soak_process.wait(timeout=30.0)
            self.assertEqual(self.settings_in_use(folder), [])

    def settings_in_use(self, folder: str) -> list[str]:
        """Return arguments of running processes that name a file in a folder.

        These are the ``--settings`` arguments of VMs.
        """
        arguments = []
        for path in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
            try:
                command_line = path.read_bytes().decode().split('\0')
            except OSError:
                # The process has ended in the meantime.
                continue
            arguments += [
                argument
                for argument in command_line
                if f'={folder}/' in argument
            ]
        return arguments


class TestSeeds(unittest.TestCase):
    """Runs with real processes and injected faults."""

    def test_guarantees_hold(self) -> None:
        """Guards against guarantees that overlapping faults violate."""
        for seed in (*SEEDS, *REGRESSIONS):
            with self.subTest(seed=seed):
                with tempfile.TemporaryDirectory() as name:
                    outcome = uvloop.run(
                        fleet_soak.run_soak(seed, pathlib.Path(name))
                    )
                self.assertEqual(outcome.violations, {})
                self.assertGreater(outcome.counts.get('200', 0), 100)
