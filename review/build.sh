#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts that use only the standard library: they are checked here, not built.
set -euo pipefail
cd "$(dirname "$0")"
for script in *.py [0-9]/*.py; do
	python3 - "$script" <<'CHECK'
import ast
import sys

with open(sys.argv[1], encoding="utf-8") as script:
    ast.parse(script.read(), sys.argv[1])
CHECK
done
