#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 and on. They are Python programs that need
# only its standard library, so there is nothing to compile; the program that
# they start is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
for path in glob.glob("standins2/*.py") + glob.glob("[0-9]*/case.py") + glob.glob("tried-2/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
