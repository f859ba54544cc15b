#!/bin/sh
# The stand-ins of the cases are plain Python without dependencies: check that they compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
