"""Runs the operator's editor, the only child process that the program starts."""

from __future__ import annotations

import os
import shlex
import subprocess
import tempfile
from pathlib import Path

from lentiltally.cli._admin_client import CommandError
from lentiltally.cli._codes import ERROR, USAGE


def edit_text(text: str) -> str:
    """Return the text as edited.

    Raises CommandError if $EDITOR is not set or the editor fails.
    """
    command = shlex.split(os.environ.get("EDITOR", ""))
    if not command:
        raise CommandError("set EDITOR, or give --file", USAGE)
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "value.toml"
        path.write_text(text, encoding="utf-8")
        try:
            subprocess.run([*command, str(path)], check=True)
        except (OSError, subprocess.CalledProcessError) as error:
            raise CommandError(f"the editor failed: {error}", ERROR) from None
        return path.read_text(encoding="utf-8")
