"""Parsing of the whole numbers that other programs send as text."""

import typing

# Numbers of so many digits fit into 64 bits and can become floats.
MAX_DIGITS: typing.Final = 18


def parse_decimal(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Parse a whole number; None unless it is a few ASCII digits.

    ``str.isdigit`` alone also accepts digits of other scripts, superscripts
    that ``int`` rejects, and texts that are too long for it.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= max_digits):
        return None
    return int(text)
