"""The entry program: takes callers' requests on a VM of a platform.

It joins the decisions of ``filbertstep.steering`` with connections, a store
and peers.  A platform's adapter supplies the store's client and the
translations; see ``docs/platform.md``.
"""

from filbertstep.entry._contracts import Change as Change
from filbertstep.entry._contracts import Decoder as Decoder
from filbertstep.entry._contracts import Dialect as Dialect
from filbertstep.entry._contracts import EntrySettings as EntrySettings
from filbertstep.entry._contracts import Evacuation as Evacuation
from filbertstep.entry._contracts import Fact as Fact
from filbertstep.entry._contracts import Listing as Listing
from filbertstep.entry._contracts import Lookup as Lookup
from filbertstep.entry._contracts import Platform as Platform
from filbertstep.entry._contracts import Reply as Reply
from filbertstep.entry._contracts import StoreFault as StoreFault
from filbertstep.entry._contracts import Subject as Subject
from filbertstep.entry._contracts import SubjectKind as SubjectKind
from filbertstep.entry._contracts import WatchedStore as WatchedStore
from filbertstep.entry._program import run as run
