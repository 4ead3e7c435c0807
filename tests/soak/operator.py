"""The operator of a soak, who writes versions of the configuration."""

from __future__ import annotations

import asyncio
import random

from standins.platform_store import PlatformStoreStandIn
from tests.fakes.direct import configuration, route

ADAPTER_SLOTS = 2
VERSION_INTERVAL_S = 0.7
# Part of the versions after which the store keeps a copy to come back from.
COPY_SHARE = 0.4


class Operator:
    """Writes versions with a route of their own, ``/nVERSION/``."""

    def __init__(self, store: PlatformStoreStandIn, rng: random.Random) -> None:
        self.version = 0
        self._store = store
        self._rng = rng

    def write_next(self) -> None:
        self.version += 1
        self.write_again()

    def write_again(self) -> None:
        """Write the newest version, which a restored store may have lost."""
        routes = [
            *configuration(1)["routes"],
            route(f"n{self.version}", "safe", "plain"),
        ]
        document = configuration(self.version, routes, adapter_slots=ADAPTER_SLOTS)
        self._store.put_json("keyed.op", "config", document)

    async def run(self) -> None:
        """Write new versions until cancelled, and let the store keep copies."""
        while True:
            await asyncio.sleep(VERSION_INTERVAL_S)
            # A store that is away acknowledges nothing.
            if self._store.mode == "up":
                self.write_next()
                if self._rng.random() < COPY_SHARE:
                    self._store.take_copy()
