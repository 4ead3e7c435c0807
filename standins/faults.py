"""Fault switches that every stand-in takes at ``PUT /faults``."""

from __future__ import annotations

import threading

import msgspec

#: These fields start an action when they are set to true, and are not kept.
ACTIONS = frozenset({"silent_connections", "restart_empty"})


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The values of all switches; an update replaces the fields that it names.

    ``lose_answers`` counts the next requests that take effect and whose connection
    is then closed without an answer. Reads are counted only if ``lose_path`` (a
    path prefix) is set, so that background polls don't use up the count.
    """

    delay_s: float = 0.0
    lose_answers: int = 0
    lose_path: str = ""
    silent_connections: bool = False
    restart_empty: bool = False
    crash_on: str = ""
    slow_factor: float = 1.0
    down: bool = False
    fail_loads: int = 0
    base_model_fallback: bool = False


class Faults:
    """The switches of one stand-in, safe to use from several threads."""

    def __init__(self) -> None:
        """Start with every fault off."""
        self._lock = threading.Lock()
        self._switches = FaultSwitches()

    @property
    def switches(self) -> FaultSwitches:
        """Return the current values."""
        return self._switches

    def update(self, patch: bytes) -> FaultSwitches:
        """Apply a partial update in JSON and return it merged, with its actions.

        Raises msgspec.MsgspecError if a name or a type is wrong.
        """
        named = msgspec.json.decode(patch, type=dict[str, object])
        with self._lock:
            values = msgspec.to_builtins(self._switches) | named
            merged = msgspec.convert(values, FaultSwitches)
            self._switches = msgspec.structs.replace(
                merged, **dict.fromkeys(ACTIONS, False)
            )
        return merged

    def take_lost_answer(self, method: str, path: str) -> bool:
        """Return whether the answer of this request is to be lost, and count it."""
        if not self._switches.lose_answers:
            return False
        with self._lock:
            switches = self._switches
            if switches.lose_path:
                hit = path.startswith(switches.lose_path)
            else:
                hit = method != "GET"
            return hit and self._count_down("lose_answers")

    def take_failed_load(self) -> bool:
        """Return whether this adapter load is to fail, and count it."""
        with self._lock:
            return self._count_down("fail_loads")

    def _count_down(self, field: str) -> bool:
        left = getattr(self._switches, field)
        if left > 0:
            self._switches = msgspec.structs.replace(
                self._switches, **{field: left - 1}
            )
        return bool(left > 0)
