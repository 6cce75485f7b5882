#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
