"""The operators' client: every change is a numbered change ticket.

The client reads the newest state of what a command touches, writes the whole
new state into a ticket with the next number, and submits it.  When another
operator took the number first, the ticket is refused as a conflict and
nothing is repeated silently: the state that the command was based on may have
changed.
"""

import asyncio
import collections.abc
import hashlib
import json
import pathlib
import secrets
import sys
import time
import typing

import aiohttp
import fire
import msgspec
import result
import uvloop

import filbertstep
from filbertstep import burn
from filbertstep import codec
from filbertstep import errors

CALL_TIMEOUT_S: typing.Final = 15.0

# Interval in seconds between two looks at a ticket that is waited for.
POLL_S: typing.Final = 0.2

# A ticket is in force everywhere within 9 s of its commit; the rest is time
# for the promise round and the writes to the store.
WAIT_S: typing.Final = 15.0


class ExitCode:
    """Exit codes of the client."""

    OK: typing.Final = 0
    USAGE: typing.Final = 2
    REFUSED: typing.Final = 3
    CONFLICT: typing.Final = 4
    UNAVAILABLE: typing.Final = 5
    NOT_IN_TIME: typing.Final = 6
    UNAUTHORIZED: typing.Final = 7
    NOT_FOUND: typing.Final = 8


EXIT_CODES: typing.Final[dict[errors.ErrorKind, int]] = {
    errors.ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    errors.ErrorKind.INVALID_TICKET: ExitCode.REFUSED,
    errors.ErrorKind.BODY_TOO_LARGE: ExitCode.REFUSED,
    errors.ErrorKind.TICKET_CONFLICT: ExitCode.CONFLICT,
    errors.ErrorKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    errors.ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


class ClientSettingsDoc(typing.TypedDict):
    """Settings file of the client: operators' URLs of VMs, and a token."""

    urls: list[str]
    token: str
    author: typing.NotRequired[str]


class CtlError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


Json = dict[str, typing.Any]
"""A JSON object of the operators' interface; the server checks requests."""


def load_settings(path: str) -> ClientSettingsDoc:
    """Read and check the client's settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise CtlError(ExitCode.USAGE, f'cannot read {path}: {error}')
    decoded = codec.decode_with_comments(text, ClientSettingsDoc)
    if isinstance(decoded, result.Err):
        raise CtlError(ExitCode.USAGE, f'{path}: {decoded.err_value}')
    return decoded.ok_value


class Client:
    """Calls the operators' interface of the first VM that answers."""

    def __init__(self, settings: ClientSettingsDoc) -> None:
        self.settings = settings

    def call(self, method: str, path: str, body: object = None) -> Json:
        """Do one call; raise CtlError for an error answer."""
        return uvloop.run(self.call_any(method, path, body))

    async def call_any(self, method: str, path: str, body: object) -> Json:
        """Try the VMs in order until one can be reached."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=2)
        tried: list[str] = []
        headers = {'Authorization': f'Bearer {self.settings["token"]}'}
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            for url in self.settings['urls']:
                try:
                    return await call_one(
                        session, method, url.rstrip('/') + path, body
                    )
                except aiohttp.ClientConnectorError as error:
                    # Not sent, so another VM may be asked even for a ticket.
                    tried.append(f'{url}: {error}')
                except (aiohttp.ClientError, TimeoutError) as error:
                    tried.append(f'{url}: {type(error).__name__} {error}')
                    if method != 'GET':
                        break
        raise CtlError(
            ExitCode.UNAVAILABLE, 'no VM answered: ' + '; '.join(tried)
        )


async def call_one(
    session: aiohttp.ClientSession, method: str, url: str, body: object
) -> Json:
    """Do one call at one VM."""
    data = None if body is None else codec.encode(body)
    async with session.request(
        method, url, data=data, allow_redirects=False
    ) as response:
        raw = await response.read()
    try:
        decoded = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        decoded = None
    if not isinstance(decoded, dict):
        raise CtlError(
            ExitCode.UNAVAILABLE, f'{url}: unreadable answer {response.status}'
        )
    if response.status >= 400:
        raise answer_error(decoded)
    return decoded


def answer_error(decoded: Json) -> CtlError:
    """Return the exception for an error answer."""
    try:
        kind = errors.ErrorKind(str(decoded.get('kind')))
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    code = EXIT_CODES.get(kind, ExitCode.UNAVAILABLE)
    return CtlError(code, f'{kind.value}: {decoded.get("message", "")}')


def show(value: object, output: str) -> None:
    """Print a value as JSON or as indented text."""
    printers: dict[str, collections.abc.Callable[[object], str]] = {
        'json': lambda item: json.dumps(item, sort_keys=True),
        'text': lambda item: '\n'.join(text_lines(item)),
    }
    if output not in printers:
        raise CtlError(ExitCode.USAGE, f'unknown output format {output!r}')
    print(printers[output](value))


def text_lines(value: object, indent: str = '') -> list[str]:
    """Return a JSON value as indented lines."""
    if isinstance(value, dict):
        lines = []
        for name, item in value.items():
            if isinstance(item, (dict, list)) and item:
                lines.append(f'{indent}{name}:')
                lines.extend(text_lines(item, indent + '  '))
            else:
                lines.append(f'{indent}{name}: {scalar(item)}')
        return lines
    if isinstance(value, list):
        lines = []
        for item in value:
            nested = text_lines(item, indent + '  ')
            lines.append(f'{indent}- {nested[0].strip()}' if nested else '-')
            lines.extend(nested[1:])
        return lines
    return [f'{indent}{scalar(value)}']


def scalar(value: object) -> str:
    """Return a JSON scalar as text."""
    return json.dumps(value) if not isinstance(value, str) else value


class Group:
    """A group of commands that share the client and the output format."""

    def __init__(self, ctl: 'Ctl') -> None:
        self._ctl = ctl

    def _show(self, value: object) -> None:
        show(value, self._ctl.output)

    def _change(self, changes: list[Json]) -> None:
        """Submit changes as the next ticket and wait for it."""
        client = self._ctl.client
        newest = client.call('GET', '/v1/tickets')['newest']
        ticket = {
            'number': newest + 1,
            'author': client.settings.get('author', 'operator'),
            'changes': changes,
        }
        self._submit(ticket)

    def _submit(self, ticket: Json) -> None:
        status = self._ctl.client.call('POST', '/v1/tickets', ticket)
        if self._ctl.no_wait:
            self._show(status)
            return
        self._wait(int(status['number']))

    def _wait(self, number: int) -> None:
        deadline = time.monotonic() + WAIT_S
        while True:
            status = self._ctl.client.call('GET', f'/v1/tickets/{number}')
            if status['state'] == 'accepted':
                self._show(status)
                return
            if time.monotonic() > deadline:
                self._show(status)
                raise CtlError(
                    ExitCode.NOT_IN_TIME,
                    f'ticket {number} is {status["state"]} after {WAIT_S} s',
                )
            time.sleep(POLL_S)

    def _current(self, kind: str, name: str) -> Json | None:
        try:
            found = self._ctl.client.call('GET', f'/v1/config/{kind}/{name}')
        except CtlError as error:
            if error.code == ExitCode.NOT_FOUND:
                return None
            raise
        return typing.cast(Json, found['state'])


class Tickets(Group):
    """Numbered change tickets."""

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
            raise CtlError(ExitCode.USAGE, f'{file}: {error}')
        if not isinstance(ticket, dict):
            raise CtlError(ExitCode.USAGE, f'{file}: a JSON object expected')
        self._submit(ticket)

    def show(self, number: int) -> None:
        """Show the state of a ticket."""
        self._show(self._ctl.client.call('GET', f'/v1/tickets/{number}'))

    def list(self) -> None:
        """List the newest tickets."""
        self._show(self._ctl.client.call('GET', '/v1/tickets'))

    def wait(self, number: int) -> None:
        """Wait until a ticket is in force everywhere."""
        self._wait(number)


class Entities(Group):
    """Services, client accounts, caps, backend servers and the rest."""

    def get(self, kind: str, name: str | None = None) -> None:
        """Show one entity of a kind, or all."""
        path = f'/v1/config/{kind}' + (f'/{name}' if name else '')
        self._show(self._ctl.client.call('GET', path))

    def set(self, kind: str, name: str, **fields: typing.Any) -> None:
        """Change fields of an entity, or create it with all its fields.

        The values are those that fire reads from the command line, such as
        --rate=20 or --services='["bookings"]'.
        """
        state = {**(self._current(kind, name) or {}), **fields}
        self._change([{'kind': kind, 'name': name, 'state': state}])

    def delete(self, kind: str, name: str) -> None:
        """Delete an entity."""
        self._change([{'kind': kind, 'name': name, 'state': None}])


class Keys(Group):
    """Keys of client accounts."""

    def issue(self, client_account: str, name: str) -> None:
        """Create a key, print it once, and put it in force.

        Only its digest is sent and kept.
        """
        if self._current('key', name) is not None:
            raise CtlError(ExitCode.USAGE, f'key {name} exists already')
        key = 'fbk-' + secrets.token_urlsafe(32)
        digest = hashlib.sha256(key.encode()).hexdigest()
        state = {'client_account': client_account, 'digest': digest}
        self._change([{'kind': 'key', 'name': name, 'state': state}])
        print(key)

    def withdraw(self, name: str) -> None:
        """Withdraw a key; returns when it works nowhere any more."""
        self._change([{'kind': 'key', 'name': name, 'state': None}])


class Drains(Group):
    """Planned drains of backend servers, VMs and regions."""

    def start(self, target_kind: str, target: str) -> None:
        """Drain a target_kind (backend_server, vm or region)."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        state = {'target_kind': target_kind, 'target': target}
        self._change([{'kind': 'drain', 'name': name, 'state': state}])

    def end(self, target_kind: str, target: str) -> None:
        """Put a drained target into use again."""
        name = f'{target_kind.replace("_", "-")}-{target}'
        self._change([{'kind': 'drain', 'name': name, 'state': None}])


class Ctl:
    """Operators' client of filbertstep.

    Flags of every command: --settings FILE (JSON with comments: urls, token,
    author), --output text|json, --no_wait to return when a ticket is
    committed rather than in force everywhere.  Exit codes: 0 done, 2 usage,
    3 refused, 4 conflict, 5 no VM could do it, 6 not in force in time, 7 not
    authorized, 8 not found.
    """

    def __init__(
        self,
        settings: str = 'filbertstep-ctl.json',
        output: str = 'text',
        no_wait: bool = False,
    ) -> None:
        self.client = Client(load_settings(settings))
        self.output = output
        self.no_wait = no_wait
        self.tickets = Tickets(self)
        self.entity = Entities(self)
        self.key = Keys(self)
        self.drain = Drains(self)

    def status(self) -> None:
        """Show the state of VMs, regions and backend servers."""
        show(self.client.call('GET', '/v1/status'), self.output)

    def burn(self, plot: str | None = None) -> None:
        """Show the report on service-level burn; --plot FILE draws it."""
        made = typing.cast(
            burn.BurnReport, self.client.call('GET', '/v1/burn')
        )
        if plot is not None:
            plot_burn(made, plot)
        if self.output == 'json':
            show(made, 'json')
            return
        print('\n'.join(burn_lines(made)))


def burn_lines(made: burn.BurnReport) -> list[str]:
    """Return the report as a table."""
    windows = [str(window) for window in made['windows_min']]
    heads = [f'burn {window}m' for window in windows]
    lines = [
        f'{"scope":15}{"name":32}{"objective":10}{"target":>8}'
        + ''.join(f'{head:>12}' for head in heads)
        + f'{"bad/all":>16}{"budget left":>13}'
    ]
    for row in made['rows']:
        longest = windows[-1]
        ratio = f'{row["bad"][longest]}/{row["total"][longest]}'
        lines.append(
            f'{row["scope"]:15}{row["name"]:32}{row["objective"]:10}'
            f'{row["target"]:>8}'
            + ''.join(f'{row["burn"][window]:>12.2f}' for window in windows)
            + f'{ratio:>16}{row["budget_left"]:>13.1%}'
        )
    lines.append(f'covered: {made["covered_min"]} min')
    lines.append(f'answered: {", ".join(made["answered"])}')
    if made['missing']:
        lines.append(f'did not answer: {", ".join(made["missing"])}')
    return lines


def plot_burn(made: burn.BurnReport, path: str) -> None:
    """Draw the burn rates of services to an image file."""
    try:
        import matplotlib
    except ImportError:
        raise CtlError(
            ExitCode.USAGE, 'plots need matplotlib: install filbertstep[plot]'
        )
    matplotlib.use('Agg')
    import matplotlib.pyplot

    rows = [row for row in made['rows'] if row['scope'] == 'service']
    figure, axes = matplotlib.pyplot.subplots(figsize=(8, 4.5))
    windows = [str(window) for window in made['windows_min']]
    width = 0.8 / len(windows)
    for position, window in enumerate(windows):
        axes.bar(
            [place + position * width for place in range(len(rows))],
            [row['burn'][window] for row in rows],
            width,
            label=f'{window} min',
        )
    axes.axhline(1.0, color='black', linewidth=0.8, linestyle='--')
    axes.set_xticks(
        [place + width for place in range(len(rows))],
        [f'{row["name"]}\n{row["objective"]}' for row in rows],
    )
    axes.set_ylabel('burn rate (1 = budget used up exactly)')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    matplotlib.pyplot.close(figure)


def main() -> None:
    """Run the client; see ``Ctl`` for the commands."""
    if '--version' in sys.argv[1:]:
        print(filbertstep.__version__)
        return
    try:
        fire.Fire(Ctl, name='filbertstep-ctl')
    except CtlError as error:
        print(f'filbertstep-ctl: {error}', file=sys.stderr)
        sys.exit(error.code)
    except asyncio.CancelledError:
        sys.exit(ExitCode.UNAVAILABLE)
