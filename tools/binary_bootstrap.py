"""Start code of the binary; the build writes it into the file as ``__main__.py``.

It is the only module kept as source, so that a wrong interpreter can say what is wrong.
Nothing is unpacked: extension modules are loaded from anonymous files in memory.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.machinery import ModuleSpec
    from types import ModuleType

WANTED = (3, 11)
_FILE_FOLDER = "/proc/self/fd"


def start() -> int:
    """Prepare the imports and run the command line."""
    if sys.version_info[:2] != WANTED or sys.platform != "linux":
        wanted = ".".join(map(str, WANTED))
        print(
            f"lentiltally: start this file with Python {wanted} on Linux",
            file=sys.stderr,
        )
        return 1
    prepare(sys.path[0])
    from lentiltally.cli import main  # noqa: PLC0415

    return main()


def prepare(path: str) -> None:
    """Make all further imports come from the archive and the standard library.

    The archive is addressed by an open descriptor. Modules are imported after the start
    too, and must come from the same build if the file is replaced meanwhile.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    archive = f"{_FILE_FOLDER}/{descriptor}"
    library = os.path.dirname(os.__file__)  # noqa: PTH120
    zipped = "python{}{}.zip".format(*sys.version_info)
    kept = [
        folder
        for folder in sys.path
        if folder == library or folder.endswith(("lib-dynload", zipped))
    ]
    sys.path[:] = [archive, *kept]
    sys.meta_path.insert(0, _NativeFinder(archive, descriptor))


class _NativeFinder:
    """Finds the extension modules of the archive and loads them from memory."""

    def __init__(self, archive: str, descriptor: int) -> None:
        from zipimport import zipimporter  # noqa: PLC0415

        self._archive = descriptor
        lines = zipimporter(archive).get_data("native-modules.txt").decode()
        self._places = {
            name: (int(offset), int(size))
            for name, offset, size in map(str.split, lines.splitlines())
        }

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
        /,
    ) -> ModuleSpec | None:
        """Return the spec of an extension module, or None for any other module."""
        place = self._places.get(name)
        if place is None:
            return None
        from importlib.machinery import ExtensionFileLoader  # noqa: PLC0415
        from importlib.util import spec_from_file_location  # noqa: PLC0415

        # The descriptor stays open: the dynamic linker takes a second library under the
        # same path for the first one, and a closed number would be given out again.
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        self._copy(descriptor, *place)
        location = f"{_FILE_FOLDER}/{descriptor}"
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)

    def _copy(self, descriptor: int, offset: int, size_bytes: int) -> None:
        """Copy in the kernel; a copy by way of the heap would stay resident."""
        end = offset + size_bytes
        while offset < end:
            sent = os.sendfile(descriptor, self._archive, offset, end - offset)
            if not sent:
                raise ImportError("the file ends within an extension module")
            offset += sent


if __name__ == "__main__":
    sys.exit(start())
