"""The platform's limit on the memory of a process, as a script plays it."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.common.deployment import Deployment, Host

__all__ = ["MemoryLimit"]

CHECK_INTERVAL_S = 0.01
RESTART_DELAY_S = 0.5


class MemoryLimit:
    """Watches one process, kills it above its limit, and starts it again.

    ``ends`` counts how often it was killed or has ended by itself.
    """

    def __init__(self, deployment: Deployment, host: Host, limit_mb: float) -> None:
        """Watch the process of a host."""
        self._deployment = deployment
        self._host = host
        self._limit_mb = limit_mb
        self.ends = 0
        self.peak_mb = 0.0

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            process = self._host.process
            assert process is not None
            memory_mb = _resident_mb(process.pid)
            self.peak_mb = max(self.peak_mb, memory_mb)
            if process.returncode is not None:
                await self._restart("ended by itself")
            elif memory_mb > self._limit_mb:
                process.kill()
                await process.wait()
                await self._restart(f"killed by the platform: {memory_mb:.0f} MB")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _restart(self, reason: str) -> None:
        self.ends += 1
        self._deployment.record.write(f"{self._host.name} {reason}")
        await asyncio.sleep(RESTART_DELAY_S)
        await self._deployment.start(self._host)


def _resident_mb(pid: int) -> float:
    """Return the memory of a process, 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
