"""One run: a fleet under load with faults, then recovery without faults."""

import asyncio
import pathlib
import signal
import typing

import aiohttp

from tests.fleet_soak import _callers
from tests.fleet_soak import _checks
from tests.fleet_soak import _faults
from tests.fleet_soak import _world

VM_COUNT: typing.Final = 7
CALLER_COUNT: typing.Final = 20

# Phases of a run: in which faults start; from the end of the last fault until
# requests must succeed again; and in which requests are checked for that.
FAULT_PHASE_S: typing.Final = 12.0
RECOVERY_PERIOD_S: typing.Final = 6.0
OBSERVATION_S: typing.Final = 3.0

STARTUP_TIMEOUT_S: typing.Final = 30.0
CALLERS_STOP_TIMEOUT_S: typing.Final = _callers.REQUEST_DEADLINE_S + 1.0


class Outcome(typing.NamedTuple):
    """Result of a run: violations by check, and counts of events."""

    violations: dict[str, list[str]]
    counts: dict[str, int]


async def wait_until_ready(world: _world.World) -> None:
    """Wait until all VMs accept requests of callers."""
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(STARTUP_TIMEOUT_S),
    ):
        for vm in world.vms:
            while not await vm.is_ready(session):
                await asyncio.sleep(0.05)


async def run_phases(world: _world.World, seed: int) -> None:
    """Inject faults under load, then observe the recovery."""
    callers = [
        _callers.Caller(world, number, seed) for number in range(CALLER_COUNT)
    ]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    faults = _faults.schedule(seed, FAULT_PHASE_S)
    await asyncio.gather(*(_faults.inject(world, fault) for fault in faults))
    world.history.recovery_deadline = world.now() + RECOVERY_PERIOD_S
    await asyncio.sleep(RECOVERY_PERIOD_S + OBSERVATION_S)
    for caller in callers:
        caller.stopping = True
    _, unfinished = await asyncio.wait(tasks, timeout=CALLERS_STOP_TIMEOUT_S)
    for task in unfinished:
        task.cancel()
    for task in tasks:
        if task.done() and not task.cancelled():
            task.result()


async def run_soak(
    seed: int, folder: pathlib.Path, vm_count: int = VM_COUNT
) -> Outcome:
    """Execute a run and check its history.

    SIGTERM ends the run and all of its processes, because VMs that are left
    running would send requests to the ports of later runs.
    """
    run_task = asyncio.current_task()
    assert run_task is not None
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, run_task.cancel
    )
    world = _world.World(folder, seed, vm_count)
    try:
        await world.start()
        await wait_until_ready(world)
        await run_phases(world, seed)
    finally:
        await world.stop()
    history = world.history
    violations = {
        name: lines
        for name, check in _checks.CHECKS.items()
        if (lines := check(history))
    }
    statuses = [result.status for result in history.results.values()]
    counts = {
        'sent': len(history.attempts),
        'ran': len(history.executions),
        'faults': len(history.faults),
        'notices': len(history.notices),
        **{
            str(status): statuses.count(status)
            for status in sorted(set(statuses))
        },
    }
    return Outcome(violations, counts)
