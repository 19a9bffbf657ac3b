#!/bin/sh
# Builds what the scripts of the third review start besides the deploy file's target/spancart. Their stand-ins are in
# common-3/harness.py and the case.py of each folder, in Python, which need no build: this only checks that they can run.
set -e
cd "$(dirname "$0")/.."
test -x target/spancart || { echo "target/spancart: build as the deploy file says first" >&2; exit 2; }
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else 2)'
for file in review/common-3/harness.py review/9/case.py review/10/case.py review/11/case.py review/12/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
