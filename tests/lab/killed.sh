#!/bin/bash
# Usage: killed.sh LAB PROGRAM EXPERIMENT FOLDER
# Checks that the relays that the lab started end with it when it is killed with SIGKILL.
set -euo pipefail
lab=$1 program=$2 experiment=$3 out=$4
# Counts the relays of this run by the state folder in their environment. All processes are read with one grep: with
# hundreds of other processes, one grep for each takes longer than the experiment keeps ten relays running.
relays() { { grep -lzs "^LB_STATE=$out/" /proc/[0-9]*/environ || true; } | wc -l; }
wait_for() {
  for ((i = 0; i < 300; i++)); do
    if [ "$(relays)" -eq "$1" ]; then return 0; fi
    sleep 0.1
  done
  echo "waited in vain for $1 relays, there are $(relays)"
  return 1
}
"$lab" run "$experiment" --quiet --build "$program" --out "$out" >/dev/null 2>&1 &
pid=$!
wait_for 10
kill -9 "$pid"
wait_for 0
echo "10 relays ended with the lab"
