#!/bin/sh
# Builds what the scripts of cases 11 to 15 start besides the deploy file's build. The stand-ins are in review/stand3.py and
# need nothing but Python's standard library (3.11 or later); this checks that it is there and that the files compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in stand3.py 1[1-5]/*.py; do
    [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
