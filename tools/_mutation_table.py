"""The mechanisms of the direct path, what switches each off, and its scenario."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MUTATIONS", "Mutation"]


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
    Mutation(
        "longest prefix",
        "decisions/route_table.py",
        '        end = path.rfind("/")\n',
        '        end = path.find("/", 1)\n',
        "decisions/direct_limits",
        "takes the longest prefix",
    ),
    Mutation(
        "body passed on unchanged",
        "direct/target_exchange.py",
        "                request.body,\n",
        "                request.body.upper(),\n",
        "direct/path",
        "body on unchanged",
    ),
    Mutation(
        "headers that only the system may set",
        "platform/http_names.py",
        "dropped = _HOP | _SYSTEM | _named_by_connection(pairs)",
        "dropped = _HOP | _named_by_connection(pairs)",
        "direct/path",
        "body on unchanged",
    ),
    Mutation(
        "callers' own headers",
        "platform/http_names.py",
        "headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped),\n"
        "        body=body,",
        'headers=tuple(p for p in pairs if p[0].lower() == b"x-request-id"),\n'
        "        body=body,",
        "direct/path",
        "body on unchanged",
    ),
    Mutation(
        "deadline that shrinks",
        "platform/http_names.py",
        "left_ms = max(1, int(send.left_s * MS))",
        "left_ms = 60_000",
        "direct/path",
        "how much of the deadline is left",
    ),
    Mutation(
        "readiness",
        "direct/entry_process.py",
        "if self._state.table is None or not self._targets.is_current:",
        "if False:",
        "direct/platform",
        "is not ready before it knows a configuration",
    ),
    Mutation(
        "running work at a stop",
        "direct/entry_process.py",
        "while self._clock.monotonic_s() < until_s and self._connections:",
        "while False:",
        "direct/platform",
        "finishes work that runs longer",
    ),
    Mutation(
        "leaving while an agent works",
        "direct/handling.py",
        "if not self._state.directory.is_usable(candidate.record.target_id):",
        "if False:",
        "direct/streams",
        "began to leave while it loaded",
    ),
    Mutation(
        "list read on evidence",
        "direct/keyed_feed.py",
        "        self._soon.set()",
        "        pass",
        "direct/feed_pace",
        "reads at once",
    ),
    Mutation(
        "prompts in turn",
        "decisions/prompt_pacing.py",
        "return self.tokens + tokens <= self._settings.max_tokens",
        "return True",
        "decisions/prompt_pacing",
        "lets prompts through in turn",
    ),
    Mutation(
        "in time first",
        "decisions/engine_slots.py",
        "is_late = read_s > want.objective_until_s",
        "is_late = False",
        "decisions/engine_slots",
        "serve first what can still be in time",
    ),
)
