"""Measurements of tickets, the head record, intents and burn rows."""

import asyncio
import random
import typing
import uuid

import uvloop

from filbertstep import _capacity_blocks
from filbertstep import _capacity_fit
from filbertstep import _capacity_world
from filbertstep import agreement
from filbertstep import burn
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import delivery

Size = _capacity_world.Size
Values = _capacity_fit.Values

# A booking's answer as stored at the backup, in bytes of its body.
ANSWER_BYTES: typing.Final = 512

PROMISE_PATH: typing.Final = '/peer/promise'
HEARTBEAT_PATH: typing.Final = '/peer/heartbeat'


class Group:
    """Witnesses in one process, each alone in its availability zone."""

    def __init__(self, count: int) -> None:
        self.store = _capacity_world.CountingStore()
        self.peers = _capacity_world.WirePeers()
        self.agreements: list[agreement.Agreement] = []
        ticks = clock.SystemClock()
        for number in range(count):
            one = config.Member(
                f'vm-{number}', f'{number:012x}', 'region-0', f'zone-{number}'
            )
            made = agreement.Agreement(
                agreement.Identity(*one, f'u{number}', f'p{number}'),
                ticks,
                self.store,
                agreement.FakeVmList(),
                self.peers,
                config.ViewTable(),
                (),
                lambda: 0.0,
                random.Random(number),
            )
            made.state = 'serving'
            self.agreements.append(made)
            self.peers.handlers[one.vm] = made.handlers()

    async def begin(self) -> None:
        """Put the first head with all as witnesses into the store."""
        members = [
            config.Member(
                one.identity.vm,
                one.identity.incarnation,
                one.identity.region,
                one.identity.availability_zone,
            )
            for one in self.agreements
        ]
        rows = {row.vm: row for row in members}
        newest = config.Epoch(1, rows, tuple(sorted(rows)))
        documents = _capacity_world.documents(Size())
        for key, value in _capacity_world.sections(documents).items():
            await self.store.put_cas(key, value, 0)
        head = _capacity_world.head(documents, newest)
        await self.store.put_cas(config.HEAD_KEY, codec.encode(head), 0)
        for one in self.agreements:
            (await one.learner.read_head()).unwrap()
        for one in self.agreements:
            for other in rows:
                if other != one.identity.vm:
                    await one.send_heartbeat(other)


async def ticket(witnesses: int) -> Values:
    """Measure one ticket that changes one account."""
    group = Group(witnesses)
    await group.begin()
    proposer = group.agreements[0]
    state = {'rate': 101.0, 'burst': 200.0, 'services': ['service-0']}
    change = {'kind': 'client_account', 'name': 'account-0', 'state': state}
    for counts in (group.peers.calls, group.peers.bytes):
        counts.clear()
    calls, written = group.store.calls, group.store.written_bytes
    watch = _capacity_fit.Stopwatch()
    submitted = await proposer.submit_ticket(
        {'number': 2, 'author': 'operator', 'changes': [change]}
    )
    spent_us = watch.us()
    if submitted.unwrap().state not in ('committed', 'accepted'):
        raise AssertionError('the ticket was not committed')
    return {
        'promise_calls': float(group.peers.calls.get(PROMISE_PATH, 0)),
        'promise_bytes': float(group.peers.bytes.get(PROMISE_PATH, 0)),
        'store_calls': float(group.store.calls - calls),
        'store_written_bytes': float(group.store.written_bytes - written),
        'cpu_ms': spent_us / 1000,
    }


def measure_ticket(size: int) -> Values:
    """Measure a ticket by witnesses."""
    return uvloop.run(ticket(size))


def measure_head(size: int) -> Values:
    """Measure the head record by members, with its former epochs."""
    members = [_capacity_world.member(one, 11) for one in range(size)]
    newest = config.epoch_to_doc(_capacity_world.epoch(9, members))
    head = _capacity_world.head(
        _capacity_world.documents(Size()), config.NO_EPOCH
    )
    head['epoch'] = newest
    alone = len(codec.encode(head))
    head['former_epochs'] = [newest] * config.MAX_FORMER_EPOCHS
    value = codec.encode(head)
    watch = _capacity_fit.Stopwatch()
    decoded = codec.decode(value, config.HeadDoc).unwrap()
    decode_us = watch.us()
    config.make_view(1, {**decoded, 'sections': {}}, {})
    view_us = watch.us()
    return {
        'bytes': float(len(value)),
        'bytes_without_former': float(alone),
        'decode_ms': decode_us / 1000,
        'make_view_ms': view_us / 1000,
    }


async def intents(orders: int) -> Values:
    """Measure orders that one VM owns and another backs up."""
    peers = _capacity_world.WirePeers()
    ticks = clock.SystemClock()
    owner = delivery.IntentSystem('vm-0', 'a' * 12, ticks, peers)
    backup = delivery.IntentSystem('vm-1', 'b' * 12, ticks, peers)
    peers.handlers['vm-1'] = backup.handlers()
    grant = delivery.Grant(
        'vm-0', 'a' * 12, 'vm-1', 'b' * 12, delivery.minute_of(ticks.now())
    )
    answer = delivery.StoredResponse(
        201, (('Content-Type', 'application/json'),), b'x' * ANSWER_BYTES
    )
    ids = [
        delivery.format_request_id(
            delivery.RequestId(grant, uuid.UUID(int=number).hex)
        )
        for number in range(orders)
    ]

    async def run() -> None:
        for request_id in ids:
            digest = f'{hash(request_id) & 0xFFFFFFFFFFFFFFFF:064x}'
            begun = await owner.begin('account-0', request_id, digest)
            if not begun.unwrap().should_run:
                raise AssertionError('the order must not run')
            await owner.finish('account-0', request_id, answer)
        await owner.flush(10.0)

    watch = _capacity_fit.Stopwatch()
    await run()
    spent_us = watch.us()
    path = delivery.INTENT_PATH
    return {
        'cpu_ms': spent_us / 1000,
        'calls': float(peers.calls[path]),
        'body_bytes': float(peers.bytes[path]),
        'backup_kib': intent_table_kib(ids, answer, ticks.now()),
    }


def intent_table_kib(
    ids: list[str], answer: delivery.StoredResponse, now: float
) -> float:
    """Weigh the backup's records of orders."""

    def fill() -> delivery.IntentTable:
        table = delivery.IntentTable()
        for position, request_id in enumerate(ids):
            # Texts of their own, as decoded from a message.
            key = ('account-0', request_id[:1] + request_id[1:])
            digest = f'{position:064x}'
            minute = delivery.minute_of(now)
            table.apply(delivery.Event.INTEND, key, minute, digest, now)
            body = bytes(bytearray(answer.body))
            table.apply(
                delivery.Event.FINISH,
                key,
                minute,
                digest,
                now,
                delivery.StoredResponse(
                    201, (('Content-Type', 'application/json'),), body
                ),
            )
        return table

    _, kept_mib, _ = _capacity_blocks.memory(fill)
    return kept_mib * 1024


def measure_intents(size: int) -> Values:
    """Measure orders by their number."""
    return asyncio.run(intents(size))


def measure_burn(size: int) -> Values:
    """Measure rows of one minute, their count, export and report."""
    documents = _capacity_world.documents(Size(accounts=size))
    rules = config.build_config(documents)

    def fill() -> burn.BurnTable:
        table = burn.BurnTable(0.0)
        for number in range(size):
            for service in rules.services:
                key = burn.RowKey(service, f'account-{number}', 'region-0')
                table.count(key, None, True, 30.0)
        return table

    table, kept_mib, _ = _capacity_blocks.memory(fill)
    rows = size * len(rules.services)
    watch = _capacity_fit.Stopwatch()
    body = codec.encode({'minutes': table.export(60.0)})
    export_us = watch.us()
    exports = [table.export(60.0)]
    watch = _capacity_fit.Stopwatch()
    merged = burn.merge_exports(exports)
    merge_us = watch.us()
    burn.build_report(merged, rules, ['vm-0'], [], 1.0)
    report_us = watch.us()
    key = burn.RowKey('service-0', 'account-0', 'region-0')
    count_us = _capacity_fit.cost_us(
        lambda: table.count(key, None, True, 30.0), 1000
    )
    return {
        'rows': float(rows),
        'kept_kib': kept_mib * 1024,
        'export_bytes': float(len(body)),
        'export_ms': export_us / 1000,
        'merge_ms': merge_us / 1000,
        'report_ms': report_us / 1000,
        'count_us': count_us,
    }


EXPERIMENTS: typing.Final = (
    _capacity_fit.Experiment(
        'ticket',
        'witnesses',
        (3, 9, 18, 37),
        (2, 3, 4, 5),
        _capacity_world.ZONES,
        {
            'promise_calls': 'calls',
            'promise_bytes': 'bytes of bodies, both ways',
            'store_calls': 'calls',
            'store_written_bytes': 'bytes',
            'cpu_ms': 'ms, all processes together',
        },
        measure_ticket,
    ),
    _capacity_fit.Experiment(
        'head',
        'members',
        (7, 64, 256, 1024),
        (2, 3, 4, 5),
        _capacity_world.NODES,
        {
            'bytes': 'bytes',
            'bytes_without_former': 'bytes',
            'decode_ms': 'ms',
            'make_view_ms': 'ms',
        },
        measure_head,
    ),
    _capacity_fit.Experiment(
        'intents',
        'orders',
        (100, 250, 500, 1000),
        (5, 10, 15, 20),
        # 60 orders a second to one backup for the 20 minutes of a record.
        72_000,
        {
            'cpu_ms': 'ms, owner and backup, without HTTP',
            'calls': 'calls',
            'body_bytes': 'bytes of bodies, both ways',
            'backup_kib': 'KiB',
        },
        measure_intents,
    ),
    _capacity_fit.Experiment(
        'burn',
        'client accounts',
        (8, 128, 512, 2048),
        (2, 3, 4, 5),
        _capacity_world.ACCOUNTS,
        {
            'rows': 'rows a minute',
            'kept_kib': 'KiB a minute',
            'export_bytes': 'bytes a minute',
            'export_ms': 'ms a minute of rows',
            'merge_ms': 'ms a minute of rows and VM',
            'report_ms': 'ms a minute of rows',
            'count_us': 'us a request',
        },
        measure_burn,
    ),
)
