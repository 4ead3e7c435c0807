"""A client that sends one request a channel and notes what it sees."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass, field

__all__ = ["Answer", "send"]

# Longer than any deadline of the scripts, so that late answers are seen, too.
READ_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class Answer:
    """What a client saw of one request.

    Times are monotonic seconds. ``status`` is 0 without an answer. ``is_complete``
    says that the body ended as its framing says.
    """

    request_id: str
    route: str
    sent_at_s: float = 0.0
    ended_at_s: float | None = None
    left_at_s: float | None = None
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""

    def text(self) -> str:
        """Return a line for the record."""
        took = (
            "-"
            if self.ended_at_s is None
            else f"{self.ended_at_s - self.sent_at_s:.3f}"
        )
        left = (
            ""
            if self.left_at_s is None
            else f" client left after {self.left_at_s - self.sent_at_s:.3f} s"
        )
        return (
            f"request {self.request_id} {self.route}: status {self.status} "
            f"complete {self.is_complete} took {took} s{left} {self.error}"
        )


async def send(
    ip: str,
    port: int,
    route: str,
    method: str,
    path: str,
    *,
    host: str = "callers.example",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    deadline_ms: int,
    wait_s: float,
    leave_after_s: float | None = None,
    request_id: str = "",
) -> Answer:
    """Send a request and read its answer for ``wait_s`` at most.

    With ``leave_after_s`` the client closes its channel after that time if the answer
    is not complete.
    """
    answer = Answer(request_id or uuid.uuid4().hex[:16], route)
    fields = {
        "Host": host,
        "X-Request-Id": answer.request_id,
        "X-Deadline-Milliseconds": str(deadline_ms),
        **(headers or {}),
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    answer.sent_at_s = time.monotonic()
    limit_s = wait_s if leave_after_s is None else min(wait_s, leave_after_s)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                ip, port, limit=READ_LIMIT_BYTES
            )
            writer.write(head.encode() + b"\r\n" + body)
            await _read(reader, answer)
    except TimeoutError:
        if leave_after_s is not None:
            answer.left_at_s = time.monotonic()
        answer.error = "no complete answer in time"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        answer.error = repr(error)
    finally:
        answer.ended_at_s = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    line = await reader.readline()
    if not line:
        answer.error = "closed without an answer"
        return
    answer.status = int(line.split()[1])
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "") == "chunked":
        await _read_chunks(reader, answer)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readexactly(1) + await reader.readline()), 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
