"""Service-level counts and the report on the error budget's burn."""

from filbertstep._burn import BurnReport as BurnReport
from filbertstep._burn import BurnRow as BurnRow
from filbertstep._burn import BurnTable as BurnTable
from filbertstep._burn import Count as Count
from filbertstep._burn import merge as merge
from filbertstep._burn import MinuteDoc as MinuteDoc
from filbertstep._burn import report as report
from filbertstep._burn import RowKey as RowKey
from filbertstep._burn import WINDOWS_MIN as WINDOWS_MIN
