"""A server of a plain service, which one request may crash."""

from __future__ import annotations

import asyncio
import time

from review.common_3.http_server import HttpServer, Request, answer
from review.common_3.record import Record

__all__ = ["PlainServer"]

WORK_S = 0.045


class PlainServer(HttpServer):
    """Answers each request after its work, with its proof."""

    def __init__(self, name: str, record: Record) -> None:
        """Start sound."""
        super().__init__()
        self.name = name
        self.ip = ""
        self.is_up = True
        self.born_ms = int(time.time() * 1000)
        # Path and account of the request that crashes a server.
        self.deadly: tuple[str, str] | None = None
        # When the request that crashes the server reached it, and when it crashed.
        self.deadly_reached_s: list[float] = []
        self.deadly_crashes_s: list[float] = []
        # The requests that it has begun: when, id and account.
        self.runs: list[tuple[float, str, str | None]] = []
        self._record = record

    def crash(self, reason: str) -> None:
        """End at once; connections are reset and new ones are refused."""
        self._record.note(f"{self.name} crashes: {reason}")
        self.is_up = False
        self.stop()

    async def restart(self) -> None:
        """Start again under the same id."""
        self.born_ms = int(time.time() * 1000)
        await self.start(self.ip, self.port)
        self.is_up = True
        self._record.note(f"{self.name} is back")

    async def exchange(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        if request.path == "/health":
            writer.write(answer(200, headers={"X-Instance-Id": self.name}))
            await writer.drain()
            return True
        headers = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(answer(421, headers=headers))
            await writer.drain()
            return True
        request_id, account = headers["X-Request-Id"], request.headers.get("x-tenant")
        at_s = self._record.note(
            f"{self.name} runs {request_id}, {request.path} of {account}"
        )
        self.runs.append((at_s, request_id, account))
        await asyncio.sleep(WORK_S)
        if self.deadly == (request.path, account):
            self.deadly_reached_s.append(at_s)
            if self.is_up:
                self.deadly_crashes_s.append(self._record.now_s())
                self.crash(f"{request_id} is deadly")
            return False
        headers |= {"X-Response-Signature": f"{self.name}.proof"}
        writer.write(answer(200, b"x" * 800, headers))
        await writer.drain()
        return True
