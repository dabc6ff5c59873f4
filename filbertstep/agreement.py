"""Public names of the agreement system.

The agreement system decides on the configuration and the epoch of the fleet
(promises, commits), whether this VM may act (freshness), and which VMs are
live (membership).
"""

from filbertstep._agreement import Agreement as Agreement
from filbertstep._commit import Committer as Committer
from filbertstep._epochs import EpochEdit as EpochEdit
from filbertstep._evidence import Evidence as Evidence
from filbertstep._evidence import Identity as Identity
from filbertstep._evidence import Statement as Statement
from filbertstep._membership import Peer as Peer
from filbertstep._membership import SUSPECT_AFTER_S as SUSPECT_AFTER_S
from filbertstep._promises import PromiseTally as PromiseTally
from filbertstep._promises import ProposalTable as ProposalTable
from filbertstep._promises import SectionCache as SectionCache
from filbertstep._ticket_book import TicketState as TicketState
from filbertstep._ticket_book import TicketStatus as TicketStatus
from filbertstep._vm_list import ConsulVmList as ConsulVmList
from filbertstep._vm_list import FakeVmList as FakeVmList
from filbertstep._vm_list import ListedVm as ListedVm
from filbertstep._vm_list import VmList as VmList
