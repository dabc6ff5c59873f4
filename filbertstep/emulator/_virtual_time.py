"""Event loop that advances a fake clock instead of waiting."""

import asyncio
import selectors

from filbertstep import clock


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances the fake clock instead of waiting."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__()
        self.fake_clock = fake_clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout, then poll without waiting."""
        if timeout is not None and timeout > 0:
            self.fake_clock.advance(timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that takes its time from a fake clock."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__(VirtualSelector(fake_clock))
        self.fake_clock = fake_clock

    def time(self) -> float:
        """Return the time of the fake clock."""
        return self.fake_clock.now()
