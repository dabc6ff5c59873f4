"""Tests of traffic splits and of the shift caps."""

import math
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import _splits
from filbertstep import config
from filbertstep import errors
from filbertstep import routing
from tests import routing_fakes

ALL_ROOM = dict.fromkeys(routing_fakes.REGIONS, 1.0)
INTERVAL_S = 10.0

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)


def cap_doc(max_share: float, interval_s: float = INTERVAL_S) -> typing.Any:
    """Return a shift cap."""
    return {'max_share': max_share, 'interval_s': interval_s}


def drain_doc(region: str) -> typing.Any:
    """Return the drain of a region."""
    return {'target_kind': 'region', 'target': region}


class Vm:
    """The shift system of one VM in hobart, with its own view table."""

    def __init__(self, docs: config.Documents, now: float = 0.0) -> None:
        self.views = config.ViewTable()
        self.health = routing.HealthTable()
        self.index = 0
        self.change(docs, now)
        self.directory = routing.ServerDirectory(self.views, self.health)
        self.shift = routing.ShiftSystem(self.views, self.directory, 'hobart')

    def change(self, docs: config.Documents, now: float) -> None:
        """Apply a new configuration."""
        self.index += 1
        routing_fakes.learn(self.views, docs, self.index, now)
        servers = self.newest().backend_servers
        self.health.sync(servers, now)

    def newest(self) -> config.Config:
        """Return the newest configuration."""
        assert self.views.newest is not None
        return self.views.newest.config

    def place(
        self,
        point: float,
        now: float,
        room: dict[str, float] | None = None,
    ) -> result.Result[routing.Placement, errors.Failure]:
        """Place a request; without ``room``, every region has room."""
        service = self.newest().services['bookings']
        return self.shift.place(
            service, point, ALL_ROOM if room is None else room, now
        )


def spread(number: int) -> float:
    """Return a point of the golden-ratio sequence, which is even in [0, 1)."""
    return number * 0.6180339887498949 % 1.0


def served(vm: Vm, count: int, start: float, step: float) -> dict[str, int]:
    """Place requests with room everywhere; return their number by region.

    Refused requests are counted under the kind of the failure.
    """
    found: dict[str, int] = {}
    for number in range(count):
        placed = vm.place(spread(number), start + number * step)
        name = (
            placed.ok_value.region
            if isinstance(placed, result.Ok)
            else placed.err_value.kind.value
        )
        found[name] = found.get(name, 0) + 1
    return found


def weights() -> strategies.SearchStrategy[dict[str, float]]:
    """Return a strategy for weights with a sum above 0."""
    return strategies.dictionaries(
        strategies.sampled_from(routing_fakes.REGIONS),
        strategies.sampled_from([0.0, 0.05, 0.2, 1.0, 3.0]),
        min_size=1,
    ).filter(lambda split: sum(split.values()) > 0)


class TestSplits(unittest.TestCase):
    """Points map to regions in the right shares, with the fewest moves."""

    @SETTINGS
    @hypothesis.given(weights(), weights())
    def test_target_shares_and_fewest_moves(
        self, first: dict[str, float], second: dict[str, float]
    ) -> None:
        """Guards against a change of weights that moves what could stay."""
        reference = _splits.normalize(first)
        target = _splits.normalize(second)
        found = dict.fromkeys(routing_fakes.REGIONS, 0)
        moved = 0
        for number in range(2000):
            point = (number + 0.5) / 2000
            region = _splits.target_region(reference, target, point)
            found[region] += 1
            moved += region != _splits.locate(reference, point)[0]
        least = 0.0
        for name in routing_fakes.REGIONS:
            share = target.get(name, 0.0)
            self.assertAlmostEqual(share, found[name] / 2000, delta=0.005)
            least += max(0.0, share - reference.get(name, 0.0))
        self.assertAlmostEqual(least, moved / 2000, delta=0.005)


class TestPlacement(unittest.TestCase):
    """The region that a request is placed in, and the failures."""

    def docs(self, **parts: typing.Any) -> config.Documents:
        """Return a service of which hobart keeps three quarters."""
        service = routing_fakes.service_doc(
            regions={'hobart': 3.0, 'launceston': 4.0, 'burnie': 0.0}
        )
        return routing_fakes.documents(services={'bookings': service}, **parts)

    def test_first_split_follows_the_weights(self) -> None:
        """Guards against a first split that differs from the weights."""
        found = served(Vm(self.docs()), 1000, 0.0, 0.01)
        self.assertAlmostEqual(750, found['hobart'], delta=10)
        self.assertEqual({'hobart', 'launceston'}, set(found))

    def test_equal_weights_keep_requests_in_their_region(self) -> None:
        """Guards against needless traffic on the links between regions."""
        service = routing_fakes.service_doc(
            regions=dict.fromkeys(routing_fakes.REGIONS, 1.0)
        )
        vm = Vm(routing_fakes.documents(services={'bookings': service}))
        self.assertEqual({'hobart': 100}, served(vm, 100, 0.0, 0.01))

    def test_drain_without_a_cap_moves_everything(self) -> None:
        """Guards against delaying a shift although no cap is set."""
        vm = Vm(self.docs())
        served(vm, 100, 0.0, 0.01)
        vm.change(self.docs(drains={'d': drain_doc('hobart')}), 2.0)
        self.assertEqual({'launceston': 500}, served(vm, 500, 2.0, 0.01))

    def test_drain_under_a_cap_is_gradual(self) -> None:
        """Guards against a drain that exceeds its cap or stalls."""
        caps = {'bookings': cap_doc(0.25)}
        vm = Vm(self.docs(caps=caps))
        served(vm, 2000, 0.0, 0.01)
        drains = {'d': drain_doc('hobart')}
        vm.change(self.docs(caps=caps, drains=drains), 20.0)
        shares = [
            served(vm, 1000, 20.0 + 10 * part, 0.01).get('hobart', 0)
            for part in range(5)
        ]
        for part, share in enumerate(shares):
            # Of the three quarters, at most a quarter moves in each interval.
            self.assertGreaterEqual(share, 740 - 250 * (part + 1))
        self.assertEqual(0, shares[-1])

    def test_region_without_usable_servers_gets_nothing(self) -> None:
        """Guards against requests for a region whose servers are all down."""
        vm = Vm(self.docs())
        for name in ('hobart-1', 'hobart-2'):
            for _ in range(2):
                vm.health.observe(name, routing.HealthEvent.PROBE_FAILED, 1.0)
        self.assertEqual({'launceston': 100}, served(vm, 100, 1.0, 0.01))

    def test_move_goes_to_the_nearest_region_with_room(self) -> None:
        """Guards against moving a request to a region without weight."""
        vm = Vm(self.docs())
        placed = vm.place(0.1, 0.0, {'hobart': 1.0, 'burnie': 1.0})
        # 0.1 is in hobart's share, since burnie has no weight.
        self.assertEqual('hobart', placed.unwrap().region)
        room = {'hobart': 0.0, 'launceston': 0.5, 'burnie': 1.0}
        moved = vm.place(0.1, 0.0, room).unwrap()
        self.assertEqual(('launceston', 'hobart', True), moved[:3])

    def test_order_of_near_regions(self) -> None:
        """Guards against moving a request to the farther of two regions."""
        service = routing_fakes.service_doc(
            regions={'hobart': 1.0, 'launceston': 1.0, 'burnie': 1.0}
        )
        vm = Vm(routing_fakes.documents(services={'bookings': service}))
        # With equal weights, all points belong to hobart, the VM's own region,
        # so neither request is moved.
        placed = vm.place(0.1, 0.0, {'hobart': 1.0, 'launceston': 1.0})
        self.assertEqual('hobart', placed.unwrap().region)
        placed = vm.place(0.9, 0.0, {'hobart': 1.0, 'burnie': 1.0})
        self.assertEqual('hobart', placed.unwrap().region)

    def test_failures(self) -> None:
        """Guards against a refusal with the wrong kind of failure."""
        vm = Vm(self.docs(caps={'bookings': cap_doc(0.0)}))
        cases: tuple[tuple[dict[str, float], errors.ErrorKind], ...] = (
            ({}, errors.ErrorKind.NO_ROOM),
            ({'launceston': 1.0}, errors.ErrorKind.SHIFT_CAP),
            ({'burnie': 1.0}, errors.ErrorKind.NO_ROOM),
        )
        for room, kind in cases:
            with self.subTest(room=room):
                failure = vm.place(0.1, 4.0, room).unwrap_err()
                self.assertEqual(kind, failure.kind)
        # The interval began with the first request, at 4 s.
        failure = vm.place(0.1, 7.0, {'launceston': 1.0}).unwrap_err()
        self.assertEqual(7.0, failure.retry_after_s)

    def test_new_vm_adopts_the_split_of_its_region(self) -> None:
        """Guards against a new VM that starts a shift in progress again."""
        caps = {'bookings': cap_doc(0.25)}
        old = Vm(self.docs(caps=caps))
        served(old, 2000, 0.0, 0.01)
        drains = {'d': drain_doc('hobart')}
        old.change(self.docs(caps=caps, drains=drains), 20.0)
        served(old, 6000, 20.0, 0.01)
        new = Vm(self.docs(caps=caps, drains=drains), 80.0)
        heartbeat = old.shift.payload(80.0)
        new.shift.receive('vm-2', 'b', {**heartbeat, 'region': 'burnie'}, 80.0)
        new.shift.receive('vm-2', 'b', {'splits': 3}, 80.0)
        new.shift.receive('vm-1', 'a', heartbeat, 80.0)
        self.assertEqual({'launceston': 100}, served(new, 100, 80.0, 0.01))

    def test_vm_with_placements_keeps_its_own_split(self) -> None:
        """Guards against a peer that overwrites a VM's reference split."""
        vm = Vm(self.docs(caps={'bookings': cap_doc(0.0)}))
        served(vm, 10, 0.0, 0.01)
        vm.shift.receive(
            'vm-2',
            'b',
            {'region': 'hobart', 'splits': {'bookings': {'burnie': 1.0}}},
            1.0,
        )
        self.assertNotIn('burnie', served(vm, 100, 1.0, 0.01))

    def test_cancelled_placements_do_not_count(self) -> None:
        """Guards against moves that are justified by requests never sent."""
        vm = Vm(self.docs(caps={'bookings': cap_doc(0.5)}))
        for _ in range(20):
            vm.shift.cancel_placement(vm.place(0.1, 0.0).unwrap())
        refused = vm.place(0.1, 0.0, {'launceston': 1.0})
        self.assertEqual(errors.ErrorKind.SHIFT_CAP, refused.unwrap_err().kind)
        # A move needs the credit of three requests, including its own, because
        # a VM uses a little less than the cap.
        for _ in range(2):
            vm.place(0.1, 0.0).unwrap()
        moved = vm.place(0.1, 0.0, {'launceston': 1.0}).unwrap()
        vm.shift.cancel_placement(moved)
        vm.place(0.1, 0.0, {'launceston': 1.0}).unwrap()

    def test_shorter_interval_permits_no_moves_at_once(self) -> None:
        """Guards against resetting the counters when the interval changes."""
        vm = Vm(self.docs(caps={'bookings': cap_doc(0.1, 60.0)}))
        served(vm, 100, 0.0, 0.01)
        room = {'launceston': 1.0}
        moved = sum(
            isinstance(vm.place(0.1, 1.0, room), result.Ok) for _ in range(50)
        )
        # Credit is limited to one move, however many requests were not moved.
        self.assertEqual(1, moved)
        vm.change(self.docs(caps={'bookings': cap_doc(0.1, 10.0)}), 1.0)
        # The previous view stays in force for 4 s; both have the same share.
        for now in (1.1, 5.2):
            refused = vm.place(0.1, now, room)
            self.assertIsInstance(refused, result.Err)
        # At 10.5 s, the window of the new interval still has the earlier move.
        for _ in range(9):
            vm.place(0.1, 10.5).unwrap()
        self.assertIsInstance(vm.place(0.1, 10.5, room), result.Err)


class Step(typing.NamedTuple):
    """Requests at one VM after a pause, with room in some regions."""

    vm: int
    pause_s: float
    requests: int
    room: frozenset[str]
    cancel: bool


STEPS = strategies.lists(
    strategies.builds(
        Step,
        vm=strategies.integers(0, 2),
        pause_s=strategies.sampled_from(
            [0.0, 0.05, 0.15, 0.5, 0.7, 2.4, 5.0, 9.9, 10.0]
        ),
        requests=strategies.integers(1, 30),
        room=strategies.frozensets(
            strategies.sampled_from(routing_fakes.REGIONS), min_size=1
        ),
        cancel=strategies.booleans(),
    ),
    min_size=5,
    max_size=40,
)


class Placed(typing.NamedTuple):
    """A placement that was not cancelled."""

    time: float
    vm: int
    moved: bool


def within(history: list[Placed], now: float, span: float) -> tuple[int, int]:
    """Return the placed and the moved requests of the trailing window."""
    window = [item for item in history if item.time > now - span]
    return len(window), sum(item.moved for item in window)


class TestCap(unittest.TestCase):
    """Property P1: a traffic shift never exceeds its cap."""

    def run_steps(
        self, steps: list[Step], max_share: float, drained: str | None
    ) -> list[Placed]:
        """Run the steps on three VMs and check each moved placement."""
        service = routing_fakes.service_doc(
            regions={'hobart': 5.0, 'launceston': 3.0, 'burnie': 2.0}
        )
        caps = {'bookings': cap_doc(max_share)}
        vms = [
            Vm(
                routing_fakes.documents(
                    services={'bookings': service}, caps=caps
                )
            )
            for _ in range(3)
        ]
        for vm in vms:
            vm.place(0.5, 0.0, {})
            if drained is not None:
                drains = {'d': drain_doc(drained)}
                docs = routing_fakes.documents(
                    services={'bookings': service}, caps=caps, drains=drains
                )
                vm.change(docs, 0.0)
        history: list[Placed] = []
        now = 0.0
        for number, step in enumerate(steps):
            now += step.pause_s
            room = dict.fromkeys(step.room, 1.0)
            for repeat in range(step.requests):
                vm = vms[step.vm]
                placed = vm.place(spread(number * 31 + repeat), now, room)
                if isinstance(placed, result.Err):
                    continue
                if step.cancel and repeat % 3 == 0:
                    vm.shift.cancel_placement(placed.ok_value)
                    continue
                moved = placed.ok_value.moved
                history.append(Placed(now, step.vm, moved))
                if moved:
                    self.check(history, history[-1], max_share)
        return history

    def check(
        self, history: list[Placed], last: Placed, max_share: float
    ) -> None:
        """Check the cap at the last placement, which was moved."""
        own = [item for item in history if item.vm == last.vm]
        placed, moved = within(own, last.time, INTERVAL_S)
        self.assertLessEqual(moved, math.floor(max_share * placed))
        # Moves of a VM may remain in the window after the requests that
        # justified them have left it, which other VMs cannot know.  For all
        # VMs together, the bound therefore counts the placed requests of two
        # intervals.
        _, moved = within(history, last.time, INTERVAL_S)
        placed, _ = within(history, last.time, 2 * INTERVAL_S)
        self.assertLessEqual(moved, math.floor(max_share * placed))

    @SETTINGS
    @hypothesis.given(
        STEPS,
        strategies.sampled_from([0.0, 0.05, 0.1, 0.29, 0.34, 0.5, 1.0]),
        strategies.sampled_from([None, 'hobart', 'burnie']),
    )
    def test_cap_holds_at_each_moved_placement(
        self, steps: list[Step], max_share: float, drained: str | None
    ) -> None:
        """Guards against an interleaving that exceeds the cap."""
        self.run_steps(steps, max_share, drained)

    def test_steady_traffic_uses_up_the_cap(self) -> None:
        """Guards against a cap that is kept only because nothing moves."""
        everywhere = frozenset(routing_fakes.REGIONS)
        steps = [
            Step(number % 3, 0.05, 5, everywhere, False)
            for number in range(600)
        ]
        history = self.run_steps(steps, 0.1, 'hobart')
        moved = sum(item.moved for item in history)
        self.assertGreater(moved, 0.09 * len(history))
        for item in history:
            if item.moved:
                # Under steady traffic, the bound also holds for one interval.
                placed, moved = within(
                    [past for past in history if past.time <= item.time],
                    item.time,
                    INTERVAL_S,
                )
                self.assertLessEqual(moved, math.floor(0.1 * placed))
