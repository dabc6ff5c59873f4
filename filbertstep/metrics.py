"""Prometheus metrics of a node."""

from filbertstep._metrics import LATENCY_BUCKETS_S as LATENCY_BUCKETS_S
from filbertstep._metrics import Metrics as Metrics
