#!/usr/bin/env bash
# The scripts of review/4 to review/6 start the program of the deploy file only; their stand-ins
# are lib-2/bed.py, which needs no build. This checks that both are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import ast, sys; ast.parse(open("review/lib-2/bed.py").read())'
test -x target/bin/meadowthread || echo "target/bin/meadowthread is not there yet: build the deploy file first"
