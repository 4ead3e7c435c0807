"""Explains where a request would go now, and why, without sending it."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl

import msgspec
from msgspec import Struct

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.allotment_holders import allotment_holders
from lentiltally.decisions.crash_traits import canonical_part_id, part_fingerprint
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.model import ClientAccount, Route, Service, TargetRecord
from lentiltally.direct.request import AdapterRef

__all__ = ["Explainer", "Question"]

MAX_TOKENS = 10_000_000


@dataclass(frozen=True, slots=True)
class Question:
    """The request to explain.

    ``account`` is the name of its client account, ``adapter`` None if it needs none.
    ``request_id`` selects among the services of a route whose requests are split.
    """

    host: str
    path: str
    account: str = ""
    adapter: AdapterRef | None = None
    prompt_tokens: int = 0
    parts: tuple[str, ...] = ()
    request_id: str = ""

    @classmethod
    def from_query(cls, query: str) -> Question:
        """Parse the query of a URL; raises ValueError if it is malformed."""
        fields = dict(parse_qsl(query))
        missing = [name for name in ("host", "path") if not fields.get(name)]
        if missing:
            raise ValueError(f"{missing[0]} is missing")
        tokens = int(fields.get("tokens", "0"))
        if not 0 <= tokens <= MAX_TOKENS:
            raise ValueError("tokens is out of range")
        model, _, adapter = fields.get("adapter", "").partition("/")
        return cls(
            host=fields["host"].lower(),
            path=fields["path"],
            account=fields.get("account", ""),
            adapter=AdapterRef(model, adapter) if model else None,
            prompt_tokens=tokens,
            parts=tuple(filter(None, fields.get("parts", "").split(","))),
            request_id=fields.get("request", ""),
        )


class Obstacle(Struct, frozen=True):
    """Why the request would be refused now, with the status that it would get."""

    status: int
    reason: str


class Choice(Struct, frozen=True):
    """A target that takes requests; a lower ``cost_s`` goes first.

    ``cost_s`` is the expected time to the first byte. The counts are those of the last
    state of a model engine, which is ``state_age_s`` old, and None without a state.
    ``expected_other_tokens`` are prompt tokens that other entries are expected to have
    sent since, None unless the expected load is in force.
    """

    target: str
    address: str
    failure_domain: str
    cost_s: float
    adapter: str
    state_age_s: float | None
    own_requests: int
    running: int | None = None
    waiting: int | None = None
    prefill_tokens: int | None = None
    free_slots: int | None = None
    expected_other_tokens: float | None = None
    pace: float | None = None


class Explanation(Struct, frozen=True):
    """Where a request would go, best target first, and what would refuse it.

    ``not_usable`` are targets of the service that take no requests now.
    ``allotment_holders`` are the agents that decide on the account's allotment; what
    they have left is not asked. ``proof_age_s`` is the age of the proof that the
    configuration is the newest, None without accounts.
    """

    config_version: int | None
    obstacles: list[Obstacle]
    route: str = ""
    service: str = ""
    rank: int | None = None
    engine_priority: int | None = None
    account_limit_per_s: float | None = None
    allotment_holders: list[str] = []
    proof_age_s: float | None = None
    newest_adapter_version: int | None = None
    choice_by: str = ""
    choices: list[Choice] = []
    not_usable: list[str] = []


class Explainer:
    """Answers questions from what an entry knows; it changes and sends nothing."""

    def __init__(self, state: EntryState, clock: Clock) -> None:
        """Explain the choices of the entry with this state."""
        self._state = state
        self._clock = clock

    def page(self, query: str) -> tuple[int, bytes]:
        """Return status and JSON document for the query of a URL."""
        try:
            question = Question.from_query(query)
        except ValueError as error:
            return 400, msgspec.json.encode({"detail": str(error)})
        return 200, msgspec.json.encode(self.explain(question))

    def explain(self, question: Question) -> Explanation:
        """Explain one request."""
        table = self._state.table
        if table is None:
            return Explanation(None, [Obstacle(503, "no configuration is known yet")])
        version = table.state.version
        route = table.match(question.host, question.path.split("?", 1)[0])
        if route is None:
            return Explanation(version, [Obstacle(404, "no route matches")])
        service_name = table.service(route, question.request_id)
        service = table.state.services.get(service_name)
        account = self._account(question)
        account_rank = None if account is None else account.rank
        limit = None if account is None else account.limit
        obstacles = self._access_obstacles(route, question, account)
        obstacles += self._part_obstacles(question)
        ranked = [] if service is None else self._rank(service, question)
        if service is None:
            obstacles.append(Obstacle(503, "the service is not configured"))
        elif not ranked:
            obstacles.append(Obstacle(503, "no target takes requests now"))
        return Explanation(
            version,
            obstacles,
            route=route.name,
            service=service_name,
            rank=table.priorities.agent_rank(account_rank, route.rank),
            engine_priority=table.priorities.engine_priority(account_rank, route.rank),
            account_limit_per_s=None if limit is None else limit.rate_per_s,
            allotment_holders=[]
            if account is None or limit is None
            else allotment_holders(self._state.agent_list().hosts, account.name),
            proof_age_s=self._proof_age_s(),
            newest_adapter_version=self._newest_version(question),
            choice_by=self._choice_by(service),
            choices=[self._choice(candidate) for candidate in ranked],
            not_usable=self._not_usable(service_name),
        )

    def _account(self, question: Question) -> ClientAccount | None:
        table = self._state.table
        accounts = None if table is None else table.state.accounts
        return accounts.named(question.account) if accounts is not None else None

    def _access_obstacles(
        self, route: Route, question: Question, account: ClientAccount | None
    ) -> list[Obstacle]:
        state = self._state
        obstacles = []
        if not state.peer_versions.is_usable:
            reason = "the store may have lost a newer configuration than it has"
            obstacles.append(Obstacle(503, reason))
        if route.is_public or not state.has_accounts:
            return obstacles
        if not state.configuration_proof.is_valid(elapsed_s(self._clock)):
            reason = "the configuration is not confirmed to be the newest"
            obstacles.append(Obstacle(503, reason))
        if not question.account:
            obstacles.append(Obstacle(401, "the route needs a key of an account"))
        elif account is None:
            obstacles.append(Obstacle(401, "no account has this name"))
        return obstacles

    def _part_obstacles(self, question: Question) -> list[Obstacle]:
        refused = {part for part, _, _ in self._state.suspects.refused_parts()}
        return [
            Obstacle(503, f"prompt part {part} has crashed targets")
            for part in question.parts
            if part_fingerprint(canonical_part_id(part)) in refused
        ]

    def _rank(self, service: Service, question: Question) -> list[Candidate]:
        now_s = self._clock.monotonic_s()
        records = self._state.usable_targets(service.name)
        choice = self._state.choice
        if service.engine is None:
            return choice.rank_service_targets(records, (), now_s)
        adapter = question.adapter
        return choice.rank_engines(
            records,
            adapter.key if adapter else "",
            question.prompt_tokens,
            (),
            now_s,
            needs_adapter=adapter is not None and bool(adapter.adapter),
        )

    def _choice(self, candidate: Candidate) -> Choice:
        record = candidate.record
        view = self._state.choice.view(record.target_id)
        state, expected = view.state, candidate.expected
        return Choice(
            target=record.target_id,
            address=record.address,
            failure_domain=record.failure_domain,
            cost_s=round(candidate.cost_s, 4),
            adapter=candidate.residency,
            state_age_s=_rounded(candidate.state_age_s),
            own_requests=view.in_flight,
            running=None if state is None else state.running,
            waiting=None if state is None else state.waiting,
            prefill_tokens=None if state is None else state.prefill_tokens,
            free_slots=None if state is None else state.free_slots,
            expected_other_tokens=None if expected is None else expected.other_tokens,
            pace=None if expected is None else round(expected.pace, 2),
        )

    def _choice_by(self, service: Service | None) -> str:
        if service is None or service.engine is None:
            return "latency"
        in_force = self._state.choice.mode.in_force().get(service.name, False)
        return "expected load" if in_force else "reported load"

    def _not_usable(self, service: str) -> list[str]:
        usable = {record.target_id for record in self._state.usable_targets(service)}
        return [
            _describe(record)
            for record in self._state.directory.all()
            if record.service == service and record.target_id not in usable
        ]

    def _proof_age_s(self) -> float | None:
        if not self._state.has_accounts:
            return None
        age_s = self._state.configuration_proof.age_s(elapsed_s(self._clock))
        # JSON has no infinity, the age before the first proof.
        return round(min(age_s, 1e9), 3)

    def _newest_version(self, question: Question) -> int | None:
        if question.adapter is None:
            return None
        newest = self._state.newest_version(question.adapter.key)
        return None if newest is None else newest[0]


def _rounded(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 3)


def _describe(record: TargetRecord) -> str:
    return f"{record.target_id} ({record.stage.value})"
