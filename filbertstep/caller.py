"""A caller of services: lookup, failover and safe retries."""

from filbertstep._caller import CallerClient as CallerClient
from filbertstep._caller_command import command as command
from filbertstep._caller_command import main as main
from filbertstep._caller_state import AttemptResponse as AttemptResponse
from filbertstep._caller_state import CallProgress as CallProgress
from filbertstep._caller_state import CallResult as CallResult
