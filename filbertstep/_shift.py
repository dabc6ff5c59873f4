"""The region of each request, and the cap on shifts of traffic.

A shift is a request placed in another region than the reference split gives.
Both splits map a point in [0, 1) to a region; the target split keeps as many
points as possible where the reference has them, so that a change of weights
shifts no more than it must.
"""

import collections.abc
import math
import typing

import result

from filbertstep import _fleet
from filbertstep import _splits
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import systems

# Part of a cap that a VM uses.  Each VM may have one move saved up when a
# window begins; the rest covers these moves of all VMs.
CAP_MARGIN: typing.Final = 0.95

Room = collections.abc.Mapping[str, float]


class ServiceSplits(typing.TypedDict):
    """Heartbeat part: a VM's region and its reference splits by service."""

    region: str
    splits: dict[str, dict[str, float]]


class ShiftSystem(systems.System, systems.HeartbeatPart):
    """Places requests in regions under the caps on shifts."""

    part_name = 'shift'

    def __init__(
        self,
        views: config.ViewTable,
        fleet: _fleet.ServerDirectory,
        region: str,
    ) -> None:
        self.views = views
        self.fleet = fleet
        self.region = region
        self.rows: dict[str, _splits.ShiftRow] = {}
        # Splits of peers for services that this VM has not yet placed.
        self.offered: dict[str, _splits.Split] = {}
        self.targets: dict[str, _splits.Split] = {}
        self.open_regions: dict[str, frozenset[str]] = {}
        self.targets_at = -math.inf

    def tick(self, now: float) -> None:
        """Begin new intervals, and drop services that are gone."""
        view = self.views.newest
        services = {} if view is None else view.config.services
        for name in [name for name in self.rows if name not in services]:
            del self.rows[name]
        for row in self.rows.values():
            row.roll(now)

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return this VM's reference splits, rounded."""
        return {
            'region': self.region,
            'splits': {
                name: {
                    region: round(share, 6)
                    for region, share in row.reference.items()
                }
                for name, row in self.rows.items()
                if not row.untouched
            },
        }

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Take the splits of a peer in this region for untouched services."""
        read = codec.convert(payload, ServiceSplits)
        if not isinstance(read, result.Ok):
            return
        part = read.ok_value
        view = self.views.newest
        if part['region'] != self.region or view is None:
            return
        for name, shares in part['splits'].items():
            row = self.rows.get(name)
            split = _splits.normal(shares)
            known = split.keys() <= view.config.regions.keys()
            if name not in view.config.services or not split or not known:
                continue
            if row is None or row.untouched:
                self.offered[name] = split
                self.rows.pop(name, None)

    def target(self, service: config.Service, now: float) -> _splits.Split:
        """Return the target split of the callers of this VM's region."""
        # Kept for one tick, because placing one request needs it once.
        if not 0 <= now - self.targets_at < systems.TICK_INTERVAL_S:
            self.targets = {}
            self.open_regions = {}
            self.targets_at = now
        split = self.targets.get(service.name)
        if split is None:
            found = self.candidates(service, now)
            self.open_regions[service.name] = frozenset(found)
            split = self.targets[service.name] = self.home_split(found)
        return split

    def open_now(self, service: config.Service, now: float) -> frozenset[str]:
        """Return the regions that may get requests in this tick."""
        self.target(service, now)
        return self.open_regions[service.name]

    def candidates(
        self, service: config.Service, now: float
    ) -> dict[str, float]:
        """Return the weights of regions that may get requests."""
        usable = self.fleet.usable(service.name, now)
        drained = self.fleet.drained(config.DrainTarget.REGION, now)
        return {
            region: weight
            for region, weight in positive(service.regions).items()
            if region not in drained
            and region in usable
            and usable[region].servers
        }

    def home_split(self, weights: dict[str, float]) -> _splits.Split:
        """Return the split of the callers of this VM's region.

        Requests stay in the region, because links between regions are slow
        and thin.  A region with less than the largest weight keeps that part
        of its callers' requests and gives the rest to the others.
        """
        if not weights:
            return {}
        near = self.near(self.region)
        home = min(
            weights,
            key=lambda region: (
                region != self.region,
                near.get(region, len(near)),
                region,
            ),
        )
        keep = weights[home] / max(weights.values())
        others = _splits.normal(
            {
                region: weight
                for region, weight in weights.items()
                if region != home
            }
        )
        split = {
            region: share * (1 - keep) for region, share in others.items()
        }
        return _splits.normal({**split, home: keep})

    def row(self, service: config.Service, now: float) -> _splits.ShiftRow:
        """Return a service's row at the present interval."""
        row = self.rows.get(service.name)
        if row is None:
            reference = self.offered.pop(service.name, None)
            row = _splits.ShiftRow(
                reference or self.home_split(positive(service.regions)), now
            )
            self.rows[service.name] = row
        cap = self.views.shift_cap(service.name, now)
        row.set_interval(
            _splits.UNCAPPED_INTERVAL_S if cap is None else cap.interval_s, now
        )
        row.roll(now)
        return row

    def place(
        self,
        service: config.Service,
        point: float,
        room: Room,
        now: float,
    ) -> result.Result[_splits.Placement, errors.Failure]:
        """Place a request, given the room (above 0: some) by region.

        The errors are ``no_room`` when no region that may get the request has
        room and ``shift_cap`` when one has but the cap forbids to move there.
        """
        row = self.row(service, now)
        target = self.target(service, now)
        if not row.reference:
            row.reference = target
        if not row.reference:
            return no_room(service)
        reference, _ = _splits.locate(row.reference, point)
        choices = self.choices(
            row.reference,
            target,
            self.open_now(service, now),
            reference,
            point,
        )
        open_choices = [
            region for region in choices if room.get(region, 0.0) > 0
        ]
        if not open_choices:
            return no_room(service)
        free = self.may_move(row, service, now)
        for region in open_choices:
            if region == reference or free:
                return result.Ok(
                    self.count(row, service, region, reference, now)
                )
        return shift_cap(row, service, now)

    def preferred(
        self, service: config.Service, point: float, now: float
    ) -> tuple[str, str]:
        """Return the regions that target and reference split give a point.

        Empty names when the service has no region.
        """
        row = self.row(service, now)
        target = self.target(service, now)
        if not row.reference:
            return '', ''
        reference, _ = _splits.locate(row.reference, point)
        if not target:
            return reference, reference
        wanted = _splits.target_region(row.reference, target, point)
        return wanted, reference

    def choices(
        self,
        split: _splits.Split,
        target: _splits.Split,
        candidates: collections.abc.Iterable[str],
        reference: str,
        point: float,
    ) -> list[str]:
        """Return regions for a point in order of preference."""
        if not target:
            return [reference]
        wanted = _splits.target_region(split, target, point)
        near = self.near(wanted)
        others = sorted(
            (region for region in candidates if region != wanted),
            key=lambda region: (near.get(region, len(near)), region),
        )
        # The reference region is last unless the target split has it: it may
        # be draining, and the cap may leave no other.
        return list(dict.fromkeys([wanted, *others, reference]))

    def near(self, region: str) -> dict[str, int]:
        """Return the rank of the other regions as seen from one."""
        view = self.views.newest
        row = None if view is None else view.config.regions.get(region)
        names = () if row is None else row.near
        return {name: rank for rank, name in enumerate(names)}

    def may_move(
        self, row: _splits.ShiftRow, service: config.Service, now: float
    ) -> bool:
        """Tell whether the cap permits one more moved request now."""
        cap = self.views.shift_cap(service.name, now)
        if cap is None:
            return True
        placed, moved = row.window(row.bucket_at(now))
        allowed = math.floor(cap.max_share * (placed + 1))
        return moved + 1 <= allowed and row.may_spend(
            cap.max_share * CAP_MARGIN
        )

    def count(
        self,
        row: _splits.ShiftRow,
        service: config.Service,
        region: str,
        reference: str,
        now: float,
    ) -> _splits.Placement:
        """Count a placement and return it."""
        row.sequence += 1
        row.untouched = False
        bucket = row.bucket_at(now)
        placement = _splits.Placement(
            region=region,
            reference_region=reference,
            moved=region != reference,
            service=service.name,
            bucket=bucket,
            sequence=row.sequence,
        )
        row.count(placement, 1)
        cap = self.views.shift_cap(service.name, now)
        share = 1.0 if cap is None else cap.max_share * CAP_MARGIN
        row.earn(share, placement.moved)
        row.prune(bucket)
        return placement

    def cancel(self, placement: _splits.Placement) -> None:
        """Take a placement out of the counts; its request is not sent.

        This must follow ``place`` before the service's next placement.  A
        later one may rest on this one's count, so that a late call leaves the
        counts as they are.
        """
        row = self.rows.get(placement.service)
        if row is not None and row.sequence == placement.sequence:
            row.sequence += 1
            row.count(placement, -1)
            row.credit = row.credit_before


def positive(weights: dict[str, float]) -> dict[str, float]:
    """Return the weights above 0."""
    return {region: weight for region, weight in weights.items() if weight > 0}


def no_room(
    service: config.Service,
) -> result.Err[errors.Failure]:
    """Return the failure of a service without room anywhere."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.NO_ROOM,
            f'no region has room for {service.name}',
            1.0,
        )
    )


def shift_cap(
    row: _splits.ShiftRow, service: config.Service, now: float
) -> result.Err[errors.Failure]:
    """Return the failure of a request that the cap holds back."""
    rest = max(0.05, row.started + row.interval_s - now)
    return result.Err(
        errors.Failure(
            errors.ErrorKind.SHIFT_CAP,
            f'the shift cap of {service.name} leaves no region with room',
            rest,
        )
    )
