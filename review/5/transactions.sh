#!/usr/bin/env bash
# A second script of the same rule and function, for part 1 of issue 23; same exit codes as run.sh.
cd "$(dirname "$0")" || exit 2
exec python3 transactions.py
