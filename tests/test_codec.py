"""Tests of JSON checked against shapes."""

import typing
import unittest
from unittest import mock

from filbertstep import codec


class InnerDoc(typing.TypedDict):
    """Shape inside another one."""

    name: str


class OuterDoc(typing.TypedDict):
    """Shape with objects in a list, a dict and an optional field."""

    plain: dict[str, int]
    listed: list[InnerDoc]
    keyed: dict[str, list[InnerDoc]]
    optional: InnerDoc | None
    extra: typing.NotRequired[InnerDoc]


class UnknownCase(typing.NamedTuple):
    """A change of a valid object, and the unknown field's path."""

    change: dict[str, typing.Any]
    path: str


BAD = {'name': 'a', 'more': 1}
VALID: dict[str, typing.Any] = {
    'plain': {'x': 1},
    'listed': [{'name': 'a'}],
    'keyed': {'k': [{'name': 'a'}]},
    'optional': None,
}
UNKNOWN_CASES = [
    UnknownCase({'more': 1}, '$.more'),
    UnknownCase({'listed': [{'name': 'a'}, BAD]}, '$.listed[1].more'),
    UnknownCase({'keyed': {'k': [BAD]}}, '$.keyed.k[0].more'),
    UnknownCase({'optional': BAD}, '$.optional.more'),
    UnknownCase({'extra': BAD}, '$.extra.more'),
]


class TestConvert(unittest.TestCase):
    """Unknown fields and the cost of finding them."""

    def test_valid(self) -> None:
        """Guards against a refusal of what the shape allows."""
        found = codec.convert(VALID, OuterDoc)
        self.assertEqual(VALID, found.unwrap())

    def test_unknown_fields(self) -> None:
        """Guards against a misspelt field that is ignored."""
        for case in UNKNOWN_CASES:
            with self.subTest(path=case.path):
                found = codec.convert({**VALID, **case.change}, OuterDoc)
                self.assertEqual(
                    f'unknown field {case.path}', found.unwrap_err()
                )

    def test_hints_are_evaluated_once(self) -> None:
        """Guards against evaluating type hints for each message."""
        codec.convert(VALID, OuterDoc).unwrap()
        with mock.patch.object(
            typing, 'get_type_hints', side_effect=AssertionError
        ):
            codec.convert(VALID, OuterDoc).unwrap()
