#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: they are Python and need only its standard library, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in standins_3.py 1[1-5]/case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
