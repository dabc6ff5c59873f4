"""Entries in the store that another writer left there.

Such an entry names no server and must not affect the others.
"""

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec
import result
import yarl

from filbertstep import _http_peers
from filbertstep import _probes
from filbertstep import _store as _store_client
from filbertstep import clock
from filbertstep import codec
from filbertstep import entry
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _membership
from filbertstep.entry import _state
from filbertstep.entry import _strikes
from tests import entry_samples
from tests import test_entry_knowledge
from tests import test_platform_adapter

SERVER: typing.Final = test_platform_adapter.SERVER

# Deeper than the recursion limit of the decoder.
DEPTH: typing.Final = 100_000

DEEP_LIST: typing.Final = b'[' * DEPTH + b']' * DEPTH


def server_entry(path: str, value: str) -> bytes:
    """Return a server's entry with the JSON text ``value`` at ``path``.

    The parts of the path are separated by dots.
    """
    document = json.loads(json.dumps(SERVER))
    *parents, name = path.split('.')
    part = document
    for parent in parents:
        part = part[parent]
    part[name] = '<value>'
    return json.dumps(document).replace('"<value>"', value).encode()


ODD_FIELDS: typing.Final = (
    ('address', '"10.0.0.9:65536"'),
    ('address', '"10.0.0.9:0"'),
    ('address', '"10.0.0.9:\u00b2"'),
    ('address', '"10.0.0.9:\u0663"'),
    ('address', f'"10.0.0.9:{"9" * 5000}"'),
    ('address', '":8080"'),
    ('address', '"a b:8080"'),
    ('address', '"::1:8080"'),
    ('address', '"[::1:8080"'),
    ('address', '"a..b:8080"'),
    ('address', f'"{"x" * 64}:8080"'),
    ('address', '"10.0.0.256:8080"'),
    ('address', '"user@host:8080"'),
    ('address', '"host/path:8080"'),
    ('address', '"\\u0000:8080"'),
    ('info.slots', '0'),
    ('info.slots', '-1'),
    ('info.slots', '99999999999999999999'),
    ('info.slots', '9223372036854775807'),
    ('info.slots', '1e400'),
    ('info.slots', '3.5'),
    ('info.service', '""'),
    ('info.zone', '""'),
    ('status.cold_left_ms', '-1'),
    ('status.cold_left_ms', '1e308'),
    ('status.cold_left_ms', '1' + '0' * 400),
    ('status.cold_left_ms', 'NaN'),
    ('born', '-1'),
    ('born', '1.5'),
    ('born', '99999999999999999999'),
    ('field_of_tomorrow', DEEP_LIST.decode()),
    ('info.field_of_tomorrow', '{"a":' * DEPTH + '1' + '}' * DEPTH),
)

# Names of servers that cannot be sent in a header.
ODD_IDS: typing.Final = ('', 'a\r\nb: c', 'a/b', 'a b', '\u00e9')

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**30), 10**30)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(['ready', 'draining', '10.0.0.9:80', 'r7']),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), children)
    ),
    max_leaves=8,
)


def documents_like(sample: object) -> strategies.SearchStrategy[object]:
    """Return a strategy for copies of a document with replaced parts."""
    if isinstance(sample, dict):
        whole: strategies.SearchStrategy[object] = (
            strategies.fixed_dictionaries(
                {},
                optional={
                    name: documents_like(part) for name, part in sample.items()
                },
            )
        )
    elif isinstance(sample, list):
        whole = strategies.tuples(
            *(documents_like(part) for part in sample)
        ).map(list)
    else:
        whole = strategies.just(sample)
    return strategies.one_of(whole, whole, whole, json_values)


# One field has another value, so that the rest is accepted.
entries_with_one_odd_field = strategies.builds(
    server_entry,
    strategies.sampled_from(sorted({path for path, _ in ODD_FIELDS})),
    strategies.one_of(
        json_values,
        strategies.tuples(
            strategies.sampled_from(['10.0.0.9', 'a.b', '::1', '[::1]'])
            | strategies.text(max_size=8),
            strategies.integers(-10, 10**6),
        ).map(lambda parts: f'{parts[0]}:{parts[1]}'),
    ).map(json.dumps),
)

encoded_documents = strategies.one_of(
    strategies.binary(max_size=64),
    entries_with_one_odd_field,
    documents_like(SERVER).map(json.dumps).map(str.encode),
    documents_like(test_platform_adapter.CONFIGURATION)
    .map(json.dumps)
    .map(str.encode),
)

SETTINGS: typing.Final = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


class TestDecoding(unittest.TestCase):
    """Decoding of odd entries."""

    def setUp(self) -> None:
        """Create a decoder."""
        self.decoder = platform.PlatformAdapter('').decoder()

    def test_odd_server_entries_name_no_server(self) -> None:
        """Guards against an entry that ends the task that reads the store."""
        for path, value in ODD_FIELDS:
            with self.subTest(path=path, value=value[:40]):
                decoded = self.decoder.decode(
                    'servers/i-1', server_entry(path, value)
                )
                self.assertIsInstance(decoded, result.Err)
        for server_id in ODD_IDS:
            with self.subTest(server_id=server_id):
                decoded = self.decoder.decode(
                    f'servers/{server_id}', json.dumps(SERVER).encode()
                )
                self.assertIsInstance(decoded, result.Err)

    def test_entries_without_a_field_name_no_server(self) -> None:
        """Guards against another writer that brings a leaving server back."""
        for table, field in (
            ('info', 'service'),
            ('info', 'version'),
            ('info', 'zone'),
            ('info', 'slots'),
            ('status', 'state'),
            ('status', 'seq_no'),
            ('status', 'cold_left_ms'),
        ):
            with self.subTest(field=field):
                part = {**SERVER[table]}
                del part[field]
                value = json.dumps({**SERVER, table: part}).encode()
                decoded = self.decoder.decode('servers/i-1', value)
                self.assertIsInstance(decoded, result.Err)

    def test_names_and_ipv6_addresses_are_accepted(self) -> None:
        """Guards against rejecting servers with a usual address."""
        for address in ('host-1.example:80', '[::1]:65535', 'i_1:1'):
            with self.subTest(address=address):
                decoded = self.decoder.decode(
                    'servers/i-1', server_entry('address', f'"{address}"')
                )
                self.assertIsInstance(decoded, result.Ok)

    def test_odd_versions_are_rejected(self) -> None:
        """Guards against digits that are no decimal number in ASCII."""
        for version in ('r\u00b2', 'r\u0663', 'r' + '9' * 5000, 'r-1', 'r'):
            with self.subTest(version=version[:10]):
                document = {
                    **test_platform_adapter.CONFIGURATION,
                    'version': version,
                }
                decoded = self.decoder.decode(
                    'op/config', json.dumps(document).encode()
                )
                self.assertIsInstance(decoded, result.Err)

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(['op/config', 'servers/i-1', 'op/evacuate/z']),
        encoded_documents,
    )
    def test_any_value_is_decoded_or_rejected(
        self, key: str, value: bytes
    ) -> None:
        """Guards against bytes for which decoding has no result."""
        decoded = self.decoder.decode(key, value)
        self.assertIsInstance(decoded, (result.Ok, result.Err))

    @SETTINGS
    @hypothesis.given(entries_with_one_odd_field)
    def test_decoded_servers_can_be_used(self, value: bytes) -> None:
        """Guards against servers that only their use shows to be odd."""
        decoded = self.decoder.decode('servers/i-1', value)
        if isinstance(decoded, result.Err):
            return
        server = decoded.ok_value
        assert isinstance(server, steering.ServerEntry)
        self.assertTrue(1 <= server.slots <= 65536)
        self.assertTrue(0.0 <= server.cold_left_s < 1e6)
        url = yarl.URL(f'http://{server.address}/', encoded=True)
        self.assertTrue(url.host)
        self.assertTrue(url.port)
        msgspec.json.encode(server)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=64) | encoded_documents)
    def test_members_and_strikes_are_decoded_or_rejected(
        self, value: bytes
    ) -> None:
        """Guards against odd entries under the prefixes of this system."""
        _membership.decode_member(value)
        codec.decode_open(value, _strikes.StrikesRow)

    def test_deep_values_are_rejected_everywhere(self) -> None:
        """Guards against deep nesting in heartbeats, strikes and members."""
        self.assertIsInstance(codec.decode(DEEP_LIST, dict), result.Err)
        self.assertIsInstance(
            codec.decode_open(b'{"x":' + DEEP_LIST + b'}', object), result.Err
        )
        self.assertIsNone(
            _membership.decode_member(b'{"x":' + DEEP_LIST + b'}')
        )


class TestNodeDocuments(unittest.TestCase):
    """Documents that the node program reads from others."""

    def test_deep_documents_are_rejected(self) -> None:
        """Guards against a probe or a peer that ends the task that asks."""
        # Within the limit of a header line.
        deep_header = 'JSON {"x":' + '[' * 4000 + ']' * 4000 + '}'
        self.assertIsNone(_probes.parse_load(deep_header))
        self.assertIsInstance(
            _store_client.decode_entry(DEEP_LIST), result.Err
        )
        for body in (DEEP_LIST, b'{"x":' + DEEP_LIST + b'}'):
            decoded = _http_peers.decode_response(200, body)
            self.assertIsInstance(decoded, result.Err)


class TestState(unittest.TestCase):
    """A batch of changes of which one is odd."""

    def setUp(self) -> None:
        """Build the state of one VM."""
        self.clock = clock.FakeClock()
        self.log = test_entry_knowledge.make_log(self.clock)
        self.state = _state.State(
            entry_samples.settings(),
            platform.PlatformAdapter('').decoder(),
            self.clock,
            self.log,
        )

    def apply(self, *changes: tuple[str, bytes]) -> None:
        """Apply changes as a listing."""
        self.state.replica.replace(
            entry.ChangeBatch(
                tuple(
                    entry.Change(key, number, value)
                    for number, (key, value) in enumerate(changes, 1)
                ),
                len(changes),
            ),
            0.0,
            0.0,
        )

    def test_the_other_entries_hold(self) -> None:
        """Guards against a listing that one odd entry interrupts."""
        good = json.dumps(SERVER).encode()
        deep = b'{"x":' + DEEP_LIST + b'}'
        self.apply(
            ('servers/i-1', deep),
            ('servers/i-2', good),
            ('vms/odd', deep),
            ('strikes/odd', deep),
            ('fleet/odd', deep),
            ('op/evacuate/odd', deep),
            ('unknown/odd', deep),
            ('servers/i-3', server_entry('address', '"10.0.0.9:99999"')),
            ('servers/i-4', good),
            (
                'op/config',
                json.dumps(test_platform_adapter.CONFIGURATION).encode(),
            ),
        )
        self.assertEqual(set(self.state.servers.by_id), {'i-2', 'i-4'})
        self.assertEqual(self.state.replica.position.revision, 10)
        self.assertIsNotNone(self.state.configuration)

    def test_odd_record_of_a_settled_era_hides_no_other(self) -> None:
        """Guards against a batch that is applied in part only."""
        for value in (b'9' * 5000, '\u00b2'.encode(), b'\xff', b'-1', b''):
            with self.subTest(value=value[:4]):
                self.setUp()
                self.apply(
                    ('era', value),
                    ('servers/i-1', json.dumps(SERVER).encode()),
                )
                self.assertEqual(set(self.state.servers.by_id), {'i-1'})
                self.assertEqual(self.state.replica.position.revision, 2)

    def test_members_with_odd_addresses_are_not_listed(self) -> None:
        """Guards against peers and look-up answers that name no address."""
        member = {
            'availability_zone': 'a-1',
            'region': 'a',
            'callers': '10.0.0.1:80',
            'peers': '10.0.0.1:81',
        }
        self.apply(
            ('vms/v2', json.dumps(member).encode()),
            ('vms/v3', json.dumps({**member, 'peers': 'h:99999'}).encode()),
            ('vms/v4', json.dumps({**member, 'callers': ''}).encode()),
            ('vms/', json.dumps(member).encode()),
        )
        self.assertEqual(set(self.state.members.live), {'v2'})

    def test_entry_without_the_start_of_a_known_server(self) -> None:
        """Guards against another writer that hides what a server said.

        Without the start it would count as a new server that said nothing.
        """
        unborn = {key: SERVER[key] for key in SERVER if key != 'born'}
        for removed_before in (False, True):
            with self.subTest(removed_before=removed_before):
                self.setUp()
                self.apply(('servers/i-1', json.dumps(SERVER).encode()))
                announced = self.state.servers.by_id['i-1'].announcements
                announced.leaving = True
                if removed_before:
                    self.apply(('x', b''), ('y', b''))
                    self.assertNotIn('i-1', self.state.servers.by_id)
                for number in (4, 5):
                    self.state.replica.apply(
                        entry.ChangeBatch(
                            (
                                entry.Change(
                                    'servers/i-1',
                                    number,
                                    json.dumps(unborn).encode(),
                                ),
                            ),
                            number,
                        ),
                        0.0,
                        0.0,
                    )
                    self.assertNotIn('i-1', self.state.servers.by_id)
                # It is the server's next one, and no late write.
                status = {**SERVER['status'], 'seq_no': 5}
                later = {**SERVER, 'status': status}
                self.state.replica.apply(
                    entry.ChangeBatch(
                        (
                            entry.Change(
                                'servers/i-1', 6, json.dumps(later).encode()
                            ),
                        ),
                        6,
                    ),
                    20.0,
                    20.0,
                )
                self.assertTrue(self.state.servers.by_id['i-1'].is_leaving())

    def test_servers_may_tell_no_start(self) -> None:
        """Guards against deployments whose servers are never used."""
        unborn = {key: SERVER[key] for key in SERVER if key != 'born'}
        self.apply(('servers/i-1', json.dumps(unborn).encode()))
        self.assertIn('i-1', self.state.servers.by_id)

    def test_a_server_is_removed_when_its_entry_becomes_odd(self) -> None:
        """Guards against use of a server whose entry cannot be read."""
        self.apply(('servers/i-1', json.dumps(SERVER).encode()))
        self.state.replica.apply(
            entry.ChangeBatch(
                (
                    entry.Change(
                        'servers/i-1', 2, server_entry('info.slots', '1e400')
                    ),
                ),
                2,
            ),
            0.0,
            0.0,
        )
        self.assertEqual(self.state.servers.by_id, {})
