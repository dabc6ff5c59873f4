"""A small caller: look-up, failover and safe retries."""

from filbertstep._caller import CallAnswer as CallAnswer
from filbertstep._caller import CallerClient as CallerClient
from filbertstep._caller import main as main
