#!/usr/bin/env bash
# The stand-ins are plain Python without dependencies: check that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
