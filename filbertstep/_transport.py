"""Calls between VMs, as JSON over HTTP with one answer for each call."""

import abc
import collections.abc
import typing

import result

from filbertstep import errors

Message = dict[str, typing.Any]
"""A decoded JSON object; the receiver validates it against its schema."""


FakeHandler = collections.abc.Callable[
    [Message],
    collections.abc.Awaitable[result.Result[Message, errors.Failure]],
]


class Peers(abc.ABC):
    """Client for calls to other VMs by name."""

    @abc.abstractmethod
    async def call(
        self, vm: str, path: str, message: Message, timeout_s: float
    ) -> result.Result[Message, errors.Failure]:
        """Send a message to a path of the listener for peers of a VM.

        Returns the peer's answer or failure.  The failure is of the kind
        ``NOT_RUN`` if the message was not sent.  It is ``OUTCOME_UNKNOWN`` if
        no answer arrived within ``timeout_s`` seconds; the call may have
        taken effect then.
        """


class FakePeers(Peers):
    """Passes calls to handlers in the same process, with injected faults.

    ``lost_calls`` contains (VM, path) of calls that do not reach the peer,
    and ``lost_answers`` of calls that take effect but have no answer.
    """

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, str], FakeHandler] = {}
        self.lost_calls: set[tuple[str, str]] = set()
        self.lost_answers: set[tuple[str, str]] = set()

    async def call(
        self, vm: str, path: str, message: Message, timeout_s: float
    ) -> result.Result[Message, errors.Failure]:
        """Call the handler that is registered for the VM and path."""
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
