"""Sizes along which nodes are measured, and experiments over them."""

import collections.abc
import typing

from filbertstep import _capacity_fit
from filbertstep import _capacity_world

Values = _capacity_fit.Values

MEMBERS: typing.Final = (8, 16, 32, 64)
FEW: typing.Final = (2, 3, 4, 5)
ACCOUNTS: typing.Final = (8, 32, 128, 512)
SERVERS: typing.Final = (70, 280, 560, 1120)

Measure = collections.abc.Callable[[int], Values]


def by_members(
    name: str, units: dict[str, str], measure: Measure
) -> _capacity_fit.Experiment:
    """Return an experiment over members of a zone."""
    return _capacity_fit.Experiment(
        name,
        'members',
        MEMBERS,
        FEW,
        _capacity_world.ZONE_NODES,
        units,
        measure,
        _capacity_fit.SHORT_RUNS,
    )


def by_accounts(
    name: str, units: dict[str, str], measure: Measure
) -> _capacity_fit.Experiment:
    """Return an experiment over client accounts."""
    return _capacity_fit.Experiment(
        name,
        'client accounts',
        ACCOUNTS,
        FEW,
        _capacity_world.ACCOUNTS,
        units,
        measure,
        _capacity_fit.SHORT_RUNS,
    )


def by_servers(
    name: str, units: dict[str, str], measure: Measure
) -> _capacity_fit.Experiment:
    """Return an experiment over backend servers."""
    return _capacity_fit.Experiment(
        name,
        'backend servers',
        SERVERS,
        (6, 12, 18, 24),
        _capacity_world.SERVERS,
        units,
        measure,
        _capacity_fit.SHORT_RUNS,
    )
