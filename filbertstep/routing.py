"""Public names of the routing package: dispatching, health, quarantine.

For each attempt at a backend server, the node calls ``Dispatcher.assign`` and
``Dispatcher.finish`` and consults ``QuarantineSystem`` and ``RetryBudget``.
It also calls ``tick`` of each system regularly.
"""

from filbertstep._assignments import Assignment as Assignment
from filbertstep._assignments import AttemptOutcome as AttemptOutcome
from filbertstep._assignments import AttemptResult as AttemptResult
from filbertstep._assignments import DispatchRequest as DispatchRequest
from filbertstep._assignments import LinkReservation as LinkReservation
from filbertstep._choice import Candidate as Candidate
from filbertstep._choice import CHOICE_POLICIES as CHOICE_POLICIES
from filbertstep._choice import ChoicePolicy as ChoicePolicy
from filbertstep._choice import LeastReportedLoad as LeastReportedLoad
from filbertstep._choice import PowerOfTwoChoices as PowerOfTwoChoices
from filbertstep._choice import RandomChoice as RandomChoice
from filbertstep._choice import RoundRobinChoice as RoundRobinChoice
from filbertstep._choice import SlotAwareChoice as SlotAwareChoice
from filbertstep._dispatch import Dispatcher as Dispatcher
from filbertstep._fleet import ServerDirectory as ServerDirectory
from filbertstep._health import HealthEvent as HealthEvent
from filbertstep._health import HealthRow as HealthRow
from filbertstep._health import HealthState as HealthState
from filbertstep._health import HealthTable as HealthTable
from filbertstep._probes import HealthSystem as HealthSystem
from filbertstep._probes import HttpProber as HttpProber
from filbertstep._probes import Prober as Prober
from filbertstep._probes import ProbeResult as ProbeResult
from filbertstep._quarantine import Crash as Crash
from filbertstep._quarantine import CrashesPart as CrashesPart
from filbertstep._quarantine import IdentifiedStrikeDoc as IdentifiedStrikeDoc
from filbertstep._quarantine import QuarantineSystem as QuarantineSystem
from filbertstep._quarantine import request_fingerprint as request_fingerprint
from filbertstep._quarantine import StrikeDoc as StrikeDoc
from filbertstep._queue import FairQueue as FairQueue
from filbertstep._queue import QueueEntry as QueueEntry
from filbertstep._retries import RetryBudget as RetryBudget
from filbertstep._shift import ShiftSystem as ShiftSystem
from filbertstep._splits import Placement as Placement
from filbertstep._starts import DispatcherSystems as DispatcherSystems
from filbertstep._statistics import ServiceStatus as ServiceStatus
