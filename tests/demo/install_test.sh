#!/bin/sh
# Usage: install_test.sh BUILD WORK: the programs, the unit and the examples are installed, and fit together.
set -e
rm -rf "$2"
cmake --install "$1" --prefix "$2" >/dev/null
for program in heronvane heronvane-agent heronvanectl; do
  "$2/bin/$program" --version >/dev/null || "$2/bin/$program" --agent "$2/none" version >/dev/null
done
test -x "$2/bin/heronvane-store"
for file in fleet.example.toml settings.example.json partners.example.json heronvane.toml; do
  test -s "$2/share/heronvane/$file"
done
unit="$2/lib/systemd/system/heronvane-agent.service"
grep -q '^KillMode=process$' "$unit"
grep -q '^ExecStart=/.*/bin/heronvane-agent --data /var/lib/heronvane --foreground$' "$unit"
