#!/bin/bash
# The full counts of the checker: run.sh BUILD [STATES] [WALKS]. Some 3 GB of memory for three million states.
set -euo pipefail
export HERONVANE_COPIES_STATES=${2:-3000000} HERONVANE_COPIES_WALKS=${3:-100000} HERONVANE_COPIES_SEED=1000000
exec "$1/tests/copies/heronvane_copies_tests"
