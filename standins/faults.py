"""Fault switches that every stand-in accepts at ``PUT /faults``."""

from __future__ import annotations

import threading

import msgspec

#: Setting one of these to true starts an action once; the value is not stored.
ONE_TIME_ACTIONS = frozenset({"silent_connections", "restart_empty"})


class FaultSwitches(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The values of all switches; an update replaces only the fields that it contains.

    ``lose_answers`` is how many of the next requests are executed and then get their
    connection closed without an answer. GET requests are counted only if
    ``lose_path`` (a path prefix) is set, so that background polls don't use up the
    count. ``fail_loads`` is how many of the next adapter loads fail. README.md
    describes the others.
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
        """Apply a partial update in JSON; return all values, including the actions.

        Raises msgspec.MsgspecError if a name or a type is wrong.
        """
        changes = msgspec.json.decode(patch, type=dict[str, object])
        with self._lock:
            values = msgspec.to_builtins(self._switches) | changes
            merged = msgspec.convert(values, FaultSwitches)
            self._switches = msgspec.structs.replace(
                merged, **dict.fromkeys(ONE_TIME_ACTIONS, False)
            )
        return merged

    def take_lost_answer(self, method: str, path: str) -> bool:
        """Return whether the answer to this request is to be lost; if so, count it."""
        if not self._switches.lose_answers:
            return False
        with self._lock:
            switches = self._switches
            if switches.lose_path:
                is_counted = path.startswith(switches.lose_path)
            else:
                is_counted = method != "GET"
            return is_counted and self._count_down("lose_answers")

    def take_failed_load(self) -> bool:
        """Return whether this adapter load is to fail; if so, count it."""
        with self._lock:
            return self._count_down("fail_loads")

    def _count_down(self, field: str) -> bool:
        remaining = getattr(self._switches, field)
        if remaining > 0:
            self._switches = msgspec.structs.replace(
                self._switches, **{field: remaining - 1}
            )
        return bool(remaining > 0)
