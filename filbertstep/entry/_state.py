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
KEY_FRESHNESS_MARGIN_S: typing.Final = 0.3


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
        self.replica = _knowledge.StoreReplica(
            self.apply_change, self.is_leased_key
        )
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
        self.wait_queue = steering.WaitQueue(self.placement)
        self.quotas = steering.QuotaTable(
            settings.vm, settings.first_start, settings.bounds
        )
        self.retry_budget = steering.RetryBudget(settings.bounds)
        self.splits = steering.WeightedBalancer()
        self.strikes = _strikes.StrikeTable(settings.vm, time_source, log)
        self.configuration: steering.Configuration | None = None
        self.routes: steering.RouteTable | None = None
        self.appliers: dict[
            _contracts.KeyKind,
            collections.abc.Callable[[_contracts.ParsedKey, typing.Any], None],
        ] = {
            # Any: each function takes the one kind of row of its subject.
            _contracts.KeyKind.CONFIGURATION: self.apply_configuration,
            _contracts.KeyKind.SERVER: self.apply_server,
            _contracts.KeyKind.EVACUATION: self.apply_evacuation,
        }

    def set_settings(self, settings: _contracts.EntrySettings) -> None:
        """Put settings in force; bounds and regions can change in a run."""
        self.settings = settings
        self.servers.region_by_zone = settings.region_by_zone
        for table in (
            self.placement,
            self.retry_budget,
            self.quotas,
            self.regions,
        ):
            table.bounds = settings.bounds

    def is_leased_key(self, key: str) -> bool:
        """Tell whether a key disappears when its writer's lease ends."""
        parsed_key = self.decoder.parse_key(key)
        return parsed_key.kind is _contracts.KeyKind.SERVER or key.startswith(
            _membership.VM_PREFIX
        )

    def apply_change(self, change: _contracts.Change) -> None:
        """Take a change of a key."""
        parsed_key = self.decoder.parse_key(change.key)
        apply = self.appliers.get(parsed_key.kind)
        if change.key.startswith(_strikes.STRIKES_PREFIX):
            self.strikes.apply_peer_strikes(change)
            return
        if apply is None:
            self.members.apply_change(change, self.clock.now())
            self.update_vm_shares()
            return
        decoded_value: object = None
        if change.value is not None:
            decoded = self.decoder.decode(change.key, change.value)
            if isinstance(decoded, result.Err):
                self.log.write(
                    'unreadable_entry',
                    key=change.key,
                    revision=change.revision,
                    reason=decoded.err_value,
                )
                if parsed_key.kind is _contracts.KeyKind.CONFIGURATION:
                    # The last one that could be read stays in force.
                    return
            else:
                decoded_value = decoded.ok_value
        apply(parsed_key, decoded_value)

    def update_vm_shares(self) -> None:
        """Split rates and allowances over the VMs that may spend."""
        spending = self.members.spending_vms(self.settings.vm)
        if spending != self.quotas.vms:
            self.log.write('vms_changed', spending=len(spending))
        self.quotas.set_vms(spending)
        self.retry_budget.vm_count = len(spending)
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

    def apply_configuration(
        self,
        _parsed_key: _contracts.ParsedKey,
        decoded_value: steering.Configuration | None,
    ) -> None:
        """Put a configuration in force; versions never go back."""
        current = self.configuration
        if decoded_value is None or (
            current and decoded_value.version <= current.version
        ):
            return
        self.configuration = decoded_value
        self.routes = steering.RouteTable(decoded_value)
        self.placement.services = decoded_value.services
        self.log.write(
            'configuration',
            version=decoded_value.version,
            before=current.version if current else None,
            routes=len(decoded_value.routes),
            accounts=len(decoded_value.accounts),
        )

    def apply_server(
        self,
        parsed_key: _contracts.ParsedKey,
        decoded_value: steering.ServerEntry | None,
    ) -> None:
        """Take a backend server's entry."""
        row = self.servers.by_id.get(parsed_key.name)
        # The row takes the new entry, so the former one is kept here.
        current = row.entry if row else None
        if decoded_value is None:
            self.servers.remove(parsed_key.name)
        else:
            self.servers.put(decoded_value, self.clock.now())
        shown = decoded_value or current
        before = current.draining if current else None
        after = decoded_value.draining if decoded_value else None
        if before != after:
            self.log.write(
                'server',
                server=parsed_key.name,
                service=shown.service if shown else None,
                draining=after,
                before=before,
                cold_left_s=decoded_value.cold_left_s
                if decoded_value
                else None,
            )

    def apply_evacuation(
        self,
        parsed_key: _contracts.ParsedKey,
        decoded_value: _contracts.Evacuation | None,
    ) -> None:
        """Begin or end the evacuation of an availability zone."""
        if decoded_value is None:
            current = self.configuration
            services = current.services if current else {}
            self.servers.end_evacuation(
                parsed_key.name, self.clock.now(), services
            )
        else:
            self.servers.evacuate(parsed_key.name)
        self.log.write(
            'evacuation',
            availability_zone=parsed_key.name,
            evacuated=decoded_value is not None,
        )

    def may_accept_keys(self, now: float) -> bool:
        """Tell whether a key may be accepted on what is known."""
        bound = self.settings.bounds.key_withdrawal_s - KEY_FRESHNESS_MARGIN_S
        return self.replica.age(now) < bound

    def can_confirm_missing(self, now: float) -> bool:
        """Tell whether an unknown route or key can be told as such.

        Within the bound on applying a change, the missing route or key may
        have been added meanwhile.
        """
        return self.replica.age(now) < self.settings.bounds.config_apply_s

    def is_ready(self, now: float) -> bool:
        """Tell whether callers should come to this VM."""
        return self.configuration is not None and self.may_accept_keys(now)
