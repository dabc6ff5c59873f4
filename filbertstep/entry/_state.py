"""State of one VM, kept current from the store's keys."""

import collections.abc
import typing

import result

from filbertstep import _decimals
from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _membership
from filbertstep.entry import _stopping
from filbertstep.entry import _strikes
from filbertstep.entry import _sync

# Subtracted from the bound on the use of withdrawn API keys, to allow for
# clocks that differ in speed and for the time from the check until the request
# is sent.
KEY_FRESHNESS_MARGIN_S: typing.Final = 0.3


class KeyRules(_knowledge.KeyRules):
    """Meaning of the platform's keys and of this program's own."""

    def __init__(self, decoder: _contracts.Decoder) -> None:
        self.decoder = decoder

    def is_leased(self, key: str) -> bool:
        """Return whether the store deletes a key when a lease ends."""
        return self.decoder.parse_key(
            key
        ).kind is _contracts.KeyKind.SERVER or key.startswith(
            _membership.VM_PREFIX
        )

    def restore_hold_s(self, key: str) -> float:
        """Return for how long a key that a restored store lacks is kept.

        The share of a rate limit that a VM may still use must not be given to
        others.
        """
        if key.startswith(_membership.FLEET_PREFIX):
            return _membership.QUOTA_RETENTION_S
        if self.is_configuration(key):
            return float('inf')
        return _knowledge.DELETION_HOLD_S

    def recency(self, key: str, value: bytes) -> _contracts.Recency | None:
        """Return the recency of a value, None if it does not tell."""
        return self.decoder.recency(key, value)

    def is_configuration(self, key: str) -> bool:
        """Return whether a key has the operator's configuration."""
        kind = self.decoder.parse_key(key).kind
        return kind is _contracts.KeyKind.CONFIGURATION

    def settled_era(self, key: str, value: bytes) -> int | None:
        """Return the era that a value records as settled, if it does."""
        if key != _sync.ERA_KEY:
            return None
        return _decimals.parse_decimal(value.decode(errors='replace'))


class State:
    """Tables of one VM that requests are decided on.

    Changes of the store's keys arrive through ``apply_change``.
    """

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
        self.stop = _stopping.Stop()
        self.members = _membership.MemberTable()
        self.replica = _knowledge.StoreReplica(
            self.apply_change, KeyRules(decoder), self.note_refused
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
        self.retry_budget = steering.RetryBudget(
            settings.bounds,
            float('-inf')
            if settings.first_start
            else time_source.now() + settings.bounds.retry_window_s,
        )
        self.splits = steering.WeightedBalancer(settings.vm)
        self.strikes = _strikes.StrikeTable(settings.vm, time_source, log)
        self.configuration: steering.Configuration | None = None
        self.routes: steering.RouteTable | None = None
        self.appliers: dict[
            _contracts.KeyKind,
            collections.abc.Callable[[_contracts.ParsedKey, typing.Any], None],
        ] = {
            # Any: each function takes the type of value that its kind of key
            # has.
            _contracts.KeyKind.CONFIGURATION: self.apply_configuration,
            _contracts.KeyKind.SERVER: self.apply_server,
            _contracts.KeyKind.EVACUATION: self.apply_evacuation,
        }

    def begin_stop(self, now: float) -> None:
        """Begin the planned stop of this VM, which bounds all requests."""
        self.stop.begin(now, self.settings.bounds.stop_grace_s)
        self.limit_runs(self.stop.runs_until)

    def limit_runs(self, runs_until: float) -> None:
        """Send only requests whose runs end by a time; end waits by then."""
        self.placement.runs_until = runs_until
        self.wait_queue.limit_waits(runs_until)

    def set_settings(self, settings: _contracts.EntrySettings) -> None:
        """Apply changed settings.

        Bounds, regions and the order of waiting requests can change in a run.
        """
        self.settings = settings
        self.servers.region_by_zone = settings.region_by_zone
        for table in (
            self.placement,
            self.retry_budget,
            self.quotas,
            self.regions,
        ):
            table.bounds = settings.bounds
        self.update_overload_order()

    def update_overload_order(self) -> None:
        """Set which services' queues are ordered by cost."""
        services = steering.cost_services(
            self.settings.overload_order, self.configuration
        )
        if services == self.wait_queue.schedules.keys():
            return
        self.wait_queue.order_by_cost(services, self.clock.now())
        self.log.write('overload_order', by_cost=sorted(services))

    def apply_change(self, change: _contracts.Change) -> None:
        """Apply a change of a key to the tables.

        A value that cannot be decoded is logged.  It counts as a deletion,
        except for the configuration, where the previous one stays in force.
        """
        parsed_key = self.decoder.parse_key(change.key)
        apply = self.appliers.get(parsed_key.kind)
        if change.key.startswith(_strikes.STRIKES_PREFIX):
            self.strikes.apply_peer_strikes(change)
            return
        if apply is None:
            self.members.apply_change(change, self.clock.now())
            self.log_member(change)
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
                    # Keep the last configuration that could be read.
                    return
            else:
                decoded_value = decoded.ok_value
        apply(parsed_key, decoded_value)

    def note_refused(
        self, change: _contracts.Change, precedence: _knowledge.Precedence
    ) -> None:
        """Log a value of the store that is not used, as it may be old.

        If it is the beginning of a new start after all, the server is cold.
        """
        held = precedence is _knowledge.Precedence.UNCONFIRMED
        self.log.write(
            'late_value',
            key=change.key,
            revision=change.revision,
            held=held,
        )
        if not held or change.value is None:
            return
        decoded = self.decoder.decode(change.key, change.value).ok()
        server = self.servers.by_id.get(
            self.decoder.parse_key(change.key).name
        )
        if server is not None and isinstance(decoded, steering.ServerEntry):
            server.cold_until = max(
                server.cold_until, self.clock.now() + decoded.cold_left_s
            )

    def log_member(self, change: _contracts.Change) -> None:
        """Log a change of the key that makes look-ups name a VM."""
        if not change.key.startswith(_membership.VM_PREFIX):
            return
        doc = _membership.decode_member(change.value)
        name = change.key[len(_membership.VM_PREFIX) :]
        self.log.write(
            'vm_key',
            name=name,
            listed=name in self.members.live,
            lease=doc.get('lease') if doc else None,
            era=change.era,
            revision=change.revision,
        )

    def update_vm_shares(self) -> None:
        """Divide quotas and retry budgets among the VMs that may use them."""
        vms_with_quota = self.members.vms_with_quota(self.settings.vm)
        if vms_with_quota != self.quotas.vms:
            self.log.write('vms_changed', spending=len(vms_with_quota))
        self.quotas.set_vms(vms_with_quota)
        self.retry_budget.vm_count = len(vms_with_quota)
        vms_by_zone: dict[str, set[str]] = {}
        for member in self.members.live.values():
            vms_by_zone.setdefault(member.availability_zone, set()).add(
                member.vm
            )
        self.placement.set_vms(
            self.settings.vm,
            {zone: frozenset(vms) for zone, vms in vms_by_zone.items()},
            self.clock.now(),
        )
        self.placement.copies.vms_in_zone = max(
            1,
            self.placement.vms_in_zone.get(self.settings.availability_zone, 0),
        )
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
        configuration: steering.Configuration | None,
    ) -> None:
        """Apply a configuration if it has a higher version."""
        current = self.configuration
        if configuration is None or (
            current and configuration.version <= current.version
        ):
            return
        self.configuration = configuration
        self.routes = steering.RouteTable(configuration)
        self.placement.services = configuration.services
        self.placement.unequal_services = steering.unequal_services(
            configuration
        )
        self.update_overload_order()
        self.log.write(
            'configuration',
            version=configuration.version,
            before=current.version if current else None,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )

    def apply_server(
        self,
        parsed_key: _contracts.ParsedKey,
        entry: steering.ServerEntry | None,
    ) -> None:
        """Apply a change of a backend server's entry."""
        server = self.servers.by_id.get(parsed_key.name)
        # Taken before ``put`` replaces the entry of this record.
        previous = server.entry if server else None
        if (
            entry is not None
            and not entry.incarnation
            and self.servers.has_told_start(entry.server_id)
        ):
            # It is not the server's own, and must not count as a new start.
            self.log.write(
                'unreadable_entry',
                server=entry.server_id,
                reason='the start of the server is missing',
            )
            entry = None
        if entry is None:
            self.servers.remove(parsed_key.name)
        else:
            self.servers.put(entry, self.clock.now())
        known_entry = entry or previous
        before = previous.draining if previous else None
        after = entry.draining if entry else None
        if before != after:
            self.log.write(
                'server',
                server=parsed_key.name,
                service=known_entry.service if known_entry else None,
                draining=after,
                before=before,
                cold_left_s=entry.cold_left_s if entry else None,
            )

    def apply_evacuation(
        self,
        parsed_key: _contracts.ParsedKey,
        evacuation: _contracts.Evacuation | None,
    ) -> None:
        """Start or end the evacuation of an availability zone."""
        if evacuation is None:
            configuration = self.configuration
            services = configuration.services if configuration else {}
            self.servers.end_evacuation(
                parsed_key.name, self.clock.now(), services
            )
        else:
            self.servers.evacuate(parsed_key.name)
        self.log.write(
            'evacuation',
            availability_zone=parsed_key.name,
            evacuated=evacuation is not None,
        )

    def may_accept_keys(self, now: float) -> bool:
        """Return whether the replica is recent enough to accept API keys.

        The bound limits for how long a withdrawn key is accepted.
        """
        bound = self.settings.bounds.key_withdrawal_s - KEY_FRESHNESS_MARGIN_S
        return self.replica.documents_age(now) < bound

    def can_confirm_missing(self, now: float) -> bool:
        """Return whether an unknown route or API key certainly does not exist.

        If the replica is older than the bound on applying a configuration, the
        route or key may have been added since.
        """
        bound = self.settings.bounds.config_apply_s
        return self.replica.documents_age(now) < bound

    def is_ready(self, now: float) -> bool:
        """Return whether this VM can serve callers' requests."""
        return self.configuration is not None and self.may_accept_keys(now)
