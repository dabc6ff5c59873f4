"""Splits of requests over regions, by traffic pattern."""

import collections
import random
import unittest

from filbertstep import steering
from tests import steering_samples as samples


class TestRegionSplitter(unittest.TestCase):
    """Region a, with 2 of 20 servers and a third of the callers."""

    def setUp(self) -> None:
        """Build the splitter of a VM in region a."""
        entries = [samples.server('a0'), samples.server('a1', 'a-2')]
        entries += [samples.server(f'b{n}', 'b-1') for n in range(8)]
        entries += [samples.server(f'c{n}', 'c-1') for n in range(10)]
        self.table = samples.server_table(*entries)
        self.splitter = steering.RegionSplitter(
            self.table, 'a', samples.BOUNDS
        )

    def region_shares(self, now: float, count: int = 60) -> dict[str, float]:
        """Send requests at one time and return their shares by region."""
        counts = collections.Counter(
            self.splitter.choose_region('orders', str(number % 24), now)
            for number in range(count)
        )
        return {region: counts[region] / count for region in 'abc'}

    def run_step(self, now: float) -> None:
        """Send one request and run the periodic adjustment."""
        self.splitter.choose_region('orders', 'x', now)
        self.splitter.tick(now)

    def test_a_small_region_starts_with_a_split(self) -> None:
        """Guards against filling few servers first and shifting later.

        That shifted half of a region's requests within 2 s (SHIFT, quiet-1).
        """
        shares = self.region_shares(0.0)
        self.assertGreater(shares['b'] + shares['c'], 0.3)
        self.assertGreater(shares['a'], 0.2)

    def test_a_large_region_keeps_its_requests(self) -> None:
        """Guards against needless shifts."""
        splitter = steering.RegionSplitter(self.table, 'c', samples.BOUNDS)
        for number in range(50):
            self.assertEqual(
                splitter.choose_region('orders', str(number), 0.0), 'c'
            )

    def test_the_split_holds_in_each_window(self) -> None:
        """Guards against random variation: a window has some 60 requests."""
        self.splitter.service_split('orders', 0.0)
        before = self.region_shares(0.0)
        for window in range(1, 20):
            after = self.region_shares(2.0 * window)
            shifted = (
                sum(abs(after[region] - before[region]) for region in 'abc')
                / 2
            )
            self.assertLessEqual(shifted, samples.BOUNDS.max_shift_share)
            before = after

    def test_load_shifts_requests_gradually(self) -> None:
        """Guards against shifts beyond the maximum of a window."""
        for server in self.table.by_id.values():
            # All slots are in use and a request waits for each server.
            server.in_progress = 4 if server.region == 'a' else 0
        before = self.splitter.service_split('orders', 0.0).remote_share
        for step in range(1, 21):
            self.run_step(step * 0.1)
        after = self.splitter.service_split('orders', 2.0).remote_share
        self.assertGreater(after, before)
        self.assertLess(after - before, samples.BOUNDS.max_shift_share)

    def test_free_slots_prevent_shifts(self) -> None:
        """Guards against uncached runs elsewhere while no request waits."""
        for server in self.table.by_id.values():
            server.in_progress = 2 if server.region == 'a' else 0
        before = self.splitter.service_split('orders', 0.0).remote_share
        for step in range(1, 21):
            self.run_step(step * 0.1)
        self.assertEqual(
            self.splitter.service_split('orders', 2.0).remote_share, before
        )

    def test_equal_loads_prevent_shifts(self) -> None:
        """Guards against regions that exchange their requests."""
        split = self.splitter.service_split('orders', 0.0)
        before = split.remote_share
        for step in range(1, 41):
            for server in self.table.by_id.values():
                self.splitter.record_load(server, 3, 0)
            self.run_step(step * 0.1)
        self.assertEqual(split.remote_share, before)

    def test_a_region_without_load_reports_is_not_taken_for_idle(self) -> None:
        """Guards against full regions that exchange their requests."""
        split = self.splitter.service_split('orders', 0.0)
        for step in range(1, 201):
            for server in self.table.by_id.values():
                if server.region == 'a':
                    self.splitter.record_load(server, 3, 1)
                elif step < 20:
                    self.splitter.record_load(server, 3, 1)
            self.run_step(step * 0.1)
        self.assertGreater(split.loads['a'], 0.7)
        self.assertGreater(split.loads['b'], 0.5)
        self.assertGreater(split.loads['c'], 0.5)

    def test_requests_return_from_regions_that_are_more_loaded(self) -> None:
        """Guards against an exchange of requests that keeps all regions busy.

        Each region runs the other's objects without having them cached, so
        that the load stays above the mark at which requests return
        (calibration-short).
        """
        split = self.splitter.service_split('orders', 0.0)
        before = split.remote_share
        for step in range(1, 41):
            for server in self.table.by_id.values():
                self.splitter.record_load(
                    server, 3, 0 if server.region == 'a' else 1
                )
            self.run_step(step * 0.1)
        self.assertGreater(split.loads['a'], 0.6)
        self.assertLess(split.remote_share, before)

    def test_slow_answers_shift_requests(self) -> None:
        """Guards against keeping more objects in a region than it can cache.

        Its servers run most requests without the object cached, and are slow
        without being full: the load was 0.4, and answers took twice as long
        as elsewhere (quiet-1 of vleiland-mail-grown).
        """
        split = self.splitter.service_split('orders', 0.0)
        before = split.remote_share
        for step in range(1, 41):
            for server in self.table.by_id.values():
                slow = server.region == 'a'
                self.splitter.record_load(server, 2, 0)
                self.splitter.record_latency(server, 0.5 if slow else 0.2, 0.4)
            self.run_step(step * 0.1)
        self.assertGreater(split.remote_share, before)

    def test_a_replaced_server_causes_no_shift(self) -> None:
        """Guards against treating a rolling release as a loss of servers.

        The new server starts first, so that a region of two servers has three
        for a moment.
        """
        split = self.splitter.service_split('orders', 0.0)
        self.run_step(0.6)
        before = split.remote_share
        self.table.put(samples.server('a2', 'a-2'), 1.0)
        self.run_step(1.2)
        self.run_step(1.8)
        self.table.remove('a1')
        self.run_step(2.4)
        self.assertLessEqual(split.remote_share, before)

    def test_a_formerly_slow_region_gets_requests_again(self) -> None:
        """Guards against avoiding a region forever after it was slow once.

        Without requests, no answer shows that it has become fast.
        """
        split = self.splitter.service_split('orders', 0.0)
        split.remote_share = 1.0
        split.latency_ratios = {'a': 3.0, 'b': 0.4, 'c': 0.4}
        for step in range(1, 400):
            for server in self.table.by_id.values():
                if server.region != 'a':
                    self.splitter.record_load(server, 1, 0)
                    self.splitter.record_latency(server, 0.16, 0.4)
            self.run_step(step * 0.1)
        self.assertLess(split.remote_share, 0.5)

    def test_reports_of_other_vms_do_not_keep_a_region_slow(self) -> None:
        """Guards against avoiding a region because other VMs still use it.

        Their load reports tell nothing of its latency.
        """
        split = self.splitter.service_split('orders', 0.0)
        split.remote_share = 1.0
        split.latency_ratios = {'a': 3.0, 'b': 0.4, 'c': 0.4}
        for step in range(1, 400):
            now = step * 0.1
            self.splitter.record_summary(
                'orders', 'a', steering.LoadSummary(0.3, 4), now
            )
            for server in self.table.by_id.values():
                if server.region != 'a':
                    self.splitter.record_load(server, 1, 0)
                    self.splitter.record_latency(server, 0.16, 0.4)
            self.run_step(now)
        self.assertLess(split.remote_share, 0.5)

    def test_requests_shift_at_once_after_a_loss_of_slots(self) -> None:
        """Guards against long queues after half of the servers are gone.

        An evacuation took half of the region's slots.  The remote share grew
        by 0.03 per second while nine requests waited at each server (scale-1
        of huon-burr-grown).
        """
        split = self.splitter.service_split('orders', 0.0)
        split.remote_share = 0.5
        self.run_step(0.6)
        self.table.evacuate('a-2')
        self.run_step(1.2)
        self.assertGreaterEqual(split.remote_share, 0.7)

    def test_paused_servers_count_as_full(self) -> None:
        """Guards against splits that take paused servers for idle.

        They report no load.  Pauses end, so requests shift only gradually.
        """
        split = self.splitter.service_split('orders', 0.0)
        split.remote_share = 0.5
        for step in range(8):
            now = 0.6 * (step + 1)
            for server in self.table.by_id.values():
                if server.region == 'a':
                    server.announcements.request_pause(1.0, now)
                else:
                    self.splitter.record_load(server, 1, 0)
            before = split.remote_share
            self.run_step(now)
            self.assertLessEqual(split.remote_share - before, 0.02)
        self.assertGreater(split.loads['a'], 0.7)
        self.assertGreater(split.remote_share, 0.5)

    def test_slots_of_leaving_servers_are_no_room(self) -> None:
        """Guards against splits that count servers which take nothing."""
        self.table.by_id['b0'].announcements.leaving = True
        slots = self.splitter.slots_by_region('orders')
        self.assertEqual(slots, {'a': 6, 'b': 21, 'c': 30})
        for number in range(10):
            self.table.by_id[f'c{number}'].announcements.leaving = True
        split = self.splitter.service_split('orders', 0.0)
        split.remote_share = 0.5
        self.assertEqual(
            set(self.splitter.region_weights('orders', split)), {'a', 'b'}
        )

    def test_load_of_other_vms_shifts_requests(self) -> None:
        """Guards against a full region that looks idle to each VM.

        A VM has few requests at each server, and its estimate of other VMs'
        requests decays between two reports.  In quiet-1 of huon-burr-grown,
        the estimated load was 0.5 while requests took twice their usual time.
        """
        before = self.splitter.service_split('orders', 0.0).remote_share
        for step in range(1, 21):
            for server in self.table.by_id.values():
                if server.region == 'a':
                    self.splitter.record_load(server, 3, 1)
                else:
                    self.splitter.record_load(server, 1, 0)
            self.run_step(step * 0.1)
        split = self.splitter.service_split('orders', 2.0)
        self.assertGreater(split.remote_share, before)
        self.assertLess(
            split.remote_share - before, samples.BOUNDS.max_shift_share
        )
        self.assertGreater(split.loads['a'], 0.7)
        self.assertLess(split.loads['c'], 0.2)

    def test_requests_return_when_the_region_has_capacity(self) -> None:
        """Guards against needless traffic between regions."""
        self.splitter.service_split('orders', 0.0)
        for step in range(1, 400):
            self.run_step(step * 0.1)
        self.assertEqual(
            self.splitter.service_split('orders', 40.0).remote_share, 0.0
        )

    def test_a_pause_of_traffic_keeps_the_split(self) -> None:
        """Guards against overloading a small region after each pause.

        Free slots during the pause do not predict the load after it.  In
        trouble-3 of vleiland-mail-grown, the region with a tenth of the
        servers was full for 15 s after a pause of 4 s.
        """
        before = self.splitter.service_split('orders', 0.0).remote_share
        for step in range(1, 100):
            self.splitter.tick(step * 0.1)
        self.assertEqual(
            self.splitter.service_split('orders', 10.0).remote_share, before
        )

    def test_overflows_are_limited(self) -> None:
        """Guards against the overflow of all requests of a window."""
        self.region_shares(0.0, 100)
        overflows = sum(
            self.splitter.try_overflow('orders', 0.1) for _ in range(100)
        )
        self.assertLessEqual(overflows, 15)
        self.assertGreater(overflows, 0)

    def test_an_object_stays_in_one_remote_region(self) -> None:
        """Guards against uncached runs of one object in two regions."""
        self.splitter.service_split('orders', 0.0).remote_share = 1.0
        requests_by_object: dict[str, collections.Counter[str]] = {}
        for number in range(960):
            affinity_key = str(number % 24)
            region = self.splitter.choose_region(
                'orders', affinity_key, number * 0.01
            )
            requests_by_object.setdefault(affinity_key, collections.Counter())[
                region
            ] += 1
        in_main_region = sum(
            max(regions.values()) for regions in requests_by_object.values()
        )
        self.assertGreater(in_main_region / 960, 0.8)

    def test_an_object_stays_in_the_local_or_one_remote_region(self) -> None:
        """Guards against uncached runs of all objects in a small region.

        Callers request more objects than its servers can cache.  If remote
        requests are chosen by count alone, each object is now and then
        requested from it (huon-burr-grown: Hobart has 9 of 90 servers, which
        cache 144 of 238 objects).
        """
        self.splitter.region_vm_count = 8
        self.splitter.service_split('orders', 0.0).remote_share = 0.5
        requests_by_object: dict[str, collections.Counter[str]] = {}
        rng = random.Random(1)
        for number in range(4000):
            affinity_key = str(rng.randrange(238))
            region = self.splitter.choose_region(
                'orders', affinity_key, number * 0.05
            )
            requests_by_object.setdefault(affinity_key, collections.Counter())[
                region
            ] += 1
        in_main_region = sum(
            max(regions.values()) for regions in requests_by_object.values()
        )
        self.assertGreater(in_main_region / 4000, 0.8)

    def test_objects_of_a_rarely_used_service_stay_in_their_region(
        self,
    ) -> None:
        """Guards against uncached runs of a service with few requests.

        A VM gets eight of its requests in a window.
        """
        for remote_share in (0.2, 0.5, 0.8):
            with self.subTest(remote_share=remote_share):
                self.setUp()
                self.splitter.region_vm_count = 2
                split = self.splitter.service_split('orders', 0.0)
                split.remote_share = remote_share
                requests_by_object: dict[str, collections.Counter[str]] = {}
                regions: collections.Counter[str] = collections.Counter()
                rng = random.Random(1)
                for number in range(4000):
                    affinity_key = str(rng.randrange(24))
                    region = self.splitter.choose_region(
                        'orders', affinity_key, number * 0.25
                    )
                    regions[region] += 1
                    requests_by_object.setdefault(
                        affinity_key, collections.Counter()
                    )[region] += 1
                in_main_region = sum(
                    max(counts.values())
                    for counts in requests_by_object.values()
                )
                self.assertGreater(in_main_region / 4000, 0.8)
                self.assertAlmostEqual(
                    1.0 - regions['a'] / 4000, remote_share, delta=0.01
                )

    def test_requests_stay_local_without_remote_servers(self) -> None:
        """Guards against sending requests to regions without servers."""
        table = samples.server_table(samples.server('a0'))
        splitter = steering.RegionSplitter(table, 'a', samples.BOUNDS)
        splitter.service_split('orders', 0.0).remote_share = 0.5
        for number in range(20):
            self.assertEqual(
                splitter.choose_region('orders', str(number), 0.0), 'a'
            )
