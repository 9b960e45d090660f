#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can start: they are Python programs that use only the standard
# library, so nothing is compiled.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; assert sys.version_info >= (3, 9)' || exit 1
for program in common/standin.py [1-5]/case.py; do
    [ -f "$program" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program" || exit 1
done
