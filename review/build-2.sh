#!/usr/bin/env bash
# Prepares what the scripts of the second review start beside the programs of the deploy file. Their stand-ins are Python and need no
# build: this checks that they can be run. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11) and "Python 3.11 or later is needed")'
python3 - common-2/*.py [6-9]/case.py 10/case.py <<'PY'
import ast, pathlib, sys
for path in sys.argv[1:]:
    if pathlib.Path(path).exists():
        ast.parse(pathlib.Path(path).read_text(), path)
PY
