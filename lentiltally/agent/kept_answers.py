"""Answers that the agent keeps until the entry confirms that it has all of them.

An entry confirms with a ``Release`` message. Until then it may ask with ``Resume`` for
the part of an answer that it did not receive.
"""

from __future__ import annotations

import threading

from lentiltally.wire import (
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    CompleteAnswer,
    Message,
    Refused,
)

AnswerMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused


class KeptAnswer:
    """The messages of one attempt's answer, kept so that they can be sent again.

    ``reply_address`` is the entry to which the answer is sent. ``next_index`` is the
    index of the next server-sent event, counted from 0, so it is also the number of
    events so far. ``size_bytes`` counts the events and the body. Safe to use from
    several threads.
    """

    def __init__(self, reply_address: str) -> None:
        """Start without messages."""
        self.reply_address = reply_address
        self.next_index = 0
        self.size_bytes = 0
        self.is_finished = False
        self._messages: list[AnswerMessage] = []
        self._lock = threading.Lock()

    def add(self, message: AnswerMessage) -> None:
        """Store a message before it is sent."""
        with self._lock:
            self._messages.append(message)
            if isinstance(message, AnswerEvents):
                self.next_index = message.first_index + message.count
                self.size_bytes += len(message.data)
            elif isinstance(message, CompleteAnswer):
                self.size_bytes += len(message.body)
            if isinstance(message, (AnswerEnd, CompleteAnswer, Refused)):
                self.is_finished = True

    def messages_from(self, next_index: int) -> list[Message]:
        """Return the messages for a receiver that has the events below ``next_index``.

        Messages other than blocks of events are always among them.
        """
        with self._lock:
            return [
                message
                for message in self._messages
                if not isinstance(message, AnswerEvents)
                or message.first_index + message.count > next_index
            ]

    def as_complete_answer(self) -> CompleteAnswer | None:
        """Return the complete answer as one message, also if it was streamed.

        None if the answer has not finished or the attempt was refused.
        """
        with self._lock:
            messages = list(self._messages)
        last = messages[-1] if messages else None
        if isinstance(last, CompleteAnswer):
            return last
        head = messages[0] if messages else None
        if not isinstance(last, AnswerEnd) or not isinstance(head, AnswerHead):
            return None
        body = b"".join(m.data for m in messages if isinstance(m, AnswerEvents))
        return CompleteAnswer(
            head.attempt_id, head.status, head.content_type, body, last.counts
        )
