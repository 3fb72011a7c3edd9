#!/usr/bin/env bash
# Whether two builds of the decision module decide alike, bit for bit, on seeded days.
#
#   bench/decisions/compare.sh COMMIT_A COMMIT_B [SEEDS=200] [--log-texts]
#
# WORKTREE as a commit means the working tree as it is. Exit status: 0 equal, 1 different, 2 no comparison made.
# With --log-texts the texts of log actions are compared as well, and told apart; they don't change the status.
set -euo pipefail

log_texts=
arguments=()
for argument in "$@"; do
  if [[ $argument == --log-texts ]]; then log_texts=--log-texts; else arguments+=("$argument"); fi
done
if (( ${#arguments[@]} < 2 || ${#arguments[@]} > 3 )); then
  sed -n '2,7p' "$0" >&2
  exit 2
fi
commit_a=${arguments[0]}
commit_b=${arguments[1]}
seeds=${arguments[2]:-200}
if ! [[ $seeds =~ ^[1-9][0-9]*$ ]]; then
  echo "SEEDS must be a number above 0, not '$seeds'" >&2
  exit 2
fi

readonly processes=4
program=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$program/../.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
compiler=(g++)
if command -v ccache >/dev/null; then compiler=(ccache g++); fi
export CCACHE_BASEDIR=$folder CCACHE_NOHASHDIR=1

fetch() {  # COMMIT FOLDER
  mkdir -p "$2"
  if [[ $1 == WORKTREE ]]; then
    cp -r "$root/src" "$root/include" "$2"
  else
    git -C "$root" archive "$1" src include | tar -x -C "$2"
  fi
}

build() {  # FOLDER; leaves FOLDER/decisions
  cp -r "$program" "$1/program"
  mkdir "$1/objects"
  (cd "$1" && find src program -name '*.cpp' | sort |
    xargs -P "$processes" -I{} sh -c '"$@" -c {} -o "objects/$(echo {} | tr / _).o"' compile \
      "${compiler[@]}" -std=c++20 -O2 -Iinclude -Isrc -Iprogram) || return 1
  g++ "$1"/objects/*.o -o "$1/decisions"
}

run() {  # FOLDER; leaves FOLDER/digests
  seq 1 "$seeds" | xargs -P "$processes" -I{} sh -c '"$1/decisions" $2 $2 $3 > "$1/digest.$2"' run "$1" {} \
    "$log_texts" || return 1
  for (( seed = 1; seed <= seeds; seed++ )); do cat "$1/digest.$seed"; done > "$1/digests"
}

show_difference() {  # SEED
  for side in a b; do "$folder/$side/decisions" --show "$1" > "$folder/$side/actions" || true; done
  local line
  line=$(cmp "$folder/a/actions" "$folder/b/actions" 2>&1 | sed -n 's/.*line \([0-9]*\)$/\1/p') || true
  if [[ -z $line ]]; then
    echo "one side's actions are the beginning of the other's, or only the digests differ"
    return
  fi
  echo "first different action, line $line of --show $1 (after $(head -n "$line" "$folder/a/actions" |
    grep '^round' | tail -n 1)):"
  echo "  $commit_a: $(sed -n "${line}p" "$folder/a/actions")"
  echo "  $commit_b: $(sed -n "${line}p" "$folder/b/actions")"
}

for side in a b; do
  commit=$([[ $side == a ]] && echo "$commit_a" || echo "$commit_b")
  if ! { fetch "$commit" "$folder/$side" && build "$folder/$side"; }; then
    echo "could not build $commit" >&2
    exit 2
  fi
done
for side in a b; do
  if ! run "$folder/$side"; then
    echo "the program failed on a day of side $side" >&2
    exit 2
  fi
done

decisions_of() { sed 's/ texts .*//' "$folder/$1/digests"; }
count_equal() { paste -d '|' "$1" "$2" | awk -F '|' '$1 == $2' | wc -l; }
decisions_of a > "$folder/decisions_a"
decisions_of b > "$folder/decisions_b"
equal=$(count_equal "$folder/decisions_a" "$folder/decisions_b")
echo "$equal of $seeds equal"
if [[ -n $log_texts ]]; then
  echo "$(count_equal "$folder/a/digests" "$folder/b/digests") of $seeds equal with their log texts"
fi
if (( equal == seeds )); then exit 0; fi
different=$(paste -d '|' "$folder/decisions_a" "$folder/decisions_b" | awk -F '|' '$1 != $2 { split($1, f, " ");
  print f[1]; exit }')
echo "first different seed: $different"
show_difference "$different"
exit 1
