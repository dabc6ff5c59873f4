"""Prometheus metrics of a node, with a bounded number of label values.

Label values are names in the configuration (services, client accounts,
regions) or members of fixed sets (error kinds), never data from callers.
"""

import prometheus_client

# Upper bounds of the buckets.  The lowest is below the time of one hop between
# availability zones, and the highest is the longest deadline.
LATENCY_BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0,
    2.0, 5.0, 10.0,
)  # fmt: skip


class Metrics:
    """Counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'filbertstep_requests',
            'Requests by service, account and outcome (an error kind or ok).',
            ('service', 'client_account', 'outcome'),
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            'filbertstep_request_seconds',
            'Time from the arrival of a request to the end of its answer.',
            ('service',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waits = prometheus_client.Counter(
            'filbertstep_waits',
            'Requests that waited for a slot, by service and priority.',
            ('service', 'priority'),
            registry=self.registry,
        )
        self.rejected_overload = prometheus_client.Counter(
            'filbertstep_rejected_overload',
            'Requests rejected for lack of slots, by service and priority.',
            ('service', 'priority'),
            registry=self.registry,
        )
        self.lookups = prometheus_client.Counter(
            'filbertstep_lookups',
            'Look-ups by service.',
            ('service',),
            registry=self.registry,
        )
        self.events = prometheus_client.Counter(
            'filbertstep_events',
            'Changes of state, retries, transfers and loans by name.',
            ('event',),
            registry=self.registry,
        )
        self.peer_calls = prometheus_client.Counter(
            'filbertstep_peer_calls',
            'Calls to other VMs by path and outcome.',
            ('path', 'outcome'),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            'filbertstep_store_calls',
            'Calls to the store by operation and outcome.',
            ('operation', 'outcome'),
            registry=self.registry,
        )
        self.explanations = prometheus_client.Counter(
            'filbertstep_explanations',
            'Questions about decisions by outcome of the decision or error.',
            ('outcome',),
            registry=self.registry,
        )
        self.evidence_age = prometheus_client.Gauge(
            'filbertstep_evidence_age_seconds',
            'Age of the evidence that the known head is the newest.',
            registry=self.registry,
        )
        self.head_index = prometheus_client.Gauge(
            'filbertstep_head_index',
            'Newest head index known.',
            registry=self.registry,
        )
        self.store_restores = prometheus_client.Gauge(
            'filbertstep_store_restores',
            'Restores of the store from an older copy since the start.',
            registry=self.registry,
        )
        self.log_lines_dropped = prometheus_client.Gauge(
            'filbertstep_log_lines_dropped',
            'Log lines that the reader of standard output was too slow for.',
            registry=self.registry,
        )
        self.body_bytes = prometheus_client.Gauge(
            'filbertstep_body_bytes',
            'Bytes of the bodies of unanswered requests.',
            registry=self.registry,
        )
        self.answer_bytes = prometheus_client.Gauge(
            'filbertstep_answer_bytes',
            'Bytes of answers that are being read and not passed on yet.',
            registry=self.registry,
        )
        self.intake_closes = prometheus_client.Counter(
            'filbertstep_intake_closes',
            'Connections closed because of a limit, by listener and reason.',
            ('listener', 'reason'),
            registry=self.registry,
        )
        self.unfinished_bytes = prometheus_client.Gauge(
            'filbertstep_unfinished_request_bytes',
            'Bytes of requests that have not arrived or wait for their turn.',
            registry=self.registry,
        )
        self.unread_bytes = prometheus_client.Gauge(
            'filbertstep_unread_answer_bytes',
            'Bytes of answers that clients have not read.',
            registry=self.registry,
        )
        self.running = prometheus_client.Gauge(
            'filbertstep_running_requests',
            'Requests on a backend server now.',
            ('service',),
            registry=self.registry,
        )
        self.queued = prometheus_client.Gauge(
            'filbertstep_queued_requests',
            'Requests waiting for a slot now.',
            ('service',),
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
