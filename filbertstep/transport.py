"""Calls between VMs."""

from filbertstep._transport import FakePeers as FakePeers
from filbertstep._transport import Message as Message
from filbertstep._transport import Peers as Peers
