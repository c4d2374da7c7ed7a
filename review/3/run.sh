#!/usr/bin/env bash
# Plays case 3; claim.txt says what it shows. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B play.py
