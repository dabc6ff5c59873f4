"""The ``filbertstep-call`` command: one request from the command line."""

import asyncio
import json
import math
import pathlib
import sys
import typing

import fire
import result

from filbertstep import _caller
from filbertstep import _caller_state
from filbertstep import _command_line
from filbertstep import _tls
from filbertstep import delivery

EXIT_FAILED: typing.Final = 1

NAME: typing.Final = 'filbertstep-call'


class Options(typing.NamedTuple):
    """Checked arguments that do not belong to the request itself."""

    lookup_urls: list[str]
    key: str | None
    deadline_s: float
    ca_file: str | None


async def call_once(
    options: Options, service: str, method: str, target: str, body: bytes
) -> _caller_state.CallResult:
    """Run one request with a client of its own."""
    async with _caller.CallerClient(
        options.lookup_urls, options.key, ca_file=options.ca_file
    ) as client:
        return await client.call(
            service,
            method,
            target,
            (),
            body,
            deadline_s=options.deadline_s,
        )


def check(
    lookup_urls: str, key_file: str, deadline_s: str, ca_file: str
) -> result.Result[Options, str]:
    """Return the checked options; the error names the flag."""
    urls = lookup_urls.split(',')
    if not all(url.startswith(('http://', 'https://')) for url in urls):
        return result.Err('--lookup-urls: http or https URLs expected')
    try:
        seconds = float(deadline_s)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < math.inf:
        return result.Err('--deadline-s: a positive number expected')
    key = None
    if key_file:
        try:
            key = pathlib.Path(key_file).read_text(encoding='utf-8').strip()
        except (OSError, UnicodeDecodeError) as error:
            return result.Err(f'--key-file: {error}')
        if delivery.extract_key([('X-Api-Key', key)]).is_err():
            return result.Err('--key-file: the file holds no key')
    checked = _tls.check_ca_file(ca_file or None)
    if isinstance(checked, result.Err):
        return result.Err(f'--ca-file: {checked.err_value}')
    return result.Ok(Options(urls, key, seconds, ca_file or None))


@_command_line.deferred
def command(
    service: str,
    target: str,
    lookup_urls: str,
    key_file: str = '',
    method: str = 'GET',
    body: str = '',
    deadline_s: str = str(_caller.DEFAULT_DEADLINE_S),
    ca_file: str = '',
    check_settings: str = '',
) -> int:
    """Send one request and print its outcome as JSON, then its body.

    ``lookup_urls`` holds URLs of entry VMs, separated by commas.  The key is
    read from a file, because other users can see arguments of a process.
    ``ca_file`` verifies the VMs' certificates.  With ``check_settings`` the
    arguments and files are only checked.  Exit codes: 0 answered, 1 refused
    or failed, 2 usage.
    """
    checked = check(lookup_urls, key_file, deadline_s, ca_file)
    if isinstance(checked, result.Err):
        return _command_line.report_usage_error(NAME, checked.err_value)
    if check_settings:
        return _command_line.EXIT_OK
    answer = asyncio.run(
        call_once(checked.ok_value, service, method, target, body.encode())
    )
    summary = {
        'status': answer.status,
        'attempts': answer.attempts,
        'request_ids': answer.request_ids,
        'kind': answer.kind,
        'ran': answer.ran,
    }
    print(json.dumps(summary))
    sys.stdout.flush()
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()
    failed = answer.kind is not None or not 200 <= answer.status < 400
    return EXIT_FAILED if failed else _command_line.EXIT_OK


def main() -> None:
    """Run the ``filbertstep-call`` command."""
    # Arguments stay texts; fire would read a JSON body as a Python object.
    _command_line.run(NAME, fire.decorators.SetParseFn(str)(command))
