#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python without dependencies and need no build: checks that this machine's Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'END'
import ast, pathlib, sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for number in range(6, 11):
    for path in sorted(pathlib.Path(str(number)).glob("*.py")):
        ast.parse(path.read_text(encoding="utf-8"))
END
