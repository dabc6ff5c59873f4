"""Answers look-ups: to which VMs a client should send its requests.

The answers for each pair of client region and service are encoded in advance,
whenever the live VMs, the configuration or a VM's minute counter changes.  A
look-up only finds the region of the client's address and returns the encoded
answer.
"""

import collections.abc
from concurrent import futures
import itertools
import typing

import result
import xxhash

from filbertstep import _blocks
from filbertstep import clock as clocks
from filbertstep import codec
from filbertstep import config
from filbertstep import delivery
from filbertstep import errors
from filbertstep import systems

# Callers may use an answer for this time.  It is short because a planned stop
# of a VM waits until no caller uses an older answer.
ANSWER_LIFETIME_S: typing.Final = 2

# Maximum number of VMs in an answer.  A caller needs a few for failover.
MAX_VMS: typing.Final = 8

# The load of a VM, a fraction of 1, is rounded to this many steps.  With finer
# steps, all callers of a region would get the one VM that had the lowest load
# a moment ago.
LOAD_STEPS: typing.Final = 5

# A table of up to this many address blocks is built within a tick, in about
# 6 ms.  A larger one is built in a thread, because 470,000 blocks take about
# 3 s and would block the event loop.
MAX_INLINE_BLOCKS: typing.Final = 2000

# A caller may retry after this time if the VM's configuration is not fresh.
RETRY_AFTER_S: typing.Final = 1.0

SERVING: typing.Final = 'serving'
DRAINING: typing.Final = 'draining'


class LookupVmDoc(typing.TypedDict):
    """A VM in a look-up answer.

    Callers distribute their requests over the VMs that are in the region of
    the first VM, in proportion to ``weight``.  The weight decreases with the
    load of the VM.
    """

    vm: str
    url: str
    region: str
    grant: str
    weight: int


class LookupDoc(typing.TypedDict):
    """Answer to a look-up, with the preferred VM first.

    Callers may use the answer for ``hold_s`` seconds.
    """

    service: str
    hold_s: int
    vms: list[LookupVmDoc]


class Identity(typing.NamedTuple):
    """Identity of this process; ``url`` is that of its callers' listener."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    url: str


class LookupSystem(systems.System):
    """Encodes the answers in each tick if needed and answers look-ups.

    ``load`` is the fraction of this VM's slots that is in use.
    ``prepared_answers`` maps (client region, service) to an endless iterator
    over encoded answers.
    """

    def __init__(
        self,
        identity: Identity,
        clock: clocks.Clock,
        views: config.ViewTable,
        membership: systems.Membership,
        freshness: systems.Freshness,
    ) -> None:
        self.identity = identity
        self.clock = clock
        self.views = views
        self.membership = membership
        self.freshness = freshness
        # The node sets state and load of this VM.
        self.state = SERVING
        self.load = 0.0
        self.block_table = _blocks.BlockTable({})
        self.site_sections: dict[str, str] = {}
        self.executor = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix='blocks'
        )
        self.pending_table: futures.Future[_blocks.BlockTable] | None = None
        self.prepared_inputs: object = None
        self.prepared_answers: dict[
            tuple[str, str], collections.abc.Iterator[bytes]
        ] = {}
        self.grants: dict[str, str] = {}

    def tick(self, now: float) -> None:
        """Prepare the answers again if their contents have changed."""
        self.update_blocks()
        vms = self.all_vms(now)
        drained = frozenset(
            row.vm
            for row in vms
            if self.views.is_drained(config.DrainTarget.VM, row.vm, now)
        )
        inputs = (self.views.head_index(), vms, drained)
        if inputs == self.prepared_inputs:
            return
        self.prepared_inputs = inputs
        self.prepare(vms, drained)

    def update_blocks(self) -> None:
        """Rebuild the block table if a section with sites has changed."""
        view = self.views.newest
        if view is None:
            return
        sections = {
            name: key
            for name, key in view.head['sections'].items()
            if name.startswith(f'{config.EntityKind.SITE.value}/')
        }
        if self.pending_table is not None:
            if not self.pending_table.done():
                return
            self.block_table = self.pending_table.result()
            self.pending_table = None
        if sections == self.site_sections:
            return
        self.site_sections = sections
        sites = {row.name: row.blocks for row in view.config.sites.values()}
        if sum(map(len, sites.values())) <= MAX_INLINE_BLOCKS:
            self.block_table = _blocks.BlockTable(sites)
        else:
            # Look-ups use the old table until the new one is built.
            self.pending_table = self.executor.submit(
                _blocks.BlockTable, sites
            )

    def all_vms(self, now: float) -> list[systems.LiveVm]:
        """Return this VM and the other live VMs.

        ``load`` of the returned VMs is in steps, from 0 to ``LOAD_STEPS``.
        """
        own = systems.LiveVm(
            vm=self.identity.vm,
            incarnation=self.identity.incarnation,
            region=self.identity.region,
            availability_zone=self.identity.availability_zone,
            state=self.state,
            url=self.identity.url,
            minute=delivery.minute_of(now),
            load=self.load,
        )
        others = self.membership.live_vms(now)
        return [
            row._replace(load=float(round(row.load * LOAD_STEPS)))
            for row in [own, *others]
        ]

    def prepare(
        self, vms: list[systems.LiveVm], drained: frozenset[str]
    ) -> None:
        """Encode the answers for all client regions and services."""
        self.grants = {
            row.vm: delivery.format_grant(grant_for(row, vms)) for row in vms
        }
        usable = usable_vms(vms, drained)
        self.prepared_answers = {}
        view = self.views.newest
        if view is None:
            return
        regions = {**view.config.regions}
        regions.setdefault(
            self.identity.region, config.Region(self.identity.region, (), ())
        )
        for region, service in itertools.product(
            regions.values(), view.config.services
        ):
            groups = self.group_by_preference(usable, region)
            self.prepared_answers[region.name, service] = itertools.cycle(
                [self.encode(service, order) for order in rotations(groups)]
            )

    def group_by_preference(
        self, vms: list[systems.LiveVm], region: config.Region
    ) -> list[list[systems.LiveVm]]:
        """Return VMs in order of preference, in groups of equal preference.

        VMs in regions near to the client's come first, then those with a
        lower load, then those in this VM's availability zone.
        """
        rank = {region.name: 0}
        for place, name in enumerate(region.near, 1):
            rank.setdefault(name, place)

        def sort_key(row: systems.LiveVm) -> tuple[int, float, bool]:
            home = self.identity.region, self.identity.availability_zone
            return (
                rank.get(row.region, len(rank)),
                row.load,
                (row.region, row.availability_zone) != home,
            )

        return [
            list(group)
            for _, group in itertools.groupby(
                sorted(vms, key=sort_key), sort_key
            )
        ]

    def encode(self, service: str, vms: list[systems.LiveVm]) -> bytes:
        """Return an answer as JSON."""
        answer = LookupDoc(
            service=service,
            hold_s=ANSWER_LIFETIME_S,
            vms=[
                LookupVmDoc(
                    vm=row.vm,
                    url=row.url,
                    region=row.region,
                    grant=self.grants[row.vm],
                    weight=1 + LOAD_STEPS - int(row.load),
                )
                for row in vms[:MAX_VMS]
            ],
        )
        return codec.encode(answer)

    def answer(
        self, service: str, client: str | None
    ) -> result.Result[bytes, errors.Failure]:
        """Return the JSON answer for a client's IP address.

        Failures: ``no_fresh_config``, ``not_found``.
        """
        if not self.freshness.is_fresh(self.clock.now()):
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.NO_FRESH_CONFIG,
                    'this VM cannot tell whether its configuration is current',
                    RETRY_AFTER_S,
                )
            )
        prepared = self.prepared_answers.get(
            (self.client_region(client), service)
        )
        if prepared is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.NOT_FOUND, 'there is no such service'
                )
            )
        return result.Ok(next(prepared))

    def client_region(self, client: str | None) -> str:
        """Return the region of a client's site, or else this VM's region."""
        view = self.views.newest
        name = self.block_table.find(client) if client is not None else None
        if view is None or name is None:
            return self.identity.region
        site = view.config.sites.get(name)
        if site is None or site.region not in view.config.regions:
            return self.identity.region
        return site.region

    def own_grant(self) -> str:
        """Return a new grant for this VM, for the error ``not_run``."""
        vms = self.all_vms(self.clock.now())
        return delivery.format_grant(grant_for(vms[0], vms))


def usable_vms(
    vms: list[systems.LiveVm], drained: frozenset[str]
) -> list[systems.LiveVm]:
    """Return the VMs for new callers.

    These are the serving VMs that are not drained, else all VMs that are
    serving or draining, else all VMs.
    """
    serving = [
        row for row in vms if row.state == SERVING and row.vm not in drained
    ]
    return (
        serving
        or [row for row in vms if row.state in (SERVING, DRAINING)]
        or vms
    )


def rotations(
    groups: list[list[systems.LiveVm]],
) -> list[list[systems.LiveVm]]:
    """Return the VMs in several orders, each with another first VM.

    There is one order for each VM of the first group.  Callers prefer the
    first VM, so answering with the orders in turn distributes the callers
    over VMs of equal preference.
    """
    if not groups:
        return [[]]
    first, rest = groups[0], [row for group in groups[1:] for row in group]
    return [
        [*first[place:], *first[:place], *rest] for place in range(len(first))
    ]


def grant_for(
    owner: systems.LiveVm, vms: list[systems.LiveVm]
) -> delivery.Grant:
    """Return a grant with a backup that fails independently of the owner.

    Serving VMs are preferred, then VMs in another availability zone of the
    owner's region, then those in another region.  Among equal VMs a hash of
    both names decides, so that owners are distributed over the backups.  If
    there is no other VM, the owner is its own backup.
    """

    def sort_key(row: systems.LiveVm) -> tuple[bool, bool, bool, int]:
        same_region = row.region == owner.region
        same_zone = same_region and (
            row.availability_zone == owner.availability_zone
        )
        # The records of a VM that is about to stop would be lost.
        return (
            row.state != SERVING,
            same_zone,
            not same_region,
            xxhash.xxh32_intdigest(f'{owner.vm}/{row.vm}'.encode()),
        )

    others = [row for row in vms if row.vm != owner.vm]
    backup = min(others, key=sort_key, default=owner)
    return delivery.Grant(
        owner.vm,
        owner.incarnation,
        backup.vm,
        backup.incarnation,
        backup.minute,
    )
