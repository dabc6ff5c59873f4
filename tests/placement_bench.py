"""Prints the processor time of placement decisions.

Run ``python -m tests.placement_bench [--seconds=0.3] [--output=text|json]``.
One process, one service with servers in 6 availability zones of 3 regions.
Each figure is the processor time of one call in microseconds, the least of
three rounds.
"""

import asyncio
import collections.abc
import json
import random
import time
import typing

import fire

from filbertstep import steering
from tests import steering_samples as samples

SERVER_COUNTS: typing.Final = (10, 100, 500)
QUEUE_LENGTHS: typing.Final = (0, 10, 100)
OBJECTS: typing.Final = 300
ROUNDS: typing.Final = 3

# Requests of the steady load per slot, and their time between two decisions.
STEADY_LOAD: typing.Final = 0.6
STEP_S: typing.Final = 0.001

REGIONS: typing.Final = {
    f'{region}-{number}': region for region in 'abc' for number in (1, 2)
}


class Figure(typing.NamedTuple):
    """Microseconds of one call of an operation."""

    operation: str
    servers: int
    waiting: int
    with_keys: bool
    microseconds: float


class Bench:
    """The decisions of a VM in zone a-1 under a steady load."""

    def __init__(self, server_count: int, with_keys: bool) -> None:
        self.rng = random.Random(server_count)
        self.now = 1000.0
        self.table = steering.ServerTable(dict(REGIONS))
        zones = list(REGIONS)
        for number in range(server_count):
            entry = samples.server(
                f'server-{number:04}', zones[number % len(zones)]
            )
            self.table.put(entry, 0.0)
        self.placement = steering.Placement(
            self.table, 'a', 'a-1', samples.BOUNDS
        )
        self.placement.services = {'orders': samples.SERVICE}
        self.placement.vms_in_zone = {zone: 4 for zone in REGIONS}
        self.placement.copies.vms_in_zone = 4
        self.splitter = steering.RegionSplitter(
            self.table, 'a', samples.BOUNDS
        )
        self.splitter.region_vm_count = 8
        self.queue = steering.WaitQueue(self.placement)
        self.route = samples.route()
        self.keys = [
            f'object-{number}' if with_keys else ''
            for number in range(OBJECTS)
        ]
        for key in self.keys:
            self.settle(key)
        for server in self.table.by_id.values():
            server.last_sent_at = self.now
            server.record_load(self.rng.randrange(3), 0, self.now)
            server.record_success(0.85 + 0.3 * self.rng.random(), self.now)
            server.in_progress = int(self.rng.random() < STEADY_LOAD)
        self.splitter.service_split('orders', self.now).remote_share = 0.2

    def settle(self, key: str) -> None:
        """Place one request for an object, which a server then caches."""
        query = self.query(key)
        best = self.placement.best_candidate(query, self.now)
        if best is not None:
            self.placement.record_sent(query, best.server, self.now)

    def query(self, key: str) -> steering.PlacementQuery:
        """Return the query of a request in the region of this VM."""
        return steering.PlacementQuery(
            self.route, 'orders', key, None, region='a'
        )

    def decide(self) -> None:
        """Choose a server for one request."""
        self.now += STEP_S
        self.placement.best_candidate(
            self.query(self.rng.choice(self.keys)), self.now
        )

    def decide_anywhere(self) -> None:
        """Choose a server of any region for one request."""
        self.now += STEP_S
        query = self.query(self.rng.choice(self.keys))
        self.placement.best_candidate(query._replace(region=None), self.now)

    def dispatch(self) -> None:
        """Run one pass over the waiting requests."""
        self.now += STEP_S
        self.queue.dispatch('orders', self.now)

    def choose_region(self) -> None:
        """Choose the region of one request."""
        self.now += STEP_S
        self.splitter.choose_region(
            'orders', self.rng.choice(self.keys), self.now
        )

    def tick(self) -> None:
        """Adjust the split."""
        self.now += 0.5
        self.splitter.tick(self.now)

    def fill(self, length: int) -> None:
        """Fill all slots of the region and let requests wait."""
        for server in self.table.by_id.values():
            server.in_progress = server.entry.slots + 1
        for number in range(length):
            self.queue.add(
                steering.WaitingRequest(
                    self.query(self.rng.choice(self.keys)),
                    number % 3,
                    self.now,
                    self.now + self.rng.random(),
                    float('inf'),
                )
            )


def processor_us(
    call: collections.abc.Callable[[], None], seconds: float
) -> float:
    """Return the least processor time of a call over the rounds."""
    call()
    least = float('inf')
    for _ in range(ROUNDS):
        calls = 0
        began = time.process_time()
        while (elapsed := time.process_time() - began) < seconds / ROUNDS:
            for _ in range(10):
                call()
            calls += 10
        least = min(least, elapsed / calls)
    return least * 1e6


async def measure(
    seconds: float,
) -> collections.abc.AsyncIterator[Figure]:
    """Measure all operations, each for a processor time in seconds."""
    for with_keys in (True, False):
        for servers in SERVER_COUNTS:
            for operation in (
                'decide',
                'decide_anywhere',
                'choose_region',
                'tick',
            ):
                bench = Bench(servers, with_keys)
                took = processor_us(getattr(bench, operation), seconds)
                yield Figure(operation, servers, 0, with_keys, took)
            for length in QUEUE_LENGTHS:
                bench = Bench(servers, with_keys)
                bench.fill(length)
                took = processor_us(bench.dispatch, seconds)
                yield Figure('dispatch', servers, length, with_keys, took)


async def print_figures(seconds: float, output: str) -> None:
    """Print a table, or one JSON object per line."""
    if output == 'text':
        print('| operation | servers | waiting | keys | µs |')
        print('| --- | --- | --- | --- | --- |')
    async for figure in measure(seconds):
        if output == 'json':
            print(json.dumps(figure._asdict()))
        else:
            print(
                f'| {figure.operation} | {figure.servers} | {figure.waiting} '
                f'| {"yes" if figure.with_keys else "no"} '
                f'| {figure.microseconds:.1f} |',
                flush=True,
            )


def main(seconds: float = 0.3, output: str = 'text') -> None:
    """Print the processor time of each operation."""
    asyncio.run(print_figures(seconds, output))


if __name__ == '__main__':
    fire.Fire(main)
