#!/usr/bin/env bash
# The stand-ins need no compiler: they are Python programs that use the standard library only. This checks that
# they can be loaded, and that the agent has been built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
test -x ../target/release/balancer-agent
