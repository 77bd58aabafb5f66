#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs that use the standard library only, so nothing is compiled.
set -eu
cd "$(dirname "$0")"
for file in support/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import asyncio, json, tomllib'
