"""Tests of both systems under faults, and of the checks themselves."""

import typing
import unittest
from unittest import mock

from filbertstep import _buckets
from filbertstep import _loans
from filbertstep import _slot_table
from filbertstep import config
from tests import sharing_machines as machines

EXAMPLES = 25
# Enough to meet the faults below; the check must find each of them.
# The first failure ends a run.  Which example fails depends on constants of
# all loaded modules, so the number leaves room.
FAULT_EXAMPLES = 2000


class TestFaults(unittest.TestCase):
    """Invariants hold under loss, epoch changes, freezes and deaths."""

    def test_shares(self) -> None:
        """Guards against use above rate and burst, and units above 1."""
        machines.run_machine(machines.ShareMachine, EXAMPLES)

    def test_shares_with_a_small_burst(self) -> None:
        """Guards against parts of tokens that add up to too many."""
        machines.run_machine(machines.SmallBurstMachine, EXAMPLES)

    def test_slots(self) -> None:
        """Guards against more requests than slots on a backend server."""
        machines.run_machine(machines.SlotMachine, EXAMPLES)


def newest_only(
    table: config.ViewTable, now: float, lookback_s: float = 0.0
) -> list[config.Epoch]:
    """Stand for a take-over that waits for nobody."""
    return [] if table.newest is None else [table.newest.epoch]


def debit_nothing(
    bucket: _buckets.Bucket, units: int, epochs: list[str]
) -> float:
    """Stand for a giver that credits the asker and keeps its units."""
    return max(0.0, bucket.tokens) * units / bucket.units


def gain_tokens(
    bucket: _buckets.Bucket,
    limits: _buckets.Limits,
    splits: dict[str, int],
) -> None:
    """Stand for gained units that bring their burst along."""
    changed = splits != bucket.splits
    bucket.limits, bucket.splits = limits, splits
    bucket.update_usable_units()
    if changed:
        bucket.tokens = bucket.capacity()


def reclaim_all(lent: _loans.LentSlots, now: float) -> None:
    """Stand for a lender that takes slots back before the loans end."""
    for loan_id in list(lent.loans):
        lent.end_loan(loan_id)


class Fault(typing.NamedTuple):
    """A mechanism that is switched off, and what the check must say."""

    machine: type[machines.FleetMachine]
    target: object
    name: str
    replacement: object
    says: str


FAULTS = [
    Fault(
        machines.ShareMachine,
        config.ViewTable,
        'epochs',
        newest_only,
        'units of fresh VMs exceed',
    ),
    Fault(
        machines.ShareMachine,
        _buckets.Bucket,
        'debit',
        debit_nothing,
        'units of fresh VMs exceed',
    ),
    Fault(
        machines.ShareMachine,
        _buckets.Bucket,
        'set_limits_and_splits',
        gain_tokens,
        'use exceeds burst',
    ),
    Fault(
        machines.SlotMachine,
        config.ViewTable,
        'epochs',
        newest_only,
        'more requests than slots',
    ),
    Fault(
        machines.SlotMachine,
        _slot_table,
        'TAKEOVER_MARGIN_S',
        -6.0,
        'more requests than slots',
    ),
    Fault(
        machines.SlotMachine,
        _loans.LentSlots,
        'end_expired',
        reclaim_all,
        'more requests than slots',
    ),
]


class TestChecks(unittest.TestCase):
    """Each check fails when a mechanism that it guards is switched off."""

    def test_switched_off_mechanism_is_found(self) -> None:
        """Guards against checks that cannot fail."""
        for fault in FAULTS:
            with (
                self.subTest(machine=fault.machine.__name__, name=fault.name),
                mock.patch.object(fault.target, fault.name, fault.replacement),
                self.assertRaisesRegex(machines.Violation, fault.says),
            ):
                machines.run_machine(fault.machine, FAULT_EXAMPLES)

    def test_use_meter(self) -> None:
        """Guards against a meter that lets a window have too much."""
        meter = machines.UseMeter(rate=10.0, burst=5.0, now=0.0)
        meter.use(5.0, 0.0)
        meter.use(1.0, 0.1)
        with self.assertRaises(machines.Violation):
            meter.use(1.0, 0.15)
