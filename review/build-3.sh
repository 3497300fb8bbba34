#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15: Python programs without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig3.py 1[1-5]
