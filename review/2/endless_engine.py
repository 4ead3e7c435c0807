"""A model engine whose reports have no end, in a process of its own.

It answers as a sound engine does until it gets SIGUSR1. Then the body of each report is
sent without end, until the caller closes. It prints one line for each such answer.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time

import review.common  # noqa: F401
from standins.platform_engine import PlatformEngineStandIn
from standins.raw_http import RawRequest

BLOCK = b"a" * 65_536
# The link of a 'side' machine has 2,000 Mbit/s; the engine sends no faster than that.
LINK_BYTES_PER_S = 2_000e6 / 8


class EndlessEngine(PlatformEngineStandIn):
    """Sends reports without end once ``is_faulty`` is set."""

    is_faulty = False

    async def exchange(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer as usual, or without end until the caller closes."""
        if not self.is_faulty or request.path != "/-/report":
            return await super().exchange(request, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
        sent_bytes = 0
        started_s = time.monotonic()
        try:
            while not writer.is_closing():
                writer.write(BLOCK)
                await writer.drain()
                sent_bytes += len(BLOCK)
                ahead_s = sent_bytes / LINK_BYTES_PER_S - (time.monotonic() - started_s)
                if ahead_s > 0:
                    await asyncio.sleep(ahead_s)
        finally:
            took_s = time.monotonic() - started_s
            print(
                f"report without end: {sent_bytes} bytes in {took_s:.2f} s", flush=True
            )
        return False


async def main(name: str, ip: str, port: int) -> None:
    """Serve until ended."""
    engine = EndlessEngine(name, model="m0", slots=6, born=int(time.time() * 1000))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, lambda: setattr(engine, "is_faulty", True))
    await engine.start(ip, port)
    print(f"ready {engine.born}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
