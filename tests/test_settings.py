"""Tests of the settings of a node."""

import typing
import unittest

import result

from filbertstep import settings

GOOD = """
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


class BadCase(typing.NamedTuple):
    """A replacement in the good settings and what the error must name."""

    old: str
    new: str
    named: str


BAD_CASES = [
    BadCase('"port": 8001', '"port": 99999', '$.callers.port'),
    BadCase('"vm": "vm-1"', '"vm": "VM 1"', '$.vm'),
    BadCase('"region"', '"reggion"', '$.reggion'),
    BadCase('"0123456789abcdef"', '"short"', '$.peer_token'),
    BadCase('"http://127.0.0.1:8500"', '"ftp://x"', '$.store_url'),
    BadCase('"vm": "vm-1",', '', 'vm'),
    BadCase('{\n    // A', '[', 'not valid'),
]


class TestSettings(unittest.TestCase):
    """Settings are checked as a whole before anything starts."""

    def test_good_file_with_comments_is_read(self) -> None:
        """Guards against a parser that refuses comments."""
        parsed = settings.parse(GOOD)
        self.assertIsInstance(parsed, result.Ok)
        self.assertEqual('http://127.0.0.1:8001', parsed.unwrap().callers.url)

    def test_error_names_the_field(self) -> None:
        """Guards against a wrong file that starts or is not explained."""
        for case in BAD_CASES:
            with self.subTest(new=case.new):
                parsed = settings.parse(GOOD.replace(case.old, case.new, 1))
                self.assertIsInstance(parsed, result.Err)
                self.assertIn(case.named, str(parsed.err()))

    def test_choice_policy(self) -> None:
        """Guards against a node that becomes a baseline by mistake."""
        self.assertEqual(
            'slot_aware', settings.parse(GOOD).unwrap().choice_policy
        )
        for name, good in (('random', True), ('randon', False)):
            text = GOOD.replace('}\n', f'"choice_policy": "{name}"}}\n', 9)
            with self.subTest(name):
                self.assertEqual(good, settings.parse(text).is_ok())
