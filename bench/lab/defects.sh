#!/bin/bash
# All planted defects, and runs without one: defects.sh BUILD [CLEAN_RUNS]. A line for each; fails where the judge missed one
# or charged a sound relay.
set -uo pipefail
build=$1 clean=${2:-50}
here=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
lab=$build/lab/heronvane-lab program=$build/tests/kill/heronvane_failing
defects="answer-before-record=lost crash=crash end-after-delivery=ended_otherwise forget-attempt=unsafe_again
  forget-folder=lost forget-message=lost ignore-drain=drained ignore-wait=waits late-end=late never-ready-again=no_start
  no-notice=lost refuse-in-doubt=refused_yet_run refuse-yet-keep=refused_yet_run resend-in-doubt=unsafe_again
  send-twice=two_at_once wrong-destination=strange"
{
  for d in $defects; do echo "$d"; done
  for ((seed = 1; seed <= clean; seed++)); do echo "clean=$seed"; done
} | xargs -P "${JOBS:-4}" -I{} bash -c '
  name=${1%=*} value=${1#*=}
  if [ "$name" = clean ]; then
    "$2" run "$5/defects.toml" --seed "$value" --quiet --build "$3" --out "$4/clean" >"$4/clean-$value.txt" 2>&1 &&
      echo "clean, seed $value: nothing found" || { echo "clean, seed $value: CHARGED"; cat "$4/clean-$value.txt"; exit 1; }
  else
    "$5/defect.sh" "$2" "$3" "$4/$name" "$name" "$value"
  fi' _ {} "$lab" "$program" "$out" "$here"
