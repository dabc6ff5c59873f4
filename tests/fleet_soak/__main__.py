"""Command line of the fault injection test.

``python -m tests.fleet_soak --seed=7`` executes one run.  ``--count`` sets the
number of consecutive seeds, ``--seconds`` the time after which no further run
starts.  The files of failed runs, with the logs of all VMs, are copied to the
folder ``--keep``.
"""

import logging
import pathlib
import shutil
import sys
import tempfile
import time
import traceback

import fire
import uvloop

from tests import fleet_soak


def run_one(seed: int, vms: int, keep: str) -> bool:
    """Execute a run and print its result; return whether it passed."""
    print(f'seed {seed}', flush=True)
    with tempfile.TemporaryDirectory(prefix='filbertstep-') as name:
        folder = pathlib.Path(name)
        passed = False
        try:
            outcome = uvloop.run(fleet_soak.run_soak(seed, folder, vms))
            passed = not outcome.violations
            print(f'  {outcome.counts}', flush=True)
            for check, violations in outcome.violations.items():
                print(f'  FAILED {check}: {len(violations)}')
                for line in violations[:5]:
                    print(f'    {line}', flush=True)
        except Exception:
            print('  FAILED to complete the run')
            traceback.print_exc()
        if not passed and keep:
            target = f'{keep}/seed-{seed}'
            shutil.copytree(folder, target, dirs_exist_ok=True)
    return passed


def command(
    seed: int = 1,
    count: int = 1,
    seconds: float = 1e9,
    vms: int = fleet_soak.VM_COUNT,
    keep: str = '',
) -> None:
    """Execute runs; exit with status 1 if one failed or none was executed.

    Args:
        seed: the first seed.
        count: number of consecutive seeds.
        seconds: time after which no further run starts.
        vms: number of entry VMs.
        keep: folder for the files of failed runs, or empty to delete them.
    """
    # aiohttp logs each of the many connections that injected faults abort.
    logging.getLogger('aiohttp').setLevel(logging.CRITICAL)
    end_time = time.monotonic() + seconds
    failed_seeds = []
    run_count = 0
    for current_seed in range(seed, seed + count):
        if time.monotonic() > end_time:
            break
        run_count += 1
        if not run_one(current_seed, vms, keep):
            failed_seeds.append(current_seed)
    print(f'{run_count} runs, {len(failed_seeds)} failed {failed_seeds or ""}')
    sys.exit(1 if failed_seeds or not run_count else 0)


if __name__ == '__main__':
    fire.Fire(command)
