"""What the entry program knows at the moment, joined from the store's keys."""

import collections.abc
import typing

import result

from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _strikes

# Part of the bound on withdrawn keys that is left for clocks that differ in
# speed and for the way from the check to the wire, in seconds.
KEY_MARGIN_S: typing.Final = 0.3


class State:
    """Tables of one VM; changes of the store's keys come in by ``take``."""

    def __init__(
        self,
        settings: _contracts.EntrySettings,
        decoder: _contracts.Decoder,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.settings = settings
        self.decoder = decoder
        self.clock = time_source
        self.log = log
        self.members = _membership.MemberTable()
        self.knowledge = _knowledge.KnowledgeTable(self.take, self.may_lapse)
        self.servers = steering.ServerTable(settings.region_by_zone)
        self.placement = steering.Placement(
            self.servers,
            settings.region,
            settings.availability_zone,
            settings.bounds,
        )
        self.regions = steering.RegionSplitter(
            self.servers, settings.region, settings.bounds
        )
        self.waiting = steering.WaitQueue(self.placement)
        self.quotas = steering.QuotaTable(
            settings.vm, settings.first_start, settings.bounds
        )
        self.retries = steering.RetryBudget(settings.bounds)
        self.splits = steering.WeightedBalancer()
        self.strikes = _strikes.StrikeTable(settings.vm, time_source, log)
        self.configuration: steering.Configuration | None = None
        self.routes: steering.RouteTable | None = None
        self.takers: dict[
            _contracts.KeyKind,
            collections.abc.Callable[[_contracts.ParsedKey, typing.Any], None],
        ] = {
            # Any: each function takes the one kind of row of its subject.
            _contracts.KeyKind.CONFIGURATION: self.take_configuration,
            _contracts.KeyKind.SERVER: self.apply_server,
            _contracts.KeyKind.EVACUATION: self.take_evacuation,
        }

    def set_settings(self, settings: _contracts.EntrySettings) -> None:
        """Put settings in force; bounds and regions can change in a run."""
        self.settings = settings
        self.servers.region_by_zone = settings.region_by_zone
        for table in (
            self.placement,
            self.retries,
            self.quotas,
            self.regions,
        ):
            table.bounds = settings.bounds

    def may_lapse(self, key: str) -> bool:
        """Tell whether a key disappears when its writer's lease ends."""
        subject = self.decoder.parse_key(key)
        return subject.kind is _contracts.KeyKind.SERVER or key.startswith(
            _membership.MEMBER_PREFIX
        )

    def take(self, change: _contracts.Change) -> None:
        """Take a change of a key."""
        subject = self.decoder.parse_key(change.key)
        take = self.takers.get(subject.kind)
        if change.key.startswith(_strikes.STRIKES_PREFIX):
            self.strikes.take(change)
            return
        if take is None:
            self.members.take(change, self.clock.now())
            self.share_out()
            return
        fact: object = None
        if change.value is not None:
            decoded = self.decoder.decode(change.key, change.value)
            if isinstance(decoded, result.Err):
                self.log.write(
                    'unreadable_entry',
                    key=change.key,
                    revision=change.revision,
                    reason=decoded.err_value,
                )
                if subject.kind is _contracts.KeyKind.CONFIGURATION:
                    # The last one that could be read stays in force.
                    return
            else:
                fact = decoded.ok_value
        take(subject, fact)

    def share_out(self) -> None:
        """Split rates and allowances over the VMs that may spend."""
        spending = self.members.spending(self.settings.vm)
        if spending != self.quotas.vms:
            self.log.write('vms_changed', spending=len(spending))
        self.quotas.set_vms(spending)
        self.retries.vm_count = len(spending)
        zones: dict[str, int] = {}
        for member in self.members.live.values():
            zone = member.availability_zone
            zones[zone] = zones.get(zone, 0) + 1
        self.placement.vms_in_zone = zones
        self.regions.region_vm_count = max(
            1,
            sum(
                member.region == self.settings.region
                for member in self.members.live.values()
            ),
        )

    def take_configuration(
        self,
        _subject: _contracts.ParsedKey,
        fact: steering.Configuration | None,
    ) -> None:
        """Put a configuration in force; versions never go back."""
        known = self.configuration
        if fact is None or (known and fact.version <= known.version):
            return
        self.configuration = fact
        self.routes = steering.RouteTable(fact)
        self.placement.services = fact.services
        self.log.write(
            'configuration',
            version=fact.version,
            before=known.version if known else None,
            routes=len(fact.routes),
            accounts=len(fact.accounts),
        )

    def apply_server(
        self, subject: _contracts.ParsedKey, fact: steering.ServerEntry | None
    ) -> None:
        """Take a backend server's entry."""
        row = self.servers.by_id.get(subject.name)
        # The row takes the new entry, so the former one is kept here.
        known = row.entry if row else None
        if fact is None:
            self.servers.remove(subject.name)
        else:
            self.servers.put(fact, self.clock.now())
        shown = fact or known
        before = known.draining if known else None
        after = fact.draining if fact else None
        if before != after:
            self.log.write(
                'server',
                server=subject.name,
                service=shown.service if shown else None,
                draining=after,
                before=before,
                cold_left_s=fact.cold_left_s if fact else None,
            )

    def take_evacuation(
        self, subject: _contracts.ParsedKey, fact: _contracts.Evacuation | None
    ) -> None:
        """Begin or end the evacuation of an availability zone."""
        if fact is None:
            known = self.configuration
            services = known.services if known else {}
            self.servers.end_evacuation(
                subject.name, self.clock.now(), services
            )
        else:
            self.servers.evacuate(subject.name)
        self.log.write(
            'evacuation',
            availability_zone=subject.name,
            evacuated=fact is not None,
        )

    def keys_usable(self, now: float) -> bool:
        """Tell whether a key may be accepted on what is known."""
        bound = self.settings.bounds.key_withdrawal_s - KEY_MARGIN_S
        return self.knowledge.age(now) < bound

    def certain(self, now: float) -> bool:
        """Tell whether an unknown route or key can be told as such.

        Within the bound on applying a change, the missing route or key may
        have been added meanwhile.
        """
        return self.knowledge.age(now) < self.settings.bounds.config_apply_s

    def ready(self, now: float) -> bool:
        """Tell whether callers should come to this VM."""
        return self.configuration is not None and self.keys_usable(now)
