"""Peer messages and failures of the intent protocol."""

import base64
import typing

import result

from filbertstep import _intent_table
from filbertstep import errors

INTENT_PATH: typing.Final = '/peer/intent'


class StoredResponseDoc(typing.TypedDict):
    """Wire format of a stored response; ``body`` is base64."""

    status: int
    headers: list[list[str]]
    body: str
    too_large: bool


class IntentDoc(typing.TypedDict):
    """Wire format of an event for the backup; ``id`` is a request id."""

    event: _intent_table.Event
    account: str
    id: str
    digest: str
    answer: StoredResponseDoc | None


class ReplyDoc(typing.TypedDict):
    """Wire format of the backup's reply."""

    reply: _intent_table.Reply
    answer: StoredResponseDoc | None


RequestOutcome = result.Result[_intent_table.StoredResponse, errors.Failure]
"""Response to a request that ran, or why there is none."""


def response_to_doc(
    response: _intent_table.StoredResponse | None,
) -> StoredResponseDoc | None:
    """Return the wire format of a stored response."""
    if response is None:
        return None
    return {
        'status': response.status,
        'headers': [list(pair) for pair in response.headers],
        'body': base64.b64encode(response.body).decode('ascii'),
        'too_large': response.too_large,
    }


def response_from_doc(
    doc: StoredResponseDoc | None,
) -> result.Result[_intent_table.StoredResponse | None, errors.Failure]:
    """Return the stored response of a document, or ``bad_request``."""
    if doc is None:
        return result.Ok(None)
    if any(len(pair) != 2 for pair in doc['headers']):
        return bad_request('a header is a pair of name and value')
    try:
        body = base64.b64decode(doc['body'], validate=True)
    except ValueError:
        return bad_request('the stored body is not base64')
    headers = tuple((pair[0], pair[1]) for pair in doc['headers'])
    return result.Ok(
        _intent_table.StoredResponse(
            doc['status'], headers, body, doc['too_large']
        )
    )


def bad_request(message: str) -> result.Err[errors.Failure]:
    """Return the failure for a malformed message."""
    return result.Err(errors.Failure(errors.ErrorKind.BAD_REQUEST, message))


def not_run(message: str) -> result.Err[errors.Failure]:
    """Return the failure for a request that did not run and never will."""
    return result.Err(errors.Failure(errors.ErrorKind.NOT_RUN, message))


def outcome_unknown(message: str) -> result.Err[errors.Failure]:
    """Return the failure for a request that may or may not have run."""
    return result.Err(
        errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, message)
    )


def overloaded() -> result.Err[errors.Failure]:
    """Return the failure for a full table of owned requests."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.OVERLOADED, 'too many request ids are held', 1.0
        )
    )
