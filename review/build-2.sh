#!/bin/sh
# After the build of the deploy file. The stand-ins of the cases 6 to 9 are Python (its standard library alone, in lib-2): there is
# nothing to compile. Checks that the program and the interpreter are there.
cd "$(dirname "$0")/.." || exit 1
test -x build/heronvane || { echo "build/heronvane is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
python3 -B -c 'import asyncio, ctypes, json' || { echo "python3 is missing" >&2; exit 1; }
for file in review/lib-2/*.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
