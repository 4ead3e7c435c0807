"""Entry point of ``python -m lentiltally`` and of the binary."""

from __future__ import annotations

import sys

from lentiltally.cli import main

if __name__ == "__main__":
    sys.exit(main())
