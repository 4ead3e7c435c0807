"""The entry's directory of targets: who may get work, and which one gets it."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Sequence

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.membership import HOST_LIST_BOUND_S, Membership
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

HELLO_S = 30.0
# Agents that have not answered yet are greeted this often, for a quick start.
FIRST_HELLO_S = 0.25
MAX_CHOICES = 64
# How long a request waits for a fresh host list before it is refused.
READ_AGAIN_S = 0.5


class TargetDirectory:
    """Joins membership and placement; safe to use from several threads."""

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
        """``on_agent_restart`` gets the incarnation of an agent run that has ended."""
        self._hello = hello
        self._addresses = set(seeds)
        self._outboxes = outboxes
        self._host_list = host_list
        self._poll_s = poll_s
        self._clock = clock
        self._on_agent_restart = on_agent_restart
        self._membership = Membership(HOST_LIST_BOUND_S)
        self._placement = Placement(random.Random())
        self._config_offsets: dict[str, int] = {}
        # Targets that get no work now and are out of placement.
        self._hidden: set[str] = set()
        self._domains: dict[str, dict[str, str]] = {}
        self._slow: dict[str, SlowTargets] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._must_read = threading.Event()
        self._host_list_read = threading.Condition()
        self._host_list_reads = 0
        self._threads = [
            threading.Thread(target=self._greet, daemon=True, name="hello"),
            threading.Thread(target=self._poll, daemon=True, name="host-list"),
        ]

    def start(self) -> None:
        """Begin to greet agents and to read the host list."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop greeting and reading."""
        self._stopped.set()
        self._must_read.set()

    def has_targets(self) -> bool:
        """Return whether any target has been heard of."""
        with self._lock:
            return bool(self._membership.targets())

    def states(self) -> list[tuple[TargetState, str]]:
        """Return each target's newest state and why it gets no work, or ``ok``."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            found = []
            for name in sorted(self._membership.targets()):
                state = self._membership.state(name)
                if state is not None:
                    eligibility = self._membership.eligible(name, now_s)
                    found.append((state, eligibility.reason.value))
            return found

    def agent_said(self, state: TargetState) -> None:
        """Apply a target state that arrived."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            was = self._membership.agent_incarnation(state.agent)
            is_new = self._membership.agent_said(state, now_s)
            if is_new:
                self._show(state, now_s)
        if is_new and was is not None and was != state.agent_incarnation:
            _log.warning("agent restarted", extra={"peer": state.agent})
            self._on_agent_restart(was)

    def heard(self, agent: str) -> None:
        """Note that a message of an agent arrived."""
        with self._lock:
            self._membership.heard(agent, self._clock.monotonic_s())

    def heartbeat(self, beat: Heartbeat) -> None:
        """Note that an agent lives; ask for its states if one was missed."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._membership.heard(beat.agent, now_s)
            self._show_hidden(now_s)
            self._config_offsets[beat.agent] = beat.config_offset
            known = [s for s in self._known_states() if s.agent == beat.agent]
        has_missed = any(s.agent_incarnation != beat.agent_incarnation for s in known)
        if known and not has_missed:
            has_missed = max(s.sequence for s in known) < beat.sequence
        if has_missed:
            self._send_hello(known[0].agent_address)

    def config_offset(self, agent: str) -> int:
        """Return the configuration offset that an agent last reported."""
        with self._lock:
            return self._config_offsets.get(agent, 0)

    def counted(self, target: str, counts: TargetCounts) -> None:
        """Take over the true counts that an answer carries."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._placement.counted(
                target, counts.queued, counts.running, now_s, counts.free_slots
            )

    def outlook(
        self, wanted: PlacementRequest, targets: Sequence[str] = ()
    ) -> PlacementChoice | None:
        """Return where work would go now, without counting it; None if nowhere."""
        choice = self._outlook(wanted, targets)
        if choice is None and self._read_hosts_again():
            choice = self._outlook(wanted, targets)
        return choice

    def _read_hosts_again(self) -> bool:
        """Read the host list now; True if that has ended.

        After a pause of this process the last reading is too old to place work by.
        """
        with self._host_list_read:
            count = self._host_list_reads
            self._must_read.set()
            return self._host_list_read.wait_for(
                lambda: self._host_list_reads > count, timeout=READ_AGAIN_S
            )

    def _outlook(
        self, wanted: PlacementRequest, targets: Sequence[str]
    ) -> PlacementChoice | None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            if not targets:
                return self._eligible_choice(self._with_slow(wanted, now_s), now_s)
            state = self._choose_among(targets, wanted, now_s)
            if state is None:
                return None
            return PlacementChoice(state.target, state.agent, "service")

    def observed(self, target: str, pace_s: float) -> None:
        """Take the time between tokens of a target, by which slow ones show."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._membership.state(target)
            if state is not None:
                self._domains.setdefault(state.base_model, {})[target] = (
                    state.failure_domain
                )
                self._slow_of(state.base_model).observed(target, pace_s, now_s)

    def not_run(self, target: str, adapter: int) -> None:
        """Note that a target handed work back, so its adapter is not loaded there."""
        with self._lock:
            self._placement.not_loaded(target, adapter)

    def choose(
        self, wanted: PlacementRequest, targets: Sequence[str] = ()
    ) -> TargetState | None:
        """Choose a target and count the dispatch; None if none may get the work.

        ``targets`` restricts the choice, for plain services.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if targets:
                state = self._choose_among(targets, wanted, now_s)
            else:
                state = self._choose_placed(wanted, now_s)
            if state is not None:
                self._placement.dispatched(state.target, wanted, now_s)
                self._membership.dispatched(state.agent, now_s)
            return state

    def preview(
        self, wanted: PlacementRequest, targets: Sequence[str] = ()
    ) -> TargetState | None:
        """Choose a target without counting a dispatch, to bind a claim to it."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if targets:
                return self._choose_among(targets, wanted, now_s)
            return self._choose_placed(wanted, now_s)

    def chosen(self, target: str, agent_incarnation: str) -> TargetState | None:
        """Return the target of a claim if its agent run goes on, and count it."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._membership.state(target)
            # The target may have begun to leave since the claim was made.
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
        """Count the end of a dispatch, whatever its outcome."""
        with self._lock:
            self._placement.finished(state.target, self._clock.monotonic_s())
            self._membership.completed(state.agent)

    def reconnect(self, address: str) -> None:
        """Open a new connection to an agent whose present one may be silent."""
        _log.warning("connection replaced", extra={"peer": address})
        self._outboxes.reconnect(address)

    def _choose_placed(
        self, wanted: PlacementRequest, now_s: float
    ) -> TargetState | None:
        choice = self._eligible_choice(self._with_slow(wanted, now_s), now_s)
        return None if choice is None else self._membership.state(choice.target)

    def _eligible_choice(
        self, wanted: PlacementRequest, now_s: float
    ) -> PlacementChoice | None:
        for _ in range(MAX_CHOICES):
            choice = self._placement.choose(wanted, now_s)
            if choice is None and not self._show_hidden(now_s):
                return None
            if choice is None:
                continue
            if self._membership.eligible(choice.target, now_s).ok:
                return choice
            self._hide(choice.target)
        return None

    def _hide(self, target: str) -> None:
        """Take a target out of placement until it may get work again."""
        self._placement.remove(target)
        self._hidden.add(target)

    def _show_hidden(self, now_s: float) -> bool:
        """Put hidden targets back that may get work again; True if there are any.

        States come only when something has changed, so nothing else brings back a
        target whose agent was silent, or that was judged by an old host list.
        """
        restored = False
        for name in list(self._hidden):
            state = self._membership.state(name)
            if state is None:
                self._hidden.discard(name)
            elif self._membership.eligible(name, now_s).ok:
                self._show(state, now_s)
                restored = True
        return restored

    def _with_slow(self, wanted: PlacementRequest, now_s: float) -> PlacementRequest:
        slow = self._slow_of(wanted.base_model).ejected(now_s)
        return msgspec.structs.replace(wanted, slow=slow) if slow else wanted

    def _slow_of(self, base_model: str) -> SlowTargets:
        """Return the watch over the targets of one base model, which are alike."""
        found = self._slow.get(base_model)
        if found is None:
            domains = self._domains.setdefault(base_model, {})
            found = self._slow[base_model] = SlowTargets(domains)
        return found

    def _choose_among(
        self, targets: Sequence[str], wanted: PlacementRequest, now_s: float
    ) -> TargetState | None:
        self._show_hidden(now_s)
        eligible = [
            name
            for name in targets
            if name not in wanted.excluded and self._membership.eligible(name, now_s).ok
        ]
        if not eligible:
            return None
        return self._membership.state(min(eligible, key=self._load_of))

    def _load_of(self, target: str) -> int:
        return self._placement.load_of(target)

    def _show(self, state: TargetState, now_s: float) -> None:
        if not self._membership.eligible(state.target, now_s).ok:
            self._hide(state.target)
            return
        self._hidden.discard(state.target)
        self._placement.update(placement_view(state, now_s))

    def _greet(self) -> None:
        next_all_s = 0.0
        while not self._stopped.wait(FIRST_HELLO_S):
            now_s = self._clock.monotonic_s()
            with self._lock:
                known = {state.agent_address for state in self._known_states()}
                addresses = set(self._addresses)
            if now_s >= next_all_s:
                next_all_s = now_s + HELLO_S
                known = set()
            for address in addresses - known:
                self._send_hello(address)

    def greet(self, address: str) -> None:
        """Send a hello if an agent is known at the address."""
        if address in self._addresses:
            self._send_hello(address)

    def _known_states(self) -> list[TargetState]:
        states = (self._membership.state(name) for name in self._membership.targets())
        return [state for state in states if state is not None]

    def _send_hello(self, address: str) -> None:
        try:
            self._outboxes.put(address, self._hello)
        except ChannelError as error:
            _log.info("agent not greeted", extra={"error": str(error)})

    def _poll(self) -> None:
        while not self._stopped.is_set():
            asked_at_s = self._clock.monotonic_s()
            try:
                hosts = self._host_list.fetch()
            except LentiltallyError as error:
                _log.info("host list not read", extra={"error": str(error)})
                with self._lock:
                    self._membership.host_list_failed(self._clock.monotonic_s())
            else:
                with self._lock:
                    now_s = self._clock.monotonic_s()
                    self._membership.host_list_said(hosts, now_s, asked_at_s)
                    self._show_hidden(now_s)
                    self._addresses.update(
                        host.address for host in hosts if host.role == "agent"
                    )
            with self._host_list_read:
                self._host_list_reads += 1
                self._host_list_read.notify_all()
            self._must_read.wait(self._poll_s)
            self._must_read.clear()
