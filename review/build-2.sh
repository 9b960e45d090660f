#!/usr/bin/env bash
# Prepares what the scripts of cases 6 to 10 start. Their stand-ins are Python programs that use the
# standard library only, so there is nothing to build; this checks that they can run.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("the scripts need Python 3.9 or later")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PY
