#!/bin/bash
# Runs a relay with a planted defect (relay/fail_points.hpp) and fails unless the judge finds it by that rule.
# defect.sh LAB PROGRAM FOLDER DEFECT RULE [SEED]; an underscore in RULE is a space.
set -euo pipefail
lab=$1 program=$2 folder=$3 defect=$4 rule=${5//_/ } seed=${6:-1}
here=$(cd "$(dirname "$0")" && pwd)
status=0
"$lab" run "$here/defects.toml" --seed "$seed" --quiet --build "$program" --env "HERONVANE_DEFECT=$defect" \
  --out "$folder" >"$folder.txt" 2>&1 || status=$?
report=$folder/defects-$seed/report.json
if ((status == 1)) && grep -q "\"broken\":{[^}]*\"$rule\":" "$report"; then
  echo "$defect: found as '$rule' ($(grep -o '"broken":{[^}]*}' "$report"))"
else
  echo "$defect: NOT found as '$rule'"
  cat "$folder.txt"
  exit 1
fi
