"""Registration of a VM while the store executes calls late."""

import asyncio
import json
import unittest

from filbertstep.entry import _membership
from tests import test_entry_knowledge

VM_KEY = 'vms/v2'
FLEET_KEY = 'fleet/v2'


class TestLateCalls(test_entry_knowledge.SyncCase):
    """The store executes a call whose answer was lost some seconds later."""

    async def asyncSetUp(self) -> None:
        """Start a store whose leases end, and a VM that reads it."""
        await super().asyncSetUp()
        self.start_task(self.store.expire_leases())
        self.start_task(self.peer.run_store())

    def is_registered(self) -> bool:
        """Return whether the VM's key hangs on the lease that it renews."""
        item = self.store.items.get(VM_KEY)
        lease = self.peer.registration.lease
        return (
            item is not None
            and lease is not None
            and item['lease'] == lease.lease_id
        )

    async def wait_for_leases(self) -> None:
        """Wait until all leases that nobody renews have ended."""
        await asyncio.sleep(_membership.LEASE_TTL_S + 0.5)

    async def test_own_late_write_does_not_unlist_the_vm(self) -> None:
        """Guards against a key that ends with a lease nobody renews."""
        self.store.lost_keys = {VM_KEY}
        self.start_task(self.peer.registration.run())
        await self.wait_until(self.is_registered)
        self.store.execute_late_writes()
        await self.wait_for_leases()
        self.assertTrue(self.is_registered())
        self.assertIn('v2', self.peer.members.live)

    async def test_late_write_of_former_process_is_repaired(self) -> None:
        """Guards against a key that ends with the former process's lease."""
        former = self.vm('v2', self.store.address).registration
        self.store.lost_keys = {VM_KEY}
        await former.register()
        self.start_task(self.peer.registration.run())
        await self.wait_until(self.is_registered)
        self.assertEqual(self.store.execute_late_writes(), [200])
        self.assertFalse(self.is_registered())
        await self.wait_until(self.is_registered)
        await self.wait_for_leases()
        self.assertTrue(self.is_registered())
        self.assertIn('v2', self.peer.members.live)

    async def test_late_write_after_the_stop_is_rejected(self) -> None:
        """Guards against look-ups that name a VM which has stopped."""
        self.store.lost_keys = {VM_KEY}
        self.start_task(self.peer.registration.run())
        await self.wait_until(lambda: bool(self.store.late_writes))
        await self.peer.registration.deregister()
        self.assertEqual(self.store.execute_late_writes(), [404])
        self.assertNotIn(VM_KEY, self.store.items)

    async def test_late_deletion_of_the_fleet_key_is_repaired(self) -> None:
        """Guards against a share of rates that two VMs use.

        Another VM removed the key before this VM registered again, and the
        store executes the removal afterwards.
        """
        self.start_task(self.peer.registration.run())
        await self.wait_until(self.is_registered)
        self.store.delete(FLEET_KEY)
        await self.wait_until(lambda: FLEET_KEY in self.store.items)
        await self.wait_until(lambda: 'v2' in self.peer.members.fleet)

    async def test_unchanged_keys_are_written_once(self) -> None:
        """Guards against writes that only repeat what the store has."""
        self.start_task(self.peer.registration.run())
        await self.wait_until(self.is_registered)
        revisions = self.revisions()
        await asyncio.sleep(3 * _membership.LEASE_RENEWAL_INTERVAL_S)
        self.assertEqual(self.revisions(), revisions)
        doc = json.loads(self.peer.replica.items[VM_KEY].value)
        lease = self.peer.registration.lease
        assert lease is not None
        self.assertEqual(doc['lease'], lease.lease_id)

    def revisions(self) -> list[int]:
        """Return the revisions of the VM's keys in the store."""
        return [
            self.store.items[key]['revision'] for key in (VM_KEY, FLEET_KEY)
        ]


if __name__ == '__main__':
    unittest.main()
