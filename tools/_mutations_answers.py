"""Mutations of reading a restored store, and of statuses that are no answers."""

from __future__ import annotations

from tools._mutation import Mutation

__all__ = ["ANSWERS_MUTATIONS"]

ANSWERS_MUTATIONS = (
    Mutation(
        "statuses above 599",
        "direct/http_connection.py",
        "if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:",
        "if False:",
        "direct/odd_statuses",
        "passes no status",
    ),
    Mutation(
        "interim responses, on the own interface",
        "http_responses.py",
        "            if self.is_cut_off or _status(line) >= 200:\n",
        "            if True:\n",
        "agent/odd_statuses",
        "waits for the answer behind interim responses",
    ),
    Mutation(
        "era of the store in positions",
        "platform/store_client.py",
        "        if era is not None and era >= self._era:\n",
        "        if era is None:\n",
        "direct/store_eras",
        "follows the configuration after a restore",
    ),
    Mutation(
        "records read after a restore",
        "platform/store_client.py",
        "if position is not None and era > position_era(position):",
        "if False:",
        "direct/store_eras",
        "follows the configuration after a restore",
    ),
    Mutation(
        "grace period after a restore",
        "direct/keyed_feed.py",
        "            self._listener.on_store_recovered()\n        self._era_position",
        "        self._era_position",
        "direct/store_eras",
        "that an entry has not noticed",
    ),
)
