#!/usr/bin/env bash
# Starts the stand-in servers and `alderspur run` on free ports with a watched list of servers, fetches a signed link,
# a forged one and one by token, drains a cache by a new list, has an invalid list rejected, then ends the router by
# SIGTERM. Usage: example/try.sh [PROGRAM]
set -euo pipefail
cd "$(dirname "$0")/.."
program=${1:-build/alderspur}
work=$(mktemp -d)
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
await() { for _ in $(seq 200); do if eval "$1"; then return; fi; sleep 0.1; done; echo "gave up: $1"; cat "$work/router.log"; exit 1; }

python3 example/stand_in_servers.py --free "$work" >"$work/servers.log" &
started+=($!)
await '[ -s "$work/config.json" ]'
sed 's/127.0.0.1:8480/127.0.0.1:0/' example/alderspur.toml >"$work/alderspur.toml"
sed -i 's/^authority.*/&\nstate = "state"/' "$work/alderspur.toml"
cp example/main.alder "$work"
"$program" check "$work/alderspur.toml" "$work/servers.toml" "$work/main.alder"
"$program" fmt --check example/main.alder
"$program" explain "$work/main.alder" "GET img.example/asset/7f3a9c21e0b4d655/0"
"$program" run --settings "$work/alderspur.toml" 2>"$work/router.log" &
router=$!
started+=("$router")
await 'grep -q "subsystem=signed event=listening" "$work/router.log"'
at="http://$(sed -n 's/.*subsystem=signed event=listening address=//p' "$work/router.log")"

path=/asset/7f3a9c21e0b4d655/0
link=$(python3 example/sign.py "$work/alderspur.toml" $path)
get() { curl -s --noproxy '*' -o "$work/body" -w '%{http_code}' "$@"; }
[ "$(get "$at$link")" = 200 ] && cat "$work/body"
[ "$(get "$at${link%????}AAAA")" = 403 ] && echo "a forged link: 403"
token=$(python3 example/sign.py "$work/alderspur.toml" --token /asset/7f3a9c21e0b4d655)
[ "$(get -H "Authorization: Bearer $token" "$at/asset/7f3a9c21e0b4d655/3")" = 200 ] && cat "$work/body"

# A program of routes with errors changes nothing; a valid one replaces the table on SIGHUP.
sed -i 's/{object}/{objct}/' "$work/main.alder"
kill -HUP "$router"
await 'grep -q "event=table_refused" "$work/router.log"'
[ "$(get "$at$link")" = 200 ] && echo "invalid routes were rejected, the active ones still serve"
cp example/main.alder "$work"
kill -HUP "$router"
await '[ "$(grep -c "event=table_taken" "$work/router.log")" = 2 ]'

# A new list: the cache that answered is drained and the other one answers. Then a truncated list, which is rejected.
cache=$(sed -n 's/.* from //p' "$work/body")
python3 - "$work/servers.toml" "$cache" <<'PY'
import os, sys
path, cache = sys.argv[1:]
text = open(path, encoding="utf-8").read().replace("generation = 1", "generation = 2")
head, tail = text.split(f'id = "{cache}"')
with open(path + ".next", "w", encoding="utf-8") as f:
    f.write(head + f'id = "{cache}"' + tail.replace('"in_service"', '"draining"', 1))
os.rename(path + ".next", path)
PY
await 'grep -q "event=list_taken generation=2" "$work/router.log"'
[ "$(get "$at$link")" = 200 ] && cat "$work/body"
grep -q "from $cache" "$work/body" && { echo "a draining cache was asked"; exit 1; }
head -n 20 "$work/servers.toml" >"$work/cut" && mv "$work/cut" "$work/servers.toml"
await 'grep -q "event=list_refused" "$work/router.log"'
[ "$(get "$at$link")" = 200 ] && echo "a truncated list was rejected, the active one still serves"

kill -USR1 "$router"
await 'grep -q "event=standing" "$work/router.log"'
await 'grep -q "event=counters open=0 .* served=" "$work/router.log"'
kill -TERM "$router"
wait "$router"
"$program" state "$work/state"
! grep -q "sig=" "$work/router.log" || { echo "a signature is in the log"; exit 1; }
echo "example: ok"
