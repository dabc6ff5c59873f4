"""Scenario files: a deployment, its load, and what happens to it.

Times are in seconds from the start of the load unless a name says otherwise.
"""

import collections.abc
import pathlib
import typing

import msgspec
import result

from filbertstep import codec

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class ServiceDoc(typing.TypedDict):
    """A service: servers by availability zone, each alike.

    A server queues ``queue`` requests beyond its slots and turns others away.
    It keeps the ``cached_objects`` objects that it used last.
    """

    servers: dict[str, Count]
    slots: typing.Annotated[int, msgspec.Meta(ge=1)]
    queue: Count
    cached_objects: typing.Annotated[int, msgspec.Meta(ge=1)]


class RequestsDoc(typing.TypedDict):
    """A kind of request.

    ``share`` is its part of all requests.  The callers of each region request
    ``objects`` objects of their own.  An answer earns ``worth`` within
    ``target_ms`` of the first attempt, and ``late_worth`` after that.
    """

    service: str
    idempotent: bool
    share: Positive
    priority: Count
    run_ms: Positive
    cached_run_ms: Positive
    target_ms: Positive
    timeout_ms: Positive
    deadline_ms: Positive
    objects: typing.Annotated[int, msgspec.Meta(ge=1)]
    request_bytes: Count
    answer_bytes: Count
    worth: Positive
    late_worth: typing.Annotated[float, msgspec.Meta(ge=0)]


class EventDoc(typing.TypedDict):
    """Something that lasts from ``at`` for ``for_s`` seconds.

    ``burst``: ``x`` times the requests.
    ``shift``: a share of the callers of ``zone`` call from ``to_zone``.
    ``slow``: a share of the servers take ``x`` times as long.
    ``shed``: a share of the servers turn requests away with probability ``x``.
    ``evacuate``: nothing is sent to ``zone``.
    ``cool``: the servers of ``zone`` lose their caches, at once.
    ``lost``: a share of the servers end, and their entries lapse 3 s later.
    """

    kind: typing.Literal[
        'burst', 'shift', 'slow', 'shed', 'evacuate', 'cool', 'lost'
    ]
    at: typing.Annotated[float, msgspec.Meta(ge=0)]
    for_s: typing.NotRequired[Positive]
    x: typing.NotRequired[Positive]
    share: typing.NotRequired[Share]
    zone: typing.NotRequired[str]
    to_zone: typing.NotRequired[str]
    service: typing.NotRequired[str]


class WaveDoc(typing.TypedDict):
    """A load that rises and falls by ``swing``, zone after zone."""

    swing: Share
    period_s: Positive


class LinksDoc(typing.TypedDict):
    """One-way network times in milliseconds."""

    in_zone_ms: Positive
    cross_zone_ms: Positive
    cross_region_ms: Positive


class Scenario(typing.TypedDict):
    """A scenario; ``zones`` maps availability zones to regions.

    ``vms`` and ``rates_per_s``, the requests a second, are by zone.
    """

    seconds: Positive
    zones: dict[str, str]
    vms: dict[str, Count]
    links: LinksDoc
    services: dict[str, ServiceDoc]
    requests: dict[str, RequestsDoc]
    rates_per_s: dict[str, Positive]
    wave: typing.NotRequired[WaveDoc]
    events: typing.NotRequired[list[EventDoc]]


# Fields that a kind of event needs.
EVENT_FIELDS: typing.Final[dict[str, tuple[str, ...]]] = {
    'burst': ('for_s', 'x'),
    'shift': ('for_s', 'share', 'zone', 'to_zone'),
    'slow': ('for_s', 'share', 'x'),
    'shed': ('for_s', 'share', 'x'),
    'evacuate': ('for_s', 'zone'),
    'cool': ('zone',),
    'lost': ('for_s', 'share'),
}


def load_scenario(path: str) -> result.Result[Scenario, str]:
    """Read and check a scenario file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f'cannot read scenario {path}: {error}')
    return parse_scenario(text)


def parse_scenario(text: str) -> result.Result[Scenario, str]:
    """Parse and check a scenario; errors name the field at fault."""
    decoded = codec.decode_with_comments(text, Scenario)
    if isinstance(decoded, result.Err):
        return decoded
    scenario = decoded.ok_value
    for problem in find_problems(scenario):
        return result.Err(problem)
    return decoded


def find_problems(scenario: Scenario) -> collections.abc.Iterator[str]:
    """Yield what does not fit together in a scenario."""
    zones = scenario['zones']
    named: dict[str, collections.abc.Iterable[str]] = {
        'vms': scenario['vms'],
        'rates_per_s': scenario['rates_per_s'],
        **{
            f'services.{name}.servers': service['servers']
            for name, service in scenario['services'].items()
        },
    }
    for field, by_zone in named.items():
        for zone in sorted(set(by_zone) - zones.keys()):
            yield f'unknown zone {zone} - at `$.{field}`'
    for zone in scenario['rates_per_s']:
        if not scenario['vms'].get(zone):
            yield f'no VM for the callers of {zone} - at `$.vms`'
    for name, kind in scenario['requests'].items():
        if kind['service'] not in scenario['services']:
            yield f'unknown service - at `$.requests.{name}.service`'
    for number, event in enumerate(scenario.get('events', [])):
        for field in EVENT_FIELDS[event['kind']]:
            if field not in event:
                yield f'missing field `{field}` - at `$.events[{number}]`'
        for field in ('zone', 'to_zone'):
            if event.get(field, next(iter(zones))) not in zones:
                yield f'unknown zone - at `$.events[{number}].{field}`'
        if event.get('service') not in {None, *scenario['services']}:
            yield f'unknown service - at `$.events[{number}].service`'
