"""A caller's request and a target's answer as the direct path sees them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AdapterRef", "AnswerHead", "CallerRequest", "LoadReport", "TargetSend"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class AdapterRef:
    """The model that a request needs; ``adapter`` is empty for the base model."""

    model: str
    adapter: str

    @property
    def key(self) -> str:
        """Return one string for both, as agents and entries exchange it."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received; ``headers`` are those to pass on unchanged.

    ``timeout_s`` is how long the caller waits, None if it did not say.
    ``last_event_id`` is the event after which the caller wants a stream to go on.
    """

    request_id: str
    method: bytes
    path: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_s: float
    timeout_s: float | None
    adapter: AdapterRef | None
    prompt_tokens: int
    last_event_id: int | None

    @property
    def route_path(self) -> str:
        """Return the path without the query, for matching routes."""
        return self.path.split(b"?", 1)[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class TargetSend:
    """What the system itself says to a target with one send of a request."""

    target_id: str
    left_s: float
    urgency: int | None = None
    adapter_version: int | None = None
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target tells with an answer.

    ``slowness`` is how long work takes at present, 1.0 as usual.
    """

    running: int
    waiting: int
    concurrency_limit: int
    slowness: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a target's answer.

    ``proof`` is the target's signature, None if the answer has none. ``did_not_run`` is
    set only where the target itself says that it has not run the request.
    """

    status: int
    request_id: str | None
    proof: str | None
    did_not_run: bool
    is_other_target: bool
    is_encoded: bool
    is_closing: bool
    keep_alive_s: float | None
    load: LoadReport | None
    headers: Headers
