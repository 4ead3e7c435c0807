"""The command line.

Exit codes: 0 done, 1 error, 2 wrong usage or invalid settings. The operators' commands
have further codes, see ``_admin_client``.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from lentiltally import __version__
from lentiltally.cli._codes import DONE, ERROR, USAGE

__all__ = ["DONE", "ERROR", "USAGE", "main"]

# Values of decisions.balance_mode.Balance, repeated here to save its import.
BALANCES = ("expected", "reported", "auto")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    # cappa and its imports take about 7 MB of resident memory, and a daemon may use
    # 64 MB, so the commands that run daemons are recognised without importing cappa.
    match argv:
        case ["--version" | "-v"]:
            print(f"lentiltally {__version__}")
            return DONE
        case ["entry" | "agent" as role, "--settings", path]:
            from lentiltally.cli._daemons import run_daemon  # noqa: PLC0415

            return run_daemon(role, path)
        case ["entry" | "agent" as role, option] if option.startswith("--settings="):
            from lentiltally.cli._daemons import run_daemon  # noqa: PLC0415

            return run_daemon(role, option.removeprefix("--settings="))
        case ["entry", *options] if (values := _entry_options(options)) is not None:
            from lentiltally.cli._daemons import run_daemon  # noqa: PLC0415

            return run_daemon(
                "entry", values["settings"], {"balance": values["balance"]}
            )
        case ["check", path] if not path.startswith("-"):
            from lentiltally.cli._daemons import check  # noqa: PLC0415

            return check(path)
    from lentiltally.cli._operators import run_command  # noqa: PLC0415

    return run_command(argv)


def _entry_options(options: Sequence[str]) -> dict[str, str] | None:
    """Return the values of --settings and --balance, None unless both are given."""
    words = [word for option in options for word in option.split("=", 1)]
    values = dict(zip(words[::2], words[1::2], strict=False))
    is_pair = len(words) == 4 and values.keys() == {"--settings", "--balance"}
    if not is_pair or values["--balance"] not in BALANCES:
        return None
    return {"settings": values["--settings"], "balance": values["--balance"]}
