#!/bin/bash
# Kills the relay at many chosen points, many runs side by side, and adds up what came out.
#   bench/kill/run.sh BUILD_FOLDER
# HERONVANE_KILL_RUNS (2000), HERONVANE_KILL_FULL_RUNS (400: with the disk full at random), HERONVANE_KILL_SEED (1),
# HERONVANE_KILL_JOBS (16: processes at once). Fails where anything is lost, runs twice, or runs though refused.
set -euo pipefail
program=$1/tests/kill/heronvane_kill_tests
runs=${HERONVANE_KILL_RUNS:-2000} full=${HERONVANE_KILL_FULL_RUNS:-400}
seed=${HERONVANE_KILL_SEED:-1} jobs=${HERONVANE_KILL_JOBS:-16}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# sum NAME LINES FILES...: of "name=number" in these lines
sum() {
  grep -h "$2" "${@:3}" | awk -v name="$1" '
    { for (i = 2; i <= NF; i++) if (split($i, f, "=") == 2) { if (!(f[1] in sum)) order[++n] = f[1]; sum[f[1]] += f[2] } }
    END { printf "%s:", name; for (i = 1; i <= n; i++) printf " %s=%d", order[i], sum[order[i]]; print "" }'
}

# series NAME TEST RUNS
series() {
  local each=$((($3 + jobs - 1) / jobs)) pids=() bad=0
  [ "$each" -gt 0 ] || return 0
  for ((j = 0; j < jobs; j++)); do
    HERONVANE_KILL_RUNS=$each HERONVANE_KILL_SEED=$((seed + j)) \
      "$program" --gtest_filter="$2" >"$out/$1-$j" 2>&1 &
    pids+=($!)
  done
  for pid in "${pids[@]}"; do wait "$pid" || bad=1; done
  # Charges, then the sums.
  grep -hE '^(seed |  (un)?safe to )' "$out/$1"-* || true
  sum "$1" '^kill: ' "$out/$1"-*
  sum "$1 at" '^killed at: ' "$out/$1"-*
  if [ "$bad" != 0 ] && [ -n "${HERONVANE_KILL_LOGS:-}" ]; then cp "$out/$1"-* "$HERONVANE_KILL_LOGS"; fi
  return "$bad"
}

bad=0
echo "seed $seed, $jobs at once"
series killed Kill.AtChosenPoints "$runs" || bad=1
series disk-full Kill.WithTheDiskFull "$full" || bad=1
exit "$bad"
