#!/bin/bash
# The soak of mixed faults: soak.sh BUILD OUT FIRST LAST plays the seeds from FIRST to LAST, JOBS (8) at a time, on the
# relay, the lab and the fault library of BUILD (configured with -DHERONVANE_TESTS=ON), and prints a line for each. The
# status is 1 where a run did not pass.
set -euo pipefail
build=$(cd "$1" && pwd) out=$2 first=$3 last=$4
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$out"
play() {
  local build=$1 out=$2 here=$3 seed=$4 folder=$2/$4
  rm -rf "$folder"
  mkdir -p "$folder"
  python3 "$here/draw.py" "$seed" "$folder"
  local status=0
  "$build/lab/heronvane-lab" run "$folder/experiment.toml" --seed "$seed" --quiet --build "$build" --out "$folder" \
    --env "LD_PRELOAD=$build/lab/faults/libheronvane_faults.so" --env "HERONVANE_FAULTS=$folder/faults.toml" \
    >"$folder/summary.txt" 2>&1 || status=$?
  if ((status == 0)); then echo "seed $seed passed"; else
    echo "seed $seed FAILED: $(grep -m1 -E 'not met|broken' "$folder/summary.txt" || tail -1 "$folder/summary.txt")"
  fi
}
export -f play
seq "$first" "$last" | xargs -P "${JOBS:-8}" -I{} bash -c 'play "$@"' _ "$build" "$out" "$here" {} | tee "$out/results.txt"
echo "$(grep -c ' passed$' "$out/results.txt" || true) passed, $(grep -c ' FAILED' "$out/results.txt" || true) failed"
! grep -q ' FAILED' "$out/results.txt"
