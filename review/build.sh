#!/bin/sh
# Builds the stand-ins that the cases start. They are Python without further
# packages, the project's own of tests/platform/soak too: they are compiled to
# check that this Python reads them, without leaving files behind.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'P'
import glob
for path in glob.glob("review/**/*.py", recursive=True) + \
        glob.glob("tests/platform/soak/harness/*.py"):
    with open(path) as file:
        compile(file.read(), path, "exec")
P
