"""Mutations of the bounds on what is read from peers."""

from __future__ import annotations

from tools._mutation import Mutation

__all__ = ["READING_MUTATIONS"]

READING_MUTATIONS = (
    Mutation(
        "turns of connections to targets",
        "direct/http_connection.py",
        "if self._pieces_in_turn > MAX_PIECES_PER_TURN:",
        "if False:",
        "direct/read_turns",
        "let other work go on while",
    ),
    Mutation(
        "turns of callers' connections",
        "direct/caller_connection.py",
        "for _ in range(MAX_PIECES_PER_TURN):",
        "while True:",
        "direct/read_turns",
        "let other work go on while",
    ),
    Mutation(
        "one turn an iteration",
        "direct/read_turns.py",
        "        self._schedule()\n        go_on()\n",
        "        self._give_turn() if self._waiting else None\n        go_on()\n",
        "direct/read_turns",
        "let one connection go on at a time",
    ),
    Mutation(
        "search of unfinished events",
        "decisions/event_stream.py",
        'self._buffer.rfind(b"\\n\\n", searched_bytes)',
        'self._buffer.rfind(b"\\n\\n", 0)',
        "direct/read_turns",
        "searches the pieces of an event only once",
    ),
    Mutation(
        "end of an event between two pieces",
        "decisions/event_stream.py",
        "max(0, len(self._buffer) - 1)",
        "len(self._buffer)",
        "direct/read_turns",
        "finds the end of an event that is cut",
    ),
    Mutation(
        "size of a response",
        "direct/http_client.py",
        "                size.add(len(part.data))\n",
        "                size.add(0)\n",
        "direct/http_client",
        "HTTP client gives up on the",
    ),
    Mutation(
        "pieces of a message",
        "decisions/message_size.py",
        "        self._pieces += 1\n",
        "",
        "direct/http_client",
        "HTTP client gives up on the",
    ),
    Mutation(
        "size of all newest records",
        "platform/store_client.py",
        "                size.add(len(answer.body))\n",
        "                pass\n",
        "direct/http_client",
        "Store topic gives up on newest records",
    ),
    Mutation(
        "records of one page",
        "platform/store_client.py",
        "            and len(records) < MAX_PAGE_RECORDS\n",
        "",
        "direct/http_client",
        "reads a page of very many records in parts",
    ),
    Mutation(
        "turns of records",
        "direct/keyed_feed.py",
        "if number % RECORDS_PER_TURN == 0:",
        "if False:",
        "direct/http_client",
        "Feed lets other work go on",
    ),
)
