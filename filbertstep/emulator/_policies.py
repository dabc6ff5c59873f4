"""Named constants of the product, changed for one emulation."""

import collections.abc
import contextlib
import importlib
import typing

import result


class Override(typing.NamedTuple):
    """A value for a constant of a module; ``module`` is its full name."""

    module: str
    constant: str
    value: float


def parse_overrides(text: str) -> result.Result[tuple[Override, ...], str]:
    """Parse ``module.CONSTANT=value``, several separated by commas.

    Modules are named within this package: ``steering._copies``.
    """
    overrides = []
    for part in filter(None, text.split(',')):
        path, _, value = part.partition('=')
        module_name, _, constant = path.strip().rpartition('.')
        try:
            module = importlib.import_module(f'filbertstep.{module_name}')
            current = getattr(module, constant)
            number = float(value)
        except (ImportError, AttributeError, ValueError):
            return result.Err(f'no constant and number: {part}')
        if isinstance(current, bool) or not isinstance(current, int | float):
            return result.Err(f'not a number: {path}')
        overrides.append(
            Override(module.__name__, constant, type(current)(number))
        )
    return result.Ok(tuple(overrides))


@contextlib.contextmanager
def overridden(
    overrides: collections.abc.Iterable[Override],
) -> collections.abc.Iterator[None]:
    """Change constants, and restore them at the end."""
    before = []
    try:
        for override in overrides:
            module = importlib.import_module(override.module)
            before.append(
                override._replace(value=getattr(module, override.constant))
            )
            setattr(module, override.constant, override.value)
        yield
    finally:
        for override in reversed(before):
            module = importlib.import_module(override.module)
            setattr(module, override.constant, override.value)
