"""The mechanisms of the direct path, what switches each off, and its scenario."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MUTATIONS", "Mutation"]


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism, the edit that switches it off, and the scenario that must then fail.

    ``module`` is relative to ``lentiltally``; its text ``before`` is replaced by
    ``after``. ``feature`` is relative to ``tests`` and has no suffix, ``scenario`` is a
    part of a scenario's title.
    """

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
        "if is_idempotent and self._executions < self._route.max_targets:",
        "if self._executions < 2:",
        "direct/streams",
        "aborts a stream that",
    ),
    Mutation(
        "execution status of refusals",
        "direct/handling.py",
        "elif self._executions > 0 or self._is_in_flight:",
        "elif False:",
        "direct/path",
        "never retries a non-idempotent request",
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
        "signature of answers",
        "direct/target_exchange.py",
        "return head.signature is not None and not head.is_encoded",
        "return True",
        "direct/path",
        "never retries a non-idempotent request",
    ),
    Mutation(
        "reset of an answer without a length",
        "direct/http_connection.py",
        'self._record_error(f"connection lost: {error}")',
        'self._http.receive_data(b"")',
        "direct/path",
        "as broken after a reset",
    ),
    Mutation(
        "disconnected caller",
        "direct/handling.py",
        "self._connection.on_disconnect = lambda: _cancel(task)",
        "pass",
        "direct/streams",
        "cancels a stream",
    ),
    Mutation(
        "number of targets",
        "direct/handling.py",
        "if is_idempotent and self._executions < self._route.max_targets:",
        "if is_idempotent:",
        "direct/path",
        "no more targets than the route allows",
    ),
    Mutation(
        "target's identity",
        "platform/http_headers.py",
        'headers.append((b"X-Expected-Instance", attempt.target_id.encode()))',
        "pass",
        "direct/path",
        "address that another target took over",
    ),
    Mutation(
        "order of stream events",
        "decisions/event_stream.py",
        "if self._last_id is not None and number != self._last_id + 1:",
        "if False:",
        "direct/streams",
        "resumes a stream on another engine",
    ),
    Mutation(
        "order of configuration versions",
        "direct/entry_state.py",
        "if self.table is not None and state.version <= self.table.state.version:",
        "if False:",
        "direct/platform",
        "follows the configuration and never returns",
    ),
    Mutation(
        "draining targets",
        "decisions/target_directory.py",
        "            and known.record.stage is TargetStage.READY\n",
        "",
        "direct/platform",
        "sends no request to a draining",
    ),
    Mutation(
        "order of target records",
        "decisions/target_directory.py",
        "if is_same_start and before.stage is TargetStage.DRAINING:",
        "if False:",
        "direct/platform",
        "ignores a stale record",
    ),
    Mutation(
        "newest adapter version",
        "decisions/engine_slots.py",
        "return self._loaded_versions[key] >= self._newest_versions.get(key, 0)",
        "return True",
        "direct/streams",
        "serves the newest version",
    ),
    Mutation(
        "pinned adapters",
        "decisions/engine_slots.py",
        "idle = [key for key in self._loaded_versions if key not in used]",
        "idle = list(self._loaded_versions)",
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
        "retry budget",
        "decisions/service_retry_budget.py",
        "if self.remaining(entries, now_s) < 1.0 + reserve:",
        "if len(self._retries) > 500:",
        "decisions/direct_limits",
        "stay within the shared limit",
    ),
    Mutation(
        "sequence of orders",
        "platform/engine_control.py",
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
        "finished requests are no crash suspects",
        "decisions/crash_suspects.py",
        "if now_s - self._finished_at_s.get(fingerprint, -REFUSAL_S) < REFUSAL_S:",
        "if False:",
        "decisions/direct_limits",
        "exclude requests if an equal one finished recently",
    ),
    Mutation(
        "crashing requests",
        "decisions/crash_suspects.py",
        "return len(recent) >= CRASHES_BEFORE_REFUSAL",
        "return False",
        "decisions/direct_limits",
        "refused after the second target",
    ),
    Mutation(
        "long poll within the configuration's bound",
        "direct/entry_process.py",
        "CONFIGURATION_WAIT_SHARE = 0.5",
        "CONFIGURATION_WAIT_SHARE = 2.5",
        "direct/platform",
        "first answer with it is lost",
    ),
    Mutation(
        "timeout of streams with long gaps",
        "decisions/target_timeouts.py",
        "max(settings.min_event_gap_s, settings.event_gap_factor * max_gap_s),",
        "settings.min_event_gap_s,",
        "decisions/target_timeouts",
        "the longest gap",
    ),
    Mutation(
        "spread of a popular adapter",
        "decisions/target_choice.py",
        "pending_prefill_weight: float = 1.5",
        "pending_prefill_weight: float = 1.0",
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
        "body forwarded unchanged",
        "direct/target_exchange.py",
        "                request.body,\n",
        "                request.body.upper(),\n",
        "direct/path",
        "headers and body unchanged",
    ),
    Mutation(
        "headers that only the system may set",
        "platform/http_headers.py",
        "dropped = _HOP_BY_HOP | _RESERVED_HEADERS | _connection_options(pairs)",
        "dropped = _HOP_BY_HOP | _connection_options(pairs)",
        "direct/path",
        "headers and body unchanged",
    ),
    Mutation(
        "callers' own headers",
        "platform/http_headers.py",
        "headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped),\n"
        "        body=body,",
        'headers=tuple(p for p in pairs if p[0].lower() == b"x-request-id"),\n'
        "        body=body,",
        "direct/path",
        "headers and body unchanged",
    ),
    Mutation(
        "deadline sent to targets",
        "platform/http_headers.py",
        "left_ms = max(1, int(attempt.left_s * MS_PER_S))",
        "left_ms = 60_000",
        "direct/path",
        "the time left to the deadline",
    ),
    Mutation(
        "readiness",
        "direct/entry_process.py",
        "if self._state.table is None or not self._targets.is_current:",
        "if False:",
        "direct/platform",
        "is not ready before it has a configuration",
    ),
    Mutation(
        "open requests at a stop",
        "direct/entry_process.py",
        "while self._clock.monotonic_s() < until_s and self._connections:",
        "while False:",
        "direct/platform",
        "finishes requests that run longer",
    ),
    Mutation(
        "draining during a load",
        "direct/handling.py",
        "if not self._state.directory.is_usable(candidate.record.target_id):",
        "if False:",
        "direct/streams",
        "began to drain during a load",
    ),
    Mutation(
        "read of a stale list",
        "direct/keyed_feed.py",
        "        self._read_requested.set()",
        "        pass",
        "direct/feed_pace",
        "reads at once",
    ),
    Mutation(
        "loads under way",
        "decisions/engine_slots.py",
        "if len(report.loading) >= self._settings.max_concurrent_loads:",
        "if False:",
        "decisions/engine_slots",
        "order a third load",
    ),
    Mutation(
        "retry delay",
        "direct/handling.py",
        "retry_after_s=self._context.retry_after_s() if is_retryable else None,",
        "retry_after_s=None,",
        "direct/path",
        "refuses at once when every target is full",
    ),
    Mutation(
        "prefill pacing",
        "decisions/prefill_pacing.py",
        "return self.tokens + tokens <= self._settings.max_tokens",
        "return True",
        "decisions/prefill_pacing",
        "limits the prompt tokens in prefill",
    ),
    Mutation(
        "requests in time first",
        "decisions/engine_slots.py",
        "is_late = prefilled_at_s > request.objective_deadline_s",
        "is_late = False",
        "decisions/engine_slots",
        "serve requests first that can still meet their objective",
    ),
    Mutation(
        "no new request during a stop",
        "direct/entry_process.py",
        "self._forwarder.stop_accepting()",
        "pass",
        "direct/streams",
        "pipelined behind a stream",
    ),
    Mutation(
        "slow store",
        "platform/store_client.py",
        "timeout_s = wait_s + LONG_POLL_GRACE_S if wait_s else CALL_TIMEOUT_S",
        "timeout_s = wait_s + LONG_POLL_GRACE_S",
        "direct/feed_pace",
        "while the store is slow",
    ),
    Mutation(
        "evicted adapters reload fast",
        "decisions/target_choice.py",
        "return (view.cached | frozenset(known.loaded)) - frozenset(state.loaded)",
        "return frozenset()",
        "decisions/direct_choice",
        "between two complete lists",
    ),
    Mutation(
        "states no more often than needed",
        "direct/state_publisher.py",
        "pause_s = REPEAT_INTERVAL_S if load == self._sent_load else LOAD_INTERVAL_S",
        "pause_s = LOAD_INTERVAL_S",
        "direct/state_publisher",
        "no more often than changes require",
    ),
    Mutation(
        "cached adapters for a new entry",
        "direct/state_publisher.py",
        """        if is_new:
            self._sent_adapters = None
            self._cached_sent_at_s = None
""",
        "",
        "direct/state_publisher",
        "sends a new entry",
    ),
    Mutation(
        "restart of an agent is no failure",
        "pipeline/dispatch.py",
        "frozenset({ANSWER_MISMATCH, RefusalReason.OTHER_INCARNATION.value})",
        "frozenset({ANSWER_MISMATCH})",
        "pipeline/dispatch",
        "gives up on the second failure",
    ),
)
