"""Records a node's events in a history file for the checkers.

Nothing is recorded if no history file is configured.  Keys and bodies are
never recorded.
"""

import typing

import msgspec

from filbertstep import checking
from filbertstep import lookup
from filbertstep import routing

if typing.TYPE_CHECKING:
    from filbertstep import _admission
    from filbertstep import _try_state


class HistoryRecorder:
    """Records a node's events."""

    def __init__(self, writer: checking.HistoryWriter) -> None:
        self.writer = writer

    def record_admission(
        self, request_id: str, admitted: '_admission.AdmittedRequest'
    ) -> None:
        """Record that a request was admitted and is within the rate limit."""
        self.writer.write(
            'admitted',
            request_id=request_id,
            service=admitted.service.name,
            account=admitted.account,
        )

    def record_lookup(self, service: str, answer: bytes) -> None:
        """Record the VMs in a look-up response."""
        if self.writer.file is None:
            return
        lookup_doc = msgspec.json.decode(answer, type=lookup.LookupDoc)
        vms = [row['vm'] for row in lookup_doc['vms']]
        self.writer.write('lookup', service=service, vms=vms)

    def record_placement(
        self, job: '_try_state.Job', placement: routing.Placement
    ) -> None:
        """Record the region in which a request was placed."""
        self.writer.write(
            'placed',
            request_id=job.request_id,
            service=job.admitted.service.name,
            account=job.admitted.account,
            region=placement.region,
            reference_region=placement.reference_region,
            moved=placement.moved,
        )

    def record_refusal(
        self, request_id: str, service: str, account: str, kind: str
    ) -> None:
        """Record an error response."""
        self.writer.write(
            'refused',
            request_id=request_id,
            service=service,
            account=account,
            kind=kind,
        )

    def record_config_applied(self, head_index: int, ticket: int) -> None:
        """Record that this node applies a new configuration head."""
        self.writer.write(
            'config_applied', head_index=head_index, ticket=ticket
        )

    def record_state(self, state: str) -> None:
        """Record the node's new state."""
        self.writer.write('state', state=state)
