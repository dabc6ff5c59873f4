"""Tests of the share system."""

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
    """Return a fleet whose members all know epoch 1."""
    fleet = fakes.Fleet(fakes.make_documents(rate, burst))
    fleet.start_epoch_1(count)
    return fleet


def units(fleet: fakes.Fleet) -> dict[str, int]:
    """Return the usable units of each VM."""
    now = fleet.clock.now()
    return {vm: node.units(now) for vm, node in fleet.nodes.items()}


def tokens(node: fakes.Node, now: float) -> float:
    """Return the tokens of a VM."""
    bucket = node.shares.table.get(fakes.ACCOUNT, now)
    return 0.0 if bucket is None else bucket.tokens


def make_ask(fleet: fakes.Fleet, vm: str, **changes: object) -> typing.Any:
    """Return a request of a VM that has all of the demand."""
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


async def ask(
    fleet: fakes.Fleet, vm: str, message: transport.Message
) -> tuple[int, float]:
    """Send a request for units to a VM; return units and tokens."""
    answer = await fleet.nodes[vm].shares.handle_unit_request(message)
    grant = answer.unwrap()
    return grant['units'], grant['tokens']


class TestSplit(unittest.TestCase):
    """Units are allotted by epoch."""

    def test_whole_is_split_equally(self) -> None:
        """Guards against units that exist twice or not at all."""
        for count, holders in ((1, 1), (7, 7), (16, 16), (17, 8), (40, 8)):
            with self.subTest(members=count):
                found = [part for part in units(make_fleet(count)).values()]
                self.assertEqual(sharing.UNITS_PER_RESOURCE, sum(found))
                held = [part for part in found if part]
                self.assertEqual(holders, len(held))
                self.assertLessEqual(max(held) - min(held), 1)

    def test_units_fall_at_once_and_rise_later(self) -> None:
        """Guards against a split that two epochs give at one time."""
        fleet = make_fleet(3)
        fleet.start('vm-4')
        fleet.commit_all()
        self.assertEqual([250_000] * 3 + [0], list(units(fleet).values()))
        fleet.clock.advance(fakes.L - 0.1)
        self.assertEqual(0, units(fleet)['vm-4'])
        fleet.clock.advance(0.2)
        self.assertEqual([250_000] * 4, list(units(fleet).values()))
        fleet.kill('vm-4')
        fleet.commit_all()
        self.assertEqual([250_000] * 3, list(units(fleet).values()))
        fleet.clock.advance(fakes.L + 0.1)
        self.assertEqual(
            sharing.UNITS_PER_RESOURCE, sum(units(fleet).values())
        )

    def test_gained_units_have_no_tokens(self) -> None:
        """Guards against a second burst of a dead VM's part."""
        fleet = make_fleet(3)
        self.assertAlmostEqual(20.0, tokens(fleet.nodes['vm-1'], 1000), 3)
        fleet.kill('vm-3')
        fleet.commit_all()
        now = fleet.clock.now() + fakes.L - 0.01
        self.assertAlmostEqual(20.0, tokens(fleet.nodes['vm-1'], now), 3)
        now += 0.12
        self.assertLess(tokens(fleet.nodes['vm-1'], now), 21.0)
        self.assertAlmostEqual(30.0, tokens(fleet.nodes['vm-1'], now + 9), 3)

    def test_process_that_joins_late_starts_empty(self) -> None:
        """Guards against a burst for each process that is replaced."""
        fleet = make_fleet(3)
        fleet.kill('vm-3')
        fleet.start('vm-3')
        fleet.commit_all()
        fleet.clock.advance(fakes.L + 0.01)
        found = tokens(fleet.nodes['vm-3'], fleet.clock.now())
        self.assertLess(found, 1.0)

    def test_process_outside_the_epoch_has_nothing(self) -> None:
        """Guards against a restarted process that keeps its units."""
        fleet = make_fleet(3)
        fleet.kill('vm-3')
        node = fleet.start('vm-3')
        node.learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(60.0)
        self.assertEqual(0, node.units(fleet.clock.now()))

    def test_missed_epochs_give_nothing_until_evidence_lapsed(self) -> None:
        """Guards against a VM that missed more epochs than a head keeps."""
        fleet = make_fleet(2)
        node = fleet.nodes['vm-2']
        for _ in range(config.FORMER_EPOCHS + 2):
            fleet.commit()
        node.learn(fleet.store, fleet.clock.now())
        self.assertEqual(0, node.units(fleet.clock.now()))
        fleet.clock.advance(fakes.L + 0.1)
        self.assertEqual(500_000, node.units(fleet.clock.now()))
        self.assertLess(tokens(node, fleet.clock.now()), 1.0)

    def test_link_and_unknown_resource(self) -> None:
        """Guards against resources of one kind only."""
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
                taken = shares.try_consume(resource, amount, now)
                self.assertEqual(expected, taken)


class TestTokens(unittest.TestCase):
    """Taking, waiting, charging and returning tokens."""

    def test_nothing_is_taken_while_not_fresh(self) -> None:
        """Guards against use by a VM that others count as stopped."""
        fleet = make_fleet(2)
        node = fleet.nodes['vm-1']
        node.freshness.stopped = True
        now = fleet.clock.now()
        self.assertFalse(node.shares.try_consume(fakes.ACCOUNT, 1.0, now))
        taken = node.shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        self.assertFalse(fakes.run(fleet.clock, taken))

    def test_charge_goes_below_zero_and_is_paid_back(self) -> None:
        """Guards against bytes that are used and never counted."""
        fleet = make_fleet(1)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        shares.charge(fakes.ACCOUNT, 70.0, now)
        self.assertAlmostEqual(0.11, shares.retry_after_s(fakes.ACCOUNT, now))
        self.assertFalse(shares.try_consume(fakes.ACCOUNT, 1.0, now + 0.1))
        self.assertTrue(shares.try_consume(fakes.ACCOUNT, 1.0, now + 0.12))

    def test_bucket_in_debt_gives_nothing(self) -> None:
        """Guards against a debt that stays behind without its refill."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-2'].shares
        shares.charge(fakes.ACCOUNT, 70.0, fleet.clock.now())
        given = ask(fleet, 'vm-2', make_ask(fleet, 'vm-1'))
        self.assertEqual((0, 0.0), fakes.run(fleet.clock, given))

    def test_give_back_is_bounded_by_the_burst(self) -> None:
        """Guards against a bucket above its burst."""
        fleet = make_fleet(1)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        shares.refund(fakes.ACCOUNT, 100.0, now)
        self.assertEqual(60.0, tokens(fleet.nodes['vm-1'], now))
        self.assertEqual(0.05, shares.retry_after_s(fakes.ACCOUNT, now))

    def test_first_come_first_served(self) -> None:
        """Guards against a request that overtakes one that waits."""
        fleet = make_fleet(1, rate=10.0, burst=2.0)
        shares = fleet.nodes['vm-1'].shares
        order: list[int] = []

        async def one(number: int, amount: float) -> None:
            if await shares.consume(fakes.ACCOUNT, amount, 0.5):
                order.append(number)

        async def scenario() -> None:
            shares.charge(fakes.ACCOUNT, 2.0, fleet.clock.now())
            first = asyncio.create_task(one(1, 2.0))
            await asyncio.sleep(0.15)
            await asyncio.gather(first, one(2, 1.0))

        fakes.run(fleet.clock, scenario())
        self.assertEqual([1, 2], order)

    def test_wait_ends_in_time(self) -> None:
        """Guards against requests that wait beyond their time limit."""
        fleet = make_fleet(1, rate=1.0, burst=1.0)
        shares = fleet.nodes['vm-1'].shares
        shares.charge(fakes.ACCOUNT, 1.0, fleet.clock.now())
        started = fleet.clock.now()
        taken = shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        self.assertFalse(fakes.run(fleet.clock, taken))
        self.assertAlmostEqual(0.25, fleet.clock.now() - started, 3)

    def test_more_than_the_burst_is_refused_at_once(self) -> None:
        """Guards against units gathered for what can never be taken."""
        fleet = make_fleet(3)
        started = fleet.clock.now()
        taken = fleet.nodes['vm-1'].shares.consume(fakes.ACCOUNT, 61.0, 0.25)
        self.assertFalse(fakes.run(fleet.clock, taken))
        self.assertEqual(started, fleet.clock.now())
        self.assertEqual(0, fleet.peers.calls)

    def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against tokens lost to a caller that went away."""
        fleet = make_fleet(1, rate=10.0, burst=1.0)
        shares = fleet.nodes['vm-1'].shares

        async def scenario() -> bool:
            shares.charge(fakes.ACCOUNT, 1.0, fleet.clock.now())
            gone = asyncio.create_task(shares.consume(fakes.ACCOUNT, 1, 1.0))
            await asyncio.sleep(0.01)
            gone.cancel()
            return await shares.consume(fakes.ACCOUNT, 1.0, 0.15)

        self.assertTrue(fakes.run(fleet.clock, scenario()))


class TestTransfers(unittest.IsolatedAsyncioTestCase):
    """Transfers conserve units and tokens."""

    async def test_repeated_request_gets_the_first_answer(self) -> None:
        """Guards against a second debit after a lost answer."""
        fleet = make_fleet(2)
        message = make_ask(fleet, 'vm-1')
        first = await ask(fleet, 'vm-2', message)
        self.assertGreater(first[0], 0)
        self.assertEqual(first, await ask(fleet, 'vm-2', message))
        self.assertEqual(500_000 - first[0], units(fleet)['vm-2'])

    async def test_delayed_older_request_takes_nothing(self) -> None:
        """Guards against units debited for an answer nobody waits for."""
        fleet = make_fleet(2)
        await ask(fleet, 'vm-2', make_ask(fleet, 'vm-1', transfer_id=2))
        left = units(fleet)['vm-2']
        message = make_ask(fleet, 'vm-1', transfer_id=1)
        self.assertEqual((0, 0.0), await ask(fleet, 'vm-2', message))
        self.assertEqual(left, units(fleet)['vm-2'])

    async def test_refused(self) -> None:
        """Guards against giving under other rules than the asker's."""
        fleet = make_fleet(2)
        cases: list[dict[str, typing.Any]] = [
            {'epoch': ['2-0000000000000000']},
            {'epoch': []},
            {'resource': 'client_account/none'},
        ]
        for changes in cases:
            with self.subTest(changes=changes):
                message = make_ask(fleet, 'vm-1', **changes)
                self.assertEqual((0, 0.0), await ask(fleet, 'vm-2', message))
        fleet.nodes['vm-2'].freshness.stopped = True
        message = make_ask(fleet, 'vm-1', transfer_id=2)
        self.assertEqual((0, 0.0), await ask(fleet, 'vm-2', message))

    async def test_bad_message(self) -> None:
        """Guards against a message that stops the system."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-2'].shares
        bad = [{}, make_ask(fleet, 'vm-1', units=-1), {'vm': 1}]
        for handler in (shares.handle_unit_request, shares.handle_push):
            for message in bad:
                with self.subTest(handler=handler, message=message):
                    answer = await handler(message)
                    self.assertIsInstance(answer, result.Err)
                    kind = answer.unwrap_err().kind
                    self.assertEqual(errors.ErrorKind.BAD_REQUEST, kind)

    async def test_restarted_giver_gives_nothing(self) -> None:
        """Guards against a new process that gives the former one's units."""
        fleet = make_fleet(2)
        message = make_ask(fleet, 'vm-1')
        fleet.kill('vm-2')
        node = fleet.start('vm-2')
        node.learn(fleet.store, fleet.clock.now())
        self.assertEqual((0, 0.0), await ask(fleet, 'vm-2', message))

    async def test_answer_after_an_epoch_change(self) -> None:
        """Guards against a credit under an epoch that is not in force."""
        fleet = make_fleet(2)
        bucket = fleet.nodes['vm-1'].shares.table.get(fakes.ACCOUNT, 1000.0)
        assert bucket is not None
        message = make_ask(fleet, 'vm-1')
        given, _ = await ask(fleet, 'vm-2', message)
        fleet.commit_all()
        bucket = fleet.nodes['vm-1'].shares.table.get(fakes.ACCOUNT, 1000.0)
        assert bucket is not None
        bucket.try_consume(bucket.tokens)
        bucket.credit(given, 5.0, message['epoch'])
        # The newer epoch was not part of the transfer.
        self.assertEqual(500_000, bucket.units)
        self.assertEqual(0.0, bucket.tokens)
        self.assertLessEqual(
            sum(units(fleet).values()), sharing.UNITS_PER_RESOURCE
        )
        fleet.clock.advance(fakes.L + 0.1)
        self.assertEqual([500_000] * 2, list(units(fleet).values()))

    async def test_pending_epoch_is_debited_too(self) -> None:
        """Guards against units given away that a pending epoch restores."""
        fleet = make_fleet(2)
        head = fleet.store.commit(
            [(node.vm, node.incarnation) for node in fleet.nodes.values()],
            fleet.clock.now(),
        )
        view = fleet.store.view(head)
        proposal = config.Proposal(10, view.head, {})
        fleet.nodes['vm-1'].views.propose(proposal, view)
        message = make_ask(fleet, 'vm-1')
        self.assertEqual(2, len(message['epoch']))
        self.assertEqual((0, 0.0), await ask(fleet, 'vm-2', message))
        fleet.nodes['vm-2'].views.propose(proposal, view)
        message['transfer_id'] = 2
        given, _ = await ask(fleet, 'vm-2', message)
        self.assertGreater(given, 0)
        fleet.nodes['vm-2'].learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(fakes.L + 0.1)
        self.assertEqual(500_000 - given, units(fleet)['vm-2'])

    async def test_pending_epoch_that_returns(self) -> None:
        """Guards against a debit forgotten while an epoch is not pending."""
        fleet = make_fleet(2)
        head = fleet.store.commit(
            [(node.vm, node.incarnation) for node in fleet.nodes.values()],
            fleet.clock.now(),
        )
        view = fleet.store.view(head)
        proposal = config.Proposal(10, view.head, {})
        for node in fleet.nodes.values():
            node.views.propose(proposal, view)
        given, _ = await ask(fleet, 'vm-2', make_ask(fleet, 'vm-1'))
        giver = fleet.nodes['vm-2']
        giver.views.pending.clear()
        fleet.clock.advance(1.0)
        giver.units(fleet.clock.now())
        giver.learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(fakes.L + 0.1)
        self.assertEqual(500_000 - given, units(fleet)['vm-2'])

    async def test_proportion(self) -> None:
        """Guards against units that do not follow the demand of both."""
        for mine, theirs, low, high in (
            (0.0, 90.0, 480_000, 500_000),
            (25.0, 75.0, 240_000, 260_000),
            (50.0, 50.0, 0, 3_000),
            (75.0, 25.0, 0, 0),
        ):
            with self.subTest(mine=mine, theirs=theirs):
                fleet = make_fleet(2)
                giver = fleet.nodes['vm-2'].shares
                now = fleet.clock.now()
                bucket = giver.table.get(fakes.ACCOUNT, now)
                assert bucket is not None
                bucket.demand.record(mine * 2.0, now)
                message = make_ask(fleet, 'vm-1', demand=theirs, want=0.0)
                given, _ = await ask(fleet, 'vm-2', message)
                self.assertGreaterEqual(given, low)
                self.assertLessEqual(given, high)


class TestHandOver(unittest.TestCase):
    """A planned stop gives the units to peers."""

    def test_units_and_tokens_reach_peers(self) -> None:
        """Guards against an account that lacks a stopped VM's part."""
        fleet = make_fleet(3)
        shares = fleet.nodes['vm-3'].shares
        fakes.run(fleet.clock, shares.hand_over())
        self.assertEqual([500_001, 499_999, 0], list(units(fleet).values()))
        found = tokens(fleet.nodes['vm-1'], fleet.clock.now())
        self.assertAlmostEqual(30.0, found, 2)

    def test_refused_push_goes_to_another_peer(self) -> None:
        """Guards against units that a stale peer takes out of use."""
        fleet = make_fleet(3)
        fleet.nodes['vm-1'].freshness.stopped = True
        fakes.run(fleet.clock, fleet.nodes['vm-3'].shares.hand_over())
        fleet.nodes['vm-1'].freshness.stopped = False
        self.assertEqual([333_334, 666_666, 0], list(units(fleet).values()))

    def test_lost_answer_credits_once(self) -> None:
        """Guards against a push whose retries add units again."""
        fleet = make_fleet(2)
        fleet.peers.answer_lost.add(('vm-1', PUSH_PATH))
        fakes.run(fleet.clock, fleet.nodes['vm-2'].shares.hand_over())
        self.assertEqual(
            [sharing.UNITS_PER_RESOURCE, 0], list(units(fleet).values())
        )

    def test_delayed_copy_of_a_refused_push(self) -> None:
        """Guards against a credit for units that the giver took back."""
        fleet = make_fleet(2)
        node = fleet.nodes['vm-1']
        message: transport.Message = {
            'vm': 'vm-2',
            'incarnation': fleet.nodes['vm-2'].incarnation,
            'transfer_id': 1,
            'epoch': make_ask(fleet, 'vm-2')['epoch'],
            'grants': {fakes.ACCOUNT: {'units': 500_000, 'tokens': 1.0}},
        }

        async def push() -> bool:
            answer = await node.shares.handle_push(message)
            return bool(answer.unwrap()['accepted'])

        node.freshness.stopped = True
        self.assertFalse(fakes.run(fleet.clock, push()))
        node.freshness.stopped = False
        self.assertFalse(fakes.run(fleet.clock, push()))
        self.assertEqual(500_000, units(fleet)['vm-1'])


class TestHeartbeat(unittest.TestCase):
    """Units and demand in the heartbeat."""

    def test_only_resources_off_their_rest(self) -> None:
        """Guards against a heartbeat that grows with idle accounts."""
        fleet = make_fleet(2)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        self.assertEqual({'resources': {}}, shares.payload(now))
        shares.try_consume(fakes.ACCOUNT, 1.0, now)
        rows = shares.payload(now)['resources']
        self.assertEqual([fakes.ACCOUNT], list(rows))
        self.assertEqual(500_000, rows[fakes.ACCOUNT]['units'])

    def test_size_is_bounded(self) -> None:
        """Guards against heartbeats that grow with busy accounts."""
        documents = fakes.make_documents()
        accounts = documents[config.Kind.CLIENT_ACCOUNT]
        for number in range(200):
            accounts[f'a{number}'] = accounts['acme']
        fleet = fakes.Fleet(documents)
        fleet.start_epoch_1(2)
        shares = fleet.nodes['vm-1'].shares
        now = fleet.clock.now()
        for number in range(200):
            amount = float(number + 1)
            shares.try_consume(f'client_account/a{number}', amount, now)
        rows = shares.payload(now)['resources']
        self.assertEqual(128, len(rows))
        self.assertIn('client_account/a199', rows)

    def test_unreadable_part_is_ignored(self) -> None:
        """Guards against a peer's wrong heartbeat that stops this VM."""
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
    """Units move to where the demand is; simulated traffic."""

    def test_one_vm_with_all_traffic_refuses_nothing(self) -> None:
        """Guards against wrongful refusals when traffic is uneven."""
        for burst in (50.0, 7.0):
            with self.subTest(burst=burst):
                fleet = make_fleet(7, rate=100.0, burst=burst)
                senders = [Sender(fleet, 'vm-1', 90.0, 60.0)]
                fakes.run(fleet.clock, send(fleet, senders))
                late = [time for time in senders[0].refused if time > 1002]
                self.assertEqual([], late)

    def test_traffic_that_moves_is_followed(self) -> None:
        """Guards against units that stay where the demand was."""
        fleet = make_fleet(7)

        async def scenario() -> Sender:
            await send(fleet, [Sender(fleet, 'vm-1', 80.0, 10.0)])
            moved = Sender(fleet, 'vm-2', 80.0, 20.0)
            await send(fleet, [moved])
            return moved

        moved = fakes.run(fleet.clock, scenario())
        late = [time for time in moved.refused if time > 1014]
        self.assertEqual([], late)
        self.assertLess(len(moved.refused), 16)

    def test_even_traffic_settles(self) -> None:
        """Guards against units that go back and forth."""
        fleet = make_fleet(4)
        senders = [
            Sender(fleet, vm, rate, 30.0)
            for vm, rate in zip(sorted(fleet.nodes), (40, 20, 10, 5))
        ]
        fakes.run(fleet.clock, send(fleet, senders))
        self.assertEqual([], [s.refused for s in senders if s.refused])
        self.assertLess(fleet.peers.calls, 300)

    def test_lost_vm_costs_few_refusals(self) -> None:
        """Guards against refusals while a dead VM's units are missing."""
        fleet = make_fleet(7)
        senders = [
            Sender(fleet, f'vm-{number}', rate, 15.0)
            for number, rate in enumerate((30, 10, 10, 5, 5), start=1)
        ]

        async def lose() -> None:
            await asyncio.sleep(3.0)
            fleet.kill('vm-7')
            await asyncio.sleep(5.0)
            fleet.commit_all()

        async def scenario() -> None:
            await asyncio.gather(send(fleet, senders), lose())

        fakes.run(fleet.clock, scenario())
        refused = sum(len(sender.refused) for sender in senders)
        sent = sum(sender.sent for sender in senders)
        self.assertLessEqual(refused, 0.01 * sent)

    def test_small_burst_gathers_a_whole_token(self) -> None:
        """Guards against an account whose tokens exist only in parts."""
        for burst in (1.0, 3.0, 7.0):
            with self.subTest(burst=burst):
                fleet = make_fleet(7, rate=5.0, burst=burst)
                sender = Sender(fleet, 'vm-1', 1.0, 20.0)
                fakes.run(fleet.clock, send(fleet, [sender]))
                self.assertEqual([], sender.refused)

    def test_small_burst_reaches_two_vms(self) -> None:
        """Guards against two VMs that keep half a token each."""
        fleet = make_fleet(3, rate=10.0, burst=1.0)
        senders = [
            Sender(fleet, vm, 3.0, 30.0, wait_s=2.0) for vm in ('vm-1', 'vm-2')
        ]
        fakes.run(fleet.clock, send(fleet, senders))
        for sender in senders:
            with self.subTest(vm=sender.vm):
                self.assertLess(len(sender.refused), 0.1 * sender.sent)


class Sender:
    """Sends requests of the account to one VM and notes refusals."""

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

    async def one(self) -> None:
        """Send one request."""
        started = self.fleet.clock.now()
        shares = self.fleet.nodes[self.vm].shares
        if not await shares.consume(fakes.ACCOUNT, 1.0, self.wait_s):
            self.refused.append(started)

    async def send(self) -> None:
        """Send requests at random intervals."""
        end = self.fleet.clock.now() + self.seconds
        tasks = []
        while self.fleet.clock.now() < end:
            self.sent += 1
            tasks.append(asyncio.create_task(self.one()))
            await asyncio.sleep(self.fleet.rng.expovariate(self.rate))
        await asyncio.gather(*tasks)


async def send(fleet: fakes.Fleet, senders: list[Sender]) -> None:
    """Run senders while the fleet ticks."""
    sending = [asyncio.create_task(sender.send()) for sender in senders]
    await fleet.go_on(max(sender.seconds for sender in senders) + 1.0)
    await asyncio.gather(*sending)
