"""Clients of the platform's key-value service."""

from filbertstep._store import ABSENT as ABSENT
from filbertstep._store import ConsulStore as ConsulStore
from filbertstep._store import Entry as Entry
from filbertstep._store import FakeStore as FakeStore
from filbertstep._store import Store as Store
from filbertstep._store import StoreError as StoreError
