"""Clocks: the system clock and a fake clock for tests."""

from filbertstep._clock import Clock as Clock
from filbertstep._clock import FakeClock as FakeClock
from filbertstep._clock import minute_of as minute_of
from filbertstep._clock import SystemClock as SystemClock
