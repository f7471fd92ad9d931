#!/bin/sh
# Checks the stand-ins that the scripts of cases 6 to 10 start. They are Python
# and need no build; their libraries are those of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/common-2 \
    exec python3 -c 'import callers, fleet, servers'
