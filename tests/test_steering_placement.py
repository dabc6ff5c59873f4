"""Placement of requests on backend servers, by traffic pattern."""

import typing
import unittest

from filbertstep import steering
from tests import steering_samples as samples


def build_query(
    affinity_key: str = 'x', **changes: typing.Any
) -> steering.PlacementQuery:
    """Return a query with ``changes``; Any: types differ by field."""
    return steering.PlacementQuery(
        samples.route(), 'orders', affinity_key, None
    )._replace(**changes)


class PlacementCase(unittest.TestCase):
    """A VM in availability zone a-1."""

    def build_placement(
        self, *entries: steering.ServerEntry
    ) -> steering.Placement:
        """Return a placement; all its servers had a request recently."""
        table = samples.server_table(*entries)
        for server in table.by_id.values():
            server.last_sent_at = 99.5
        placement = steering.Placement(table, 'a', 'a-1', samples.BOUNDS)
        placement.services = {'orders': samples.SERVICE}
        placement.vms_in_zone = {'a-1': 1, 'a-2': 1}
        return placement

    def choose(
        self, placement: steering.Placement, query: steering.PlacementQuery
    ) -> str:
        """Return the id of the best server at time 100."""
        best = placement.best_candidate(query, 100.0)
        assert best is not None
        return best.server.entry.server_id


class TestSteadyLoad(PlacementCase):
    """Pattern: repeated requests for the same objects, with free slots."""

    def test_all_vms_of_a_zone_choose_the_same_server(self) -> None:
        """Guards against two VMs using different servers for one object."""
        ids = [f's{number}' for number in range(6)]
        forward = self.build_placement(*(samples.server(item) for item in ids))
        reverse = self.build_placement(
            *(samples.server(item) for item in ids[::-1])
        )
        for affinity_key in ('1', '2', '3', '4'):
            with self.subTest(affinity_key=affinity_key):
                self.assertEqual(
                    self.choose(forward, build_query(affinity_key)),
                    self.choose(reverse, build_query(affinity_key)),
                )

    def test_a_caching_server_is_preferred_to_the_first_in_rank(self) -> None:
        """Guards against ignoring a server that has the object cached."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        first = self.choose(placement, build_query())
        other = 's1' if first == 's0' else 's0'
        placement.table.by_id[other].record_object('x', 99.0)
        self.assertEqual(self.choose(placement, build_query()), other)

    def test_the_local_zone_is_preferred(self) -> None:
        """Guards against needless billed traffic between zones."""
        placement = self.build_placement(
            samples.server('near'),
            *(samples.server(f'far{n}', 'a-2') for n in range(4)),
        )
        run_times = placement.route_run_times(samples.route())
        for exchange_bytes in (4500.0, 60_000.0):
            run_times.exchange_bytes = exchange_bytes
            for affinity_key in ('', '1', '2', '3'):
                self.assertEqual(
                    self.choose(placement, build_query(affinity_key)), 'near'
                )

    def test_the_local_zone_is_preferred_without_an_object(self) -> None:
        """Guards against crossing zones for requests that no cache helps."""
        placement = self.build_placement(
            samples.server('near'),
            *(samples.server(f'far{n}', 'a-2') for n in range(4)),
        )
        run_times = placement.route_run_times(samples.route())
        run_times.exchange_bytes = 400.0
        self.assertEqual(self.choose(placement, build_query('')), 'near')

    def test_small_exchanges_rank_all_zones_of_the_region(self) -> None:
        """Guards against caching each small object in every zone."""
        entries = [samples.server(f's{n}') for n in range(3)]
        entries += [samples.server(f't{n}', 'a-2') for n in range(3)]
        placement = self.build_placement(*entries)
        placement.route_run_times(samples.route()).exchange_bytes = 400.0
        chosen = {
            self.choose(placement, build_query(str(number)))
            for number in range(30)
        }
        self.assertTrue(any(name.startswith('t') for name in chosen))


class TestWithoutObjects(PlacementCase):
    """Pattern: requests that concern no object, as on routes not sticky."""

    def test_requests_spread_over_the_servers(self) -> None:
        """Guards against a full server beside idle ones."""
        placement = self.build_placement(
            *(samples.server(f's{n}') for n in range(4))
        )
        for _ in range(8):
            best = placement.best_candidate(build_query(''), 100.0)
            assert best is not None
            steering.reserve_slot(best, 100.0)
        self.assertEqual(
            [server.in_progress for server in placement.table.by_id.values()],
            [2, 2, 2, 2],
        )


class TestBusyServers(PlacementCase):
    """Pattern: more concurrent requests than slots."""

    def test_waiting_for_a_caching_server_is_preferred(
        self,
    ) -> None:
        """Guards against uncached runs, which take three times as long."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        caching = placement.table.by_id['s0']
        caching.record_object('x', 99.0)
        caching.in_progress = 3
        best = placement.best_candidate(build_query(), 100.0)
        assert best is not None
        self.assertEqual(best.server, caching)
        self.assertFalse(best.can_send_now)
        self.assertGreater(best.slot_wait_s, 0.0)

    def test_a_long_queue_is_avoided(self) -> None:
        """Guards against waiting longer than an uncached run takes."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        caching = placement.table.by_id['s0']
        caching.record_object('x', 99.0)
        caching.in_progress = 3
        caching.waiting_requests = 12
        self.assertEqual(self.choose(placement, build_query()), 's1')

    def test_a_free_slot_is_preferred_to_a_wait_beyond_the_maximum(
        self,
    ) -> None:
        """Guards against refusing a request while a slot is free."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        caching = placement.table.by_id['s0']
        caching.record_object('x', 99.0)
        caching.in_progress = 3
        caching.waiting_requests = 3
        best = placement.best_candidate(build_query(), 100.0, max_wait_s=0.2)
        assert best is not None
        self.assertEqual(best.server.entry.server_id, 's1')
        self.assertTrue(best.can_send_now)
        placement.table.by_id['s1'].in_progress = 20
        best = placement.best_candidate(build_query(), 100.0, max_wait_s=0.2)
        assert best is not None
        self.assertFalse(best.can_send_now)

    def test_requests_of_other_vms_count(self) -> None:
        """Guards against several VMs filling the same slots."""
        placement = self.build_placement(samples.server('s0'))
        server = placement.table.by_id['s0']
        server.in_progress = 1
        for _ in range(6):
            server.record_load(running=3, waiting=1, now=100.0)
        self.assertGreater(server.estimated_requests(100.0), 3.0)
        best = placement.best_candidate(build_query(), 100.0)
        assert best is not None
        self.assertFalse(best.can_send_now)

    def test_the_answered_request_counts_as_local(self) -> None:
        """Guards against counting a local request as that of another VM."""
        placement = self.build_placement(samples.server('s0'))
        server = placement.table.by_id['s0']
        server.in_progress = 1
        server.record_load(running=1, waiting=0, now=100.0)
        self.assertEqual(server.estimated_requests(100.0), 1.0)

    def test_an_old_report_loses_its_weight(self) -> None:
        """Guards against avoiding an idle server forever."""
        placement = self.build_placement(samples.server('s0'))
        server = placement.table.by_id['s0']
        for _ in range(6):
            server.record_load(running=3, waiting=6, now=100.0)
        self.assertLess(server.estimated_requests(115.0), 0.1)


class TestFailingServers(PlacementCase):
    """Pattern: servers that fail, shed requests or are slow."""

    def test_shedding_does_not_exclude_all_servers(self) -> None:
        """Guards against refusing requests while servers are idle (scale-1).

        All servers of a service rejected half of their requests.  Each was
        paused, which left no server to try.
        """
        placement = self.build_placement(
            *(samples.server(f's{n}') for n in range(4))
        )
        for server in placement.table.by_id.values():
            for _ in range(8):
                server.record_shed(100.0)
        best = placement.best_candidate(build_query(), 100.0)
        assert best is not None
        self.assertTrue(best.can_send_now)

    def test_a_shedding_server_is_avoided(self) -> None:
        """Guards against using a degraded server among healthy ones."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        first = self.choose(placement, build_query())
        for _ in range(4):
            placement.table.by_id[first].record_shed(100.0)
        self.assertNotEqual(self.choose(placement, build_query()), first)

    def test_an_unreachable_server_is_paused_for_a_while(self) -> None:
        """Guards against connecting to a dead server for each request."""
        placement = self.build_placement(samples.server('s0'))
        placement.table.by_id['s0'].record_failure(100.0, unreachable=True)
        self.assertIsNone(placement.best_candidate(build_query(), 100.1))
        self.assertIsNotNone(placement.best_candidate(build_query(), 105.0))

    def test_a_server_that_asked_for_a_pause_gets_nothing(self) -> None:
        """Guards against requests to a server that wants none for a while.

        Its entry in the store says ready all the while, and may expire.
        """
        placement = self.build_placement(samples.server('s0'))
        table = placement.table
        announcements = table.by_id['s0'].announcements
        announcements.request_pause(5.0, 100.0)
        announcements.request_pause(1.0, 100.1)
        table.put(samples.server('s0', slots=4), 100.2)
        table.remove('s0')
        table.put(samples.server('s0'), 100.3)
        query = build_query()
        for now in (100.4, 102.0, 104.9):
            self.assertIsNone(placement.best_candidate(query, now))
            self.assertEqual(placement.accepting_from(query, now), 105.0)
        self.assertIsNotNone(placement.best_candidate(query, 105.0))
        self.assertEqual(placement.accepting_from(query, 105.0), 105.0)

    def test_a_pause_ends_with_the_incarnation(self) -> None:
        """Guards against avoiding a server that started again."""
        placement = self.build_placement(samples.server('s0'))
        placement.table.by_id['s0'].announcements.request_pause(9.0, 99.0)
        placement.table.put(samples.server('s0', incarnation=2), 99.5)
        self.assertIsNotNone(placement.best_candidate(build_query(), 100.0))

    def test_one_wrong_value_removes_no_server_for_hours(self) -> None:
        """Guards against a faulty server that asks for an endless pause."""
        placement = self.build_placement(samples.server('s0'))
        announcements = placement.table.by_id['s0'].announcements
        for pause_s in (1e9, float('inf')):
            announcements.request_pause(pause_s, 100.0)
            self.assertEqual(
                placement.accepting_from(build_query(), 100.0), 400.0
            )

    def test_only_servers_that_may_run_the_request_count(self) -> None:
        """Guards against refusals, or waits, for pauses of other servers."""
        placement = self.build_placement(
            samples.server('s0'),
            samples.server('s1', 'b-1'),
            samples.server('s2', draining=True),
        )
        for number, pause_s in enumerate((2.0, 3.0, 1.0)):
            placement.table.by_id[f's{number}'].announcements.request_pause(
                pause_s, 100.0
            )
        for changes, expected in (
            ({}, 102.0),
            ({'region': 'b'}, 103.0),
            ({'allowed_regions': frozenset({'b'})}, 103.0),
            ({'tried_servers': frozenset({'s0'})}, 103.0),
            ({'region': 'c'}, float('inf')),
            ({'service': 'other'}, float('inf')),
        ):
            with self.subTest(changes=changes):
                query = build_query(**changes)
                self.assertEqual(
                    placement.accepting_from(query, 100.0), expected
                )

    def test_slowdown_decays(self) -> None:
        """Guards against avoiding forever a server that was slow once."""
        server = samples.server_table(samples.server('s0')).by_id['s0']
        server.record_success(12.0, 100.0)
        self.assertGreater(server.slowdown, 3.0)
        server.decay_health(130.0)
        self.assertAlmostEqual(server.slowdown, 1.0, places=1)


class TestPlannedChanges(PlacementCase):
    """Pattern: servers that drain, join or are evacuated."""

    def test_draining_and_evacuated_servers_get_no_requests(self) -> None:
        """Guards against requests after a drain or an evacuation."""
        placement = self.build_placement(
            samples.server('s0', draining=True),
            samples.server('s1', 'a-2'),
        )
        placement.table.evacuate('a-2')
        self.assertIsNone(placement.best_candidate(build_query(), 100.0))

    def test_a_store_entry_does_not_undo_what_a_server_said(self) -> None:
        """Guards against requests to a server that said that it leaves.

        Its entry may say ready for longer, expire and be written again, or
        come back with a restored store.
        """
        ready = samples.server('s0')
        moved = samples.server('s0', address='10.0.0.9:80')
        for name, entries in (
            ('ready again', [ready]),
            ('expired, then back', [None, ready]),
            ('another address', [moved]),
            ('draining, then ready', [ready._replace(draining=True), ready]),
            ('older entry', [ready._replace(incarnation=2), ready]),
        ):
            with self.subTest(name=name):
                placement = self.build_placement(ready)
                table = placement.table
                table.by_id['s0'].announcements.leaving = True
                for entry in entries:
                    if entry is None:
                        table.remove('s0')
                    else:
                        table.put(entry, 99.0)
                self.assertIsNone(
                    placement.best_candidate(build_query(), 100.0)
                )

    def test_a_late_answer_counts_for_an_entry_that_is_back(self) -> None:
        """Guards against losing what a server said while it had no entry."""
        placement = self.build_placement(samples.server('s0'))
        server = placement.table.by_id['s0']
        placement.table.remove('s0')
        server.announcements.leaving = True
        placement.table.put(samples.server('s0'), 99.0)
        self.assertIsNone(placement.best_candidate(build_query(), 100.0))

    def test_a_new_incarnation_is_not_leaving(self) -> None:
        """Guards against never using a server that started again."""
        placement = self.build_placement(samples.server('s0'))
        placement.table.by_id['s0'].announcements.leaving = True
        placement.table.put(samples.server('s0', incarnation=2), 99.0)
        self.assertIsNotNone(placement.best_candidate(build_query(), 100.0))

    def test_memory_for_removed_servers_is_bounded(self) -> None:
        """Guards against memory that grows with each replaced server."""
        table = samples.server_table()
        for number in range(2000):
            table.put(samples.server(f's{number}'), 1.0)
            table.remove(f's{number}')
        self.assertLessEqual(len(table.removed_announcements), 1024)

    def test_an_unused_server_gets_requests_if_first_in_rank(self) -> None:
        """Guards against servers that get no requests after they join."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        first = self.choose(placement, build_query())
        other = 's1' if first == 's0' else 's0'
        placement.table.by_id[other].record_object('x', 99.0)
        placement.table.by_id[first].last_sent_at = 90.0
        self.assertEqual(self.choose(placement, build_query()), first)

    def test_a_restarted_server_has_no_cached_objects(self) -> None:
        """Guards against relying on the cache of a restarted server."""
        table = samples.server_table(samples.server('s0'))
        table.by_id['s0'].record_object('x', 1.0)
        table.put(samples.server('s0', incarnation=2), 2.0)
        self.assertFalse(table.by_id['s0'].has_cached('x', 3.0))

    def test_servers_are_cold_after_an_evacuation(self) -> None:
        """Guards against overloading servers that became cold meanwhile."""
        table = samples.server_table(samples.server('s0', 'a-2'))
        table.evacuate('a-2')
        table.end_evacuation('a-2', 10.0, {'orders': samples.SERVICE})
        self.assertTrue(table.by_id['s0'].is_cold(12.9))
        self.assertFalse(table.by_id['s0'].is_cold(13.1))

    def test_allowed_regions_limit_the_choice(self) -> None:
        """Guards against running a request outside its home regions."""
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1', 'b-1')
        )
        for regions, expected in (
            (frozenset({'b'}), 's1'),
            (frozenset({'a'}), 's0'),
            (frozenset({'c'}), None),
            (frozenset[str](), None),
        ):
            with self.subTest(regions=regions):
                best = placement.best_candidate(
                    build_query(allowed_regions=regions), 100.0
                )
                server_id = best.server.entry.server_id if best else None
                self.assertEqual(server_id, expected)


class TestColdServers(PlacementCase):
    """Pattern: servers in slow start, which crash above their rate."""

    def count_sent(
        self,
        vms: dict[str, int],
        zone: str,
        own_vm: str = '',
        vms_by_zone: dict[str, frozenset[str]] | None = None,
        cold_per_s: float = samples.SERVICE.cold_per_s,
    ) -> int:
        """Return how many requests one VM sends to a cold server in 1 s.

        Either the numbers of VMs by zone are known, or also their names.
        """
        placement = self.build_placement(
            samples.server('s0', zone, cold_left_s=200.0)
        )
        placement.services = {
            'orders': samples.SERVICE._replace(cold_per_s=cold_per_s)
        }
        placement.vms_in_zone = vms
        if vms_by_zone is not None:
            placement.set_vms(own_vm, vms_by_zone)
        sent = 0
        for step in range(100):
            now = 100.0 + step * 0.01
            best = placement.best_candidate(build_query(), now)
            if best is not None and best.can_send_now:
                steering.reserve_slot(best, now)
                best.server.in_progress -= 1
                sent += 1
        return sent

    def test_all_vms_together_respect_the_cold_rate(self) -> None:
        """Guards against crashing a server in slow start."""
        bound = 2.7 * 1.5 + 5.0
        for vms, zone in (
            ({'a-1': 1, 'a-2': 1}, 'a-1'),
            ({'a-1': 4, 'a-2': 4}, 'a-1'),
            ({'a-1': 3, 'b-1': 4}, 'c-1'),
        ):
            with self.subTest(vms=vms, zone=zone):
                sharing = vms.get(zone, sum(vms.values()))
                sent = self.count_sent(vms, zone) * sharing
                self.assertLessEqual(sent, bound)
                self.assertGreater(sent, 0)

    def test_many_vms_share_the_rate_in_a_zone_without_vms(self) -> None:
        """Guards against a first request of each VM at the same moment."""
        vms = {'a-1': 12, 'b-1': 13}
        sent = self.count_sent(vms, 'c-1') * sum(vms.values())
        self.assertLessEqual(sent, 2.7 * 1.5 + 5.0)

    def test_vms_that_know_each_other_use_the_rate(self) -> None:
        """Guards against a burst of first requests, and against none at all.

        All VMs of a large zone learn of a cold server at the same moment.
        """
        names = frozenset(f'vm-{number}' for number in range(25))
        for zone, vms_by_zone in (
            ('a-1', {'a-1': names}),
            ('c-1', {'a-1': names, 'b-1': frozenset({'vm-b'})}),
        ):
            with self.subTest(zone=zone):
                sent = sum(
                    self.count_sent({}, zone, vm, vms_by_zone) for vm in names
                )
                self.assertLessEqual(sent, 2.7 * 1.5 + 5.0)
                self.assertGreater(sent, 0)

    def test_a_vm_that_no_lookup_names_sends_no_requests(self) -> None:
        """Guards against a stopping VM that sends beside the sharing ones."""
        vms_by_zone = {'b-1': frozenset({'vm-b'})}
        for zone in ('a-1', 'c-1'):
            with self.subTest(zone=zone):
                self.assertEqual(
                    self.count_sent({}, zone, 'vm-a', vms_by_zone), 0
                )

    def test_a_high_cold_rate_is_kept_in_each_second(self) -> None:
        """Guards against a second request of each VM within the same second.

        All VMs send their first at the same moment.
        """
        for cold_per_s in (1.0, 5.0, 10.0, 27.0, 60.0):
            for count in (1, 2, 3, 5, 9, 17, 25, 44, 65):
                with self.subTest(cold_per_s=cold_per_s, count=count):
                    names = frozenset(f'vm-{item}' for item in range(count))
                    sent = sum(
                        self.count_sent(
                            {}, 'a-1', vm, {'a-1': names}, cold_per_s
                        )
                        for vm in names
                    )
                    self.assertLessEqual(sent, cold_per_s * 1.5 + 5.0)
                    self.assertGreater(sent, 0)

    def test_a_vm_that_sees_no_vms_sends_no_requests(self) -> None:
        """Guards against VMs that each take themselves for the only one.

        So does each VM of a zone whose leases have all ended.
        """
        for zone in ('a-1', 'c-1'):
            with self.subTest(zone=zone):
                self.assertEqual(self.count_sent({}, zone, 'vm-a', {}), 0)

    def test_a_server_in_another_zone_has_other_senders(self) -> None:
        """Guards against a decision for the zone that a server has left."""
        vms_by_zone = {
            'a-1': frozenset({'vm-a'}),
            'b-1': frozenset(f'vm-{number}' for number in range(30)),
        }
        for number in range(10):
            server_id = f's{number}'
            entry = samples.server(server_id, cold_left_s=200.0)
            moved = self.build_placement(entry)
            fresh = self.build_placement(
                entry._replace(availability_zone='c-1')
            )
            for placement in (moved, fresh):
                placement.set_vms('vm-a', vms_by_zone)
                placement.best_candidate(build_query(), 100.0)
            moved.table.put(entry._replace(availability_zone='c-1'), 100.0)
            with self.subTest(server=server_id):
                self.assertEqual(
                    moved.best_candidate(build_query(), 110.0) is None,
                    fresh.best_candidate(build_query(), 110.0) is None,
                )

    def most_sent_in_a_second(
        self,
        before: dict[str, frozenset[str]],
        after: dict[str, frozenset[str]],
        spread_s: float,
    ) -> int:
        """Return how many requests all VMs send to a cold server of zone a-1.

        Each of them learns of the change at another time after 100.3, at most
        ``spread_s`` later, and always has a request.
        """
        zones = {
            vm: zone
            for vms_by_zone in (before, after)
            for zone, vms in vms_by_zone.items()
            for vm in vms
        }
        sent_at = []
        for number, (vm, zone) in enumerate(sorted(zones.items())):
            table = samples.server_table(
                samples.server('s0', cold_left_s=200.0)
            )
            placement = steering.Placement(
                table, zone[0], zone, samples.BOUNDS
            )
            placement.services = {'orders': samples.SERVICE}
            placement.set_vms(vm, before, 0.0)
            changes_at = 100.3 + spread_s * number / len(zones)
            for step in range(350):
                now = 98.5 + step * 0.015
                if now >= changes_at:
                    placement.set_vms(vm, after, changes_at)
                best = placement.best_candidate(build_query(), now)
                if best is not None:
                    steering.reserve_slot(best, now)
                    best.server.in_progress -= 1
                    sent_at.append(now)
        return max(
            sum(start <= other < start + 1.0 for other in sent_at)
            for start in sent_at
        )

    def test_the_cold_rate_is_kept_while_the_vms_change(self) -> None:
        """Guards against first requests of new senders beside the former's.

        The only VM of a zone stops, or many start where there was one.
        """
        vms_a = frozenset(f'vm-a{number}' for number in range(25))
        vms_b = frozenset(f'vm-b{number}' for number in range(25))
        one = frozenset({'vm-a0'})
        for name, before, after in (
            ('stop', {'a-1': one, 'b-1': vms_b}, {'b-1': vms_b}),
            ('start', {'b-1': vms_b}, {'a-1': one, 'b-1': vms_b}),
            ('more', {'a-1': one}, {'a-1': vms_a}),
            ('fewer', {'a-1': vms_a}, {'a-1': one}),
        ):
            for spread_s in (0.0, 0.4):
                with self.subTest(change=name, spread_s=spread_s):
                    most = self.most_sent_in_a_second(before, after, spread_s)
                    self.assertLessEqual(most, 2.7 * 1.5 + 5.0)
                    self.assertGreater(most, 0)

    def test_a_new_sender_waits_only_for_the_change(self) -> None:
        """Guards against a cold server without requests after a change."""
        placement = self.build_placement(
            samples.server('s0', cold_left_s=200.0)
        )
        for number in range(40):
            others = frozenset(f'vm-{item}' for item in range(number))
            placement.set_vms(
                'vm-a', {'b-1': others | {'vm-b'}}, 50.0 + 0.1 * number
            )
        placement.set_vms('vm-a', {'a-1': frozenset({'vm-a'})}, 100.0)
        self.assertLessEqual(len(placement.former_vms), 8)
        for now, expected in ((100.0, False), (101.0, False), (102.0, True)):
            with self.subTest(now=now):
                best = placement.best_candidate(build_query(), now)
                self.assertEqual(best is not None, expected)

    def test_a_huge_cold_rate_is_no_error(self) -> None:
        """Guards against an exception for each request to a cold server."""
        names = {'a-1': frozenset({'vm-a'})}
        self.assertGreater(
            self.count_sent({}, 'a-1', 'vm-a', names, 1.7e308), 90
        )

    def test_vms_of_other_zones_send_no_requests(self) -> None:
        """Guards against sharing the rate with VMs that do not know of it."""
        self.assertEqual(self.count_sent({'a-1': 1, 'a-2': 1}, 'a-2'), 0)


class TestRunTimes(unittest.TestCase):
    """Whether a run had its object cached, told by its time.

    Cached runs take 0.2 s, others 0.6 s.
    """

    def test_runs_are_told_apart(self) -> None:
        """Guards against averages that mix runs with and without the object.

        Other VMs fill the caches too, and servers evict objects.
        """
        run_times = steering.RunTimes(0.4)
        for assumed, run_s, slowdown, expected in (
            (False, 0.2, 1.0, True),
            (False, 0.6, 1.0, False),
            (True, 0.2, 1.0, True),
            # Evicted: as long as a run without the object.
            (True, 0.55, 1.0, False),
            # The server is slow: much longer, or slow before.
            (True, 1.2, 1.0, True),
            (True, 0.6, 3.0, True),
        ):
            with self.subTest(assumed=assumed, run_s=run_s, slow=slowdown):
                self.assertEqual(
                    run_times.was_cached(assumed, run_s, slowdown), expected
                )

    def test_the_average_size_is_learned_soon_and_stays(self) -> None:
        """Guards against copies that are shared and not, by turns.

        Sizes vary by a factor of six around a mean of 5,000 bytes.
        """
        run_times = steering.RunTimes(0.4)
        averages = []
        for number in range(400):
            run_times.record(
                True, 0.2, (1_500, 2_500, 9_000, 7_000)[number % 4]
            )
            averages.append(run_times.exchange_bytes)
        self.assertLess(max(averages[50:]), 1.1 * 5_000)
        self.assertGreater(min(averages[50:]), 0.9 * 5_000)
        run_times = steering.RunTimes(0.4)
        for _ in range(10):
            run_times.record(True, 0.2, 400)
        self.assertLess(run_times.exchange_bytes, 1_000)

    def test_a_target_of_zero_is_no_divisor(self) -> None:
        """Guards against routes without a target latency."""
        run_times = steering.RunTimes(0.0)
        self.assertTrue(run_times.was_cached(True, 0.1, 1.0))
        self.assertFalse(run_times.was_cached(False, 0.1, 1.0))


class TestUnequalRequests(PlacementCase):
    """Pattern: long requests beside urgent short ones on the same servers."""

    def test_a_wait_behind_long_requests_is_long(self) -> None:
        """Guards against a short wait that is estimated behind long runs.

        The first in rank has the object, but long requests fill its slots.
        """
        placement = self.build_placement(
            samples.server('s0'), samples.server('s1')
        )
        first = self.choose(placement, build_query())
        server = placement.table.by_id[first]
        server.record_object('x', 100.0)
        for record in placement.table.by_id.values():
            record.last_sent_at = 100.0
        server.in_progress = 3
        for _ in range(200):
            placement.record_run_s('orders', 4.0)
        self.assertEqual(self.choose(placement, build_query()), first)
        placement.unequal_services = frozenset({'orders'})
        self.assertNotEqual(self.choose(placement, build_query()), first)

    def test_targets_tell_which_requests_are_unequal(self) -> None:
        """Guards against a change for services with requests of one kind."""
        short, long, public = (
            samples.route(name='short'),
            samples.route(name='long', target_s=2.0),
            samples.route(name='public', target_s=2.0, public=True),
        )
        for routes, expected in (
            ((short,), set()),
            ((short, long), {'orders'}),
            ((short, public), set()),
            ((short, samples.route(target_s=0.6)), set()),
            ((short, samples.route(target_s=0.0)), set()),
            (
                (
                    short,
                    long._replace(
                        destinations=(steering.Destination('stock', 1.0),)
                    ),
                ),
                set(),
            ),
        ):
            with self.subTest(routes=[route.name for route in routes]):
                configuration = samples.configuration(routes=routes)
                self.assertEqual(
                    steering.unequal_services(configuration),
                    expected,
                )
