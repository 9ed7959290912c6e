#!/usr/bin/env bash
# Checks that the build of the deploy file is there and that all stand-ins can be imported.
# The stand-ins are Python and need no other build.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
export PYTHONPATH="$PWD:$PWD/target/deps:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; assert sys.version_info >= (3, 11); import standins'
