#!/bin/bash
# Machines lost with their disks under traffic, and the same without copies: losses.sh BUILD OUT [RUNS] [EXPERIMENT].
# JOBS runs at a time (3). Some 45 losses a run; a machine is back, empty, before the next one goes.
set -uo pipefail
build=$1 out=$2 runs=${3:-23}
here=$(cd "$(dirname "$0")" && pwd)
file=${4:-$here/losses.toml}
mkdir -p "$out"
sed 's/^copies = .*//' "$file" >"$out/without.toml"
cp "$file" "$out/with.toml"
for ((seed = 1; seed <= runs; seed++)); do echo "with $seed"; done >"$out/list"
for ((seed = 1; seed <= 2; seed++)); do echo "without $seed"; done >>"$out/list"
xargs -P "${JOBS:-3}" -L1 bash -c '"$1/lab/heronvane-lab" run "$0/$2.toml" --seed "$3" --quiet --build "$1" --out "$0" >"$0/$2-$3.txt" 2>&1' \
  "$out" "$build" <"$out/list"
python3 - "$out" <<'P'
import glob, json, sys
for kind in ("with", "without"):
    sums, runs, broken = {}, 0, {}
    for path in sorted(glob.glob(f"{sys.argv[1]}/{kind}-[0-9]*/report.json")):
        r = json.load(open(path))
        runs += 1
        sums["faults"] = sums.get("faults", 0) + len(r["faults"])
        for key in ("taken", "delivered", "undeliverable", "deferred", "lost_with_disk", "twice_after_rollback", "crossed", "repeats"):
            sums[key] = sums.get(key, 0) + int(r["figures"][key])
        for rule, n in r["broken"].items():
            broken[rule] = broken.get(rule, 0) + n
    print(kind, "copies:", runs, "runs", sums, "broken", broken)
P
