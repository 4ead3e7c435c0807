"""The allotments of client accounts at one of their holders."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from lentiltally.decisions.allotment_bucket import AllotmentBucket, BucketGrant
from lentiltally.decisions.allotment_shape import AllotmentShape, LimitMargin

__all__ = ["AllotmentDecision", "AllotmentRequest", "Allotments"]

# Requests are repeated, and grants returned, within a fraction of a second. A datagram
# that was held up for longer finds nothing: a repeated request is charged again.
GRANT_RETENTION_S = 5.0
MAX_GRANTS = 20_000
# An account without requests for this time takes no memory once its balance is full.
IDLE_BUCKET_S = 60.0
MAX_BUCKETS = 20_000
# Idle buckets that are looked at for each request.
IDLE_CHECKS = 2
# A caller whose request can never be granted is not invited to repeat it soon.
UNGRANTABLE_WAIT_S = 3_600.0

_GrantKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class AllotmentRequest:
    """A request for a part of an account's allotment.

    ``rate_per_s`` and ``burst`` are the whole limit in version ``config_version``.
    """

    account: str
    grant_id: str
    cost: int
    config_version: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllotmentDecision:
    """Whether a request is granted, what is left, and when to come again if not."""

    is_granted: bool
    balance: float
    wait_s: float = 0.0


class Allotments:
    """The balances of accounts and the grants of the last seconds."""

    def __init__(self, margin: LimitMargin, now_s: float) -> None:
        """Start without balances, as a holder that may have given grants before."""
        self._margin = margin
        # No grant from before this time is known; a new bucket gets no tokens for it.
        self._known_since_s = now_s
        # Ordered by last use.
        self._buckets: OrderedDict[str, AllotmentBucket] = OrderedDict()
        self._used_at_s: dict[str, float] = {}
        # Since when this process has granted from each balance without a break.
        self._holder_since_s: dict[str, float] = {}
        # Ordered by age; None stands for a return that came before its request.
        self._grants: OrderedDict[_GrantKey, tuple[BucketGrant | None, float]] = (
            OrderedDict()
        )

    @property
    def account_count(self) -> int:
        """Return the number of accounts that take memory."""
        return len(self._buckets)

    @property
    def grant_count(self) -> int:
        """Return the number of remembered grants."""
        return len(self._grants)

    def request(
        self, request: AllotmentRequest, now_s: float, holder_since_s: float = 0.0
    ) -> AllotmentDecision:
        """Decide on a request.

        Repeating a granted one confirms the grant and takes nothing, unless the grant
        was returned or has aged.
        ``holder_since_s`` is the time from which this process may give grants of the
        account, because no other holder does so in its place any more.
        """
        self._drop_expired(now_s)
        bucket = self._bucket(request, now_s, holder_since_s)
        key = request.account, request.grant_id
        known = self._grants.get(key)
        if known is not None:
            is_granted = self._confirm(key, known[0], bucket, now_s)
            return AllotmentDecision(is_granted, bucket.balance)
        cost = max(1, request.cost)
        granted = bucket.grant(cost, now_s)
        if granted is not None:
            self._remember(key, granted, now_s)
            return AllotmentDecision(True, bucket.balance)
        wait_s = UNGRANTABLE_WAIT_S
        if cost <= bucket.shape.max_cost:
            wait_s = bucket.schedule_retry(cost, now_s)
        return AllotmentDecision(False, bucket.balance, wait_s)

    def give_back(self, account: str, grant_id: str, now_s: float) -> int:
        """Take back a grant whose request has not run; return the tokens regained.

        A return may overtake its request, which is then not granted any more.
        """
        self._drop_expired(now_s)
        key = account, grant_id
        known = self._grants.get(key)
        bucket = self._buckets.get(account)
        if known is None:
            self._remember(key, None, now_s)
            return 0
        grant = known[0]
        if grant is None or bucket is None or not bucket.give_back(grant, now_s):
            return 0
        return grant.cost

    def _confirm(
        self,
        key: _GrantKey,
        grant: BucketGrant | None,
        bucket: AllotmentBucket,
        now_s: float,
    ) -> bool:
        """Return whether a known grant may be used, and remember it for longer."""
        if grant is None or not bucket.confirm(grant, now_s):
            return False
        self._grants.move_to_end(key)
        self._grants[key] = grant, now_s
        return True

    def _bucket(
        self, request: AllotmentRequest, now_s: float, holder_since_s: float
    ) -> AllotmentBucket:
        """Return the balance of an account under the newest limit known for it."""
        account = request.account
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._new_bucket(request, now_s, holder_since_s)
            self._buckets[account] = bucket
        elif holder_since_s > self._holder_since_s[account]:
            # Others have granted in its place meanwhile.
            bucket.cut(self._tokens(bucket.shape, now_s, holder_since_s), now_s)
        if request.config_version > bucket.config_version:
            bucket.set_shape(self._shape(request), request.config_version, now_s)
        self._holder_since_s[account] = holder_since_s
        self._buckets.move_to_end(account)
        self._used_at_s[account] = now_s
        while len(self._buckets) > MAX_BUCKETS:
            self._drop(next(iter(self._buckets)))
            # The dropped balance is unknown from now on.
            self._known_since_s = now_s
        return bucket

    def _new_bucket(
        self, request: AllotmentRequest, now_s: float, holder_since_s: float
    ) -> AllotmentBucket:
        """Return a bucket with the tokens since the time from which grants are known.

        The number is negative if this process may only grant from a later time on.
        """
        shape = self._shape(request)
        tokens = self._tokens(shape, now_s, holder_since_s)
        return AllotmentBucket(shape, request.config_version, tokens, now_s)

    def _tokens(
        self, shape: AllotmentShape, now_s: float, holder_since_s: float
    ) -> float:
        since_s = max(self._known_since_s, holder_since_s)
        tokens = shape.rate_per_s * (now_s - since_s)
        if now_s >= since_s:
            tokens += shape.initial_tokens
        return tokens

    def _shape(self, request: AllotmentRequest) -> AllotmentShape:
        return AllotmentShape.of(request.rate_per_s, request.burst, self._margin)

    def _remember(
        self, key: _GrantKey, grant: BucketGrant | None, now_s: float
    ) -> None:
        self._grants[key] = grant, now_s
        while len(self._grants) > MAX_GRANTS:
            self._grants.popitem(last=False)

    def _drop_expired(self, now_s: float) -> None:
        """Forget old grants, and full buckets that have not been used for a while."""
        while self._grants:
            key, (_, at_s) = next(iter(self._grants.items()))
            if now_s - at_s < GRANT_RETENTION_S:
                break
            del self._grants[key]
        for account in self._least_recently_used(IDLE_CHECKS):
            if now_s - self._used_at_s[account] < IDLE_BUCKET_S:
                break
            if self._buckets[account].is_full(now_s):
                self._drop(account)
            else:
                self._buckets.move_to_end(account)
                self._used_at_s[account] = now_s

    def _least_recently_used(self, count: int) -> Iterable[str]:
        names = iter(self._buckets)
        return [name for name, _ in zip(names, range(count), strict=False)]

    def _drop(self, account: str) -> None:
        del self._buckets[account]
        del self._used_at_s[account]
        del self._holder_since_s[account]
