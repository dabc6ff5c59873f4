"""Specification and fault settings of a stand-in backend server."""

import typing


class ServerSpec(typing.TypedDict):
    """A backend server in a spec file.

    ``overrides`` are initial values for fields of ``ServerFaults``.
    """

    name: str
    service: str
    region: str
    host: str
    port: int
    overrides: typing.NotRequired[dict[str, typing.Any]]


class ServerFaults(typing.TypedDict):
    """Limits, times and faults of one backend server.

    Service times are drawn from an Erlang distribution with four stages and
    the mean ``mean_ms``, so that they vary as much as page rendering does.
    ``slots`` requests run at once and ``queue`` more wait; others are shed.
    Requests on connections beyond the first ``connections`` are aborted.

    A cold server takes ``cold_factor`` times as long; the factor falls to 1
    within ``warmup_s``.  Setting ``cold`` starts the warm-up again.

    ``reported_load`` replaces the measured load in reports, and ``load_lag_s``
    delays reports.  With ``healthz_status`` 0, probes get no response.  A
    request that contains ``crash_text`` crashes the server.  A request gets
    the response to an earlier one with ``crossed_probability``.  The
    connection is aborted after half of the response with ``cut_probability``.
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
