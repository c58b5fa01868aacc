#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard
# library, the project's own in tests/platform/soak/harness included: nothing
# is to be compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'P'
import sys
sys.path.insert(0, "review/common2")
import bed  # noqa: F401
P
