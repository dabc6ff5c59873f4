"""Exchanges the loads of the regions between entry VMs.

A VM gets load reports only from servers to which it sends requests, which are
few or none in other regions.  Each VM therefore asks VMs of all regions for
the loads that they received from servers of their own region.  The number of
requests does not depend on the number of VMs.
"""

import asyncio
import itertools
import typing

import aiohttp
import msgspec

from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _log
from filbertstep.entry import _peer_errors
from filbertstep.entry import _state

LOADS_PATH: typing.Final = '/loads'

# Time between two requests of this VM; each goes to the next region.
EXCHANGE_INTERVAL_S: typing.Final = 0.5

EXCHANGE_TIMEOUT_S: typing.Final = 0.3


class LoadDoc(typing.TypedDict):
    """Mean load of a region's slots, and the number of reports behind it.

    An answer is an object with one such value for each service.
    """

    load: float
    reports: int


def loads_answer(
    regions: steering.RegionSplitter, now: float
) -> dict[str, LoadDoc]:
    """Return the loads of this VM's region for a peer."""
    return {
        service: {'load': round(summary.load, 3), 'reports': summary.reports}
        for service, summary in regions.local_summaries(now).items()
    }


class LoadExchange:
    """Asks a VM of one region after the other for its loads."""

    def __init__(
        self,
        state: _state.State,
        session: aiohttp.ClientSession,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.state = state
        self.session = session
        self.clock = time_source
        self.log = log
        self.request_number = itertools.count()

    async def run(self) -> None:
        """Ask peers in an endless loop."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            peer = self.next_peer()
            if peer is not None:
                await self.ask(peer)

    def next_peer(self) -> steering.Member | None:
        """Return the VM to ask next, None if no other VM is live.

        The regions take turns, and so do the VMs of each region.
        """
        peers_by_region: dict[str, list[steering.Member]] = {}
        for member in self.state.members.live.values():
            if member.vm != self.state.settings.vm:
                peers_by_region.setdefault(member.region, []).append(member)
        if not peers_by_region:
            return None
        turn, region_index = divmod(
            next(self.request_number), len(peers_by_region)
        )
        region = sorted(peers_by_region)[region_index]
        peers = sorted(peers_by_region[region])
        return peers[turn % len(peers)]

    async def ask(self, peer: steering.Member) -> None:
        """Ask a VM for the loads of its region, and record them."""
        try:
            loads = await self.fetch(peer.peers)
        except _peer_errors.PEER_ERRORS as error:
            self.log.write(
                'loads_failed', peer=peer.peers, error=type(error).__name__
            )
            return
        now = self.clock.now()
        for service, doc in loads.items():
            summary = steering.LoadSummary(doc['load'], doc['reports'])
            self.state.regions.record_summary(
                service, peer.region, summary, now
            )

    async def fetch(self, address: str) -> dict[str, LoadDoc]:
        """Return the answer of a peer.

        Raises what the HTTP client raises, ``ValueError`` for an answer that
        cannot be decoded, and ``RecursionError`` for one nested too deeply.
        """
        async with self.session.get(
            f'http://{address}{LOADS_PATH}',
            timeout=aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S),
            raise_for_status=True,
        ) as response:
            body = await response.read()
        return msgspec.json.decode(body, type=dict[str, LoadDoc])
