#!/bin/bash
# Usage: soak.sh BUILD OUT FIRST LAST [KIND]
# Runs the fault soak for the seeds FIRST to LAST, JOBS (default 8) at a time, on the programs of BUILD (configured with
# -DHERONVANE_TESTS=ON), and prints a line per seed. Exits with 1 if a run did not pass. KIND is `mixed` (faults over a
# fleet, draw.py, the default) or `restarts` (restarts of one relay, as seen by its callers, restart_play.py).
set -euo pipefail
build=$(cd "$1" && pwd) out=$2 first=$3 last=$4 kind=${5:-mixed}
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$out"
play_mixed() {
  local build=$1 folder=$2 here=$3 seed=$4 status=0
  python3 "$here/draw.py" "$seed" "$folder"
  "$build/lab/heronvane-lab" run "$folder/experiment.toml" --seed "$seed" --quiet --build "$build" --out "$folder" \
    --env "LD_PRELOAD=$build/lab/faults/libheronvane_faults.so" --env "HERONVANE_FAULTS=$folder/faults.toml" \
    >"$folder/summary.txt" 2>&1 || status=$?
  if ((status == 0)); then echo "seed $seed passed"; else
    echo "seed $seed FAILED: $(grep -m1 -E 'not met|broken' "$folder/summary.txt" || tail -1 "$folder/summary.txt")"
  fi
}
play_restarts() {
  local build=$1 folder=$2 here=$3 seed=$4
  python3 "$here/restart_play.py" "$build/heronvane" "$folder" "$seed" >"$folder/summary.txt" 2>&1 || true
  if grep -q "^seed $seed: " "$folder/summary.txt"; then head -1 "$folder/summary.txt"; else
    echo "seed $seed FAILED: $(head -3 "$folder/summary.txt" | paste -sd' ')"
  fi
}
play() {
  local folder=$3/$5
  rm -rf "$folder"
  mkdir -p "$folder"
  "play_$1" "$2" "$folder" "$4" "$5"
}
export -f play play_mixed play_restarts
seq "$first" "$last" | xargs -P "${JOBS:-8}" -I{} bash -c 'play "$@"' _ "$kind" "$build" "$out" "$here" {} |
  tee "$out/results.txt"
echo "$(grep -c ' passed$' "$out/results.txt" || true) passed, $(grep -c ' FAILED' "$out/results.txt" || true) failed"
! grep -q ' FAILED' "$out/results.txt"
