"""Request routing, admission and scheduling decisions of an entry VM.

Nothing in this package opens a connection or reads a clock.  Callers pass in
the current time, in seconds on the clock of this VM.
"""

from filbertstep.steering._allowance import RetryBudget as RetryBudget
from filbertstep.steering._comparisons import compare_all as compare_all
from filbertstep.steering._comparisons import FullComparison as FullComparison
from filbertstep.steering._comparisons import Reason as Reason
from filbertstep.steering._directory import nearest_members as nearest_members
from filbertstep.steering._load_reports import LoadReport as LoadReport
from filbertstep.steering._load_reports import parse_load as parse_load
from filbertstep.steering._measured_runs import MeasuredRun as MeasuredRun
from filbertstep.steering._measured_runs import record_run as record_run
from filbertstep.steering._model import Bounds as Bounds
from filbertstep.steering._model import ClientAccount as ClientAccount
from filbertstep.steering._model import Configuration as Configuration
from filbertstep.steering._model import Destination as Destination
from filbertstep.steering._model import Limits as Limits
from filbertstep.steering._model import Member as Member
from filbertstep.steering._model import Route as Route
from filbertstep.steering._model import ServerEntry as ServerEntry
from filbertstep.steering._model import Service as Service
from filbertstep.steering._overload import cost_services as cost_services
from filbertstep.steering._overload import make_cost as make_cost
from filbertstep.steering._overload import OverloadOrder as OverloadOrder
from filbertstep.steering._overload import OverloadTable as OverloadTable
from filbertstep.steering._overload import RequestCost as RequestCost
from filbertstep.steering._overload import urgency_rank as urgency_rank
from filbertstep.steering._placement import Candidate as Candidate
from filbertstep.steering._placement import Placement as Placement
from filbertstep.steering._placement import PlacementQuery as PlacementQuery
from filbertstep.steering._placement import RunTimes as RunTimes
from filbertstep.steering._quota import QuotaTable as QuotaTable
from filbertstep.steering._regions import LoadSummary as LoadSummary
from filbertstep.steering._regions import RegionSplitter as RegionSplitter
from filbertstep.steering._routes import RouteTable as RouteTable
from filbertstep.steering._routes import unequal_services as unequal_services
from filbertstep.steering._routes import WeightedBalancer as WeightedBalancer
from filbertstep.steering._servers import ServerRecord as ServerRecord
from filbertstep.steering._servers import ServerTable as ServerTable
from filbertstep.steering._shared_reports import apply_reports as apply_reports
from filbertstep.steering._shared_reports import is_recent as is_recent
from filbertstep.steering._shared_reports import ReportLog as ReportLog
from filbertstep.steering._shared_reports import ServerReport as ServerReport
from filbertstep.steering._snapshots import copy_balancer as copy_balancer
from filbertstep.steering._snapshots import copy_quotas as copy_quotas
from filbertstep.steering._snapshots import take_snapshot as take_snapshot
from filbertstep.steering._waiting import reserve_slot as reserve_slot
from filbertstep.steering._waiting import WaitingRequest as WaitingRequest
from filbertstep.steering._waiting import WaitQueue as WaitQueue
