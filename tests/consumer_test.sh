#!/bin/sh
# Usage: consumer_test.sh BUILD SOURCE WORK [FLAGS]
# Installs the build, then builds and runs a consumer of the installed package.
set -e
rm -rf "$3"
cmake --install "$1" --prefix "$3/prefix" >/dev/null
cmake -S "$2" -B "$3/build" -DCMAKE_PREFIX_PATH="$3/prefix" -DCMAKE_CXX_FLAGS="$4" >/dev/null
cmake --build "$3/build" >/dev/null
"$3/build/consumer"
