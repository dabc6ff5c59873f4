"""Load generator for deployments of the demo, the proofs and the bench."""

from filbertstep._traffic import RecordingClient as RecordingClient
from filbertstep._traffic import request_kinds as request_kinds
from filbertstep._traffic import RequestKind as RequestKind
from filbertstep._traffic import TrafficGenerator as TrafficGenerator
from filbertstep._traffic import TrafficSource as TrafficSource
