#!/bin/bash
# Plays all experiments over several seeds and prints their figures as a table: baseline.sh BUILD OUT [SEEDS] [EXPERIMENT...].
# JOBS runs go on at a time (3); each wants two or three cores for 300 relays.
set -uo pipefail
build=$1 out=$2 seeds=${3:-5}
mkdir -p "$out"
here=$(cd "$(dirname "$0")/../.." && pwd)
shift 3 2>/dev/null || shift $#
files=("$@")
((${#files[@]})) || files=("$here"/lab/experiments/*.toml)
for file in "${files[@]}"; do
  for ((seed = 1; seed <= seeds; seed++)); do echo "$file $seed"; done
done | xargs -P "${JOBS:-3}" -L1 bash -c '"$2" run "$3" --seed "$4" --quiet --build "$1" --out "$0" >"$0/$(basename "$3" .toml)-$4.txt" 2>&1' \
  "$out" "$build" "$build/lab/heronvane-lab"
python3 "$here/bench/lab/table.py" "$out"
