"""The operators' command-line client."""

from filbertstep._ctl import Ctl as Ctl
from filbertstep._ctl import ExitCode as ExitCode
from filbertstep._ctl import main as main

if __name__ == '__main__':
    main()
