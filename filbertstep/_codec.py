"""JSON in and out, checked against ``TypedDict`` shapes.

msgspec checks types and ranges but accepts unknown object fields.  A misspelt
field in a ticket or in the settings must not be ignored, so ``convert`` also
rejects fields that the shape does not have.
"""

import collections.abc
import functools
import typing

import msgspec
import pyjson5
import result

T = typing.TypeVar('T')


def encode(value: object) -> bytes:
    """Return compact JSON with object keys in a stable order."""
    return msgspec.json.encode(value, order='sorted')


def decode(data: bytes | str, shape: type[T]) -> result.Result[T, str]:
    """Decode JSON of a shape; the error text names the field's path."""
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        return result.Err(f'not valid JSON: {error}')
    return convert(raw, shape)


def decode_with_comments(text: str, shape: type[T]) -> result.Result[T, str]:
    """Decode JSON with comments, as settings files are written."""
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return result.Err(f'not valid JSON with comments: {error}')
    return convert(raw, shape)


def convert(raw: object, shape: type[T]) -> result.Result[T, str]:
    """Check decoded JSON against a shape, unknown fields included."""
    unknown = unknown_field(raw, shape, '$')
    if unknown is not None:
        return result.Err(f'unknown field {unknown}')
    try:
        return result.Ok(msgspec.convert(raw, shape))
    except msgspec.ValidationError as error:
        return result.Err(str(error))


def unknown_field(raw: object, shape: object, path: str) -> str | None:
    """Return the path of the first field that the shape lacks, if any."""
    shape = strip(shape)
    if not holds_objects(shape):
        return None
    if typing.is_typeddict(shape) and isinstance(raw, dict):
        return unknown_in_object(raw, typing.cast(type, shape), path)
    arguments = typing.get_args(shape)
    origin = typing.get_origin(shape)
    if origin is list and isinstance(raw, list):
        return first(
            unknown_field(item, arguments[0], f'{path}[{position}]')
            for position, item in enumerate(raw)
        )
    if origin is dict and isinstance(raw, dict):
        return first(
            unknown_field(item, arguments[1], f'{path}.{name}')
            for name, item in raw.items()
        )
    return None


def unknown_in_object(
    raw: dict[str, object], shape: type, path: str
) -> str | None:
    """Return the first unknown field of one JSON object or below it."""
    hints = fields(shape)
    for name, item in raw.items():
        if name not in hints:
            return f'{path}.{name}'
        found = unknown_field(item, hints[name], f'{path}.{name}')
        if found is not None:
            return found
    return None


# Shapes are few and fixed.  Evaluating their hints for each message took a
# quarter of an idle node's processor time.
@functools.cache
def fields(shape: type) -> dict[str, object]:
    """Return the shapes of the fields of a ``TypedDict``."""
    return typing.get_type_hints(shape, include_extras=False)


@functools.cache
def holds_objects(shape: object) -> bool:
    """Tell whether a stripped shape is or contains a ``TypedDict``."""
    if typing.is_typeddict(shape):
        return True
    arguments = typing.get_args(shape)
    if typing.get_origin(shape) not in (list, dict) or not arguments:
        return False
    return holds_objects(strip(arguments[-1]))


@functools.cache
def strip(shape: object) -> object:
    """Return the single non-None member of an optional shape."""
    arguments = [
        item for item in typing.get_args(shape) if item is not type(None)
    ]
    origin = typing.get_origin(shape)
    if origin in (typing.NotRequired, typing.Required, typing.Annotated):
        return strip(arguments[0])
    if origin in (list, dict) or origin is None or len(arguments) != 1:
        return shape
    return strip(arguments[0])


def first(found: collections.abc.Iterable[str | None]) -> str | None:
    """Return the first value that is not None."""
    return next((item for item in found if item is not None), None)
