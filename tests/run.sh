#!/usr/bin/env bash
# Builds and runs all tests under ASan and UBSan, warnings as errors, then the threaded parts under TSan.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build-tests -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_WERROR=ON -DALDERSPUR_SANITIZE=ON >/dev/null
cmake --build build-tests -j4
cmake -B build-tsan -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_WERROR=ON -DALDERSPUR_TSAN=ON >/dev/null
cmake --build build-tsan -j4 --target product_tests
setarch -R build-tsan/product_tests --gtest_filter='Watched.*:Log.*:Store.WhatWasSavedComesBack' --gtest_brief=1
ctest --test-dir build-tests --output-on-failure -j4
