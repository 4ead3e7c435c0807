"""Snapshots of the configuration tree, for the log and for peers."""

from __future__ import annotations

import secrets
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from lentiltally.config._recent_decisions import Decision, RecentDecisions
from lentiltally.config.log import Log, read_range
from lentiltally.config.schema import ConfigInvalidError, convert_value, parse_path
from lentiltally.config.tree import ConfigTree, Entry, PathEntry
from lentiltally.errors import LentiltallyError

SNAPSHOT_STREAM = "config-snapshots"
FORMAT = 1
# Chunks are decoded one at a time, so that reading 100,000 adapters doesn't hold all of
# them in memory in decoded form.
CHUNK_ITEMS = 2000
MAX_CHUNK_BYTES = 64 * 1024 * 1024  # decompressed
PIECE_BYTES = 64 * 1024
PIECES_PER_APPEND = 8
SCAN_PAGE_RECORDS = 64


class SnapshotError(LentiltallyError):
    """Data that should be a snapshot can't be decoded."""


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The encoded form of a tree.

    ``entries`` and ``decisions`` are lists of chunks. A chunk is a MessagePack list,
    compressed with zlib: of (path, revision, value) in entries, and of (change id,
    offset, accepted) in decisions.
    """

    format: int
    offset: int
    entries: list[bytes]
    decisions: list[bytes]


class SnapshotPiece(msgspec.Struct, frozen=True):
    """One record on the stream ``config-snapshots``: a part of an encoded snapshot.

    Pieces of several snapshots may be interleaved; ``snapshot_id`` tells them apart.
    ``offset`` is that of the tree; ``index`` counts from 0 to ``total`` - 1.
    """

    snapshot_id: str
    offset: int
    index: int
    total: int
    data: bytes


def encode_snapshot(tree: ConfigTree) -> bytes:
    """Return the encoded tree, with its offset and its recent decisions."""
    entries = (
        (path_entry.path, path_entry.entry.revision, path_entry.entry.value)
        for path_entry in tree.items()
    )
    decisions = (
        (change_id, decision.offset, decision.accepted)
        for change_id, decision in tree.decisions.items(tree.offset)
    )
    chunks = [list(_pack_chunks(items)) for items in (entries, decisions)]
    return msgspec.msgpack.encode(_Snapshot(FORMAT, tree.offset, *chunks))


def decode_snapshot(data: bytes) -> ConfigTree:
    """Return the decoded tree; raises SnapshotError if the data is malformed."""
    try:
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        if snapshot.format != FORMAT:
            raise SnapshotError(
                f"unsupported snapshot format {snapshot.format}, expected {FORMAT}",
                step="snapshot",
            )
        decisions = RecentDecisions.from_items(
            (change_id, Decision(offset, accepted))
            for change_id, offset, accepted in _unpack_chunks(
                snapshot.decisions, tuple[str, int, bool]
            )
        )
        entries = _unpack_chunks(snapshot.entries, tuple[str, int, dict[str, Any]])
        return ConfigTree.from_entries(
            snapshot.offset, (_to_entry(*entry) for entry in entries), decisions
        )
    except (msgspec.DecodeError, ConfigInvalidError, zlib.error, ValueError) as error:
        raise SnapshotError(f"malformed snapshot: {error}", step="snapshot") from error


def write_snapshot(log: Log, tree: ConfigTree) -> None:
    """Append a snapshot in pieces; raises LogUnavailable or LogAnswerLost.

    After either, the log may hold some of the pieces; readers ignore incomplete
    snapshots.
    """
    data = encode_snapshot(tree)
    snapshot_id = secrets.token_hex(8)
    starts = range(0, len(data), PIECE_BYTES)
    pieces = [
        SnapshotPiece(
            snapshot_id,
            tree.offset,
            index,
            len(starts),
            data[start : start + PIECE_BYTES],
        )
        for index, start in enumerate(starts)
    ]
    for first in range(0, len(pieces), PIECES_PER_APPEND):
        log.append(SNAPSHOT_STREAM, pieces[first : first + PIECES_PER_APPEND])


def read_newest_snapshot(log: Log) -> ConfigTree | None:
    """Return the tree of the newest complete snapshot on the log, or None.

    Scans the stream backwards. Raises LogUnavailable, and LogTruncated if retention
    removes records meanwhile.
    """
    bounds = log.bounds(SNAPSHOT_STREAM)
    pieces: dict[str, dict[int, SnapshotPiece]] = {}
    end = bounds.next_offset
    while end > bounds.first_offset:
        start = max(bounds.first_offset, end - SCAN_PAGE_RECORDS)
        for record in read_range(log, SNAPSHOT_STREAM, start, end):
            piece = _decode_piece(record.value)
            if piece is not None:
                pieces.setdefault(piece.snapshot_id, {})[piece.index] = piece
        tree = _decode_newest_complete(pieces)
        if tree is not None:
            return tree
        end = start
    return None


def newest_piece(log: Log) -> tuple[SnapshotPiece, int] | None:
    """Return the last piece on the log, and its append time in ms since the epoch.

    Returns None if the stream is empty or its last record is no piece.
    """
    bounds = log.bounds(SNAPSHOT_STREAM)
    last = bounds.next_offset - 1
    if last < bounds.first_offset:
        return None
    for record in read_range(log, SNAPSHOT_STREAM, last, last + 1):
        piece = _decode_piece(record.value)
        if piece is not None:
            return piece, record.time_ms
    return None


def _decode_newest_complete(
    pieces: dict[str, dict[int, SnapshotPiece]],
) -> ConfigTree | None:
    """Decode the complete snapshot with the highest offset; drop undecodable ones."""
    complete = [
        found for found in pieces.values() if len(found) == found[min(found)].total
    ]
    for found in sorted(complete, key=lambda found: found[0].offset, reverse=True):
        data = b"".join(found[index].data for index in sorted(found))
        try:
            return decode_snapshot(data)
        except SnapshotError:
            del pieces[found[0].snapshot_id]
    return None


def _decode_piece(data: msgspec.Raw) -> SnapshotPiece | None:
    try:
        piece = _PIECE_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return piece if 0 <= piece.index < piece.total else None


def _to_entry(path: str, revision: int, value: dict[str, Any]) -> PathEntry:
    return PathEntry(path, Entry(convert_value(parse_path(path), value), revision))


def _pack_chunks(items: Iterable[Any]) -> Iterator[bytes]:
    chunk = []
    for item in items:
        chunk.append(item)
        if len(chunk) == CHUNK_ITEMS:
            yield zlib.compress(msgspec.msgpack.encode(chunk), 1)
            chunk = []
    if chunk:
        yield zlib.compress(msgspec.msgpack.encode(chunk), 1)


def _unpack_chunks(chunks: list[bytes], item_type: Any) -> Iterator[Any]:
    decoder = msgspec.msgpack.Decoder(list[item_type])
    for chunk in chunks:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(chunk, MAX_CHUNK_BYTES)
        if not decompressor.eof:
            raise ValueError(
                f"chunk is truncated or decompresses to over {MAX_CHUNK_BYTES} bytes"
            )
        yield from decoder.decode(data)


_PIECE_DECODER = msgspec.json.Decoder(SnapshotPiece)
