"""Starts, signals and ends the subprocesses of a deployment.

Also allocates the ports on which they listen.
"""

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

# Below the ephemeral port range of Linux, so that no outgoing connection takes
# a port between its allocation and its use.
FIRST_PORT: typing.Final = 20_000
LAST_PORT: typing.Final = 32_000

# A deployment with relays needs 152 ports.
PORTS_PER_BLOCK: typing.Final = 200

# Time that processes have to exit after SIGTERM before they are killed.
TERMINATION_TIMEOUT_S: typing.Final = 10.0


class PortPool:
    """Allocates ports from blocks that only this process uses.

    Another process may allocate ports at the same time, and a port looks free
    until the subprocess that receives it has started.  A process therefore
    reserves a whole block by keeping the block's first port bound.
    """

    def __init__(self) -> None:
        self.reservations: list[socket.socket] = []
        self.remaining: list[int] = []

    def allocate(self, count: int) -> list[int]:
        """Return free ports, none of which was returned before."""
        ports: list[int] = []
        while len(ports) < count:
            if not self.remaining:
                self.reserve_block()
            port = self.remaining.pop()
            if is_port_free(port):
                ports.append(port)
        return ports

    def reserve_block(self) -> None:
        """Reserve a random block; raise OSError when all are in use."""
        first_ports = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        random.SystemRandom().shuffle(first_ports)
        for first_port in first_ports:
            reservation = socket.socket()
            try:
                reservation.bind(('127.0.0.1', first_port))
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            self.remaining = list(
                range(first_port + 1, first_port + PORTS_PER_BLOCK)
            )
            return
        raise OSError('all port blocks are in use')


PORT_POOL: typing.Final = PortPool()


def allocate_ports(count: int) -> list[int]:
    """Return free ports, none of which was returned before.

    Raises OSError when all port blocks are in use.
    """
    return PORT_POOL.allocate(count)


def is_port_free(port: int) -> bool:
    """Return whether a TCP port of the loopback address can be bound."""
    with socket.socket() as test_socket:
        try:
            test_socket.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


class ProcessManager:
    """Subprocesses by name; ``close`` or the interpreter's exit ends them.

    ``popen_by_name`` also holds processes that have exited.
    """

    def __init__(self, log_directory: pathlib.Path) -> None:
        self.log_directory = log_directory
        self.popen_by_name: dict[str, subprocess.Popen[bytes]] = {}
        log_directory.mkdir(parents=True, exist_ok=True)
        atexit.register(self.kill_all)

    def start(self, name: str, arguments: list[str]) -> None:
        """Run ``python -m`` with the arguments, output appended to a log.

        Raises ValueError if a process of this name is running.
        """
        if self.is_running(name):
            raise ValueError(f'{name} is already running')
        python_path = [str(PACKAGE_PARENT)]
        if os.environ.get('PYTHONPATH'):
            python_path.append(os.environ['PYTHONPATH'])
        log_path = self.log_directory / f'{name}.log'
        with log_path.open('ab') as log:
            self.popen_by_name[name] = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(python_path)},
            )

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self.popen_by_name.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self.popen_by_name[name].pid

    def exit_status(self, name: str) -> int | None:
        """Return the exit status, None while the process runs.

        It is the negative signal number if a signal ended the process.
        """
        return self.popen_by_name[name].poll()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process unless it has exited."""
        if self.is_running(name):
            self.popen_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.send_signal(name, signal.SIGKILL)
        self.popen_by_name[name].wait()

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for name in list(self.popen_by_name):
            self.kill(name)

    def terminate(self, names: collections.abc.Iterable[str]) -> None:
        """End processes with SIGTERM; kill those that exceed the timeout."""
        running = [name for name in names if self.is_running(name)]
        for name in running:
            # A suspended process would not receive SIGTERM.
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGTERM)
        deadline = time.monotonic() + TERMINATION_TIMEOUT_S
        for name in running:
            try:
                self.popen_by_name[name].wait(
                    max(0.0, deadline - time.monotonic())
                )
            except subprocess.TimeoutExpired:
                self.kill(name)

    def read_log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's log, '' if there is none."""
        path = self.log_directory / f'{name}.log'
        if not path.exists():
            return ''
        text = path.read_text(encoding='utf-8', errors='replace')
        return '\n'.join(text.splitlines()[-lines:])

    def close(self) -> None:
        """Kill all processes that still run and drop the exit handler."""
        self.kill_all()
        atexit.unregister(self.kill_all)
