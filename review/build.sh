#!/usr/bin/env bash
# The cases' stand-ins are Python programs of the standard library: nothing to build but a check that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'END'
import ast, glob
for name in sorted(glob.glob('lib/*.py') + glob.glob('*/case.py')):
    ast.parse(open(name).read(), name)
END
