#!/bin/sh
# The stand-ins are Python and need no build; this checks that they compile.
# They use aiohttp from target/deps, which the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=.:target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
from review.standins import cases  # noqa: F401
CHECK
