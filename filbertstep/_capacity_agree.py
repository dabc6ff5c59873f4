"""Measurements of tickets, the head record, intents and burn rows.

Burn rows are the request counts by minute for the error budget report.
"""

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

ConfigSize = _capacity_world.ConfigSize
FigureValues = _capacity_fit.FigureValues

# Size of the body of a stored response to a booking.
STORED_ANSWER_BYTES: typing.Final = 512

PROMISE_PATH: typing.Final = '/peer/promise'
HEARTBEAT_PATH: typing.Final = '/peer/heartbeat'


class WitnessGroup:
    """Witnesses in one process, each in an availability zone of its own."""

    def __init__(self, count: int) -> None:
        self.store = _capacity_world.CountingStore()
        self.peers = _capacity_world.InProcessPeers()
        self.agreements: list[agreement.Agreement] = []
        system_clock = clock.SystemClock()
        for number in range(count):
            member = config.Member(
                f'vm-{number}', f'{number:012x}', 'region-0', f'zone-{number}'
            )
            member_agreement = agreement.Agreement(
                agreement.Identity(*member, f'u{number}', f'p{number}'),
                system_clock,
                self.store,
                agreement.FakeVmList(),
                self.peers,
                config.ViewTable(),
                (),
                lambda: 0.0,
                random.Random(number),
            )
            member_agreement.state = 'serving'
            self.agreements.append(member_agreement)
            self.peers.handlers[member.vm] = member_agreement.handlers()

    async def set_up(self) -> None:
        """Store a head that names all as witnesses, and have all read it.

        Then each witness sends a heartbeat to every other witness.
        """
        members = [
            config.Member(
                witness.identity.vm,
                witness.identity.incarnation,
                witness.identity.region,
                witness.identity.availability_zone,
            )
            for witness in self.agreements
        ]
        rows = {member.vm: member for member in members}
        newest = config.Epoch(1, rows, tuple(sorted(rows)))
        documents = _capacity_world.config_documents(ConfigSize())
        for key, value in _capacity_world.encode_sections(documents).items():
            await self.store.put_cas(key, value, 0)
        head = _capacity_world.build_head(documents, newest)
        await self.store.put_cas(config.HEAD_KEY, codec.encode(head), 0)
        for witness in self.agreements:
            (await witness.learner.read_head()).unwrap()
        for witness in self.agreements:
            for other in rows:
                if other != witness.identity.vm:
                    await witness.send_heartbeat(other)


async def run_ticket(witnesses: int) -> FigureValues:
    """Measure one ticket that changes one client account."""
    group = WitnessGroup(witnesses)
    await group.set_up()
    proposer = group.agreements[0]
    state = {'rate': 101.0, 'burst': 200.0, 'services': ['service-0']}
    change = {'kind': 'client_account', 'name': 'account-0', 'state': state}
    for counts_by_path in (
        group.peers.calls_by_path,
        group.peers.body_bytes_by_path,
    ):
        counts_by_path.clear()
    store_calls_before, written_bytes_before = (
        group.store.calls,
        group.store.written_bytes,
    )
    timer = _capacity_fit.CpuTimer()
    submitted = await proposer.submit_ticket(
        {'number': 2, 'author': 'operator', 'changes': [change]}
    )
    cpu_us = timer.lap_us()
    if submitted.unwrap().state not in ('committed', 'accepted'):
        raise AssertionError('the ticket was neither committed nor accepted')
    return {
        'promise_calls': float(group.peers.calls_by_path.get(PROMISE_PATH, 0)),
        'promise_bytes': float(
            group.peers.body_bytes_by_path.get(PROMISE_PATH, 0)
        ),
        'store_calls': float(group.store.calls - store_calls_before),
        'store_written_bytes': float(
            group.store.written_bytes - written_bytes_before
        ),
        'cpu_ms': cpu_us / 1000,
    }


def measure_ticket(size: int) -> FigureValues:
    """Measure a ticket for a number of witnesses."""
    return uvloop.run(run_ticket(size))


def measure_head(size: int) -> FigureValues:
    """Measure the head record for a number of members.

    It has as many former epochs as a head record can hold.
    """
    members = [
        _capacity_world.build_member(number, 11) for number in range(size)
    ]
    newest = config.epoch_to_doc(_capacity_world.build_epoch(9, members))
    head = _capacity_world.build_head(
        _capacity_world.config_documents(ConfigSize()), config.NO_EPOCH
    )
    head['epoch'] = newest
    bytes_without_former_epochs = len(codec.encode(head))
    head['former_epochs'] = [newest] * config.MAX_FORMER_EPOCHS
    value = codec.encode(head)
    timer = _capacity_fit.CpuTimer()
    decoded = codec.decode(value, config.HeadDoc).unwrap()
    decode_us = timer.lap_us()
    config.make_view(1, {**decoded, 'sections': {}}, {})
    view_us = timer.lap_us()
    return {
        'bytes': float(len(value)),
        'bytes_without_former': float(bytes_without_former_epochs),
        'decode_ms': decode_us / 1000,
        'make_view_ms': view_us / 1000,
    }


async def run_intents(orders: int) -> FigureValues:
    """Measure intents of orders that one VM owns and another backs up."""
    peers = _capacity_world.InProcessPeers()
    system_clock = clock.SystemClock()
    owner = delivery.IntentSystem('vm-0', 'a' * 12, system_clock, peers)
    backup = delivery.IntentSystem('vm-1', 'b' * 12, system_clock, peers)
    peers.handlers['vm-1'] = backup.handlers()
    grant = delivery.Grant(
        'vm-0',
        'a' * 12,
        'vm-1',
        'b' * 12,
        delivery.minute_of(system_clock.now()),
    )
    response = delivery.StoredResponse(
        201,
        (('Content-Type', 'application/json'),),
        b'x' * STORED_ANSWER_BYTES,
    )
    request_ids = [
        delivery.format_request_id(
            delivery.RequestId(grant, uuid.UUID(int=number).hex)
        )
        for number in range(orders)
    ]

    async def run_orders() -> None:
        for request_id in request_ids:
            digest = f'{hash(request_id) & 0xFFFFFFFFFFFFFFFF:064x}'
            decision = await owner.begin('account-0', request_id, digest)
            if not decision.unwrap().should_run:
                raise AssertionError('the owner refused to run the order')
            await owner.finish('account-0', request_id, response)
        await owner.flush(10.0)

    timer = _capacity_fit.CpuTimer()
    await run_orders()
    cpu_us = timer.lap_us()
    path = delivery.INTENT_PATH
    return {
        'cpu_ms': cpu_us / 1000,
        'calls': float(peers.calls_by_path[path]),
        'body_bytes': float(peers.body_bytes_by_path[path]),
        'backup_kib': measure_intent_table_kib(
            request_ids, response, system_clock.now()
        ),
    }


def measure_intent_table_kib(
    request_ids: list[str], response: delivery.StoredResponse, now: float
) -> float:
    """Measure the memory of the backup's intent records in KiB."""

    def fill_table() -> delivery.IntentTable:
        table = delivery.IntentTable()
        for number, request_id in enumerate(request_ids):
            # Creates a new string, as decoding a message does.
            key = ('account-0', request_id[:1] + request_id[1:])
            digest = f'{number:064x}'
            minute = delivery.minute_of(now)
            table.apply(delivery.Event.INTEND, key, minute, digest, now)
            body = bytes(bytearray(response.body))
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

    _, kept_mib, _ = _capacity_blocks.trace_memory(fill_table)
    return kept_mib * 1024


def measure_intents(size: int) -> FigureValues:
    """Measure a number of orders."""
    return asyncio.run(run_intents(size))


def measure_burn(size: int) -> FigureValues:
    """Measure the burn rows of one minute: counting, export and report.

    There is a row for each service and each of ``size`` client accounts.
    """
    documents = _capacity_world.config_documents(ConfigSize(accounts=size))
    configuration = config.build_config(documents)

    def fill_table() -> burn.BurnTable:
        table = burn.BurnTable(0.0)
        for number in range(size):
            for service in configuration.services:
                key = burn.RowKey(service, f'account-{number}', 'region-0')
                table.count(key, None, True, 30.0)
        return table

    table, kept_mib, _ = _capacity_blocks.trace_memory(fill_table)
    rows = size * len(configuration.services)
    timer = _capacity_fit.CpuTimer()
    body = codec.encode({'minutes': table.export(60.0)})
    export_us = timer.lap_us()
    exports = [table.export(60.0)]
    timer = _capacity_fit.CpuTimer()
    merged = burn.merge_exports(exports)
    merge_us = timer.lap_us()
    burn.build_report(merged, configuration, ['vm-0'], [], 1.0)
    report_us = timer.lap_us()
    key = burn.RowKey('service-0', 'account-0', 'region-0')
    count_us = _capacity_fit.cpu_us_per_call(
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
        _capacity_world.TARGET_ZONES,
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
        _capacity_world.TARGET_NODES,
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
        # 60 orders a second for one backup, whose records last 20 minutes.
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
        _capacity_world.TARGET_ACCOUNTS,
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
