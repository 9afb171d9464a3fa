#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 runs
# without the disruption.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common exec python3 case.py
