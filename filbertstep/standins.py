"""Stand-ins for outside systems, one process each.

``python -m filbertstep.standins store --port=8500`` starts one; each ends on
SIGTERM and shows and changes its faults at ``/control``.
"""

import collections.abc
import sys
import typing

import fire
import uvloop

from filbertstep import _standin_faults
from filbertstep import _standin_fleet
from filbertstep import _standin_link
from filbertstep import _standin_store
from filbertstep import _standin_vms
from filbertstep import logs


def store(
    port: int,
    host: str = '127.0.0.1',
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
    delay_ms: float = 0.0,
    seed: int = 1,
    history: str = '',
) -> None:
    """Serve the key-value service; rates of 0 mean no limit."""
    faults: _standin_store.StoreFaults = {
        **_standin_store.NO_FAULTS,
        'writes_per_s': float(writes_per_s),
        'reads_per_s': float(reads_per_s),
        'delay_s': delay_ms / 1000,
    }
    start(_standin_store.run(host, port, faults, seed, history))


def vms(
    port: int, host: str = '127.0.0.1', lag_s: float = 0.0, history: str = ''
) -> None:
    """Serve the list of VMs; changes show after ``lag_s`` seconds."""
    start(_standin_vms.run(host, port, float(lag_s), history))


def backend(
    port: int = 0,
    host: str = '127.0.0.1',
    name: str = 'backend',
    service: str = '',
    region: str = '',
    spec: str = '',
    control_port: int = 0,
    slots: int = 3,
    queue: int = 2,
    connections: int = 400,
    mean_ms: float = 60.0,
    cold_factor: float = 1.0,
    warmup_s: float = 0.0,
    crash_text: str = '',
    secret_prefix: str = '',
    seed: int = 1,
    history: str = '',
) -> None:
    """Serve one backend server, or all of a spec file.

    With ``control_port`` one more listener controls all servers by name.
    """
    faults: _standin_faults.ServerFaults = {
        **_standin_faults.DEFAULT_FAULTS,
        'slots': slots,
        'queue': queue,
        'connections': connections,
        'mean_ms': float(mean_ms),
        'cold_factor': float(cold_factor),
        'warmup_s': float(warmup_s),
        'crash_text': str(crash_text),
    }
    own: _standin_faults.ServerDoc = {
        'name': name,
        'service': service,
        'region': region,
        'host': host,
        'port': port,
    }
    docs = _standin_fleet.read_spec(spec) if spec else [own]
    control = (host, control_port) if control_port else None
    start(
        _standin_fleet.run(
            docs, control, faults, seed, str(secret_prefix), history
        )
    )


def link(
    port: int,
    host: str = '127.0.0.1',
    spec: str = '',
    listen: int = 0,
    target: str = '',
    delay_ms: float = 0.0,
    rate: float = 0.0,
    history: str = '',
) -> None:
    """Relay the pairs of a spec file, or from ``listen`` to ``target``.

    ``port`` is that of the control path, ``rate`` in bytes a second.
    """
    own: _standin_link.RelayDoc = {
        'link': 'link',
        'port': listen,
        'target': target,
    }
    relays = _standin_link.read_spec(spec) if spec else [own]
    initial = {'*': {'delay_s': delay_ms / 1000, 'rate': float(rate)}}
    start(_standin_link.run(host, port, relays, initial, history))


COMMANDS: typing.Final = {
    'store': store,
    'vms': vms,
    'backend': backend,
    'link': link,
}


def start(
    running: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Run a stand-in until it is told to stop."""
    logs.setup('INFO')
    uvloop.run(running)


def store_main() -> None:
    """Run the store from the command line."""
    fire.Fire(store)


def vms_main() -> None:
    """Run the VM list from the command line."""
    fire.Fire(vms)


def backend_main() -> None:
    """Run backend servers from the command line."""
    fire.Fire(backend)


def link_main() -> None:
    """Run relays from the command line."""
    fire.Fire(link)


if __name__ == '__main__':
    fire.Fire(COMMANDS, command=sys.argv[1:])
