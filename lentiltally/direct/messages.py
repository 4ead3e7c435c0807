"""Datagrams between entries and agents.

Every message fits one datagram, and datagrams may be lost or duplicated. Requests are
therefore repeated until they are answered, and each state replaces the one before it.
"""

from __future__ import annotations

import enum
import functools
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

from lentiltally.direct.message_types import Era, Quantity, RatePerS, WaitMs
from lentiltally.direct.right_messages import (
    AcquireAllotment,
    AcquirePermit,
    AllotmentAnswer,
    HandoverAnswer,
    PermitAnswer,
    RequestHandover,
    ReturnAllotment,
)

__all__ = [
    "AcquireAdapter",
    "AdapterAnswer",
    "AdapterDecision",
    "ConfigurationConfirmed",
    "ConfirmConfiguration",
    "ContentsCleared",
    "CrashReport",
    "EngineEnded",
    "EngineState",
    "KnownVersions",
    "Message",
    "PartTrial",
    "PartsCleared",
    "PartsSurvived",
    "RefusedContents",
    "RefusedParts",
    "PrefillFinished",
    "ReleaseAdapter",
    "StateSubscription",
    "StoreReport",
    "adapter_key_hash",
    "decode_message",
    "encode_message",
]


# An entry sees thousands of adapters; a cache of this size takes about 1 MB.
HASH_CACHE_ENTRIES = 4_096


@functools.lru_cache(maxsize=HASH_CACHE_ENTRIES)
def adapter_key_hash(key: str) -> int:
    """Return the 32-bit hash that stands for a model or an adapter in engine states.

    Among 10,000 adapters, two share a hash with a probability of about 1%. A collision
    only misleads the choice of a target: requests name their adapter in full, and the
    agent decides by the full name.
    """
    return xxhash.xxh32_intdigest(key.encode())


class StateSubscription(Struct, tag=1, array_like=True, frozen=True):
    """Subscribes an entry to the engine states of an agent, and renews this.

    ``interval_ms`` is the interval between two states of an engine whose load changes,
    ``config_version`` the version of the desired state that the entry knows, ``age_ms``
    the time since the entry started. With ``asks_versions``, the agent answers at once
    with ``KnownVersions``.
    """

    entry: str
    interval_ms: int = 100
    config_version: int = 0
    age_ms: int = 3_600_000
    asks_versions: bool = False


class StoreReport(Struct, array_like=True, frozen=True):
    """What an agent has read from the store lately.

    For the configuration and the list of targets: the offset up to which it has found
    news, and the age of its last read. ``outage_ended_ms`` is how long ago the store
    answered again after an outage. A time is -1 if there was no such event. The eras
    are those of the offsets; None stands for the era that the receiver knows.
    ``config_version`` is the newest version of the desired state that the agent has
    read or that an entry has told it, 0 if it knows none.
    """

    config_changed_at: int
    config_age_ms: int
    targets_changed_at: int
    targets_age_ms: int
    outage_ended_ms: int = -1
    config_era: Era | None = None
    targets_era: Era | None = None
    config_version: Quantity = 0


class EngineState(Struct, tag=2, array_like=True, frozen=True):
    """What an agent knows of its engine.

    ``started_ms`` is when the engine started, ``number`` counts the states that the
    agent sent. ``running`` and ``waiting`` count requests, ``cache_used`` and
    ``cache_total`` tokens of the KV cache.
    ``loaded`` and ``loading`` are the hashes of models and adapters that can be used
    now and that are being loaded. ``cached`` are the hashes of adapters that the engine
    reloads fast from host memory; None says that the last list is still valid, together
    with the evictions that the entry has seen since. ``free_slots`` counts adapter
    slots that no request has pinned, ``waiting_keys`` the adapters for which requests
    wait, ``entries`` the subscribed entries. ``prefill_tokens`` are the tokens of
    prompts in prefill or waiting for it. ``store`` says what the agent has read from
    the store, None if it has read nothing yet. ``rate_limit_per_s`` is the limit that
    the engine names, None if it names none, ``permit_wait_ms`` how long a request would
    wait because of it. ``prefill_ns_per_token`` is the time that the engine took for a
    prompt token lately, 0 if not known, ``arriving_tokens_per_s`` the prompt tokens a
    second that its agent admits for all entries.
    """

    started_ms: int
    number: int
    running: int
    waiting: int
    cache_used: int
    cache_total: int
    loaded: tuple[int, ...]
    loading: tuple[int, ...]
    cached: tuple[int, ...] | None
    free_slots: int
    waiting_keys: int
    entries: int
    prefill_tokens: int
    store: StoreReport | None = None
    rate_limit_per_s: RatePerS | None = None
    permit_wait_ms: WaitMs = 0
    prefill_ns_per_token: Quantity = 0
    arriving_tokens_per_s: Quantity = 0


class AcquireAdapter(Struct, tag=3, array_like=True, frozen=True):
    """A request needs an adapter on the agent's engine.

    ``rank`` 0 is the most urgent. The agent declines after ``max_wait_ms``, and the
    pin expires after ``left_ms``, the time to the request's deadline. ``objective_ms``
    is the time left to the route's latency objective, negative once it is missed.
    ``newest_version`` is the newest version of the adapter that the entry knows, 0 if
    none was announced; the agent may not have read of it yet.
    """

    request_id: str
    model: str
    adapter: str
    rank: int
    max_wait_ms: int
    left_ms: int
    prompt_tokens: int
    objective_ms: int
    newest_version: int = 0


class AdapterDecision(enum.Enum):
    """An agent's answer to ``AcquireAdapter``.

    ``WAITING`` is no decision yet and only shows that the agent is alive. After
    ``NO_ENGINE`` the engine does not respond, so other requests should avoid it too.
    """

    GRANTED = 1
    DECLINED = 2
    WAITING = 3
    NO_ENGINE = 4


class AdapterAnswer(Struct, tag=4, array_like=True, frozen=True):
    """Answers ``AcquireAdapter``; ``version`` is the loaded version if granted.

    ``wait_ms`` is how long a declined request would have waited because of the limit
    that the engine names.
    """

    request_id: str
    decision: AdapterDecision
    version: int = 0
    reason: str = ""
    wait_ms: WaitMs = 0


class ReleaseAdapter(Struct, tag=5, array_like=True, frozen=True):
    """A request no longer needs its adapter."""

    request_id: str


class PrefillFinished(Struct, tag=7, array_like=True, frozen=True):
    """The engine has finished the prefill of a request: its answer began."""

    request_id: str


# A report of this size takes about 1 kB, which fits one datagram on all links.
MAX_REQUESTS_PER_REPORT = 12
MAX_FINGERPRINTS = 9
MAX_REFUSALS_PER_MESSAGE = 32

Fingerprints = Annotated[tuple[int, ...], Meta(max_length=MAX_FINGERPRINTS)]


class CrashReport(Struct, tag=9, array_like=True, frozen=True):
    """A target stopped while it ran these requests.

    Agents forward it to all entries. ``target_start`` names the start of the target
    that crashed, the same at all entries, so that one crash is counted once. Each of
    ``requests`` has the fingerprint of the content, then those of the shared parts of
    its prompt. Earlier versions leave out the parts of an answer that has begun.
    """

    target_start: str
    requests: Annotated[
        tuple[Fingerprints, ...], Meta(max_length=MAX_REQUESTS_PER_REPORT)
    ]


class PartsCleared(Struct, tag=10, array_like=True, frozen=True):
    """An answer has begun whose prompt has these parts, which were suspects.

    Entries of earlier versions send it, and agents forward it to all entries. It is no
    proof: a target may end after the first event.
    """

    parts: Fingerprints


class PartsSurvived(Struct, tag=25, array_like=True, frozen=True):
    """A target has run on after an answer whose prompt has these suspected parts.

    Agents forward it to all entries.
    """

    parts: Fingerprints


class PartTrial(Struct, tag=11, array_like=True, frozen=True):
    """An entry lets one request with these refused parts through.

    Agents forward it to all entries, so that the others wait for its outcome.
    """

    parts: Fingerprints


class RefusedParts(Struct, tag=12, array_like=True, frozen=True):
    """Parts that an entry refuses, for entries that have started since.

    Each part has its fingerprint, the time in ms to its trial and the wait in ms before
    that. Agents forward it to all entries, and to each that subscribes soon after.
    """

    parts: Annotated[
        tuple[tuple[int, int, int], ...], Meta(max_length=MAX_REFUSALS_PER_MESSAGE)
    ]


class RefusedContents(Struct, tag=13, array_like=True, frozen=True):
    """Contents of requests that an entry refuses, or that it tries again now.

    Each content has its fingerprint, the time in ms to its next trial and the number of
    its trials so far. Agents forward it to all entries, and to each that subscribes
    anew.
    """

    contents: Annotated[
        tuple[tuple[int, int, int], ...], Meta(max_length=MAX_REFUSALS_PER_MESSAGE)
    ]


class ContentsCleared(Struct, tag=14, array_like=True, frozen=True):
    """Requests with these contents, which were refused, have finished.

    Agents forward it to all entries.
    """

    contents: Fingerprints


class EngineEnded(Struct, tag=8, array_like=True, frozen=True):
    """The start of an agent's engine that began at ``started_ms`` has ended.

    The engine's port refuses connections, so it has terminated. A target whose process
    stands still does not refuse them.
    """

    started_ms: int


class ConfirmConfiguration(Struct, tag=17, array_like=True, frozen=True):
    """An entry asks an agent how recently it has read the configuration to its end.

    ``token`` is the entry's own time in ms, on a clock that counts suspensions; the
    answer returns it. ``next_offset`` is the first record that the entry has not read.
    """

    token: Quantity
    next_offset: Quantity


class ConfigurationConfirmed(Struct, tag=18, array_like=True, frozen=True):
    """Answers ``ConfirmConfiguration``.

    The agent's last read that reached the end of the topic was sent ``age_ms`` before
    the question arrived; ``next_offset`` is the offset after that end, in ``era`` of
    the store, or in the one that the entry knows if that is None.
    """

    token: Quantity
    next_offset: Quantity
    age_ms: WaitMs
    era: Era | None = None


MAX_NOTICES_PER_MESSAGE = 16
VersionNotice = tuple[str, Quantity]


class KnownVersions(Struct, tag=24, array_like=True, frozen=True):
    """What an agent knows that the store may have lost when it was restored.

    ``config_version`` is as in ``StoreReport``. The answer counts after
    ``settles_in_ms``: an agent that has started has not heard of all entries yet.
    ``notices`` are announced adapter versions that the store lacks, each with the
    adapter as ``model/adapter``; more of them follow in further messages.
    """

    config_version: Quantity
    settles_in_ms: WaitMs
    notices: Annotated[
        tuple[VersionNotice, ...], Meta(max_length=MAX_NOTICES_PER_MESSAGE)
    ] = ()


Message = (
    StateSubscription
    | EngineState
    | AcquireAdapter
    | AdapterAnswer
    | ReleaseAdapter
    | CrashReport
    | PartsCleared
    | PartsSurvived
    | PartTrial
    | RefusedParts
    | RefusedContents
    | ContentsCleared
    | AcquirePermit
    | PermitAnswer
    | EngineEnded
    | PrefillFinished
    | ConfirmConfiguration
    | ConfigurationConfirmed
    | KnownVersions
    | AcquireAllotment
    | AllotmentAnswer
    | ReturnAllotment
    | RequestHandover
    | HandoverAnswer
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message of a datagram; raises msgspec.MsgspecError."""
    return _decoder.decode(data)
