#!/bin/sh
# The stand-ins of review/11 to review/15 are written in Python (3.11, its
# standard library only): there is nothing to build. Checks that they load.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/support-3 python3 -c 'import scene'
