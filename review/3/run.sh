#!/bin/sh
# Writes record.txt beside this file. Exit status: 1 the rule was broken, 0 it
# held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo 'run the build of deploy/system.toml'; exit 2; }
exec python3 review/3/case.py
