#!/bin/sh
# Many long answers that come slowly. TROUBLE=0: they come at once. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
