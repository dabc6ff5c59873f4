"""State machine test of the intent protocol with hypothesis.

An owner, a backup and a third VM exchange messages that are delayed, lost, or
delivered after the sender timed out.  Callers resend requests in any order,
and any process may be restarted at any time.  Each step of a process is a
separate rule; a frozen process is one whose next step runs late.
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
ErrorKind = errors.ErrorKind
CallResult = result.Result[transport.Message, errors.Failure]

PICK = strategies.integers(0, 1000)
VM = strategies.sampled_from(VMS)


class PeerCall:
    """A call from one process to a VM, and its reply once delivered."""

    def __init__(
        self, source: 'Process', vm: str, message: transport.Message
    ) -> None:
        self.source = source
        self.vm = vm
        self.message = message
        self.reply: CallResult | None = None
        self.future: asyncio.Future[CallResult] = (
            asyncio.get_running_loop().create_future()
        )

    def complete(self, reply: CallResult) -> None:
        """Complete the call at the sender, unless its process is gone."""
        if self.source.alive and not self.future.done():
            self.future.set_result(reply)


class ControlledPeers(transport.Peers):
    """Holds the calls of one process until a rule delivers them."""

    def __init__(self, process: 'Process', machine: 'IntentMachine') -> None:
        self.process = process
        self.machine = machine

    async def call(
        self, vm: str, path: str, message: transport.Message, timeout_s: float
    ) -> CallResult:
        """Queue a call for delivery and wait for its reply."""
        call = PeerCall(self.process, vm, message)
        if self.process.alive:
            self.machine.pending_calls.append(call)
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
        machine.all_processes.append(self)
        self.system = delivery.IntentSystem(
            vm,
            incarnation,
            machine.clock,
            ControlledPeers(self, machine),
            sleep=self.sleep,
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep until the rule ``wake`` runs, whatever the time."""
        wake_up = asyncio.get_running_loop().create_future()
        self.machine.sleepers.append((self, wake_up))
        await wake_up


class Order:
    """One order of a caller, under the request id that it uses now.

    ``runs`` counts runs under any id; ``completed`` means that the caller has
    a response.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.runs = 0
        self.completed = False


class RequestCopy(typing.NamedTuple):
    """A copy of a request that has not reached its VM yet."""

    order: Order
    request_id: str
    vm: str
    wait_s: float


class AllowedRun(typing.NamedTuple):
    """A request that a process may send to a backend server."""

    process: Process
    order: Order
    request_id: str


class IntentMachine(stateful.RuleBasedStateMachine):
    """Processes, undelivered messages, and the outcomes callers received."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clock.FakeClock(60_000.0)
        self.pending_calls: list[PeerCall] = []
        self.pending_replies: list[PeerCall] = []
        self.sleepers: list[tuple[Process, asyncio.Future[None]]] = []
        self.copies_in_transit: list[RequestCopy] = []
        self.orders: list[Order] = []
        self.allowed_runs: list[AllowedRun] = []
        self.running: list[AllowedRun] = []
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.reported_not_run: set[str] = set()
        self.responses_given: dict[str, delivery.StoredResponse] = {}
        self.last_number = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.all_processes: list[Process] = []
        self.processes = {vm: Process(vm, 'i0', self) for vm in VMS}

    def teardown(self) -> None:
        """Cancel all tasks of the processes."""
        # A cancelled intent starts another task that withdraws it.
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run_until_idle()
        self.tasks.clear()
        self.loop.close()

    def run_until_idle(self) -> None:
        """Run all processes until each of them waits for a rule."""

        async def yield_to_tasks() -> None:
            for _ in range(12):
                await asyncio.sleep(0)

        self.loop.run_until_complete(yield_to_tasks())

    def start(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine until it waits for a rule."""
        task = self.loop.create_task(coroutine)
        # The event loop holds only weak references to tasks.
        self.tasks.append(task)
        self.run_until_idle()
        if task.done() and not task.cancelled():
            # Raises the exception of the task, if any.
            task.result()

    def next_number(self) -> int:
        """Return a number that was not used before."""
        self.last_number += 1
        return self.last_number

    def grant(self, owner: str, backup: str) -> str:
        """Return a new grant that names the current processes."""
        return delivery.format_grant(
            delivery.Grant(
                owner,
                self.processes[owner].incarnation,
                backup,
                self.processes[backup].incarnation,
                delivery.minute_of(self.clock.now()),
            )
        )

    def new_request_id(self, owner: str, backup: str) -> str:
        """Return a new request id."""
        return f'{self.grant(owner, backup)}~{self.next_number()}'

    # Callers.

    @stateful.rule(own_backup=strategies.booleans())
    def order(self, own_backup: bool) -> None:
        """Let a caller send a new order to its owner."""
        backup = 'owner' if own_backup else 'backup'
        order = Order(self.new_request_id('owner', backup))
        self.orders.append(order)
        self.copies_in_transit.append(
            RequestCopy(order, order.request_id, 'owner', 0.0)
        )

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(pick=PICK, vm=VM, wait=strategies.booleans())
    def resend(self, pick: int, vm: str, wait: bool) -> None:
        """Let a caller send its order again under the same id."""
        order = self.orders[pick % len(self.orders)]
        if not order.completed:
            wait_s = 1000.0 if wait else 0.0
            self.copies_in_transit.append(
                RequestCopy(order, order.request_id, vm, wait_s)
            )

    @stateful.precondition(lambda self: self.copies_in_transit)
    @stateful.rule(pick=PICK)
    def arrive(self, pick: int) -> None:
        """Deliver a copy of an order to its VM."""
        copy = self.copies_in_transit.pop(pick % len(self.copies_in_transit))
        process = self.processes[copy.vm]
        self.start(self.begin_copy(process, copy))

    @stateful.precondition(lambda self: self.copies_in_transit)
    @stateful.rule()
    def arrive_now(self) -> None:
        """Deliver the newest copy, its intent and the reply to that."""
        self.arrive(len(self.copies_in_transit) - 1)
        if self.pending_calls:
            self.deliver(len(self.pending_calls) - 1)
            self.give_answer(len(self.pending_replies) - 1)

    async def begin_copy(self, process: Process, copy: RequestCopy) -> None:
        """Handle a copy as a node does, up to the send."""
        begun = await process.system.begin(
            ACCOUNT, copy.request_id, 'digest', copy.wait_s
        )
        if isinstance(begun, result.Err):
            self.report_failure(copy.order, copy.request_id, begun.err_value)
        elif begun.ok_value.should_run:
            self.allowed_runs.append(
                AllowedRun(process, copy.order, copy.request_id)
            )
        else:
            assert begun.ok_value.response is not None
            self.report_response(
                copy.order, copy.request_id, begun.ok_value.response
            )

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(pick=PICK, vm=VM)
    def ask_outcome(self, pick: int, vm: str) -> None:
        """Query a VM for an outcome, without the request's digest."""
        order = self.orders[pick % len(self.orders)]

        async def ask() -> None:
            request_id = order.request_id
            outcome = await self.processes[vm].system.resolve(
                ACCOUNT, request_id, '', 0.3
            )
            if isinstance(outcome, result.Err):
                self.report_failure(order, request_id, outcome.err_value)
            else:
                self.report_response(order, request_id, outcome.ok_value)

        self.start(ask())

    def report_failure(
        self, order: Order, request_id: str, failure: errors.Failure
    ) -> None:
        """Report a failure to a caller, who uses a new id after 'not run'."""
        assert failure.kind in (
            ErrorKind.NOT_RUN,
            ErrorKind.OUTCOME_UNKNOWN,
        ), failure
        if failure.kind is not ErrorKind.NOT_RUN:
            return
        self.reported_not_run.add(request_id)
        if order.request_id == request_id and not order.completed:
            order.request_id = self.new_request_id('owner', 'backup')
            self.copies_in_transit.append(
                RequestCopy(order, order.request_id, 'owner', 0.0)
            )

    def report_response(
        self,
        order: Order,
        request_id: str,
        response: delivery.StoredResponse,
    ) -> None:
        """Report a response to a caller; all for one id must be equal."""
        order.completed = True
        first_response = self.responses_given.setdefault(request_id, response)
        assert first_response == response, f'two answers for {request_id}'

    # Backend servers.

    @stateful.precondition(lambda self: self.allowed_runs)
    @stateful.rule(pick=PICK)
    def send(self, pick: int) -> None:
        """Let a process send a request that it may run."""
        run = self.allowed_runs.pop(pick % len(self.allowed_runs))
        if run.process.alive:
            run.order.runs += 1
            self.run_counts[run.request_id] += 1
            self.running.append(run)

    @stateful.precondition(lambda self: self.allowed_runs)
    @stateful.rule(pick=PICK)
    def withdraw(self, pick: int) -> None:
        """Let the last check before a send fail."""
        run = self.allowed_runs.pop(pick % len(self.allowed_runs))
        if run.process.alive:
            self.start(run.process.system.withdraw(ACCOUNT, run.request_id))
            failure = errors.Failure(ErrorKind.NOT_RUN, 'withdrawn')
            self.report_failure(run.order, run.request_id, failure)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=PICK, answered=strategies.booleans())
    def end_run(self, pick: int, answered: bool) -> None:
        """Let a backend server respond, or its connection break."""
        run = self.running.pop(pick % len(self.running))
        if not run.process.alive:
            return
        system = run.process.system
        if not answered:
            self.start(system.abandon(ACCOUNT, run.request_id))
            return
        body = str(self.next_number()).encode()
        response = delivery.StoredResponse(201, (), body)
        self.start(system.finish(ACCOUNT, run.request_id, response))
        self.report_response(run.order, run.request_id, response)

    # Messages, time and processes.

    @stateful.precondition(lambda self: self.pending_calls)
    @stateful.rule(pick=PICK)
    def deliver(self, pick: int) -> None:
        """Deliver a call; its reply is then pending."""
        call = self.pending_calls.pop(pick % len(self.pending_calls))
        handler = self.processes[call.vm].system.handlers()[
            delivery.INTENT_PATH
        ]
        call.reply = self.loop.run_until_complete(
            typing.cast(
                collections.abc.Coroutine[typing.Any, typing.Any, CallResult],
                handler(call.message),
            )
        )
        self.pending_replies.append(call)

    @stateful.precondition(lambda self: self.pending_replies)
    @stateful.rule(pick=PICK)
    def give_answer(self, pick: int) -> None:
        """Deliver a reply to the sender."""
        call = self.pending_replies.pop(pick % len(self.pending_replies))
        assert call.reply is not None
        call.complete(call.reply)
        self.run_until_idle()

    @stateful.precondition(lambda self: self.pending_replies)
    @stateful.rule(pick=PICK)
    def lose_answer(self, pick: int) -> None:
        """Lose a reply, so that the sender times out."""
        call = self.pending_replies.pop(pick % len(self.pending_replies))
        call.complete(no_reply())
        self.run_until_idle()

    @stateful.precondition(lambda self: self.pending_calls)
    @stateful.rule(pick=PICK, drop=strategies.booleans())
    def time_out(self, pick: int, drop: bool) -> None:
        """Let the sender time out; if not dropped, the call stays pending."""
        call = self.pending_calls[pick % len(self.pending_calls)]
        if drop:
            self.pending_calls.remove(call)
        call.complete(no_reply())
        self.run_until_idle()

    @stateful.precondition(lambda self: self.sleepers)
    @stateful.rule(pick=PICK)
    def wake(self, pick: int) -> None:
        """Wake up a process that sleeps."""
        process, wake_up = self.sleepers.pop(pick % len(self.sleepers))
        if process.alive and not wake_up.done():
            wake_up.set_result(None)
        self.run_until_idle()

    @stateful.rule(minutes=strategies.sampled_from([0.1, 1, 5, 9, 21]))
    def pass_time(self, minutes: float) -> None:
        """Advance the clock of all processes."""
        self.clock.advance(minutes * 60)
        for process in self.processes.values():
            process.system.tick(self.clock.now())

    @stateful.rule(vm=VM)
    def restart(self, vm: str) -> None:
        """Replace a VM's process by a new one without any records."""
        self.processes[vm].alive = False
        incarnation = f'i{self.next_number()}'
        self.processes[vm] = Process(vm, incarnation, self)

    # Invariants.

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """An order runs at most once under all its ids together."""
        for order in self.orders:
            assert order.runs <= 1, f'{order.request_id} ran again'

    @stateful.invariant()
    def not_run_is_true(self) -> None:
        """'Not run' is never reported for an id that ran or runs later."""
        contradictions = self.reported_not_run & set(self.run_counts)
        assert not contradictions, (
            f'ran, but "not run" was said: {contradictions}'
        )


def no_reply() -> CallResult:
    """Return the result of a call without a reply."""
    return result.Err(errors.Failure(ErrorKind.OUTCOME_UNKNOWN, 'no answer'))


def run_machine(
    max_examples: int, phases: collections.abc.Collection[hypothesis.Phase]
) -> None:
    """Run the state machine on a fixed sequence of examples."""
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
    """At most one run, a correct 'not run', and one response for an id."""

    def test_protocol_holds(self) -> None:
        """Guards against an interleaving that runs a request twice."""
        run_machine(300, set(hypothesis.Phase) - {hypothesis.Phase.explain})

    def test_machine_finds_a_missing_fence(self) -> None:
        """Guards against a state machine test that cannot fail."""
        without_fence = {
            (delivery.State.NONE, delivery.Event.RESOLVE): (
                delivery.State.NONE,
                delivery.Reply.NOT_RUN,
            )
        }
        with mock.patch.dict(delivery.INTENT_TRANSITIONS, without_fence):
            with self.assertRaisesRegex(AssertionError, 'ran'):
                # Hypothesis picks examples from constants of all loaded
                # modules, so the failing one may come late.  The first
                # failure ends the run.
                run_machine(3000, [hypothesis.Phase.generate])
