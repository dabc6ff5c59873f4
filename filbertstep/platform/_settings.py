"""Reads the settings file that is rendered from ``deploy/settings.json5``."""

import pathlib
import typing

import msgspec
import result

from filbertstep import codec
from filbertstep import entry
from filbertstep import steering


class BoundsDoc(typing.TypedDict):
    """Guarantees of the deployment (see ``steering.Bounds``).

    Units are those in the names of the fields.
    """

    grace_s: float
    config_apply_ms: float
    revoke_ms: float
    budget_ratio: float
    budget_window_s: float
    budget_slack: float
    cold_over: float
    ttl_max_s: float
    shift_most: float
    quota_over: float
    quota_slack: float
    cold_slack: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(ge=0)] | None
    ]


class SettingsDoc(typing.TypedDict):
    """The rendered settings file.  Addresses are ``host:port``."""

    vm: str
    host: str
    availability_zone: str
    region: str
    callers: str
    ready: str
    peers: str
    lookups: str
    metrics_port: int
    seeds: list[str]
    regions: dict[str, str]
    store: str
    least_lease_ms: float
    first_start: bool
    log_lines_per_s: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0)]
    ]
    memory_mb: typing.Annotated[float, msgspec.Meta(gt=0)]
    body_memory_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    answer_memory_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    request_memory_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    unread_memory_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    connection_memory_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    connection_share: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=0.5)]
    ]
    bounds: BoundsDoc
    overload_order: typing.NotRequired[
        typing.Literal['priority', 'cost', 'auto']
    ]
    explains_per_s: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(ge=0, le=20)]
    ]


# Maximum number of log lines per second and kind.
DEFAULT_LOG_LINES_PER_S: typing.Final = 200.0

# Share of the memory for bodies of unanswered requests.  While one is sent to
# a server, the connection holds most of it a second time.
DEFAULT_BODY_MEMORY_SHARE: typing.Final = 0.2

# Share of the memory for answers that are being read from servers.
DEFAULT_ANSWER_MEMORY_SHARE: typing.Final = 0.2

# Shares of the memory for unfinished requests, for answers that clients have
# not read, and for connections of callers.
DEFAULT_REQUEST_MEMORY_SHARE: typing.Final = 0.1
DEFAULT_UNREAD_MEMORY_SHARE: typing.Final = 0.15
DEFAULT_CONNECTION_MEMORY_SHARE: typing.Final = 0.25

# Share of the descriptors for connections of callers.  The listeners for
# others take two thirds of it together, at most; the rest is for connections
# to servers, peers and the store.
DEFAULT_CONNECTION_SHARE: typing.Final = 0.375

# Explanations of decisions per second.  Each takes some milliseconds, in which
# the VM does not serve requests.
DEFAULT_EXPLAINS_PER_S: typing.Final = 2.0

BYTES_PER_MB: typing.Final = 1024 * 1024


def load_settings(path: str) -> result.Result[entry.EntrySettings, str]:
    """Read and validate a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f'cannot read settings file {path}: {error}')
    return parse_settings(text)


def parse_settings(text: str) -> result.Result[entry.EntrySettings, str]:
    """Parse and validate the text of a settings file.

    Errors name the field at fault.
    """
    decoded = codec.decode_with_comments(text, SettingsDoc)
    if isinstance(decoded, result.Err):
        return decoded
    doc = decoded.ok_value
    for field in ('callers', 'ready', 'peers', 'lookups', 'store'):
        host, _, port = str(doc[field]).rpartition(':')
        if not host or not port.isdigit():
            return result.Err(f'Expected `host:port` - at `$.{field}`')
    bounds = doc['bounds']
    memory_bytes = doc['memory_mb'] * BYTES_PER_MB
    return result.Ok(
        entry.EntrySettings(
            vm=doc['vm'],
            host=doc['host'],
            availability_zone=doc['availability_zone'],
            region=doc['region'],
            caller_address=doc['callers'],
            ready_address=doc['ready'],
            peer_address=doc['peers'],
            lookup_address=doc['lookups'],
            metrics_port=doc['metrics_port'],
            seed_addresses=tuple(doc['seeds']),
            region_by_zone=doc['regions'],
            store_address=doc['store'],
            min_lease_s=doc['least_lease_ms'] / 1000,
            first_start=doc['first_start'],
            log_lines_per_s=doc.get(
                'log_lines_per_s', DEFAULT_LOG_LINES_PER_S
            ),
            body_memory_bytes=int(
                doc['memory_mb']
                * BYTES_PER_MB
                * doc.get('body_memory_share', DEFAULT_BODY_MEMORY_SHARE)
            ),
            answer_memory_bytes=int(
                doc['memory_mb']
                * BYTES_PER_MB
                * doc.get('answer_memory_share', DEFAULT_ANSWER_MEMORY_SHARE)
            ),
            request_memory_bytes=int(
                memory_bytes
                * doc.get('request_memory_share', DEFAULT_REQUEST_MEMORY_SHARE)
            ),
            unread_memory_bytes=int(
                memory_bytes
                * doc.get('unread_memory_share', DEFAULT_UNREAD_MEMORY_SHARE)
            ),
            connection_memory_bytes=int(
                memory_bytes
                * doc.get(
                    'connection_memory_share', DEFAULT_CONNECTION_MEMORY_SHARE
                )
            ),
            connection_share=doc.get(
                'connection_share', DEFAULT_CONNECTION_SHARE
            ),
            bounds=steering.Bounds(
                stop_grace_s=bounds['grace_s'],
                config_apply_s=bounds['config_apply_ms'] / 1000,
                key_withdrawal_s=bounds['revoke_ms'] / 1000,
                retry_ratio=bounds['budget_ratio'],
                retry_window_s=bounds['budget_window_s'],
                retry_slack=bounds['budget_slack'],
                cold_rate_factor=bounds['cold_over'],
                max_lookup_ttl_s=bounds['ttl_max_s'],
                max_shift_share=bounds['shift_most'],
                rate_tolerance=bounds['quota_over'],
                rate_slack_tokens=bounds['quota_slack'],
                cold_slack=bounds.get('cold_slack') or 0.0,
            ),
            overload_order=steering.OverloadOrder(
                doc.get('overload_order', steering.OverloadOrder.AUTO.value)
            ),
            explains_per_s=doc.get('explains_per_s', DEFAULT_EXPLAINS_PER_S),
        )
    )
