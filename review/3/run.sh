#!/usr/bin/env bash
# Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption. Writes record.txt here.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is not there"; exit 2; }
exec timeout -k 2 118 python3 -B case.py
