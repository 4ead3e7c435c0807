#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9. They are Python modules that need nothing
# but the standard library, so it is enough that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
folders = ["common_2", *(str(number) for number in range(6, 10))]
paths = [path for folder in folders for path in pathlib.Path(folder).glob("*.py")]
for path in paths:
    compile(path.read_text(), str(path), "exec")
print(f"{len(paths)} modules compile")
PYTHON
test -d ../target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
