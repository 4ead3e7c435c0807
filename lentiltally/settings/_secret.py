"""The type of secret values, which must not appear in output."""

from __future__ import annotations


class Secret:
    """Secret bytes; ``str`` and ``repr`` do not reveal them."""

    __slots__ = ("_value",)

    def __init__(self, value: bytes) -> None:
        """Wrap the secret bytes."""
        self._value = value

    def reveal(self) -> bytes:
        """Return the secret bytes."""
        return self._value

    def __repr__(self) -> str:
        """Return a fixed text, whatever the value."""
        return "Secret(hidden)"

    def __reduce__(self) -> str:
        """Raise TypeError, because pickling and copying would write the value out."""
        raise TypeError("a secret can't be pickled")

    def __eq__(self, other: object) -> bool:
        """Compare by value."""
        return isinstance(other, Secret) and self._value == other._value

    def __hash__(self) -> int:
        """Hash by value."""
        return hash(self._value)
