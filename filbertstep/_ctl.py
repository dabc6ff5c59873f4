"""The operators' client: every change is a numbered change ticket.

The client reads the newest state of what a command touches, writes the whole
new state into a ticket with the next number, and submits it.  When another
operator took the number first, the ticket is refused as a conflict and
nothing is repeated silently: the state that the command was based on may have
changed.
"""

import asyncio
import hashlib
import json
import pathlib
import secrets
import sys
import time
import typing

from filbertstep import _command_line
from filbertstep import _ctl_client
from filbertstep import _ctl_output
from filbertstep import burn
from filbertstep import config

NAME: typing.Final = 'filbertstep-ctl'

# Interval in seconds between two looks at a ticket that is waited for.
TICKET_POLL_INTERVAL_S: typing.Final = 0.2

# A ticket is in force everywhere within 9 s of its commit; the rest is time
# for the promise round and the writes to the store.
TICKET_WAIT_S: typing.Final = 15.0


# Exit codes after which a ticket may still take effect.
MAY_TAKE_EFFECT: typing.Final = frozenset(
    {
        _ctl_client.ExitCode.UNAVAILABLE,
        _ctl_client.ExitCode.NOT_IN_TIME,
    }
)


class Group:
    """A group of commands that share the client and the output format."""

    def __init__(self, ctl: 'Ctl') -> None:
        self._ctl = ctl

    def _show(self, value: object) -> None:
        _ctl_output.show(value, self._ctl._output)

    def _change(self, changes: list[_ctl_client.Json]) -> None:
        """Submit changes as the next ticket, wait for it and show it."""
        self._show(self._changed(changes))

    def _changed(self, changes: list[_ctl_client.Json]) -> _ctl_client.Json:
        """Submit changes as the next ticket and wait for it."""
        client = self._ctl._client()
        newest = client.call('GET', '/v1/tickets')['newest']
        ticket = {
            'number': newest + 1,
            'author': client.settings.get('author', 'operator'),
            'changes': changes,
        }
        return self._submitted(ticket)

    def _submitted(self, ticket: _ctl_client.Json) -> _ctl_client.Json:
        """Submit a ticket; return its state at the end of the wait."""
        number = ticket.get('number')
        try:
            status = self._ctl._client().call('POST', '/v1/tickets', ticket)
        except _ctl_client.CtlError as error:
            if error.code != _ctl_client.ExitCode.UNAVAILABLE:
                raise
            raise _ctl_client.CtlError(
                error.code,
                f'{error}; look whether ticket {number} took effect',
            )
        if self._ctl._no_wait:
            return status
        return self._waited(int(status['number']))

    def _waited(self, number: int) -> _ctl_client.Json:
        """Wait until a ticket is in force everywhere."""
        deadline = time.monotonic() + TICKET_WAIT_S
        while True:
            status = self._ctl._client().call('GET', f'/v1/tickets/{number}')
            if status['state'] == 'accepted':
                return status
            if time.monotonic() > deadline:
                raise _ctl_client.CtlError(
                    _ctl_client.ExitCode.NOT_IN_TIME,
                    f'ticket {number} is {status["state"]} '
                    f'after {TICKET_WAIT_S} s',
                )
            time.sleep(TICKET_POLL_INTERVAL_S)

    def _current(self, kind: str, name: str) -> _ctl_client.Json | None:
        try:
            found = self._ctl._client().call(
                'GET', f'/v1/config/{kind}/{name}'
            )
        except _ctl_client.CtlError as error:
            if error.code == _ctl_client.ExitCode.NOT_FOUND:
                return None
            raise
        return typing.cast(_ctl_client.Json, found['state'])


class Tickets(Group):
    """Numbered change tickets."""

    @_command_line.deferred
    def submit(self, file: str) -> None:
        """Submit a ticket from a JSON file; '-' reads standard input."""
        try:
            text = (
                sys.stdin.read()
                if file == '-'
                else pathlib.Path(file).read_text(encoding='utf-8')
            )
            ticket = json.loads(text)
        except (OSError, ValueError) as error:
            raise _ctl_client.CtlError(
                _ctl_client.ExitCode.USAGE, f'{file}: {error}'
            )
        if not isinstance(ticket, dict):
            raise _ctl_client.CtlError(
                _ctl_client.ExitCode.USAGE, f'{file}: a JSON object expected'
            )
        self._show(self._submitted(ticket))

    @_command_line.deferred
    def show(self, number: int) -> None:
        """Show the state of a ticket."""
        self._show(self._ctl._client().call('GET', f'/v1/tickets/{number}'))

    @_command_line.deferred
    def list(self) -> None:
        """List the newest tickets."""
        self._show(self._ctl._client().call('GET', '/v1/tickets'))

    @_command_line.deferred
    def wait(self, number: int) -> None:
        """Wait until a ticket is in force everywhere."""
        self._show(self._waited(number))


class Entities(Group):
    """Services, client accounts, caps, backend servers and the rest."""

    @_command_line.deferred
    def get(self, kind: str, name: str | None = None) -> None:
        """Show one entity of a kind, or all."""
        path = f'/v1/config/{kind}' + (f'/{name}' if name else '')
        self._show(self._ctl._client().call('GET', path))

    @_command_line.deferred
    def set(self, kind: str, name: str, **fields: typing.Any) -> None:
        """Change fields of an entity, or create it with all its fields.

        The values are those that fire reads from the command line, such as
        --rate=20 or --services='["bookings"]'.
        """
        name = str(name)
        state = {**(self._current(kind, name) or {}), **fields}
        self._change([{'kind': kind, 'name': name, 'state': state}])

    @_command_line.deferred
    def delete(self, kind: str, name: str) -> None:
        """Delete an entity."""
        self._change([{'kind': kind, 'name': str(name), 'state': None}])


class Keys(Group):
    """Keys of client accounts."""

    @_command_line.deferred
    def issue(self, client_account: str, name: str) -> None:
        """Create a key, print it once, and put it in force.

        Only its digest is sent and kept.
        """
        name = str(name)
        if self._current('key', name) is not None:
            raise _ctl_client.CtlError(
                _ctl_client.ExitCode.USAGE, f'key {name} exists already'
            )
        key = 'fbk-' + secrets.token_urlsafe(32)
        digest = hashlib.sha256(key.encode()).hexdigest()
        state = {'client_account': str(client_account), 'digest': digest}
        try:
            status = self._changed(
                [{'kind': 'key', 'name': name, 'state': state}]
            )
        except _ctl_client.CtlError as error:
            if error.code in MAY_TAKE_EFFECT:
                self._show({'key': key})
            raise
        if not self._ctl._no_wait:
            # Every VM has the ticket; each uses what it newly permits when
            # the former configuration has lapsed everywhere.
            time.sleep(config.EVIDENCE_LIFETIME_S)
        self._show({**status, 'key': key})

    @_command_line.deferred
    def withdraw(self, name: str) -> None:
        """Withdraw a key; returns when it works nowhere any more."""
        self._change([{'kind': 'key', 'name': str(name), 'state': None}])


class Drains(Group):
    """Planned drains of backend servers, VMs and regions."""

    @_command_line.deferred
    def start(self, target_kind: str, target: str) -> None:
        """Drain a target_kind (backend_server, vm or region)."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        state = {'target_kind': target_kind, 'target': target}
        self._change([{'kind': 'drain', 'name': name, 'state': state}])

    @_command_line.deferred
    def end(self, target_kind: str, target: str) -> None:
        """Put a drained target into use again."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        self._change([{'kind': 'drain', 'name': str(name), 'state': None}])


class Ctl:
    """Operators' client of filbertstep.

    Flags of every command: --settings FILE (JSON with comments: urls, token,
    author, ca_file), --output text|json, --no_wait to return when a ticket is
    committed rather than in force everywhere.  --check-settings without a
    command only checks the settings.  Exit codes: 0 done, 2 usage, 3 refused,
    4 conflict, 5 no VM could do it, 6 not in force in time, 7 not authorized,
    8 not found.
    """

    def __init__(
        self,
        settings: str = 'filbertstep-ctl.json',
        output: str = 'text',
        no_wait: bool = False,
    ) -> None:
        if output not in ('text', 'json'):
            raise _ctl_client.CtlError(
                _ctl_client.ExitCode.USAGE, f'unknown output format {output!r}'
            )
        self._settings = settings
        self._output = output
        self._no_wait = no_wait
        self.tickets = Tickets(self)
        self.entity = Entities(self)
        self.key = Keys(self)
        self.drain = Drains(self)

    def _client(self) -> _ctl_client.OperatorClient:
        return _ctl_client.OperatorClient(
            _ctl_client.load_settings(self._settings)
        )

    @_command_line.deferred
    def status(self) -> None:
        """Show the state of VMs, regions and backend servers."""
        found = self._client().call('GET', '/v1/status')
        if self._output == 'json':
            _ctl_output.show(found, 'json')
        else:
            print('\n'.join(_ctl_output.status_lines(found)))

    @_command_line.deferred
    def burn(self, plot: str | None = None) -> None:
        """Show the report on service-level burn; --plot FILE draws it."""
        made = typing.cast(
            burn.BurnReport, self._client().call('GET', '/v1/burn')
        )
        if plot is not None:
            _ctl_output.plot_burn(made, plot)
        if self._output == 'json':
            _ctl_output.show(made, 'json')
            return
        print('\n'.join(_ctl_output.burn_lines(made)))


def component(arguments: list[str]) -> object:
    """Return what reads a command line."""

    @_command_line.deferred
    def check(
        settings: str = 'filbertstep-ctl.json', check_settings: bool = False
    ) -> None:
        """Only check the settings."""
        _ctl_client.load_settings(settings)

    checking = {'--check-settings', '--check_settings'} & set(arguments)
    return check if checking else Ctl


def main() -> None:
    """Run the client; see ``Ctl`` for the commands."""
    try:
        _command_line.run(NAME, component(sys.argv[1:]))
    except _ctl_client.CtlError as error:
        print(f'{NAME}: {error}', file=sys.stderr)
        sys.exit(error.code)
    except (ValueError, OSError) as error:
        sys.exit(_command_line.report_usage_error(NAME, str(error)))
    except asyncio.CancelledError:
        sys.exit(_ctl_client.ExitCode.UNAVAILABLE)
