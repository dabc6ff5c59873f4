"""Configuration facts that the checkers compare a history with."""

import collections.abc
import typing

from filbertstep import _history
from filbertstep import config


class ServiceFact(typing.NamedTuple):
    """A service: open to all, and the methods that are idempotent."""

    allows_anonymous: bool
    idempotent_methods: frozenset[str]


class ServerFact(typing.NamedTuple):
    """A backend server: where it is and how many slots it has."""

    service: str
    region: str
    slots: int


class AccountFact(typing.NamedTuple):
    """Rate in requests a second, burst in requests."""

    rate_per_s: float
    burst_requests: float
    services: frozenset[str]


class ShiftCapFact(typing.NamedTuple):
    """The share of a service's requests that may move in an interval."""

    max_share: float
    interval_s: float


class LinkFact(typing.NamedTuple):
    """Bytes a second and at once from one region to another."""

    bytes_per_s: float
    burst_bytes: float


class TicketFact(typing.NamedTuple):
    """When a ticket was in the store and when it was called accepted."""

    number: int
    committed_at: float
    accepted_at: float | None


class KeyWithdrawalFact(typing.NamedTuple):
    """A key withdrawn at the commit of its ticket."""

    key_name: str
    withdrawn_at: float


class ServerDrainFact(typing.NamedTuple):
    """A planned drain of a backend server."""

    server: str
    began_at: float
    ended_at: float | None


class VmStopFact(typing.NamedTuple):
    """A planned stop of a VM; without an end it had not ended yet."""

    vm: str
    began_at: float
    ended_at: float | None


class ProcessKillFact(typing.NamedTuple):
    """A process that was killed, so that what it carried was cut."""

    process: str
    killed_at: float


class Facts(typing.NamedTuple):
    """All facts; dicts map names to rows, links (from, to) regions.

    ``key_accounts`` maps a key's name to its client account and
    ``vm_regions`` a VM to its region.
    """

    services: dict[str, ServiceFact]
    servers: dict[str, ServerFact]
    accounts: dict[str, AccountFact]
    key_accounts: dict[str, str]
    shift_caps: dict[str, ShiftCapFact]
    links: dict[tuple[str, str], LinkFact]
    vm_regions: dict[str, str]
    tickets: tuple[TicketFact, ...] = ()
    key_withdrawals: tuple[KeyWithdrawalFact, ...] = ()
    server_drains: tuple[ServerDrainFact, ...] = ()
    vm_stops: tuple[VmStopFact, ...] = ()
    process_kills: tuple[ProcessKillFact, ...] = ()


def facts_from_config(
    made: config.Config, vm_regions: dict[str, str]
) -> Facts:
    """Return the facts that a configuration gives."""
    return Facts(
        services={
            name: ServiceFact(row.open, row.idempotent_methods)
            for name, row in made.services.items()
        },
        servers={
            name: ServerFact(row.service, row.region, row.slots)
            for name, row in made.backend_servers.items()
        },
        accounts={
            name: AccountFact(row.rate, row.burst, row.services)
            for name, row in made.client_accounts.items()
        },
        key_accounts={
            row.name: row.client_account for row in made.keys.values()
        },
        shift_caps={
            name: ShiftCapFact(row.max_share, row.interval_s)
            for name, row in made.shift_caps.items()
        },
        links={
            (row.from_region, row.to_region): LinkFact(
                row.bytes_per_s, row.burst_bytes
            )
            for row in made.links.values()
        },
        vm_regions=vm_regions,
    )


def add_history_facts(
    facts: Facts, history: collections.abc.Iterable[_history.AnyEvent]
) -> Facts:
    """Add what the operator's and the servers' events of a history tell."""
    events = list(history)
    commits = ticket_times(events)
    effects = {
        event['number']: event
        for event in events
        if event['event'] == 'ticket_submitted'
    }
    issued = {
        name: account
        for event in effects.values()
        for name, account in event.get('issued_keys', [])
    }
    return facts._replace(
        # Keys that were withdrawn again are not in the last configuration.
        key_accounts={**facts.key_accounts, **issued},
        tickets=tuple(commits[number] for number in sorted(commits)),
        key_withdrawals=tuple(
            KeyWithdrawalFact(name, commits[number].committed_at)
            for number, event in effects.items()
            if number in commits
            for name in event.get('withdrawn_keys', [])
        ),
        server_drains=(
            *configured_drains(commits, effects),
            *reported_drains(events),
        ),
        vm_stops=planned_stops(events),
        process_kills=tuple(
            ProcessKillFact(event['name'], event['t'])
            for event in events
            if event['event'] == 'killed'
        ),
    )


def ticket_times(events: list[_history.AnyEvent]) -> dict[int, TicketFact]:
    """Return committed and accepted tickets by number.

    A ticket whose commit nobody saw counts as committed when accepted.
    """
    found: dict[int, TicketFact] = {}
    for event in events:
        if event['event'] not in ('ticket_committed', 'ticket_accepted'):
            continue
        number, at = event['number'], event['t']
        known = found.get(number, TicketFact(number, at, None))
        if event['event'] == 'ticket_accepted' and known.accepted_at is None:
            known = known._replace(accepted_at=at)
        found[number] = known
    return found


def configured_drains(
    commits: dict[int, TicketFact], effects: dict[int, _history.AnyEvent]
) -> list[ServerDrainFact]:
    """Return the drains of backend servers that tickets began."""
    found: dict[str, ServerDrainFact] = {}
    past: list[ServerDrainFact] = []
    for number in sorted(commits):
        event, at = effects.get(number, {}), commits[number].committed_at
        for name in event.get('ended_drains', []):
            if name in found:
                past.append(found.pop(name)._replace(ended_at=at))
        for name, kind, target in event.get('drains', []):
            if kind == config.DrainTarget.BACKEND_SERVER:
                found[name] = ServerDrainFact(target, at, None)
    return [*past, *found.values()]


def reported_drains(events: list[_history.AnyEvent]) -> list[ServerDrainFact]:
    """Return the drains that backend servers reported themselves."""
    open_drains: dict[str, ServerDrainFact] = {}
    past: list[ServerDrainFact] = []
    for event in events:
        if event['event'] != 'server_state':
            continue
        server = event['server']
        if event['state'] == 'draining':
            open_drains[server] = ServerDrainFact(server, event['t'], None)
        elif server in open_drains:
            drain = open_drains.pop(server)
            past.append(drain._replace(ended_at=event['t']))
    return [*past, *open_drains.values()]


def planned_stops(
    events: list[_history.AnyEvent],
) -> tuple[VmStopFact, ...]:
    """Return the planned stops of VMs."""
    found: list[VmStopFact] = []
    for event in events:
        if event['event'] == 'stop_began':
            found.append(VmStopFact(event['name'], event['t'], None))
        elif event['event'] == 'stop_ended':
            for position, stop in enumerate(found):
                if stop.vm == event['name'] and stop.ended_at is None:
                    found[position] = stop._replace(ended_at=event['t'])
    return tuple(found)
