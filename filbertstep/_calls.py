"""HTTP client for JSON APIs that can poll until a condition holds."""

import asyncio
import collections.abc
import typing

import aiohttp

from filbertstep import codec

JsonObject = dict[str, typing.Any]

POLL_INTERVAL_S: typing.Final = 0.05
CALL_TIMEOUT_S: typing.Final = 10.0


class DeploymentError(Exception):
    """A process of the deployment failed or did not respond in time."""


class JsonClient:
    """HTTP session for calls with JSON bodies."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    def open_session(self) -> None:
        """Open the session; needs a running event loop."""
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def close_session(self) -> None:
        """Close the session if it is open."""
        if self.session is not None:
            await self.session.close()

    async def request_json(
        self, method: str, url: str, body: object = None, bearer: str = ''
    ) -> tuple[int, JsonObject]:
        """Send one request; return the status and the decoded JSON object.

        An answer that is not a JSON object is returned as an empty one.
        Raises DeploymentError before ``open_session``, and what aiohttp raises
        when no answer arrives.
        """
        if self.session is None:
            raise DeploymentError('the HTTP session is not open')
        headers = {'Authorization': f'Bearer {bearer}'} if bearer else {}
        data = None if body is None else codec.encode(body)
        if data is not None:
            headers['Content-Type'] = 'application/json'
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as response:
            decoded = codec.decode(await response.read(), JsonObject)
            return response.status, decoded.unwrap_or({})

    async def wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        timeout_s: float,
        description: str,
    ) -> None:
        """Poll a plain condition until it holds; see ``wait_until_async``."""

        async def async_condition() -> bool:
            return condition()

        await self.wait_until_async(async_condition, timeout_s, description)

    async def wait_until_async(
        self,
        condition: collections.abc.Callable[
            [], collections.abc.Awaitable[bool]
        ],
        timeout_s: float,
        description: str,
    ) -> None:
        """Poll a condition until it holds; a failed call counts as false.

        Raises DeploymentError after ``timeout_s``; ``description`` says in its
        text which condition was not met.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            try:
                if await condition():
                    return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            if loop.time() >= deadline:
                raise DeploymentError(
                    f'condition not met within {timeout_s} s: {description}'
                )
            await asyncio.sleep(POLL_INTERVAL_S)
