"""Public names of the history checks.

Processes of a deployment record events in history files.  The checkers
compare these with known facts about the deployment and report violations of
its promises; a summary gives figures about the requests.
"""

from filbertstep._checkers import check_history as check_history
from filbertstep._checkers import CHECKERS as CHECKERS
from filbertstep._facts import AccountFact as AccountFact
from filbertstep._facts import add_history_facts as add_history_facts
from filbertstep._facts import Facts as Facts
from filbertstep._facts import facts_from_config as facts_from_config
from filbertstep._facts import KeyWithdrawalFact as KeyWithdrawalFact
from filbertstep._facts import LinkFact as LinkFact
from filbertstep._facts import ProcessKillFact as ProcessKillFact
from filbertstep._facts import ServerDrainFact as ServerDrainFact
from filbertstep._facts import ServerFact as ServerFact
from filbertstep._facts import ServiceFact as ServiceFact
from filbertstep._facts import ShiftCapFact as ShiftCapFact
from filbertstep._facts import TicketFact as TicketFact
from filbertstep._facts import VmStopFact as VmStopFact
from filbertstep._history import AnyEvent as AnyEvent
from filbertstep._history import decode_events as decode_events
from filbertstep._history import HistoryWriter as HistoryWriter
from filbertstep._history import read_history as read_history
from filbertstep._summary import logical_requests as logical_requests
from filbertstep._summary import LogicalRequest as LogicalRequest
from filbertstep._summary import percentile as percentile
from filbertstep._summary import RequestFigures as RequestFigures
from filbertstep._summary import summarize as summarize
from filbertstep._summary import Summary as Summary
from filbertstep._summary import SYSTEM_REFUSAL_KINDS as SYSTEM_REFUSAL_KINDS
from filbertstep._violations import Violation as Violation
