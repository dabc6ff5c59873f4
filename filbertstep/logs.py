"""Logging setup and the function that writes structured log lines."""

from filbertstep._logs import configure as configure
from filbertstep._logs import state_change as state_change
