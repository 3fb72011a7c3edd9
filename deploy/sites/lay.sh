#!/bin/bash
# Lays beside these sites what the operators' bench wants there and what stays outside the repository: lay.sh KIT,
# KIT being the kit's folder. Git ignores what it lays.
set -euo pipefail
kit=${1:?usage: lay.sh KIT}
here=$(dirname "$0")
for file in real.json wire.json unlock.txt; do install -m 644 "$kit/sites/$file" "$here/$file"; done
