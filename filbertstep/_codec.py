"""JSON encoding, and decoding with validation against ``TypedDict`` schemas.

msgspec validates types and ranges but ignores unknown object field_types.  A
misspelt field in a ticket or in the settings must not be ignored, so
``convert`` also rejects field_types that are not in the schema.
"""

import collections.abc
import functools
import typing

import msgspec
import pyjson5
import result

T = typing.TypeVar('T')


def encode(value: object) -> bytes:
    """Return compact JSON with sorted object keys."""
    return msgspec.json.encode(value, order='sorted')


def decode(data: bytes | str, schema: type[T]) -> result.Result[T, str]:
    """Decode and validate JSON; the error names the path of the field."""
    decoded = decode_open(data, object)
    if isinstance(decoded, result.Err):
        return result.Err(f'not valid JSON: {decoded.err_value}')
    return convert(decoded.ok_value, schema)


def decode_open(data: bytes | str, schema: type[T]) -> result.Result[T, str]:
    """Decode and validate JSON of another program; never raises.

    Unknown fields are ignored.  Data that is nested too deeply is an error,
    also where it is in an unknown field.
    """
    try:
        return result.Ok(msgspec.json.decode(data, type=schema))
    except (ValueError, RecursionError) as error:
        # Invalid UTF-8 is a plain ValueError, not a msgspec error.
        return result.Err(str(error))


def decode_with_comments(text: str, schema: type[T]) -> result.Result[T, str]:
    """Decode and validate JSON with comments, such as a settings file."""
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return result.Err(f'not valid JSON with comments: {error}')
    return convert(raw, schema)


def convert(raw: object, schema: type[T]) -> result.Result[T, str]:
    """Validate decoded JSON and reject unknown fields.

    The error text names the path of the invalid field, such as ``$.a[0].b``.
    """
    unknown = unknown_field(raw, schema, '$')
    if unknown is not None:
        return result.Err(f'unknown field {unknown}')
    try:
        return result.Ok(msgspec.convert(raw, schema))
    except msgspec.ValidationError as error:
        return result.Err(str(error))


def unknown_field(raw: object, schema: object, path: str) -> str | None:
    """Return the path of the first field that is not in the schema.

    ``path`` is that of ``raw``.  The result is None if there is none.
    """
    schema = unwrap_type(schema)
    if not contains_typed_dict(schema):
        return None
    if typing.is_typeddict(schema) and isinstance(raw, dict):
        return unknown_field_in_object(raw, typing.cast(type, schema), path)
    arguments = typing.get_args(schema)
    origin = typing.get_origin(schema)
    if origin is list and isinstance(raw, list):
        return first_path(
            unknown_field(item, arguments[0], f'{path}[{position}]')
            for position, item in enumerate(raw)
        )
    if origin is dict and isinstance(raw, dict):
        return first_path(
            unknown_field(item, arguments[1], f'{path}.{name}')
            for name, item in raw.items()
        )
    return None


def unknown_field_in_object(
    raw: dict[str, object], schema: type, path: str
) -> str | None:
    """Return the path of the first unknown field of an object.

    Includes the objects nested in it; see ``unknown_field``.
    """
    known_fields = field_types(schema)
    for name, item in raw.items():
        if name not in known_fields:
            return f'{path}.{name}'
        found = unknown_field(item, known_fields[name], f'{path}.{name}')
        if found is not None:
            return found
    return None


# The cache stays small, because schemas are few and fixed.  Evaluating type
# hints for each message took a quarter of an idle node's CPU time.
@functools.cache
def field_types(schema: type) -> dict[str, object]:
    """Return the type hints of a ``TypedDict`` by field name."""
    return typing.get_type_hints(schema, include_extras=False)


@functools.cache
def contains_typed_dict(schema: object) -> bool:
    """Return whether an unwrapped type is or contains a ``TypedDict``."""
    if typing.is_typeddict(schema):
        return True
    arguments = typing.get_args(schema)
    if typing.get_origin(schema) not in (list, dict) or not arguments:
        return False
    return contains_typed_dict(unwrap_type(arguments[-1]))


@functools.cache
def unwrap_type(schema: object) -> object:
    """Return a type without optional, annotated and required wrappers.

    For example, ``NotRequired[list[int] | None]`` becomes ``list[int]``.
    Lists, dicts and unions of several types are returned unchanged.
    """
    arguments = [
        item for item in typing.get_args(schema) if item is not type(None)
    ]
    origin = typing.get_origin(schema)
    if origin in (typing.NotRequired, typing.Required, typing.Annotated):
        return unwrap_type(arguments[0])
    if origin in (list, dict) or origin is None or len(arguments) != 1:
        return schema
    return unwrap_type(arguments[0])


def first_path(found: collections.abc.Iterable[str | None]) -> str | None:
    """Return the first path that is not None, if any."""
    return next((item for item in found if item is not None), None)
