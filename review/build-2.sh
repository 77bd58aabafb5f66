#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are Python programs that use the standard library
# alone, so nothing has to be compiled; the cases start no other stand-in.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"'
