"""Demo that runs and checks both example deployments."""

from filbertstep._demo import main as main
from filbertstep._demo import run_deployment as run_deployment

if __name__ == '__main__':
    main()
