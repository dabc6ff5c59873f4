"""Example deployments: their plans, tickets, settings and processes."""

from filbertstep._calls import DeploymentError as DeploymentError
from filbertstep._deployment import Deployment as Deployment
from filbertstep._plan import Change as Change
from filbertstep._plan import change as change
from filbertstep._plan import documents as documents
from filbertstep._plan import example_ticket as example_ticket
from filbertstep._plan import EXAMPLES as EXAMPLES
from filbertstep._plan import first_ticket as first_ticket
from filbertstep._plan import IssuedKey as IssuedKey
from filbertstep._plan import KEY_PREFIX as KEY_PREFIX
from filbertstep._plan import keys as keys
from filbertstep._plan import load as load
from filbertstep._plan import new_key as new_key
from filbertstep._plan import Plan as Plan
from filbertstep._plan import ServerPlan as ServerPlan
from filbertstep._plan import servers as servers
from filbertstep._plan import settings_text as settings_text
from filbertstep._plan import Ticket as Ticket
from filbertstep._plan import VmPlan as VmPlan
from filbertstep._plan import vms as vms
from filbertstep._processes import free_ports as free_ports
from filbertstep._processes import Processes as Processes
from filbertstep._standin_set import NodeAddress as NodeAddress
from filbertstep._standin_set import Options as Options
