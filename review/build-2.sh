#!/bin/bash
# Checks what the scripts of review/6 and later start, after the build of the deploy file.
# The stand-ins need Python's standard library only, so there is nothing to install.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review-2
python3 -m py_compile review/standins_2.py
for case in review/{6,7,8,9,10}/case.py; do
    python3 -m py_compile "$case"
done
python3 -m fireflyferry.platform --version
echo "stand-ins of review/standins_2.py are ready"
