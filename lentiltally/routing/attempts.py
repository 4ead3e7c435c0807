"""Sends one attempt to an agent and receives its answer, up to the end."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.answers import (
    AnswerAction,
    AnswerAssembly,
    Complete,
    DeliverCompleteAnswer,
    DeliverEvents,
    DeliverHead,
    Failed,
    Reconnect,
    RequestResume,
)
from lentiltally.exchange import Exchange
from lentiltally.ids import AttemptIds
from lentiltally.routing.pending import (
    ENTRY_STOPPED,
    AttemptMessage,
    PendingAttempt,
    PendingAttempts,
)
from lentiltally.routing.releases import ReleaseSender
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

# The longest wait for a message before the timeouts of the answer are checked.
TICK_INTERVAL_S = 1.0
# After the deadline, the agent may still report whether a cancelled attempt was
# executed; without that report the outcome is unknown.
CANCEL_GRACE_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Dependencies that all attempts of an entry share."""

    pending: PendingAttempts
    directory: TargetDirectory
    outboxes: Outboxes
    releases: ReleaseSender
    ids: AttemptIds
    reply_address: str
    clock: Clock


class Attempt:
    """One attempt to execute a request, used only by the thread of that request.

    ``first_part`` waits for the first part of the answer, ``events`` yields the rest of
    a stream. ``close`` must be called at the end; it cancels an unfinished attempt.
    """

    def __init__(
        self,
        context: AttemptContext,
        target: TargetState,
        attempt_id: str,
        deadline_s: float,
    ) -> None:
        """Register the attempt; ``deadline_s`` is a monotonic time of the entry."""
        self.attempt_id = attempt_id
        self.target = target
        self._context = context
        self._deadline_s = deadline_s
        self._address = target.agent_address
        self._pending: PendingAttempt = context.pending.open(
            attempt_id, target.agent_incarnation
        )
        self._assembly = AnswerAssembly(attempt_id, context.clock.monotonic_s())
        self._cancelled_at_s: float | None = None
        self._last_events_at_s: float | None = None
        self._ready_actions: list[AnswerAction] = []

    def send(
        self, exchange: Exchange, *, reject_if_no_slot: bool = False
    ) -> Failed | None:
        """Send the attempt to the agent; return Failed if it was certainly not sent.

        With ``reject_if_no_slot`` the agent refuses the attempt, instead of queueing
        it, if no adapter slot is left for its adapter.
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

    def first_part(
        self, until_s: float | None = None
    ) -> DeliverHead | DeliverCompleteAnswer | Failed | None:
        """Return the head of a stream, a whole answer or the failure.

        None if none of them has arrived by ``until_s`` (monotonic).
        """
        while True:
            action = self._next_action(until_s)
            if action is None:
                return None
            if isinstance(action, (DeliverHead, DeliverCompleteAnswer, Failed)):
                return action

    def events(self) -> Iterator[bytes | Failed]:
        """Yield the events of a stream; Failed as the last item if it was cut off."""
        while True:
            action = self._next_action(None)
            if isinstance(action, DeliverEvents):
                yield action.data + self._take_ready_data()
            elif isinstance(action, Complete):
                return
            elif isinstance(action, Failed):
                yield action
                return

    def close(self, *, release: bool = True) -> None:
        """End the attempt: release a finished answer, cancel an unfinished one.

        Without ``release`` nothing is sent; the agent keeps the answer until it is
        released later.
        """
        self._context.pending.close(self.attempt_id)
        self._context.directory.finished(self.target)
        if not release:
            return
        if self._assembly.is_over:
            self._context.releases.put(self._address, self.attempt_id)
        else:
            self._cancel("caller gone")

    def _next_action(self, until_s: float | None) -> AnswerAction | None:
        while not self._ready_actions:
            now_s = self._context.clock.monotonic_s()
            if until_s is not None and now_s >= until_s:
                return None
            self._ready_actions.extend(self._wait_for_actions(now_s, until_s))
        return self._ready_actions.pop(0)

    def _take_ready_data(self) -> bytes:
        """Return events that have already arrived, so that they share one write."""
        parts = []
        while self._ready_actions and isinstance(
            action := self._ready_actions[0], DeliverEvents
        ):
            parts.append(action.data)
            del self._ready_actions[0]
        return b"".join(parts)

    def _wait_for_actions(
        self, now_s: float, until_s: float | None
    ) -> list[AnswerAction]:
        expired = self._check_deadline(now_s)
        if expired is not None:
            return [expired]
        message = self._pending.get(self._timeout_s(now_s, until_s))
        now_s = self._context.clock.monotonic_s()
        if message is None:
            if self._pending.is_ended:
                return [Failed("unknown", ENTRY_STOPPED, 0.0)]
            if self._pending.must_request_resume:
                self._pending.must_request_resume = False
                return self._execute_actions([RequestResume(self._assembly.next_index)])
            return self._execute_actions(self._assembly.tick(now_s))
        if isinstance(message, int):
            return self._execute_actions(self._assembly.progress(message, now_s))
        return self._apply_messages(message, now_s)

    def _apply_messages(
        self, message: AttemptMessage, now_s: float
    ) -> list[AnswerAction]:
        """Apply a message and those that are queued behind it."""
        actions = []
        current: AttemptMessage | int | None = message
        while current is not None:
            if isinstance(current, int):
                actions += self._assembly.progress(current, now_s)
            else:
                self._record_counts(current)
                actions += self._assembly.received(current, now_s)
            current = self._pending.get_nowait()
        return self._execute_actions(actions)

    def _timeout_s(self, now_s: float, until_s: float | None) -> float:
        if self._pending.is_ended:
            return 0.0
        timeout_s = min(
            TICK_INTERVAL_S, max(0.0, self._deadline_s - now_s) or TICK_INTERVAL_S
        )
        if until_s is not None:
            timeout_s = min(timeout_s, until_s - now_s)
        return max(0.0, timeout_s)

    def _check_deadline(self, now_s: float) -> Failed | None:
        """Cancel the attempt at the deadline; return Failed after the grace period."""
        if now_s < self._deadline_s:
            return None
        if self._cancelled_at_s is None:
            self._cancelled_at_s = now_s
            self._cancel("deadline")
        if now_s - self._cancelled_at_s < CANCEL_GRACE_PERIOD_S:
            return None
        return Failed("unknown", "deadline", 0.0)

    def _execute_actions(self, actions: list[AnswerAction]) -> list[AnswerAction]:
        """Execute the actions towards the agent; return those for the caller."""
        caller_actions: list[AnswerAction] = []
        has_reconnected = False
        for action in actions:
            if isinstance(action, Reconnect):
                has_reconnected = True
                self._context.directory.reconnect(self._address)
            elif isinstance(action, RequestResume):
                self._send(
                    Resume(
                        self.attempt_id,
                        self._context.reply_address,
                        self.target.agent_incarnation,
                        action.next_index,
                        has_reconnected,
                    )
                )
            else:
                caller_actions.append(action)
        return caller_actions

    def _record_inter_token_latency(self, message: AnswerEvents) -> None:
        """Report the inter-token latency, which reveals a slowed target at once."""
        now_s = self._context.clock.monotonic_s()
        previous_at_s, self._last_events_at_s = self._last_events_at_s, now_s
        if previous_at_s is not None and message.count:
            latency_s = (now_s - previous_at_s) / message.count
            self._context.directory.record_inter_token_latency(
                self.target.target, latency_s
            )

    def _record_counts(self, message: AttemptMessage) -> None:
        if isinstance(message, AnswerEvents):
            self._record_inter_token_latency(message)
        if isinstance(message, (AnswerEnd, CompleteAnswer, Refused)):
            self._context.directory.update_counts(self.target.target, message.counts)

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
            _log.info("cannot send message to agent", extra={"error": str(error)})
