"""What the scripts of the review share: processes, settings, clients, records.

The package ``standins`` is entered without its ``__init__``: that imports stand-ins
which need libraries that the build of the deploy file does not install.
"""

import sys
import types
from pathlib import Path

_standins = types.ModuleType("standins")
_standins.__path__ = [str(Path(__file__).resolve().parents[2] / "standins")]
sys.modules.setdefault("standins", _standins)
