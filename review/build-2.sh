#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: review/standins_2.py, which needs Python's standard library only.
# The product itself is built by the deploy file, in target/.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 - standins_2.py [6-9]/case.py 10*/case.py more-2/*.py <<'CHECK'
import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
CHECK
