"""Tests of reading and validating the settings of a node."""

import typing
import unittest

import result

from filbertstep import settings

VALID_SETTINGS = """
{
    // A VM in the first availability zone.
    "vm": "vm-1", "region": "hobart", "availability_zone": "hobart-a",
    "callers": {"host": "127.0.0.1", "port": 8001, "url": "http://127.0.0.1:8001/"},
    "peers": {"host": "127.0.0.1", "port": 8002, "url": "http://127.0.0.1:8002"},
    "operators": {"host": "127.0.0.1", "port": 8003, "url": "http://127.0.0.1:8003"},
    "peer_token": "0123456789abcdef",
    "operator_tokens": ["abcdef0123456789"],
    "store_url": "http://127.0.0.1:8500",
    "vm_list_url": "http://127.0.0.1:8501",
}
"""  # noqa: E501


class InvalidCase(typing.NamedTuple):
    """A replacement in the valid settings and what the error must name."""

    old: str
    new: str
    error_part: str


INVALID_CASES = [
    InvalidCase('"port": 8001', '"port": 99999', '$.callers.port'),
    InvalidCase('"vm": "vm-1"', '"vm": "VM 1"', '$.vm'),
    InvalidCase('"region"', '"reggion"', '$.reggion'),
    InvalidCase('"0123456789abcdef"', '"short"', '$.peer_token'),
    InvalidCase('"http://127.0.0.1:8500"', '"ftp://x"', '$.store_url'),
    InvalidCase('"vm": "vm-1",', '', 'vm'),
    InvalidCase('{\n    // A', '[', 'not valid'),
]


class TestSettings(unittest.TestCase):
    """Settings are validated completely before the node starts."""

    def test_accepts_valid_settings_with_comments(self) -> None:
        """Guards against a parser that rejects comments."""
        parsed = settings.parse(VALID_SETTINGS)
        self.assertIsInstance(parsed, result.Ok)
        self.assertEqual('http://127.0.0.1:8001', parsed.unwrap().callers.url)

    def test_error_names_the_field(self) -> None:
        """Guards against accepting invalid settings without a clear error."""
        for case in INVALID_CASES:
            with self.subTest(new=case.new):
                parsed = settings.parse(
                    VALID_SETTINGS.replace(case.old, case.new, 1)
                )
                self.assertIsInstance(parsed, result.Err)
                self.assertIn(case.error_part, str(parsed.err()))

    def test_validates_choice_policy(self) -> None:
        """Guards against using a baseline policy by mistake.

        The default must be the policy for production, and a misspelt name
        must be rejected.
        """
        self.assertEqual(
            'slot_aware', settings.parse(VALID_SETTINGS).unwrap().choice_policy
        )
        for name, valid in (('random', True), ('randon', False)):
            text = VALID_SETTINGS.replace(
                '}\n', f'"choice_policy": "{name}"}}\n', 9
            )
            with self.subTest(name):
                self.assertEqual(valid, settings.parse(text).is_ok())
