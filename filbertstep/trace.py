"""Command that explains a request from the logs of entry VMs."""

from filbertstep._trace import main as main
from filbertstep._trace import parse as parse
from filbertstep._trace import related as related
from filbertstep._trace import show as show
