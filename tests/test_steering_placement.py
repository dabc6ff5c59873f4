"""Placement of requests on backend servers, by pattern of load."""

import typing
import unittest

from filbertstep import steering
from tests import steering_samples as samples


def question(
    affinity_key: str = 'x', **changes: typing.Any
) -> steering.PlacementQuery:
    """Return a question for one object; Any: fields of several types."""
    return steering.PlacementQuery(
        samples.route(), 'orders', affinity_key, None
    )._replace(**changes)


class PlacementCase(unittest.TestCase):
    """A VM in availability zone a-1."""

    def placement(self, *entries: steering.ServerEntry) -> steering.Placement:
        """Return the placement over some servers; all are in use."""
        table = samples.server_table(*entries)
        for row in table.by_id.values():
            row.last_sent_at = 99.5
        placement = steering.Placement(table, 'a', 'a-1', samples.BOUNDS)
        placement.services = {'orders': samples.SERVICE}
        placement.vms_in_zone = {'a-1': 1, 'a-2': 1}
        return placement

    def chosen(
        self, placement: steering.Placement, asked: steering.PlacementQuery
    ) -> str:
        """Return the id of the best server at time 100."""
        best = placement.best_candidate(asked, 100.0)
        assert best is not None
        return best.server.entry.server_id


class TestSteadyLoad(PlacementCase):
    """Pattern: the same objects again and again, slots free."""

    def test_all_vms_of_a_zone_choose_the_same_server(self) -> None:
        """Guards against two VMs warming two servers for one object."""
        ids = [f's{number}' for number in range(6)]
        one = self.placement(*(samples.server(item) for item in ids))
        other = self.placement(*(samples.server(item) for item in ids[::-1]))
        for affinity_key in ('1', '2', '3', '4'):
            with self.subTest(affinity_key=affinity_key):
                self.assertEqual(
                    self.chosen(one, question(affinity_key)),
                    self.chosen(other, question(affinity_key)),
                )

    def test_a_warm_server_goes_before_the_first_in_rank(self) -> None:
        """Guards against cold runs beside a server that has the object."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        first = self.chosen(placement, question())
        other = 's1' if first == 's0' else 's0'
        placement.table.by_id[other].record_object('x', 99.0)
        self.assertEqual(self.chosen(placement, question()), other)

    def test_the_own_zone_goes_first(self) -> None:
        """Guards against paying for bytes between zones without need."""
        placement = self.placement(
            samples.server('near'),
            *(samples.server(f'far{n}', 'a-2') for n in range(4)),
        )
        for affinity_key in ('1', '2', '3'):
            self.assertEqual(
                self.chosen(placement, question(affinity_key)), 'near'
            )

    def test_light_requests_rank_all_zones_of_the_region(self) -> None:
        """Guards against warming each zone for answers of a few bytes."""
        entries = [samples.server(f's{n}') for n in range(3)]
        entries += [samples.server(f't{n}', 'a-2') for n in range(3)]
        placement = self.placement(*entries)
        placement.route_run_times(samples.route()).exchange_bytes = 400.0
        chosen = {
            self.chosen(placement, question(str(number)))
            for number in range(30)
        }
        self.assertTrue(any(name.startswith('t') for name in chosen))


class TestBusyServers(PlacementCase):
    """Pattern: more requests at once than slots."""

    def test_a_full_warm_server_is_waited_for_rather_than_a_cold_one(
        self,
    ) -> None:
        """Guards against cold runs, which take three times as long."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        warm = placement.table.by_id['s0']
        warm.record_object('x', 99.0)
        warm.in_progress = 3
        best = placement.best_candidate(question(), 100.0)
        assert best is not None
        self.assertEqual(best.server, warm)
        self.assertFalse(best.can_send_now)
        self.assertGreater(best.slot_wait_s, 0.0)

    def test_a_long_line_is_left_for_a_cold_server(self) -> None:
        """Guards against waiting longer than a cold run takes."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        warm = placement.table.by_id['s0']
        warm.record_object('x', 99.0)
        warm.in_progress = 3
        warm.waiting_requests = 12
        self.assertEqual(self.chosen(placement, question()), 's1')

    def test_a_free_server_goes_before_a_line_beyond_the_longest_wait(
        self,
    ) -> None:
        """Guards against refusing a request beside a free slot."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        warm = placement.table.by_id['s0']
        warm.record_object('x', 99.0)
        warm.in_progress = 3
        warm.waiting_requests = 3
        best = placement.best_candidate(question(), 100.0, max_wait_s=0.2)
        assert best is not None
        self.assertEqual(best.server.entry.server_id, 's1')
        self.assertTrue(best.can_send_now)
        placement.table.by_id['s1'].in_progress = 20
        best = placement.best_candidate(question(), 100.0, max_wait_s=0.2)
        assert best is not None
        self.assertFalse(best.can_send_now)

    def test_requests_of_other_vms_count(self) -> None:
        """Guards against several VMs filling the same slots twice."""
        placement = self.placement(samples.server('s0'))
        row = placement.table.by_id['s0']
        row.in_progress = 1
        for _ in range(6):
            row.record_load(running=3, waiting=1, now=100.0)
        self.assertGreater(row.estimated_requests(100.0), 3.0)
        best = placement.best_candidate(question(), 100.0)
        assert best is not None
        self.assertFalse(best.can_send_now)

    def test_the_answered_request_is_not_another_vms(self) -> None:
        """Guards against taking one's own request for another VM's."""
        placement = self.placement(samples.server('s0'))
        row = placement.table.by_id['s0']
        row.in_progress = 1
        row.record_load(running=1, waiting=0, now=100.0)
        self.assertEqual(row.estimated_requests(100.0), 1.0)

    def test_an_old_report_loses_its_weight(self) -> None:
        """Guards against avoiding an idle server for good."""
        placement = self.placement(samples.server('s0'))
        row = placement.table.by_id['s0']
        for _ in range(6):
            row.record_load(running=3, waiting=6, now=100.0)
        self.assertLess(row.estimated_requests(115.0), 0.1)


class TestFailingServers(PlacementCase):
    """Pattern: servers that fail, shed or are slow."""

    def test_sheds_do_not_take_all_servers_out(self) -> None:
        """Guards against refusing beside idle servers (scale-1).

        All servers of a service turned half of their requests away; each was
        paused, and nothing was left to try.
        """
        placement = self.placement(
            *(samples.server(f's{n}') for n in range(4))
        )
        for row in placement.table.by_id.values():
            for _ in range(8):
                row.record_shed(100.0)
        best = placement.best_candidate(question(), 100.0)
        assert best is not None
        self.assertTrue(best.can_send_now)

    def test_a_server_that_sheds_is_avoided(self) -> None:
        """Guards against sending on to a grey server beside sound ones."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        first = self.chosen(placement, question())
        for _ in range(4):
            placement.table.by_id[first].record_shed(100.0)
        self.assertNotEqual(self.chosen(placement, question()), first)

    def test_an_unreachable_server_pauses_and_comes_back(self) -> None:
        """Guards against connecting to a dead server for each request."""
        placement = self.placement(samples.server('s0'))
        placement.table.by_id['s0'].record_failure(100.0, unreachable=True)
        self.assertIsNone(placement.best_candidate(question(), 100.1))
        self.assertIsNotNone(placement.best_candidate(question(), 105.0))

    def test_slowness_is_forgotten(self) -> None:
        """Guards against avoiding for good a server that was slow once."""
        row = samples.server_table(samples.server('s0')).by_id['s0']
        row.record_success(12.0, 100.0)
        self.assertGreater(row.slowdown, 3.0)
        row.decay_health(130.0)
        self.assertAlmostEqual(row.slowdown, 1.0, places=1)


class TestPlannedChanges(PlacementCase):
    """Pattern: servers that leave, join, or are evacuated."""

    def test_leaving_and_evacuated_servers_get_nothing(self) -> None:
        """Guards against requests after a drain or an evacuation."""
        placement = self.placement(
            samples.server('s0', draining=True),
            samples.server('s1', 'a-2'),
        )
        placement.table.evacuate('a-2')
        self.assertIsNone(placement.best_candidate(question(), 100.0))

    def test_an_unused_server_gets_what_it_ranks_first_for(self) -> None:
        """Guards against servers that join and stay without requests."""
        placement = self.placement(samples.server('s0'), samples.server('s1'))
        first = self.chosen(placement, question())
        other = 's1' if first == 's0' else 's0'
        placement.table.by_id[other].record_object('x', 99.0)
        placement.table.by_id[first].last_sent_at = 90.0
        self.assertEqual(self.chosen(placement, question()), first)

    def test_a_new_incarnation_knows_nothing(self) -> None:
        """Guards against taking a restarted server for a warm one."""
        table = samples.server_table(samples.server('s0'))
        table.by_id['s0'].record_object('x', 1.0)
        table.put(samples.server('s0', incarnation=2), 2.0)
        self.assertFalse(table.by_id['s0'].has_cached('x', 3.0))

    def test_servers_of_a_zone_taken_back_are_cold(self) -> None:
        """Guards against crashing servers that became cold meanwhile."""
        table = samples.server_table(samples.server('s0', 'a-2'))
        table.evacuate('a-2')
        table.end_evacuation('a-2', 10.0, {'orders': samples.SERVICE})
        self.assertTrue(table.by_id['s0'].is_cold(12.9))
        self.assertFalse(table.by_id['s0'].is_cold(13.1))

    def test_homes_limit_the_choice(self) -> None:
        """Guards against running a request outside its home regions."""
        placement = self.placement(
            samples.server('s0'), samples.server('s1', 'b-1')
        )
        for homes, expected in (
            (frozenset({'b'}), 's1'),
            (frozenset({'a'}), 's0'),
            (frozenset({'c'}), None),
            (frozenset[str](), None),
        ):
            with self.subTest(homes=homes):
                best = placement.best_candidate(
                    question(allowed_regions=homes), 100.0
                )
                found = best.server.entry.server_id if best else None
                self.assertEqual(found, expected)


class TestColdServers(PlacementCase):
    """Pattern: servers that return cold and crash above their rate."""

    def sends(self, vms: dict[str, int], zone: str) -> int:
        """Return the requests that one VM sends to a cold server in 1 s."""
        placement = self.placement(
            samples.server('s0', zone, cold_left_s=200.0)
        )
        placement.vms_in_zone = vms
        sent = 0
        for step in range(100):
            now = 100.0 + step * 0.01
            best = placement.best_candidate(question(), now)
            if best is not None and best.can_send_now:
                steering.reserve_slot(best, now)
                best.server.in_progress -= 1
                sent += 1
        return sent

    def test_all_vms_together_keep_to_the_bound(self) -> None:
        """Guards against the crash of a server that warms up."""
        bound = 2.7 * 1.5 + 5.0
        for vms, zone in (
            ({'a-1': 1, 'a-2': 1}, 'a-1'),
            ({'a-1': 4, 'a-2': 4}, 'a-1'),
            ({'a-1': 3, 'b-1': 4}, 'c-1'),
        ):
            with self.subTest(vms=vms, zone=zone):
                sharing = vms.get(zone, sum(vms.values()))
                sent = self.sends(vms, zone) * sharing
                self.assertLessEqual(sent, bound)
                self.assertGreater(sent, 0)

    def test_vms_of_other_zones_send_nothing(self) -> None:
        """Guards against a bound that is shared by VMs that do not know."""
        self.assertEqual(self.sends({'a-1': 1, 'a-2': 1}, 'a-2'), 0)
