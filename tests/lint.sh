#!/usr/bin/env bash
# Formatter and linter over all sources of the tree, Debian's version 14 of both, warnings as errors.
#
#   tests/lint.sh [BUILD]     BUILD: a folder for the compile database; build-lint if not given
#
# Exit: 0 clean, 1 findings, which are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-lint}
clang-format --dry-run -Werror $(git ls-files '*.cpp' '*.h' ':!journal')
cmake -B "$build" -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_BENCH=ON >/dev/null
cmake --build "$build" --target generated_headers >/dev/null
# The embedding program has a build of its own and is compiled with warnings as errors there.
python3 tests/lint.py "$build" $(git ls-files 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' ':!tests/embed')
echo "lint: clean"
