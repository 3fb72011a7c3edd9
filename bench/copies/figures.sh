#!/bin/bash
# What copies cost: figures.sh BUILD OUT [RATE] [SECONDS]. Three relays, one after the other with no copies, 0, 1 and 2 holders, and
# each with `process` and `machine`; the same seed, so the same traffic. Wants three idle cores; prints a table.
set -euo pipefail
build=$1 out=$2 rate=${3:-2000} seconds=${4:-12}
mkdir -p "$out"
for durability in process machine; do
  for copies in -1 0 1 2; do
    name=copies$copies-$durability
    {
      echo 'title = "Cost of copies"'
      echo "length = \"${seconds}s\""
      echo 'warm = "2s"'
      echo '[fleet]'
      echo 'relays = 3'
      echo 'workers = 200'
      echo 'open_cap = 4000'
      echo 'disk_mb = 100'
      echo 'sockets = 2048'
      echo 'memory_mb = 256'
      [ "$copies" -lt 0 ] || echo "copies = $copies"
      echo 'takeover_after = "5s"'
      printf 'settings = """\n[relay]\nearly_rounds = true\n[store]\ndurability = "%s"\n"""\n' "$durability"
      echo '[traffic]'
      echo "per_s = $rate"
      printf '[[traffic.class]]\nname = "pay-and-order"\neffect = "unsafe"\nworth = 3\ndeadline = "8s"\n'
      printf '[destinations]\ncount = 6\nendpoints = [2, 2]\nlatency = "5ms"\nheadroom = [3, 3]\n'
    } >"$out/$name.toml"
    "$build/lab/heronvane-lab" run "$out/$name.toml" --quiet --build "$build" --out "$out" >"$out/$name.txt" 2>&1 || true
  done
done
python3 - "$out" "$seconds" <<'P'
import json, sys
out, seconds = sys.argv[1], float(sys.argv[2])
print("| copies | durability | messages a second | 202: p50, p99, ms | whole way: p50, p99, ms | CPU a message, us | on the wire a message, bytes |")
print("| --- | --- | --- | --- | --- | --- | --- |")
for durability in ("process", "machine"):
    for copies in (-1, 0, 1, 2):
        try:
            f = json.load(open(f"{out}/copies{copies}-{durability}-1/report.json"))["figures"]
        except OSError:
            print(f"| {copies} | {durability} | no report |")
            continue
        n = max(f["delivered"], 1)
        print(f"| {'off' if copies < 0 else copies} | {durability} | {n / seconds:.0f} | {f['accept_p50_ms']:.2f}, {f['accept_p99_ms']:.2f} |"
              f" {f['whole_p50_ms']:.1f}, {f['whole_p99_ms']:.1f} | {f['relay_cpu_s'] / n * 1e6:.0f} | {f['link_megabytes'] / n * 1e6:.0f} |")
P
