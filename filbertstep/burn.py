"""Request counts by minute and the report on error budgets."""

from filbertstep._burn import build_report as build_report
from filbertstep._burn import BurnReport as BurnReport
from filbertstep._burn import BurnRow as BurnRow
from filbertstep._burn import BurnTable as BurnTable
from filbertstep._burn import Column as Column
from filbertstep._burn import merge_exports as merge_exports
from filbertstep._burn import MinuteDoc as MinuteDoc
from filbertstep._burn import RowKey as RowKey
from filbertstep._burn import WINDOWS_MIN as WINDOWS_MIN
