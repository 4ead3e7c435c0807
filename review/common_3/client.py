"""A client that sends one request on a new connection and reads the whole answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from review.common_3.record import Record

__all__ = ["Answer", "send", "wait_ready"]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got; status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def send(
    record: Record,
    address: tuple[str, int],
    request_id: str,
    *,
    host: str,
    path: str,
    headers: dict[str, str],
    method: str = "POST",
    body: bytes = b"{}",
    wait_s: float = 10.0,
) -> Answer:
    """Send a request and return its answer."""
    fields = {
        "Host": host,
        "X-Request-Id": request_id,
        "Content-Length": str(len(body)),
        "Connection": "close",
        **headers,
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    record.note(f"client sends {request_id} {headers.get('X-Model', '')}")
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            received = await reader.read(-1)
            writer.close()
    except (OSError, TimeoutError) as error:
        record.note(f"client gets no answer to {request_id}: {error!r}")
        return Answer(0, {}, b"")
    result = _parse(received)
    shown = "" if result.status == 200 else f" {result.body[:160]!r}"
    record.note(f"client gets {result.status} to {request_id}{shown}")
    return result


def _parse(received: bytes) -> Answer:
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if not lines[0].startswith("HTTP/1.1 "):
        return Answer(0, {}, received)
    fields = (line.partition(":") for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return Answer(int(lines[0].split()[1]), headers, body)


async def wait_ready(address: tuple[str, int], wait_s: float = 20.0) -> bool:
    """Wait until a front machine says that it is ready."""
    for _ in range(int(wait_s / 0.1)):
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return True
        except OSError:
            pass
        await asyncio.sleep(0.1)
    return False
