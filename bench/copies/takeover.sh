#!/bin/bash
# How long a take-over takes, by messages held: takeover.sh BUILD OUT. Four relays, destinations that take nothing, one machine lost.
# From the relays' own logs: when the owner was given up, when its messages were the successor's.
set -euo pipefail
build=$1 out=$2
mkdir -p "$out"
echo "| messages held | given up to taken over, ms |"
echo "| --- | --- |"
for rate in 200 1000 4000; do
  cat >"$out/r$rate.toml" <<T
title = "Take-over by messages held"
length = "12s"
warm = "1s"
settle = "4s"
[fleet]
relays = 4
copies = 2
takeover_after = "700ms"
replace_after = "600s"
workers = 8
open_cap = 100000
memory_mb = 1024
disk_mb = 400
sockets = 4096
[traffic]
per_s = $rate
[[traffic.class]]
name = "load-status"
deadline = "60s"
[destinations]
count = 2
endpoints = [1, 1]
latency = "5ms"
headroom = [4, 4]
[[fault]]
at = "1s"
outage = "destinations"
how = "silent"
for = "60s"
[[fault]]
at = "11s"
wipe = "relays:1"
[expect]
lost = 100000
T
  "$build/lab/heronvane-lab" run "$out/r$rate.toml" --quiet --keep --build "$build" --out "$out" >"$out/r$rate.txt" 2>&1 || true
  python3 - "$out/r$rate-1/machines" <<'P'
import glob, re, sys
for path in glob.glob(sys.argv[1] + "/*/log"):
    begun = None
    for line in open(path, errors="replace"):
        at = line.split(" ", 1)[0]
        if "taking over its messages" in line:
            begun = float(at)
        m = re.search(r"copies: (\d+) messages taken over", line)
        if m and begun is not None:
            print(f"| {m[1]} | {(float(at) - begun) * 1e3:.0f} |")
P
done
