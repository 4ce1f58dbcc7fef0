#!/bin/sh
# The stand-ins of the cases are Python files; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - support/*.py [1-5]/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
CHECK
