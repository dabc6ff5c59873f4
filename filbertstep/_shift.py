"""Chooses the region of each request and enforces the shift caps.

A request is shifted, or moved, if it is placed in a region other than the one
given by the reference split, which is the split served in the interval
before.  The target split follows from the configured weights, drains and
usable servers.  Both splits map a point in [0, 1) to a region, and the target
split keeps as many points as possible where the reference split has them.  A
shift cap limits the share of moved requests within an interval.
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

# Share of a cap that a VM uses up.  Each VM may have credit for one move left
# when a window begins; the unused share covers these moves of all VMs.
CAP_UTILIZATION: typing.Final = 0.95

RoomByRegion = collections.abc.Mapping[str, float]


class ServiceSplits(typing.TypedDict):
    """Heartbeat payload: the VM's region and its reference splits."""

    region: str
    splits: dict[str, dict[str, float]]


class ShiftSystem(systems.System, systems.HeartbeatPart):
    """Places requests in regions within the limits of the shift caps."""

    part_name = 'shift'

    def __init__(
        self,
        views: config.ViewTable,
        directory: _fleet.ServerDirectory,
        region: str,
    ) -> None:
        self.views = views
        self.directory = directory
        self.region = region
        self.states: dict[str, _splits.ServiceShiftState] = {}
        # Reference splits of peers, for services of which this VM has not yet
        # placed a request.
        self.peer_splits: dict[str, _splits.Split] = {}
        self.target_splits: dict[str, _splits.Split] = {}
        self.open_regions_by_service: dict[str, frozenset[str]] = {}
        self.targets_computed_at = -math.inf

    def tick(self, now: float) -> None:
        """Start due intervals and drop services that were removed."""
        view = self.views.newest
        services = {} if view is None else view.config.services
        for name in [name for name in self.states if name not in services]:
            del self.states[name]
        for state in self.states.values():
            state.advance_interval(now)

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return this VM's reference splits, rounded to 6 digits."""
        return {
            'region': self.region,
            'splits': {
                name: {
                    region: round(share, 6)
                    for region, share in state.reference_split.items()
                }
                for name, state in self.states.items()
                if not state.never_placed
            },
        }

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Adopt a peer's splits for services not yet placed by this VM.

        Only splits of VMs in the same region are used, so that a VM that
        joins continues a shift in progress instead of repeating it.
        """
        decoded = codec.convert(payload, ServiceSplits)
        if not isinstance(decoded, result.Ok):
            return
        heartbeat = decoded.ok_value
        view = self.views.newest
        if heartbeat['region'] != self.region or view is None:
            return
        for name, shares in heartbeat['splits'].items():
            state = self.states.get(name)
            split = _splits.normalize(shares)
            known = split.keys() <= view.config.regions.keys()
            if name not in view.config.services or not split or not known:
                continue
            if state is None or state.never_placed:
                self.peer_splits[name] = split
                self.states.pop(name, None)

    def target_split(
        self, service: config.Service, now: float
    ) -> _splits.Split:
        """Return the target split for requests that arrive in this region."""
        # Cached for one tick, because each placement of a request needs it.
        if not 0 <= now - self.targets_computed_at < systems.TICK_INTERVAL_S:
            self.target_splits = {}
            self.open_regions_by_service = {}
            self.targets_computed_at = now
        split = self.target_splits.get(service.name)
        if split is None:
            weights = self.open_region_weights(service, now)
            self.open_regions_by_service[service.name] = frozenset(weights)
            split = self.target_splits[service.name] = self.home_region_split(
                weights
            )
        return split

    def open_regions(
        self, service: config.Service, now: float
    ) -> frozenset[str]:
        """Return the regions that may currently get requests."""
        self.target_split(service, now)
        return self.open_regions_by_service[service.name]

    def open_region_weights(
        self, service: config.Service, now: float
    ) -> dict[str, float]:
        """Return the weights of the regions that may currently get requests.

        These have a positive weight and a usable server and are not drained.
        """
        usable = self.directory.usable_servers(service.name, now)
        drained = self.directory.drained_names(config.DrainTarget.REGION, now)
        return {
            region: weight
            for region, weight in positive_weights(service.regions).items()
            if region not in drained
            and region in usable
            and usable[region].servers
        }

    def home_region_split(self, weights: dict[str, float]) -> _splits.Split:
        """Return the split for requests that arrive in this VM's region.

        Requests stay in the region if possible, because links between regions
        have high latency and little bandwidth.  A region whose weight is
        below the largest one keeps only the fraction weight / largest weight
        of its requests and gives the rest to the other regions.
        """
        if not weights:
            return {}
        ranks = self.distance_ranks(self.region)
        home = min(
            weights,
            key=lambda region: (
                region != self.region,
                ranks.get(region, len(ranks)),
                region,
            ),
        )
        home_share = weights[home] / max(weights.values())
        others = _splits.normalize(
            {
                region: weight
                for region, weight in weights.items()
                if region != home
            }
        )
        split = {
            region: share * (1 - home_share)
            for region, share in others.items()
        }
        return _splits.normalize({**split, home: home_share})

    def state_of(
        self, service: config.Service, now: float
    ) -> _splits.ServiceShiftState:
        """Return the state of a service after starting a due interval."""
        state = self.states.get(service.name)
        if state is None:
            reference = self.peer_splits.pop(service.name, None)
            state = _splits.ServiceShiftState(
                reference
                or self.home_region_split(positive_weights(service.regions)),
                now,
            )
            self.states[service.name] = state
        cap = self.views.shift_cap(service.name, now)
        state.set_interval(
            _splits.UNCAPPED_INTERVAL_S if cap is None else cap.interval_s, now
        )
        state.advance_interval(now)
        return state

    def place(
        self,
        service: config.Service,
        point: float,
        room: RoomByRegion,
        now: float,
    ) -> result.Result[_splits.Placement, errors.Failure]:
        """Choose the region of a request and count the placement.

        ``room`` is the free capacity by region; a region has room if the
        value is above 0.  The failure is of kind ``no_room`` if no eligible
        region has room, and ``shift_cap`` if one has but the cap does not
        allow the move.
        """
        state = self.state_of(service, now)
        target = self.target_split(service, now)
        if not state.reference_split:
            state.reference_split = target
        if not state.reference_split:
            return no_room_error(service)
        reference_region, _ = _splits.locate(state.reference_split, point)
        ranked = self.ranked_regions(
            state.reference_split,
            target,
            self.open_regions(service, now),
            reference_region,
            point,
        )
        regions_with_room = [
            region for region in ranked if room.get(region, 0.0) > 0
        ]
        if not regions_with_room:
            return no_room_error(service)
        move_allowed = self.cap_allows_move(state, service, now)
        for region in regions_with_room:
            if region == reference_region or move_allowed:
                return result.Ok(
                    self.record_placement(
                        state, service, region, reference_region, now
                    )
                )
        return shift_cap_error(state, service, now)

    def preferred_regions(
        self, service: config.Service, point: float, now: float
    ) -> tuple[str, str]:
        """Return the regions that target and reference split give a point.

        The names are empty if the service has no region.
        """
        state = self.state_of(service, now)
        target = self.target_split(service, now)
        if not state.reference_split:
            return '', ''
        reference_region, _ = _splits.locate(state.reference_split, point)
        if not target:
            return reference_region, reference_region
        target_region = _splits.target_region(
            state.reference_split, target, point
        )
        return target_region, reference_region

    def ranked_regions(
        self,
        reference: _splits.Split,
        target: _splits.Split,
        open_regions: collections.abc.Iterable[str],
        reference_region: str,
        point: float,
    ) -> list[str]:
        """Return the regions for a point in order of preference."""
        if not target:
            return [reference_region]
        target_region = _splits.target_region(reference, target, point)
        ranks = self.distance_ranks(target_region)
        others = sorted(
            (region for region in open_regions if region != target_region),
            key=lambda region: (ranks.get(region, len(ranks)), region),
        )
        # The reference region is the last resort unless the target split
        # includes it: it may be draining, but the cap may allow no other.
        return list(dict.fromkeys([target_region, *others, reference_region]))

    def distance_ranks(self, region: str) -> dict[str, int]:
        """Return the ranks of the other regions by distance, nearest first."""
        view = self.views.newest
        region_config = (
            None if view is None else view.config.regions.get(region)
        )
        names = () if region_config is None else region_config.near
        return {name: rank for rank, name in enumerate(names)}

    def cap_allows_move(
        self,
        state: _splits.ServiceShiftState,
        service: config.Service,
        now: float,
    ) -> bool:
        """Return whether the cap allows one more moved request now."""
        cap = self.views.shift_cap(service.name, now)
        if cap is None:
            return True
        placed, moved = state.window_counts(state.bucket_at(now))
        allowed = math.floor(cap.max_share * (placed + 1))
        return moved + 1 <= allowed and state.has_move_credit(
            cap.max_share * CAP_UTILIZATION
        )

    def record_placement(
        self,
        state: _splits.ServiceShiftState,
        service: config.Service,
        region: str,
        reference_region: str,
        now: float,
    ) -> _splits.Placement:
        """Count a placement in the given region and return it."""
        state.sequence += 1
        state.never_placed = False
        bucket = state.bucket_at(now)
        placement = _splits.Placement(
            region=region,
            reference_region=reference_region,
            moved=region != reference_region,
            service=service.name,
            bucket=bucket,
            sequence=state.sequence,
        )
        state.adjust_counts(placement, 1)
        cap = self.views.shift_cap(service.name, now)
        share = 1.0 if cap is None else cap.max_share * CAP_UTILIZATION
        state.update_move_credit(share, placement.moved)
        state.prune_buckets(bucket)
        return placement

    def cancel_placement(self, placement: _splits.Placement) -> None:
        """Remove a placement whose request is not sent from the counters.

        This has no effect after a later placement of the same service,
        because that one may have been allowed on the basis of this count.
        """
        state = self.states.get(placement.service)
        if state is not None and state.sequence == placement.sequence:
            state.sequence += 1
            state.adjust_counts(placement, -1)
            state.move_credit = state.move_credit_before


def positive_weights(weights: dict[str, float]) -> dict[str, float]:
    """Return the weights above 0."""
    return {region: weight for region, weight in weights.items() if weight > 0}


def no_room_error(
    service: config.Service,
) -> result.Err[errors.Failure]:
    """Return the failure of a request for which no region has room."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.NO_ROOM,
            f'no region has room for {service.name}',
            1.0,
        )
    )


def shift_cap_error(
    state: _splits.ServiceShiftState, service: config.Service, now: float
) -> result.Err[errors.Failure]:
    """Return the failure of a request refused because of the shift cap.

    Retry-After is the rest of the interval, at least 0.05 s.
    """
    interval_left_s = max(
        0.05, state.interval_started_at + state.interval_s - now
    )
    return result.Err(
        errors.Failure(
            errors.ErrorKind.SHIFT_CAP,
            f'the shift cap of {service.name} leaves no region with room',
            interval_left_s,
        )
    )
