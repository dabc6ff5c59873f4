"""Measurements of client blocks, the configuration and look-up answers."""

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

ConfigSize = _capacity_world.ConfigSize

LOOKUPS_PER_MEASUREMENT: typing.Final = 10_000

KIB: typing.Final = 1024.0
MIB: typing.Final = 1024.0 * 1024.0

T = typing.TypeVar('T')


def trace_memory(
    build: collections.abc.Callable[[], T],
) -> tuple[T, float, float]:
    """Call ``build`` and trace the memory that it allocates.

    Returns its result, the MiB still allocated after it, and the peak in MiB.
    """
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
    """Return a configuration with blocks spread over the target's sites."""
    return _capacity_world.config_documents(
        ConfigSize(
            sites=_capacity_world.TARGET_SITES,
            regions=_capacity_world.TARGET_REGIONS,
            blocks=blocks,
        )
    )


def blocks_by_site(documents: config.Documents) -> dict[str, list[str]]:
    """Return the blocks by site name."""
    sites = documents[config.EntityKind.SITE]
    return {name: doc['blocks'] for name, doc in sites.items()}


def measure_blocks(size: int) -> _capacity_fit.FigureValues:
    """Measure building the block table and looking up addresses in it."""
    sites = blocks_by_site(block_documents(size))
    timer = _capacity_fit.CpuTimer()
    table = lookup.BlockTable(sites)
    build_us = timer.lap_us()
    generator = random.Random(size)
    addresses = [
        _capacity_world.block_cidr(generator.randrange(size)).partition('/')[0]
        for _ in range(LOOKUPS_PER_MEASUREMENT)
    ]
    timer = _capacity_fit.CpuTimer()
    for address in addresses:
        table.find(address)
    find_us = timer.lap_us() / LOOKUPS_PER_MEASUREMENT
    return {
        'array_bytes': float(table.size_bytes()),
        'build_ms': build_us / 1000,
        'find_us': find_us,
    }


def measure_block_memory(size: int) -> _capacity_fit.FigureValues:
    """Measure the memory of blocks: section documents, view and table."""
    encoded = _capacity_world.encode_sections(block_documents(size))

    def decode_sections() -> config.Sections:
        return {
            key: codec.decode(value, dict[str, dict[str, typing.Any]]).unwrap()
            for key, value in encoded.items()
        }

    decoded, documents_mib, decode_peak_mib = trace_memory(decode_sections)
    head = config.empty_head()
    head['sections'] = {
        key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]: key
        for key in encoded
    }
    view, rows_mib, _ = trace_memory(
        lambda: config.make_view(1, head, decoded)
    )
    sites = {site.name: site.blocks for site in view.config.sites.values()}
    _, table_mib, table_peak_mib = trace_memory(
        lambda: lookup.BlockTable(sites)
    )
    return {
        'json_mib': sum(map(len, encoded.values())) / MIB,
        'documents_mib': documents_mib,
        'decode_peak_mib': decode_peak_mib,
        'rows_mib': rows_mib,
        'table_mib': table_mib,
        'table_build_peak_mib': table_peak_mib,
    }


def measure_learn(size: int) -> _capacity_fit.FigureValues:
    """Measure learning a configuration, then a ticket that changes a site."""
    documents = block_documents(size)
    encoded = _capacity_world.encode_sections(documents)
    timer = _capacity_fit.CpuTimer()
    decoded = {
        key: codec.decode(value, dict[str, dict[str, typing.Any]]).unwrap()
        for key, value in encoded.items()
    }
    decode_ms = timer.lap_us() / 1000
    for key, content in decoded.items():
        # The section cache checks each fetched section in the same way.
        name = key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]
        if config.section_key(name, content) != key:
            raise AssertionError(
                'the content of a section does not match its key'
            )
    check_ms = timer.lap_us() / 1000
    head = _capacity_world.build_head(documents, config.NO_EPOCH)
    timer = _capacity_fit.CpuTimer()
    config.make_view(1, head, decoded)
    view_ms = timer.lap_us() / 1000
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
    timer = _capacity_fit.CpuTimer()
    checked_ticket = config.check_ticket(ticket).unwrap()
    config.apply_ticket(documents, checked_ticket).unwrap()
    ticket_ms = timer.lap_us() / 1000
    largest = max(map(len, encoded.values()))
    return {
        'decode_ms': decode_ms,
        'check_ms': check_ms,
        'make_view_ms': view_ms,
        'one_site_ticket_ms': ticket_ms,
        'largest_section_kib': largest / KIB,
    }


def measure_prepare(size: int) -> _capacity_fit.FigureValues:
    """Measure preparing the look-up answers for a number of live VMs."""
    return uvloop.run(run_prepare(ConfigSize(members=size, sites=260)))


def measure_prepare_services(size: int) -> _capacity_fit.FigureValues:
    """Measure preparing the look-up answers for a number of services."""
    return uvloop.run(run_prepare(ConfigSize(services=size, sites=260)))


async def run_prepare(size: ConfigSize) -> _capacity_fit.FigureValues:
    """Measure rebuilding the prepared answers, and a tick with no change."""
    regions = _capacity_world.TARGET_REGIONS
    async with _capacity_world.node_with_config(
        size._replace(regions=regions)
    ) as measured_node:
        lookups = measured_node.lookups
        now = measured_node.clock.now()
        lookups.tick(now)

        def rebuild() -> None:
            lookups.prepared_inputs = None
            lookups.tick(now)

        rebuild_us = _capacity_fit.cpu_us_per_call(rebuild, 3)
        steady_us = _capacity_fit.cpu_us_per_call(
            lambda: lookups.tick(now), 20
        )
        answer = lookups.answer('service-0', '1.0.0.1').unwrap()
        _, kept_mib, _ = trace_memory(rebuild)
    return {
        'rebuild_ms': rebuild_us / 1000,
        'steady_tick_us': steady_us,
        'answer_bytes': float(len(answer)),
        'prepared_kib': kept_mib * KIB,
    }


def measure_in_force(size: int) -> _capacity_fit.FigureValues:
    """Measure the configuration checks of a request by views in force."""
    documents = _capacity_world.config_documents(ConfigSize())
    members = [_capacity_world.build_member(number, 3) for number in range(7)]
    views = config.ViewTable()
    now = time.monotonic()
    for index in range(1, size + 1):
        views.add_view(
            _capacity_world.build_view(
                index, documents, _capacity_world.build_epoch(1, members)
            ),
            now,
        )
    if len(views.in_force(now)) != size:
        raise AssertionError('not all views are in force')
    digest = f'{0:064x}'

    def evaluate_rules() -> None:
        account = views.key_account(digest, now)
        if account is None:
            raise AssertionError(
                'the key has no client account, or views differ'
            )
        views.account_may_use(account, 'service-0', now)
        views.account_limits(account, now)
        views.shift_cap('service-0', now)
        views.is_drained(config.DrainTarget.BACKEND_SERVER, 'server-0', now)

    return {'rules_us': _capacity_fit.cpu_us_per_call(evaluate_rules, 2000)}


EXPERIMENTS: typing.Final = (
    _capacity_fit.Experiment(
        'blocks',
        'blocks',
        (29_375, 58_750, 117_500, 470_000),
        (200, 400, 800, 1600),
        _capacity_world.TARGET_BLOCKS,
        {'array_bytes': 'bytes', 'build_ms': 'ms', 'find_us': 'us'},
        measure_blocks,
    ),
    _capacity_fit.Experiment(
        'block_memory',
        'blocks',
        (3_672, 7_344, 14_688, 29_375),
        (200, 400, 800, 1600),
        _capacity_world.TARGET_BLOCKS,
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
        _capacity_world.TARGET_BLOCKS,
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
        _capacity_world.TARGET_NODES_PER_ZONE,
        {
            'rebuild_ms': 'ms',
            'steady_tick_us': 'us',
            'answer_bytes': 'bytes',
            'prepared_kib': 'KiB',
        },
        measure_prepare,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    ),
    _capacity_fit.Experiment(
        'prepare_services',
        'services',
        (2, 4, 8, 16),
        (1, 2, 3, 4),
        _capacity_world.TARGET_SERVICES,
        {
            'rebuild_ms': 'ms',
            'steady_tick_us': 'us',
            'answer_bytes': 'bytes',
            'prepared_kib': 'KiB',
        },
        measure_prepare_services,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    ),
    _capacity_fit.Experiment(
        'in_force',
        'views in force',
        (1, 2, 4, 8),
        (1, 2, 3, 4),
        # 3,300 changes a day put one view into 4 s; the target assumes a
        # burst of ten.
        10,
        {'rules_us': 'us for each request'},
        measure_in_force,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    ),
)
