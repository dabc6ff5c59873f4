"""Emulates a deployment of entry VMs in one process, in virtual time.

The VMs decide with the product's own request handler and tables.  Connections,
backend servers, callers and links are a model that a scenario file describes
(see ``docs/emulator.md``), so that seconds of computing show what minutes of
load do.
"""

from filbertstep.emulator._command import main as main
from filbertstep.emulator._fleet import play as play
from filbertstep.emulator._policies import overridden as overridden
from filbertstep.emulator._policies import parse_overrides as parse_overrides
from filbertstep.emulator._report import compare as compare
from filbertstep.emulator._report import Report as Report
from filbertstep.emulator._report import summarize as summarize
from filbertstep.emulator._scenario import load_scenario as load_scenario
from filbertstep.emulator._scenario import parse_scenario as parse_scenario
from filbertstep.emulator._scenario import Scenario as Scenario
from filbertstep.emulator._virtual_time import VirtualLoop as VirtualLoop
