"""Sends one attempt to an agent and follows it to the end of its answer."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.answers import (
    AnswerAction,
    AnswerAssembly,
    AskResume,
    Complete,
    DeliverEvents,
    DeliverHead,
    DeliverWhole,
    Failed,
    Reconnect,
)
from lentiltally.exchange import Exchange
from lentiltally.ids import AttemptIds
from lentiltally.routing.pending import AttemptMessage, PendingAttempt, PendingAttempts
from lentiltally.routing.releases import Releases
from lentiltally.routing.targets import TargetDirectory
from lentiltally.wire import (
    AnswerEnd,
    AnswerEvents,
    Cancel,
    ChannelError,
    CompleteAnswer,
    Execute,
    Message,
    Outboxes,
    Refused,
    Resume,
    TargetState,
)

_log = logging.getLogger(__name__)

TICK_S = 1.0
# How long an entry waits after the deadline for the agent's word on a cancelled
# attempt, so that it can say truthfully whether it ran.
CANCEL_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """What all attempts of an entry need."""

    pending: PendingAttempts
    directory: TargetDirectory
    outboxes: Outboxes
    releases: Releases
    ids: AttemptIds
    reply_address: str
    clock: Clock


class Attempt:
    """One attempt, used by the thread of its request.

    ``first`` waits for the first part of the answer, ``events`` yields the rest of a
    stream. ``close`` must be called at the end; it cancels what has not ended.
    """

    def __init__(
        self,
        context: AttemptContext,
        target: TargetState,
        attempt_id: str,
        deadline_s: float,
    ) -> None:
        """Prepare the attempt; ``deadline_s`` is a monotonic time of the entry."""
        self.attempt_id = attempt_id
        self.target = target
        self._context = context
        self._deadline_s = deadline_s
        self._address = target.agent_address
        self._pending: PendingAttempt = context.pending.open(
            attempt_id, target.agent_incarnation
        )
        self._assembly = AnswerAssembly(attempt_id, context.clock.monotonic_s())
        self._cancelled_s: float | None = None
        self._events_s: float | None = None
        self._ready: list[AnswerAction] = []

    def send(
        self, exchange: Exchange, *, reject_if_no_slot: bool = False
    ) -> Failed | None:
        """Hand the attempt to the agent; Failed if nothing can have been sent.

        ``may_return`` allows the agent to hand it back if no slot is left.
        """
        work = exchange.resolved()
        now_s = self._context.clock.monotonic_s()
        execute = Execute(
            attempt_id=self.attempt_id,
            reply_address=self._context.reply_address,
            agent_incarnation=self.target.agent_incarnation,
            target=self.target.target,
            team=work.team,
            adapter=work.adapter,
            version=work.version,
            source=work.source,
            method=exchange.request.method,
            path=work.path,
            content_type=exchange.request.headers.get("content-type", ""),
            body=exchange.body,
            stream=work.stream,
            priority=work.criticality,
            idempotent=work.is_idempotent,
            fingerprint=exchange.fingerprint,
            deadline_left_s=max(0.0, self._deadline_s - now_s),
            config_offset=work.config_offset,
            prefix_hash=work.prefix_hash,
            is_suspect=exchange.is_suspect,
            key=exchange.key if exchange.claim_id else "",
            reject_if_no_slot=reject_if_no_slot,
        )
        try:
            self._context.outboxes.put(self._address, execute)
        except ChannelError as error:
            return Failed("no", f"not sent: {error}", 1.0)
        return None

    def first(
        self, until_s: float | None = None
    ) -> DeliverHead | DeliverWhole | Failed | None:
        """Return the head of a stream, a whole answer or the failure.

        None if ``until_s`` (monotonic) passes before there is any.
        """
        while True:
            action = self._next(until_s)
            if action is None:
                return None
            if isinstance(action, (DeliverHead, DeliverWhole, Failed)):
                return action

    def events(self) -> Iterator[bytes | Failed]:
        """Yield the parts of a stream; Failed as the last part if it broke off."""
        while True:
            action = self._next(None)
            if isinstance(action, DeliverEvents):
                yield action.data + self._more_data()
            elif isinstance(action, Complete):
                return
            elif isinstance(action, Failed):
                yield action
                return

    def close(self, *, release: bool = True) -> None:
        """Tell the agent that the answer was received, or is not wanted any more.

        Without ``release`` the agent keeps the answer until told otherwise.
        """
        self._context.pending.close(self.attempt_id)
        self._context.directory.finished(self.target)
        if not release:
            return
        if self._assembly.is_over:
            self._context.releases.put(self._address, self.attempt_id)
        else:
            self._cancel("caller gone")

    def _next(self, until_s: float | None) -> AnswerAction | None:
        while not self._ready:
            now_s = self._context.clock.monotonic_s()
            if until_s is not None and now_s >= until_s:
                return None
            self._ready.extend(self._wait(now_s, until_s))
        return self._ready.pop(0)

    def _more_data(self) -> bytes:
        """Return the events that have arrived too, so that they share one write."""
        parts = []
        while self._ready and isinstance(action := self._ready[0], DeliverEvents):
            parts.append(action.data)
            del self._ready[0]
        return b"".join(parts)

    def _wait(self, now_s: float, until_s: float | None) -> list[AnswerAction]:
        late = self._check_deadline(now_s)
        if late is not None:
            return [late]
        message = self._pending.take(self._timeout_s(now_s, until_s))
        now_s = self._context.clock.monotonic_s()
        if message is None:
            if self._pending.must_ask:
                self._pending.must_ask = False
                return self._act([AskResume(self._assembly.next_index)])
            return self._act(self._assembly.tick(now_s))
        if isinstance(message, int):
            return self._act(self._assembly.progress(message, now_s))
        return self._receive(message, now_s)

    def _receive(self, message: AttemptMessage, now_s: float) -> list[AnswerAction]:
        """Apply a message and those that have arrived behind it."""
        actions = []
        following: AttemptMessage | int | None = message
        while following is not None:
            if isinstance(following, int):
                actions += self._assembly.progress(following, now_s)
            else:
                self._count(following)
                actions += self._assembly.received(following, now_s)
            following = self._pending.take_now()
        return self._act(actions)

    def _timeout_s(self, now_s: float, until_s: float | None) -> float:
        timeout_s = min(TICK_S, max(0.0, self._deadline_s - now_s) or TICK_S)
        if until_s is not None:
            timeout_s = min(timeout_s, until_s - now_s)
        return max(0.0, timeout_s)

    def _check_deadline(self, now_s: float) -> Failed | None:
        if now_s < self._deadline_s:
            return None
        if self._cancelled_s is None:
            self._cancelled_s = now_s
            self._cancel("deadline")
        if now_s - self._cancelled_s < CANCEL_WAIT_S:
            return None
        return Failed("unknown", "deadline", 0.0)

    def _act(self, actions: list[AnswerAction]) -> list[AnswerAction]:
        """Carry out the actions towards the agent; return those for the caller."""
        rest: list[AnswerAction] = []
        is_new_connection = False
        for action in actions:
            if isinstance(action, Reconnect):
                is_new_connection = True
                self._context.directory.reconnect(self._address)
            elif isinstance(action, AskResume):
                self._send(
                    Resume(
                        self.attempt_id,
                        self._context.reply_address,
                        self.target.agent_incarnation,
                        action.next_index,
                        is_new_connection,
                    )
                )
            else:
                rest.append(action)
        return rest

    def _observe(self, message: AnswerEvents) -> None:
        """Report the time between tokens, which shows a slowed target at once."""
        now_s = self._context.clock.monotonic_s()
        since_s, self._events_s = self._events_s, now_s
        if since_s is not None and message.count:
            pace_s = (now_s - since_s) / message.count
            self._context.directory.observed(self.target.target, pace_s)

    def _count(self, message: AttemptMessage) -> None:
        if isinstance(message, AnswerEvents):
            self._observe(message)
        if isinstance(message, (AnswerEnd, CompleteAnswer, Refused)):
            self._context.directory.counted(self.target.target, message.counts)

    def _cancel(self, reason: str) -> None:
        self._send(
            Cancel(
                self.attempt_id,
                self._context.reply_address,
                self.target.agent_incarnation,
                reason,
            )
        )

    def _send(self, message: Message) -> None:
        try:
            self._context.outboxes.put(self._address, message)
        except ChannelError as error:
            _log.info("message not sent", extra={"error": str(error)})
