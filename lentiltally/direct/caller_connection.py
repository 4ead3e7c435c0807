"""Server side of a caller's connection: reads requests and writes answers."""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from lentiltally.clock import Clock
from lentiltally.direct.caller_transport import CallerTransport
from lentiltally.direct.model import CallerLimits
from lentiltally.direct.raw_request import PartialRequest, RawHeaders, RawRequest
from lentiltally.direct.read_resources import RECEIVE_BYTES, ReadResources
from lentiltally.direct.read_turns import MAX_PIECES_PER_TURN
from lentiltally.problems import (
    Refusal,
    internal_error,
    problem_body,
    problem_headers,
    stopping_refusal,
)

__all__ = [
    "CallerConnection",
    "CallerDisconnectedError",
    "ConnectionUse",
    "RequestHandler",
]

_log = logging.getLogger(__name__)

# The parser's own limit can't be changed later, so it is above all limits on heads.
MAX_INCOMPLETE_BYTES = 16 * 1024 * 1024
# Reading pauses while this much is received behind a request that is being handled.
MAX_PIPELINED_BYTES = 64 * 1024
# Bound on what a connection holds that shares its resources with no other.
MAX_HELD_ALONE_BYTES = 64 * 1024 * 1024
RETRY_AFTER_S = 1.0
LAST_ANSWER = "last answer"
SURPLUS = "too many connections"


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class ConnectionUse(enum.IntEnum):
    """What a connection is used for; the first is the first to close for another.

    ``SENDING``: answered, but its caller has not read all of the answer.
    """

    IDLE = 0
    READING = 1
    SENDING = 2
    ANSWERING = 3


class RequestHandler(Protocol):
    """Answers requests."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Return whether connections should close after their current answer."""
        ...

    def handle(
        self, request: RawRequest, connection: CallerConnection
    ) -> Awaitable[None]:
        """Answer one request on the connection."""
        ...

    def opened(self, connection: CallerConnection) -> None:
        """Keep track of a new connection."""
        ...

    def closed(self, connection: CallerConnection) -> None:
        """Forget a connection that has closed."""
        ...


class CallerConnection(asyncio.BufferedProtocol):
    """The server side of one connection.

    One request is handled at a time. The connection is read meanwhile, so that a
    disconnect is noticed, but no more than a bound. The next request begins when the
    caller has read enough of the answers before it, and reading goes on when the parser
    needs more than has been received.
    """

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        resources: ReadResources | None = None,
    ) -> None:
        """Serve requests with the handler; without ``resources`` none are shared."""
        self._handler = handler
        self._clock = clock
        resources = resources or ReadResources.from_limit(MAX_HELD_ALONE_BYTES)
        self._turns = resources.turns
        self._receive_buffer = resources.buffer
        self._holding = resources.held.open(self._give_up)
        self._unparsed = resources.held.open(self._give_up_input)
        self._unsent = resources.held.open(self._give_up_sending)
        # The largest limits in force since the last answer: the caller may still go by
        # those from before a change.
        self._limits = handler.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_BYTES
        )
        self._transport: CallerTransport | None = None
        self._requests = 0
        # Received since the present request was complete, and what of it the parser
        # does not have yet.
        self._pipelined_bytes = 0
        self._input = bytearray()
        self._is_waiting_for_caller = False
        # The id of the present request, once the handler knows it.
        self.request_id = ""
        self._unsent_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._request: PartialRequest | None = None
        self._is_head_request = False
        self._is_last_answer = False
        # Since when the connection waits for a request or for the rest of one.
        self._waiting_since_s = clock.monotonic_s()
        self._has_partial_head = False
        # Whether the last check found a limit exceeded. The next one acts on it, so
        # that what arrived while the process itself stood still is read before.
        self._is_late = False
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_lost = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        if self._task is not None:
            return False
        return self._is_closing or not self._is_reading_request

    @property
    def is_sending(self) -> bool:
        """Return whether a part of what was written is still to be sent."""
        return self._transport is not None and self._transport.unsent_bytes > 0

    @property
    def use(self) -> ConnectionUse:
        """Return what the connection is used for."""
        if self._task is not None:
            return ConnectionUse.ANSWERING
        if self.is_sending:
            return ConnectionUse.SENDING
        if self._is_reading_request or self._is_closing:
            return ConnectionUse.READING
        return ConnectionUse.IDLE

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has left, or nothing more can be written to it."""
        return self._is_lost or self._is_closing

    @property
    def _is_reading_request(self) -> bool:
        return self._request is not None or self._has_partial_head

    @property
    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing

    def idle_s(self, now_s: float) -> float:
        """Return how long no request has been read or answered, 0 if one is."""
        return now_s - self._waiting_since_s if self.is_idle else 0.0

    @property
    def has_begun_answer(self) -> bool:
        """Return whether a part of the answer to the present request was written."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = CallerTransport(transport, self._clock)
        self._handler.opened(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes; it is free again when they are used."""
        del sizehint
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(memoryview(self._receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes; start a request when one is complete."""
        if self._transport is None:
            return
        if self._is_closing or (self._is_last_answer and self._task is not None):
            # No request is read behind the last answer.
            self._transport.discard(len(data))
            return
        if self._task is None and not self._input and not self._is_waiting_for_caller:
            self._http.receive_data(data)
            self._process_input()
            return
        self._input += data
        self._pipelined_bytes += len(data)
        self._unparsed.resize(self._pipelined_bytes)
        if self._pipelined_bytes > MAX_PIPELINED_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        if self._transport is not None:
            self._unsent_bytes = self._transport.unsent_bytes
            # An answer that is under way is of no more use; complete ones are sent.
            self._transport.peer_closed(drops_unsent=self._task is not None)
        return False

    def pause_writing(self) -> None:
        """Make ``drain`` wait while the caller does not read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` return."""
        self._count_unsent()
        self._can_write.set()
        if self._is_waiting_for_caller:
            self._begin_next_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the handler, and the request through ``on_disconnect``."""
        self._is_lost = True
        self._holding.close()
        self._unparsed.close()
        self._unsent.close()
        phase = self._phase()
        if phase and self._transport is not None:
            self._transport.log_early_end(phase, self.request_id, self._requests, error)
        self._can_write.set()
        self._handler.closed(self)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def check_timeouts(self) -> None:
        """Close the connection if it is idle or sends its request too slowly."""
        if self._transport is None:
            return
        unsent_bytes = self._transport.unsent_bytes
        if self._is_waiting_for_caller and unsent_bytes < self._unsent_bytes:
            # Pipelined requests wait for a caller that reads, however slowly.
            self._waiting_since_s = self._clock.monotonic_s()
        self._unsent_bytes = unsent_bytes
        self._count_unsent()
        if self._is_closing:
            self._transport.check_closing(self._limits.idle_timeout_s)
        if self._is_closing or self._task is not None:
            return
        limits = self._current_limits()
        waited_s = self._clock.monotonic_s() - self._waiting_since_s
        is_reading = self._is_reading_request
        limit_s = limits.header_timeout_s if is_reading else limits.idle_timeout_s
        was_late, self._is_late = self._is_late, waited_s > limit_s
        if was_late and self._is_late and is_reading:
            detail = "the request came too slowly"
            self._reject(Refusal(408, "request-timeout", detail, step="read"))
        elif was_late and self._is_late:
            self.close_idle("idle limit")

    def _phase(self) -> str:
        """Return what the end of the connection cuts now, empty if nothing."""
        is_complete = self._http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        if self._task is not None or (self.has_begun_answer and not is_complete):
            return "answering"
        if self._is_reading_request and not is_complete:
            return "reading"
        if self._unsent_bytes > 0:
            return "sending"
        # A pipelined request may be left behind the last answer.
        is_last = self._transport is not None and self._transport.reason == LAST_ANSWER
        has_input = bool(self._input or self._http.trailing_data[0])
        return "waiting" if is_last and has_input else ""

    async def drain(self) -> None:
        """Wait until the write buffer has room; raises CallerDisconnectedError."""
        await self._can_write.wait()
        if self.is_disconnected:
            raise CallerDisconnectedError

    def start_answer(self, status: int, headers: RawHeaders) -> None:
        """Write the head of an answer; without a length the body is chunked."""
        fields = list(headers)
        if self._handler.is_stopping or self._is_last_answer:
            fields.append((b"Connection", b"close"))
        self._write(h11.Response(status_code=status, headers=fields, reason=b"OK"))

    def send_data(self, data: bytes) -> None:
        """Write a part of the body."""
        self._write(h11.Data(data=data))
        self._count_unsent()

    def end_answer(self) -> None:
        """Complete the answer."""
        self._write(h11.EndOfMessage())

    def send_answer(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a complete answer."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        self.start_answer(status, fields)
        if body and not self._is_head_request:
            self.send_data(body)
        self.end_answer()

    def refuse(self, refusal: Refusal, request_id: str = "") -> None:
        """Write a refusal as a problem document."""
        headers = problem_headers(refusal, request_id)
        self.send_answer(refusal.status, headers, problem_body(refusal, request_id))

    def refuse_and_close(self, refusal: Refusal, request_id: str = "") -> None:
        """Write a refusal after which the connection closes."""
        self._is_last_answer = True
        self.refuse(refusal, request_id)

    def close(self) -> None:
        """Close once the written data has been sent."""
        if self._transport is not None:
            self._transport.close("stop")

    def close_idle(self, reason: str) -> None:
        """Close between two requests, and log it.

        A request that is on its way then is never read, so no other line names it.
        """
        if self._transport is None or self._is_closing:
            return
        if self._is_waiting_for_caller:
            # Requests are left unread, and what was written must not be lost with them.
            self._transport.close_after_answer(reason)
            return
        idle_s = self.idle_s(self._clock.monotonic_s())
        self._transport.close_idle(reason, idle_s, self._requests)

    def close_surplus(self) -> None:
        """Close because there are too many connections.

        A request that is being read is refused.
        """
        if self._transport is None:
            return
        if self.use is ConnectionUse.IDLE:
            self.close_idle(SURPLUS)
        elif self.use is ConnectionUse.READING:
            if not self._is_closing:
                self._reject(self._overload(SURPLUS))
            self._transport.close_at_once()
        else:
            self._transport.reset(SURPLUS)

    def end_request(self) -> None:
        """Cancel the request that is being handled; its handler still answers it.

        One that is still being read is refused.
        """
        if self._task is not None:
            # A task that is cancelled before its first step can't answer its request.
            asyncio.get_running_loop().call_soon(self._task.cancel)
        elif not self.is_idle:
            self._reject(stopping_refusal("read"))

    def abort(self) -> None:
        """Close within an answer, so that the caller sees that it is incomplete.

        Earlier answers and what has been written of this one are still sent.
        """
        if self._transport is None:
            return
        if self._http.their_http_version == b"1.0":
            # Such an answer may end with its connection, so its end must be a reset.
            self._transport.reset("answer broken off")
        else:
            self._transport.close_after_answer("answer broken off")

    def _write(self, event: h11.Event) -> None:
        if self.is_disconnected or self._transport is None:
            raise CallerDisconnectedError
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _process_input(self) -> None:
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            # The parser quotes the line that it can't read, which may hold a key.
            detail = str(error).partition(": ")[0]
            self._reject(Refusal(status, "bad-request", detail, step="read"))

    def _read_events(self) -> None:
        """Process what has arrived, up to the end of a request or of the turn."""
        for _ in range(MAX_PIECES_PER_TURN):
            event = self._http.next_event()
            if self._is_last_answer or self._is_closing:
                # Refused, or reset for what is unsent, while it was being read.
                return
            if event is h11.NEED_DATA:
                if self._input:
                    self._feed_parser()
                    continue
                self._note_partial_head()
                if self._is_closing:
                    return
                assert self._transport is not None
                self._transport.resume_reading()
                if self._http.they_are_waiting_for_100_continue:
                    self._write(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data) and self._request is not None:
                self._request.add(event.data, self._current_limits())
                self._holding.resize(self._request.held_bytes)
            elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                self._start_handling(self._request.complete())
                return
        assert self._transport is not None
        self._transport.pause_reading()
        self._turns.call(self._read_on)

    def _read_on(self) -> None:
        """Go on where the last turn ended."""
        if self._transport is not None and not self._is_closing:
            self._process_input()

    def _feed_parser(self) -> None:
        """Pass on the next part: the parser copies all that it holds for each event."""
        self._http.receive_data(bytes(self._input[:RECEIVE_BYTES]))
        del self._input[:RECEIVE_BYTES]

    def _current_limits(self) -> CallerLimits:
        self._limits = self._limits.or_larger(self._handler.limits)
        return self._limits

    def _note_partial_head(self) -> None:
        # What the parser keeps is a head, or a line between two chunks of a body.
        kept_bytes = self._pipelined_bytes = len(self._http.trailing_data[0])
        self._unparsed.resize(kept_bytes)
        if self._is_closing:
            # Given up for its size together with all others.
            return
        if kept_bytes > self._current_limits().header_bytes:
            raise h11.RemoteProtocolError("head too large", error_status_hint=431)
        has_bytes = kept_bytes > 0
        if has_bytes and not self._has_partial_head and self._request is None:
            self._waiting_since_s = self._clock.monotonic_s()
        self._has_partial_head = has_bytes and self._request is None

    def _begin_request(self, head: h11.Request) -> None:
        now_s = self._clock.monotonic_s()
        self._waiting_since_s = now_s
        self._has_partial_head = False
        self.request_id = ""
        self._is_head_request = head.method == b"HEAD"
        self._request = PartialRequest(head, self._current_limits(), now_s)
        self._holding.resize(self._request.held_bytes)

    def _start_handling(self, request: RawRequest) -> None:
        self._requests += 1
        # It may run from now on, so it can't be refused any more.
        self._holding.may_be_given_up = False
        self._pipelined_bytes = len(self._http.trailing_data[0]) + len(self._input)
        self._unparsed.resize(self._pipelined_bytes)
        if self._pipelined_bytes <= MAX_PIPELINED_BYTES and self._transport is not None:
            # Turns and earlier pipelined requests pause reading, and a disconnect must
            # be noticed while the request is handled.
            self._transport.resume_reading()
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: RawRequest) -> None:
        try:
            await self._handler.handle(request, self)
        except (CallerDisconnectedError, asyncio.CancelledError):
            pass
        except Exception:
            _log.exception("request handler failed", extra={"step": "serve"})
        finally:
            self._task = None
            self.on_disconnect = None
            self._next_request()

    def _next_request(self) -> None:
        self._request = None
        self._holding.resize(0)
        self._holding.may_be_given_up = True
        self._limits = self._handler.limits
        self._waiting_since_s = self._clock.monotonic_s()
        if self.is_disconnected:
            return
        if not self.has_begun_answer:
            # The handler has failed or was cancelled; what it had sent is not known.
            self.refuse_and_close(internal_error("unknown"))
        self._is_head_request = False
        assert self._transport is not None
        self._unsent_bytes = self._transport.unsent_bytes
        self._count_unsent()
        is_done = self._http.our_state is self._http.their_state is h11.DONE
        if is_done and not self._is_last_answer:
            self._begin_next_request()
        elif is_done or self._http.our_state in (h11.MUST_CLOSE, h11.CLOSED):
            self._transport.close_after_answer(LAST_ANSWER)
        else:
            self.abort()

    def _begin_next_request(self) -> None:
        """Read the next request, once the caller has read enough of the answers."""
        self._is_waiting_for_caller = not self._can_write.is_set()
        if not self._is_waiting_for_caller and not self.is_disconnected:
            self._http.start_next_cycle()
            self._process_input()

    def _give_up(self) -> None:
        """Refuse the request that is being read: all requests together hold too much.

        It holds the most of those that have not begun to run.
        """
        self._request = None
        if self.is_disconnected:
            return
        self._reject(self._overload("too many large requests at the same time"))

    def _give_up_input(self) -> None:
        """Discard pipelined requests: what was received of all holds too much.

        The connection closes after the answers that have begun.
        """
        self._input.clear()
        if self._task is not None:
            self._is_last_answer = True
        elif self._http.our_state is h11.DONE and self._transport is not None:
            # Between two requests, also while the next one waits for the caller.
            self._transport.close_after_answer("too many bytes")
        else:
            self._give_up()

    @staticmethod
    def _overload(detail: str) -> Refusal:
        return Refusal(
            503, "too-many-bytes", detail, step="read", retry_after_s=RETRY_AFTER_S
        )

    def _count_unsent(self) -> None:
        if self._transport is not None:
            self._unsent.resize(self._transport.unsent_bytes)

    def _give_up_sending(self) -> None:
        """Reset the connection: its caller reads the least of what all have to."""
        if self._transport is not None:
            self._transport.reset("caller does not read")

    def _reject(self, refusal: Refusal) -> None:
        """Refuse a request that is still being read, and close."""
        assert self._transport is not None
        self._request = None
        self._input.clear()
        self._holding.resize(0)
        self._unparsed.resize(0)
        _log.info(
            "request rejected",
            extra={
                "peer": self._transport.peer,
                "status": refusal.status,
                "error": refusal.message,
                "step": refusal.step,
            },
        )
        self.refuse_and_close(refusal)
        self._transport.close_after_answer("request rejected")
