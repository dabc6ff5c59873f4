"""Adapter between the entry program and the platform on which it is deployed.

It translates formats and makes no decisions.  The names that the platform uses
in documents, headers and calls occur only in this package.
"""

from filbertstep.platform._adapter import PlatformAdapter as PlatformAdapter
from filbertstep.platform._program import main as main
