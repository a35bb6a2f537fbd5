#!/usr/bin/env bash
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if
# it held, 2 if it could not run. TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || { echo 'run the build of the deploy file'; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
