#!/bin/sh
# Usage: program_test.sh ADAPTER
# Checks the exit status and output of the adapter program.
set -e
empty=$(printf '%s\n' '{"kind":"ROUND","Clock":1}' '{"kind":"YOUR_TURN"}' | "$1")
test "$empty" = '{"kind":"OK"}'
errors=$(mktemp)
trap 'rm -f "$errors"' EXIT
if printf '%s\n' '{"kind":"ROUND","Clock":1}' '{"kind":"NONSENSE","Who":"relay-0"' | "$1" >/dev/null 2>"$errors"; then
  echo "malformed input must fail"; exit 1
fi
test "$(wc -l <"$errors")" -eq 1
grep -q 'line 2: column' "$errors"
