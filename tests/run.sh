#!/usr/bin/env bash
# Builds and runs all tests under ASan and UBSan, warnings as errors, then the threaded parts under TSan.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/compiler_cache.sh
cmake -B build-tests -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_WERROR=ON -DALDERSPUR_SANITIZE=ON >/dev/null
cmake --build build-tests -j"$(nproc)"
echo "run: built under ASan and UBSan, $SECONDS s"
cmake -B build-tsan -DCMAKE_BUILD_TYPE=Debug -DALDERSPUR_WERROR=ON -DALDERSPUR_TSAN=ON >/dev/null
cmake --build build-tsan -j"$(nproc)" --target product_tests
echo "run: built under TSan, $SECONDS s"
setarch -R build-tsan/product_tests --gtest_filter='WatchedListTest.*:LogTest.*:EndpointStateTest.LoadsWhatWasSaved' --gtest_brief=1
bash tests/known_red_test.sh
echo "run: threaded parts passed, $SECONDS s"
bash tests/known_red.sh build-tests KNOWN-RED.txt
echo "run: all tests done, $SECONDS s"
