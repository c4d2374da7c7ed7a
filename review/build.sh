#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python scripts that need the standard library only, so there is
# nothing to compile: this checks that they parse, and that the build of the deploy file has made the router.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/stand_ins.py [0-9]/play.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
[ -x ../build/edge_router ] || { echo "build/edge_router is missing: run the build of the deploy file first" >&2; exit 1; }
echo "review: the stand-ins are ready"
