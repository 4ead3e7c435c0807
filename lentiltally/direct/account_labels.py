"""Names of client accounts as labels of metrics, bounded in number."""

from __future__ import annotations

__all__ = ["AccountLabels"]

# Each label costs memory and a line of the page; there may be 100,000 accounts.
MAX_LABELS = 64
OTHER_LABEL = "other"


class AccountLabels:
    """Gives the first accounts of a process a label each, all others share one."""

    def __init__(self) -> None:
        """Start without labels."""
        self._names: set[str] = set()

    def label(self, account: str) -> str:
        """Return the label of an account."""
        if account not in self._names:
            if len(self._names) >= MAX_LABELS:
                return OTHER_LABEL
            self._names.add(account)
        return account
