"""Mutations of what keeps two holders of a right apart, and of their parts."""

from __future__ import annotations

from tools._mutation import Mutation

__all__ = ["RIGHTS_MUTATIONS"]

RIGHTS_MUTATIONS = (
    Mutation(
        "newer of two lists for the holder of a right",
        "decisions/holder_role.py",
        "        if asker_position > self.position:\n            return True\n",
        "",
        "decisions/holder_role",
        "waits when an entry has read further",
    ),
    Mutation(
        "wait of a new holder",
        "decisions/holder_role.py",
        "known_at_s = self._named_since_s(right, now_s) + self._propagation_s",
        "known_at_s = now_s",
        "decisions/holder_role",
        "waits for agreement after a change",
    ),
    Mutation(
        "former holder that has agreed",
        "decisions/holder_role.py",
        "            self._cede(right, request.position, now_s)\n",
        "            pass\n",
        "decisions/holder_role",
        "ceases once it has agreed",
    ),
    Mutation(
        "holders that the asking agent can't know",
        "decisions/holder_role.py",
        "return tuple(sorted(hosts - known))",
        "return ()",
        "decisions/holder_role",
        "asks a holder that has left lately",
    ),
    Mutation(
        "pause of an agent that holds rights",
        "decisions/holder_role.py",
        "if now_s - self._alive_at_s > MAX_PAUSE_S:",
        "if False:",
        "decisions/holder_role",
        "asks the others after it stood still",
    ),
    Mutation(
        "part of a limit at each holder",
        "direct/limit_holder.py",
        "message.rate_per_s / standing.holders,",
        "message.rate_per_s,",
        "direct/shared_rights",
        "of a limit stay within its bound when its holder stands still",
    ),
    Mutation(
        "largest number of entries",
        "decisions/entry_count.py",
        "while self._reports and self._reports[-1][0] <= entries:",
        "while self._reports:",
        "decisions/entry_count",
        "takes the largest number",
    ),
    Mutation(
        "holders of a target's limit",
        "direct/permit_client.py",
        "            answer = await self._exchange.ask(holder, permit_id, question)\n",
        "            answer = PermitAnswer(permit_id, start, True, 0)\n",
        "direct/limits",
        "limits of plain targets",
    ),
    Mutation(
        "share of a limit without an owner",
        "direct/permit_client.py",
        "share_per_s = rate_per_s / max(1, self._state.entry_count)",
        "share_per_s = 100.0",
        "direct/limits",
        "whose owners are down",
    ),
)
