"""Tests of the stand-in for the platform's list of VMs."""

import typing

from filbertstep import _standin_vms
from tests import standin_case


def vm_record(state: str = 'live') -> dict[str, object]:
    """Return the record of a VM in the given state."""
    return {
        'address': '127.0.0.1',
        'port': 1,
        'peers_url': 'http://127.0.0.1:2',
        'callers_url': 'http://127.0.0.1:1',
        'state': state,
    }


class TestVms(standin_case.StandinCase):
    """The list shows changes late and can differ by requesting VM."""

    async def asyncSetUp(self) -> None:
        """Serve an empty list without lag."""
        await super().asyncSetUp()
        self.standin = _standin_vms.VmListStandin(0.0, self.history)
        await self.serve(self.standin.app())

    async def metadata_by_vm(self, query: str = '') -> dict[str, typing.Any]:
        """Return the ``Meta`` object of each VM in the list."""
        response = await self.call('GET', _standin_vms.VM_LIST_PATH + query)
        return {
            entry['Node']['Node']: entry['Service']['Meta']
            for entry in response.json()
        }

    async def test_records_are_added_and_removed(self) -> None:
        """Guards against entries that differ from the published API."""
        await self.control(
            vms={'vm-1': vm_record(), 'vm-2': vm_record('leaving')}
        )
        metadata = await self.metadata_by_vm()
        self.assertEqual('live', metadata['vm-1']['state'])
        self.assertEqual('leaving', metadata['vm-2']['state'])
        await self.control(vms={'vm-1': None})
        self.assertEqual({'vm-2'}, set(await self.metadata_by_vm()))

    async def test_changes_become_visible_after_the_lag(self) -> None:
        """Guards against a list that shows the loss of a VM at once."""
        await self.control(vms={'vm-1': vm_record()})
        await self.control(lag_s=1000.0, vms={'vm-1': None})
        self.assertEqual({'vm-1'}, set(await self.metadata_by_vm()))
        change = self.standin.pending_changes[0]
        self.standin.pending_changes = [change._replace(visible_at=0.0)]
        self.assertEqual({}, await self.metadata_by_vm())

    async def test_urls_differ_by_requesting_vm(self) -> None:
        """Guards against calls that bypass the relays between VMs."""
        urls = {'peers_url': 'http://127.0.0.1:9'}
        await self.control(
            vms={'vm-1': vm_record()}, paths={'vm-2': {'vm-1': urls}}
        )
        overridden = (await self.metadata_by_vm('?vm=vm-2'))['vm-1']
        self.assertEqual('http://127.0.0.1:9', overridden['peers_url'])
        self.assertEqual('http://127.0.0.1:1', overridden['callers_url'])
        default = (await self.metadata_by_vm('?vm=vm-3'))['vm-1']
        self.assertEqual('http://127.0.0.1:2', default['peers_url'])

    async def test_invalid_record_is_rejected(self) -> None:
        """Guards against accepting records that nodes cannot read."""
        bad_record = {**vm_record(), 'state': 'dead'}
        response = await self.control(vms={'vm-1': bad_record})
        self.assertEqual(400, response.status)
