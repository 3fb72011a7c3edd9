#!/bin/sh
# Usage: install_test.sh BUILD WORK
# Checks that the completion scripts and manual pages are installed where shells and man find them, and parse.
set -e
rm -rf "$2"
cmake --install "$1" --component heronvanectl --prefix "$2" >/dev/null
"$2/bin/heronvanectl" --help >/dev/null
bash -n "$2/share/bash-completion/completions/heronvanectl"
test -s "$2/share/zsh/site-functions/_heronvanectl"
test -s "$2/share/fish/vendor_completions.d/heronvanectl.fish"
for page in man1/heronvanectl.1 man8/heronvane-agent.8 man8/heronvane.8; do
  test -s "$2/share/man/$page"
  if command -v mandoc >/dev/null; then mandoc -T lint -W warning "$2/share/man/$page"; fi
done
# The manual describes each command.
for command in $("$2/bin/heronvanectl" --help | sed -n '/^Subcommands:/,$s/^  \([a-z]*\) .*/\1/p'); do
  grep -q "^\.It Cm $command" "$2/share/man/man1/heronvanectl.1" || { echo "manual: no $command"; exit 1; }
done
