"""Keys that this VM writes, and how it notices that the store lost them.

A write without an answer may be executed seconds later, also after the process
that sent it has ended.  It may then replace a newer value of the key, or give
the key a lease that ends soon.  The writer of a key therefore compares what it
wrote with what its replica of the store shows later.
"""

import result

from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge


class OwnKey:
    """A key that only this VM writes.

    ``written`` is the value of the last successful write, and its position.
    """

    def __init__(
        self,
        key: str,
        store: _contracts.StoreClient,
        replica: _knowledge.StoreReplica,
    ) -> None:
        self.key = key
        self.store = store
        self.replica = replica
        self.written: _knowledge.StoredValue | None = None

    async def write(
        self, value: bytes, lease: _contracts.Lease | None = None
    ) -> result.Result[None, _contracts.StoreFault]:
        """Write a value; after a fault, the key counts as not written."""
        self.written = None
        written = await self.store.write({self.key: value}, lease=lease)
        if isinstance(written, result.Err):
            return written
        self.written = _knowledge.StoredValue(value, written.ok_value)
        return result.Ok(None)

    def is_lost(self) -> bool:
        """Return whether the store may no longer have what was written.

        That is so in another era of the store, and if the replica shows
        another value or none.  A replica that is older than the write tells
        nothing.
        """
        if self.written is None:
            return False
        if self.written.position.era != self.store.era:
            return True
        if self.replica.position < self.written.position:
            return False
        found = self.replica.items.get(self.key)
        return (
            found is None
            or found.value != self.written.value
            or self.key in self.replica.held_deletions
        )

    def needs_write(self, value: bytes) -> bool:
        """Return whether the store lacks this value."""
        return (
            self.written is None
            or self.written.value != value
            or self.is_lost()
        )
