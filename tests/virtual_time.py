"""Event loop for tests whose waits move a fake clock."""

import asyncio
import selectors

from filbertstep import clock


class VirtualSelector(selectors.SelectSelector):
    """Moves the clock instead of waiting."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__()
        self.fake_clock = fake_clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the time limit."""
        if timeout is not None and timeout > 0:
            self.fake_clock.advance(timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is a fake clock."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__(VirtualSelector(fake_clock))
        self.fake_clock = fake_clock

    def time(self) -> float:
        """Return the fake time."""
        return self.fake_clock.now()
