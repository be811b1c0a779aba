#!/usr/bin/env bash
# The stand-ins are plain Python files; this compiles them, so that a mistake
# in one shows before a case is run.
set -eu
cd "$(dirname "$0")"
python3 - world.py */case.py <<'END'
import pathlib
import sys

for each in sys.argv[1:]:
    compile(pathlib.Path(each).read_text(), each, "exec")
END
