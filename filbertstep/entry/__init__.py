"""The entry program: serves requests of callers on a VM of a platform.

It connects the decisions of ``filbertstep.steering`` with network connections,
the store and peers.  A platform adapter supplies the store client and the
translation of documents and wire names; see ``docs/platform.md``.
"""

from filbertstep.entry._contracts import Change as Change
from filbertstep.entry._contracts import ChangeBatch as ChangeBatch
from filbertstep.entry._contracts import DecodedValue as DecodedValue
from filbertstep.entry._contracts import Decoder as Decoder
from filbertstep.entry._contracts import EntrySettings as EntrySettings
from filbertstep.entry._contracts import Evacuation as Evacuation
from filbertstep.entry._contracts import KeyKind as KeyKind
from filbertstep.entry._contracts import Lease as Lease
from filbertstep.entry._contracts import LookupQuery as LookupQuery
from filbertstep.entry._contracts import ParsedKey as ParsedKey
from filbertstep.entry._contracts import Platform as Platform
from filbertstep.entry._contracts import Position as Position
from filbertstep.entry._contracts import Recency as Recency
from filbertstep.entry._contracts import ServerNotice as ServerNotice
from filbertstep.entry._contracts import StoreClient as StoreClient
from filbertstep.entry._contracts import StoreFault as StoreFault
from filbertstep.entry._contracts import StoreResult as StoreResult
from filbertstep.entry._contracts import WireFormat as WireFormat
from filbertstep.entry._explain import ComparisonDoc as ComparisonDoc
from filbertstep.entry._explain import DEFAULT_METHOD as DEFAULT_METHOD
from filbertstep.entry._explain import EXPLAIN_PATH as EXPLAIN_PATH
from filbertstep.entry._explain import QuestionDoc as QuestionDoc
from filbertstep.entry._explain import ReplyDoc as ReplyDoc
from filbertstep.entry._explain import ReportDoc as ReportDoc
from filbertstep.entry._load_exchange import LoadDoc as LoadDoc
from filbertstep.entry._load_exchange import LoadExchange as LoadExchange
from filbertstep.entry._load_exchange import loads_answer as loads_answer
from filbertstep.entry._log import DecisionLog as DecisionLog
from filbertstep.entry._messages import Call as Call
from filbertstep.entry._messages import Reply as Reply
from filbertstep.entry._program import run as run
from filbertstep.entry._requests import RequestHandler as RequestHandler
from filbertstep.entry._state import State as State
from filbertstep.entry._tries import AttemptSender as AttemptSender
