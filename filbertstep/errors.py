"""Error kinds, the answers for them, and failure values."""

from filbertstep._errors import Answer as Answer
from filbertstep._errors import ANSWERS as ANSWERS
from filbertstep._errors import error_body as error_body
from filbertstep._errors import ErrorBody as ErrorBody
from filbertstep._errors import ErrorKind as ErrorKind
from filbertstep._errors import Failure as Failure
from filbertstep._errors import Ran as Ran
from filbertstep._errors import Retry as Retry
