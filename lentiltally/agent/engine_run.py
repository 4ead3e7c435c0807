"""Runs one attempt on a model engine and checks who answered."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import (
    EngineClient,
    EngineStream,
    EventBlock,
    event_envelope,
)
from lentiltally.agent.stream_reader import StreamReader
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

STREAM_RESUMES = 4
LAST_EVENT = b"data: [DONE]"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500

AnswerMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused
Emit = Callable[[AnswerMessage], None]


class EngineMismatchError(TargetError):
    """The engine answered with another model or incarnation than was expected."""

    reason = ANSWER_MISMATCH


class EngineRun:
    """One attempt on an engine, from the request to the end of the answer.

    ``incarnation`` is the engine run in which the adapter was pinned. An answer of any
    other run, or of another model, is never passed on.
    """

    def __init__(
        self,
        client: EngineClient,
        execute: Execute,
        incarnation: str,
        emit: Emit,
        *,
        reader: StreamReader,
        silence_timeout_s: float,
    ) -> None:
        """Prepare the run; ``emit`` takes the messages of the answer."""
        self._client = client
        self._reader = reader
        self._silence_timeout_s = silence_timeout_s
        self._is_checked = False
        self._content_type = ""
        self._execute = execute
        self._incarnation = incarnation
        self._emit = emit
        self._model = f"{execute.team}/{execute.adapter}@{execute.version}"
        self._next_index = 0
        self._last_id = ""
        self._is_done = False

    @property
    def tokens(self) -> int:
        """Return the number of events that were passed on."""
        return self._next_index

    def run(self) -> None:
        """Run the attempt to its end; raises TargetError or EngineMismatchError."""
        if self._execute.stream:
            self._run_stream()
        else:
            self._run_whole()

    def _run_whole(self) -> None:
        execute = self._execute
        answer = self._client.complete(execute.path, execute.body, execute.attempt_id)
        if answer.status == HTTP_OK:
            self._check(answer.model, answer.incarnation)
        self._emit_whole(answer.status, answer.content_type, answer.body)

    def _run_stream(self) -> None:
        for tries_left in range(STREAM_RESUMES, -1, -1):
            try:
                self._read_stream()
                if self._is_done:
                    return
                error = self._error("the stream ended before its last event", True)
            except EngineMismatchError:
                raise
            except TargetError as failure:
                error = failure
            if not self._last_id or tries_left == 0:
                raise error
            _log.info(
                "stream resumed",
                extra={
                    "attempt": self._execute.attempt_id,
                    "next_index": self._next_index,
                    "error": str(error),
                },
            )

    def _read_stream(self) -> None:
        execute = self._execute
        stream = self._client.stream(
            execute.path, execute.body, execute.attempt_id, self._last_id
        )
        try:
            if stream.status == HTTP_OK:
                self._pass_on(stream)
            elif self._last_id:
                raise self._error(f"resume answered {stream.status}", True)
            else:
                self._emit_whole(stream.status, stream.content_type, stream.body())
                self._is_done = True
        finally:
            stream.close()

    def _pass_on(self, stream: EngineStream) -> None:
        self._is_checked = False
        self._content_type = stream.content_type
        self._reader.follow(stream, self._take, self._silence_timeout_s)
        if self._is_done:
            stream.finish()
            self._emit(AnswerEnd(self._execute.attempt_id, self._next_index))

    def _take(self, block: EventBlock) -> bool:
        """Pass a block on; True if it holds the last event of the answer."""
        if not self._is_checked and (envelope := event_envelope(block.data)):
            self._check(*envelope)
            self._is_checked = True
        attempt_id = self._execute.attempt_id
        if self._next_index == 0:
            self._emit(AnswerHead(attempt_id, HTTP_OK, self._content_type))
        self._emit(AnswerEvents(attempt_id, self._next_index, block.count, block.data))
        self._next_index += block.count
        self._last_id = block.last_id
        self._is_done = LAST_EVENT in block.data
        return self._is_done

    def _emit_whole(self, status: int, content_type: str, body: bytes) -> None:
        if status == HTTP_NOT_FOUND:
            raise self._error("the engine does not have the adapter", False)
        if status >= HTTP_SERVER_ERROR:
            raise self._error(f"the engine answered {status}", True)
        self._emit(CompleteAnswer(self._execute.attempt_id, status, content_type, body))

    def _check(self, model: str, incarnation: str) -> None:
        if model == self._model and incarnation == self._incarnation:
            return
        raise EngineMismatchError(
            f"answered by {model!r} of engine run {incarnation!r}, not by "
            f"{self._model!r} of {self._incarnation!r}",
            step="run",
            peer=self._execute.target,
            may_have_run=True,
        )

    def _error(self, message: str, may_have_run: bool) -> TargetError:
        return TargetError(
            message, step="run", peer=self._execute.target, may_have_run=may_have_run
        )
