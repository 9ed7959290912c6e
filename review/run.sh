#!/usr/bin/env bash
# Runs the case of the folder given as first argument; exit code 1 broken, 0 held, 2 not run.
set -u
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review" PYTHONDONTWRITEBYTECODE=1
exec python3 "review/$1/case.py"
