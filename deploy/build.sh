#!/bin/sh
# Installs the dependencies and the cassiahaven packages under target/deps and precompiles them, so
# that processes start fast.
set -eu
if [ ! -e target/libraries ] || [ deploy/requirements.txt -nt target/libraries ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch target/libraries
fi
rm -rf target/deps/cassiahaven_*
cp -r packages/cassiahaven-core/cassiahaven_core packages/cassiahaven-entry/cassiahaven_entry \
    platform/cassiahaven_platform target/deps/
python3 -m compileall -q target/deps
