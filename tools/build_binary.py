"""Write ``dist/lentiltally``, a zip application of the package and its dependencies.

The build is reproducible: the same sources, dependencies and zlib give the same bytes.
Entries are sorted, times are fixed, and code is marshalled without references between
objects, because the flags of references depend on reference counts.
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
# The earliest time that a zip file can store.
ENTRY_TIME: Final = (1980, 1, 1, 0, 0, 0)
NATIVE_LIST: Final = "native-modules.txt"
# The last version of the marshal format without references between objects.
_MARSHAL_VERSION: Final = 2
# Fixed part of a local file header (zip specification, 4.3.7).
_LOCAL_HEADER_BYTES: Final = 30
_UNCHECKED_HASH: Final = 0b01
_EXCLUDED_SUFFIXES: Final = (".pyi", ".pyc", ".h", ".cfg", ".typed", ".pth")
_REQUIREMENT = re.compile(r"\s*([A-Za-z0-9._-]+)[^;]*(;.*)?")


class BuildError(Exception):
    """The binary can't be built from the installed packages."""


def main() -> int:
    """Write the binary and print its size."""
    size_bytes = build(OUTPUT)
    print(f"{OUTPUT.relative_to(ROOT)}: {size_bytes} bytes")
    return 0


def build(output: Path) -> int:
    """Write the binary to a path and return its size in bytes."""
    output.parent.mkdir(parents=True, exist_ok=True)
    temporary = output.with_name(output.name + ".unfinished")
    with temporary.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w") as archive:
            native = [_add_native(archive, *member) for member in native_modules()]
            _add(archive, NATIVE_LIST, "\n".join(native).encode())
            for member in members():
                _add(archive, *member)
    temporary.chmod(0o755)
    temporary.replace(output)
    return output.stat().st_size


def members() -> list[tuple[str, bytes]]:
    """Return name and content of all entries except extension modules, sorted."""
    entries = {"__main__.py": (ROOT / "tools" / "binary_bootstrap.py").read_bytes()}
    files = _runtime_files()
    for name, path in files.items():
        if name.endswith(".py"):
            entries[f"{name}c"] = _compile_module(path.read_bytes(), name)
        elif not name.endswith(".so"):
            entries[name] = path.read_bytes()
    # zipimport finds a package without __init__ only if its folder has an entry.
    entries.update({f"{folder}/": b"" for folder in _namespace_folders(files)})
    return sorted(entries.items())


def native_modules() -> list[tuple[str, bytes]]:
    """Return name and content of all extension modules, sorted."""
    return sorted(
        (name, path.read_bytes())
        for name, path in _runtime_files().items()
        if name.endswith(".so")
    )


def _runtime_files() -> dict[str, Path]:
    files = dict(_package_files(ROOT / "lentiltally"))
    for distribution in runtime_distributions():
        files.update(_distribution_files(distribution))
    return files


def runtime_distributions() -> list[str]:
    """Return the names of the direct and indirect dependencies.

    Raises BuildError if one is not installed, or not in the version of the lock file.
    """
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    locked = _locked_versions()
    found: dict[str, str] = {}
    pending = list(project["dependencies"])
    while pending:
        match = _REQUIREMENT.match(pending.pop())
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
            raise BuildError(
                f"{name} {distribution.version} installed, {locked.get(name)} locked"
            )
        found[name] = distribution.version
        pending.extend(distribution.requires or [])
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
        if name.suffix not in _EXCLUDED_SUFFIXES:
            yield str(name), Path(str(file.locate()))


def _compile_module(source: bytes, name: str) -> bytes:
    """Return the bytes of a .pyc file that works without its source file."""
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    header = importlib.util.MAGIC_NUMBER + _UNCHECKED_HASH.to_bytes(4, "little")
    digest = importlib.util.source_hash(source)
    return header + digest + marshal.dumps(code, _MARSHAL_VERSION)


def _module_name(name: str) -> str:
    return name.replace("/", ".").split(".cpython-")[0].split(".abi3")[0]


def _namespace_folders(files: dict[str, Path]) -> set[str]:
    folders = {str(parent) for name in files for parent in PurePosixPath(name).parents}
    return {f for f in folders if f != "." and f"{f}/__init__.py" not in files}


def _add(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    archive.writestr(_zip_entry(name, zipfile.ZIP_DEFLATED), content, compresslevel=9)


def _add_native(archive: zipfile.ZipFile, name: str, content: bytes) -> str:
    """Store an extension module uncompressed; return its name, offset and size.

    The start code lets the kernel copy these bytes from the file into memory.
    """
    archive.writestr(_zip_entry(name, zipfile.ZIP_STORED), content)
    header_offset = archive.getinfo(name).header_offset
    offset = header_offset + _LOCAL_HEADER_BYTES + len(name.encode())
    return f"{_module_name(name)} {offset} {len(content)}"


def _zip_entry(name: str, compression: int) -> zipfile.ZipInfo:
    entry = zipfile.ZipInfo(name, ENTRY_TIME)
    entry.create_system = 3
    entry.external_attr = (0o40755 if name.endswith("/") else 0o100644) << 16
    entry.compress_type = compression
    return entry


if __name__ == "__main__":
    sys.exit(main())
