#!/usr/bin/env bash
# Starts the toy boxes and the router on free ports, fetches a signed link, a forged one and one by token,
# then ends the router by SIGTERM. Usage: example/try.sh [PROGRAM]
set -euo pipefail
cd "$(dirname "$0")/.."
program=${1:-build/alderspur_edge}
work=$(mktemp -d)
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
await() { for _ in $(seq 200); do if eval "$1"; then return; fi; sleep 0.1; done; echo "gave up: $1"; exit 1; }

python3 example/toy_box.py --free "$work" >"$work/boxes.log" &
started+=($!)
await '[ -s "$work/config.json" ]'
sed 's/127.0.0.1:8480/127.0.0.1:0/' example/signed.json >"$work/signed.json"
RELAY_CONFIG="$work/config.json" ALDERSPUR_SIGNED="$work/signed.json" "$program" 2>"$work/router.log" &
router=$!
started+=("$router")
await 'grep -q "signed links on" "$work/router.log"'
at="http://$(sed -n 's/.*signed links on //p' "$work/router.log")"

path=/asset/7f3a9c21e0b4d655/0
link=$(python3 example/sign.py "$work/signed.json" $path)
get() { curl -s --noproxy '*' -o "$work/body" -w '%{http_code}' "$@"; }
[ "$(get "$at$link")" = 200 ] && cat "$work/body"
[ "$(get "$at${link%????}AAAA")" = 403 ] && echo "a forged link: 403"
token=$(python3 example/sign.py "$work/signed.json" --token /asset/7f3a9c21e0b4d655)
[ "$(get -H "Authorization: Bearer $token" "$at/asset/7f3a9c21e0b4d655/3")" = 200 ] && cat "$work/body"
kill -USR1 "$router"
await 'grep -q "^open" "$work/router.log"'
kill -TERM "$router"
wait "$router"
grep '^open' "$work/router.log" | tail -1
echo "example: ok"
