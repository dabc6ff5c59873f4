"""Look-ups: client address blocks and prepared answers."""

from filbertstep._blocks import BlockTable as BlockTable
from filbertstep._lookup import ANSWER_LIFETIME_S as ANSWER_LIFETIME_S
from filbertstep._lookup import Identity as Identity
from filbertstep._lookup import LookupDoc as LookupDoc
from filbertstep._lookup import LookupSystem as LookupSystem
from filbertstep._lookup import LookupVmDoc as LookupVmDoc
