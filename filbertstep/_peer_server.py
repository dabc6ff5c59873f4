"""HTTP listener for messages of peers, the other VMs.

Requests are JSON messages; responses are JSON messages or failures.
"""

import collections.abc

from aiohttp import web
import result

from filbertstep import _http_peers
from filbertstep import _web
from filbertstep import codec
from filbertstep import errors
from filbertstep import systems

# A proposal contains several whole sections of up to one megabyte each.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class PeerServer:
    """Passes messages of peers to the handlers of their paths."""

    def __init__(
        self, handlers: collections.abc.Mapping[str, systems.Handler]
    ) -> None:
        self.handlers = handlers

    def make_application(self, token: str) -> web.Application:
        """Return the web application of this listener."""
        app = web.Application(
            client_max_size=MAX_MESSAGE_BYTES,
            middlewares=[
                _web.error_middleware,
                _web.require_bearer_token([token]),
            ],
        )
        app.router.add_post('/peer/{name:.+}', self.handle_message)
        return app

    async def handle_message(self, request: web.Request) -> web.Response:
        """Handle one message."""
        handler = self.handlers.get(request.path)
        if handler is None:
            return failure_response(
                errors.Failure(errors.ErrorKind.NOT_FOUND, 'unknown message')
            )
        message = codec.decode_open(await request.read(), object).unwrap_or(
            None
        )
        if not isinstance(message, dict):
            return failure_response(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST, 'a JSON object is required'
                )
            )
        answer = await handler(message)
        if isinstance(answer, result.Err):
            return failure_response(answer.err_value)
        return web.Response(
            body=codec.encode(answer.ok_value),
            content_type='application/json',
        )


def failure_response(failure: errors.Failure) -> web.Response:
    """Return the response to a peer for a failure."""
    return web.Response(
        status=errors.ANSWERS[failure.kind].status,
        body=_http_peers.encode_failure(failure),
        content_type='application/json',
    )
