#!/usr/bin/env bash
# The stand-ins are Python without dependencies and need no build: checks that this machine's Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast, pathlib, sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text())
END
