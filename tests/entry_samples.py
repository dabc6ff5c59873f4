"""Sample data for tests of the entry package."""

import typing

from filbertstep.entry import _contracts
from tests import steering_samples as samples


def settings(**changes: typing.Any) -> _contracts.EntrySettings:
    """Return settings with ``changes``; Any: types differ by field."""
    return _contracts.EntrySettings(
        vm='v1',
        host='127.0.0.1',
        availability_zone='a-1',
        region='a',
        caller_address='127.0.0.1:1',
        ready_address='127.0.0.1:2',
        peer_address='127.0.0.1:3',
        lookup_address='127.0.0.1:4',
        metrics_port=5,
        seed_addresses=(),
        region_by_zone=dict(samples.REGIONS),
        store_address='127.0.0.1:6',
        min_lease_s=1.0,
        first_start=True,
        log_lines_per_s=100.0,
        body_memory_bytes=1_000_000,
        answer_memory_bytes=1_000_000,
        request_memory_bytes=1_000_000,
        unread_memory_bytes=1_000_000,
        connection_memory_bytes=1_000_000,
        connection_share=0.375,
        bounds=samples.BOUNDS,
    )._replace(**changes)
