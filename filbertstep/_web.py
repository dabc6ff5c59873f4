"""HTTP server functions shared by the listeners."""

import asyncio
import collections.abc
import hmac
import logging
import traceback
import typing

from aiohttp import typedefs
from aiohttp import web
import logbook

from filbertstep import _tls
from filbertstep import codec
from filbertstep import errors
from filbertstep import settings

LOGGER = logbook.Logger('web')

# aiohttp logs malformed request heads in full, including keys, so its log is
# discarded.  ``error_middleware`` logs unexpected exceptions.
SILENCED_LOGGER: typing.Final = logging.getLogger('filbertstep.http')
SILENCED_LOGGER.propagate = False
SILENCED_LOGGER.addHandler(logging.NullHandler())

WebHandler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]

ERROR_KIND_HEADER: typing.Final = 'X-Error-Kind'
RAN_HEADER: typing.Final = 'X-Ran'


def error_response(
    failure: errors.Failure,
    headers: dict[str, str] | None = None,
    ran: errors.Ran | None = None,
) -> web.Response:
    """Return the HTTP response for a failure.

    ``ran`` replaces what the error kind says about whether the request ran.
    """
    answer = errors.ANSWERS[failure.kind]
    reported_ran = answer.ran if ran is None else ran
    response_headers = {
        ERROR_KIND_HEADER: failure.kind.value,
        RAN_HEADER: reported_ran.value,
        **(headers or {}),
    }
    if failure.retry_after_s is not None:
        # Rounded up to whole seconds, so that callers do not retry too early.
        response_headers['Retry-After'] = str(
            max(1, -int(-failure.retry_after_s // 1))
        )
    return web.Response(
        status=answer.status,
        headers=response_headers,
        body=codec.encode(
            {**errors.error_body(failure), 'ran': reported_ran.value}
        ),
        content_type='application/json',
    )


def json_response(value: object) -> web.Response:
    """Return a JSON response with status 200."""
    return web.Response(
        body=codec.encode(value), content_type='application/json'
    )


def require_bearer_token(
    tokens: collections.abc.Sequence[str],
) -> typedefs.Middleware:
    """Return a middleware that refuses requests without one of the tokens."""
    accepted_values = [f'Bearer {token}'.encode() for token in tokens]

    @web.middleware
    async def check_token(
        request: web.Request, handler: WebHandler
    ) -> web.StreamResponse:
        given_value = request.headers.get('Authorization', '').encode(
            'utf-8', 'surrogateescape'
        )
        # Compares with every token, so that the time does not depend on which
        # token matches.
        matches = [
            hmac.compare_digest(given_value, accepted)
            for accepted in accepted_values
        ]
        if not any(matches):
            return error_response(
                errors.Failure(
                    errors.ErrorKind.UNAUTHORIZED,
                    'a valid bearer token is required',
                )
            )
        return await handler(request)

    return check_token


@web.middleware
async def error_middleware(
    request: web.Request, handler: WebHandler
) -> web.StreamResponse:
    """Turn exceptions of handlers into error responses of a known kind."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        return error_response(
            errors.Failure(
                errors.ErrorKind.BODY_TOO_LARGE, 'the body is too large'
            )
        )
    except web.HTTPException as error:
        kind = (
            errors.ErrorKind.NOT_FOUND
            if error.status == 404
            else errors.ErrorKind.BAD_REQUEST
        )
        return error_response(errors.Failure(kind, error.reason))
    except (ConnectionError, asyncio.IncompleteReadError):
        raise
    except Exception as error:
        # The exception's message is not logged, because it may contain parts
        # of a request.
        LOGGER.error(
            'unhandled_exception type={} at={}',
            type(error).__name__,
            ' '.join(traceback.format_tb(error.__traceback__)),
        )
        return error_response(
            errors.Failure(errors.ErrorKind.INTERNAL, 'internal error')
        )


async def start_listener(
    app: web.Application,
    listener: settings.Listener,
    stop_timeout_s: float,
    parser_limits: collections.abc.Mapping[str, typing.Any] | None = None,
) -> web.AppRunner:
    """Start to serve an application.

    ``parser_limits`` are keyword arguments for aiohttp's request parser.
    """
    runner = web.AppRunner(
        app,
        **(parser_limits or {}),
        access_log=None,
        logger=SILENCED_LOGGER,
        handler_cancellation=True,
        shutdown_timeout=stop_timeout_s,
    )
    await runner.setup()
    site = web.TCPSite(
        runner,
        listener.host,
        listener.port,
        ssl_context=_tls.server_context(listener),
        # The next process of this VM must not bind before this one has ended,
        # because a promise of the next process (see ``_promises``) also counts
        # as one of this process.
        reuse_port=False,
    )
    await site.start()
    return runner
