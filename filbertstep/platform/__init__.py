"""Adapter for the users' platform: it translates and decides nothing.

The names of the platform's documents, headers and calls stay in this package.
"""

from filbertstep.platform._adapter import PlatformAdapter as PlatformAdapter
from filbertstep.platform._program import main as main
