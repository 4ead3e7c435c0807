"""An immutable map with little memory per entry.

The entries are spread over a fixed number of shards by a hash of the key, and each
shard is one MessagePack map. A Python dict of small objects takes about 230 bytes per
adapter, which is 23 MB of a process's 64 MB at 100,000 adapters; a packed entry takes
its encoded length and a few bytes. A look-up decodes one shard.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec
import xxhash

# 100,000 entries give about 24 per shard, which decode in a few microseconds, and an
# empty map takes 32 KB.
SHARDS = 4096
BATCH_ITEMS = 2000

_EMPTY_SHARD = msgspec.msgpack.encode({})
_DECODER = msgspec.msgpack.Decoder(dict[str, bytes])
_ENCODER = msgspec.msgpack.Encoder()


class PackedMap:
    """A persistent map from text to bytes; changes give a new map."""

    __slots__ = ("_count", "_shards")

    def __init__(self, shards: tuple[bytes, ...], count: int) -> None:
        """Take encoded shards and the number of entries in them."""
        self._shards = shards
        self._count = count

    @classmethod
    def from_items(cls, items: Iterable[tuple[str, bytes]]) -> PackedMap:
        """Build a map at once; a later duplicate of a key wins."""
        made = cls((_EMPTY_SHARD,) * SHARDS, 0)
        remaining = iter(items)
        # Packing in batches keeps the memory needed while building near the result's.
        while batch := dict(itertools.islice(remaining, BATCH_ITEMS)):
            made = made.with_changes(batch)
        return made

    def __len__(self) -> int:
        """Return the number of entries."""
        return self._count

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        shard = self._shards[_shard_of(key)]
        return _DECODER.decode(shard).get(key) if shard != _EMPTY_SHARD else None

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Return all entries, in no particular order."""
        for shard in self._shards:
            if shard != _EMPTY_SHARD:
                yield from _DECODER.decode(shard).items()

    def with_changes(
        self,
        changes: Mapping[str, bytes | None],
        keep: Callable[[bytes], bool] | None = None,
    ) -> PackedMap:
        """Return a map with the values set, and those given as None removed.

        In the shards that are rewritten, values for which ``keep`` is false go too.
        """
        by_shard: dict[int, dict[str, bytes | None]] = {}
        for key, value in changes.items():
            by_shard.setdefault(_shard_of(key), {})[key] = value
        shards = list(self._shards)
        count = self._count
        for index, changed in by_shard.items():
            shard = _DECODER.decode(shards[index])
            count -= len(shard)
            merged = {
                key: value
                for key, value in {**shard, **changed}.items()
                if value is not None and (keep is None or keep(value))
            }
            count += len(merged)
            shards[index] = _ENCODER.encode(merged)
        return PackedMap(tuple(shards), count)


def _shard_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS
