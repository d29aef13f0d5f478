#!/bin/sh
# Prepares the stand-ins of the cases. They are Python scripts that use the standard library only (3.11 or later),
# so there is nothing to compile: this checks the interpreter and the syntax. The node comes from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
