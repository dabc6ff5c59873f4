"""Settings file and HTTP calls of the operators' client."""

import pathlib
import re
import typing

import aiohttp
import msgspec
import result
import uvloop

from filbertstep import _tls
from filbertstep import codec
from filbertstep import errors

CALL_TIMEOUT_S: typing.Final = 15.0

# Characters that are allowed in a header value: printable ASCII, no spaces.
TOKEN_PATTERN: typing.Final = re.compile('[!-~]+')


class ExitCode:
    """Exit codes of the ``filbertstep-ctl`` command."""

    OK: typing.Final = 0
    USAGE: typing.Final = 2
    REFUSED: typing.Final = 3
    CONFLICT: typing.Final = 4
    UNAVAILABLE: typing.Final = 5
    NOT_IN_TIME: typing.Final = 6
    UNAUTHORIZED: typing.Final = 7
    NOT_FOUND: typing.Final = 8


# All other kinds end with UNAVAILABLE.
EXIT_CODE_BY_KIND: typing.Final[dict[errors.ErrorKind, int]] = {
    errors.ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    errors.ErrorKind.INVALID_TICKET: ExitCode.REFUSED,
    errors.ErrorKind.BODY_TOO_LARGE: ExitCode.REFUSED,
    errors.ErrorKind.TICKET_CONFLICT: ExitCode.CONFLICT,
    errors.ErrorKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    errors.ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


class ClientSettingsDoc(typing.TypedDict):
    """Settings file of the client.

    ``urls`` are the URLs of operators' listeners, one for each VM to try.
    ``author`` is the author that change tickets name.
    """

    urls: list[str]
    token: str
    author: typing.NotRequired[str]
    ca_file: typing.NotRequired[str]


class CtlError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


Json = dict[str, typing.Any]
"""A JSON object sent to or received from the operators' listener.

The client does not check its fields; the server checks the requests.
"""


def load_settings(path: str) -> ClientSettingsDoc:
    """Read and check the client's settings file.

    Raises CtlError if it cannot be read or is wrong.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise CtlError(ExitCode.USAGE, f'cannot read {path}: {error}')
    decoded = codec.decode_with_comments(text, ClientSettingsDoc)
    if isinstance(decoded, result.Err):
        raise CtlError(ExitCode.USAGE, f'{path}: {decoded.err_value}')
    checked = check_settings(decoded.ok_value)
    if isinstance(checked, result.Err):
        raise CtlError(ExitCode.USAGE, f'{path}: {checked.err_value}')
    return decoded.ok_value


def check_settings(doc: ClientSettingsDoc) -> result.Result[None, str]:
    """Check the values of the fields; the error names the field."""
    if not doc['urls']:
        return result.Err('one URL or more expected - at `$.urls`')
    for url in doc['urls']:
        if not url.startswith(('http://', 'https://')):
            return result.Err('http or https URLs expected - at `$.urls`')
    if not TOKEN_PATTERN.fullmatch(doc['token']):
        return result.Err('printable characters expected - at `$.token`')
    return _tls.check_ca_file(doc.get('ca_file'))


class OperatorClient:
    """HTTP client of the VMs' operators' listeners."""

    def __init__(self, settings: ClientSettingsDoc) -> None:
        self.settings = settings

    def call(self, method: str, path: str, body: object = None) -> Json:
        """Send a request and return the decoded answer.

        Raises CtlError for an error answer or if no VM answers.
        """
        return uvloop.run(self.call_first_reachable(method, path, body))

    async def call_first_reachable(
        self, method: str, path: str, body: object
    ) -> Json:
        """Try the VMs in order until one answers.

        A request other than GET is not sent to another VM if the first one
        may have received it.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=2)
        context = _tls.client_context(self.settings.get('ca_file'))
        failures: list[str] = []
        headers = {'Authorization': f'Bearer {self.settings["token"]}'}
        async with aiohttp.ClientSession(
            timeout=timeout,
            headers=headers,
            connector=aiohttp.TCPConnector(
                ssl=True if context is None else context
            ),
        ) as session:
            for url in self.settings['urls']:
                try:
                    return await call_vm(
                        session, method, url.rstrip('/') + path, body
                    )
                except aiohttp.ClientConnectorError as error:
                    # The request was not sent, so that even a ticket can be
                    # sent to the next VM.
                    failures.append(f'{url}: {error}')
                except (aiohttp.ClientError, TimeoutError) as error:
                    failures.append(f'{url}: {type(error).__name__} {error}')
                    if method != 'GET':
                        break
        raise CtlError(
            ExitCode.UNAVAILABLE, 'no VM answered: ' + '; '.join(failures)
        )


async def call_vm(
    session: aiohttp.ClientSession, method: str, url: str, body: object
) -> Json:
    """Send a request to one VM; raise CtlError for an error answer."""
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
        raise error_from_answer(decoded)
    return decoded


def error_from_answer(decoded: Json) -> CtlError:
    """Return the exception for an error answer."""
    try:
        kind = errors.ErrorKind(str(decoded.get('kind')))
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    code = EXIT_CODE_BY_KIND.get(kind, ExitCode.UNAVAILABLE)
    return CtlError(code, f'{kind.value}: {decoded.get("message", "")}')
