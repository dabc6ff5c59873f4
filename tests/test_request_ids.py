"""Tests of grants and request ids."""

import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import delivery
from filbertstep import errors

VALID_ID = 'vm-1~a1~vm-2~b.2_c-d~17~0f8fad5b-d9cb-469f-a165-70867728950e'


class MalformedCase(typing.NamedTuple):
    """A text that is not a valid request id."""

    text: str
    fault: str


MALFORMED_CASES = [
    MalformedCase('', 'empty'),
    MalformedCase('vm-1~a1~vm-2~b2~17', 'a grant without a suffix'),
    MalformedCase('vm-1~a1~vm-2~b2~17~', 'empty suffix'),
    MalformedCase('vm-1~a1~vm-2~b2~17~x~y', 'a part too many'),
    MalformedCase('VM-1~a1~vm-2~b2~17~x', 'upper case in a VM name'),
    MalformedCase('vm-1~~vm-2~b2~17~x', 'empty incarnation'),
    MalformedCase('vm-1~a1~vm-2~b2~017~x', 'second spelling of a minute'),
    MalformedCase('vm-1~a1~vm-2~b2~-1~x', 'negative minute'),
    MalformedCase('vm-1~a1~vm-2~b2~+1~x', 'signed minute'),
    MalformedCase('vm-1~a1~vm-2~b2~12345678901~x', 'long minute'),
    MalformedCase('vm-1~a1~vm-2~b2~\u0661~x', 'digit of another script'),
    MalformedCase('vm-1~a1~vm-2~b2~17~x\n', 'line break at the end'),
    MalformedCase('vm-1~a1~vm-2~b2~17~x y', 'blank in the suffix'),
    MalformedCase('vm-1~a1~vm-2~b2~17~' + 'x' * 65, 'long suffix'),
    MalformedCase('v' * 64 + '~a1~vm-2~b2~17~x', 'long VM name'),
    MalformedCase('vm-1~' + 'a' * 65 + '~vm-2~b2~17~x', 'long incarnation'),
]

VM = strategies.from_regex(r'[a-z0-9][a-z0-9-]{0,62}', fullmatch=True)
INCARNATION = strategies.from_regex(r'[A-Za-z0-9._-]{1,64}', fullmatch=True)
GRANT = strategies.builds(
    delivery.Grant,
    VM,
    INCARNATION,
    VM,
    INCARNATION,
    strategies.integers(0, 9_999_999_999),
)
SUFFIX = strategies.from_regex(r'[A-Za-z0-9-]{1,64}', fullmatch=True)


class TestRequestId(unittest.TestCase):
    """Only well-formed request ids are accepted."""

    def test_valid_id_is_parsed(self) -> None:
        """Guards against parts that are parsed in the wrong order."""
        parsed = delivery.parse_request_id(VALID_ID).unwrap()
        self.assertEqual(
            delivery.Grant('vm-1', 'a1', 'vm-2', 'b.2_c-d', 17), parsed.grant
        )
        self.assertEqual(VALID_ID, delivery.format_request_id(parsed))

    def test_malformed_texts_are_refused(self) -> None:
        """Guards against two ids for one request and against huge ids."""
        for case in MALFORMED_CASES:
            with self.subTest(case.fault):
                parsed = delivery.parse_request_id(case.text)
                self.assertIsInstance(parsed, result.Err)
                failure = parsed.unwrap_err()
                self.assertIs(errors.ErrorKind.BAD_REQUEST, failure.kind)

    @hypothesis.settings(derandomize=True, database=None, max_examples=200)
    @hypothesis.given(GRANT, SUFFIX)
    def test_round_trip(self, grant: delivery.Grant, suffix: str) -> None:
        """Guards against a grant that its own look-up cannot read back."""
        request_id = delivery.RequestId(grant, suffix)
        text = delivery.format_request_id(request_id)
        self.assertEqual(request_id, delivery.parse_request_id(text).unwrap())
        self.assertEqual(
            grant,
            delivery.parse_grant(delivery.format_grant(grant)).unwrap(),
        )

    @hypothesis.settings(derandomize=True, database=None, max_examples=300)
    @hypothesis.given(strategies.text(max_size=400))
    def test_any_text_is_read_or_refused(self, text: str) -> None:
        """Guards against exceptions on texts that callers make up."""
        parsed = delivery.parse_request_id(text)
        if isinstance(parsed, result.Ok):
            self.assertEqual(text, delivery.format_request_id(parsed.ok_value))
