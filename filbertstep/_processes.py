"""Processes of a deployment under test: start, signal and end them by id."""

import atexit
import collections.abc
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
import typing

PACKAGE_PARENT: typing.Final = pathlib.Path(__file__).resolve().parent.parent

# Ports from below the range from which Linux takes those of outgoing
# connections, so that none is taken between its choice and its use.
FIRST_PORT: typing.Final = 20_000
LAST_PORT: typing.Final = 32_000

# Ports that a process claims at once; a deployment with relays needs 152.
BLOCK_PORTS: typing.Final = 200

# Time in seconds that a process gets to end before it is killed.
END_TIMEOUT_S: typing.Final = 10.0


class PortPool:
    """Ports of blocks that only this process uses.

    Another process may choose ports at the same moment, and nothing listens on
    them until the processes that get them have started.  So a process claims a
    block by keeping its first port bound.
    """

    def __init__(self) -> None:
        self.claims: list[socket.socket] = []
        self.left: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return ports on which nothing listens, different ones each call."""
        found: list[int] = []
        while len(found) < count:
            if not self.left:
                self.claim()
            port = self.left.pop()
            if is_free(port):
                found.append(port)
        return found

    def claim(self) -> None:
        """Claim one more block, or raise OSError when none is left."""
        firsts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
        random.SystemRandom().shuffle(firsts)
        for first in firsts:
            claim = socket.socket()
            try:
                claim.bind(('127.0.0.1', first))
            except OSError:
                claim.close()
                continue
            self.claims.append(claim)
            self.left = list(range(first + 1, first + BLOCK_PORTS))
            return
        raise OSError('no block of ports is left')


PORTS: typing.Final = PortPool()


def allocate_ports(count: int) -> list[int]:
    """Return ports on which nothing listens, different ones each call."""
    return PORTS.take(count)


def is_free(port: int) -> bool:
    """Tell whether a port of the loopback address can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class ProcessManager:
    """Processes by name; every one is ended by ``close`` or at exit."""

    def __init__(self, log_directory: pathlib.Path) -> None:
        self.log_directory = log_directory
        self.popen_by_name: dict[str, subprocess.Popen[bytes]] = {}
        log_directory.mkdir(parents=True, exist_ok=True)
        atexit.register(self.kill_all)

    def start(self, name: str, arguments: list[str]) -> None:
        """Start ``python -m ...`` with its output in a log file."""
        if self.is_running(name):
            raise ValueError(f'{name} is running')
        paths = [str(PACKAGE_PARENT)]
        if os.environ.get('PYTHONPATH'):
            paths.append(os.environ['PYTHONPATH'])
        log_path = self.log_directory / f'{name}.log'
        with log_path.open('ab') as log:
            self.popen_by_name[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(paths)},
            )

    def is_running(self, name: str) -> bool:
        """Tell whether a process was started and has not ended."""
        process = self.popen_by_name.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self.popen_by_name[name].pid

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, None while it runs."""
        return self.popen_by_name[name].poll()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, if it has not ended."""
        if self.is_running(name):
            self.popen_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it is gone."""
        self.send_signal(name, signal.SIGKILL)
        self.popen_by_name[name].wait()

    def kill_all(self) -> None:
        """Kill whatever still runs."""
        for name in list(self.popen_by_name):
            self.kill(name)

    def terminate(self, names: collections.abc.Iterable[str]) -> None:
        """End processes; one that takes too long is killed."""
        chosen = [name for name in names if self.is_running(name)]
        for name in chosen:
            # A stopped process would not see SIGTERM.
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        end = time.monotonic() + END_TIMEOUT_S
        for name in chosen:
            try:
                self.popen_by_name[name].wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(name)

    def read_log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's output."""
        path = self.log_directory / f'{name}.log'
        if not path.exists():
            return ''
        text = path.read_text(encoding='utf-8', errors='replace')
        return '\n'.join(text.splitlines()[-lines:])

    def close(self) -> None:
        """Kill what still runs and forget all processes."""
        self.kill_all()
        atexit.unregister(self.kill_all)
