#!/usr/bin/env bash
# The scripts of review/4 to review/7 start the program of the deploy file only; their stand-ins
# are in lib-2/ and need no build. This checks that all is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[4-7]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/bin/meadowthread || echo "target/bin/meadowthread is not there yet: build the deploy file first"
