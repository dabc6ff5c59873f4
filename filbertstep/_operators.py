"""HTTP listener for operators.

It serves tickets, the configuration, the status, the report on error budgets
(burn), and metrics.
"""

import asyncio
import collections.abc
import typing

from aiohttp import web
import result

from filbertstep import _web
from filbertstep import agreement
from filbertstep import burn
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import metrics
from filbertstep import systems
from filbertstep import transport

# A ticket may contain several sections of up to one megabyte each.
MAX_TICKET_BYTES: typing.Final = 8 * 1024 * 1024

BURN_PATH: typing.Final = '/peer/burn'
PEER_TIMEOUT_S: typing.Final = 2.0


class BurnAnswerDoc(typing.TypedDict):
    """The rows that one VM counted for the report on error budgets.

    ``covered_min`` is the time in minutes since the VM began to count.
    """

    minutes: list[burn.MinuteDoc]
    covered_min: float


class OperatorListener:
    """HTTP handlers for operators; every VM can serve every request."""

    def __init__(
        self,
        vm: str,
        agreement: agreement.Agreement,
        views: config.ViewTable,
        burn_table: burn.BurnTable,
        peers: transport.Peers,
        clock: clock.Clock,
        counters: metrics.Metrics,
        status: collections.abc.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self.vm = vm
        self.agreement = agreement
        self.views = views
        self.burn_table = burn_table
        self.peers = peers
        self.clock = clock
        self.counters = counters
        self.status = status

    def make_application(
        self, tokens: collections.abc.Sequence[str]
    ) -> web.Application:
        """Return the web application of this listener."""
        app = web.Application(
            client_max_size=MAX_TICKET_BYTES,
            middlewares=[
                _web.error_middleware,
                _web.require_bearer_token(tokens),
            ],
        )
        app.router.add_get('/v1/status', self.get_status)
        app.router.add_get('/v1/tickets', self.list_tickets)
        app.router.add_post('/v1/tickets', self.submit_ticket)
        app.router.add_get('/v1/tickets/{number}', self.get_ticket)
        app.router.add_get('/v1/config', self.get_config)
        app.router.add_get('/v1/config/{kind}', self.get_config)
        app.router.add_get('/v1/config/{kind}/{name}', self.get_config)
        app.router.add_get('/v1/burn', self.get_burn)
        app.router.add_get('/metrics', self.get_metrics)
        return app

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handlers of calls from peers, by path."""
        return {BURN_PATH: self.handle_burn_request}

    async def get_status(self, request: web.Request) -> web.Response:
        """Respond with this VM's status document."""
        return _web.json_response(self.status())

    async def list_tickets(self, request: web.Request) -> web.Response:
        """Respond with recent tickets and the newest ticket number."""
        newest = self.views.newest
        return _web.json_response(
            {
                'newest': 0 if newest is None else newest.head['ticket'],
                'tickets': [
                    row._asdict() for row in self.agreement.recent_tickets()
                ],
            }
        )

    async def submit_ticket(self, request: web.Request) -> web.Response:
        """Commit a ticket; respond when the store has it."""
        decoded = codec.decode_open(await request.read(), object)
        if isinstance(decoded, result.Err):
            return _web.error_response(
                errors.Failure(
                    errors.ErrorKind.INVALID_TICKET,
                    f'not JSON: {decoded.err_value}',
                )
            )
        submitted = await self.agreement.submit_ticket(decoded.ok_value)
        if isinstance(submitted, result.Err):
            return _web.error_response(submitted.err_value)
        return _web.json_response(submitted.ok_value._asdict())

    async def get_ticket(self, request: web.Request) -> web.Response:
        """Respond with the state of one ticket."""
        text = request.match_info['number']
        if not text.isdecimal() or len(text) > 12:
            return _web.error_response(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    'a ticket number is a positive integer',
                )
            )
        status = self.agreement.ticket_status(int(text))
        if status is None:
            return not_found_response(f'there is no ticket {text}')
        return _web.json_response(status._asdict())

    async def get_config(self, request: web.Request) -> web.Response:
        """Respond with all configuration, that of a kind, or one entity's."""
        newest = self.views.newest
        documents = (
            config.empty_documents() if newest is None else newest.documents
        )
        kind, name = (
            request.match_info.get('kind'),
            request.match_info.get('name'),
        )
        if kind is None:
            return _web.json_response(
                {key.value: rows for key, rows in documents.items()}
            )
        if kind not in set(config.EntityKind):
            return not_found_response(f'there is no kind {kind!r}')
        rows = documents[config.EntityKind(kind)]
        if name is None:
            return _web.json_response(rows)
        if name not in rows:
            return not_found_response(f'there is no {kind} {name!r}')
        return _web.json_response(
            {'kind': kind, 'name': name, 'state': rows[name]}
        )

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Respond with the metrics in the Prometheus text format."""
        return web.Response(
            body=self.counters.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def handle_burn_request(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Handle the call of a peer that builds a report."""
        return result.Ok(
            typing.cast(transport.Message, self.own_burn_answer())
        )

    def own_burn_answer(self) -> BurnAnswerDoc:
        """Return the rows of this VM."""
        now = self.clock.now()
        return {
            'minutes': self.burn_table.export(now),
            'covered_min': (now - self.burn_table.started) / 60,
        }

    async def get_burn(self, request: web.Request) -> web.Response:
        """Collect the rows of all members and respond with the report."""
        newest = self.views.newest
        members = [] if newest is None else sorted(newest.epoch.members)
        other_members = [vm for vm in members if vm != self.vm]
        answers = await asyncio.gather(
            *(
                self.peers.call(vm, BURN_PATH, {}, PEER_TIMEOUT_S)
                for vm in other_members
            )
        )
        answers_by_vm: dict[str, BurnAnswerDoc] = {
            self.vm: self.own_burn_answer()
        }
        for vm, answer in zip(other_members, answers):
            converted = answer.and_then(
                lambda message: codec.convert(message, BurnAnswerDoc).map_err(
                    lambda text: errors.Failure(
                        errors.ErrorKind.INTERNAL, text
                    )
                )
            )
            if isinstance(converted, result.Ok):
                answers_by_vm[vm] = converted.ok_value
        report = burn.build_report(
            burn.merge_exports(
                answer['minutes'] for answer in answers_by_vm.values()
            ),
            config.EMPTY_CONFIG if newest is None else newest.config,
            sorted(answers_by_vm),
            [vm for vm in other_members if vm not in answers_by_vm],
            min(answer['covered_min'] for answer in answers_by_vm.values()),
        )
        return _web.json_response(report)


def not_found_response(message: str) -> web.Response:
    """Return the response for an entity that does not exist."""
    return _web.error_response(
        errors.Failure(errors.ErrorKind.NOT_FOUND, message)
    )
