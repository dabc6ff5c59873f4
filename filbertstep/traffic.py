"""Callers of a deployment, for the demo, the proofs and the bench."""

from filbertstep._traffic import Kind as Kind
from filbertstep._traffic import kinds as kinds
from filbertstep._traffic import RecordingClient as RecordingClient
from filbertstep._traffic import Source as Source
from filbertstep._traffic import Traffic as Traffic
