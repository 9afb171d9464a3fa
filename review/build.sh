#!/bin/sh
# The stand-ins of the scripts are Python programs in common/ and use only its
# standard library: there is nothing to compile. Checks that they can run.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=common python3 -c 'import fleet, standins'
echo "review: stand-ins ready"
