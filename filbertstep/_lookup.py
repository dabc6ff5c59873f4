"""Answers of look-ups: which entry VMs a client should use.

Answers are prepared for each region of clients and service when the VMs, the
configuration or the minute changes, so that a look-up finds a site and writes
prepared bytes.
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

# Time in seconds for which callers may use an answer.  Planned stops wait for
# it, so it is short.
ANSWER_LIFETIME_S: typing.Final = 2

# VMs named in one answer; a caller needs a few to fail over to.
MAX_VMS: typing.Final = 8

# Burdens are compared in this many steps.  Finer steps would send all callers
# of a region to the one VM that was least burdened a moment ago.
BURDEN_STEPS: typing.Final = 5

# Block tables up to this size are built in a tick, which takes about 6 ms.
# Larger ones are built in a thread: 470,000 blocks take about 3 s, for which
# the event loop must not stand still.
INLINE_BLOCKS: typing.Final = 2000

# Seconds after which a caller asks again while this VM has no fresh evidence.
RETRY_AFTER_S: typing.Final = 1.0

SERVING: typing.Final = 'serving'
DRAINING: typing.Final = 'draining'


class LookupVmDoc(typing.TypedDict):
    """One VM in an answer.

    Callers spread their requests over the VMs of the first one's region in
    proportion to ``weight``, which falls with a VM's burden.
    """

    vm: str
    url: str
    region: str
    grant: str
    weight: int


class LookupDoc(typing.TypedDict):
    """Answer of a look-up, the best VM first."""

    service: str
    hold_s: int
    vms: list[LookupVmDoc]


class Identity(typing.NamedTuple):
    """This process, and the URL of its callers' listener."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    url: str


class LookupSystem(systems.System):
    """Prepares answers each tick and gives them out."""

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
        # This VM's own state and burden, which the node sets.
        self.state = SERVING
        self.load = 0.0
        self.blocks = _blocks.BlockTable({})
        self.site_sections: dict[str, str] = {}
        self.builder = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix='blocks'
        )
        self.pending_table: futures.Future[_blocks.BlockTable] | None = None
        self.prepared_inputs: object = None
        self.prepared: dict[
            tuple[str, str], collections.abc.Iterator[bytes]
        ] = {}
        self.grants: dict[str, str] = {}

    def tick(self, now: float) -> None:
        """Prepare the answers again if something they hold has changed."""
        self.update_blocks()
        vms = self.all_vms(now)
        drained = frozenset(
            row.vm
            for row in vms
            if self.views.is_drained(config.DrainTarget.VM, row.vm, now)
        )
        basis = (self.views.index(), vms, drained)
        if basis == self.prepared_inputs:
            return
        self.prepared_inputs = basis
        self.prepare(vms, drained)

    def update_blocks(self) -> None:
        """Build the block table again if a section of sites has changed."""
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
            self.blocks = self.pending_table.result()
            self.pending_table = None
        if sections == self.site_sections:
            return
        self.site_sections = sections
        sites = {row.name: row.blocks for row in view.config.sites.values()}
        if sum(map(len, sites.values())) <= INLINE_BLOCKS:
            self.blocks = _blocks.BlockTable(sites)
        else:
            # Look-ups use the former table meanwhile.
            self.pending_table = self.builder.submit(_blocks.BlockTable, sites)

    def all_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the live VMs and this one, with burdens in steps."""
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
            row._replace(load=float(round(row.load * BURDEN_STEPS)))
            for row in [own, *others]
        ]

    def prepare(
        self, vms: list[systems.LiveVm], drained: frozenset[str]
    ) -> None:
        """Prepare all answers."""
        self.grants = {
            row.vm: delivery.format_grant(grant_for(row, vms)) for row in vms
        }
        usable = usable_vms(vms, drained)
        self.prepared = {}
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
            groups = self.ordered(usable, region)
            self.prepared[region.name, service] = itertools.cycle(
                [self.encode(service, order) for order in rotations(groups)]
            )

    def ordered(
        self, vms: list[systems.LiveVm], region: config.Region
    ) -> list[list[systems.LiveVm]]:
        """Return the VMs for a client's region in groups of equal rank."""
        rank = {region.name: 0}
        for place, name in enumerate(region.near, 1):
            rank.setdefault(name, place)

        def order(row: systems.LiveVm) -> tuple[int, float, bool]:
            home = self.identity.region, self.identity.availability_zone
            return (
                rank.get(row.region, len(rank)),
                row.load,
                (row.region, row.availability_zone) != home,
            )

        return [
            list(group)
            for _, group in itertools.groupby(sorted(vms, key=order), order)
        ]

    def encode(self, service: str, vms: list[systems.LiveVm]) -> bytes:
        """Return the JSON of an answer."""
        answer = LookupDoc(
            service=service,
            hold_s=ANSWER_LIFETIME_S,
            vms=[
                LookupVmDoc(
                    vm=row.vm,
                    url=row.url,
                    region=row.region,
                    grant=self.grants[row.vm],
                    weight=1 + BURDEN_STEPS - int(row.load),
                )
                for row in vms[:MAX_VMS]
            ],
        )
        return codec.encode(answer)

    def answer(
        self, service: str, client: str | None
    ) -> result.Result[bytes, errors.Failure]:
        """Return the JSON answer for a client's address.

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
        prepared = self.prepared.get((self.client_region(client), service))
        if prepared is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.NOT_FOUND, 'there is no such service'
                )
            )
        return result.Ok(next(prepared))

    def client_region(self, client: str | None) -> str:
        """Return the region of a client's site, else this VM's own."""
        view = self.views.newest
        name = self.blocks.find(client) if client is not None else None
        if view is None or name is None:
            return self.identity.region
        site = view.config.sites.get(name)
        if site is None or site.region not in view.config.regions:
            return self.identity.region
        return site.region

    def own_grant(self) -> str:
        """Return a fresh grant for this VM, to go with ``not_run``."""
        vms = self.all_vms(self.clock.now())
        return delivery.format_grant(grant_for(vms[0], vms))


def usable_vms(
    vms: list[systems.LiveVm], drained: frozenset[str]
) -> list[systems.LiveVm]:
    """Return the VMs for new callers; those that stop only if need be."""
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
    """Return one order for each VM of the first group as the first VM.

    Callers use the first VM; the orders are given out in turn, so that they
    spread over VMs of equal rank.
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
    """Return a grant whose backup fails independently of the owner.

    The nearest choice is another availability zone of the region; without one
    any other zone, then any other VM, then the owner itself.  Among several
    the owner's name decides, so that owners spread over backups.
    """

    def order(row: systems.LiveVm) -> tuple[bool, bool, bool, int]:
        same_region = row.region == owner.region
        same_zone = same_region and (
            row.availability_zone == owner.availability_zone
        )
        # A VM that stops soon would take its records with it.
        return (
            row.state != SERVING,
            same_zone,
            not same_region,
            xxhash.xxh32_intdigest(f'{owner.vm}/{row.vm}'.encode()),
        )

    others = [row for row in vms if row.vm != owner.vm]
    backup = min(others, key=order, default=owner)
    return delivery.Grant(
        owner.vm,
        owner.incarnation,
        backup.vm,
        backup.incarnation,
        backup.minute,
    )
