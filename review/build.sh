#!/bin/sh
# Builds the stand-ins of the cases. They are Python modules, so this compiles them into a temporary folder as a check.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import py_compile
import sys
import tempfile

if sys.version_info < (3, 11):
    sys.exit("review/build.sh: Python 3.11 or newer is needed, as Debian 12 has it")
with tempfile.TemporaryDirectory() as folder:
    for path in sorted(pathlib.Path(".").glob("*/*.py")):
        py_compile.compile(str(path), cfile=f"{folder}/out.pyc", doraise=True)
print("review: stand-ins are in order")
PYTHON
