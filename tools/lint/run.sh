#!/bin/bash
# Checks format and lint of the C++ code.
#   tools/lint/run.sh            the whole tree; files under pending.txt are formatted, but not linted
#   tools/lint/run.sh PATH...    these files, or all files of these folders, whether pending or not
# JOBS: how many run at once (default: all cores). LINT_CACHE: the folder of kept results (default: beside ccache's).
# Exit status: 0 clean, 1 findings.
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly pending_list=tools/lint/pending.txt
readonly build=build-lint
readonly product_folders=(src include adapter wire relay tools standins lab fleet cli)
jobs=${JOBS:-$(nproc)}

default_cache() {
  if command -v ccache >/dev/null; then
    echo "$(ccache --get-config cache_dir)/lint"
  else
    echo "$build/cache"
  fi
}

# Lists the C++ files under the given paths, those that are not committed yet, too.
cpp_files() {
  git ls-files --cached --others --exclude-standard -- "$@" | grep -E '\.(cpp|hpp)$' | sort -u |
    while read -r file; do [[ -e $file ]] && echo "$file"; done || true
}

pending_paths() {
  grep -vE '^[[:space:]]*(#|$)' "$pending_list" || true
}

# Reads file names and drops those that begin with a pending path.
without_pending() {
  awk 'NR == FNR { pending[$0]; next } { for (path in pending) if (index($0, path) == 1) next; print }' \
    <(pending_paths) -
}

check_format() {
  cpp_files "$@" | xargs -r -n 32 -P "$jobs" clang-format --dry-run -Werror
}

# A NOLINT names its check and its reason: NOLINT(check-name): reason.
check_suppressions() {
  local files unexplained
  mapfile -t files < <(cpp_files "$@")
  ((${#files[@]})) || return 0
  unexplained=$(grep -nH 'NOLINT' "${files[@]}" |
    grep -vE 'NOLINT(NEXTLINE|BEGIN)?\([a-zA-Z0-9.,-]+\): [^ ]|NOLINTEND\([a-zA-Z0-9.,-]+\)' || true)
  [[ -z $unexplained ]] || {
    printf '%s\n' "$unexplained" "lint: a NOLINT names its check and its reason: NOLINT(check-name): reason" >&2
    return 1
  }
}

# A path that no file begins with has been cleaned up or moved, and leaves the list.
check_pending() {
  local path
  while read -r path; do
    compgen -G "$path*" >/dev/null || { echo "lint: $pending_list names $path, which is gone" >&2; return 1; }
  done < <(pending_paths)
}

configure() {
  local log
  log=$(cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON -DHERONVANE_TESTS=ON 2>&1) ||
    { printf '%s\n' "$log" >&2; return 1; }
}

check_tidy() {
  (($#)) || return 0
  configure || return 1
  python3 tools/lint/tidy.py --build "$build" --cache "${LINT_CACHE:-$(default_cache)}" --jobs "$jobs" "$@"
}

status=0
if (($#)); then
  check_format "$@" || status=1
  check_suppressions "$@" || status=1
  mapfile -t files < <(cpp_files "$@" | grep -E "^($(IFS='|'; echo "${product_folders[*]}"))/" || true)
else
  echo "not linted yet (only removed from, never added to):"
  pending_paths | sed 's/^/  /'
  check_pending || status=1
  check_format . || status=1
  check_suppressions "${product_folders[@]}" || status=1
  mapfile -t files < <(cpp_files "${product_folders[@]}" | without_pending)
fi
check_tidy "${files[@]}" || status=1
exit $status
