#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and only have to compile. The
# build of the deploy file comes first and installs their libraries.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
exec python3 - <<'PYTHON'
from pathlib import Path

import review.common.client  # noqa: F401
import review.common.script  # noqa: F401

for path in sorted([*Path("review").rglob("*.py"), *Path("standins").glob("*.py")]):
    compile(path.read_bytes(), str(path), "exec")
PYTHON
