#!/bin/bash
# Builds every stand-in that the scripts of review/4 to review/8 start. They are written in Python and
# use its standard library only, so they are compiled here to show that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins-2/*.py [4-8]/case.py; do
    python3 - "$file" <<'P'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
P
done
