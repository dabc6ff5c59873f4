"""Tests of JSON validation against schemas."""

import typing
import unittest
from unittest import mock

from filbertstep import codec


class InnerDoc(typing.TypedDict):
    """Schema of a nested object."""

    name: str


class OuterDoc(typing.TypedDict):
    """Schema with objects nested in lists, dicts and optional fields."""

    plain: dict[str, int]
    listed: list[InnerDoc]
    keyed: dict[str, list[InnerDoc]]
    optional: InnerDoc | None
    extra: typing.NotRequired[InnerDoc]


class UnknownCase(typing.NamedTuple):
    """Fields to replace in a valid object, and the unknown field's path."""

    change: dict[str, typing.Any]
    path: str


UNKNOWN_FIELD_OBJECT = {'name': 'a', 'more': 1}
VALID: dict[str, typing.Any] = {
    'plain': {'x': 1},
    'listed': [{'name': 'a'}],
    'keyed': {'k': [{'name': 'a'}]},
    'optional': None,
}
UNKNOWN_CASES = [
    UnknownCase({'more': 1}, '$.more'),
    UnknownCase(
        {'listed': [{'name': 'a'}, UNKNOWN_FIELD_OBJECT]}, '$.listed[1].more'
    ),
    UnknownCase({'keyed': {'k': [UNKNOWN_FIELD_OBJECT]}}, '$.keyed.k[0].more'),
    UnknownCase({'optional': UNKNOWN_FIELD_OBJECT}, '$.optional.more'),
    UnknownCase({'extra': UNKNOWN_FIELD_OBJECT}, '$.extra.more'),
]


class TestConvert(unittest.TestCase):
    """Validation of unknown fields, and its cost."""

    def test_accepts_valid_object(self) -> None:
        """Guards against rejecting a valid object."""
        found = codec.convert(VALID, OuterDoc)
        self.assertEqual(VALID, found.unwrap())

    def test_rejects_unknown_fields(self) -> None:
        """Guards against ignoring a misspelt field."""
        for case in UNKNOWN_CASES:
            with self.subTest(path=case.path):
                found = codec.convert({**VALID, **case.change}, OuterDoc)
                self.assertEqual(
                    f'unknown field {case.path}', found.unwrap_err()
                )

    def test_evaluates_type_hints_once(self) -> None:
        """Guards against evaluating type hints for each message.

        This took a quarter of the CPU time of an idle node.
        """
        codec.convert(VALID, OuterDoc).unwrap()
        with mock.patch.object(
            typing, 'get_type_hints', side_effect=AssertionError
        ):
            codec.convert(VALID, OuterDoc).unwrap()
