"""Stand-ins for outside systems, one process each.

``python -m filbertstep.standins store --port=8500`` starts one; each ends on
SIGTERM and shows and changes its faults at ``/control``.
"""

import collections.abc
import sys
import typing

import result
import uvloop

from filbertstep import _command_line
from filbertstep import _standin_faults
from filbertstep import _standin_fleet
from filbertstep import _standin_link
from filbertstep import _standin_store
from filbertstep import _standin_vms
from filbertstep import logs

Doc = typing.TypeVar('Doc')


@_command_line.deferred
def store(
    port: int,
    host: str = '127.0.0.1',
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
    delay_ms: float = 0.0,
    seed: int = 1,
    history: str = '',
    check_settings: bool = False,
) -> int:
    """Serve the key-value service; rates of 0 mean no limit."""
    faults: _standin_store.StoreFaults = {
        **_standin_store.NO_FAULTS,
        'writes_per_s': float(writes_per_s),
        'reads_per_s': float(reads_per_s),
        'delay_s': delay_ms / 1000,
    }
    return start(
        _standin_store.run(host, port, faults, seed, history), check_settings
    )


@_command_line.deferred
def vms(
    port: int,
    host: str = '127.0.0.1',
    lag_s: float = 0.0,
    history: str = '',
    check_settings: bool = False,
) -> int:
    """Serve the list of VMs; changes show after ``lag_s`` seconds."""
    return start(
        _standin_vms.run(host, port, float(lag_s), history), check_settings
    )


@_command_line.deferred
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
    check_settings: bool = False,
) -> int:
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
    own: _standin_faults.ServerSpec = {
        'name': name,
        'service': service,
        'region': region,
        'host': host,
        'port': port,
    }
    docs = read(_standin_fleet.read_server_specs, spec) if spec else [own]
    control = (host, control_port) if control_port else None
    return start(
        _standin_fleet.run(
            docs, control, faults, seed, str(secret_prefix), history
        ),
        check_settings,
    )


@_command_line.deferred
def link(
    port: int,
    host: str = '127.0.0.1',
    spec: str = '',
    listen: int = 0,
    target: str = '',
    delay_ms: float = 0.0,
    rate: float = 0.0,
    history: str = '',
    check_settings: bool = False,
) -> int:
    """Relay the pairs of a spec file, or from ``listen`` to ``target``.

    ``port`` is that of the control path, ``rate`` in bytes a second.
    """
    own: _standin_link.RelayDoc = {
        'link': 'link',
        'port': listen,
        'target': target,
    }
    relays = read(_standin_link.read_spec, spec) if spec else [own]
    initial = {'*': {'delay_s': delay_ms / 1000, 'rate': float(rate)}}
    return start(
        _standin_link.run(host, port, relays, initial, history), check_settings
    )


COMMANDS: typing.Final = {
    'store': store,
    'vms': vms,
    'backend': backend,
    'link': link,
}


def read(
    reader: collections.abc.Callable[[str], list[Doc]], path: str
) -> list[Doc]:
    """Read a spec file; ends the process with code 2 if it is wrong."""
    try:
        return reader(path)
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot read {path}: {error}'
    except result.UnwrapError as error:
        message = f'{path}: {error.result.err()}'
    sys.exit(_command_line.fail('filbertstep-standin', message))


def start(
    running: collections.abc.Coroutine[typing.Any, typing.Any, None],
    check_settings: bool,
) -> int:
    """Run a stand-in until it is told to stop, unless only checking."""
    if check_settings:
        running.close()
        return _command_line.EXIT_OK
    logs.configure('INFO')
    uvloop.run(running)
    return _command_line.EXIT_OK


def store_main() -> None:
    """Run the store from the command line."""
    _command_line.run('filbertstep-standin-store', store)


def vms_main() -> None:
    """Run the VM list from the command line."""
    _command_line.run('filbertstep-standin-vms', vms)


def backend_main() -> None:
    """Run backend servers from the command line."""
    _command_line.run('filbertstep-standin-backend', backend)


def link_main() -> None:
    """Run relays from the command line."""
    _command_line.run('filbertstep-standin-link', link)


if __name__ == '__main__':
    _command_line.run('filbertstep.standins', COMMANDS)
