"""Tests of the stand-in for the list of VMs."""

import typing

from filbertstep import _standin_vms
from tests import standin_case


def doc(state: str = 'live') -> dict[str, object]:
    """Return a VM."""
    return {
        'address': '127.0.0.1',
        'port': 1,
        'peers_url': 'http://127.0.0.1:2',
        'callers_url': 'http://127.0.0.1:1',
        'state': state,
    }


class TestVms(standin_case.StandinCase):
    """The list lags, and may differ by asker."""

    async def asyncSetUp(self) -> None:
        """Serve a list."""
        await super().asyncSetUp()
        self.standin = _standin_vms.VmsStandin(0.0, self.history)
        await self.serve(self.standin.app())

    async def metas(self, query: str = '') -> dict[str, typing.Any]:
        """Return what the list says of each VM."""
        answer = await self.call('GET', _standin_vms.SERVICE_PATH + query)
        return {
            one['Node']['Node']: one['Service']['Meta']
            for one in answer.json()
        }

    async def test_entries_come_and_go(self) -> None:
        """Guards against entries of another shape than the published one."""
        await self.control(vms={'vm-1': doc(), 'vm-2': doc('leaving')})
        shown = await self.metas()
        self.assertEqual('live', shown['vm-1']['state'])
        self.assertEqual('leaving', shown['vm-2']['state'])
        await self.control(vms={'vm-1': None})
        self.assertEqual({'vm-2'}, set(await self.metas()))

    async def test_changes_show_after_the_lag(self) -> None:
        """Guards against a list that knows of a death at once."""
        await self.control(vms={'vm-1': doc()})
        await self.control(lag_s=1000.0, vms={'vm-1': None})
        self.assertEqual({'vm-1'}, set(await self.metas()))
        hidden = self.standin.pending[0]
        self.standin.pending = [hidden._replace(shown_at=0.0)]
        self.assertEqual({}, await self.metas())

    async def test_paths_differ_by_asker(self) -> None:
        """Guards against relays that some calls go around."""
        path = {'peers_url': 'http://127.0.0.1:9'}
        await self.control(vms={'vm-1': doc()}, paths={'vm-2': {'vm-1': path}})
        own = (await self.metas('?vm=vm-2'))['vm-1']
        self.assertEqual('http://127.0.0.1:9', own['peers_url'])
        self.assertEqual('http://127.0.0.1:1', own['callers_url'])
        other = (await self.metas('?vm=vm-3'))['vm-1']
        self.assertEqual('http://127.0.0.1:2', other['peers_url'])

    async def test_bad_entry_is_refused(self) -> None:
        """Guards against entries that nodes could not read."""
        bad = {**doc(), 'state': 'dead'}
        answer = await self.control(vms={'vm-1': bad})
        self.assertEqual(400, answer.status)
