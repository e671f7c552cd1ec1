#!/bin/sh
# Builds the stand-ins of the cases: plain Python modules beside the cases, which use the standard library alone
# and run with the interpreter that the build of the deploy file has made. Nothing is installed.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "the build of the deploy file comes first"; exit 2; }
.venv/bin/python -c 'import fennelcove.node, sys; assert sys.version_info >= (3, 11)'
for file in review/standins.py review/badclients.py review/[0-9]/case.py; do
    if [ -f "$file" ]; then
        .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
