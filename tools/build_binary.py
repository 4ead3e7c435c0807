"""Writes ``dist/lentiltally``, a zip application of the package and its dependencies.

The same sources, dependencies and zlib give the same file, bit for bit: entries are
sorted, times are fixed, and code is marshalled without references, whose flags depend
on reference counts.
"""

from __future__ import annotations

import importlib.metadata
import importlib.util
import marshal
import re
import sys
import tomllib
import zipfile
from collections.abc import Iterator
from pathlib import Path, PurePosixPath
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
OUTPUT: Final = ROOT / "dist" / "lentiltally"
SHEBANG: Final = b"#!/usr/bin/env python3.11\n"
# The earliest time that a zip file can hold.
FIXED_TIME: Final = (1980, 1, 1, 0, 0, 0)
NATIVE_LIST: Final = "native-modules.txt"
# The last version of the format without references between objects.
_MARSHAL_VERSION: Final = 2
# Size of the fixed part of a local header (zip specification, 4.3.7).
_LOCAL_HEADER_BYTES: Final = 30
_UNCHECKED_HASH: Final = 0b01
_NOT_AT_RUN_TIME: Final = (".pyi", ".pyc", ".h", ".cfg", ".typed", ".pth")
_REQUIREMENT = re.compile(r"\s*([A-Za-z0-9._-]+)[^;]*(;.*)?")


class BuildError(Exception):
    """The binary can't be built from this environment."""


def main() -> int:
    """Write the binary and print its size."""
    size_bytes = build(OUTPUT)
    print(f"{OUTPUT.relative_to(ROOT)}: {size_bytes} bytes")
    return 0


def build(output: Path) -> int:
    """Write the binary to a path and return its size in bytes."""
    output.parent.mkdir(parents=True, exist_ok=True)
    unfinished = output.with_name(output.name + ".unfinished")
    with unfinished.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w") as archive:
            native = [_add_native(archive, *member) for member in native_modules()]
            _add(archive, NATIVE_LIST, "\n".join(native).encode())
            for member in members():
                _add(archive, *member)
    unfinished.chmod(0o755)
    unfinished.replace(output)
    return output.stat().st_size


def members() -> list[tuple[str, bytes]]:
    """Return name and content of every entry but the native modules, sorted."""
    entries = {"__main__.py": (ROOT / "tools" / "binary_bootstrap.py").read_bytes()}
    files = _files()
    for name, path in files.items():
        if name.endswith(".py"):
            entries[f"{name}c"] = _compiled(path.read_bytes(), name)
        elif not name.endswith(".so"):
            entries[name] = path.read_bytes()
    # zipimport finds a package without an __init__ only if its folder is an entry.
    entries.update({f"{folder}/": b"" for folder in _namespace_folders(files)})
    return sorted(entries.items())


def native_modules() -> list[tuple[str, bytes]]:
    """Return file name and content of every extension module, sorted."""
    return sorted(
        (name, path.read_bytes())
        for name, path in _files().items()
        if name.endswith(".so")
    )


def _files() -> dict[str, Path]:
    files = dict(_package_files(ROOT / "lentiltally"))
    for distribution in runtime_distributions():
        files.update(_distribution_files(distribution))
    return files


def runtime_distributions() -> list[str]:
    """Return the names of the declared dependencies and of all that they require.

    Raises BuildError if one is missing or has another version than in the lock file.
    """
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    locked = _locked_versions()
    found: dict[str, str] = {}
    waiting = list(project["dependencies"])
    while waiting:
        match = _REQUIREMENT.match(waiting.pop())
        assert match is not None
        name, marker = _canonical(match[1]), match[2] or ""
        if name in found or "extra" in marker:
            continue
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            if marker:
                continue
            raise BuildError(f"{name} is not installed; run make setup") from None
        if locked.get(name) != distribution.version:
            raise BuildError(f"{name} {distribution.version} is not the locked version")
        found[name] = distribution.version
        waiting.extend(distribution.requires or [])
    return sorted(found)


def _locked_versions() -> dict[str, str]:
    lines = (ROOT / "requirements.lock").read_text().splitlines()
    pairs = (line.split()[0].split("==") for line in lines if "==" in line[:80])
    return {_canonical(pair[0]): pair[1] for pair in pairs if len(pair) == 2}


def _canonical(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _package_files(folder: Path) -> Iterator[tuple[str, Path]]:
    for path in sorted(folder.rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            yield path.relative_to(folder.parent).as_posix(), path


def _distribution_files(distribution: str) -> Iterator[tuple[str, Path]]:
    for file in importlib.metadata.files(distribution) or []:
        name = PurePosixPath(file)
        if name.parts[0] == ".." or name.parts[0].endswith(".dist-info"):
            continue
        if {"__pycache__", "test", "tests", "__pyinstaller"} & set(name.parts):
            continue
        if name.suffix not in _NOT_AT_RUN_TIME:
            yield str(name), Path(str(file.locate()))


def _compiled(source: bytes, name: str) -> bytes:
    """Return the bytes of a .pyc file that is used without its source."""
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    head = importlib.util.MAGIC_NUMBER + _UNCHECKED_HASH.to_bytes(4, "little")
    digest = importlib.util.source_hash(source)
    return head + digest + marshal.dumps(code, _MARSHAL_VERSION)


def _module_of(name: str) -> str:
    return name.replace("/", ".").split(".cpython-")[0].split(".abi3")[0]


def _namespace_folders(files: dict[str, Path]) -> set[str]:
    folders = {str(parent) for name in files for parent in PurePosixPath(name).parents}
    return {f for f in folders if f != "." and f"{f}/__init__.py" not in files}


def _add(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    archive.writestr(_entry(name, zipfile.ZIP_DEFLATED), content, compresslevel=9)


def _add_native(archive: zipfile.ZipFile, name: str, content: bytes) -> str:
    """Store a module uncompressed and return its name, place and size.

    The start code copies it from there into memory without reading it itself.
    """
    archive.writestr(_entry(name, zipfile.ZIP_STORED), content)
    head = archive.getinfo(name).header_offset
    offset = head + _LOCAL_HEADER_BYTES + len(name.encode())
    return f"{_module_of(name)} {offset} {len(content)}"


def _entry(name: str, compression: int) -> zipfile.ZipInfo:
    entry = zipfile.ZipInfo(name, FIXED_TIME)
    entry.create_system = 3
    entry.external_attr = (0o40755 if name.endswith("/") else 0o100644) << 16
    entry.compress_type = compression
    return entry


if __name__ == "__main__":
    sys.exit(main())
