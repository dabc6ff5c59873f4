"""JsonClient with JSON bodies, and waiting for what they show."""

import asyncio
import collections.abc
import typing

import aiohttp

from filbertstep import codec

JsonObject = dict[str, typing.Any]

# Time in seconds between two looks at something that is awaited, and the time
# limit of one call.
POLL_INTERVAL_S: typing.Final = 0.05
CALL_TIMEOUT_S: typing.Final = 10.0


class DeploymentError(Exception):
    """A process did not do what it was started for."""


class JsonClient:
    """One HTTP session and its calls."""

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    def open_session(self) -> None:
        """Open the session; must be called in a running loop."""
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
        """Return status and JSON object of one call."""
        if self.session is None:
            raise DeploymentError('the deployment is not started')
        headers = {'Authorization': f'Bearer {bearer}'} if bearer else {}
        data = None if body is None else codec.encode(body)
        if data is not None:
            headers['Content-Type'] = 'application/json'
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as answer:
            decoded = codec.decode(await answer.read(), JsonObject)
            return answer.status, decoded.unwrap_or({})

    async def wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        timeout_s: float,
        what: str,
    ) -> None:
        """Wait for a condition."""

        async def holds() -> bool:
            return condition()

        await self.wait_until_async(holds, timeout_s, what)

    async def wait_until_async(
        self,
        condition: collections.abc.Callable[
            [], collections.abc.Awaitable[bool]
        ],
        timeout_s: float,
        what: str,
    ) -> None:
        """Wait for a condition; failed calls count as not yet."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while True:
            try:
                if await condition():
                    return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            if loop.time() >= end:
                raise DeploymentError(f'not within {timeout_s} s: {what}')
            await asyncio.sleep(POLL_INTERVAL_S)
