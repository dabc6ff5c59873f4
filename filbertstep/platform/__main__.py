"""Entry point of ``python -m filbertstep.platform``."""

from filbertstep import platform

platform.main()
