"""Start code of the binary, which the build stores in it as ``__main__.py``.

It is the only module stored as source, so that any interpreter can run it and print
which version is required. Nothing is unpacked to disk: extension modules are loaded
from anonymous files in memory.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.machinery import ModuleSpec
    from types import ModuleType

REQUIRED_PYTHON = (3, 11)
_DESCRIPTOR_FOLDER = "/proc/self/fd"


def start() -> int:
    """Set up imports from the archive and run the command line."""
    if sys.version_info[:2] != REQUIRED_PYTHON or sys.platform != "linux":
        required = ".".join(map(str, REQUIRED_PYTHON))
        print(
            f"lentiltally: start this file with Python {required} on Linux",
            file=sys.stderr,
        )
        return 1
    prepare(sys.path[0])
    from lentiltally.cli import main  # noqa: PLC0415

    return main()


def prepare(path: str) -> None:
    """Restrict further imports to the archive and the standard library.

    The archive is addressed by an open descriptor, because modules are imported after
    the start too and must come from the same build if the file is replaced meanwhile.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    archive = f"{_DESCRIPTOR_FOLDER}/{descriptor}"
    library = os.path.dirname(os.__file__)  # noqa: PTH120
    library_zip = "python{}{}.zip".format(*sys.version_info)
    standard_library = [
        folder
        for folder in sys.path
        if folder == library or folder.endswith(("lib-dynload", library_zip))
    ]
    sys.path[:] = [archive, *standard_library]
    sys.meta_path.insert(0, _NativeFinder(archive, descriptor))


class _NativeFinder:
    """Loads the extension modules of the archive from anonymous files in memory."""

    def __init__(self, archive: str, descriptor: int) -> None:
        from zipimport import zipimporter  # noqa: PLC0415

        self._archive_descriptor = descriptor
        lines = zipimporter(archive).get_data("native-modules.txt").decode()
        self._locations = {
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
        location_in_archive = self._locations.get(name)
        if location_in_archive is None:
            return None
        from importlib.machinery import ExtensionFileLoader  # noqa: PLC0415
        from importlib.util import spec_from_file_location  # noqa: PLC0415

        # The descriptor stays open. If it were closed, its number would be reused, and
        # the dynamic linker takes a second library under the same path for the first.
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        self._copy(descriptor, *location_in_archive)
        location = f"{_DESCRIPTOR_FOLDER}/{descriptor}"
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)

    def _copy(self, descriptor: int, offset: int, size_bytes: int) -> None:
        """Copy within the kernel; a copy through the heap would stay resident."""
        end = offset + size_bytes
        while offset < end:
            sent = os.sendfile(
                descriptor, self._archive_descriptor, offset, end - offset
            )
            if not sent:
                raise ImportError(
                    "binary truncated: it ends within an extension module"
                )
            offset += sent


if __name__ == "__main__":
    sys.exit(start())
