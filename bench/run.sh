#!/usr/bin/env bash
# All measurements of docs/measured.md, in a Release build of their own. Takes some minutes; wants idle cores.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DALDERSPUR_TESTS=OFF -DALDERSPUR_BENCH=ON >/dev/null
cmake --build build-bench -j4 >/dev/null
echo "cores $(nproc), memory $(awk '/MemTotal/{print int($2/1024)}' /proc/meminfo) MB, $(uname -m)"
build-bench/endpoints_bench
build-bench/config_language_bench
for what in changes reload big idle; do build-bench/load build-bench/alderspur "$what"; done
for members in 30 300; do build-bench/membership_sim "$members" 1200; done
build-bench/cluster_processes 3 5 30
for n in 3 5 30; do build-bench/consensus_processes "$n"; done
