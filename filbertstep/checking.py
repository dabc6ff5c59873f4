"""Histories of a deployment, the checkers of all promises, and figures."""

from filbertstep._checkers import check as check
from filbertstep._checkers import CHECKERS as CHECKERS
from filbertstep._facts import AccountFact as AccountFact
from filbertstep._facts import CapFact as CapFact
from filbertstep._facts import DrainFact as DrainFact
from filbertstep._facts import Facts as Facts
from filbertstep._facts import from_config as from_config
from filbertstep._facts import KillFact as KillFact
from filbertstep._facts import LinkFact as LinkFact
from filbertstep._facts import ServerFact as ServerFact
from filbertstep._facts import ServiceFact as ServiceFact
from filbertstep._facts import StopFact as StopFact
from filbertstep._facts import TicketFact as TicketFact
from filbertstep._facts import with_history as with_history
from filbertstep._facts import WithdrawalFact as WithdrawalFact
from filbertstep._history import AnyEvent as AnyEvent
from filbertstep._history import read as read
from filbertstep._history import read_lines as read_lines
from filbertstep._history import Writer as Writer
from filbertstep._summary import Figures as Figures
from filbertstep._summary import Summary as Summary
from filbertstep._summary import summary as summary
from filbertstep._violations import Violation as Violation
