#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file"; exit 2; }
# With TROUBLE=0 the case is played without its disruption; has_trouble() of the stand-ins reads it.
TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins python3 review/3/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
