#!/bin/bash
# Usage: bench/scale/module.sh BUILD_FOLDER (needs valgrind)
# Prints the instructions that the decision module takes per message and per changed entry, by size.
set -euo pipefail
program=$1/bench/scale/module_bench
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# counted NAME ARGUMENTS...: prints the instructions inside the measured functions
counted() {
  valgrind --tool=callgrind --callgrind-out-file="$out/$1" --collect-atstart=no --toggle-collect='*measured_*' \
    "$program" "${@:2}" >"$out/$1.said" 2>"$out/$1.log"
  awk '/^summary:/ { print $2 }' "$out/$1"
}

echo "destinations held each-round instructions/message"
for size in "100 0" "1000 0" "10000 0" "50000 0" "1000 100" "1000 1000" "1000 10000" "1000 50000"; do
  read -r destinations held <<<"$size"
  for each in 1 16; do
    name=r-$destinations-$held-$each
    all=$(counted "$name" rounds "$destinations" "$held" 400 "$each")
    echo "$destinations $held $each $((all / 400 / each))"
  done
done
echo "destinations instructions/change"
for destinations in 100 1000 10000 50000; do
  echo "$destinations $(($(counted "c-$destinations" changes "$destinations" 400) / 400))"
done
for destinations in 10000 50000; do "$program" memory "$destinations"; done
"$program" churn 10000 1
