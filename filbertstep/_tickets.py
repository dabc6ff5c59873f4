"""Tickets: validation and application of operators' configuration changes.

A ticket contains the complete new states of some entities.  The complete
configuration that results from it is validated, so that an accepted
configuration never refers to an entity that does not exist.
"""

import collections.abc
import hashlib
import typing

import msgspec
import result

from filbertstep import _config
from filbertstep import _head
from filbertstep import codec
from filbertstep import errors

# The store rejects values above one megabyte.
MAX_SECTION_BYTES: typing.Final = 1_000_000

MAX_CHANGES: typing.Final = 10_000


class ChangeDoc(typing.TypedDict):
    """Complete new state of one entity, or null to delete it."""

    kind: _config.EntityKind
    name: _config.Name
    state: dict[str, typing.Any] | None


class TicketDoc(typing.TypedDict):
    """A ticket; its number is that of the last accepted ticket plus 1."""

    number: typing.Annotated[int, msgspec.Meta(gt=0)]
    author: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    changes: typing.Annotated[
        list[ChangeDoc], msgspec.Meta(min_length=1, max_length=MAX_CHANGES)
    ]


EntityRef = tuple[_config.EntityKind, str]
"""An entity by kind and name."""


class Problem(typing.NamedTuple):
    """An error in the configuration that results from a ticket.

    ``field`` is the path of the invalid field in the entity's state.
    ``cause`` is the other entity, if any, whose change or deletion caused the
    error.
    """

    entity: EntityRef
    field: str
    message: str
    cause: EntityRef | None = None


def invalid_ticket(path: str, message: str) -> result.Err[errors.Failure]:
    """Return a failure that names the invalid field of a ticket."""
    return result.Err(
        errors.Failure(errors.ErrorKind.INVALID_TICKET, f'{path}: {message}')
    )


def check_ticket(raw: object) -> result.Result[TicketDoc, errors.Failure]:
    """Validate a ticket by itself, without the current configuration.

    States in the returned ticket are normalized.  Failure: ``invalid_ticket``.
    """
    converted = codec.convert(raw, TicketDoc)
    if isinstance(converted, result.Err):
        text = converted.err_value
        return result.Err(
            errors.Failure(
                errors.ErrorKind.INVALID_TICKET, text.replace('$.', '')
            )
        )
    ticket = converted.ok_value
    seen_refs: set[EntityRef] = set()
    for position, change in enumerate(ticket['changes']):
        path = f'changes[{position}]'
        ref = (change['kind'], change['name'])
        if ref in seen_refs:
            return invalid_ticket(
                f'{path}.name', 'changed twice in one ticket'
            )
        seen_refs.add(ref)
        if change['state'] is None:
            continue
        checked = _config.check_document(change['kind'], change['state'])
        if isinstance(checked, result.Err):
            text = checked.err_value.replace('$', f'{path}.state')
            return result.Err(
                errors.Failure(errors.ErrorKind.INVALID_TICKET, text)
            )
        # Converts numbers to the types of their fields, so that content and
        # digest of a section do not depend on whether a ticket has 5 or 5.0.
        change['state'] = msgspec.to_builtins(checked.ok_value)
    return result.Ok(ticket)


def ticket_digest(ticket: TicketDoc) -> str:
    """Return the SHA-256 digest of a ticket's changes in hex."""
    return hashlib.sha256(codec.encode(ticket['changes'])).hexdigest()


def apply_ticket(
    documents: _config.Documents, ticket: TicketDoc
) -> result.Result[_config.Documents, errors.Failure]:
    """Return the documents that result from a validated ticket.

    ``documents`` is not modified.  Failure: ``invalid_ticket``.
    """
    changed = {kind: dict(entities) for kind, entities in documents.items()}
    positions: dict[EntityRef, int] = {}
    for position, change in enumerate(ticket['changes']):
        kind, name = change['kind'], change['name']
        positions[(kind, name)] = position
        if change['state'] is not None:
            changed[kind][name] = change['state']
        elif changed[kind].pop(name, None) is None:
            return invalid_ticket(
                f'changes[{position}].name', f'no {kind.value} {name}'
            )
    found = list(problems(documents, changed))
    if found:
        # An error that involves two entities is found once for each.  Report
        # it for the entity that the ticket changes.
        problem = min(found, key=lambda item: item.entity not in positions)
        return invalid_ticket(
            problem_path(problem, positions), problem.message
        )
    return check_sizes(changed, positions)


def problem_path(problem: Problem, positions: dict[EntityRef, int]) -> str:
    """Return the path of the ticket's field that causes a problem."""
    if problem.entity in positions:
        return f'changes[{positions[problem.entity]}].state.{problem.field}'
    if problem.cause in positions:
        return f'changes[{positions[problem.cause]}].state'
    return 'changes'


def check_sizes(
    documents: _config.Documents, positions: dict[EntityRef, int]
) -> result.Result[_config.Documents, errors.Failure]:
    """Reject changes that make a section too large for the store.

    ``positions`` are the positions in the ticket of the changed entities.
    """
    contents = _head.split_into_sections(documents)
    for (kind, name), position in positions.items():
        section = _head.section_name(kind, name)
        size = len(codec.encode(contents.get(section, {})))
        if size >= MAX_SECTION_BYTES:
            return invalid_ticket(
                f'changes[{position}].state',
                f'section {section} would have {size} bytes, the limit is '
                f'{MAX_SECTION_BYTES}',
            )
    return result.Ok(documents)


def changed_sections(
    ticket: TicketDoc, documents: _config.Documents
) -> dict[str, dict[str, typing.Any] | None]:
    """Return the new contents of the sections that a ticket changes.

    The content of a section that becomes empty is None.
    """
    contents = _head.split_into_sections(documents)
    names = {
        _head.section_name(change['kind'], change['name'])
        for change in ticket['changes']
    }
    return {name: contents.get(name) for name in sorted(names)}


Problems = collections.abc.Iterator[Problem]


def problems(old: _config.Documents, new: _config.Documents) -> Problems:
    """Yield the errors of a new configuration."""
    yield from missing_references(new)
    yield from zone_problems(new)
    yield from duplicate_values(new, _config.EntityKind.SERVICE, 'path_prefix')
    yield from duplicate_values(new, _config.EntityKind.KEY, 'digest')
    yield from relocated_servers(old, new)
    yield from same_region_links(new)


def service_references(
    name: str, doc: typing.Any
) -> list[tuple[str, EntityRef]]:
    """Return the regions between which a service's traffic is split."""
    return [
        (f'regions.{region}', (_config.EntityKind.REGION, region))
        for region in doc['regions']
    ]


def region_references(
    name: str, doc: typing.Any
) -> list[tuple[str, EntityRef]]:
    """Return the regions that a region lists as near."""
    return [
        (f'near[{position}]', (_config.EntityKind.REGION, region))
        for position, region in enumerate(doc.get('near', ()))
    ]


def server_references(
    name: str, doc: typing.Any
) -> list[tuple[str, EntityRef]]:
    """Return the service and the region of a backend server."""
    return [
        ('service', (_config.EntityKind.SERVICE, doc['service'])),
        ('region', (_config.EntityKind.REGION, doc['region'])),
    ]


def account_references(
    name: str, doc: typing.Any
) -> list[tuple[str, EntityRef]]:
    """Return the services of a client account."""
    return [
        (f'services[{position}]', (_config.EntityKind.SERVICE, service))
        for position, service in enumerate(doc['services'])
    ]


def key_references(name: str, doc: typing.Any) -> list[tuple[str, EntityRef]]:
    """Return the client account of an API key."""
    account = doc['client_account']
    return [('client_account', (_config.EntityKind.CLIENT_ACCOUNT, account))]


def cap_references(name: str, doc: typing.Any) -> list[tuple[str, EntityRef]]:
    """Return the service of a shift cap, which has the same name."""
    return [('name', (_config.EntityKind.SERVICE, name))]


def drain_references(
    name: str, doc: typing.Any
) -> list[tuple[str, EntityRef]]:
    """Return the target of a drain, unless it is a VM.

    The configuration contains no VMs.
    """
    if doc['target_kind'] == _config.DrainTarget.VM:
        return []
    return [
        ('target', (_config.EntityKind(doc['target_kind']), doc['target']))
    ]


def link_references(name: str, doc: typing.Any) -> list[tuple[str, EntityRef]]:
    """Return both regions of a link."""
    return [
        (field, (_config.EntityKind.REGION, doc[field]))
        for field in ('from_region', 'to_region')
    ]


def site_references(name: str, doc: typing.Any) -> list[tuple[str, EntityRef]]:
    """Return the region of a site."""
    return [('region', (_config.EntityKind.REGION, doc['region']))]


REFERENCE_GETTERS: typing.Final = {
    _config.EntityKind.SERVICE: service_references,
    _config.EntityKind.REGION: region_references,
    _config.EntityKind.BACKEND_SERVER: server_references,
    _config.EntityKind.CLIENT_ACCOUNT: account_references,
    _config.EntityKind.KEY: key_references,
    _config.EntityKind.SHIFT_CAP: cap_references,
    _config.EntityKind.DRAIN: drain_references,
    _config.EntityKind.LINK: link_references,
    _config.EntityKind.SITE: site_references,
}


def missing_references(documents: _config.Documents) -> Problems:
    """Yield references to entities that do not exist."""
    for kind, entities in documents.items():
        for name, doc in entities.items():
            for field, ref in REFERENCE_GETTERS[kind](name, doc):
                if ref[1] not in documents[ref[0]]:
                    yield Problem(
                        (kind, name),
                        field,
                        f'{kind.value} {name} refers to {ref[0].value} '
                        f'{ref[1]}, which does not exist',
                        ref,
                    )


def zone_problems(documents: _config.Documents) -> Problems:
    """Yield backend servers outside their region's availability zones."""
    for name, doc in documents[_config.EntityKind.BACKEND_SERVER].items():
        region = documents[_config.EntityKind.REGION].get(doc['region'])
        zone = doc['availability_zone']
        if region is not None and zone not in region['availability_zones']:
            yield Problem(
                (_config.EntityKind.BACKEND_SERVER, name),
                'availability_zone',
                f'backend_server {name} is in availability zone {zone}, '
                f'which region {doc["region"]} does not have',
                (_config.EntityKind.REGION, doc['region']),
            )


def duplicate_values(
    documents: _config.Documents, kind: _config.EntityKind, field: str
) -> Problems:
    """Yield problems of entities that have the same value of a field.

    Each pair of such entities yields one problem for either of them.
    """
    name_by_value: dict[str, str] = {}
    for name, doc in documents[kind].items():
        other = name_by_value.setdefault(doc[field], name)
        if other != name:
            for first, second in ((name, other), (other, name)):
                yield Problem(
                    (kind, first),
                    field,
                    f'{kind.value} {second} has the same {field}',
                )


def relocated_servers(
    old: _config.Documents, new: _config.Documents
) -> Problems:
    """Yield backend servers whose region or address changed.

    Slots are assigned by the name of the server.  If the name moved to
    another machine, both machines could run requests in the same slots.
    """
    kind = _config.EntityKind.BACKEND_SERVER
    for name, doc in new[kind].items():
        before = old[kind].get(name)
        for field in ('region', 'address'):
            if before is not None and before[field] != doc[field]:
                yield Problem(
                    (kind, name),
                    field,
                    f'{field} of backend_server {name} must not change; use '
                    'a new name',
                )


def same_region_links(documents: _config.Documents) -> Problems:
    """Yield links from a region to itself."""
    for name, doc in documents[_config.EntityKind.LINK].items():
        if doc['from_region'] == doc['to_region']:
            yield Problem(
                (_config.EntityKind.LINK, name),
                'to_region',
                f'link {name} begins and ends in {doc["to_region"]}',
            )
