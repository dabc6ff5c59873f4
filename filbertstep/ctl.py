"""The operators' command line client."""

from filbertstep._ctl import Ctl as Ctl
from filbertstep._ctl import main as main
from filbertstep._ctl_client import ExitCode as ExitCode

if __name__ == '__main__':
    main()
