#!/bin/sh
# Usage: install_test.sh BUILD WORK
# Installs the programs, the systemd unit and the examples, and checks that they work together.
set -e
rm -rf "$2"
cmake --install "$1" --prefix "$2" >/dev/null
for program in heronvane heronvane-agent heronvanectl; do
  "$2/bin/$program" --version >/dev/null || "$2/bin/$program" --agent "$2/none" version >/dev/null
done
test -x "$2/bin/heronvane-store"
test -s "$2/share/man/man8/heronvane-store.8"
# The help texts fit a terminal of 80 columns.
for program in heronvane heronvane-agent heronvanectl heronvane-store; do
  "$2/bin/$program" --help | awk 'length > 80 { print; wide = 1 } END { exit wide }'
done
for file in fleet.example.toml settings.example.json partners.example.json heronvane.toml \
  relay.example.json; do
  test -s "$2/share/heronvane/$file"
done
"$2/bin/heronvane" --config "$2/share/heronvane/relay.example.json" --check-config | grep -q 'sound: name n0'
unit="$2/lib/systemd/system/heronvane-agent.service"
grep -q '^KillMode=process$' "$unit"
grep -q '^ExecStart=/.*/bin/heronvane-agent --data /var/lib/heronvane --foreground$' "$unit"
