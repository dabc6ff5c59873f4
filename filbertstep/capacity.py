"""Measured slopes of this code's cost, and their fit to the target size."""

from filbertstep._capacity import experiments as experiments
from filbertstep._capacity import main as main
from filbertstep._capacity_fit import Experiment as Experiment
from filbertstep._capacity_fit import Figure as Figure
from filbertstep._capacity_fit import Fit as Fit
from filbertstep._capacity_fit import fit as fit
from filbertstep._capacity_fit import measure as measure
from filbertstep._capacity_fit import table as table

if __name__ == '__main__':
    main()
