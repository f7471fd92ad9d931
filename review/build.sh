#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python modules, so
# this only compiles them. Run after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review
