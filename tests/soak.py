"""Runs failure scenarios in random order until the time is up.

Prints each scenario with its seed before it runs, so that it can be repeated
alone: ``python -m tests.soak --only=NAME --seed=SEED``.
"""

import random
import sys
import time

import fire

from tests import proof_runs
from tests import proof_scenarios


def run_and_report(name: str, seed: int) -> bool:
    """Run a scenario and print its result; return whether it passed."""
    print(f'scenario {name} seed {seed}', flush=True)
    outcome = proof_runs.run_scenario(
        name, proof_scenarios.SCENARIOS[name], seed
    )
    passed = not outcome.violations and not outcome.problems
    print('  held' if passed else '  FAILED')
    for line in proof_runs.format_outcome(outcome):
        print(f'  {line}', flush=True)
    return passed


def run_scenarios(
    seconds: float = 300.0, seed: int = 1, only: str = ''
) -> None:
    """Run scenarios; exit with status 1 if one failed or none ran.

    Args:
        seconds: no scenario starts after this time.
        seed: chooses the order of scenarios and their seeds.
        only: name of a scenario to run once, with ``seed`` as its seed.
    """
    if only:
        sys.exit(0 if run_and_report(only, seed) else 1)
    rng = random.Random(f'soak/{seed}')
    remaining_names: list[str] = []
    failed_count = 0
    run_count = 0
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        if not remaining_names:
            remaining_names = sorted(proof_scenarios.SCENARIOS)
            rng.shuffle(remaining_names)
        run_count += 1
        failed_count += not run_and_report(
            remaining_names.pop(), rng.randrange(1_000_000)
        )
    print(f'{run_count} scenarios, {failed_count} failed')
    sys.exit(1 if failed_count or not run_count else 0)


if __name__ == '__main__':
    fire.Fire(run_scenarios)
