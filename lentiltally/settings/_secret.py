"""A value that must not appear in output."""

from __future__ import annotations


class Secret:
    """Holds secret bytes; its text forms show that there is a value, not which one."""

    __slots__ = ("_value",)

    def __init__(self, value: bytes) -> None:
        """Keep the value."""
        self._value = value

    def reveal(self) -> bytes:
        """Return the value, for the code that computes with it."""
        return self._value

    def __repr__(self) -> str:
        """Return a fixed text."""
        return "Secret(hidden)"

    def __reduce__(self) -> str:
        """Refuse to be pickled or copied, because both write the value out."""
        raise TypeError("a secret can't be pickled")

    def __eq__(self, other: object) -> bool:
        """Compare by value."""
        return isinstance(other, Secret) and self._value == other._value

    def __hash__(self) -> int:
        """Hash by value."""
        return hash(self._value)
