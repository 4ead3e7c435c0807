"""Messages between lentiltally processes, their encoding and their transport."""

from __future__ import annotations

from lentiltally.wire.channel import ChannelError, Inbox, Outbox, Outboxes
from lentiltally.wire.codec import PROTOCOL_VERSION, FrameError, decode, encode
from lentiltally.wire.messages import (
    ANSWER_MISMATCH,
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    Cancel,
    ClaimAnswer,
    ClaimQuery,
    CompleteAnswer,
    ConfigFetch,
    ConfigSnapshot,
    Execute,
    Heartbeat,
    Hello,
    Message,
    Progress,
    Refused,
    Release,
    Resume,
    TargetCounts,
    TargetState,
)

__all__ = [
    "ANSWER_MISMATCH",
    "PROTOCOL_VERSION",
    "AnswerEnd",
    "AnswerEvents",
    "AnswerHead",
    "Cancel",
    "ChannelError",
    "ClaimAnswer",
    "ClaimQuery",
    "CompleteAnswer",
    "ConfigFetch",
    "ConfigSnapshot",
    "Execute",
    "FrameError",
    "Heartbeat",
    "Hello",
    "Inbox",
    "Message",
    "Outbox",
    "Outboxes",
    "Progress",
    "Refused",
    "Release",
    "Resume",
    "TargetCounts",
    "TargetState",
    "decode",
    "encode",
]
