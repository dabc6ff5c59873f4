"""Runs scenarios chosen by seed until a time is up.

Every scenario and seed is printed before it runs, so that it can be run again
alone: ``python -m tests.soak --only=NAME --seed=SEED``.
"""

import random
import sys
import time

import fire

from tests import proof_runs
from tests import proof_scenarios


def run_one(name: str, seed: int) -> bool:
    """Run a scenario and print what it showed; return whether it held."""
    print(f'scenario {name} seed {seed}', flush=True)
    outcome = proof_runs.run_scenario(
        name, proof_scenarios.SCENARIOS[name], seed
    )
    held = not outcome.violations and not outcome.problems
    print('  held' if held else '  FAILED')
    for line in proof_runs.format_outcome(outcome):
        print(f'  {line}', flush=True)
    return held


def command(seconds: float = 300.0, seed: int = 1, only: str = '') -> None:
    """Run scenarios; exit with 1 if a promise broke.

    Args:
        seconds: no scenario begins after this time.
        seed: chooses the order of scenarios and their seeds.
        only: one scenario, which is run once with the seed itself.
    """
    if only:
        sys.exit(0 if run_one(only, seed) else 1)
    source = random.Random(f'soak/{seed}')
    names: list[str] = []
    failed = 0
    ran = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if not names:
            names = sorted(proof_scenarios.SCENARIOS)
            source.shuffle(names)
        ran += 1
        failed += not run_one(names.pop(), source.randrange(1_000_000))
    print(f'{ran} scenarios, {failed} failed')
    sys.exit(1 if failed or not ran else 0)


if __name__ == '__main__':
    fire.Fire(command)
