"""Settings of a node, read and validated once at startup.

The settings file is JSON with comments.  Nothing else in the package reads
configuration from files or the environment.  The file contains secrets (the
tokens of peers and operators), so only the node's user may read it.
"""

import pathlib
import typing

import msgspec
import result

from filbertstep import codec
from filbertstep import config

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Token = typing.Annotated[str, msgspec.Meta(min_length=16)]

# Policies for choosing a backend server.  All but the default ignore slots and
# are only baselines for measurements.
ChoicePolicy = typing.Literal[
    'slot_aware', 'random', 'round_robin', 'least_reported', 'two_choices'
]
DEFAULT_POLICY: typing.Final = 'slot_aware'


class TlsDoc(typing.TypedDict):
    """Paths of a listener's certificate chain and private key (PEM files)."""

    certificate: str
    private_key: str


class ListenerDoc(typing.TypedDict):
    """Address to which a listener binds, and the URL to reach it."""

    host: str
    port: Port
    url: str
    tls: typing.NotRequired[TlsDoc]


class SettingsDoc(typing.TypedDict):
    """Contents of a node's settings file; see ``NodeSettings``."""

    vm: config.Name
    region: config.Name
    availability_zone: config.Name
    callers: ListenerDoc
    peers: ListenerDoc
    operators: ListenerDoc
    peer_token: Token
    operator_tokens: list[Token]
    store_url: str
    vm_list_url: str
    log_level: typing.NotRequired[
        typing.Literal['DEBUG', 'INFO', 'NOTICE', 'WARNING', 'ERROR']
    ]
    history_file: typing.NotRequired[str]
    ca_file: typing.NotRequired[str]
    stop_timeout_s: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(gt=0, le=600)]
    ]
    choice_policy: typing.NotRequired[ChoicePolicy]


class Listener(typing.NamedTuple):
    """Row of a listener; the TLS files are None without TLS."""

    host: str
    port: int
    url: str
    certificate: str | None
    private_key: str | None


class NodeSettings(typing.NamedTuple):
    """Validated settings of a node.

    ``ca_file`` is used to verify the certificates of peers.  A graceful
    shutdown takes at most ``stop_timeout_s`` seconds.  A ``choice_policy``
    other than the default is for measurements only.
    """

    vm: str
    region: str
    availability_zone: str
    callers: Listener
    peers: Listener
    operators: Listener
    peer_token: str
    operator_tokens: tuple[str, ...]
    store_url: str
    vm_list_url: str
    log_level: str
    history_file: str | None
    ca_file: str | None
    stop_timeout_s: float
    choice_policy: str = DEFAULT_POLICY


def listener_from_doc(doc: ListenerDoc) -> Listener:
    """Parse the settings of a listener."""
    tls = doc.get('tls')
    return Listener(
        host=doc['host'],
        port=doc['port'],
        url=doc['url'].rstrip('/'),
        certificate=tls['certificate'] if tls else None,
        private_key=tls['private_key'] if tls else None,
    )


def parse(text: str) -> result.Result[NodeSettings, str]:
    """Parse the text of a settings file; an error names the field."""
    decoded = codec.decode_with_comments(text, SettingsDoc)
    if isinstance(decoded, result.Err):
        return decoded
    doc = decoded.ok_value
    for field in ('store_url', 'vm_list_url'):
        if not str(doc[field]).startswith(('http://', 'https://')):
            return result.Err(
                f'an http or https URL expected - at `$.{field}`'
            )
    return result.Ok(
        NodeSettings(
            vm=doc['vm'],
            region=doc['region'],
            availability_zone=doc['availability_zone'],
            callers=listener_from_doc(doc['callers']),
            peers=listener_from_doc(doc['peers']),
            operators=listener_from_doc(doc['operators']),
            peer_token=doc['peer_token'],
            operator_tokens=tuple(doc['operator_tokens']),
            store_url=doc['store_url'].rstrip('/'),
            vm_list_url=doc['vm_list_url'].rstrip('/'),
            log_level=doc.get('log_level', 'INFO'),
            history_file=doc.get('history_file'),
            ca_file=doc.get('ca_file'),
            stop_timeout_s=doc.get('stop_timeout_s', 60.0),
            choice_policy=doc.get('choice_policy', DEFAULT_POLICY),
        )
    )


def load(path: str) -> result.Result[NodeSettings, str]:
    """Read and parse a settings file; see ``parse``."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f'cannot read settings file {path}: {error}')
    return parse(text)
