#!/bin/bash
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && TROUBLE="${TROUBLE:-1}" exec python3 review/7/case.py
