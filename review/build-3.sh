#!/usr/bin/env bash
# The stand-ins of the third review are Python modules; this checks that they load with
# what the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review python3 -c "import harness_3"
for case in review/1[1-5]/case.py; do
    if [ -e "$case" ]; then
        PYTHONPATH=target/deps:. python3 -m py_compile "$case"
    fi
done
