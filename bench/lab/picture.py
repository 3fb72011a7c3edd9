#!/usr/bin/env python3
"""Charts of a report's page as one picture: picture.py PAGE.html OUT.svg TITLE [CHART...]; a chart by its title."""
import re
import sys

page, out, title, wanted = sys.argv[1], sys.argv[2], sys.argv[3], sys.argv[4:]
html = open(page, encoding="utf-8").read()
charts = {m[1].replace("&#39;", "'"): m[2] for m in re.finditer(r"<svg viewBox='[^']*' role='img' aria-label='(.*?)'>(.*?)</svg>", html, re.S)}
wanted = wanted or list(charts)[:5]
STYLE = (
    "text{font:11px sans-serif}.title{font-weight:600}polyline{fill:none;stroke-width:1.6}"
    ".grid{stroke:#ddd}.fault{fill:#e69f00;opacity:.28}"
)
height = 30 + 175 * len(wanted)
with open(out, "w", encoding="utf-8") as svg:
    svg.write(f"<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 860 {height}' width='860' height='{height}'>")
    svg.write(f"<style>{STYLE}</style><rect width='860' height='{height}' fill='#fafafa'/>")
    svg.write(f"<text x='8' y='20' style='font:600 14px sans-serif'>{title}</text>")
    for i, name in enumerate(wanted):
        svg.write(f"<g transform='translate(0 {30 + 175 * i})'>{charts[name]}</g>")
    svg.write("</svg>\n")
