#!/usr/bin/env bash
# Builds and runs all tests under ASan and UBSan, warnings as errors.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build-tests -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_WERROR=ON -DALDERSPUR_SANITIZE=ON >/dev/null
cmake --build build-tests -j4
ctest --test-dir build-tests --output-on-failure -j4
