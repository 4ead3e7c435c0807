"""Mutations, each of which turns off one mechanism of the decision classes.

A mutation must lead to violations; otherwise its mechanism is untested or useless.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bench._guarantees.components import Components
from lentiltally.decisions import answers, attempts, claim_resolution, claims
from lentiltally.decisions.adapter_slots import AdapterSlots
from lentiltally.decisions.membership import ListedHost, Membership
from lentiltally.decisions.minted_keys import KeyResult, MintedKeyTable, RunAttempt
from lentiltally.decisions.ownership import Ownership
from lentiltally.ids import split_attempt_id
from lentiltally.wire import messages


class _NoTombstones(attempts.AttemptTable):
    def _refuse_unseen(
        self, attempt_id: str, entry: attempts._EntryAttempts
    ) -> attempts.RefuseResult:
        del entry
        return attempts.Refused(attempt_id, was_queued=False)


class _NoDroppedWatermark(attempts.AttemptTable):
    def _drop_lowest(self, incarnation: str) -> None:
        super()._drop_lowest(incarnation)
        entry = self._entries[incarnation]
        entry.dropped_watermark = entry.executed_watermark = 0


class _IgnoresExecuteIncarnation(attempts.AttemptTable):
    def offer(
        self, attempt_id: str, addressed_incarnation: str, now_s: float
    ) -> attempts.OfferResult:
        del addressed_incarnation
        return super().offer(attempt_id, self._agent_incarnation, now_s)


class _IgnoresRefuseIncarnation(attempts.AttemptTable):
    def refuse(
        self, attempt_id: str, addressed_incarnation: str | None = None
    ) -> attempts.RefuseResult:
        del addressed_incarnation
        return super().refuse(attempt_id)


class _RefusesStarted(attempts.AttemptTable):
    def refuse(
        self, attempt_id: str, addressed_incarnation: str | None = None
    ) -> attempts.RefuseResult:
        result = super().refuse(attempt_id, addressed_incarnation)
        if isinstance(result, attempts.Running):
            return attempts.Refused(attempt_id, was_queued=False)
        return result


class _ForgetsReleased(attempts.AttemptTable):
    def released(self, attempt_id: str) -> None:
        super().released(attempt_id)
        incarnation, sequence = split_attempt_id(attempt_id)
        entry = self._entries.get(incarnation)
        if entry is None or sequence not in entry.records:
            return
        if entry.records[sequence].state is attempts.AttemptState.RELEASED:
            entry.closed.remove(sequence)
            self._closed_order.remove(incarnation)
            del entry.records[sequence]


class _HighestOffsetWins(claims.ClaimTable):
    def _unexpired(self, key_hash: bytes) -> list[bytes]:
        return super()._unexpired(key_hash)[::-1]


class _KeepsFailedClaim(claim_resolution.ClaimResolution):
    """Refuses after a failed append, but dispatches if the claim wins later."""

    def append_failed(self) -> claim_resolution.Actions:
        return [claim_resolution.Refuse("no", 503, "mutation")]


class _AbandonsUnknown(claim_resolution.ClaimResolution):
    def _end_unknown(self, claim_id: str) -> claim_resolution.Actions:
        record = claims.AbandonRecord(self._team, self._key, claim_id)
        self._is_dispatched = False
        return [
            claim_resolution.AppendAbandon(record),
            *self._end(claim_resolution.Refuse("unknown", 409, "mutation")),
        ]


class _NoPins(AdapterSlots):
    def _victim(self, wanted: Sequence[str]) -> str | None:
        self._pins.clear()
        return super()._victim(wanted)


class _TrustsStaleLists(AdapterSlots):
    def engine_listed(
        self,
        incarnation: str,
        adapters: Collection[str],
        requested_at: int | None = None,
    ) -> list[str]:
        del requested_at
        return super().engine_listed(incarnation, adapters)


class _ConstantFencingToken(Ownership):
    @property
    def token(self) -> int | None:
        return None if super().token is None else 1


class _NoPauseCheck(Ownership):
    @property
    def needs_check(self) -> bool:
        return False


class _NoDrainNotice(Membership):
    def apply_state(self, state: messages.TargetState, now_s: float) -> bool:
        if state.status == "leaving":
            return False
        return super().apply_state(state, now_s)


class _IgnoresStateSequence(Membership):
    def apply_state(self, state: messages.TargetState, now_s: float) -> bool:
        known = self.state(state.target)
        if known is not None and known.agent_incarnation == state.agent_incarnation:
            del self._agents[state.agent].targets[state.target]
        return super().apply_state(state, now_s)


class _NoHostList(Membership):
    def host_list_received(
        self,
        hosts: Sequence[ListedHost],
        now_s: float,
        requested_at_s: float | None = None,
    ) -> None:
        super().host_list_received([], now_s, requested_at_s)


class _IgnoresHostListAge(Membership):
    def _is_host_list_stale(self, now_s: float) -> bool:
        return False


class _RepeatsEvents(answers.AnswerAssembly):
    def _events(
        self, message: messages.AnswerEvents, now_s: float
    ) -> list[answers.AnswerAction]:
        self._next_index = min(self._next_index, message.first_index)
        return super()._events(message, now_s)


class _SkipsGaps(answers.AnswerAssembly):
    def _events(
        self, message: messages.AnswerEvents, now_s: float
    ) -> list[answers.AnswerAction]:
        self._next_index = max(self._next_index, message.first_index)
        return super()._events(message, now_s)


class _IgnoresTotal(answers.AnswerAssembly):
    def _check_end(self, now_s: float) -> list[answers.AnswerAction]:
        if self._total is not None and self._has_head:
            self._total = self._next_index
        return super()._check_end(now_s)


class _IgnoresAttemptId(answers.AnswerAssembly):
    def received(
        self, message: answers.AnswerMessage, now_s: float
    ) -> list[answers.AnswerAction]:
        self._attempt_id = message.attempt_id
        return super().received(message, now_s)


class _RunsMintedKeysAgain(MintedKeyTable):
    def offer(
        self, nonce: str, body_digest: bytes, attempt_id: str, now_s: float
    ) -> KeyResult:
        return RunAttempt()


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mutation, the guarantee that it violates, and the mechanism it turns off."""

    components: Components
    guarantee: str
    mechanism: str


def _build_mutations() -> dict[str, Mutation]:
    rows: list[tuple[str, Components, str, str]] = [
        (
            "tombstones",
            Components(attempts=_NoTombstones),
            "g4",
            "tombstone of a refusal",
        ),
        (
            "low-mark",
            Components(attempts=_NoDroppedWatermark),
            "g5",
            "watermark of dropped attempts",
        ),
        (
            "execute-run",
            Components(attempts=_IgnoresExecuteIncarnation),
            "g5",
            "incarnation on Execute",
        ),
        (
            "refuse-run",
            Components(attempts=_IgnoresRefuseIncarnation),
            "g4",
            "incarnation on Resume and Cancel",
        ),
        (
            "refuse-started",
            Components(attempts=_RefusesStarted),
            "g4",
            "no late refusal",
        ),
        ("released", Components(attempts=_ForgetsReleased), "g5", "memory of released"),
        (
            "lowest-offset",
            Components(claims=_HighestOffsetWins),
            "g5",
            "lowest offset wins",
        ),
        (
            "claim-drop",
            Components(resolution=_KeepsFailedClaim),
            "g4",
            "claim dropped for good",
        ),
        ("unknown", Components(resolution=_AbandonsUnknown), "g5", "unknown is not no"),
        (
            "minted-once",
            Components(minted_key_table=_RunsMintedKeysAgain),
            "g5",
            "memory of minted keys",
        ),
        (
            "minted-run",
            Components(checks_minted_incarnation=False),
            "g5",
            "incarnation in the key",
        ),
        (
            "answer-check",
            Components(checks_answers=False),
            "g1",
            "model and incarnation on answers",
        ),
        ("pins", Components(adapter_slots=_NoPins), "g2", "pins"),
        (
            "old-list",
            Components(adapter_slots=_TrustsStaleLists),
            "g2",
            "age of the engine's list",
        ),
        ("fencing", Components(ownership=_ConstantFencingToken), "g2", "fencing token"),
        (
            "fence-order",
            Components(fences_before_pin=False),
            "g2",
            "first order is a fence",
        ),
        (
            "pause-check",
            Components(ownership=_NoPauseCheck),
            "g2",
            "check after a pause",
        ),
        (
            "event-index",
            Components(assembly=_RepeatsEvents),
            "g3",
            "duplicates by index",
        ),
        ("gaps", Components(assembly=_SkipsGaps), "g3", "resume on a gap"),
        ("total", Components(assembly=_IgnoresTotal), "g3", "end only when whole"),
        (
            "attempt-id",
            Components(assembly=_IgnoresAttemptId),
            "g3",
            "attempt id on messages",
        ),
        (
            "leaving-notice",
            Components(membership=_NoDrainNotice),
            "g6",
            "agent's notice",
        ),
        (
            "state-sequence",
            Components(membership=_IgnoresStateSequence),
            "g6",
            "sequence of states",
        ),
        ("host-list", Components(membership=_NoHostList), "g6", "host list"),
        (
            "host-list-age",
            Components(membership=_IgnoresHostListAge),
            "g6",
            "age of the host list",
        ),
        (
            "release-wait",
            Components(waits_for_release=False),
            "g7",
            "end after release",
        ),
        (
            "config-revision",
            Components(checks_revisions=False),
            "g8",
            "expected revision",
        ),
        ("config-id", Components(checks_change_ids=False), "g8", "known change ids"),
        (
            "config-offset",
            Components(keeps_newer_tree=False),
            "g8",
            "never a lower offset",
        ),
    ]
    return {
        name: Mutation(components, guarantee, mechanism)
        for name, components, guarantee, mechanism in rows
    }


MUTATIONS = _build_mutations()
