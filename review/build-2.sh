#!/bin/sh
# Builds what the cases 6 to 10 start besides the front node: their stand-ins, which need Python's standard library alone.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo 'run the build of deploy/balancer.toml first'; exit 2; }
for script in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
  .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script" || exit 2
done
