"""What happens to the servers and to the knowledge of the VMs."""

import asyncio
import collections.abc
import typing

from filbertstep.emulator import _scenario
from filbertstep.emulator import _servers

if typing.TYPE_CHECKING:
    from filbertstep.emulator import _fleet

# Time from the end of a server until its entry lapses.
ENTRY_EXPIRY_S: typing.Final = 3.0

Event = collections.abc.Callable[
    ['_fleet.Fleet', _scenario.EventDoc],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


def chosen_servers(
    fleet: '_fleet.Fleet', event: _scenario.EventDoc
) -> list[_servers.EmulatedServer]:
    """Return the servers that an event is about."""
    servers = [
        server
        for server in fleet.servers.values()
        if event.get('service') in (None, server.entry.service)
        and event.get('zone') in (None, server.entry.availability_zone)
    ]
    count = round(event.get('share', 1.0) * len(servers))
    return fleet.generator.sample(servers, count)


async def slow(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """Make servers slow for a time."""
    servers = chosen_servers(fleet, event)
    for server in servers:
        server.slowdown = event['x']
    await asyncio.sleep(event['for_s'])
    for server in servers:
        server.slowdown = 1.0


async def shed(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """Let servers turn requests away for a time."""
    servers = chosen_servers(fleet, event)
    for server in servers:
        server.shed_probability = event['x']
    await asyncio.sleep(event['for_s'])
    for server in servers:
        server.shed_probability = 0.0


async def evacuate(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """Empty a zone, and take it back."""
    for vm in fleet.vms.values():
        vm.state.servers.evacuate(event['zone'])
    await asyncio.sleep(event['for_s'])
    for vm in fleet.vms.values():
        configuration = vm.state.configuration
        assert configuration is not None
        vm.state.servers.end_evacuation(
            event['zone'], fleet.clock.now(), configuration.services
        )


async def cool(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """Empty the caches of servers."""
    for server in chosen_servers(fleet, event):
        server.cache.clear()


async def lose(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """End servers, and let them come back with empty caches."""
    servers = chosen_servers(fleet, event)
    for server in servers:
        server.alive = False
        server.cache.clear()
    await asyncio.sleep(min(ENTRY_EXPIRY_S, event['for_s']))
    for vm in fleet.vms.values():
        for server in servers:
            vm.state.servers.remove(server.entry.server_id)
    await asyncio.sleep(max(0.0, event['for_s'] - ENTRY_EXPIRY_S))
    for server in servers:
        server.alive = True
        server.entry = server.entry._replace(
            incarnation=server.entry.incarnation + 1
        )
        for vm in fleet.vms.values():
            vm.state.servers.put(server.entry, fleet.clock.now())


async def change_load(
    fleet: '_fleet.Fleet', event: _scenario.EventDoc
) -> None:
    """Do nothing here: the callers follow these events."""


RUN_BY_KIND: typing.Final[dict[str, Event]] = {
    'burst': change_load,
    'shift': change_load,
    'slow': slow,
    'shed': shed,
    'evacuate': evacuate,
    'cool': cool,
    'lost': lose,
}


async def run_event(fleet: '_fleet.Fleet', event: _scenario.EventDoc) -> None:
    """Wait for the time of an event, and let it happen."""
    await asyncio.sleep(event['at'])
    await RUN_BY_KIND[event['kind']](fleet, event)
