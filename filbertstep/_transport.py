"""Calls from one VM to another: JSON over HTTP, one answer for each call."""

import abc
import collections.abc
import typing

import result

from filbertstep import errors

Message = dict[str, typing.Any]
"""A decoded JSON object; the receiver checks it against its shape."""


FakeHandler = collections.abc.Callable[
    [Message],
    collections.abc.Awaitable[result.Result[Message, errors.Failure]],
]


class Peers(abc.ABC):
    """Calls to other VMs by name."""

    @abc.abstractmethod
    async def call(
        self, vm: str, path: str, message: Message, timeout_s: float
    ) -> result.Result[Message, errors.Failure]:
        """Send a message to a path of a VM's peers' listener.

        The error is the failure that the peer answered with, or of the kind
        ``OUTCOME_UNKNOWN`` when no answer came within the time limit, so that
        the call may have taken effect, or ``NOT_RUN`` when it was not sent.
        """


class FakePeers(Peers):
    """Delivers calls to handlers in the same process, or loses them.

    ``lost_calls`` holds (vm, path) of calls that do not reach the peer and
    ``lost_answers`` those that take effect but whose answer is lost.
    """

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], FakeHandler] = {}
        self.lost_calls: set[tuple[str, str]] = set()
        self.lost_answers: set[tuple[str, str]] = set()

    async def call(
        self, vm: str, path: str, message: Message, timeout_s: float
    ) -> result.Result[Message, errors.Failure]:
        """Call the handler registered for the VM and path."""
        handler = self.handlers.get((vm, path))
        if handler is None or (vm, path) in self.lost_calls:
            return result.Err(
                errors.Failure(errors.ErrorKind.NOT_RUN, f'{vm} unreachable')
            )
        answer = await handler(message)
        if (vm, path) in self.lost_answers:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.OUTCOME_UNKNOWN, f'no answer from {vm}'
                )
            )
        return answer
