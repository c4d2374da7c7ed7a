#!/usr/bin/env bash
# Plays the soak of restarts by seeds, several runs at a time, and says which failed.
#
#   tests/soak/run.sh --seeds A..B [--jobs N] [--build DIR]
#
# A..B: the seeds, or one seed; N: runs at a time, 4 if not given; DIR: a build with tests, build-tests if not given.
# Each run's output stays in DIR/soak/SEED.log. Exit: 0 all passed, 1 one failed, 2 the call is wrong.
set -euo pipefail
cd "$(dirname "$0")/../.."
seeds="" jobs=4 build=build-tests
while [ "$#" -gt 1 ]; do
  case "$1" in
    --seeds) seeds=$2 ;;
    --jobs) jobs=$2 ;;
    --build) build=$2 ;;
    *) break ;;
  esac
  shift 2
done
if [ "$#" != 0 ] || [[ ! "$seeds" =~ ^[0-9]+(\.\.[0-9]+)?$ ]]; then
  sed -n '4,7p' "$0" | cut -c3- >&2
  exit 2
fi
[ -x "$build/soak_tests" ] || { echo "soak: no $build/soak_tests: build the tests first" >&2; exit 2; }
mkdir -p "$build/soak"
play() {
  if ALDERSPUR_SOAK_SEEDS=$2 "$1/soak_tests" >"$1/soak/$2.log" 2>&1; then
    echo "passed $2"
  else
    echo "FAILED $2: $(grep -m1 ' ms: ' "$1/soak/$2.log" || echo 'see its log')"
  fi
}
export -f play
seq "${seeds%%..*}" "${seeds##*..}" | xargs -P "$jobs" -I{} bash -c 'play "$0" {}' "$build" | tee "$build/soak/summary.txt"
failed=$(grep -c '^FAILED' "$build/soak/summary.txt" || true)
echo "soak: $(grep -c '^passed' "$build/soak/summary.txt" || true) passed, $failed failed, seeds $seeds, $SECONDS s, $(nproc) cores"
[ "$failed" = 0 ]
