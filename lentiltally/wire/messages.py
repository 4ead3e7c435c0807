"""Messages between entries and agents, and between entries.

An incarnation is one run of a process, identified by a random id. Every message about
a request carries its attempt id, so that a delayed, duplicated or misdirected answer is
never taken for the answer to another request.

Messages are encoded as arrays: the order of the fields is part of the protocol, their
names are not.
"""

from __future__ import annotations

import msgspec

#: ``Refused.reason`` if the answer came from another model or engine incarnation than
#: the request was sent to. The engine did not crash, so this is no evidence that the
#: request crashes engines.
ANSWER_MISMATCH = "answer-mismatch"


class TargetCounts(msgspec.Struct, frozen=True, array_like=True):
    """Current load of a target.

    ``queued`` and ``running`` count attempts. ``free_slots`` is the number of adapter
    slots that could take another adapter; it is negative if more adapters are waiting
    for a slot than there are such slots.
    """

    queued: int = 0
    running: int = 0
    free_slots: int = 0


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """Subscribes an entry to an agent's messages.

    The agent answers with the states of all its targets.
    """

    entry: str
    entry_incarnation: str
    reply_address: str
    failure_domain: str


class TargetState(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """State of one of an agent's targets.

    It is sent if anything but ``counts`` has changed, and in answer to a ``Hello``.
    ``sequence`` increases with each change within an agent incarnation, so that an
    entry can drop a state that arrives after a newer one.

    ``kind`` is ``engine`` or ``service``; ``status`` is ``starting``, ``live`` or
    ``leaving``. ``batch_places`` is the number of attempts that the target runs at a
    time, ``adapter_slots`` the number of adapters that it can have loaded at a time (0
    for a service), ``resident`` the hashes of the adapters that are loaded.
    """

    agent: str
    agent_address: str
    agent_incarnation: str
    sequence: int
    target: str
    kind: str
    base_model: str
    failure_domain: str
    status: str
    reason: str
    engine_incarnation: str
    counts: TargetCounts
    batch_places: int
    adapter_slots: int
    resident: tuple[int, ...]

    def equals_ignoring_counts(self, other: TargetState) -> bool:
        """Return whether all fields but ``counts`` are equal."""
        return self == msgspec.structs.replace(other, counts=self.counts)


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", array_like=True):
    """Periodic liveness message of an agent, sent to every subscribed entry.

    ``sequence`` is the highest one of the agent's target states: an entry whose newest
    state has a lower one has missed a state and requests all of them with a ``Hello``.
    ``config_offset`` is the offset up to which the agent has applied the configuration.
    """

    agent: str
    agent_incarnation: str
    sequence: int
    config_offset: int


class Execute(msgspec.Struct, frozen=True, tag="execute", array_like=True):
    """Sends one attempt to the agent of a target.

    ``agent_incarnation`` is the agent incarnation that the attempt is meant for; any
    other refuses it. ``deadline_left_s`` is relative, because hosts' clocks differ.

    ``source`` is where the weights of the adapter are read from. ``priority`` is the
    criticality of the request: 0 non-idempotent, 1 interactive, 2 deferrable.
    ``fingerprint`` is a hash of the content, by which a repeated request is recognized;
    ``prefix_hash`` is one of the prompt's beginning, 0 if there is none.
    ``config_offset`` is the offset of the configuration that the entry has used.
    ``is_suspect`` marks a request that may crash engines. ``key`` is the idempotency
    key of a claimed request, whose attempt id is the claim id, and otherwise empty.
    With ``reject_if_no_slot`` the agent refuses the attempt at once, instead of
    queueing it, if no adapter slot is left for its adapter.
    """

    attempt_id: str
    reply_address: str
    agent_incarnation: str
    target: str
    team: str
    adapter: str
    version: str
    source: str
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    priority: int
    idempotent: bool
    fingerprint: str
    deadline_left_s: float
    config_offset: int
    prefix_hash: int = 0
    is_suspect: bool = False
    key: str = ""
    reject_if_no_slot: bool = False


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Stops an attempt.

    An attempt that has not started is refused permanently; a running one is stopped
    only if it is idempotent.

    ``agent_incarnation`` is the one that the attempt was sent to. Another one can't
    know whether the attempt ran.
    """

    attempt_id: str
    reply_address: str
    agent_incarnation: str
    reason: str


class Resume(msgspec.Struct, frozen=True, tag="resume", array_like=True):
    """Requests the answer of an attempt again, from event ``next_index`` on.

    ``agent_incarnation`` is the one that the attempt was sent to. ``reconnect`` asks
    the agent to replace its connection to the entry, because the present one may never
    deliver again.
    """

    attempt_id: str
    reply_address: str
    agent_incarnation: str
    next_index: int
    reconnect: bool


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """Confirms that the complete answer was received; the agent may discard it."""

    attempt_id: str


class ClaimQuery(msgspec.Struct, frozen=True, tag="claim-query", array_like=True):
    """Asks the agent that a claim is bound to for the outcome of the claim.

    The id of a claim is the id of the one attempt that it allows. An agent that has
    never received this attempt refuses it permanently before it answers. An agent
    incarnation other than ``agent_incarnation`` can't know and answers ``unknown``.
    """

    query_id: str
    reply_address: str
    agent_incarnation: str
    claim_id: str


class AnswerHead(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """Status and content type of a streamed answer, sent before its events."""

    attempt_id: str
    status: int
    content_type: str


class AnswerEvents(msgspec.Struct, frozen=True, tag="events", array_like=True):
    """Encoded server-sent events of a streamed answer.

    ``first_index`` is the index of the first event, counted from 0; ``count`` is the
    number of events in ``data``.
    """

    attempt_id: str
    first_index: int
    count: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """End of a streamed answer of ``total`` events."""

    attempt_id: str
    total: int
    counts: TargetCounts = TargetCounts()


class CompleteAnswer(msgspec.Struct, frozen=True, tag="whole", array_like=True):
    """An answer that is not streamed."""

    attempt_id: str
    status: int
    content_type: str
    body: bytes
    counts: TargetCounts = TargetCounts()


class Refused(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """Reports that an attempt has no answer.

    ``executed`` is ``no`` or ``unknown``; ``no`` only if the attempt has not run and
    never will. ``step`` and ``peer`` name the processing step that refused it and the
    target or process.
    """

    attempt_id: str
    executed: str
    reason: str
    step: str
    peer: str
    retry_after_s: float
    counts: TargetCounts = TargetCounts()


class Progress(msgspec.Struct, frozen=True, tag="progress", array_like=True):
    """Attempts of an entry that are queued or running at an agent.

    ``attempts`` maps the id of each attempt to the index of its next event.
    """

    agent: str
    agent_incarnation: str
    attempts: dict[str, int]


class ClaimAnswer(msgspec.Struct, frozen=True, tag="claim-answer", array_like=True):
    """Outcome of a claim, in answer to a ``ClaimQuery``.

    ``state`` is ``running``, ``finished``, ``refused`` or ``unknown``. The other fields
    hold the answer if it is ``finished``, and are empty otherwise.
    """

    query_id: str
    state: str
    status: int
    content_type: str
    body: bytes


class ConfigFetch(msgspec.Struct, frozen=True, tag="config-fetch", array_like=True):
    """Requests a peer's configuration while the log is unavailable."""

    reply_address: str


class ConfigSnapshot(
    msgspec.Struct, frozen=True, tag="config-snapshot", array_like=True
):
    """Encoded configuration tree of a peer, and the offset up to which it is current.

    It answers a ``ConfigFetch``.
    """

    offset: int
    tree: bytes


Message = (
    Hello
    | Heartbeat
    | TargetState
    | Execute
    | Cancel
    | Resume
    | Release
    | ClaimQuery
    | AnswerHead
    | AnswerEvents
    | AnswerEnd
    | CompleteAnswer
    | Refused
    | Progress
    | ClaimAnswer
    | ConfigFetch
    | ConfigSnapshot
)
