"""Concurrency limit and request queue of the stand-in backend server."""

import asyncio
import collections


class SlotQueue:
    """Limits running requests to ``slot_count``, with a bounded FIFO queue.

    Each running request occupies one slot.  ``waiters`` holds a future for
    each queued request; it completes when the request gets a slot.
    """

    def __init__(self, slot_count: int, queue_limit: int) -> None:
        self.slot_count = slot_count
        self.queue_limit = queue_limit
        self.running = 0
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def try_take_slot(self) -> bool:
        """Take a slot if one is free; return whether one was."""
        if self.running >= self.slot_count:
            return False
        self.running += 1
        return True

    def enqueue(self) -> asyncio.Future[None] | None:
        """Append a waiter to the queue; return None when the queue is full."""
        if len(self.waiters) >= self.queue_limit:
            return None
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters.append(waiter)
        return waiter

    async def wait_for_slot(
        self, waiter: asyncio.Future[None], deadline: float | None
    ) -> bool:
        """Wait for a slot; return whether it came before the deadline.

        ``deadline`` is in event loop time; None means no limit.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            self.abandon(waiter)
            return False
        except asyncio.CancelledError:
            self.abandon(waiter)
            raise
        return True

    def abandon(self, waiter: asyncio.Future[None]) -> None:
        """Remove a waiter, or release the slot that it was already given."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        elif waiter.done() and not waiter.cancelled():
            self.release_slot()

    def release_slot(self) -> None:
        """Free a slot and assign it to the next waiter."""
        self.running -= 1
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assign free slots to waiters in their order of arrival."""
        while self.waiters and self.running < self.slot_count:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)
