#!/bin/sh
# Builds what the cases start beside the hosts. Their stand-ins and clients are scripts for Python 3.11
# or later that use the standard library only, so they are only compiled, as a check.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in glob.glob("standins/*.py") + glob.glob("*/case.py"):
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
