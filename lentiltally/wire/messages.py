"""The messages between entries and agents.

Every message about a request carries its attempt id, so that late, duplicated or
crossed answers are never taken for those of another request.
"""

from __future__ import annotations

import msgspec

#: ``Refused.reason`` when another model or engine run answered than was asked. The
#: engine lives, so the request is not to blame for anything.
ANSWER_MISMATCH = "answer-mismatch"


class TargetCounts(msgspec.Struct, frozen=True, array_like=True):
    """How busy a target is at the moment of a message.

    ``free_slots`` is how many adapter slots could take another adapter, below 0 if
    more wait for one than there are.
    """

    queued: int = 0
    running: int = 0
    free_slots: int = 0


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """An entry introduces itself; the agent answers with its target states."""

    entry: str
    entry_incarnation: str
    reply_address: str
    failure_domain: str


class TargetState(msgspec.Struct, frozen=True, tag="state", array_like=True):
    """What an agent says of one of its targets.

    It is sent when anything but ``counts`` has changed, and in answer to a hello.
    ``sequence`` grows with each change at one agent incarnation, so that an entry can
    drop a state that arrives late.
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
        """Return whether two states agree in everything but the counts."""
        return self == msgspec.structs.replace(other, counts=self.counts)


class Heartbeat(msgspec.Struct, frozen=True, tag="beat", array_like=True):
    """An agent lives; sent to every entry at intervals.

    ``sequence`` is the highest one of the agent's target states. An entry that has
    missed a state sees that here and asks for all of them with a new hello.
    """

    agent: str
    agent_incarnation: str
    sequence: int
    config_offset: int


class Execute(msgspec.Struct, frozen=True, tag="execute", array_like=True):
    """An entry hands one attempt to the agent of a target.

    ``agent_incarnation`` names the agent run for which the attempt is meant; any other
    run refuses it. ``deadline_left_s`` is relative, because hosts' clocks differ.
    ``key`` is the idempotency key of work under a claim; the attempt id is then the
    claim id. ``may_return`` allows the agent to hand the attempt back at once if no
    slot is left for its adapter.
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
    """Stop an attempt; if it has not run, refuse it for good.

    ``agent_incarnation`` is the run to which the attempt was sent. Another run can't
    know whether the attempt ran.
    """

    attempt_id: str
    reply_address: str
    agent_incarnation: str
    reason: str


class Resume(msgspec.Struct, frozen=True, tag="resume", array_like=True):
    """Send the answer of an attempt again, from the event with the given index.

    ``agent_incarnation`` is the run to which the attempt was sent. ``reconnect`` asks
    for a new connection to the entry, because the present one may be silent for good.
    """

    attempt_id: str
    reply_address: str
    agent_incarnation: str
    next_index: int
    reconnect: bool


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """The answer was received whole; the agent may forget it."""

    attempt_id: str


class ClaimQuery(msgspec.Struct, frozen=True, tag="claim-query", array_like=True):
    """Ask the agent to which a claim is bound what became of it.

    The id of a claim is the id of the one attempt that it allows. An agent run that
    has never seen the claim refuses it for good before it answers; a run other than
    ``agent_incarnation`` answers that it can't know.
    """

    query_id: str
    reply_address: str
    agent_incarnation: str
    claim_id: str


class AnswerHead(msgspec.Struct, frozen=True, tag="head", array_like=True):
    """The start of a streamed answer."""

    attempt_id: str
    status: int
    content_type: str


class AnswerEvents(msgspec.Struct, frozen=True, tag="events", array_like=True):
    """Server-sent events of a streamed answer, in their encoded form.

    ``first_index`` is the index of the first event, counted from 0; ``count`` is how
    many events ``data`` holds.
    """

    attempt_id: str
    first_index: int
    count: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """The end of a streamed answer, which had ``total`` events."""

    attempt_id: str
    total: int
    counts: TargetCounts = TargetCounts()


class CompleteAnswer(msgspec.Struct, frozen=True, tag="whole", array_like=True):
    """An answer in one piece."""

    attempt_id: str
    status: int
    content_type: str
    body: bytes
    counts: TargetCounts = TargetCounts()


class Refused(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """The attempt has no answer.

    ``executed`` is ``no`` only if the attempt has not run and never will.
    """

    attempt_id: str
    executed: str
    reason: str
    step: str
    peer: str
    retry_after_s: float
    counts: TargetCounts = TargetCounts()


class Progress(msgspec.Struct, frozen=True, tag="progress", array_like=True):
    """Attempts that are alive at the agent, and the index of each one's next event."""

    agent: str
    agent_incarnation: str
    attempts: dict[str, int]


class ClaimAnswer(msgspec.Struct, frozen=True, tag="claim-answer", array_like=True):
    """What became of a claim: ``running``, ``finished``, ``refused`` or ``unknown``."""

    query_id: str
    state: str
    status: int
    content_type: str
    body: bytes


class ConfigFetch(msgspec.Struct, frozen=True, tag="config-fetch", array_like=True):
    """Ask a peer for its configuration while the log can't be read."""

    reply_address: str


class ConfigSnapshot(
    msgspec.Struct, frozen=True, tag="config-snapshot", array_like=True
):
    """A peer's configuration: the offset it stands at and the encoded tree."""

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
