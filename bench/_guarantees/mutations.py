"""Mutations, each of which switches one mechanism off.

A mechanism without a mutation that finds violations would be untested or useless.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bench._guarantees.parts import Parts
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


class _NoLowMark(attempts.AttemptTable):
    def _drop_lowest(self, incarnation: str) -> None:
        super()._drop_lowest(incarnation)
        entry = self._entries[incarnation]
        entry.dropped_watermark = entry.executed_watermark = 0


class _AnyIncarnation(attempts.AttemptTable):
    def offer(
        self, attempt_id: str, addressed_incarnation: str, now_s: float
    ) -> attempts.OfferResult:
        del addressed_incarnation
        return super().offer(attempt_id, self._agent_incarnation, now_s)


class _RefusesForOthers(attempts.AttemptTable):
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


class _HighestOffset(claims.ClaimTable):
    def _unexpired(self, key_hash: bytes) -> list[bytes]:
        return super()._unexpired(key_hash)[::-1]


class _KeepsClaim(claim_resolution.ClaimResolution):
    """Refuses after a lost append, and dispatches if the claim then wins."""

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


class _TrustsOldLists(AdapterSlots):
    def engine_listed(
        self,
        incarnation: str,
        adapters: Collection[str],
        requested_at: int | None = None,
    ) -> list[str]:
        del requested_at
        return super().engine_listed(incarnation, adapters)


class _SameToken(Ownership):
    @property
    def token(self) -> int | None:
        return None if super().token is None else 1


class _NoPauseCheck(Ownership):
    @property
    def needs_check(self) -> bool:
        return False


class _NoLeavingNotice(Membership):
    def apply_state(self, state: messages.TargetState, now_s: float) -> bool:
        if state.status == "leaving":
            return False
        return super().apply_state(state, now_s)


class _AnySequence(Membership):
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
        asked_at_s: float | None = None,
    ) -> None:
        super().host_list_received([], now_s, asked_at_s)


class _OldHostList(Membership):
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


class _AnyAttempt(answers.AnswerAssembly):
    def received(
        self, message: answers.AnswerMessage, now_s: float
    ) -> list[answers.AnswerAction]:
        self._attempt_id = message.attempt_id
        return super().received(message, now_s)


class _RunsKeysAgain(MintedKeyTable):
    def offer(
        self, nonce: str, body_digest: bytes, attempt_id: str, now_s: float
    ) -> KeyResult:
        return RunAttempt()


@dataclass(frozen=True, slots=True)
class Mutation:
    """A switched-off mechanism and the guarantee that it protects first."""

    parts: Parts
    guarantee: str
    mechanism: str


def _table() -> dict[str, Mutation]:
    rows: list[tuple[str, Parts, str, str]] = [
        ("tombstones", Parts(attempts=_NoTombstones), "g4", "tombstone of a refusal"),
        ("low-mark", Parts(attempts=_NoLowMark), "g5", "dropped mark"),
        ("execute-run", Parts(attempts=_AnyIncarnation), "g5", "run on Execute"),
        (
            "refuse-run",
            Parts(attempts=_RefusesForOthers),
            "g4",
            "run on Resume, Cancel",
        ),
        ("refuse-started", Parts(attempts=_RefusesStarted), "g4", "no late refusal"),
        ("released", Parts(attempts=_ForgetsReleased), "g5", "memory of released"),
        ("lowest-offset", Parts(claims=_HighestOffset), "g5", "lowest offset wins"),
        ("claim-drop", Parts(resolution=_KeepsClaim), "g4", "claim dropped for good"),
        ("unknown", Parts(resolution=_AbandonsUnknown), "g5", "unknown is not no"),
        ("minted-once", Parts(minted=_RunsKeysAgain), "g5", "memory of minted keys"),
        ("minted-run", Parts(checks_minted_incarnation=False), "g5", "run in the key"),
        ("answer-check", Parts(checks_answers=False), "g1", "model and run on answers"),
        ("pins", Parts(slots=_NoPins), "g2", "pins"),
        ("old-list", Parts(slots=_TrustsOldLists), "g2", "age of the engine's list"),
        ("fencing", Parts(ownership=_SameToken), "g2", "fencing token"),
        ("fence-order", Parts(fences_before_pin=False), "g2", "first order is a fence"),
        ("pause-check", Parts(ownership=_NoPauseCheck), "g2", "check after a pause"),
        ("event-index", Parts(assembly=_RepeatsEvents), "g3", "duplicates by index"),
        ("gaps", Parts(assembly=_SkipsGaps), "g3", "resume on a gap"),
        ("total", Parts(assembly=_IgnoresTotal), "g3", "end only when whole"),
        ("attempt-id", Parts(assembly=_AnyAttempt), "g3", "attempt id on messages"),
        ("leaving-notice", Parts(membership=_NoLeavingNotice), "g6", "agent's notice"),
        ("state-sequence", Parts(membership=_AnySequence), "g6", "sequence of states"),
        ("host-list", Parts(membership=_NoHostList), "g6", "host list"),
        ("host-list-age", Parts(membership=_OldHostList), "g6", "age of the host list"),
        ("release-wait", Parts(waits_for_release=False), "g7", "end after release"),
        ("config-revision", Parts(checks_revisions=False), "g8", "expected revision"),
        ("config-id", Parts(checks_change_ids=False), "g8", "known change ids"),
        ("config-offset", Parts(keeps_newer_tree=False), "g8", "never a lower offset"),
    ]
    return {
        name: Mutation(parts, guarantee, mechanism)
        for name, parts, guarantee, mechanism in rows
    }


MUTATIONS = _table()
