"""What a request costs its client account's limit."""

from __future__ import annotations

from lentiltally.direct.model import AccountLimit, LimitUnit
from lentiltally.direct.request import CallerRequest

__all__ = ["request_cost"]


def request_cost(request: CallerRequest, limit: AccountLimit) -> int:
    """Return how much of a limit a request takes, in the unit of the limit."""
    if limit.unit is LimitUnit.REQUESTS:
        return 1
    if request.output_tokens is None:
        return limit.default_cost
    return request.prompt_tokens + request.output_tokens
