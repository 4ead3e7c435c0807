"""What travels through the filters: a caller's request, and the answer to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Protocol

import msgspec

JSON = "application/json"


class CallerRequest(msgspec.Struct, frozen=True):
    """An HTTP request as it arrived; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    received_s: float


class Work(msgspec.Struct, frozen=True):
    """What a request asks for, as resolved against the configuration.

    ``adapter`` is the adapter of a model request or the service of a service call.
    ``targets`` lists the targets of a service; it is empty for model requests, which
    run on any engine with ``base_model``. ``is_keyed`` says that the configuration
    declares the work non-idempotent; ``is_idempotent`` says that it may run again.
    """

    kind: str
    team: str
    adapter: str
    version: str
    source: str
    base_model: str
    targets: tuple[str, ...]
    path: str
    stream: bool
    is_idempotent: bool
    is_keyed: bool
    criticality: int
    share: float
    max_concurrent: int
    deadline_s: float
    config_offset: int
    max_tokens: int
    prefix_hash: int


class Exchange(msgspec.Struct, frozen=True):
    """One request on its way through the pipeline; filters copy it to change it."""

    request: CallerRequest
    request_id: str
    document: dict[str, Any] | None = None
    work: Work | None = None
    body: bytes = b""
    fingerprint: str = ""
    is_suspect: bool = False
    key: str = ""
    claim_id: str = ""
    bound_target: str = ""
    bound_incarnation: str = ""

    def resolved(self) -> Work:
        """Return the resolved work; only for filters behind the resolve filter."""
        assert self.work is not None
        return self.work


class Answer(msgspec.Struct, frozen=True):
    """The answer to a caller: one body, or an iterator over the parts of a stream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterator[bytes]


Handler = Callable[[Exchange], Answer]


class Filter(Protocol):
    """One step of the pipeline."""

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Answer the exchange, in most cases by passing it on to ``next_handler``.

        Raises Refusal if the request is not to be served.
        """
        ...


def pipeline(filters: tuple[Filter, ...], last: Handler) -> Handler:
    """Return the handler that passes an exchange through the filters, in order."""
    handler = last
    for current in reversed(filters):
        handler = _bind(current, handler)
    return handler


def _bind(current: Filter, next_handler: Handler) -> Handler:
    return lambda exchange: current(exchange, next_handler)
