#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code 1: the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=".:target/deps" exec python3 -m review.5.case
