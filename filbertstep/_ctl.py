"""The ``filbertstep-ctl`` command, the operators' client.

Every change is a numbered change ticket.  The client reads the current state
of the entities that a command changes, writes their complete new state into a
ticket with the next number, and submits it.  If another operator has used the
number first, the ticket is refused as a conflict.  The client does not retry
then, because the state that the command was based on may have changed.
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

COMMAND_NAME: typing.Final = 'filbertstep-ctl'

TICKET_POLL_INTERVAL_S: typing.Final = 0.2

# A ticket is in force everywhere within 9 s of its commit.  The remaining time
# is for the promise round and the writes to the store.
TICKET_WAIT_S: typing.Final = 15.0

# The ticket may still take effect after these exit codes.
MAY_TAKE_EFFECT_CODES: typing.Final = frozenset(
    {
        _ctl_client.ExitCode.UNAVAILABLE,
        _ctl_client.ExitCode.NOT_IN_TIME,
    }
)


class CommandGroup:
    """Base class of command groups.

    Names of methods that are not commands start with an underscore, because
    ``fire`` offers public methods as commands.
    """

    def __init__(self, ctl: 'Ctl') -> None:
        self._ctl = ctl

    def _print(self, value: object) -> None:
        _ctl_output.print_value(value, self._ctl._output)

    def _apply_changes(self, changes: list[_ctl_client.Json]) -> None:
        """Submit changes as the next ticket, wait for it and print it."""
        self._print(self._submit_changes(changes))

    def _submit_changes(
        self, changes: list[_ctl_client.Json]
    ) -> _ctl_client.Json:
        """Submit changes as the next ticket and wait for it."""
        client = self._ctl._client()
        newest = client.call('GET', '/v1/tickets')['newest']
        ticket = {
            'number': newest + 1,
            'author': client.settings.get('author', 'operator'),
            'changes': changes,
        }
        return self._submit_ticket(ticket)

    def _submit_ticket(self, ticket: _ctl_client.Json) -> _ctl_client.Json:
        """Submit a ticket; return its state after the wait.

        With ``--no_wait``, return the state that the submission returned.
        """
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
        return self._wait_for_ticket(int(status['number']))

    def _wait_for_ticket(self, number: int) -> _ctl_client.Json:
        """Wait until a ticket is in force everywhere; return its state.

        Raises CtlError if that takes more than ``TICKET_WAIT_S``.
        """
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

    def _current_state(self, kind: str, name: str) -> _ctl_client.Json | None:
        """Return the current state of an entity, or None if it is absent."""
        try:
            answer = self._ctl._client().call(
                'GET', f'/v1/config/{kind}/{name}'
            )
        except _ctl_client.CtlError as error:
            if error.code == _ctl_client.ExitCode.NOT_FOUND:
                return None
            raise
        return typing.cast(_ctl_client.Json, answer['state'])


class Tickets(CommandGroup):
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
        self._print(self._submit_ticket(ticket))

    @_command_line.deferred
    def show(self, number: int) -> None:
        """Show the state of a ticket."""
        self._print(self._ctl._client().call('GET', f'/v1/tickets/{number}'))

    @_command_line.deferred
    def list(self) -> None:
        """List the newest tickets."""
        self._print(self._ctl._client().call('GET', '/v1/tickets'))

    @_command_line.deferred
    def wait(self, number: int) -> None:
        """Wait until a ticket is in force everywhere."""
        self._print(self._wait_for_ticket(number))


class Entities(CommandGroup):
    """Services, client accounts, caps, backend servers and other entities."""

    @_command_line.deferred
    def get(self, kind: str, name: str | None = None) -> None:
        """Show one entity of a kind, or all."""
        path = f'/v1/config/{kind}' + (f'/{name}' if name else '')
        self._print(self._ctl._client().call('GET', path))

    @_command_line.deferred
    def set(self, kind: str, name: str, **fields: typing.Any) -> None:
        """Change fields of an entity, or create it with all its fields.

        Each field is a flag, such as --rate=20 or --services='["bookings"]'.
        """
        name = str(name)
        state = {**(self._current_state(kind, name) or {}), **fields}
        self._apply_changes([{'kind': kind, 'name': name, 'state': state}])

    @_command_line.deferred
    def delete(self, kind: str, name: str) -> None:
        """Delete an entity."""
        self._apply_changes([{'kind': kind, 'name': str(name), 'state': None}])


class Keys(CommandGroup):
    """Keys of client accounts."""

    @_command_line.deferred
    def issue(self, client_account: str, name: str) -> None:
        """Create a key, put it in force and print it.

        The key is printed only this once, because only its digest is sent and
        stored.
        """
        name = str(name)
        if self._current_state('key', name) is not None:
            raise _ctl_client.CtlError(
                _ctl_client.ExitCode.USAGE, f'key {name} exists already'
            )
        key = 'fbk-' + secrets.token_urlsafe(32)
        digest = hashlib.sha256(key.encode()).hexdigest()
        state = {'client_account': str(client_account), 'digest': digest}
        try:
            status = self._submit_changes(
                [{'kind': 'key', 'name': name, 'state': state}]
            )
        except _ctl_client.CtlError as error:
            if error.code in MAY_TAKE_EFFECT_CODES:
                self._print({'key': key})
            raise
        if not self._ctl._no_wait:
            # All VMs have the ticket.  A VM accepts the new key only once the
            # previous configuration has expired on all VMs.
            time.sleep(config.EVIDENCE_LIFETIME_S)
        self._print({**status, 'key': key})

    @_command_line.deferred
    def withdraw(self, name: str) -> None:
        """Withdraw a key; return when no VM accepts it any more."""
        self._apply_changes(
            [{'kind': 'key', 'name': str(name), 'state': None}]
        )


class Drains(CommandGroup):
    """Planned drains of backend servers, VMs and regions."""

    @_command_line.deferred
    def start(self, target_kind: str, target: str) -> None:
        """Drain a target; TARGET_KIND is backend_server, vm or region."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        state = {'target_kind': target_kind, 'target': target}
        self._apply_changes([{'kind': 'drain', 'name': name, 'state': state}])

    @_command_line.deferred
    def end(self, target_kind: str, target: str) -> None:
        """End the drain of a target."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        self._apply_changes(
            [{'kind': 'drain', 'name': str(name), 'state': None}]
        )


class Ctl:
    """Operators' client of filbertstep.

    Flags of all commands: --settings FILE (JSON with comments: urls, token,
    author, ca_file), --output text|json, --no_wait to return as soon as a
    ticket is committed, without waiting until it is in force everywhere.
    --check-settings without a command only checks the settings.  Exit codes:
    0 success, 2 usage error, 3 refused, 4 ticket conflict, 5 no VM could
    do it, 6 ticket not in force in time, 7 not authorized, 8 not found.
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
        answer = self._client().call('GET', '/v1/status')
        if self._output == 'json':
            _ctl_output.print_value(answer, 'json')
        else:
            print('\n'.join(_ctl_output.status_lines(answer)))

    @_command_line.deferred
    def burn(self, plot: str | None = None) -> None:
        """Show the report on error budgets; --plot FILE draws a chart."""
        report = typing.cast(
            burn.BurnReport, self._client().call('GET', '/v1/burn')
        )
        if plot is not None:
            _ctl_output.plot_burn(report, plot)
        if self._output == 'json':
            _ctl_output.print_value(report, 'json')
            return
        print('\n'.join(_ctl_output.burn_lines(report)))


def select_component(arguments: list[str]) -> object:
    """Return the component that ``fire`` runs for a command line."""

    @_command_line.deferred
    def check(
        settings: str = 'filbertstep-ctl.json', check_settings: bool = False
    ) -> None:
        """Only check the settings."""
        _ctl_client.load_settings(settings)

    check_flags = {'--check-settings', '--check_settings'} & set(arguments)
    return check if check_flags else Ctl


def main() -> None:
    """Run the ``filbertstep-ctl`` command; see ``Ctl`` for the subcommands."""
    try:
        _command_line.run(COMMAND_NAME, select_component(sys.argv[1:]))
    except _ctl_client.CtlError as error:
        print(f'{COMMAND_NAME}: {error}', file=sys.stderr)
        sys.exit(error.code)
    except (ValueError, OSError) as error:
        sys.exit(_command_line.report_usage_error(COMMAND_NAME, str(error)))
    except asyncio.CancelledError:
        sys.exit(_ctl_client.ExitCode.UNAVAILABLE)
