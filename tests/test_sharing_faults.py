"""Tests of token buckets and slots under faults, and of their checks."""

import typing
import unittest
from unittest import mock

from filbertstep import _buckets
from filbertstep import _loans
from filbertstep import _slot_table
from filbertstep import config
from tests import sharing_machines as machines

EXAMPLES = 25
# Enough examples to find each of the faults below; the first failure ends a
# run.  Which example fails depends on the constants of all loaded modules, so
# the number has a margin.
FAULT_EXAMPLES = 2000


class TestFaults(unittest.TestCase):
    """Invariants hold under loss, epoch changes, freezes and deaths."""

    def test_shares(self) -> None:
        """Use must not exceed rate and burst, nor units their total."""
        machines.run_machine(machines.ShareMachine, EXAMPLES)

    def test_shares_with_a_small_burst(self) -> None:
        """Fractions of tokens must not add up to too many."""
        machines.run_machine(machines.SmallBurstMachine, EXAMPLES)

    def test_slots(self) -> None:
        """A backend server must not get more requests than slots."""
        machines.run_machine(machines.SlotMachine, EXAMPLES)


def newest_epoch_only(
    table: config.ViewTable, now: float, lookback_s: float = 0.0
) -> list[config.Epoch]:
    """Replace ``ViewTable.epochs``: a takeover does not wait."""
    return [] if table.newest is None else [table.newest.epoch]


def debit_nothing(
    bucket: _buckets.Bucket, units: int, epochs: list[str]
) -> float:
    """Replace ``Bucket.debit``: a donor keeps the units that it grants."""
    return max(0.0, bucket.tokens) * units / bucket.units


def fill_bucket_on_gain(
    bucket: _buckets.Bucket,
    limits: _buckets.Limits,
    splits: dict[str, int],
) -> None:
    """Replace ``Bucket.set_limits_and_splits``: new units bring tokens."""
    changed = splits != bucket.splits
    bucket.limits, bucket.splits = limits, splits
    bucket.update_usable_units()
    if changed:
        bucket.tokens = bucket.capacity()


def end_all_loans(lent: _loans.LentSlots, now: float) -> None:
    """Replace ``LentSlots.end_expired``: loans end too early."""
    for loan_id in list(lent.loans):
        lent.end_loan(loan_id)


class Fault(typing.NamedTuple):
    """A mechanism to disable and the violation that must be found.

    ``replacement`` is patched over ``attribute`` of ``target``.
    """

    machine: type[machines.FleetMachine]
    target: object
    attribute: str
    replacement: object
    expected_message: str


FAULTS = [
    Fault(
        machines.ShareMachine,
        config.ViewTable,
        'epochs',
        newest_epoch_only,
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
        fill_bucket_on_gain,
        'use exceeds burst',
    ),
    Fault(
        machines.SlotMachine,
        config.ViewTable,
        'epochs',
        newest_epoch_only,
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
        end_all_loans,
        'more requests than slots',
    ),
]


class TestChecks(unittest.TestCase):
    """Each check fails when a mechanism that it covers is disabled."""

    def test_switched_off_mechanism_is_found(self) -> None:
        """The checks must be able to fail."""
        for fault in FAULTS:
            with (
                self.subTest(
                    machine=fault.machine.__name__, name=fault.attribute
                ),
                mock.patch.object(
                    fault.target, fault.attribute, fault.replacement
                ),
                self.assertRaisesRegex(
                    machines.Violation, fault.expected_message
                ),
            ):
                machines.run_machine(fault.machine, FAULT_EXAMPLES)

    def test_use_meter(self) -> None:
        """The meter must detect excess use in a short window."""
        meter = machines.UsageMeter(rate=10.0, burst=5.0, now=0.0)
        meter.record_use(5.0, 0.0)
        meter.record_use(1.0, 0.1)
        with self.assertRaises(machines.Violation):
            meter.record_use(1.0, 0.15)
