#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, since they need nothing but Python itself.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
