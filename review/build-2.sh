#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python programs that use
# the standard library alone, so that compiling them shows all that can be missing.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/harness_2.py review/[6-9]/case.py review/10/case.py
