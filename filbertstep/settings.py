"""Settings of a node, read from a file of JSON with comments."""

from filbertstep._settings import DEFAULT_POLICY as DEFAULT_POLICY
from filbertstep._settings import Listener as Listener
from filbertstep._settings import ListenerDoc as ListenerDoc
from filbertstep._settings import load as load
from filbertstep._settings import NodeSettings as NodeSettings
from filbertstep._settings import parse as parse
from filbertstep._settings import SettingsDoc as SettingsDoc
