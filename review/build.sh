#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library, which need no build: this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
from pathlib import Path
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
