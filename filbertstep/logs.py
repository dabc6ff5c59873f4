"""Log set-up and the one way to write a line."""

from filbertstep._logs import configure as configure
from filbertstep._logs import state_change as state_change
