"""Switches mechanisms of the direct path off, one at a time, and runs their tests.

``python -m tools.mutations`` prints a line for each mechanism: ``red`` if its scenario
fails without the mechanism, as it must, or ``GREEN`` if the test can't fail.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LEFT_OUT = (".git", ".venv", ".*_cache", "__pycache__", "journal", "target", "dist")


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism, the text that switches it off, and the scenario that must fail."""

    mechanism: str
    module: str
    before: str
    after: str
    feature: str
    scenario: str


MUTATIONS = (
    Mutation(
        "at most once",
        "direct/handling.py",
        "if is_repeatable and self._runs < self._route.max_targets:",
        "if self._runs < 2:",
        "direct/streams",
        "breaks a stream visibly",
    ),
    Mutation(
        "true refusal",
        "direct/handling.py",
        "elif self._runs > 0 or self._is_sent:",
        "elif False:",
        "direct/path",
        "never repeats work",
    ),
    Mutation(
        "id check of answers",
        "direct/target_exchange.py",
        "if head.request_id == self._request.request_id:",
        "if True:",
        "direct/path",
        "only the answer to its own request",
    ),
    Mutation(
        "proof of answers",
        "direct/target_exchange.py",
        "return head.proof is not None and not head.is_encoded",
        "return True",
        "direct/path",
        "never repeats work",
    ),
    Mutation(
        "reset of an answer without a length",
        "direct/http_connection.py",
        'self._fail(f"connection lost: {error}")',
        'self._http.receive_data(b"")',
        "direct/path",
        "as broken after a reset",
    ),
    Mutation(
        "caller left",
        "direct/handling.py",
        "self._connection.on_gone = lambda: _cancel(task)",
        "pass",
        "direct/streams",
        "drops a stream",
    ),
    Mutation(
        "number of targets",
        "direct/handling.py",
        "if is_repeatable and self._runs < self._route.max_targets:",
        "if is_repeatable:",
        "direct/path",
        "no more targets than the route allows",
    ),
    Mutation(
        "target's identity",
        "platform/http_names.py",
        'headers.append((b"X-Expected-Instance", send.target_id.encode()))',
        "pass",
        "direct/path",
        "address that another target took over",
    ),
    Mutation(
        "order of stream events",
        "decisions/event_stream.py",
        "if self._last is not None and number != self._last + 1:",
        "if False:",
        "direct/streams",
        "resumes a stream at another engine",
    ),
    Mutation(
        "configuration never goes back",
        "direct/entry_state.py",
        "if self.table is not None and state.version <= self.table.state.version:",
        "if False:",
        "direct/platform",
        "follows the configuration and never goes back",
    ),
    Mutation(
        "leaving targets",
        "decisions/target_directory.py",
        "            and known.record.stage is TargetStage.READY\n",
        "",
        "direct/platform",
        "sends nothing to a target that leaves",
    ),
    Mutation(
        "order of target records",
        "decisions/target_directory.py",
        "if is_same_start and before.stage is TargetStage.LEAVING:",
        "if False:",
        "direct/platform",
        "ignores an old record",
    ),
    Mutation(
        "newest adapter version",
        "decisions/engine_slots.py",
        "return self._held[key] >= self._newest.get(key, 0)",
        "return True",
        "direct/streams",
        "serves the newest version",
    ),
    Mutation(
        "adapter in use",
        "decisions/engine_slots.py",
        "idle = [key for key in self._held if key not in used]",
        "idle = list(self._held)",
        "decisions/engine_slots",
        "keep what a request uses",
    ),
    Mutation(
        "slot limit",
        "decisions/engine_slots.py",
        "return used < self._spec.adapter_slots and fits",
        "return True",
        "decisions/engine_slots",
        "never order more loads than slots",
    ),
    Mutation(
        "resend budget",
        "decisions/resend_budget.py",
        "if self.left(entries, now_s) < 1.0 + reserve:",
        "if len(self._resends) > 500:",
        "decisions/direct_limits",
        "stay within the shared bound",
    ),
    Mutation(
        "sequence of orders",
        "platform/engine_calls.py",
        "expect=order.expected_sequence,",
        "expect=0,",
        "platform/adapter",
        "writes orders with all that engines check",
    ),
    Mutation(
        "one target at an address",
        "decisions/target_directory.py",
        "and self._is_last_at_address(known.record)",
        "and True",
        "decisions/direct_limits",
        "uses the last of two targets",
    ),
    Mutation(
        "ordinary work is no crash suspect",
        "decisions/crash_suspects.py",
        "if now_s - self._finished_at_s.get(print_, -REFUSE_S) < REFUSE_S:",
        "if False:",
        "decisions/direct_limits",
        "leave out what others ran to its end lately",
    ),
    Mutation(
        "crashing requests",
        "decisions/crash_suspects.py",
        "return len(recent) >= CRASHES_TO_REFUSE",
        "return False",
        "decisions/direct_limits",
        "refused after the second target",
    ),
    Mutation(
        "wait within the configuration's bound",
        "direct/entry_process.py",
        "CONFIGURATION_WAIT_SHARE = 0.3",
        "CONFIGURATION_WAIT_SHARE = 2.5",
        "direct/platform",
        "first answer from the store is lost",
    ),
    Mutation(
        "patience with long pauses",
        "decisions/answer_patience.py",
        "max(settings.stall_s, settings.stall_gaps * max_gap_s),",
        "settings.stall_s,",
        "decisions/answer_patience",
        "the longest pause",
    ),
    Mutation(
        "crowded adapters",
        "decisions/target_choice.py",
        "crowd_weight: float = 1.5",
        "crowd_weight: float = 1.0",
        "decisions/direct_choice",
        "a second engine",
    ),
)


def main(arguments: Sequence[str]) -> int:
    """Try the named mechanisms, or all, and return 0 if each scenario turns red."""
    green = tried = 0
    for mutation in MUTATIONS:
        if arguments and mutation.mechanism not in arguments:
            continue
        tried += 1
        is_red = _fails_without(mutation)
        green += not is_red
        print(f"{'red' if is_red else 'GREEN'}: {mutation.mechanism}", flush=True)
    print(f"{tried - green} of {tried} mechanisms have such a test")
    return 1 if green else 0


def _fails_without(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder, "copy")
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(*LEFT_OUT))
        module = copy / "lentiltally" / mutation.module
        text = module.read_text()
        if text.count(mutation.before) != 1:
            raise SystemExit(f"{mutation.mechanism}: text not found once")
        text = text.replace(mutation.before, mutation.after)
        module.write_text(text)
        command = [sys.executable, "-m", "behave", "--format=progress"]
        command += [f"tests/{mutation.feature}.feature", "--name", mutation.scenario]
        result = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, check=False
        )
        # A run that can't be loaded fails too, so the summary must count the scenario.
        return (
            re.search(
                r"passed, ([1-9]\d* failed|0 failed, [1-9]\d* error)", result.stdout
            )
            is not None
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
