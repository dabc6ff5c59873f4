"""Interleavings of the intent protocol, found by hypothesis.

An owner, a backup and a third VM exchange messages that are delayed, lost, or
delivered after the sender gave up.  Callers resend in any order, and any
process is replaced at any moment.  Every step of a process is a rule of its
own, so that a frozen process is one whose steps come late.
"""

import asyncio
import collections
import collections.abc
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import transport

ACCOUNT = 'cafe'
VMS = ('owner', 'backup', 'third')
K = errors.ErrorKind
Answered = result.Result[transport.Message, errors.Failure]

PICK = strategies.integers(0, 1000)
VM = strategies.sampled_from(VMS)


class Call:
    """A message between two processes and the answer on its way back."""

    def __init__(
        self, source: 'Process', vm: str, message: transport.Message
    ) -> None:
        self.source = source
        self.vm = vm
        self.message = message
        self.answer: Answered | None = None
        self.future: asyncio.Future[Answered] = (
            asyncio.get_running_loop().create_future()
        )

    def end(self, answer: Answered) -> None:
        """Give the sender an answer, unless its process is gone."""
        if self.source.alive and not self.future.done():
            self.future.set_result(answer)


class Network(transport.Peers):
    """Holds one process's messages until a rule moves them."""

    def __init__(self, process: 'Process', machine: 'IntentMachine') -> None:
        self.process = process
        self.machine = machine

    async def call(
        self, vm: str, path: str, message: transport.Message, timeout_s: float
    ) -> Answered:
        """Put a message on its way and wait for the answer."""
        call = Call(self.process, vm, message)
        if self.process.alive:
            self.machine.requests.append(call)
        return await call.future


class Process:
    """One process of a VM."""

    def __init__(
        self, vm: str, incarnation: str, machine: 'IntentMachine'
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.alive = True
        self.machine = machine
        machine.everyone.append(self)
        self.system = delivery.IntentSystem(
            vm,
            incarnation,
            machine.clock,
            Network(self, machine),
            sleep=self.sleep,
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep until a rule wakes the sleeper."""
        woken = asyncio.get_running_loop().create_future()
        self.machine.sleepers.append((self, woken))
        await woken


class Family:
    """One order of a caller: its current id, and its end if it has one."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.runs = 0
        self.ended = False


class Try(typing.NamedTuple):
    """A copy of a request on its way to a VM."""

    family: Family
    request_id: str
    vm: str
    wait_s: float


class Run(typing.NamedTuple):
    """A request that a process was told to run."""

    process: Process
    family: Family
    request_id: str


class IntentMachine(stateful.RuleBasedStateMachine):
    """Processes, messages on their way, and what callers were told."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clock.FakeClock(60_000.0)
        self.requests: list[Call] = []
        self.answers: list[Call] = []
        self.sleepers: list[tuple[Process, asyncio.Future[None]]] = []
        self.tries: list[Try] = []
        self.families: list[Family] = []
        self.to_send: list[Run] = []
        self.sent: list[Run] = []
        self.ran: collections.Counter[str] = collections.Counter()
        self.not_run: set[str] = set()
        self.given: dict[str, delivery.StoredResponse] = {}
        self.serial = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.everyone: list[Process] = []
        self.processes = {vm: Process(vm, 'i0', self) for vm in VMS}

    def teardown(self) -> None:
        """End all tasks of the processes."""
        # A cancelled intent starts another task that withdraws it.
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.spin()
        self.tasks.clear()
        self.loop.close()

    def spin(self) -> None:
        """Let all processes go on until they wait for a rule."""

        async def turns() -> None:
            for _ in range(12):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine until it waits for a rule."""
        task = self.loop.create_task(work)
        # The event loop itself does not keep tasks from being collected.
        self.tasks.append(task)
        self.spin()
        if task.done() and not task.cancelled():
            # Raises what the task raised.
            task.result()

    def next_serial(self) -> int:
        """Return a number that was not used before."""
        self.serial += 1
        return self.serial

    def grant(self, owner: str, backup: str) -> str:
        """Return a fresh grant of the processes that run now."""
        return delivery.format_grant(
            delivery.Grant(
                owner,
                self.processes[owner].incarnation,
                backup,
                self.processes[backup].incarnation,
                delivery.minute_of(self.clock.now()),
            )
        )

    def fresh_id(self, owner: str, backup: str) -> str:
        """Return a new request id."""
        return f'{self.grant(owner, backup)}~{self.next_serial()}'

    # Callers.

    @stateful.rule(own_backup=strategies.booleans())
    def order(self, own_backup: bool) -> None:
        """Have a caller send a new order to its owner."""
        backup = 'owner' if own_backup else 'backup'
        family = Family(self.fresh_id('owner', backup))
        self.families.append(family)
        self.tries.append(Try(family, family.request_id, 'owner', 0.0))

    @stateful.precondition(lambda self: self.families)
    @stateful.rule(pick=PICK, vm=VM, wait=strategies.booleans())
    def resend(self, pick: int, vm: str, wait: bool) -> None:
        """Have a caller send its order again under the same id."""
        family = self.families[pick % len(self.families)]
        if not family.ended:
            wait_s = 1000.0 if wait else 0.0
            self.tries.append(Try(family, family.request_id, vm, wait_s))

    @stateful.precondition(lambda self: self.tries)
    @stateful.rule(pick=PICK)
    def arrive(self, pick: int) -> None:
        """Let a copy of an order reach its VM."""
        copy = self.tries.pop(pick % len(self.tries))
        process = self.processes[copy.vm]
        self.start(self.serve(process, copy))

    @stateful.precondition(lambda self: self.tries)
    @stateful.rule()
    def arrive_now(self) -> None:
        """Let the newest copy reach its VM and its intent the backup."""
        self.arrive(len(self.tries) - 1)
        if self.requests:
            self.deliver(len(self.requests) - 1)
            self.give_answer(len(self.answers) - 1)

    async def serve(self, process: Process, copy: Try) -> None:
        """Serve a copy as a node does, up to the send."""
        begun = await process.system.begin(
            ACCOUNT, copy.request_id, 'digest', copy.wait_s
        )
        if isinstance(begun, result.Err):
            self.failed(copy.family, copy.request_id, begun.err_value)
        elif begun.ok_value.should_run:
            self.to_send.append(Run(process, copy.family, copy.request_id))
        else:
            assert begun.ok_value.response is not None
            self.answered(
                copy.family, copy.request_id, begun.ok_value.response
            )

    @stateful.precondition(lambda self: self.families)
    @stateful.rule(pick=PICK, vm=VM)
    def ask_outcome(self, pick: int, vm: str) -> None:
        """Ask a VM for an outcome, without the request."""
        family = self.families[pick % len(self.families)]

        async def ask() -> None:
            request_id = family.request_id
            outcome = await self.processes[vm].system.resolve(
                ACCOUNT, request_id, '', 0.3
            )
            if isinstance(outcome, result.Err):
                self.failed(family, request_id, outcome.err_value)
            else:
                self.answered(family, request_id, outcome.ok_value)

        self.start(ask())

    def failed(
        self, family: Family, request_id: str, failure: errors.Failure
    ) -> None:
        """Tell a caller of a failure; only 'not run' permits a new id."""
        assert failure.kind in (K.NOT_RUN, K.OUTCOME_UNKNOWN), failure
        if failure.kind is not K.NOT_RUN:
            return
        self.not_run.add(request_id)
        if family.request_id == request_id and not family.ended:
            family.request_id = self.fresh_id('owner', 'backup')
            self.tries.append(Try(family, family.request_id, 'owner', 0.0))

    def answered(
        self,
        family: Family,
        request_id: str,
        answer: delivery.StoredResponse,
    ) -> None:
        """Give a caller its answer."""
        family.ended = True
        first = self.given.setdefault(request_id, answer)
        assert first == answer, f'two answers for {request_id}'

    # Backend servers.

    @stateful.precondition(lambda self: self.to_send)
    @stateful.rule(pick=PICK)
    def send(self, pick: int) -> None:
        """Let a process send a request that it was told to run."""
        run = self.to_send.pop(pick % len(self.to_send))
        if run.process.alive:
            run.family.runs += 1
            self.ran[run.request_id] += 1
            self.sent.append(run)

    @stateful.precondition(lambda self: self.to_send)
    @stateful.rule(pick=PICK)
    def withdraw(self, pick: int) -> None:
        """Let a process find at the last moment that it must not send."""
        run = self.to_send.pop(pick % len(self.to_send))
        if run.process.alive:
            self.start(run.process.system.withdraw(ACCOUNT, run.request_id))
            refused = errors.Failure(K.NOT_RUN, 'withdrawn')
            self.failed(run.family, run.request_id, refused)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(pick=PICK, answered=strategies.booleans())
    def end_run(self, pick: int, answered: bool) -> None:
        """Let a backend server answer, or its connection break."""
        run = self.sent.pop(pick % len(self.sent))
        if not run.process.alive:
            return
        system = run.process.system
        if not answered:
            self.start(system.abandon(ACCOUNT, run.request_id))
            return
        body = str(self.next_serial()).encode()
        answer = delivery.StoredResponse(201, (), body)
        self.start(system.finish(ACCOUNT, run.request_id, answer))
        self.answered(run.family, run.request_id, answer)

    # Messages, time and processes.

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(pick=PICK)
    def deliver(self, pick: int) -> None:
        """Deliver a message; its answer is then on its way."""
        call = self.requests.pop(pick % len(self.requests))
        handler = self.processes[call.vm].system.handlers()[
            delivery.INTENT_PATH
        ]
        call.answer = self.loop.run_until_complete(
            typing.cast(
                collections.abc.Coroutine[typing.Any, typing.Any, Answered],
                handler(call.message),
            )
        )
        self.answers.append(call)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(pick=PICK)
    def give_answer(self, pick: int) -> None:
        """Give an answer to the sender."""
        call = self.answers.pop(pick % len(self.answers))
        assert call.answer is not None
        call.end(call.answer)
        self.spin()

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(pick=PICK)
    def lose_answer(self, pick: int) -> None:
        """Lose an answer; the sender's time limit passes."""
        call = self.answers.pop(pick % len(self.answers))
        call.end(lost())
        self.spin()

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(pick=PICK, drop=strategies.booleans())
    def time_out(self, pick: int, drop: bool) -> None:
        """Let the sender give up; the message may still arrive later."""
        call = self.requests[pick % len(self.requests)]
        if drop:
            self.requests.remove(call)
        call.end(lost())
        self.spin()

    @stateful.precondition(lambda self: self.sleepers)
    @stateful.rule(pick=PICK)
    def wake(self, pick: int) -> None:
        """End a pause of a process."""
        process, woken = self.sleepers.pop(pick % len(self.sleepers))
        if process.alive and not woken.done():
            woken.set_result(None)
        self.spin()

    @stateful.rule(minutes=strategies.sampled_from([0.1, 1, 5, 9, 21]))
    def pass_time(self, minutes: float) -> None:
        """Let time pass for all processes."""
        self.clock.advance(minutes * 60)
        for process in self.processes.values():
            process.system.tick(self.clock.now())

    @stateful.rule(vm=VM)
    def restart(self, vm: str) -> None:
        """Replace a VM's process at once; it forgets everything."""
        self.processes[vm].alive = False
        incarnation = f'i{self.next_serial()}'
        self.processes[vm] = Process(vm, incarnation, self)

    # What must always hold.

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """An order runs at most once over all its ids."""
        for family in self.families:
            assert family.runs <= 1, f'{family.request_id} ran again'

    @stateful.invariant()
    def not_run_is_true(self) -> None:
        """'Not run' is never said of an id that ran or runs later."""
        lies = self.not_run & set(self.ran)
        assert not lies, f'ran, but "not run" was said: {lies}'


def lost() -> Answered:
    """Return what a sender sees when no answer comes."""
    return result.Err(errors.Failure(K.OUTCOME_UNKNOWN, 'no answer'))


def check(
    max_examples: int, phases: collections.abc.Collection[hypothesis.Phase]
) -> None:
    """Run the machine on a fixed sequence of examples."""
    stateful.run_state_machine_as_test(
        IntentMachine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=max_examples,
            stateful_step_count=40,
            phases=phases,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


class TestInterleavings(unittest.TestCase):
    """At most once, truthful 'not run', one answer for an id."""

    def test_protocol_holds(self) -> None:
        """Guards against an order of events that runs a request twice."""
        check(300, set(hypothesis.Phase) - {hypothesis.Phase.explain})

    def test_machine_finds_a_missing_fence(self) -> None:
        """Guards against a machine that cannot fail."""
        unfenced = {
            (delivery.State.NONE, delivery.Event.RESOLVE): (
                delivery.State.NONE,
                delivery.Reply.NOT_RUN,
            )
        }
        with mock.patch.dict(delivery.INTENT_TRANSITIONS, unfenced):
            with self.assertRaisesRegex(AssertionError, 'ran'):
                # Examples depend on constants of all loaded modules, so the
                # number must leave room; the first failure ends the run.
                check(3000, [hypothesis.Phase.generate])
