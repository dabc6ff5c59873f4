"""Measurements of client blocks, the configuration and prepared answers."""

import collections.abc
import functools
import random
import time
import tracemalloc
import typing

import uvloop

from filbertstep import _capacity_fit
from filbertstep import _capacity_world
from filbertstep import codec
from filbertstep import config
from filbertstep import lookup

Size = _capacity_world.Size

# Look-ups of one measurement.
FINDS: typing.Final = 10_000

KIB: typing.Final = 1024.0
MIB: typing.Final = 1024.0 * 1024.0

T = typing.TypeVar('T')


def memory(
    build: collections.abc.Callable[[], T],
) -> tuple[T, float, float]:
    """Return what ``build`` returns, its memory in MiB, and the peak."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        built = build()
        after, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return built, (after - before) / MIB, (peak - before) / MIB


@functools.lru_cache(maxsize=4)
def block_documents(blocks: int) -> config.Documents:
    """Return a configuration with blocks at the target's sites."""
    return _capacity_world.documents(
        Size(
            sites=_capacity_world.SITES,
            regions=_capacity_world.REGIONS,
            blocks=blocks,
        )
    )


def site_blocks(documents: config.Documents) -> dict[str, list[str]]:
    """Return the blocks of the sites."""
    sites = documents[config.EntityKind.SITE]
    return {name: doc['blocks'] for name, doc in sites.items()}


def measure_blocks(size: int) -> _capacity_fit.Values:
    """Build the block table and search it."""
    sites = site_blocks(block_documents(size))
    watch = _capacity_fit.Stopwatch()
    table = lookup.BlockTable(sites)
    build_us = watch.us()
    chance = random.Random(size)
    asked = [
        _capacity_world.block(chance.randrange(size)).partition('/')[0]
        for _ in range(FINDS)
    ]
    watch = _capacity_fit.Stopwatch()
    for address in asked:
        table.find(address)
    find_us = watch.us() / FINDS
    return {
        'array_bytes': float(table.size_bytes()),
        'build_ms': build_us / 1000,
        'find_us': find_us,
    }


def measure_block_memory(size: int) -> _capacity_fit.Values:
    """Weigh what a node keeps of blocks: documents, rows and arrays."""
    sent = _capacity_world.sections(block_documents(size))

    def decode() -> config.Sections:
        return {
            key: codec.decode(value, dict[str, dict[str, typing.Any]]).unwrap()
            for key, value in sent.items()
        }

    decoded, documents_mib, decode_peak_mib = memory(decode)
    head = config.empty_head()
    head['sections'] = {
        key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]: key
        for key in sent
    }
    view, rows_mib, _ = memory(lambda: config.make_view(1, head, decoded))
    sites = {site.name: site.blocks for site in view.config.sites.values()}
    _, table_mib, table_peak_mib = memory(lambda: lookup.BlockTable(sites))
    return {
        'json_mib': sum(map(len, sent.values())) / MIB,
        'documents_mib': documents_mib,
        'decode_peak_mib': decode_peak_mib,
        'rows_mib': rows_mib,
        'table_mib': table_mib,
        'table_build_peak_mib': table_peak_mib,
    }


def measure_learn(size: int) -> _capacity_fit.Values:
    """Take in a configuration of many blocks, then one changed site."""
    documents = block_documents(size)
    sent = _capacity_world.sections(documents)
    watch = _capacity_fit.Stopwatch()
    decoded = {
        key: codec.decode(value, dict[str, dict[str, typing.Any]]).unwrap()
        for key, value in sent.items()
    }
    decode_ms = watch.us() / 1000
    for key, content in decoded.items():
        # As the cache of sections checks what it takes in.
        name = key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]
        if config.section_key(name, content) != key:
            raise AssertionError('a section does not fit its key')
    check_ms = watch.us() / 1000
    head = _capacity_world.head(documents, config.NO_EPOCH)
    watch = _capacity_fit.Stopwatch()
    config.make_view(1, head, decoded)
    view_ms = watch.us() / 1000
    ticket = {
        'number': 2,
        'author': 'operator',
        'changes': [
            {
                'kind': 'site',
                'name': 'site-0',
                'state': documents[config.EntityKind.SITE]['site-0'],
            }
        ],
    }
    watch = _capacity_fit.Stopwatch()
    checked = config.check_ticket(ticket).unwrap()
    config.apply_ticket(documents, checked).unwrap()
    ticket_ms = watch.us() / 1000
    largest = max(map(len, sent.values()))
    return {
        'decode_ms': decode_ms,
        'check_ms': check_ms,
        'make_view_ms': view_ms,
        'one_site_ticket_ms': ticket_ms,
        'largest_section_kib': largest / KIB,
    }


def measure_prepare(size: int) -> _capacity_fit.Values:
    """Prepare all answers for a number of live VMs."""
    return uvloop.run(prepare(Size(members=size, sites=260)))


def measure_prepare_services(size: int) -> _capacity_fit.Values:
    """Prepare all answers for a number of services."""
    return uvloop.run(prepare(Size(services=size, sites=260)))


async def prepare(size: Size) -> _capacity_fit.Values:
    """Rebuild the prepared answers, and tick without a change."""
    regions = _capacity_world.REGIONS
    async with _capacity_world.node_of(size._replace(regions=regions)) as one:
        lookups = one.lookups
        now = one.clock.now()
        lookups.tick(now)

        def rebuild() -> None:
            lookups.prepared_inputs = None
            lookups.tick(now)

        rebuild_us = _capacity_fit.cost_us(rebuild, 3)
        steady_us = _capacity_fit.cost_us(lambda: lookups.tick(now), 20)
        answer = lookups.answer('service-0', '1.0.0.1').unwrap()
        _, kept_mib, _ = memory(rebuild)
    return {
        'rebuild_ms': rebuild_us / 1000,
        'steady_tick_us': steady_us,
        'answer_bytes': float(len(answer)),
        'prepared_kib': kept_mib * KIB,
    }


def measure_in_force(size: int) -> _capacity_fit.Values:
    """Evaluate the rules of one request under a number of views."""
    documents = _capacity_world.documents(Size())
    members = [_capacity_world.member(one, 3) for one in range(7)]
    views = config.ViewTable()
    now = time.monotonic()
    for index in range(1, size + 1):
        views.add_view(
            _capacity_world.view(
                index, documents, _capacity_world.epoch(1, members)
            ),
            now,
        )
    if len(views.in_force(now)) != size:
        raise AssertionError('not all views are in force')
    digest = f'{0:064x}'

    def rules() -> None:
        account = views.key_account(digest, now)
        if account is None:
            raise AssertionError('the key does not work')
        views.account_may_use(account, 'service-0', now)
        views.account_limits(account, now)
        views.shift_cap('service-0', now)
        views.is_drained(config.DrainTarget.BACKEND_SERVER, 'server-0', now)

    return {'rules_us': _capacity_fit.cost_us(rules, 2000)}


EXPERIMENTS: typing.Final = (
    _capacity_fit.Experiment(
        'blocks',
        'blocks',
        (29_375, 58_750, 117_500, 470_000),
        (200, 400, 800, 1600),
        _capacity_world.BLOCKS,
        {'array_bytes': 'bytes', 'build_ms': 'ms', 'find_us': 'us'},
        measure_blocks,
    ),
    _capacity_fit.Experiment(
        'block_memory',
        'blocks',
        (3_672, 7_344, 14_688, 29_375),
        (200, 400, 800, 1600),
        _capacity_world.BLOCKS,
        {
            'json_mib': 'MiB',
            'documents_mib': 'MiB',
            'decode_peak_mib': 'MiB',
            'rows_mib': 'MiB',
            'table_mib': 'MiB',
            'table_build_peak_mib': 'MiB',
        },
        measure_block_memory,
    ),
    _capacity_fit.Experiment(
        'learn',
        'blocks',
        (58_750, 117_500, 235_000, 470_000),
        (300, 600, 900, 1600),
        _capacity_world.BLOCKS,
        {
            'decode_ms': 'ms',
            'check_ms': 'ms',
            'make_view_ms': 'ms',
            'one_site_ticket_ms': 'ms',
            'largest_section_kib': 'KiB',
        },
        measure_learn,
    ),
    _capacity_fit.Experiment(
        'prepare',
        'live VMs',
        (8, 16, 32, 64),
        (2, 3, 4, 5),
        _capacity_world.ZONE_NODES,
        {
            'rebuild_ms': 'ms',
            'steady_tick_us': 'us',
            'answer_bytes': 'bytes',
            'prepared_kib': 'KiB',
        },
        measure_prepare,
        _capacity_fit.SHORT_RUNS,
    ),
    _capacity_fit.Experiment(
        'prepare_services',
        'services',
        (2, 4, 8, 16),
        (1, 2, 3, 4),
        _capacity_world.SERVICES,
        {
            'rebuild_ms': 'ms',
            'steady_tick_us': 'us',
            'answer_bytes': 'bytes',
            'prepared_kib': 'KiB',
        },
        measure_prepare_services,
        _capacity_fit.SHORT_RUNS,
    ),
    _capacity_fit.Experiment(
        'in_force',
        'views in force',
        (1, 2, 4, 8),
        (1, 2, 3, 4),
        # 3,300 changes a day put one view into 4 s; a burst of ten is assumed.
        10,
        {'rules_us': 'us for each request'},
        measure_in_force,
        _capacity_fit.SHORT_RUNS,
    ),
)
