#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts that need the standard library
# only; this checks that each of them compiles.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
