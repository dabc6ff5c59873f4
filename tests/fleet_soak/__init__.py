"""Randomized fault injection test of the entry program.

It starts VMs as real processes, sends requests to them and injects faults from
outside.  ``python -m tests.fleet_soak --seed=N`` executes one run, ``--count``
several.  ``_run`` executes a run, ``_history`` records what callers and
backend servers observe, ``_checks`` checks the guarantees of the platform,
``_world`` has the test environment, ``_callers`` generates load and
``_faults`` schedules and injects faults.
"""

from tests.fleet_soak._checks import CHECKS as CHECKS
from tests.fleet_soak._history import Arrival as Arrival
from tests.fleet_soak._history import Attempt as Attempt
from tests.fleet_soak._history import AttemptResult as AttemptResult
from tests.fleet_soak._history import Change as Change
from tests.fleet_soak._history import ChangeKind as ChangeKind
from tests.fleet_soak._history import Execution as Execution
from tests.fleet_soak._history import Fault as Fault
from tests.fleet_soak._history import History as History
from tests.fleet_soak._history import Notice as Notice
from tests.fleet_soak._history import NoticeKind as NoticeKind
from tests.fleet_soak._run import Outcome as Outcome
from tests.fleet_soak._run import run_soak as run_soak
from tests.fleet_soak._run import VM_COUNT as VM_COUNT
