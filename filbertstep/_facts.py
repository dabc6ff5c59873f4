"""Known facts about a deployment that the checkers compare a history with.

They come from two sources: the configuration (limits, permissions, places)
and the events of the operator and the backend servers (tickets, withdrawn
keys, drains, stops and kills).  All times are timestamps ``t`` of events, in
seconds of ``CLOCK_BOOTTIME``.
"""

import collections.abc
import typing

from filbertstep import _history
from filbertstep import config


class ServiceFact(typing.NamedTuple):
    """Whether a service needs no API key, and its idempotent methods."""

    allows_anonymous: bool
    idempotent_methods: frozenset[str]


class ServerFact(typing.NamedTuple):
    """A backend server; ``slots`` bounds its concurrent requests."""

    service: str
    region: str
    slots: int


class AccountFact(typing.NamedTuple):
    """Rate limit of a client account and the services that it may use."""

    rate_per_s: float
    burst_requests: float
    services: frozenset[str]


class ShiftCapFact(typing.NamedTuple):
    """Limit on the requests of a service that leave the reference region.

    In any interval of ``interval_s`` seconds at most the share ``max_share``
    (0 to 1) of the requests may be placed in another region.
    """

    max_share: float
    interval_s: float


class LinkFact(typing.NamedTuple):
    """Sustained rate and burst size of a link from one region to another."""

    bytes_per_s: float
    burst_bytes: float


class TicketFact(typing.NamedTuple):
    """When a configuration ticket was committed to the store and accepted.

    ``accepted_at`` is the time at which the submitter was told that the
    ticket is accepted, None if it was not told.
    """

    number: int
    committed_at: float
    accepted_at: float | None


class KeyWithdrawalFact(typing.NamedTuple):
    """An API key and the commit time of the ticket that withdrew it."""

    key_name: str
    withdrawn_at: float


class ServerDrainFact(typing.NamedTuple):
    """A planned drain of a backend server; ``ended_at`` None if ongoing."""

    server: str
    began_at: float
    ended_at: float | None


class VmStopFact(typing.NamedTuple):
    """A planned stop of a VM; ``ended_at`` None if it has not ended."""

    vm: str
    began_at: float
    ended_at: float | None


class ProcessKillFact(typing.NamedTuple):
    """A killed process, which may interrupt the requests it was serving."""

    process: str
    killed_at: float


class Facts(typing.NamedTuple):
    """All known facts about a deployment.

    The dicts are keyed by name, ``links`` by the pair (from region, to
    region).  ``key_accounts`` maps the name of an API key to its client
    account, ``vm_regions`` the name of a VM to its region.
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
    configuration: config.Config, vm_regions: dict[str, str]
) -> Facts:
    """Return the facts that a configuration gives."""
    return Facts(
        services={
            name: ServiceFact(service.open, service.idempotent_methods)
            for name, service in configuration.services.items()
        },
        servers={
            name: ServerFact(server.service, server.region, server.slots)
            for name, server in configuration.backend_servers.items()
        },
        accounts={
            name: AccountFact(account.rate, account.burst, account.services)
            for name, account in configuration.client_accounts.items()
        },
        key_accounts={
            key.name: key.client_account for key in configuration.keys.values()
        },
        shift_caps={
            name: ShiftCapFact(cap.max_share, cap.interval_s)
            for name, cap in configuration.shift_caps.items()
        },
        links={
            (link.from_region, link.to_region): LinkFact(
                link.bytes_per_s, link.burst_bytes
            )
            for link in configuration.links.values()
        },
        vm_regions=vm_regions,
    )


def add_history_facts(
    facts: Facts, history: collections.abc.Iterable[_history.AnyEvent]
) -> Facts:
    """Return facts extended by those from the events of a history.

    The history must be in order of time.
    """
    events = list(history)
    tickets = ticket_facts(events)
    submissions = {
        event['number']: event
        for event in events
        if event['event'] == 'ticket_submitted'
    }
    issued_key_accounts = {
        key_name: account
        for submission in submissions.values()
        for key_name, account in submission.get('issued_keys', [])
    }
    return facts._replace(
        # A key that was issued and withdrawn again is missing from the latest
        # configuration, but requests in the history may have used it.
        key_accounts={**facts.key_accounts, **issued_key_accounts},
        tickets=tuple(tickets[number] for number in sorted(tickets)),
        key_withdrawals=tuple(
            KeyWithdrawalFact(key_name, tickets[number].committed_at)
            for number, submission in submissions.items()
            if number in tickets
            for key_name in submission.get('withdrawn_keys', [])
        ),
        server_drains=(
            *ticket_drains(tickets, submissions),
            *server_reported_drains(events),
        ),
        vm_stops=planned_stops(events),
        process_kills=tuple(
            ProcessKillFact(event['name'], event['t'])
            for event in events
            if event['event'] == 'killed'
        ),
    )


def ticket_facts(events: list[_history.AnyEvent]) -> dict[int, TicketFact]:
    """Return committed and accepted tickets by number.

    An accepted ticket without a recorded commit counts as committed at the
    time of its acceptance.
    """
    tickets: dict[int, TicketFact] = {}
    for event in events:
        if event['event'] not in ('ticket_committed', 'ticket_accepted'):
            continue
        number, at = event['number'], event['t']
        ticket = tickets.get(number, TicketFact(number, at, None))
        if event['event'] == 'ticket_accepted' and ticket.accepted_at is None:
            ticket = ticket._replace(accepted_at=at)
        tickets[number] = ticket
    return tickets


def ticket_drains(
    tickets: dict[int, TicketFact],
    submissions: dict[int, _history.AnyEvent],
) -> list[ServerDrainFact]:
    """Return the drains of backend servers that tickets began.

    ``submissions`` holds the ``ticket_submitted`` events by ticket number.
    """
    ongoing: dict[str, ServerDrainFact] = {}
    ended: list[ServerDrainFact] = []
    for number in sorted(tickets):
        event, at = submissions.get(number, {}), tickets[number].committed_at
        for drain_name in event.get('ended_drains', []):
            if drain_name in ongoing:
                ended.append(ongoing.pop(drain_name)._replace(ended_at=at))
        for drain_name, target_kind, target in event.get('drains', []):
            if target_kind == config.DrainTarget.BACKEND_SERVER:
                ongoing[drain_name] = ServerDrainFact(target, at, None)
    return [*ended, *ongoing.values()]


def server_reported_drains(
    events: list[_history.AnyEvent],
) -> list[ServerDrainFact]:
    """Return the drains that backend servers reported themselves."""
    ongoing: dict[str, ServerDrainFact] = {}
    ended: list[ServerDrainFact] = []
    for event in events:
        if event['event'] != 'server_state':
            continue
        server = event['server']
        if event['state'] == 'draining':
            ongoing[server] = ServerDrainFact(server, event['t'], None)
        elif server in ongoing:
            drain = ongoing.pop(server)
            ended.append(drain._replace(ended_at=event['t']))
    return [*ended, *ongoing.values()]


def planned_stops(
    events: list[_history.AnyEvent],
) -> tuple[VmStopFact, ...]:
    """Return the planned stops of VMs."""
    stops: list[VmStopFact] = []
    for event in events:
        if event['event'] == 'stop_began':
            stops.append(VmStopFact(event['name'], event['t'], None))
        elif event['event'] == 'stop_ended':
            for position, stop in enumerate(stops):
                if stop.vm == event['name'] and stop.ended_at is None:
                    stops[position] = stop._replace(ended_at=event['t'])
    return tuple(stops)
