#!/bin/bash
# Usage: demo_test.sh HERONVANECTL seconds|interrupt|kill
# Runs the demonstration, ends it in the given way, and checks that no file or process is left and that the
# summary adds up. It waits for output, not for a time.
set -euo pipefail
tool=$1 way=$2
folder=$(mktemp -d)
demo=""
export TMPDIR=$folder
clean_up() {
  if [[ -n $demo ]]; then kill -KILL "$demo" 2>/dev/null || true; fi
  rm -rf "$folder"
}
out=$folder.out
trap 'clean_up; rm -f "$out"' EXIT
fail() {
  echo "$1"
  cat "$out"
  exit 1
}
# Waits until a line of the output matches; fails if the demonstration ends first.
seen() {
  until grep -qE "$1" "$out"; do
    kill -0 "$demo" 2>/dev/null || fail "ended before it said: $1"
    sleep 0.1
  done
}

if [[ $way == seconds ]]; then
  "$tool" demo --seconds 6 --plain >"$out" 2>&1 &
else
  "$tool" demo --plain >"$out" 2>&1 &
fi
demo=$!
seen 'try: kill -9 [0-9]+'
seen 'delivered [1-9]'
case $way in
  interrupt) kill -INT "$demo" ;;
  kill)
    kill -KILL "$(sed -n 's/.*try: kill -9 \([0-9]*\).*/\1/p' "$out" | head -1)"
    # The relay runs again; which of its phases are printed depends on the polling.
    seen 'n2: (runs anew|.* -> ready)'
    kill -TERM "$demo"
    ;;
esac
status=0
wait "$demo" || status=$?
demo=""
[[ $status -eq 0 ]] || fail "exit status $status"

# No file and no process is left.
[[ -z $(ls -A "$folder") ]] || fail "left in its folder: $(ls -A "$folder")"
for words in /proc/[0-9]*/cmdline; do
  if { tr '\0' ' ' <"$words" | grep -qF "$folder/"; } 2>/dev/null; then fail "a process is left: $words"; fi
done

# Each message that was handed in has exactly one outcome.
count() { sed -n "s/^ *\([0-9,]*\)  $1.*/\1/p" "$out" | tr -d ,; }
handed=$(sed -n 's/^demo: .* \([0-9,]*\) messages handed in$/\1/p' "$out" | tr -d ,)
[[ -n $handed && $handed -gt 0 ]] || fail "no summary"
held=$(count 'still held') unanswered=$(count 'without an answer')
ends=$(($(count delivered) + $(count 'ended by a notice') + $(count refused) + ${held:-0} + ${unanswered:-0}))
[[ $ends -eq $handed ]] || fail "$ends ends of $handed messages"
[[ $(count twice) -eq 0 ]] || fail "some took effect twice"
if grep -qE 'LOST|DO NOT ADD UP' "$out"; then fail "the books are wrong"; fi
