"""Measures how costs grow with size and extrapolates to the target size."""

from filbertstep._capacity import experiments as experiments
from filbertstep._capacity import main as main
from filbertstep._capacity_fit import Experiment as Experiment
from filbertstep._capacity_fit import Figure as Figure
from filbertstep._capacity_fit import Fit as Fit
from filbertstep._capacity_fit import fit_line as fit_line
from filbertstep._capacity_fit import format_table as format_table
from filbertstep._capacity_fit import measure as measure

if __name__ == '__main__':
    main()
