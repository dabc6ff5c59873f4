"""Decisions of an entry VM: where a request goes, when, and whether.

Nothing in this package opens a connection or reads a clock; times are passed
in, in seconds of one machine.
"""

from filbertstep.steering._allowance import RetryAllowance as RetryAllowance
from filbertstep.steering._directory import nearest as nearest
from filbertstep.steering._model import Bounds as Bounds
from filbertstep.steering._model import ClientAccount as ClientAccount
from filbertstep.steering._model import Configuration as Configuration
from filbertstep.steering._model import Destination as Destination
from filbertstep.steering._model import Limits as Limits
from filbertstep.steering._model import Member as Member
from filbertstep.steering._model import Route as Route
from filbertstep.steering._model import ServerEntry as ServerEntry
from filbertstep.steering._model import Service as Service
from filbertstep.steering._placement import Candidate as Candidate
from filbertstep.steering._placement import Placement as Placement
from filbertstep.steering._placement import Question as Question
from filbertstep.steering._quota import QuotaTable as QuotaTable
from filbertstep.steering._regions import RegionSystem as RegionSystem
from filbertstep.steering._routes import RouteTable as RouteTable
from filbertstep.steering._routes import SplitCounter as SplitCounter
from filbertstep.steering._servers import ServerRow as ServerRow
from filbertstep.steering._servers import ServerTable as ServerTable
from filbertstep.steering._waiting import reserve as reserve
from filbertstep.steering._waiting import Waiter as Waiter
from filbertstep.steering._waiting import WaitingRoom as WaitingRoom
