"""Slots of the stand-in backend server and the queue in front of them."""

import asyncio
import collections


class SlotQueue:
    """Counts running requests; a few more wait, first come first served."""

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def take_now(self) -> bool:
        """Take a slot if one is free."""
        if self.running >= self.slots:
            return False
        self.running += 1
        return True

    def join(self) -> asyncio.Future[None] | None:
        """Return a place in the queue, or None when it is full."""
        if len(self.waiting) >= self.queue:
            return None
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        return turn

    async def wait(
        self, turn: asyncio.Future[None], end: float | None
    ) -> bool:
        """Wait for a slot until a time; tell whether one was taken."""
        try:
            async with asyncio.timeout_at(end):
                await turn
        except TimeoutError:
            self.leave(turn)
            return False
        except asyncio.CancelledError:
            self.leave(turn)
            raise
        return True

    def leave(self, turn: asyncio.Future[None]) -> None:
        """Give up a place in the queue, or the slot that came with it."""
        if turn in self.waiting:
            self.waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            self.release()

    def release(self) -> None:
        """Return a slot and hand it on."""
        self.running -= 1
        self.fill()

    def fill(self) -> None:
        """Hand free slots to waiting requests."""
        while self.waiting and self.running < self.slots:
            turn = self.waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(None)
