"""Test bench with a dispatcher and fakes of the systems it uses."""

import asyncio
import random
import typing

import result

from filbertstep import clock
from filbertstep import config
from filbertstep import errors
from filbertstep import routing
from tests import routing_fakes

Assigned = result.Result[routing.Assignment, errors.Failure]

ANSWERED = routing.AttemptResult(
    routing.AttemptOutcome.ANSWERED, 0.02, 1000, False
)


class Bench:
    """A dispatcher in region hobart, with fake slots and token buckets."""

    def __init__(self, docs: config.Documents) -> None:
        self.clock = clock.FakeClock()
        self.views = config.ViewTable()
        self.health = routing.HealthTable()
        self.index = 0
        self.change(docs)
        self.slots = routing_fakes.FakeSlots(self.config.backend_servers)
        self.token_buckets = routing_fakes.FakeTokenBuckets()
        directory = routing.ServerDirectory(self.views, self.health)
        self.shift = routing.ShiftSystem(self.views, directory, 'hobart')
        self.dispatcher = routing.Dispatcher(
            routing.DispatcherSystems(
                self.views,
                self.slots,
                self.token_buckets,
                self.health,
                self.shift,
            ),
            self.clock,
            'hobart',
            'hobart-a',
            random.Random(5),
        )

    def change(self, docs: config.Documents) -> None:
        """Apply a new configuration."""
        self.index += 1
        routing_fakes.learn(self.views, docs, self.index, self.clock.now())
        assert self.views.newest is not None
        self.config = self.views.newest.config
        self.health.sync(self.config.backend_servers, self.clock.now())

    def request(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> routing.DispatchRequest:
        """Return a request with a deadline in 5 s, changed as given."""
        made = routing.DispatchRequest(
            service=self.config.services[service],
            client_account='bakery',
            weight=1.0,
            hash_point=0.1,
            deadline=self.clock.now() + 5.0,
            request_bytes=500,
        )
        return made._replace(**changes)

    async def get(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> routing.Assignment:
        """Return the assignment of a request that must start at once."""
        task = self.begin(service, **changes)
        await settle()
        assert task.done()
        return task.result().unwrap()

    async def refusal(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> errors.Failure:
        """Return the failure of a request that must be refused at once."""
        task = self.begin(service, **changes)
        await settle()
        assert task.done()
        return task.result().unwrap_err()

    def begin(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> asyncio.Task[Assigned]:
        """Return a task that assigns a request."""
        return asyncio.get_running_loop().create_task(
            self.dispatcher.assign(self.request(service, **changes))
        )

    def finish(
        self,
        assignment: routing.Assignment,
        attempt: routing.AttemptResult = ANSWERED,
    ) -> None:
        """Finish an assignment at the present time."""
        self.dispatcher.finish(assignment, attempt, self.clock.now())

    def tick(self, seconds: float = 0.1) -> None:
        """Advance the clock and tick the dispatcher."""
        self.clock.advance(seconds)
        self.dispatcher.tick(self.clock.now())


async def settle() -> None:
    """Run the event loop until all tasks wait."""
    for _ in range(5):
        await asyncio.sleep(0)


def two_servers(**parts: typing.Any) -> config.Documents:
    """Return servers a and b in hobart and c in launceston, two slots each.

    All weight is in hobart unless ``regions`` says otherwise.
    """
    regions = parts.pop('regions', {'hobart': 1.0})
    servers = {
        name: routing_fakes.server_doc('bookings', region)
        for name, region in (
            ('a', 'hobart'),
            ('b', 'hobart'),
            ('c', 'launceston'),
        )
    }
    services = {'bookings': routing_fakes.service_doc(regions=regions)}
    return routing_fakes.documents(services, servers, **parts)


LINKS = {
    f'{start}-{end}': {
        'from_region': start,
        'to_region': end,
        'bytes_per_s': 1e6,
        'burst_bytes': 1e6,
    }
    for start, end in (('hobart', 'launceston'), ('launceston', 'hobart'))
}

TWO_REGIONS = {'hobart': 1.0, 'launceston': 1e-6}
