#!/bin/sh
# Runs the case of a folder; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=".:target/deps" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "review/$1/case.py"
