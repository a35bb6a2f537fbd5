#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing has to be
# built. Checks that they can be read, and that the deploy file's build ran.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first'; exit 2; }
exec python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text())
'
