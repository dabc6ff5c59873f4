"""Grants and request ids, which name the owner and backup of a request.

A look-up response contains a grant for each VM.  The caller appends a suffix
of its own to form a request id.  The id names the only process that may run
the request (the owner) and the process that records it (the backup).  Both are
processes, not VMs: a restarted VM has another incarnation.

The text of a request id is ``owner~owner incarnation~backup~backup
incarnation~minute~suffix``; a grant is the same without the suffix.
"""

import re
import typing

import result

from filbertstep import clock
from filbertstep import errors

SEPARATOR: typing.Final = '~'

# No part may contain the separator.  The length limits keep the backup's
# records small.
VM_PATTERN: typing.Final = r'[a-z0-9][a-z0-9-]{0,62}'
INCARNATION_PATTERN: typing.Final = r'[A-Za-z0-9._-]{1,64}'
# Without leading zeros, because two spellings of one grant would form two ids.
MINUTE_PATTERN: typing.Final = r'0|[1-9][0-9]{0,9}'
SUFFIX_PATTERN: typing.Final = r'[A-Za-z0-9-]{1,64}'

# Two VM names, two incarnations, minute, suffix and five separators.
MAX_REQUEST_ID_LENGTH: typing.Final = 63 * 2 + 64 * 2 + 10 + 64 + 5

GRANT_REGEX: typing.Final = re.compile(
    f'({VM_PATTERN})~({INCARNATION_PATTERN})'
    f'~({VM_PATTERN})~({INCARNATION_PATTERN})~({MINUTE_PATTERN})'
)
REQUEST_ID_REGEX: typing.Final = re.compile(
    f'(?P<grant>{GRANT_REGEX.pattern})~({SUFFIX_PATTERN})'
)

minute_of = clock.minute_of


class Grant(typing.NamedTuple):
    """Permission for the owner process to run requests.

    The backup process records them; it may be the owner itself.  ``minute`` is
    the backup's minute counter at the time of the grant.
    """

    owner: str
    owner_incarnation: str
    backup: str
    backup_incarnation: str
    minute: int


class RequestId(typing.NamedTuple):
    """An idempotency key: a grant and a suffix chosen by the caller."""

    grant: Grant
    suffix: str


def format_grant(grant: Grant) -> str:
    """Return the text of a grant."""
    return SEPARATOR.join(
        (
            grant.owner,
            grant.owner_incarnation,
            grant.backup,
            grant.backup_incarnation,
            str(grant.minute),
        )
    )


def format_request_id(request_id: RequestId) -> str:
    """Return the text of a request id."""
    return f'{format_grant(request_id.grant)}{SEPARATOR}{request_id.suffix}'


def parse_grant(text: str) -> result.Result[Grant, errors.Failure]:
    """Parse a grant.  Failure: ``bad_request``."""
    match = (
        GRANT_REGEX.fullmatch(text)
        if len(text) <= MAX_REQUEST_ID_LENGTH
        else None
    )
    if match is None:
        return malformed('grant')
    return result.Ok(grant_from_groups(match.groups()))


def parse_request_id(text: str) -> result.Result[RequestId, errors.Failure]:
    """Parse a request id.  Failure: ``bad_request``."""
    match = (
        REQUEST_ID_REGEX.fullmatch(text)
        if len(text) <= MAX_REQUEST_ID_LENGTH
        else None
    )
    if match is None:
        return malformed('request id')
    groups = match.groups()
    return result.Ok(RequestId(grant_from_groups(groups[1:6]), groups[6]))


def grant_from_groups(groups: tuple[str, ...]) -> Grant:
    """Return the grant from the five groups of ``GRANT_REGEX``."""
    owner, owner_incarnation, backup, backup_incarnation, minute = groups
    return Grant(
        owner, owner_incarnation, backup, backup_incarnation, int(minute)
    )


def malformed(what: str) -> result.Err[errors.Failure]:
    """Return the failure for a malformed text, which it does not repeat."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.BAD_REQUEST,
            f'the {what} is not of the form that a look-up gives',
        )
    )
