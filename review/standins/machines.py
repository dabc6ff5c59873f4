"""Starts the project's program as the deploy file says, one process a machine.

Settings come from the template that the deploy file names.  All addresses are
on the loopback interface.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import tomllib
import typing

from review.standins import record as records

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]

# Below the ports that the kernel assigns to outgoing connections.
FIRST_PORT: typing.Final = 12000
LAST_PORT: typing.Final = 30000

# As in the settings of the small deployment (DEPLOY.md).
BOUNDS: typing.Final = {
    'grace_s': 6,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 62,
    'cold_over': 1.5,
    'ttl_max_s': 5,
    'shift_most': 0.15,
    'quota_over': 0.1,
    'quota_slack': 20,
}

ZONES: typing.Final = {
    'hobart-a': 'hobart',
    'launceston-a': 'launceston',
    'burnie-a': 'burnie',
    'hobart-b': 'hobart',
    'launceston-b': 'launceston',
    'burnie-b': 'burnie',
}

# Bound, but not listening, so that cases beside each other take other ports.
reserved: list[socket.socket] = []


def free_port() -> int:
    """Reserve a port that nobody uses, and return it."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        holder = socket.socket()
        try:
            holder.bind(('127.0.0.1', port))
        except OSError:
            holder.close()
            continue
        # Lets the program bind the port too.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(holder)
        return port


class Machine:
    """One machine with the role ``entry``."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        record: records.Record,
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = ZONES[zone]
        self.folder = folder
        self.record = record
        self.addresses = {
            listener: f'127.0.0.1:{free_port()}'
            for listener in ('front', 'ready', 'control', 'directory')
        }
        self.fields: dict[str, typing.Any] = {
            'node_name': name,
            'ip': '127.0.0.1',
            'zone': zone,
            'region': self.region,
            'listen': self.addresses,
            'port_range': [0, free_port()],
            'seeds': [],
            'zones': ZONES,
            'platform': {'address': store_address, 'ttl_min_ms': 1000},
            'bootstrap': True,
            'limits': {'memory_mb': 300},
            'bounds': BOUNDS,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f'{name}.log'

    async def start(self) -> None:
        """Write the settings and start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        settings_path = self.folder / f'{self.name}.settings'
        template = (ROOT / role['template']).read_text()
        settings_path.write_text(fill_in(template, self.fields))
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': 'target/deps',
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'FILBERTSTEP_NODE_FILE': str(settings_path),
                },
            )
        # Only the first start of the whole system is a bootstrap.
        self.fields['bootstrap'] = False
        self.record.write(
            'machine_started', name=self.name, pid=self.process.pid
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.write('signal', name=self.name, signal=number.name)
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process as planned: SIGTERM, SIGKILL after the grace."""
        assert self.process is not None
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS['grace_s']):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
        self.record.write(
            'machine_ended', name=self.name, code=self.process.returncode
        )

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def fill_in(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in the placeholders ``{{a.b|json}}`` of a settings template."""

    def value(match: re.Match[str]) -> str:
        found: typing.Any = fields
        for step in match[1].split('.'):
            found = found[int(step)] if step.isdigit() else found[step]
        return json.dumps(found)

    return re.sub(r'\{\{([a-z_0-9.]+)\|json\}\}', value, template)
