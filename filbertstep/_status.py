"""The status document of a VM for operators.

It describes the VM itself and, as seen by it, the VMs, regions, services and
backend servers.
"""

import collections
import typing

from filbertstep import agreement
from filbertstep import config
from filbertstep import routing
from filbertstep import systems


class RegionDoc(typing.TypedDict):
    """Status of a region.

    ``vms`` and ``backend_servers`` are the numbers of each, by state.
    """

    drained: bool
    vms: dict[str, int]
    backend_servers: dict[str, int]


class StatusReporter:
    """Builds the status document from the data of the systems."""

    def __init__(
        self,
        agreement: agreement.Agreement,
        views: config.ViewTable,
        dispatcher: routing.Dispatcher,
        health: routing.HealthTable,
        slots: systems.Slots,
    ) -> None:
        self.agreement = agreement
        self.views = views
        self.dispatcher = dispatcher
        self.health = health
        self.slots = slots

    def is_ready(self, now: float) -> bool:
        """Return whether this VM serves under the newest configuration."""
        newest = self.views.newest
        # New permissions apply only when no former view is in force.
        return (
            newest is not None
            and newest.head['ticket'] > 0
            and len(self.views.in_force(now)) == 1
            and self.agreement.state == 'serving'
            and self.agreement.is_fresh(now)
        )

    def report(self, now: float) -> dict[str, typing.Any]:
        """Return the status document as a JSON object."""
        agreement_status = self.agreement.status()
        servers = {
            name: {
                'service': row.server.service,
                'region': row.server.region,
                'availability_zone': row.server.availability_zone,
                'state': self.server_state(row, now),
                'in_use': self.slots.in_use_count(name),
                'slots': row.server.slots,
            }
            for name, row in sorted(self.health.rows.items())
        }
        return {
            **agreement_status,
            'ready': self.is_ready(now),
            'regions': self.region_rows(agreement_status['vms'], servers, now),
            'services': self.dispatcher.status(now),
            'backend_servers': servers,
        }

    def server_state(self, row: routing.HealthRow, now: float) -> str:
        """Return 'drained' if the configuration drains it, else its health."""
        target = config.DrainTarget.BACKEND_SERVER
        if self.views.is_drained(target, row.server.name, now):
            return 'drained'
        return row.state.value

    def region_rows(
        self,
        vms: dict[str, typing.Any],
        servers: dict[str, typing.Any],
        now: float,
    ) -> dict[str, RegionDoc]:
        """Return the status of each region of the configuration."""
        newest = self.views.newest
        names = [] if newest is None else sorted(newest.config.regions)
        target = config.DrainTarget.REGION
        return {
            name: {
                'drained': self.views.is_drained(target, name, now),
                'vms': count_states(vms, name),
                'backend_servers': count_states(servers, name),
            }
            for name in names
        }


def count_states(rows: dict[str, typing.Any], region: str) -> dict[str, int]:
    """Return the number of rows in a region, by state."""
    return dict(
        collections.Counter(
            row['state'] for row in rows.values() if row['region'] == region
        )
    )
