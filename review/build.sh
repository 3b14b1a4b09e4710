#!/usr/bin/env bash
# The stand-ins are plain Python files: compiling them shows that they can be started.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path().glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
PYTHON
