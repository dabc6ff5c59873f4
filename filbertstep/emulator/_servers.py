"""Model of backend servers: slots, a queue, and a cache of objects."""

import asyncio
import collections
import random
import typing

from filbertstep import delivery
from filbertstep import steering
from filbertstep.emulator import _scenario

# Relative standard deviation of run times.
RUN_TIME_SPREAD: typing.Final = 0.15


class EmulatedServer:
    """One backend server; events change its attributes.

    ``slowdown`` multiplies run times, ``shed_probability`` is that of turning
    a request away, and a server that is not ``alive`` breaks its connections.
    """

    def __init__(
        self,
        entry: steering.ServerEntry,
        service: _scenario.ServiceDoc,
        generator: random.Random,
    ) -> None:
        self.entry = entry
        self.service = service
        self.generator = generator
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.slots = asyncio.Semaphore(entry.slots)
        # Running and waiting requests.
        self.present = 0
        self.slowdown = 1.0
        self.shed_probability = 0.0
        self.alive = True
        self.first_runs = 0

    def load_header(self, name: str) -> tuple[tuple[str, str], ...]:
        """Return the load: running and waiting requests, slots."""
        running = min(self.present, self.entry.slots)
        report = f'{running},{self.present - running},{self.entry.slots}'
        return ((name, report),)

    def use_object(self, object_key: str) -> bool:
        """Put an object into the cache; return whether it was there."""
        cached = object_key in self.cache
        self.cache[object_key] = None
        self.cache.move_to_end(object_key)
        if len(self.cache) > self.service['cached_objects']:
            self.cache.popitem(last=False)
        self.first_runs += not cached
        return cached

    async def run(
        self, object_key: str, kind: _scenario.RequestsDoc, load_header: str
    ) -> delivery.ForwardOutcome:
        """Run a request, or turn it away if the queue is full."""
        capacity = self.entry.slots + self.service['queue']
        if (
            self.present >= capacity
            or self.generator.random() < self.shed_probability
        ):
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.SHED,
                True,
                503,
                self.load_header(load_header),
            )
        self.present += 1
        try:
            async with self.slots:
                cached = self.use_object(object_key)
                run_ms = kind['cached_run_ms'] if cached else kind['run_ms']
                await asyncio.sleep(
                    run_ms
                    / 1000
                    * self.slowdown
                    * max(0.1, self.generator.gauss(1.0, RUN_TIME_SPREAD))
                )
            if not self.alive:
                return delivery.ForwardOutcome(
                    delivery.ForwardOutcomeKind.BROKEN, True
                )
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.ANSWERED,
                True,
                200,
                self.load_header(load_header),
                b'x' * kind['answer_bytes'],
            )
        finally:
            self.present -= 1
