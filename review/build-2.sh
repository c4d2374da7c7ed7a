#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file. The stand-ins are
# Python with the standard library only and need no build: this checks that they parse. Cases 8 and 10 start the
# project's program `alderspur`, which is built here from the project's sources. It needs the packages of packages.txt;
# where they are missing, this says so, and those two scripts exit with 2.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - review/common-2/stand_ins.py review/{6,7,8,9,10}/case.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
if ! cmake -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DALDERSPUR_TESTS=OFF; then
  echo "review: alderspur cannot be configured here (packages.txt); review/8 and review/10 will not run" >&2
  exit 0
fi
cmake --build build-review-2 -j"${JOBS:-4}" --target alderspur_program
