"""The entry's directory of targets: which are eligible, and which one gets an attempt.

It subscribes to the agents, polls the host list, and keeps eligibility (``Membership``)
and cost estimates (``Placement``) in step with each other.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Sequence

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.membership import HOST_LIST_MAX_AGE_S, Membership
from lentiltally.decisions.placement import (
    Placement,
    PlacementChoice,
    PlacementRequest,
)
from lentiltally.decisions.slow_targets import SlowTargets
from lentiltally.errors import LentiltallyError
from lentiltally.platform.host_list import HostListClient
from lentiltally.routing.target_view import placement_view
from lentiltally.wire import (
    ChannelError,
    Heartbeat,
    Hello,
    Outboxes,
    TargetCounts,
    TargetState,
)

_log = logging.getLogger(__name__)

# A hello subscribes the entry to the state reports of an agent, which forgets the
# subscription unless the hello is repeated.
HELLO_INTERVAL_S = 30.0
# Agents that have not reported any state yet get a hello more often, so that the entry
# starts quickly.
INITIAL_HELLO_INTERVAL_S = 0.25
# Each round that chooses an ineligible target removes it from placement.
MAX_CHOICE_ROUNDS = 64
# How long a request waits for a fresh host list before it is refused.
HOST_LIST_REFRESH_TIMEOUT_S = 0.5


class TargetDirectory:
    """Combines membership and placement; thread-safe."""

    def __init__(
        self,
        *,
        hello: Hello,
        seeds: Sequence[str],
        outboxes: Outboxes,
        host_list: HostListClient,
        poll_s: float,
        clock: Clock,
        on_agent_restart: Callable[[str], None],
    ) -> None:
        """Start without targets.

        ``seeds`` are agent addresses known before the host list is read. ``poll_s`` is
        the interval between readings of the host list. ``on_agent_restart`` is called
        with the agent incarnation that has ended.
        """
        self._hello = hello
        self._addresses = set(seeds)
        self._outboxes = outboxes
        self._host_list = host_list
        self._poll_s = poll_s
        self._clock = clock
        self._on_agent_restart = on_agent_restart
        self._membership = Membership(HOST_LIST_MAX_AGE_S)
        self._placement = Placement(random.Random())
        self._config_offsets: dict[str, int] = {}
        # Known targets that are ineligible and therefore removed from placement.
        self._ineligible: set[str] = set()
        # By base model: the failure domain of each target with a measured latency.
        self._failure_domains: dict[str, dict[str, str]] = {}
        # By base model.
        self._slow_targets: dict[str, SlowTargets] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._refresh_requested = threading.Event()
        self._host_list_polled = threading.Condition()
        self._host_list_poll_count = 0
        self._threads = [
            threading.Thread(
                target=self._subscribe_to_agents, daemon=True, name="hello"
            ),
            threading.Thread(
                target=self._poll_host_list, daemon=True, name="host-list"
            ),
        ]

    def start(self) -> None:
        """Start to subscribe to agents and to poll the host list."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop both threads; the call does not wait for them."""
        self._stopped.set()
        self._refresh_requested.set()

    def has_targets(self) -> bool:
        """Return whether any agent has reported a target."""
        with self._lock:
            return bool(self._membership.targets())

    def states(self) -> list[tuple[TargetState, str]]:
        """Return each target's newest state and why it is ineligible, or ``ok``."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            states = []
            for name in sorted(self._membership.targets()):
                state = self._membership.state(name)
                if state is not None:
                    eligibility = self._membership.eligible(name, now_s)
                    states.append((state, eligibility.reason.value))
            return states

    def apply_state(self, state: TargetState) -> None:
        """Apply a state report; one older than the known state is ignored."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            previous_incarnation = self._membership.agent_incarnation(state.agent)
            is_new = self._membership.apply_state(state, now_s)
            if is_new:
                self._update_placement(state, now_s)
        if (
            is_new
            and previous_incarnation is not None
            and previous_incarnation != state.agent_incarnation
        ):
            _log.warning("agent restarted", extra={"peer": state.agent})
            self._on_agent_restart(previous_incarnation)

    def record_contact(self, agent: str) -> None:
        """Record that any message of an agent arrived."""
        with self._lock:
            self._membership.record_contact(agent, self._clock.monotonic_s())

    def heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; send a new hello if a state report was missed."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._membership.record_contact(heartbeat.agent, now_s)
            self._restore_eligible(now_s)
            self._config_offsets[heartbeat.agent] = heartbeat.config_offset
            known = [s for s in self._known_states() if s.agent == heartbeat.agent]
        is_behind = any(
            s.agent_incarnation != heartbeat.agent_incarnation for s in known
        )
        if known and not is_behind:
            is_behind = max(s.sequence for s in known) < heartbeat.sequence
        if is_behind:
            self._send_hello(known[0].agent_address)

    def config_offset(self, agent: str) -> int:
        """Return the configuration offset that an agent last reported, or 0."""
        with self._lock:
            return self._config_offsets.get(agent, 0)

    def update_counts(self, target: str, counts: TargetCounts) -> None:
        """Replace the estimated counts of a target by those that an answer carries."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._placement.update_counts(
                target, counts.queued, counts.running, now_s, counts.free_slots
            )

    def expected_choice(
        self, request: PlacementRequest, targets: Sequence[str] = ()
    ) -> PlacementChoice | None:
        """Return the choice for a request without counting a dispatch.

        None if no target is eligible, also after a fresh reading of the host list.
        ``targets`` restricts the choice, for plain services.
        """
        choice = self._expected_choice(request, targets)
        if choice is None and self._refresh_host_list():
            choice = self._expected_choice(request, targets)
        return choice

    def _refresh_host_list(self) -> bool:
        """Poll the host list now; False if that takes too long.

        After a pause of this process the last reading is stale, so that no target is
        eligible.
        """
        with self._host_list_polled:
            count = self._host_list_poll_count
            self._refresh_requested.set()
            return self._host_list_polled.wait_for(
                lambda: self._host_list_poll_count > count,
                timeout=HOST_LIST_REFRESH_TIMEOUT_S,
            )

    def _expected_choice(
        self, request: PlacementRequest, targets: Sequence[str]
    ) -> PlacementChoice | None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not targets:
                return self._choose_eligible(self._with_ejected(request, now_s), now_s)
            state = self._choose_among(targets, request, now_s)
            if state is None:
                return None
            return PlacementChoice(state.target, state.agent, "service")

    def record_inter_token_latency(self, target: str, latency_s: float) -> None:
        """Record a latency between two tokens, by which slow targets are detected."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._membership.state(target)
            if state is not None:
                self._failure_domains.setdefault(state.base_model, {})[target] = (
                    state.failure_domain
                )
                self._slow_targets_for(state.base_model).observed(
                    target, latency_s, now_s
                )

    def mark_not_loaded(self, target: str, adapter_hash: int) -> None:
        """Drop the assumption that an adapter is loaded: its work was not executed."""
        with self._lock:
            self._placement.drop_assumed_adapter(target, adapter_hash)

    def choose(
        self, request: PlacementRequest, targets: Sequence[str] = ()
    ) -> TargetState | None:
        """Choose a target and count the dispatch; None if no target is eligible.

        ``targets`` restricts the choice, for plain services.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if targets:
                state = self._choose_among(targets, request, now_s)
            else:
                state = self._choose_by_placement(request, now_s)
            if state is not None:
                self._placement.dispatched(state.target, request, now_s)
                self._membership.dispatched(state.agent, now_s)
            return state

    def choose_for_claim(
        self, request: PlacementRequest, targets: Sequence[str] = ()
    ) -> TargetState | None:
        """Choose the target that a claim is bound to, without counting a dispatch."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if targets:
                return self._choose_among(targets, request, now_s)
            return self._choose_by_placement(request, now_s)

    def choose_bound(self, target: str, agent_incarnation: str) -> TargetState | None:
        """Return the target that a claim is bound to and count the dispatch.

        None if its agent has restarted or the target is no longer eligible.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._membership.state(target)
            # The target may have started draining since the claim was made.
            is_eligible = self._membership.eligible(target, now_s).ok
            if state is None or state.agent_incarnation != agent_incarnation:
                return None
            if not is_eligible:
                return None
            self._placement.dispatched(target, PlacementRequest("", 0), now_s)
            self._membership.dispatched(state.agent, now_s)
            return state

    def agent_address(self, agent: str) -> str | None:
        """Return the address of an agent, or None if it is not known."""
        with self._lock:
            for state in self._known_states():
                if state.agent == agent:
                    return state.agent_address
        return None

    def finished(self, state: TargetState) -> None:
        """Count the end of a dispatched attempt, whatever its outcome."""
        with self._lock:
            self._placement.finished(state.target, self._clock.monotonic_s())
            self._membership.completed(state.agent)

    def reconnect(self, address: str) -> None:
        """Open a new connection to an agent, as the current one may be unresponsive."""
        _log.warning("reconnecting to agent", extra={"peer": address})
        self._outboxes.reconnect(address)

    def _choose_by_placement(
        self, request: PlacementRequest, now_s: float
    ) -> TargetState | None:
        choice = self._choose_eligible(self._with_ejected(request, now_s), now_s)
        return None if choice is None else self._membership.state(choice.target)

    def _choose_eligible(
        self, request: PlacementRequest, now_s: float
    ) -> PlacementChoice | None:
        for _ in range(MAX_CHOICE_ROUNDS):
            choice = self._placement.choose(request, now_s)
            if choice is None and not self._restore_eligible(now_s):
                return None
            if choice is None:
                continue
            if self._membership.eligible(choice.target, now_s).ok:
                return choice
            self._remove_from_placement(choice.target)
        return None

    def _remove_from_placement(self, target: str) -> None:
        """Remove a target from placement until it is eligible again."""
        self._placement.remove(target)
        self._ineligible.add(target)

    def _restore_eligible(self, now_s: float) -> bool:
        """Return targets that are eligible again to placement; True if there were any.

        Agents report a state only when it has changed, so nothing else restores a
        target that was ineligible because no message came from its agent for a while,
        or because the host list was stale.
        """
        any_restored = False
        for name in list(self._ineligible):
            state = self._membership.state(name)
            if state is None:
                self._ineligible.discard(name)
            elif self._membership.eligible(name, now_s).ok:
                self._update_placement(state, now_s)
                any_restored = True
        return any_restored

    def _with_ejected(
        self, request: PlacementRequest, now_s: float
    ) -> PlacementRequest:
        ejected = self._slow_targets_for(request.base_model).ejected(now_s)
        return msgspec.structs.replace(request, slow=ejected) if ejected else request

    def _slow_targets_for(self, base_model: str) -> SlowTargets:
        """Return the detector for one base model, within which latencies compare."""
        detector = self._slow_targets.get(base_model)
        if detector is None:
            domains = self._failure_domains.setdefault(base_model, {})
            detector = self._slow_targets[base_model] = SlowTargets(domains)
        return detector

    def _choose_among(
        self, targets: Sequence[str], request: PlacementRequest, now_s: float
    ) -> TargetState | None:
        """Return the eligible one of these targets that has the fewest attempts."""
        self._restore_eligible(now_s)
        eligible = [
            name
            for name in targets
            if name not in request.excluded
            and self._membership.eligible(name, now_s).ok
        ]
        if not eligible:
            return None
        return self._membership.state(min(eligible, key=self._attempt_count))

    def _attempt_count(self, target: str) -> int:
        return self._placement.attempt_count(target)

    def _update_placement(self, state: TargetState, now_s: float) -> None:
        if not self._membership.eligible(state.target, now_s).ok:
            self._remove_from_placement(state.target)
            return
        self._ineligible.discard(state.target)
        self._placement.update(placement_view(state, now_s))

    def _subscribe_to_agents(self) -> None:
        next_hello_to_all_s = 0.0
        while not self._stopped.wait(INITIAL_HELLO_INTERVAL_S):
            now_s = self._clock.monotonic_s()
            with self._lock:
                known = {state.agent_address for state in self._known_states()}
                addresses = set(self._addresses)
            if now_s >= next_hello_to_all_s:
                next_hello_to_all_s = now_s + HELLO_INTERVAL_S
                known = set()
            for address in addresses - known:
                self._send_hello(address)

    def subscribe(self, address: str) -> None:
        """Send a hello to the agent at this address if it is a known one."""
        if address in self._addresses:
            self._send_hello(address)

    def _known_states(self) -> list[TargetState]:
        states = (self._membership.state(name) for name in self._membership.targets())
        return [state for state in states if state is not None]

    def _send_hello(self, address: str) -> None:
        try:
            self._outboxes.put(address, self._hello)
        except ChannelError as error:
            _log.info("cannot send hello to agent", extra={"error": str(error)})

    def _poll_host_list(self) -> None:
        while not self._stopped.is_set():
            requested_at_s = self._clock.monotonic_s()
            try:
                hosts = self._host_list.fetch()
            except LentiltallyError as error:
                _log.info("cannot read host list", extra={"error": str(error)})
                with self._lock:
                    self._membership.host_list_failed(self._clock.monotonic_s())
            else:
                with self._lock:
                    now_s = self._clock.monotonic_s()
                    self._membership.host_list_received(hosts, now_s, requested_at_s)
                    self._restore_eligible(now_s)
                    self._addresses.update(
                        host.address for host in hosts if host.role == "agent"
                    )
            with self._host_list_polled:
                self._host_list_poll_count += 1
                self._host_list_polled.notify_all()
            self._refresh_requested.wait(self._poll_s)
            self._refresh_requested.clear()
