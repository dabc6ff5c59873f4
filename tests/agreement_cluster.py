"""Simulates the agreement systems of several VMs in one event loop.

Time is virtual.  The network can lose, block and delay calls, the store can
fail and lose answers, and VMs can be frozen, killed and restarted.  Messages
are encoded as JSON, as on a real network.
"""

import asyncio
import collections.abc
import random
import typing

import result

from filbertstep import agreement
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import emulator
from filbertstep import errors
from filbertstep import store
from filbertstep import systems
from filbertstep import transport

NETWORK_DELAY_S: typing.Final = 0.012

CHECK_INTERVAL_S: typing.Final = 0.05

ZONES: typing.Final = ('a1', 'a2', 'b1', 'b2')

T = typing.TypeVar('T')


class HeadRecord(typing.NamedTuple):
    """A head, when it became the newest in the store, and its key digests."""

    time: float
    head_index: int
    keys: frozenset[str]


class RecordingStore(store.FakeStore):
    """A fake store that records when each head became the newest."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__()
        self.clock = fake_clock
        self.heads: list[HeadRecord] = []
        # Called once, when the next head is written.
        self.on_next_head_write: collections.abc.Callable[[], None] | None = (
            None
        )

    def compare_and_swap(self, key: str, value: bytes, index: int) -> bool:
        """Apply a compare-and-swap, and record the head if it changed."""
        written = super().compare_and_swap(key, value, index)
        if written and key == config.HEAD_KEY:
            callback, self.on_next_head_write = self.on_next_head_write, None
            if callback is not None:
                callback()
            head = codec.decode(value, config.HeadDoc).unwrap()
            sections: config.Sections = {
                name: codec.decode(
                    self.entries[name].value,
                    dict[str, dict[str, typing.Any]],
                ).unwrap()
                for name in head['sections'].values()
            }
            view = config.make_view(self.last_index, head, sections)
            self.heads.append(
                HeadRecord(
                    self.clock.now(),
                    self.last_index,
                    frozenset(view.config.keys),
                )
            )
        return written


class ProcessStore(store.Store):
    """One process's client of the shared store."""

    def __init__(self, process: 'Process') -> None:
        self.process = process
        self.cluster = process.cluster
        self.shared_store = self.cluster.store

    async def call_store(
        self,
        call: collections.abc.Callable[
            [],
            collections.abc.Coroutine[
                typing.Any, typing.Any, result.Result[T, store.StoreError]
            ],
        ],
        timeout_s: float,
    ) -> result.Result[T, store.StoreError]:
        """Make a call, which the store completes even after the time limit.

        The call waits while the process is frozen.
        """
        await self.process.running.wait()
        answer: result.Result[T, store.StoreError]
        answer = result.Err(store.StoreError.UNKNOWN)
        if self.process.vm in self.cluster.vms_without_store:
            await asyncio.sleep(timeout_s)
        else:
            await asyncio.sleep(NETWORK_DELAY_S)
            task = self.cluster.spawn(call())
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
            if done and self.process.vm not in self.cluster.vms_without_store:
                answer = task.result()
        await self.process.running.wait()
        return answer

    async def get(
        self, key: str
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key."""
        return await self.call_store(lambda: self.shared_store.get(key), 2.0)

    async def wait_for_change(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key when it changes or the wait time ends."""
        return await self.call_store(
            lambda: self.shared_store.wait_for_change(key, index, wait_s),
            wait_s + 2.0,
        )

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, store.StoreError]:
        """Write a key if its modify index is still ``index``."""
        return await self.call_store(
            lambda: self.shared_store.put_cas(key, value, index), 2.0
        )

    async def close(self) -> None:
        """Do nothing."""


class ProcessPeers(transport.Peers):
    """One process's client of the other VMs."""

    def __init__(self, process: 'Process') -> None:
        self.process = process
        self.cluster = process.cluster

    async def call(
        self, vm: str, path: str, message: transport.Message, timeout_s: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Call a peer, which handles the call even after the time limit."""
        await self.process.running.wait()
        sent = codec.encode(message)
        task = self.cluster.spawn(self.deliver(vm, path, sent))
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        await self.process.running.wait()
        answer = task.result() if done else None
        if answer is None:
            return result.Err(
                errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, 'no answer')
            )
        if isinstance(answer, result.Err):
            return answer
        return codec.decode(answer.ok_value, transport.Message).map_err(
            lambda text: errors.Failure(errors.ErrorKind.INTERNAL, text)
        )

    async def deliver(
        self, vm: str, path: str, sent: bytes
    ) -> result.Result[bytes, errors.Failure] | None:
        """Deliver a message and return the answer, None if one was lost."""
        await asyncio.sleep(NETWORK_DELAY_S)
        if self.cluster.is_lost(self.process.vm, vm):
            return None
        target = self.cluster.processes.get(vm)
        if target is None:
            return result.Err(
                errors.Failure(errors.ErrorKind.NOT_RUN, 'refused')
            )
        await target.running.wait()
        if target.dead:
            return None
        message = codec.decode(sent, transport.Message).unwrap()
        answer = await target.agreement.handlers()[path](message)
        await asyncio.sleep(NETWORK_DELAY_S)
        await target.running.wait()
        if self.cluster.is_lost(vm, self.process.vm):
            return None
        return answer.map(codec.encode)


class RecordingPart(systems.HeartbeatPart):
    """A heartbeat part that records what it receives, by VM."""

    part_name: typing.ClassVar[str] = 'counting'

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.received: dict[str, dict[str, typing.Any]] = {}

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return this VM's name."""
        return {'from': self.vm}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Record a peer's data."""
        self.received[vm] = payload


class Process:
    """One process (incarnation) of a VM's node.

    ``running`` is cleared while the process is frozen.
    """

    def __init__(
        self, cluster: 'Cluster', vm: str, zone: str, number: int
    ) -> None:
        self.cluster = cluster
        self.vm = vm
        self.dead = False
        self.running = asyncio.Event()
        self.running.set()
        self.views = config.ViewTable()
        self.part = RecordingPart(vm)
        self.highest_index = 0
        self.agreement = agreement.Agreement(
            agreement.Identity(
                vm, f'{vm}.{number}', zone[0], zone, f'c:{vm}', f'p:{vm}'
            ),
            cluster.clock,
            ProcessStore(self),
            cluster.vm_list,
            ProcessPeers(self),
            self.views,
            [self.part],
            lambda: 0.5,
            random.Random(number),
        )

    async def run(self) -> None:
        """Start the agreement system and tick until the process is killed."""
        await self.agreement.start()
        while not self.dead:
            await self.running.wait()
            self.agreement.tick(self.cluster.clock.now())
            await asyncio.sleep(systems.TICK_INTERVAL_S)

    def usable_share(self, now: float) -> float:
        """Return the fraction of a shared resource that this process may use.

        It is an equal part under each epoch in force, and the smallest one
        counts.
        """
        if not self.agreement.is_fresh(now):
            return 0.0
        identity = self.agreement.identity
        return min(
            (
                1 / len(epoch.members)
                if epoch.has_member(identity.vm, identity.incarnation)
                else 0.0
                for epoch in self.views.epochs(now)
            ),
            default=0.0,
        )


class Cluster:
    """VMs with their network, store and VM list, all under one fake clock."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = clock.FakeClock()
        self.loop = emulator.VirtualLoop(self.clock)
        self.rng = random.Random(seed)
        self.store = RecordingStore(self.clock)
        self.vm_list = agreement.FakeVmList()
        self.processes: dict[str, Process] = {}
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.vms_without_store: frozenset[str] = frozenset()
        # VMs in different partitions cannot reach each other; default is 0.
        self.partition_of_vm: dict[str, int] = {}
        self.loss_probability = 0.0
        self.incarnation_count = 0
        for position in range(count):
            self.add_listed_vm(f'v{position}')
        for position in range(count):
            self.start(f'v{position}')

    def add_listed_vm(self, vm: str) -> None:
        """Add a VM to the platform's list."""
        self.vm_list.vms.append(
            agreement.ListedVm(vm, f'p:{vm}', f'c:{vm}', 'live')
        )

    def spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, T]
    ) -> asyncio.Task[T]:
        """Run a coroutine as a background task."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def is_lost(self, source: str, target: str) -> bool:
        """Return whether to lose a message from a VM to another."""
        if self.partition_of_vm.get(source, 0) != self.partition_of_vm.get(
            target, 0
        ):
            return True
        return self.rng.random() < self.loss_probability

    def start(self, vm: str) -> Process:
        """Start a new process of a VM."""
        zone = ZONES[int(vm[1:]) % len(ZONES)]
        self.incarnation_count += 1

        async def create() -> Process:
            return Process(self, vm, zone, self.incarnation_count)

        process = self.loop.run_until_complete(create())
        self.processes[vm] = process
        self.spawn(process.run())
        return process

    def kill(self, vm: str) -> None:
        """Kill a VM's process."""
        process = self.processes.pop(vm)
        process.dead = True
        process.running.set()
        self.loop.run_until_complete(process.agreement.stop())

    def freeze(self, vm: str) -> None:
        """Suspend a VM's process; its clock goes on."""
        self.processes[vm].running.clear()

    def thaw(self, vm: str) -> None:
        """Resume a frozen process."""
        self.processes[vm].running.set()

    def run(
        self,
        seconds: float,
        check: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Advance virtual time; call ``check`` at regular intervals."""
        for _ in range(max(1, round(seconds / CHECK_INTERVAL_S))):
            self.loop.run_until_complete(asyncio.sleep(CHECK_INTERVAL_S))
            if check is not None:
                check()

    def run_until_done(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, T]
    ) -> T:
        """Run a coroutine to its end and return its result."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Kill all processes, cancel all tasks and close the loop."""
        for vm in list(self.processes):
            self.kill(vm)
        for task in list(self.tasks):
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()
