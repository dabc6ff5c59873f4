"""Several VMs' agreement systems in one event loop with virtual time.

The network loses, cuts and delays calls, the store fails and loses answers,
and a VM can be frozen, killed and started again.  Messages go through JSON.
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
from filbertstep import errors
from filbertstep import store
from filbertstep import systems
from filbertstep import transport
from tests import virtual_time

ONE_WAY_S: typing.Final = 0.012

STEP_S: typing.Final = 0.05

ZONES: typing.Final = ('a1', 'a2', 'b1', 'b2')

T = typing.TypeVar('T')


class HeadRecord(typing.NamedTuple):
    """A head that became the newest in the store at a time."""

    time: float
    head_index: int
    keys: frozenset[str]


class RecordingStore(store.FakeStore):
    """Remembers when each head became the newest."""

    def __init__(self, fake: clock.FakeClock) -> None:
        super().__init__()
        self.clock = fake
        self.heads: list[HeadRecord] = []
        # Called once, right after the next write of the head.
        self.after_head: collections.abc.Callable[[], None] | None = None

    def swap(self, key: str, value: bytes, index: int) -> bool:
        """Apply a write and record a new head."""
        done = super().swap(key, value, index)
        if done and key == config.HEAD_KEY:
            after, self.after_head = self.after_head, None
            if after is not None:
                after()
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
        return done


class CutStore(store.Store):
    """The store as one process reaches it."""

    def __init__(self, process: 'Process') -> None:
        self.process = process
        self.cluster = process.cluster
        self.shared = self.cluster.store

    async def through(
        self,
        call: collections.abc.Callable[
            [],
            collections.abc.Coroutine[
                typing.Any, typing.Any, result.Result[T, store.StoreError]
            ],
        ],
        timeout_s: float,
    ) -> result.Result[T, store.StoreError]:
        """Make a call that goes on at the store after a time limit."""
        await self.process.running.wait()
        answer: result.Result[T, store.StoreError]
        answer = result.Err(store.StoreError.UNKNOWN)
        if self.process.vm in self.cluster.store_cut:
            await asyncio.sleep(timeout_s)
        else:
            await asyncio.sleep(ONE_WAY_S)
            task = self.cluster.spawn(call())
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
            if done and self.process.vm not in self.cluster.store_cut:
                answer = task.result()
        await self.process.running.wait()
        return answer

    async def get(
        self, key: str
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key."""
        return await self.through(lambda: self.shared.get(key), 2.0)

    async def wait(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[store.Entry, store.StoreError]:
        """Read a key when it changes."""
        return await self.through(
            lambda: self.shared.wait(key, index, wait_s), wait_s + 2.0
        )

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, store.StoreError]:
        """Write a key."""
        return await self.through(
            lambda: self.shared.put_cas(key, value, index), 2.0
        )

    async def close(self) -> None:
        """Do nothing."""


class CutPeers(transport.Peers):
    """The other VMs as one process reaches them."""

    def __init__(self, process: 'Process') -> None:
        self.process = process
        self.cluster = process.cluster

    async def call(
        self, vm: str, path: str, message: transport.Message, timeout_s: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Call a peer; the call takes effect even after the time limit."""
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
        """Carry a message and its answer; None when one was lost."""
        await asyncio.sleep(ONE_WAY_S)
        if self.cluster.lost(self.process.vm, vm):
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
        await asyncio.sleep(ONE_WAY_S)
        await target.running.wait()
        if self.cluster.lost(vm, self.process.vm):
            return None
        return answer.map(codec.encode)


class CountingPart(systems.HeartbeatPart):
    """A heartbeat part that keeps what it received."""

    part_name: typing.ClassVar[str] = 'counting'

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.received: dict[str, dict[str, typing.Any]] = {}

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the own name."""
        return {'from': self.vm}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Keep a peer's part."""
        self.received[vm] = payload


class Process:
    """One incarnation of a VM's node."""

    def __init__(
        self, cluster: 'Cluster', vm: str, zone: str, number: int
    ) -> None:
        self.cluster = cluster
        self.vm = vm
        self.dead = False
        self.running = asyncio.Event()
        self.running.set()
        self.views = config.ViewTable()
        self.part = CountingPart(vm)
        self.top_index = 0
        self.agreement = agreement.Agreement(
            agreement.Identity(
                vm, f'{vm}.{number}', zone[0], zone, f'c:{vm}', f'p:{vm}'
            ),
            cluster.clock,
            CutStore(self),
            cluster.vm_list,
            CutPeers(self),
            self.views,
            [self.part],
            lambda: 0.5,
            random.Random(number),
        )

    async def run(self) -> None:
        """Tick until the process is killed."""
        await self.agreement.start()
        while not self.dead:
            await self.running.wait()
            self.agreement.tick(self.cluster.clock.now())
            await asyncio.sleep(systems.TICK_INTERVAL_S)

    def share(self, now: float) -> float:
        """Return the part of a resource that this process may use."""
        if not self.agreement.is_fresh(now):
            return 0.0
        me = self.agreement.identity
        return min(
            (
                1 / len(epoch.members)
                if epoch.holds(me.vm, me.incarnation)
                else 0.0
                for epoch in self.views.epochs(now)
            ),
            default=0.0,
        )


class Cluster:
    """VMs, network, store and platform list under one fake clock."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = clock.FakeClock()
        self.loop = virtual_time.VirtualLoop(self.clock)
        self.rng = random.Random(seed)
        self.store = RecordingStore(self.clock)
        self.vm_list = agreement.FakeVmList()
        self.processes: dict[str, Process] = {}
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.store_cut: frozenset[str] = frozenset()
        # VMs of different groups cannot reach each other.
        self.groups: dict[str, int] = {}
        self.loss = 0.0
        self.started = 0
        for position in range(count):
            self.list_vm(f'v{position}')
        for position in range(count):
            self.start(f'v{position}')

    def list_vm(self, vm: str) -> None:
        """Put a VM on the platform's list."""
        self.vm_list.vms.append(
            agreement.ListedVm(vm, f'p:{vm}', f'c:{vm}', 'live')
        )

    def spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, T]
    ) -> asyncio.Task[T]:
        """Run a coroutine in the background."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def lost(self, source: str, target: str) -> bool:
        """Tell whether a message is lost."""
        if self.groups.get(source, 0) != self.groups.get(target, 0):
            return True
        return self.rng.random() < self.loss

    def start(self, vm: str) -> Process:
        """Start a new incarnation of a VM."""
        zone = ZONES[int(vm[1:]) % len(ZONES)]
        self.started += 1

        async def create() -> Process:
            return Process(self, vm, zone, self.started)

        process = self.loop.run_until_complete(create())
        self.processes[vm] = process
        self.spawn(process.run())
        return process

    def kill(self, vm: str) -> None:
        """End a VM's process."""
        process = self.processes.pop(vm)
        process.dead = True
        process.running.set()
        self.loop.run_until_complete(process.agreement.stop())

    def freeze(self, vm: str) -> None:
        """Stop a process without its knowledge."""
        self.processes[vm].running.clear()

    def thaw(self, vm: str) -> None:
        """Let a process go on."""
        self.processes[vm].running.set()

    def run(
        self,
        seconds: float,
        check: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Let virtual time pass, with a check after each step."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.loop.run_until_complete(asyncio.sleep(STEP_S))
            if check is not None:
                check()

    def wait(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, T]
    ) -> T:
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """End all tasks and the loop."""
        for vm in list(self.processes):
            self.kill(vm)
        for task in list(self.tasks):
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*self.tasks, return_exceptions=True)
        )
        self.loop.close()
