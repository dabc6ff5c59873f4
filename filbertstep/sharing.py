"""Rate limits, and slots of backend servers, that all VMs share."""

from filbertstep._buckets import ACCOUNT_PREFIX as ACCOUNT_PREFIX
from filbertstep._buckets import LINK_PREFIX as LINK_PREFIX
from filbertstep._open_slots import UnlimitedSlots as UnlimitedSlots
from filbertstep._ownership import UNITS_PER_RESOURCE as UNITS_PER_RESOURCE
from filbertstep._shares import TokenBucketSystem as TokenBucketSystem
from filbertstep._slots import SlotSystem as SlotSystem
