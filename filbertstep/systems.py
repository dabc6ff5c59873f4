"""Interfaces between the systems (components) of a node."""

from filbertstep._systems import Freshness as Freshness
from filbertstep._systems import Handler as Handler
from filbertstep._systems import HeartbeatPart as HeartbeatPart
from filbertstep._systems import LiveVm as LiveVm
from filbertstep._systems import Membership as Membership
from filbertstep._systems import SharedTokenBuckets as SharedTokenBuckets
from filbertstep._systems import SlotHold as SlotHold
from filbertstep._systems import Slots as Slots
from filbertstep._systems import System as System
from filbertstep._systems import TICK_INTERVAL_S as TICK_INTERVAL_S
