"""The request pipeline: exchanges, answers, filters and handlers."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Protocol

import msgspec

JSON = "application/json"


class CallerRequest(msgspec.Struct, frozen=True):
    """An HTTP request as it arrived; header names are in lower case.

    ``received_s`` is the monotonic time at which the head had been read, in seconds.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    received_s: float


class Work(msgspec.Struct, frozen=True):
    """What a request asks for, as resolved against the configuration.

    ``kind`` is ``model`` or ``service``. ``adapter`` is the adapter of a model request
    or the service of a service call. ``source`` is where the weights of the adapter
    version are stored. ``targets`` lists the targets of a service; it is empty for
    model requests, which run on any engine with ``base_model``. ``is_keyed`` is true
    if the configuration declares the work non-idempotent; it then needs an idempotency
    key. ``is_idempotent`` is true if the work may run more than once. ``share`` is the
    team's weight in admission, and ``max_concurrent`` its limit of requests in flight.
    ``criticality`` is 0 (non-idempotent), 1 (interactive) or 2 (deferrable); admission
    sheds the highest numbers first. ``deadline_s`` is the time allowed from the arrival
    of the request to the end of its answer. ``config_offset`` is the log offset of the
    configuration that was used. ``prefix_hash`` identifies the start of the prompt, for
    placement on an engine that may have it cached; it is 0 for service calls.
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
    """One request in the pipeline; filters copy it to change it.

    ``document`` is the parsed JSON body of a model request, and ``body`` the bytes that
    are sent to the target. ``fingerprint`` is a hash of the content, and ``is_suspect``
    is true while that content may have crashed a target. ``key`` is the idempotency
    key, and ``claim_id`` the claim on it. ``bound_target`` and ``bound_incarnation``
    are the only target and agent incarnation that may run claimed work.
    """

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
        """Return the resolved work; only for filters after the resolve filter."""
        assert self.work is not None
        return self.work


class Answer(msgspec.Struct, frozen=True):
    """The answer to a caller; ``body`` is an iterator if the answer is a stream."""

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
