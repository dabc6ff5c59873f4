"""Experiments over the number of members, accounts or backend servers."""

import collections.abc
import typing

from filbertstep import _capacity_fit
from filbertstep import _capacity_world

FigureValues = _capacity_fit.FigureValues

MEMBER_COUNTS: typing.Final = (8, 16, 32, 64)
QUICK_COUNTS: typing.Final = (2, 3, 4, 5)
ACCOUNT_COUNTS: typing.Final = (8, 32, 128, 512)
SERVER_COUNTS: typing.Final = (70, 280, 560, 1120)

MeasureFunction = collections.abc.Callable[[int], FigureValues]


def members_experiment(
    name: str, units: dict[str, str], measure: MeasureFunction
) -> _capacity_fit.Experiment:
    """Return an experiment over the members of an availability zone."""
    return _capacity_fit.Experiment(
        name,
        'members',
        MEMBER_COUNTS,
        QUICK_COUNTS,
        _capacity_world.TARGET_NODES_PER_ZONE,
        units,
        measure,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    )


def accounts_experiment(
    name: str, units: dict[str, str], measure: MeasureFunction
) -> _capacity_fit.Experiment:
    """Return an experiment over the number of client accounts."""
    return _capacity_fit.Experiment(
        name,
        'client accounts',
        ACCOUNT_COUNTS,
        QUICK_COUNTS,
        _capacity_world.TARGET_ACCOUNTS,
        units,
        measure,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    )


def servers_experiment(
    name: str, units: dict[str, str], measure: MeasureFunction
) -> _capacity_fit.Experiment:
    """Return an experiment over the number of backend servers."""
    return _capacity_fit.Experiment(
        name,
        'backend servers',
        SERVER_COUNTS,
        (6, 12, 18, 24),
        _capacity_world.TARGET_SERVERS,
        units,
        measure,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    )
