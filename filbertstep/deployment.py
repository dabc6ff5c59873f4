"""Example deployments: plans, change tickets, node settings, processes."""

from filbertstep._calls import DeploymentError as DeploymentError
from filbertstep._deployment import Deployment as Deployment
from filbertstep._plan import build_documents as build_documents
from filbertstep._plan import build_example_ticket as build_example_ticket
from filbertstep._plan import build_first_ticket as build_first_ticket
from filbertstep._plan import EXAMPLES_DIRECTORY as EXAMPLES_DIRECTORY
from filbertstep._plan import generate_key as generate_key
from filbertstep._plan import generate_keys as generate_keys
from filbertstep._plan import IssuedKey as IssuedKey
from filbertstep._plan import KEY_PREFIX as KEY_PREFIX
from filbertstep._plan import list_servers as list_servers
from filbertstep._plan import list_vms as list_vms
from filbertstep._plan import load_plan as load_plan
from filbertstep._plan import make_change as make_change
from filbertstep._plan import Plan as Plan
from filbertstep._plan import render_node_settings as render_node_settings
from filbertstep._plan import ServerPlan as ServerPlan
from filbertstep._plan import Ticket as Ticket
from filbertstep._plan import TicketChange as TicketChange
from filbertstep._plan import VmPlan as VmPlan
from filbertstep._processes import allocate_ports as allocate_ports
from filbertstep._processes import ProcessManager as ProcessManager
from filbertstep._standin_set import NodeUrls as NodeUrls
from filbertstep._standin_set import Options as Options
