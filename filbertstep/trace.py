"""Command that shows the log lines of entry VMs about a request."""

from filbertstep._trace import main as main
from filbertstep._trace import parse_line as parse_line
from filbertstep._trace import related_lines as related_lines
from filbertstep._trace import render_lines as render_lines
