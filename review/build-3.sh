#!/bin/sh
# Builds what the cases 11 to 15 start besides the hosts: the stand-ins are
# Python and need nothing but what the deploy file's build has put into
# target/deps, so this only checks that they can be imported.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review/common-3" \
    python3 -c 'import failover, memory, servers, world'
