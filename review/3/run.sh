#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 115 python3 case.py
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
