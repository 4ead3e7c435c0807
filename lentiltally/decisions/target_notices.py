"""What targets say of themselves in their answers, and what follows for new work.

A target that leaves says so in its answers, often before the list of targets does. A
target that rejects a request may ask to get nothing for some time. One in need names
how many requests a second it takes from all hosts together. All of this holds for the
start of the target that said it: a target that has restarted under the same id is
another one. A notice is never undone by an older record of the list.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from lentiltally.direct.model import TargetRecord

__all__ = ["TargetNotices"]

# Work returns gradually after a pause, because it ends at the same moment for all
# entries that were asked.
RETURN_S = 1.0
RETURN_INTERVAL_S = 0.1
# More than the targets of any installation, with those that have left lately.
MAX_NOTICES = 4_000


@dataclass(slots=True)
class _Notice:
    """The notices of one start of a target; ``next_at_s`` paces the return.

    ``rate_limit_per_s`` is None while the target names no limit.
    """

    started_ms: int
    is_leaving: bool = False
    paused_until_s: float = -math.inf
    next_at_s: float = -math.inf
    rate_limit_per_s: float | None = None


class TargetNotices:
    """The notices of all targets by id, as one entry received them."""

    def __init__(self) -> None:
        """Start without notices."""
        self._notices: OrderedDict[str, _Notice] = OrderedDict()

    def leaves(self, record: TargetRecord) -> bool:
        """Note that a target leaves; return whether that is news."""
        notice = self._notice(record)
        is_news = not notice.is_leaving
        notice.is_leaving = True
        return is_news

    def pauses(self, record: TargetRecord, until_s: float) -> bool:
        """Note that a target wants no work until a time; return whether it was longer.

        A shorter time than the one known does not end the pause.
        """
        notice = self._notice(record)
        is_longer = until_s > notice.paused_until_s
        if is_longer:
            notice.paused_until_s = until_s
            notice.next_at_s = until_s
        return is_longer

    def limits(self, record: TargetRecord, rate_per_s: float | None) -> bool:
        """Note the limit that a target names now, None if none.

        Return whether that is news.
        """
        if rate_per_s == self.rate_limit_per_s(record):
            return False
        self._notice(record).rate_limit_per_s = rate_per_s
        return True

    def rate_limit_per_s(self, record: TargetRecord) -> float | None:
        """Return the limit that a target has named last, None if none."""
        notice = self._known(record)
        return None if notice is None else notice.rate_limit_per_s

    def may_get_work(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether a request may be sent to a target now."""
        notice = self._known(record)
        if notice is None:
            return True
        return not notice.is_leaving and now_s >= notice.next_at_s

    def sent(self, record: TargetRecord, now_s: float) -> None:
        """Note that a request is sent, which delays the next one after a pause."""
        notice = self._known(record)
        if notice is not None and now_s < notice.paused_until_s + RETURN_S:
            notice.next_at_s = now_s + RETURN_INTERVAL_S

    def opens_in_s(self, records: Iterable[TargetRecord], now_s: float) -> float:
        """Return how long until the first of the targets takes work again.

        Returns 0 if one takes work now, or if all of them leave.
        """
        waits_s = [
            max(0.0, notice.paused_until_s - now_s) if notice else 0.0
            for record in records
            if not ((notice := self._known(record)) and notice.is_leaving)
        ]
        return min(waits_s, default=0.0)

    def closed(self, now_s: float) -> tuple[int, int]:
        """Return how many targets leave, and how many want no work now."""
        notices = self._notices.values()
        leaving = sum(notice.is_leaving for notice in notices)
        paused = sum(
            not notice.is_leaving and now_s < notice.paused_until_s
            for notice in notices
        )
        return leaving, paused

    def _known(self, record: TargetRecord) -> _Notice | None:
        notice = self._notices.get(record.target_id)
        is_same_start = notice is not None and notice.started_ms == record.started_ms
        return notice if is_same_start else None

    def _notice(self, record: TargetRecord) -> _Notice:
        """Return the notice of a target's start; one of an older start is replaced."""
        notice = self._known(record)
        if notice is None:
            notice = self._notices[record.target_id] = _Notice(record.started_ms)
        self._notices.move_to_end(record.target_id)
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return notice
