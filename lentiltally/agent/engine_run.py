"""Runs one attempt on a model engine and checks where its answer comes from.

An engine that restarts between the pin of the adapter and the answer may have another
version of the adapter under the same name.
"""

from __future__ import annotations

import functools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import (
    EngineClient,
    EngineStream,
    EventBlock,
    first_event_origin,
)
from lentiltally.agent.stream_reader import (
    BlockHandler,
    StreamReader,
    StreamSilentError,
)
from lentiltally.wire import (
    ANSWER_MISMATCH,
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    CompleteAnswer,
    Execute,
    Refused,
)

_log = logging.getLogger(__name__)

MAX_STREAM_RESUMES = 4
DONE_MARKER = b"data: [DONE]"
EVENT_STREAM_TYPE = "text/event-stream"
# int() converts no more than 4,300 digits.
MAX_ID_DIGITS = 18
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500

AnswerMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused
Emit = Callable[[AnswerMessage], None]


class EngineMismatchError(TargetError):
    """The answer names another model or engine incarnation than was expected."""

    reason = ANSWER_MISMATCH


@dataclass(slots=True)
class _ConnectionChecks:
    """What is still to be checked of the events on one connection of a stream.

    ``continues_after`` is the id after which the connection continues the stream; it is
    empty once the first event is checked.
    """

    content_type: str
    continues_after: str
    is_origin_checked: bool = False


class EngineAttempt:
    """One attempt on an engine, from the request to the end of the answer.

    ``expected_incarnation`` is the engine incarnation on which the adapter was pinned.
    An answer by another incarnation or another model is never passed to ``emit``.
    """

    def __init__(
        self,
        client: EngineClient,
        execute: Execute,
        expected_incarnation: str,
        emit: Emit,
        *,
        reader: StreamReader,
        silence_timeout_s: float,
        has_time_left: Callable[[], bool],
    ) -> None:
        """Send nothing yet; ``emit`` gets the messages of the answer.

        After ``silence_timeout_s`` without an event the stream is resumed on another
        connection. It is given up only if ``has_time_left`` returns False then.
        """
        self._client = client
        self._stream_reader = reader
        self._silence_timeout_s = silence_timeout_s
        self._has_time_left = has_time_left
        # The open connections of the stream, with the handlers of their events.
        self._streams: dict[EngineStream, BlockHandler] = {}
        self._execute = execute
        self._expected_incarnation = expected_incarnation
        self._emit = emit
        self._expected_model = f"{execute.team}/{execute.adapter}@{execute.version}"
        self._next_index = 0
        self._last_id = ""
        self._is_complete = False

    @property
    def forwarded_events(self) -> int:
        """Return the number of events that were passed to ``emit``."""
        return self._next_index

    def run(self) -> None:
        """Run the attempt until its answer ends.

        Raises EngineMismatchError, or TargetError if there is no complete answer.
        """
        if self._execute.stream:
            self._run_stream()
        else:
            self._run_unstreamed()

    def _run_unstreamed(self) -> None:
        execute = self._execute
        answer = self._client.complete(execute.path, execute.body, execute.attempt_id)
        if answer.status == HTTP_OK:
            self._check_origin(answer.model, answer.incarnation)
        self._emit_unstreamed(answer.status, answer.content_type, answer.body)

    def _run_stream(self) -> None:
        """Read the stream; resume it if it breaks or falls silent after an event id.

        A silent connection is kept until another one delivers the next event: the
        engine may go on, and it may reject the resumed stream.
        """
        resumes_left = MAX_STREAM_RESUMES
        error: TargetError | None = None
        try:
            self._open_stream()
            while not self._is_complete:
                if self._streams:
                    error = self._follow()
                if error is None:
                    return
                can_resume = bool(self._last_id) and resumes_left > 0
                if self._is_given_up(can_resume):
                    raise error
                if can_resume:
                    resumes_left -= 1
                    error = self._resume(error)
        finally:
            self._close_streams()

    def _is_given_up(self, can_resume: bool) -> bool:
        if not self._streams:
            return not can_resume
        # Before the first event the entry can send idempotent work to another target.
        is_retried = self._next_index == 0 and self._execute.idempotent
        return is_retried or not self._has_time_left()

    def _resume(self, reason: TargetError) -> TargetError:
        """Open a connection that continues the stream; return why there is none.

        That is the given reason if there is one now.
        """
        _log.info(
            "resuming engine stream",
            extra={
                "attempt": self._execute.attempt_id,
                "next_index": self._next_index,
                "error": str(reason),
            },
        )
        try:
            self._open_stream()
        except TargetError as error:
            _log.info(
                "could not resume engine stream",
                extra={"attempt": self._execute.attempt_id, "error": str(error)},
            )
            return error
        return reason

    def _open_stream(self) -> None:
        """Send the request, or resume the stream after the last event."""
        execute = self._execute
        stream = self._client.stream(
            execute.path, execute.body, execute.attempt_id, self._last_id
        )
        try:
            if stream.status == HTTP_OK:
                self._add_stream(stream)
            elif self._last_id:
                raise self._error(
                    f"the engine answered {stream.status} to a resumed stream", True
                )
            else:
                self._emit_unstreamed(
                    stream.status, stream.content_type, stream.read_body()
                )
                self._is_complete = True
        finally:
            if stream not in self._streams:
                stream.close()

    def _add_stream(self, stream: EngineStream) -> None:
        if self._last_id and _media_type(stream.content_type) != EVENT_STREAM_TYPE:
            raise self._error("the engine resumed with no event stream", True)
        checks = _ConnectionChecks(stream.content_type, self._last_id)
        self._streams[stream] = functools.partial(self._forward_block, checks)

    def _follow(self) -> TargetError | None:
        """Read the open connections; return why the answer is not complete yet."""
        try:
            self._stream_reader.follow(self._streams, self._silence_timeout_s)
        except EngineMismatchError:
            raise
        except StreamSilentError as error:
            return error
        except TargetError as error:
            self._close_streams()
            return error
        if not self._is_complete:
            self._close_streams()
            return self._error("the stream ended before its last event", True)
        for stream in self._streams:
            stream.finish()
        self._emit(AnswerEnd(self._execute.attempt_id, self._next_index))
        return None

    def _close_streams(self) -> None:
        for stream in self._streams:
            stream.close()
        self._streams.clear()

    def _forward_block(self, checks: _ConnectionChecks, block: EventBlock) -> bool:
        """Emit a block of events; True if it has the last event of the answer."""
        if checks.continues_after:
            self._check_continuation(checks, block.first_id)
        if not checks.is_origin_checked and (origin := first_event_origin(block.data)):
            self._check_origin(*origin)
            checks.is_origin_checked = True
        attempt_id = self._execute.attempt_id
        if self._next_index == 0:
            self._emit(AnswerHead(attempt_id, HTTP_OK, checks.content_type))
        self._emit(AnswerEvents(attempt_id, self._next_index, block.count, block.data))
        self._next_index += block.count
        self._last_id = block.last_id
        self._is_complete = DONE_MARKER in block.data
        return self._is_complete

    def _check_continuation(self, checks: _ConnectionChecks, first_id: str) -> None:
        """Check the first event of a resumed stream; ids count from event to event."""
        if not _follows(first_id, checks.continues_after):
            raise self._error(
                f"event {first_id[:MAX_ID_DIGITS]!r} follows {checks.continues_after}",
                True,
            )
        checks.continues_after = ""

    def _emit_unstreamed(self, status: int, content_type: str, body: bytes) -> None:
        if status == HTTP_NOT_FOUND:
            raise self._error("the engine does not have the adapter loaded", False)
        if status >= HTTP_SERVER_ERROR:
            raise self._error(f"the engine answered {status}", True)
        self._emit(CompleteAnswer(self._execute.attempt_id, status, content_type, body))

    def _check_origin(self, model: str, incarnation: str) -> None:
        if model == self._expected_model and incarnation == self._expected_incarnation:
            return
        raise EngineMismatchError(
            f"answer by model {model!r} on engine incarnation {incarnation!r}, not "
            f"by {self._expected_model!r} on {self._expected_incarnation!r}",
            step="run",
            peer=self._execute.target,
            may_have_run=True,
        )

    def _error(self, message: str, may_have_run: bool) -> TargetError:
        return TargetError(
            message, step="run", peer=self._execute.target, may_have_run=may_have_run
        )


def _media_type(content_type: str) -> str:
    return content_type.partition(";")[0].strip().lower()


def _follows(event_id: str, last_id: str) -> bool:
    ids = (event_id, last_id)
    if not all(i.isascii() and i.isdigit() and len(i) <= MAX_ID_DIGITS for i in ids):
        return False
    return int(event_id) == int(last_id) + 1
