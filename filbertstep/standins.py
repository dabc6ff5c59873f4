"""Commands that run stand-ins for external systems, one process each.

``python -m filbertstep.standins store --port=8500``, for example, runs the
key-value service.  A stand-in stops on SIGTERM or SIGINT.  ``GET /control``
shows its faults and ``POST /control`` changes them.
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

Spec = typing.TypeVar('Spec')


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
    """Serve the key-value service; a rate of 0 means no limit."""
    faults: _standin_store.StoreFaults = {
        **_standin_store.NO_FAULTS,
        'writes_per_s': float(writes_per_s),
        'reads_per_s': float(reads_per_s),
        'delay_s': delay_ms / 1000,
    }
    return run_standin(
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
    return run_standin(
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
    """Serve one backend server, or all servers of a spec file.

    With ``control_port``, one more listener serves a control path for all
    servers by name.
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
    single_spec: _standin_faults.ServerSpec = {
        'name': name,
        'service': service,
        'region': region,
        'host': host,
        'port': port,
    }
    specs = (
        read_specs_or_exit(_standin_fleet.read_server_specs, spec)
        if spec
        else [single_spec]
    )
    control_address = (host, control_port) if control_port else None
    return run_standin(
        _standin_fleet.run(
            specs, control_address, faults, seed, str(secret_prefix), history
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
    """Run the relays of a spec file, or one from ``listen`` to ``target``.

    ``port`` is the port of the control path.  ``rate`` is in bytes a second
    for each direction; 0 means no limit.
    """
    single_spec: _standin_link.RelaySpec = {
        'link': 'link',
        'port': listen,
        'target': target,
    }
    specs = (
        read_specs_or_exit(_standin_link.read_relay_specs, spec)
        if spec
        else [single_spec]
    )
    initial_patch = {'*': {'delay_s': delay_ms / 1000, 'rate': float(rate)}}
    return run_standin(
        _standin_link.run(host, port, specs, initial_patch, history),
        check_settings,
    )


COMMANDS: typing.Final = {
    'store': store,
    'vms': vms,
    'backend': backend,
    'link': link,
}


def read_specs_or_exit(
    read_specs: collections.abc.Callable[[str], list[Spec]], path: str
) -> list[Spec]:
    """Read a spec file; exit with status 2 if it is unreadable or invalid."""
    try:
        return read_specs(path)
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot read {path}: {error}'
    except result.UnwrapError as error:
        message = f'{path}: {error.result.err()}'
    sys.exit(_command_line.report_usage_error('filbertstep-standin', message))


def run_standin(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    check_settings: bool,
) -> int:
    """Run a stand-in until it stops, unless only settings are checked.

    Returns the exit status.
    """
    if check_settings:
        coroutine.close()
        return _command_line.EXIT_OK
    logs.configure('INFO')
    uvloop.run(coroutine)
    return _command_line.EXIT_OK


def store_main() -> None:
    """Run the ``filbertstep-standin-store`` command."""
    _command_line.run('filbertstep-standin-store', store)


def vms_main() -> None:
    """Run the ``filbertstep-standin-vms`` command."""
    _command_line.run('filbertstep-standin-vms', vms)


def backend_main() -> None:
    """Run the ``filbertstep-standin-backend`` command."""
    _command_line.run('filbertstep-standin-backend', backend)


def link_main() -> None:
    """Run the ``filbertstep-standin-link`` command."""
    _command_line.run('filbertstep-standin-link', link)


if __name__ == '__main__':
    _command_line.run('filbertstep.standins', COMMANDS)
