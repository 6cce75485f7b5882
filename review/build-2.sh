#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, which are Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support
