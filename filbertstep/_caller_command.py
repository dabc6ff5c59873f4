"""The ``filbertstep-call`` command, which sends one request."""

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

EXIT_REQUEST_FAILED: typing.Final = 1

COMMAND_NAME: typing.Final = 'filbertstep-call'


class Options(typing.NamedTuple):
    """Checked arguments of the client, without those of the request."""

    lookup_urls: list[str]
    key: str | None
    deadline_s: float
    ca_file: str | None


async def send_request(
    options: Options, service: str, method: str, target: str, body: bytes
) -> _caller_state.CallResult:
    """Send one request with a new client."""
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


def check_options(
    lookup_urls: str, key_file: str, deadline_s: str, ca_file: str
) -> result.Result[Options, str]:
    """Check the arguments; the error message names the flag."""
    urls = lookup_urls.split(',')
    if not all(url.startswith(('http://', 'https://')) for url in urls):
        return result.Err('--lookup-urls: http or https URLs expected')
    try:
        parsed_deadline_s = float(deadline_s)
    except ValueError:
        parsed_deadline_s = 0.0
    if not 0 < parsed_deadline_s < math.inf:
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
    return result.Ok(Options(urls, key, parsed_deadline_s, ca_file or None))


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
    """Send one request and print a JSON summary, then the response body.

    Exit codes: 0 success, 1 request refused or failed, 2 usage error.

    Args:
        service: service to call.
        target: path with the percent-encoded query.
        lookup_urls: URLs of entry VMs, separated by commas.
        key_file: file with the key of the client account; not the key itself,
            because other users can see the arguments of a process.
        method: HTTP method.
        body: request body.
        deadline_s: time limit in seconds for the request and its retries.
        ca_file: PEM file with the certificate authorities that verify the VMs.
        check_settings: only check the arguments and files.
    """
    checked = check_options(lookup_urls, key_file, deadline_s, ca_file)
    if isinstance(checked, result.Err):
        return _command_line.report_usage_error(
            COMMAND_NAME, checked.err_value
        )
    if check_settings:
        return _command_line.EXIT_OK
    call_result = asyncio.run(
        send_request(checked.ok_value, service, method, target, body.encode())
    )
    summary = {
        'status': call_result.status,
        'attempts': call_result.attempts,
        'request_ids': call_result.request_ids,
        'kind': call_result.kind,
        'ran': call_result.ran,
    }
    print(json.dumps(summary))
    sys.stdout.flush()
    sys.stdout.buffer.write(call_result.body)
    sys.stdout.buffer.flush()
    failed = (
        call_result.kind is not None or not 200 <= call_result.status < 400
    )
    return EXIT_REQUEST_FAILED if failed else _command_line.EXIT_OK


def main() -> None:
    """Run the ``filbertstep-call`` command."""
    # Keep arguments as strings.  By default, fire would parse a JSON body as a
    # Python literal.
    _command_line.run(COMMAND_NAME, fire.decorators.SetParseFn(str)(command))
