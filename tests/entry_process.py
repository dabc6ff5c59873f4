"""Runs the entry program as a process on the loopback interface."""

import asyncio
import os
import pathlib
import sys
import typing

import aiohttp

from filbertstep import deployment
from tests import test_platform_adapter as adapter_tests

BOUNDS: typing.Final = {
    'grace_s': 3,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'budget_slack': 62,
    'budget_window_s': 10,
    'budget_ratio': 0.2,
    'cold_over': 1.5,
    'ttl_max_s': 5,
    'shift_most': 0.15,
    'quota_over': 0.1,
    'quota_slack': 20,
}

LISTENERS: typing.Final = ('front', 'ready', 'control', 'directory')


class EntryProcess:
    """One VM; ``addresses`` holds its addresses by listener name.

    ``fields`` are values in the rendered settings that differ from the
    samples.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, **fields: object
    ) -> None:
        # Below the range from which the kernel assigns ports to connections
        # and to listeners on port 0, and reserved among all runs.
        ports = deployment.allocate_ports(len(LISTENERS) + 1)
        self.name = name
        self.addresses = {
            listener: f'127.0.0.1:{port}'
            for listener, port in zip(LISTENERS, ports, strict=False)
        }
        self.metrics_address = f'127.0.0.1:{ports[-1]}'
        self.settings_path = folder / f'{name}.json5'
        self.settings_fields: dict[str, object] = {
            'node_name': name,
            'ip': '127.0.0.1',
            'port_range.1': ports[-1],
            'seeds': [],
            **{
                f'listen.{key}': value for key, value in self.addresses.items()
            },
            **{f'bounds.{key}': value for key, value in BOUNDS.items()},
            **fields,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, **changes: object) -> None:
        """Write the settings file as the platform renders it."""
        self.settings_fields.update(changes)
        text = adapter_tests.render_settings(self.settings_fields)
        self.settings_path.write_text(text, encoding='utf-8')

    async def start(self, output: int) -> asyncio.subprocess.Process:
        """Start the program; its standard output goes to ``output``."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'filbertstep.platform',
            f'--settings={self.settings_path}',
            cwd=adapter_tests.ROOT,
            stdout=output,
            env=dict(os.environ),
        )
        return self.process

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the program reports that it is ready."""
        url = f'http://{self.addresses["ready"]}/filbertstep/ready'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def send_signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it still runs, even while it is stopped."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
