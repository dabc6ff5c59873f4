"""Tests of the token buckets that all VMs share."""

import asyncio
import typing
import unittest

import result

from filbertstep import config
from filbertstep import errors
from filbertstep import sharing
from filbertstep import transport
from tests import sharing_fakes as fakes

UNIT_REQUEST_PATH = '/peer/shares'
PUSH_PATH = '/peer/shares/push'


def make_fleet(
    count: int = 3, rate: float = 100.0, burst: float = 60.0
) -> fakes.Fleet:
    """Return a fleet of VMs that are members of epoch 1 and know it."""
    fleet = fakes.Fleet(fakes.make_documents(rate, burst))
    fleet.start_members(count)
    return fleet


def units_by_vm(fleet: fakes.Fleet) -> dict[str, int]:
    """Return the usable units of each VM for the account."""
    now = fleet.clock.now()
    return {vm: node.units(now) for vm, node in fleet.nodes.items()}


def tokens_of(node: fakes.Node, now: float) -> float:
    """Return the tokens in a VM's bucket for the account."""
    bucket = node.shares.table.get(fakes.ACCOUNT, now)
    return 0.0 if bucket is None else bucket.tokens


def make_request(fleet: fakes.Fleet, vm: str, **changes: object) -> typing.Any:
    """Return a request for units by a VM that has all of the demand."""
    bucket = fleet.nodes[vm].shares.table.get(fakes.ACCOUNT, fleet.clock.now())
    assert bucket is not None
    return {
        'vm': vm,
        'incarnation': fleet.nodes[vm].incarnation,
        'resource': fakes.ACCOUNT,
        'transfer_id': 1,
        'epoch': sorted(bucket.splits),
        'demand': 100.0,
        'want': 1.0,
        'units': bucket.units,
        'short': 0,
        'waited_s': 0.0,
        **changes,
    }


async def send_request(
    fleet: fakes.Fleet, vm: str, message: transport.Message
) -> tuple[int, float]:
    """Send a request for units to a VM; return the granted amounts.

    These are the units and the tokens.
    """
    answer = await fleet.nodes[vm].shares.handle_unit_request(message)
    grant = answer.unwrap()
    return grant['units'], grant['tokens']


class TestSplit(unittest.TestCase):
    """Each epoch splits the units of a resource among its members."""

    def test_units_are_split_equally(self) -> None:
        """Each unit of a resource must be held by exactly one VM."""
        for count, holders in ((1, 1), (7, 7), (16, 16), (17, 8), (40, 8)):
            with self.subTest(members=count):
                found = [
                    part for part in units_by_vm(make_fleet(count)).values()
                ]
                self.assertEqual(sharing.UNITS_PER_RESOURCE, sum(found))
                held = [part for part in found if part]
                self.assertEqual(holders, len(held))
                self.assertLessEqual(max(held) - min(held), 1)

    def test_units_decrease_at_once_and_increase_later(self) -> None:
        """Units that a new epoch gives a VM become usable only later.

        For EVIDENCE_LIFETIME_S, another VM may still use them under the
        former epoch.  Units that the new epoch takes away become unusable at
        once.
        """
        fleet = make_fleet(3)
        fleet.start('vm-4')
        fleet.commit_to_all()
        self.assertEqual(
            [250_000] * 3 + [0], list(units_by_vm(fleet).values())
        )
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S - 0.1)
        self.assertEqual(0, units_by_vm(fleet)['vm-4'])
        fleet.clock.advance(0.2)
        self.assertEqual([250_000] * 4, list(units_by_vm(fleet).values()))
        fleet.kill('vm-4')
        fleet.commit_to_all()
        self.assertEqual([250_000] * 3, list(units_by_vm(fleet).values()))
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.1)
        self.assertEqual(
            sharing.UNITS_PER_RESOURCE, sum(units_by_vm(fleet).values())
        )

    def test_gained_units_have_no_tokens(self) -> None:
        """Units taken over from a dead VM must not bring tokens.

        The dead VM may have used its part of the burst already.
        """
        fleet = make_fleet(3)
        self.assertAlmostEqual(20.0, tokens_of(fleet.nodes['vm-1'], 1000), 3)
        fleet.kill('vm-3')
        fleet.commit_to_all()
        now = fleet.clock.now() + fakes.EVIDENCE_LIFETIME_S - 0.01
        self.assertAlmostEqual(20.0, tokens_of(fleet.nodes['vm-1'], now), 3)
        now += 0.12
        self.assertLess(tokens_of(fleet.nodes['vm-1'], now), 21.0)
        self.assertAlmostEqual(
            30.0, tokens_of(fleet.nodes['vm-1'], now + 9), 3
        )

    def test_process_that_joins_late_starts_empty(self) -> None:
        """A replaced process must not bring the tokens of a new burst."""
        fleet = make_fleet(3)
        fleet.kill('vm-3')
        fleet.start('vm-3')
        fleet.commit_to_all()
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.01)
        found = tokens_of(fleet.nodes['vm-3'], fleet.clock.now())
        self.assertLess(found, 1.0)

    def test_process_outside_the_epoch_has_no_units(self) -> None:
        """A restarted process must not keep the units of the former one."""
        fleet = make_fleet(3)
        fleet.kill('vm-3')
        node = fleet.start('vm-3')
        node.learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(60.0)
        self.assertEqual(0, node.units(fleet.clock.now()))

    def test_no_units_after_missed_epochs_until_evidence_expired(self) -> None:
        """A VM that missed more epochs than a head lists has no units.

        It does not know all epochs that may be in force until
        EVIDENCE_LIFETIME_S have passed.
        """
        fleet = make_fleet(2)
        node = fleet.nodes['vm-2']
        for _ in range(config.MAX_FORMER_EPOCHS + 2):
            fleet.commit()
        node.learn(fleet.store, fleet.clock.now())
        self.assertEqual(0, node.units(fleet.clock.now()))
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.1)
        self.assertEqual(500_000, node.units(fleet.clock.now()))
        self.assertLess(tokens_of(node, fleet.clock.now()), 1.0)

    def test_link_and_unknown_resource(self) -> None:
        """Accounts and links are limited; unknown resources are refused."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        for resource, amount, expected in (
            ('link/west-east', 50_000.0, True),
            ('link/west-east', 1.0, False),
            ('link/none', 0.0, False),
            ('client_account/none', 0.0, False),
            (fakes.ACCOUNT, 30.0, True),
            (fakes.ACCOUNT, 1.0, False),
        ):
            with self.subTest(resource=resource, amount=amount):
                consumed = shares.try_consume(resource, amount, now)
                self.assertEqual(expected, consumed)


class TestTokens(unittest.TestCase):
    """Consuming, waiting for, charging and refunding tokens."""

    def test_no_tokens_are_consumed_while_not_fresh(self) -> None:
        """A VM that is not fresh must not consume tokens.

        Others may have taken over its units.
        """
        fleet = make_fleet(2)
        node = fleet.nodes['vm-1']
        node.freshness.forced_stale = True
        now = fleet.clock.now()
        self.assertFalse(node.shares.try_consume(fakes.ACCOUNT, 1.0, now))
        consumed = node.shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        self.assertFalse(fakes.run_simulated(fleet.clock, consumed))

    def test_charge_makes_tokens_negative_until_refilled(self) -> None:
        """Charged tokens count even if the bucket becomes negative."""
        fleet = make_fleet(1)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        shares.charge(fakes.ACCOUNT, 70.0, now)
        self.assertAlmostEqual(0.11, shares.retry_after_s(fakes.ACCOUNT, now))
        self.assertFalse(shares.try_consume(fakes.ACCOUNT, 1.0, now + 0.1))
        self.assertTrue(shares.try_consume(fakes.ACCOUNT, 1.0, now + 0.12))

    def test_bucket_with_negative_tokens_grants_nothing(self) -> None:
        """A bucket with negative tokens must not grant units.

        It needs their refill to pay for past use.
        """
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-2'].shares
        shares.charge(fakes.ACCOUNT, 70.0, fleet.clock.now())
        granted = send_request(fleet, 'vm-2', make_request(fleet, 'vm-1'))
        self.assertEqual((0, 0.0), fakes.run_simulated(fleet.clock, granted))

    def test_refund_is_bounded_by_the_burst(self) -> None:
        """A refund must not fill a bucket above its burst."""
        fleet = make_fleet(1)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        shares.refund(fakes.ACCOUNT, 100.0, now)
        self.assertEqual(60.0, tokens_of(fleet.nodes['vm-1'], now))
        self.assertEqual(0.05, shares.retry_after_s(fakes.ACCOUNT, now))

    def test_first_come_first_served(self) -> None:
        """A new request must not overtake one that waits."""
        fleet = make_fleet(1, rate=10.0, burst=2.0)
        shares = fleet.nodes['vm-1'].shares
        order: list[int] = []

        async def consume(number: int, amount: float) -> None:
            if await shares.consume(fakes.ACCOUNT, amount, 0.5):
                order.append(number)

        async def scenario() -> None:
            shares.charge(fakes.ACCOUNT, 2.0, fleet.clock.now())
            first = asyncio.create_task(consume(1, 2.0))
            await asyncio.sleep(0.15)
            await asyncio.gather(first, consume(2, 1.0))

        fakes.run_simulated(fleet.clock, scenario())
        self.assertEqual([1, 2], order)

    def test_wait_ends_in_time(self) -> None:
        """A request must not wait for longer than its timeout."""
        fleet = make_fleet(1, rate=1.0, burst=1.0)
        shares = fleet.nodes['vm-1'].shares
        shares.charge(fakes.ACCOUNT, 1.0, fleet.clock.now())
        started = fleet.clock.now()
        consumed = shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        self.assertFalse(fakes.run_simulated(fleet.clock, consumed))
        self.assertAlmostEqual(0.25, fleet.clock.now() - started, 3)

    def test_more_than_the_burst_is_refused_at_once(self) -> None:
        """A request for more than the burst must not draw units here.

        It can never succeed.
        """
        fleet = make_fleet(3)
        started = fleet.clock.now()
        consumed = fleet.nodes['vm-1'].shares.consume(
            fakes.ACCOUNT, 61.0, 0.25
        )
        self.assertFalse(fakes.run_simulated(fleet.clock, consumed))
        self.assertEqual(started, fleet.clock.now())
        self.assertEqual(0, fleet.peers.calls)

    def test_cancelled_request_leaves_the_queue(self) -> None:
        """A cancelled request must not consume the next tokens."""
        fleet = make_fleet(1, rate=10.0, burst=1.0)
        shares = fleet.nodes['vm-1'].shares

        async def scenario() -> bool:
            shares.charge(fakes.ACCOUNT, 1.0, fleet.clock.now())
            cancelled = asyncio.create_task(
                shares.consume(fakes.ACCOUNT, 1, 1.0)
            )
            await asyncio.sleep(0.01)
            cancelled.cancel()
            return await shares.consume(fakes.ACCOUNT, 1.0, 0.15)

        self.assertTrue(fakes.run_simulated(fleet.clock, scenario()))


class TestTransfers(unittest.IsolatedAsyncioTestCase):
    """Transfers neither create units or tokens nor grant them twice."""

    async def test_repeated_request_gets_the_first_answer(self) -> None:
        """A retry after a lost answer must not debit units again."""
        fleet = make_fleet(2)
        message = make_request(fleet, 'vm-1')
        first = await send_request(fleet, 'vm-2', message)
        self.assertGreater(first[0], 0)
        self.assertEqual(first, await send_request(fleet, 'vm-2', message))
        self.assertEqual(500_000 - first[0], units_by_vm(fleet)['vm-2'])

    async def test_delayed_older_request_is_granted_nothing(self) -> None:
        """A delayed copy of an earlier request must not debit units.

        The requester does not wait for its answer any more.
        """
        fleet = make_fleet(2)
        await send_request(
            fleet, 'vm-2', make_request(fleet, 'vm-1', transfer_id=2)
        )
        remaining = units_by_vm(fleet)['vm-2']
        message = make_request(fleet, 'vm-1', transfer_id=1)
        self.assertEqual((0, 0.0), await send_request(fleet, 'vm-2', message))
        self.assertEqual(remaining, units_by_vm(fleet)['vm-2'])

    async def test_unsafe_request_is_granted_nothing(self) -> None:
        """A donor refuses a request that it cannot debit correctly.

        That is, one for unknown epochs or resources, or while it is not fresh.
        """
        fleet = make_fleet(2)
        cases: list[dict[str, typing.Any]] = [
            {'epoch': ['2-0000000000000000']},
            {'epoch': []},
            {'resource': 'client_account/none'},
        ]
        for changes in cases:
            with self.subTest(changes=changes):
                message = make_request(fleet, 'vm-1', **changes)
                self.assertEqual(
                    (0, 0.0), await send_request(fleet, 'vm-2', message)
                )
        fleet.nodes['vm-2'].freshness.forced_stale = True
        message = make_request(fleet, 'vm-1', transfer_id=2)
        self.assertEqual((0, 0.0), await send_request(fleet, 'vm-2', message))

    async def test_malformed_message_is_refused(self) -> None:
        """A malformed message is refused and must not raise."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-2'].shares
        bad = [{}, make_request(fleet, 'vm-1', units=-1), {'vm': 1}]
        for handler in (shares.handle_unit_request, shares.handle_push):
            for message in bad:
                with self.subTest(handler=handler, message=message):
                    answer = await handler(message)
                    self.assertIsInstance(answer, result.Err)
                    kind = answer.unwrap_err().kind
                    self.assertEqual(errors.ErrorKind.BAD_REQUEST, kind)

    async def test_restarted_donor_grants_nothing(self) -> None:
        """A restarted donor must not grant the former process's units."""
        fleet = make_fleet(2)
        message = make_request(fleet, 'vm-1')
        fleet.kill('vm-2')
        node = fleet.start('vm-2')
        node.learn(fleet.store, fleet.clock.now())
        self.assertEqual((0, 0.0), await send_request(fleet, 'vm-2', message))

    async def test_answer_after_an_epoch_change(self) -> None:
        """A credit must not count under an epoch that was not debited.

        The requester learned a newer epoch before the answer arrived.
        """
        fleet = make_fleet(2)
        bucket = fleet.nodes['vm-1'].shares.table.get(fakes.ACCOUNT, 1000.0)
        assert bucket is not None
        message = make_request(fleet, 'vm-1')
        granted, _ = await send_request(fleet, 'vm-2', message)
        fleet.commit_to_all()
        bucket = fleet.nodes['vm-1'].shares.table.get(fakes.ACCOUNT, 1000.0)
        assert bucket is not None
        bucket.try_consume(bucket.tokens)
        bucket.credit(granted, 5.0, message['epoch'])
        # The transfer was not made under the newer epoch, which is in force.
        self.assertEqual(500_000, bucket.units)
        self.assertEqual(0.0, bucket.tokens)
        self.assertLessEqual(
            sum(units_by_vm(fleet).values()), sharing.UNITS_PER_RESOURCE
        )
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.1)
        self.assertEqual([500_000] * 2, list(units_by_vm(fleet).values()))

    async def test_pending_epoch_is_debited_too(self) -> None:
        """A transfer must be debited under a pending epoch too.

        Otherwise the units would return when that epoch is committed.
        """
        fleet = make_fleet(2)
        head = fleet.store.commit(
            [(node.vm, node.incarnation) for node in fleet.nodes.values()],
            fleet.clock.now(),
        )
        view = fleet.store.view(head)
        proposal = config.Proposal(10, view.head, {})
        fleet.nodes['vm-1'].views.add_proposal(proposal, view)
        message = make_request(fleet, 'vm-1')
        self.assertEqual(2, len(message['epoch']))
        self.assertEqual((0, 0.0), await send_request(fleet, 'vm-2', message))
        fleet.nodes['vm-2'].views.add_proposal(proposal, view)
        message['transfer_id'] = 2
        granted, _ = await send_request(fleet, 'vm-2', message)
        self.assertGreater(granted, 0)
        fleet.nodes['vm-2'].learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.1)
        self.assertEqual(500_000 - granted, units_by_vm(fleet)['vm-2'])

    async def test_debit_survives_while_epoch_is_not_pending(self) -> None:
        """A debit stays while its epoch is temporarily not pending."""
        fleet = make_fleet(2)
        head = fleet.store.commit(
            [(node.vm, node.incarnation) for node in fleet.nodes.values()],
            fleet.clock.now(),
        )
        view = fleet.store.view(head)
        proposal = config.Proposal(10, view.head, {})
        for node in fleet.nodes.values():
            node.views.add_proposal(proposal, view)
        granted, _ = await send_request(
            fleet, 'vm-2', make_request(fleet, 'vm-1')
        )
        donor = fleet.nodes['vm-2']
        donor.views.pending.clear()
        fleet.clock.advance(1.0)
        donor.units(fleet.clock.now())
        donor.learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(fakes.EVIDENCE_LIFETIME_S + 0.1)
        self.assertEqual(500_000 - granted, units_by_vm(fleet)['vm-2'])

    async def test_granted_units_are_proportional_to_demand(self) -> None:
        """Granted units must make both VMs' units proportional to demand."""
        for own_demand, their_demand, low, high in (
            (0.0, 90.0, 480_000, 500_000),
            (25.0, 75.0, 240_000, 260_000),
            (50.0, 50.0, 0, 3_000),
            (75.0, 25.0, 0, 0),
        ):
            with self.subTest(
                own_demand=own_demand, their_demand=their_demand
            ):
                fleet = make_fleet(2)
                donor = fleet.nodes['vm-2'].shares
                now = fleet.clock.now()
                bucket = donor.table.get(fakes.ACCOUNT, now)
                assert bucket is not None
                bucket.demand.record(own_demand * 2.0, now)
                message = make_request(
                    fleet, 'vm-1', demand=their_demand, want=0.0
                )
                granted, _ = await send_request(fleet, 'vm-2', message)
                self.assertGreaterEqual(granted, low)
                self.assertLessEqual(granted, high)


class TestHandOver(unittest.TestCase):
    """A planned stop pushes the units to peers."""

    def test_units_and_tokens_reach_peers(self) -> None:
        """An account must not lack the units of a stopped VM."""
        fleet = make_fleet(3)
        shares = fleet.nodes['vm-3'].shares
        fakes.run_simulated(fleet.clock, shares.hand_over())
        self.assertEqual(
            [500_001, 499_999, 0], list(units_by_vm(fleet).values())
        )
        found = tokens_of(fleet.nodes['vm-1'], fleet.clock.now())
        self.assertAlmostEqual(30.0, found, 2)

    def test_refused_push_goes_to_another_peer(self) -> None:
        """Units that a peer refused must not be lost.

        A peer that is not fresh refuses a push; another one gets its units.
        """
        fleet = make_fleet(3)
        fleet.nodes['vm-1'].freshness.forced_stale = True
        fakes.run_simulated(
            fleet.clock, fleet.nodes['vm-3'].shares.hand_over()
        )
        fleet.nodes['vm-1'].freshness.forced_stale = False
        self.assertEqual(
            [333_334, 666_666, 0], list(units_by_vm(fleet).values())
        )

    def test_lost_answer_credits_once(self) -> None:
        """The retries of a push must be credited only once."""
        fleet = make_fleet(2)
        fleet.peers.lost_answers.add(('vm-1', PUSH_PATH))
        fakes.run_simulated(
            fleet.clock, fleet.nodes['vm-2'].shares.hand_over()
        )
        self.assertEqual(
            [sharing.UNITS_PER_RESOURCE, 0], list(units_by_vm(fleet).values())
        )

    def test_delayed_copy_of_a_refused_push(self) -> None:
        """A delayed copy of a refused push must not be credited.

        The sender has credited the units to itself again.
        """
        fleet = make_fleet(2)
        node = fleet.nodes['vm-1']
        message: transport.Message = {
            'vm': 'vm-2',
            'incarnation': fleet.nodes['vm-2'].incarnation,
            'transfer_id': 1,
            'epoch': make_request(fleet, 'vm-2')['epoch'],
            'grants': {fakes.ACCOUNT: {'units': 500_000, 'tokens': 1.0}},
        }

        async def push() -> bool:
            answer = await node.shares.handle_push(message)
            return bool(answer.unwrap()['accepted'])

        node.freshness.forced_stale = True
        self.assertFalse(fakes.run_simulated(fleet.clock, push()))
        node.freshness.forced_stale = False
        self.assertFalse(fakes.run_simulated(fleet.clock, push()))
        self.assertEqual(500_000, units_by_vm(fleet)['vm-1'])


class TestHeartbeat(unittest.TestCase):
    """Heartbeats report units and demand."""

    def test_idle_resources_are_omitted(self) -> None:
        """Idle accounts must not increase the size of the heartbeat."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        self.assertEqual({'resources': {}}, shares.payload(now))
        shares.try_consume(fakes.ACCOUNT, 1.0, now)
        rows = shares.payload(now)['resources']
        self.assertEqual([fakes.ACCOUNT], list(rows))
        self.assertEqual(500_000, rows[fakes.ACCOUNT]['units'])

    def test_size_is_bounded(self) -> None:
        """The number of resources in a heartbeat is bounded.

        Those with the most demand are listed.
        """
        documents = fakes.make_documents()
        accounts = documents[config.EntityKind.CLIENT_ACCOUNT]
        for number in range(200):
            accounts[f'a{number}'] = accounts['acme']
        fleet = fakes.Fleet(documents)
        fleet.start_members(2)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        for number in range(200):
            amount = float(number + 1)
            shares.try_consume(f'client_account/a{number}', amount, now)
        rows = shares.payload(now)['resources']
        self.assertEqual(128, len(rows))
        self.assertIn('client_account/a199', rows)

    def test_unreadable_part_is_ignored(self) -> None:
        """A malformed heartbeat part is ignored and must not raise."""
        shares = make_fleet(2).nodes['vm-1'].shares
        parts: list[dict[str, typing.Any]] = [
            {},
            {'resources': 1},
            {'resources': {'x': {}}},
        ]
        for part in parts:
            shares.receive('vm-2', 'i2', part, 1000.0)
        self.assertEqual({}, shares.requester.reported)


class TestDemand(unittest.TestCase):
    """Units follow the demand of simulated traffic."""

    def test_one_vm_with_all_traffic_refuses_nothing(self) -> None:
        """One VM with all traffic must get enough units to refuse none.

        Refusals in the first two seconds are allowed.
        """
        for burst in (50.0, 7.0):
            with self.subTest(burst=burst):
                fleet = make_fleet(7, rate=100.0, burst=burst)
                senders = [Sender(fleet, 'vm-1', 90.0, 60.0)]
                fakes.run_simulated(fleet.clock, send(fleet, senders))
                late = [time for time in senders[0].refused if time > 1002]
                self.assertEqual([], late)

    def test_traffic_that_moves_is_followed(self) -> None:
        """Units must follow traffic that moves to another VM."""
        fleet = make_fleet(7)

        async def scenario() -> Sender:
            await send(fleet, [Sender(fleet, 'vm-1', 80.0, 10.0)])
            moved = Sender(fleet, 'vm-2', 80.0, 20.0)
            await send(fleet, [moved])
            return moved

        moved = fakes.run_simulated(fleet.clock, scenario())
        late = [time for time in moved.refused if time > 1014]
        self.assertEqual([], late)
        self.assertLess(len(moved.refused), 16)

    def test_steady_traffic_needs_few_transfers(self) -> None:
        """With steady traffic, units must not move back and forth."""
        fleet = make_fleet(4)
        senders = [
            Sender(fleet, vm, rate, 30.0)
            for vm, rate in zip(sorted(fleet.nodes), (40, 20, 10, 5))
        ]
        fakes.run_simulated(fleet.clock, send(fleet, senders))
        self.assertEqual([], [s.refused for s in senders if s.refused])
        self.assertLess(fleet.peers.calls, 300)

    def test_lost_vm_costs_few_refusals(self) -> None:
        """At most 1% of requests are refused while a dead VM has units."""
        fleet = make_fleet(7)
        senders = [
            Sender(fleet, f'vm-{number}', rate, 15.0)
            for number, rate in enumerate((30, 10, 10, 5, 5), start=1)
        ]

        async def lose() -> None:
            await asyncio.sleep(3.0)
            fleet.kill('vm-7')
            await asyncio.sleep(5.0)
            fleet.commit_to_all()

        async def scenario() -> None:
            await asyncio.gather(send(fleet, senders), lose())

        fakes.run_simulated(fleet.clock, scenario())
        refused = sum(len(sender.refused) for sender in senders)
        sent = sum(sender.sent for sender in senders)
        self.assertLessEqual(refused, 0.01 * sent)

    def test_small_burst_gathers_a_whole_token(self) -> None:
        """A VM must gather the units for a whole token.

        The equal split of a small burst is less than one token on each VM.
        """
        for burst in (1.0, 3.0, 7.0):
            with self.subTest(burst=burst):
                fleet = make_fleet(7, rate=5.0, burst=burst)
                sender = Sender(fleet, 'vm-1', 1.0, 20.0)
                fakes.run_simulated(fleet.clock, send(fleet, [sender]))
                self.assertEqual([], sender.refused)

    def test_small_burst_reaches_two_vms(self) -> None:
        """Two VMs must not keep half a token each, which serves neither."""
        fleet = make_fleet(3, rate=10.0, burst=1.0)
        senders = [
            Sender(fleet, vm, 3.0, 30.0, wait_s=2.0) for vm in ('vm-1', 'vm-2')
        ]
        fakes.run_simulated(fleet.clock, send(fleet, senders))
        for sender in senders:
            with self.subTest(vm=sender.vm):
                self.assertLess(len(sender.refused), 0.1 * sender.sent)


class Sender:
    """Sends the account's requests to one VM and records refusals.

    ``refused`` holds the start times of refused requests.
    """

    def __init__(
        self,
        fleet: fakes.Fleet,
        vm: str,
        rate: float,
        seconds: float,
        wait_s: float = 0.25,
    ) -> None:
        self.fleet = fleet
        self.vm = vm
        self.rate = rate
        self.seconds = seconds
        self.wait_s = wait_s
        self.sent = 0
        self.refused: list[float] = []

    async def send_one(self) -> None:
        """Send one request."""
        started = self.fleet.clock.now()
        shares = self.fleet.nodes[self.vm].shares
        if not await shares.consume(fakes.ACCOUNT, 1.0, self.wait_s):
            self.refused.append(started)

    async def send(self) -> None:
        """Send requests at random intervals with the mean rate."""
        end = self.fleet.clock.now() + self.seconds
        tasks = []
        while self.fleet.clock.now() < end:
            self.sent += 1
            tasks.append(asyncio.create_task(self.send_one()))
            await asyncio.sleep(self.fleet.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)


async def send(fleet: fakes.Fleet, senders: list[Sender]) -> None:
    """Run senders while the fleet runs."""
    sending = [asyncio.create_task(sender.send()) for sender in senders]
    await fleet.run_for(max(sender.seconds for sender in senders) + 1.0)
    await asyncio.gather(*sending)
