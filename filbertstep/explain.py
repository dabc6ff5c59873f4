"""Command that shows where a request would go from a VM, and why."""

from filbertstep._explain_command import main as main
from filbertstep._explain_command import render as render
