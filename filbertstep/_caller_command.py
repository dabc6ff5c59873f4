"""The ``filbertstep-call`` command: one request from the command line."""

import asyncio
import json
import pathlib
import sys

import fire

from filbertstep import _caller
from filbertstep import _caller_state


async def call_once(
    lookup_urls: list[str],
    key: str | None,
    service: str,
    method: str,
    target: str,
    body: bytes,
    deadline_s: float,
) -> _caller_state.CallAnswer:
    """Run one request with a client of its own."""
    async with _caller.CallerClient(lookup_urls, key) as client:
        return await client.call(
            service, method, target, (), body, deadline_s=deadline_s
        )


def command(
    service: str,
    target: str,
    lookup_urls: str,
    key_file: str = '',
    method: str = 'GET',
    body: str = '',
    deadline_s: str = str(_caller.DEADLINE_S),
) -> None:
    """Send one request and print its outcome as JSON, then its body.

    ``lookup_urls`` holds URLs of entry VMs, separated by commas.  The key is
    read from a file, because other users can see arguments of a process.
    """
    key = None
    if key_file:
        key = pathlib.Path(key_file).read_text(encoding='utf-8').strip()
    answer = asyncio.run(
        call_once(
            lookup_urls.split(','),
            key,
            service,
            method,
            target,
            body.encode(),
            float(deadline_s),
        )
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
    if answer.kind is not None or not 200 <= answer.status < 400:
        sys.exit(1)


def main() -> None:
    """Run the ``filbertstep-call`` command."""
    # Arguments stay texts; fire would read a JSON body as a Python object.
    fire.Fire(
        fire.decorators.SetParseFn(str)(command), name='filbertstep-call'
    )
