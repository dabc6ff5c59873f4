"""filbertstep: global traffic steering between callers and backend servers.

The package is flat.  A module whose name starts with an underscore holds the
code; the public module of the same subject re-exports and documents it.
"""

__version__ = '0.1.0'
