#!/usr/bin/env bash
# Lays what the bench reads beside a site file into deploy/sites/: real.json, wire.json and unlock.txt. They
# are the operators', git ignores them there, and nothing of them is committed.
#
#   bench/sites.sh KIT     KIT: the folder that holds more/mass
#
# Exit: 0 laid, 2 the kit is not there or lacks one of them (then nothing is laid).
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$#" = 1 ] || { sed -n '5,5p' "$0" | cut -c3- >&2; exit 2; }
from="$1/more/mass/other" names=(real.json wire.json unlock.txt)
for name in "${names[@]}"; do
  [ -r "$from/$name" ] || { echo "sites: no '$from/$name': without the operators' kit these sites cannot be played" >&2; exit 2; }
done
for name in "${names[@]}"; do install -m 644 "$from/$name" "deploy/sites/$name"; done
echo "sites: laid ${names[*]} into deploy/sites"
