"""Spec and faults of a stand-in backend server."""

import typing


class ServerDoc(typing.TypedDict):
    """A backend server of a spec file.

    ``overrides`` are fields of ``ServerFaults`` that it starts with.
    """

    name: str
    service: str
    region: str
    host: str
    port: int
    overrides: typing.NotRequired[dict[str, typing.Any]]


class ServerFaults(typing.TypedDict):
    """Limits, times and faults of one backend server.

    Service times have a mean of ``mean_ms`` and are drawn from an Erlang
    distribution of four stages, which varies as much as page rendering does.
    ``queue`` requests wait for a slot; more are shed.  A cold server takes
    ``cold_factor`` times as long, falling to 1 over ``warmup_s``; ``cold``
    makes it cold now.  ``reported_load`` replaces the true report, and
    ``load_lag_s`` delays it.  ``healthz_status`` 0 leaves probes unanswered.
    """

    slots: int
    queue: int
    connections: int
    mean_ms: float
    cold_factor: float
    warmup_s: float
    cold: bool
    draining: bool
    stopped: bool
    healthz_status: int
    load_lag_s: float
    reported_load: float | None
    crash_text: str
    crossed_probability: float
    cut_probability: float


DEFAULT_FAULTS: typing.Final[ServerFaults] = {
    'slots': 3,
    'queue': 2,
    'connections': 400,
    'mean_ms': 60.0,
    'cold_factor': 1.0,
    'warmup_s': 0.0,
    'cold': False,
    'draining': False,
    'stopped': False,
    'healthz_status': 200,
    'load_lag_s': 0.0,
    'reported_load': None,
    'crash_text': '',
    'crossed_probability': 0.0,
    'cut_probability': 0.0,
}
