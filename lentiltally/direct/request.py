"""A caller's request and a target's answer, independent of header names."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["AdapterRef", "AnswerHead", "CallerRequest", "LoadReport", "TargetAttempt"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class AdapterRef:
    """The adapter that a request needs; ``adapter`` is empty for the base model."""

    model: str
    adapter: str

    @property
    def key(self) -> str:
        """Return ``model/adapter``, or the model alone, as messages and logs use it."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received; ``headers`` are those to forward unchanged.

    ``arrived_s`` is the monotonic time at which its head was complete. ``timeout_s`` is
    how long the caller waits, None if it did not say. ``adapter`` is None if the
    request names no model, ``prompt_tokens`` 0 if it names no number of tokens.
    ``last_event_id`` is the event after which the caller resumes a stream, None for a
    new stream. ``shared_parts`` are the ids of the prompt's parts that other requests
    may have too, empty if the request names none. ``output_tokens`` is the length of
    the longest answer that the request allows, None unless it names this and
    ``prompt_tokens`` validly. ``key`` is the key of a client account, None unless there
    is exactly one valid one.
    """

    request_id: str
    method: bytes
    path: bytes
    host: str
    # Headers and body may contain credentials, which belong in no log line.
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)
    arrived_s: float
    timeout_s: float | None
    adapter: AdapterRef | None
    prompt_tokens: int
    last_event_id: int | None
    shared_parts: tuple[str, ...] = ()
    output_tokens: int | None = None
    key: bytes | None = field(default=None, repr=False)

    @property
    def route_path(self) -> str:
        """Return the path without the query, for matching routes."""
        return self.path.split(b"?", 1)[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class TargetAttempt:
    """Values for the headers that the entry adds to one attempt at a target.

    ``target_id`` lets a target reject a request that is meant for another one at its
    address. ``left_s`` is the time to the request's deadline. A lower ``priority`` is
    more urgent; None sends none. ``adapter_version`` is the version that the target
    must have loaded, None for no check. ``resume_after`` is the id of the last event
    that the caller has received, None for a new answer. ``account`` is the name of the
    caller's client account, empty if it has none. With ``hides_key``, the target gets
    no key of a caller, and no name of an account but this one.
    """

    target_id: str
    left_s: float
    priority: int | None = None
    adapter_version: int | None = None
    resume_after: int | None = None
    account: str = ""
    hides_key: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reports with an answer.

    ``running`` and ``waiting`` count requests. ``slowness`` is the service time at
    present relative to the usual one.
    """

    running: int
    waiting: int
    concurrency_limit: int
    slowness: float


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a target's answer.

    ``is_leaving`` says that the target is about to end. ``pause_s`` is for how long a
    target that rejects the request wants no work, None if it does not say, and
    ``unread_pause`` the text of a pause that could not be read. ``rate_limit_per_s`` is
    how many requests a second the target takes from all hosts together, None if it
    names no limit, and ``unread_limit`` the text of a limit that could not be read.

    ``signature`` is None if the target did not sign the answer. ``did_not_run`` is set
    only where the target itself says that it has not run the request, and
    ``is_misdirected`` for status 421: another target listens at the address now.
    ``media_type`` is the type of the body without parameters, in lower case, empty if
    the target does not say. ``is_encoded`` says that the body has a content encoding,
    ``is_closing`` that the target closes the connection after the answer.
    ``keep_alive_s`` is how long the target keeps an idle connection open, None if it
    does not say. ``headers`` are those for the caller.
    """

    status: int
    request_id: str | None
    signature: str | None
    did_not_run: bool
    is_misdirected: bool
    media_type: bytes
    is_encoded: bool
    is_closing: bool
    keep_alive_s: float | None
    load: LoadReport | None
    headers: Headers
    is_leaving: bool = False
    pause_s: float | None = None
    unread_pause: str = ""
    rate_limit_per_s: float | None = None
    unread_limit: str = ""
