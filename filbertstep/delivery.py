"""Public names of the delivery package.

Request ids and the at-most-once protocol, removal of keys and headers, and
forwarding of one request to one backend server.
"""

from filbertstep._forward import Attempt as Attempt
from filbertstep._forward import BeforeSend as BeforeSend
from filbertstep._forward import Forwarder as Forwarder
from filbertstep._forward import ForwardOutcome as ForwardOutcome
from filbertstep._forward import ForwardOutcomeKind as ForwardOutcomeKind
from filbertstep._forward import ResponseConventions as ResponseConventions
from filbertstep._forward import ResponseStream as ResponseStream
from filbertstep._forward import TruncatedBodyError as TruncatedBodyError
from filbertstep._intent_messages import INTENT_PATH as INTENT_PATH
from filbertstep._intent_table import Event as Event
from filbertstep._intent_table import INTENT_TRANSITIONS as INTENT_TRANSITIONS
from filbertstep._intent_table import IntentRecord as IntentRecord
from filbertstep._intent_table import IntentTable as IntentTable
from filbertstep._intent_table import MAX_ID_AGE_MINUTES as MAX_ID_AGE_MINUTES
from filbertstep._intent_table import MAX_STORED_BODY as MAX_STORED_BODY
from filbertstep._intent_table import Reply as Reply
from filbertstep._intent_table import State as State
from filbertstep._intent_table import StoredResponse as StoredResponse
from filbertstep._intents import BeginResult as BeginResult
from filbertstep._intents import IntentSystem as IntentSystem
from filbertstep._request_ids import format_grant as format_grant
from filbertstep._request_ids import format_request_id as format_request_id
from filbertstep._request_ids import Grant as Grant
from filbertstep._request_ids import minute_of as minute_of
from filbertstep._request_ids import parse_grant as parse_grant
from filbertstep._request_ids import parse_request_id as parse_request_id
from filbertstep._request_ids import RequestId as RequestId
from filbertstep._scrub import Credentials as Credentials
from filbertstep._scrub import extract_key as extract_key
from filbertstep._scrub import HOP_BY_HOP_HEADERS as HOP_BY_HOP_HEADERS
from filbertstep._scrub import key_digest as key_digest
from filbertstep._scrub import sanitize_request as sanitize_request
from filbertstep._scrub import SanitizedHeaders as SanitizedHeaders
from filbertstep._scrub import strip_response_headers as strip_response_headers
