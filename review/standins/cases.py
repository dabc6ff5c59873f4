"""Frame of a case: starts a small deployment, runs the case, ends it all."""

import asyncio
import collections.abc
import json
import os
import pathlib
import signal
import tempfile
import traceback
import typing

import aiohttp

from review.standins import clients
from review.standins import machines
from review.standins import record as records
from review.standins import store as stores
from review.standins import upstreams

# Exit codes, which ``run.sh`` maps: Python itself ends with 1 on an error.
BROKEN: typing.Final = 10
HELD: typing.Final = 0
NOT_RUN: typing.Final = 11

KEY: typing.Final = 'b9wu3fexd9dnn2ctnfzs'

LIMIT_S: typing.Final = 110.0


class Deployment:
    """Store, machines, upstreams and clients of one run."""

    def __init__(self, case: str) -> None:
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = records.Record(
            pathlib.Path(case).resolve().parent / 'record.txt'
        )
        self.folder = tempfile.TemporaryDirectory()
        self.store = stores.Store(self.record)
        self.machines: dict[str, machines.Machine] = {}
        self.upstreams: list[upstreams.Upstream] = []
        self.clients: list[clients.Client] = []
        self.version = 1
        # Limit of the tenant; 0 means none.
        self.rate_per_s = 0
        self.burst = 0
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Start the store."""
        self.session = aiohttp.ClientSession()
        await self.store.start()
        self.record.write('run', trouble=self.trouble)

    def add_machine(
        self, name: str, zone: str, store_address: str = ''
    ) -> machines.Machine:
        """Add a machine, not started yet."""
        machine = machines.Machine(
            name,
            zone,
            store_address or self.store.address,
            pathlib.Path(self.folder.name),
            self.record,
        )
        self.machines[name] = machine
        return machine

    async def add_upstream(
        self, service: str, zone: str, **options: typing.Any
    ) -> upstreams.Upstream:
        """Start an upstream."""
        settings = {'slots': 3, 'work_s': 0.1, **options}
        upstream = upstreams.Upstream(
            service, zone, store=self.store, record=self.record, **settings
        )
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    def add_client(self, name: str, zone: str) -> clients.Client:
        """Add a client."""
        client = clients.Client(
            name, zone, list(self.machines.values()), self.record
        )
        self.clients.append(client)
        return client

    def configure(self, rules: list[dict[str, typing.Any]]) -> float:
        """Send the next configuration; return the time of the ack."""
        self.version += 2
        return self.store.put(
            'op/config',
            {
                'version': f'r{self.version}',
                'limits': {
                    'header_bytes': 16384,
                    'body_bytes': 67108864,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
                'tenants': [
                    {
                        'name': 'kaje80',
                        'api_keys': [KEY],
                        'priority': 1,
                        'rate_per_s': self.rate_per_s,
                        'burst': self.burst,
                        'home_regions': [],
                    }
                ],
                'listeners': [{'host': 'shop.example', 'rules': rules}],
                'clusters': [
                    {
                        'name': name,
                        'health_path': '/health',
                        'max_conns': 390,
                        'protocol': 'h1',
                        'tls': False,
                        'cold_start_s': 3.0,
                        'cold_per_s': 2.7,
                    }
                    for name in ('bookings', 'calibration')
                ],
            },
        )

    async def start_machines(self) -> None:
        """Start all machines within 0.3 s, and wait until they are ready."""
        assert self.session is not None
        for machine in self.machines.values():
            await machine.start()
        await clients.wait_until_ready(
            self.session, list(self.machines.values())
        )

    async def close(self) -> None:
        """End all processes and listeners of the run."""
        for machine in self.machines.values():
            await machine.kill()
        for client in self.clients:
            await client.close()
        for upstream in self.upstreams:
            await upstream.end()
        for task in list(self.store.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for machine in self.machines.values():
                if machine.log_path.exists():
                    target = pathlib.Path(keep) / machine.log_path.name
                    target.write_bytes(machine.log_path.read_bytes())
        self.folder.cleanup()


def rule(
    name: str, prefix: str, service: str, **options: typing.Any
) -> dict[str, typing.Any]:
    """Return a route, as in the examples of the wire."""
    return {
        'name': name,
        'kind': options.get('kind', 'idempotent'),
        'target_latency_ms': options.get('target_latency_ms', 400),
        'priority': 2,
        'public': False,
        'sticky': options.get('sticky', True),
        'match': {'prefix': prefix},
        'action': {
            'service': service,
            'timeout_ms': options.get('timeout_ms', 1500),
            'attempts': 2,
            'home_regions': options.get('home_regions', []),
        },
    }


def read_record(
    path: str,
) -> list[tuple[float, str, dict[str, typing.Any]]]:
    """Return the events of a record: time, name and fields."""
    events = []
    for line in pathlib.Path(path).read_text(encoding='utf-8').splitlines():
        at, event, fields = line.split(maxsplit=2)
        events.append((float(at), event, json.loads(fields)))
    return events


Play = collections.abc.Callable[
    [Deployment], collections.abc.Awaitable[list[str]]
]
"""Plays a case; returns what broke the rule."""


async def play_case(case: str, play: Play) -> int:
    """Run a case and return the exit code."""
    deployment = Deployment(case)
    running = asyncio.current_task()
    assert running is not None
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, running.cancel
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            await deployment.open()
            broken = await play(deployment)
    except Exception:
        deployment.record.write('case_failed', trace=traceback.format_exc())
        print(traceback.format_exc())
        return NOT_RUN
    finally:
        await deployment.close()
    for line in broken:
        deployment.record.write('broken', what=line)
    print(f'{len(broken)} violations', *broken[:5], sep='\n  ')
    deployment.record.write('verdict', broken=len(broken))
    return BROKEN if broken else HELD


def main(case: str, play: Play) -> int:
    """Run a case in an event loop and return the exit code."""
    return asyncio.run(play_case(case, play))
