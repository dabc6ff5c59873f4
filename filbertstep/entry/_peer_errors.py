"""Errors of a request to another entry VM."""

import typing

import aiohttp

# What the HTTP client raises, and what decoding an answer raises: a peer may
# be of another version, or send an answer that is nested too deeply.
PEER_ERRORS: typing.Final = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    ValueError,
    RecursionError,
)
