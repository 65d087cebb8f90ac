#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "could not run: no python3"; exit 2; }
exec timeout -s KILL 118 python3 -B case.py
