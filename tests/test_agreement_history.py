"""Random histories of several VMs, checked against the heads in the store.

Events come in any order: lost messages, partitions, outages and lost answers
of the store, frozen, killed and restarted VMs, and withdrawals of keys.
"""

import itertools
import typing
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from filbertstep import agreement
from filbertstep import config
from tests import agreement_cluster
from tests import ticket_samples

VMS: typing.Final = 4
KEYS: typing.Final = 12

vm_names = strategies.sampled_from([f'v{number}' for number in range(VMS)])
some_vms = strategies.frozensets(vm_names)


class History(stateful.RuleBasedStateMachine):
    """Runs the agreement systems of four VMs; checks invariants each step."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = agreement_cluster.Cluster(VMS)
        self.next_key = 0
        self.frozen: set[str] = set()
        # Digest of the key that a ticket withdraws, by the ticket's digest.
        self.withdrawn_keys: dict[str, str] = {}
        self.accepted_withdrawals: set[str] = set()
        self.advance(3.0)
        first = ticket_samples.first_ticket(KEYS)
        self.cluster.run_until_done(
            self.cluster.processes['v0'].agreement.submit_ticket(first)
        ).unwrap()
        self.advance(1.0)

    def teardown(self) -> None:
        """Resume all VMs and close the cluster."""
        for vm in sorted(self.frozen):
            self.cluster.thaw(vm)
        self.cluster.close()

    def advance(self, seconds: float) -> None:
        """Advance time and check the invariants after each step."""
        self.cluster.run(seconds, self.check_all)

    @stateful.rule(groups=some_vms, cut=some_vms)
    def split(self, groups: frozenset[str], cut: frozenset[str]) -> None:
        """Partition some VMs from the others, and cut some off the store."""
        self.cluster.partition_of_vm = dict.fromkeys(groups, 1)
        self.cluster.vms_without_store = cut

    @stateful.rule()
    def heal(self) -> None:
        """End partitions, loss of messages and outages of the store."""
        self.cluster.partition_of_vm = {}
        self.cluster.vms_without_store = frozenset()
        self.cluster.loss_probability = 0.0
        self.cluster.store.down = False
        self.cluster.store.delay_s = 0.0
        self.advance(2.0)

    @stateful.rule(loss=strategies.sampled_from([0.1, 0.5]))
    def lose(self, loss: float) -> None:
        """Lose a fraction of the messages between VMs."""
        self.cluster.loss_probability = loss

    @stateful.rule(delay_s=strategies.sampled_from([0.3, 0.8, 1.5, 3.0]))
    def slow_store(self, delay_s: float) -> None:
        """Delay calls to the store."""
        self.cluster.store.delay_s = delay_s

    @stateful.rule(count=strategies.integers(1, 2))
    def lose_answers(self, count: int) -> None:
        """Lose the store's answers to the next writes."""
        self.cluster.store.lose_answers = count

    @stateful.rule()
    def stop_store(self) -> None:
        """Take the store down."""
        self.cluster.store.down = True

    @stateful.rule(vm=vm_names)
    def freeze(self, vm: str) -> None:
        """Freeze a VM."""
        if vm in self.cluster.processes and vm not in self.frozen:
            self.cluster.freeze(vm)
            self.frozen.add(vm)

    @stateful.rule()
    def thaw(self) -> None:
        """Resume all frozen VMs."""
        for vm in sorted(self.frozen):
            self.cluster.thaw(vm)
        self.frozen.clear()
        self.advance(0.1)

    @stateful.rule(vm=vm_names)
    def kill_or_start(self, vm: str) -> None:
        """Kill a VM's process, or start a new one if there is none."""
        if vm in self.frozen:
            return
        if vm in self.cluster.processes:
            self.cluster.kill(vm)
        else:
            self.cluster.start(vm)

    @stateful.rule(vms=strategies.lists(vm_names, min_size=1, max_size=2))
    def withdraw(self, vms: list[str]) -> None:
        """Submit a ticket to each VM that withdraws a key.

        The tickets have the same number when the VMs know the same head.
        """
        for vm in vms:
            process = self.cluster.processes.get(vm)
            if process is None or self.next_key >= KEYS:
                continue
            newest = process.views.newest
            number = 2 if newest is None else newest.head['ticket'] + 1
            ticket = ticket_samples.withdrawal(number, self.next_key)
            checked = config.check_ticket(ticket).unwrap()
            self.withdrawn_keys[config.ticket_digest(checked)] = (
                ticket_samples.key_digest(self.next_key)
            )
            self.next_key += 1
            self.cluster.spawn(process.agreement.submit_ticket(ticket))
        self.advance(0.3)

    @stateful.rule(side=some_vms)
    def separate(self, side: frozenset[str]) -> None:
        """Partition the VMs; only one side can reach the store."""
        self.cluster.partition_of_vm = dict.fromkeys(side, 1)
        self.cluster.vms_without_store = (
            frozenset(self.cluster.processes) - side
        )

    def interrupt(self, side: frozenset[str], after_s: float) -> None:
        """Partition the VMs while a commit is in progress.

        A slow store delays the swap, so that the partition can begin between
        the promises and the swap.
        """
        for _ in range(100):
            if any(
                process.views.pending
                for vm, process in self.cluster.processes.items()
                if vm not in side
            ):
                break
            self.advance(agreement_cluster.CHECK_INTERVAL_S)
        self.advance(after_s)
        self.separate(side)
        self.cluster.store.delay_s = 0.0
        self.advance(6.0)

    @stateful.rule(vm=vm_names, after_s=strategies.sampled_from([0.05, 1.2]))
    def interrupted_withdrawal(self, vm: str, after_s: float) -> None:
        """Partition the proposer of a ticket during the commit."""
        self.heal()
        self.thaw()
        self.cluster.store.delay_s = 0.5
        self.withdraw([vm])
        self.interrupt(frozenset({vm}), after_s)

    @stateful.rule(vm=vm_names)
    def isolated_withdrawal(self, vm: str) -> None:
        """Submit a ticket to a VM that reaches the store but no other VM."""
        self.heal()
        self.thaw()
        self.separate(frozenset({vm}))
        self.withdraw([vm])
        self.advance(6.0)

    @stateful.rule(
        vm=vm_names, side=some_vms, after_s=strategies.sampled_from([0, 0.6])
    )
    def interrupted_join(
        self, vm: str, side: frozenset[str], after_s: float
    ) -> None:
        """Partition a joining VM and others during the change of epoch."""
        self.heal()
        self.thaw()
        if vm in self.cluster.processes:
            self.cluster.kill(vm)
            self.advance(6.0)
        self.cluster.store.delay_s = 0.5
        self.cluster.start(vm)
        self.interrupt(side | {vm}, after_s)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 3.0, 6.0]))
    def wait(self, seconds: float) -> None:
        """Advance time."""
        self.advance(seconds)

    def check_all(self) -> None:
        """Check all invariants now."""
        now = self.cluster.clock.now()
        self.check_index()
        self.check_shares(now)
        self.check_keys(now)

    def check_index(self) -> None:
        """Check that no process's known head index decreases."""
        for process in self.cluster.processes.values():
            index = process.views.head_index()
            assert index >= process.highest_index, 'head index fell'
            process.highest_index = index

    def check_shares(self, now: float) -> None:
        """Check that the shares of all VMs add up to at most one."""
        shares = {
            vm: process.usable_share(now)
            for vm, process in self.cluster.processes.items()
        }
        assert sum(shares.values()) <= 1 + 1e-9, f'shares {shares}'

    def check_keys(self, now: float) -> None:
        """Check which keys the VMs accept.

        A VM that may act accepts only keys of heads that were the newest
        within the lifetime of evidence, and no key whose withdrawal is
        accepted.
        """
        for process in self.cluster.processes.values():
            for status in process.agreement.recent_tickets():
                if status.state is agreement.TicketState.ACCEPTED:
                    digest = self.withdrawn_keys.get(status.digest)
                    self.accepted_withdrawals.update(
                        () if digest is None else (digest,)
                    )
        allowed = self.recent_keys(now)
        for vm, process in self.cluster.processes.items():
            if vm in self.frozen or not process.agreement.is_fresh(now):
                continue
            for number in range(KEYS):
                digest = ticket_samples.key_digest(number)
                if process.views.key_account(digest, now) is None:
                    continue
                assert digest in allowed, f'{vm} takes key {number}: lapsed'
                assert digest not in self.accepted_withdrawals, (
                    f'{vm} takes key {number}: its withdrawal is accepted'
                )

    def recent_keys(self, now: float) -> set[str]:
        """Return the keys of heads newest within the lifetime of evidence."""
        heads = self.cluster.store.heads
        oldest = now - config.EVIDENCE_LIFETIME_S
        ends = [*[head.time for head in heads], now][1:]
        return set(
            itertools.chain.from_iterable(
                head.keys
                for head, end in zip(heads, ends, strict=True)
                if end >= oldest
            )
        )


TestHistory: type[unittest.TestCase] = History.TestCase
TestHistory.settings = hypothesis.settings(  # type: ignore[attr-defined]
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=16,
    stateful_step_count=10,
    # Shrinking would take minutes, so a failed history is printed in full.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
