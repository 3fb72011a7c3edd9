#!/bin/bash
# Checks format and lint, then builds with warnings as errors and runs all tests, without and with sanitizers.
# The tests that KNOWN-RED.txt names are run separately, and their failure does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=()
while IFS='|' read -r test cause issue; do
  [[ $test == \#* || -z ${test// /} ]] && continue
  known_red+=("${test// /}")
  echo "known red: ${test// /}:$cause(issue${issue})"
done <KNOWN-RED.txt
known_red_pattern=$(printf '%s\n' "${known_red[@]}" | sed 's/[.]/\\./g' | paste -sd'|')

# Prints a phase's name and how long the run has taken so far.
phase() {
  printf '== %s at %d:%02d\n' "$1" $((SECONDS / 60)) $((SECONDS % 60))
}

if command -v ccache >/dev/null; then
  export CMAKE_CXX_COMPILER_LAUNCHER=ccache
  export CCACHE_BASEDIR=$PWD  # shares cache entries between checkouts in different folders
fi

phase lint
tools/lint/run.sh
for sanitize in OFF ON; do
  phase "build, sanitizers $sanitize"
  dir=build-test-$sanitize
  cmake -B "$dir" -DCMAKE_BUILD_TYPE=Release -DHERONVANE_TESTS=ON -DHERONVANE_WERROR=ON \
    -DHERONVANE_SANITIZE=$sanitize >/dev/null
  cmake --build "$dir" -j "$(nproc)"
  phase "tests, sanitizers $sanitize"
  if ((${#known_red[@]})); then
    ctest --test-dir "$dir" -R "^($known_red_pattern)\$" -j "$(nproc)" || echo "known red tests failed, as listed"
    ctest --test-dir "$dir" -E "^($known_red_pattern)\$" --output-on-failure -j "$(nproc)"
  else
    ctest --test-dir "$dir" --output-on-failure -j "$(nproc)"
  fi
done
phase end
