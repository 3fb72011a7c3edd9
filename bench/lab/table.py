#!/usr/bin/env python3
"""Median (least to most) over the seeds of each experiment's reports in a folder, as a Markdown table."""
import collections
import json
import pathlib
import statistics
import sys

COLUMNS = [
    ("full_service_s", "full service, s", "%.1f"),
    ("served_first_10s", "served, first 10 s", "%.3f"),
    ("served_first_30s", "30 s", "%.3f"),
    ("whole_p99_ms", "whole way p99, ms", "%.0f"),
    ("peak_over", "peak over capacity", "%.1f"),
    ("list_calls_worst_second", "list calls, worst second", "%.0f"),
    ("connections_per_message", "connections a message", "%.2f"),
    ("lost_with_disk", "lost with disks", "%.0f"),
    ("twice_after_rollback", "twice after rollback", "%.0f"),
    ("broken", "rules broken", "%.0f"),
]
runs = collections.defaultdict(list)
for report in sorted(pathlib.Path(sys.argv[1]).glob("*/report.json")):
    runs[report.parent.name.rsplit("-", 1)[0]].append(json.loads(report.read_text())["figures"])
print("| experiment | " + " | ".join(title for _, title, _ in COLUMNS) + " |")
print("| --- " * (len(COLUMNS) + 1) + "|")
for name, figures in runs.items():
    cells = []
    for key, _, form in COLUMNS:
        values = [f[key] for f in figures]
        never = sum(1 for v in values if key == "full_service_s" and v < 0)
        values = [v for v in values if key != "full_service_s" or v >= 0]
        text = "-"
        if values:
            text = form % statistics.median(values)
            if max(values) > min(values):
                text += " (%s to %s)" % (form % min(values), form % max(values))
        cells.append(text + (", %d of %d never" % (never, len(figures)) if never else ""))
    print("| %s (%d) | %s |" % (name, len(figures), " | ".join(cells)))
