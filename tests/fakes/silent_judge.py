"""Judges what the callers of a play have seen."""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.fakes.silent_callers import LATE_S

# An entry has read a request by this time after its last byte, if at all.
READ_S = 0.2
# An entry answers a little before the deadline, so that the answer is in time.
MARGIN_S = 0.1
STILL_RUNS_S = 0.4
NOT_IDEMPOTENT = ("once", "stream-once")
EVENTS_AROUND_S = 2.5


class LogLines(logging.Handler):
    """Keeps the entries' log lines about each request, with their times."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.by_request = {}
        self._logger = logging.getLogger("lentiltally")

    def __enter__(self):
        self._level = self._logger.level
        self._logger.setLevel(logging.INFO)
        self._logger.addHandler(self)
        return self

    def __exit__(self, *_):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)

    def emit(self, record):
        request_id = getattr(record, "request", None)
        if request_id is not None:
            names = ("target", "reason", "detail", "executed", "outcome", "status")
            more = [str(getattr(record, n)) for n in names if getattr(record, n, "")]
            text = f"{record.getMessage()} {' '.join(more)}"
            lines = self.by_request.setdefault(request_id, [])
            lines.append((time.monotonic(), text))


@dataclass
class Judge:
    """Compares calls with runs; ``broken`` has a text for each broken rule.

    ``history`` has the runs of each request, ``timeouts_s`` returns the timeouts of a
    route that may be in force at a time, and ``lines`` has the log lines of a request.
    ``stop_end_s`` returns from when on the end of a stop may cut a call.
    """

    history: dict
    lines: dict
    timeouts_s: object
    stop_end_s: object
    events: int
    counts: Counter = field(default_factory=Counter)
    broken: list = field(default_factory=list)

    def judge(self, call):
        self.counts["requests"] += 1
        self._count(call)
        self._judge_end(call)
        self._judge_runs(call)
        if call.answer.status == 200:
            self._judge_success(call)

    def _count(self, call):
        answer = call.answer
        if not answer.is_complete:
            return
        if answer.status == 200:
            self.counts["served"] += 1
        elif answer.status >= 500 and answer.status != 503:
            is_early = call.ended_at_s < self._first_limit_s(call) - MARGIN_S
            self.counts["early 5xx" if is_early else "5xx"] += 1
            # No target fails here, and the end of a stop comes first.
            if is_early and problem(answer) != "stopping":
                self._add("EARLY", call, f"answered {answer.status}")
        else:
            self.counts["refused"] += 1

    def _limits_s(self, call):
        limits_s = self.timeouts_s(call.name, call.head_at_s) or [0.0]
        if call.deadline_s is not None:
            limits_s = [min(limit_s, call.deadline_s) for limit_s in limits_s]
        return limits_s

    def _first_limit_s(self, call):
        return call.head_at_s + min(self._limits_s(call))

    def _was_read(self, call):
        return (
            call.request_id in self.lines
            or call.request_id in self.history
            or call.is_open
            or call.ended_at_s > call.sent_at_s + READ_S
        )

    def _judge_end(self, call):
        """Find requests that were read and got no answer, or a part of one."""
        last_s = call.head_at_s + max(self._limits_s(call)) + LATE_S
        is_late = call.is_open or call.ended_at_s > last_s
        if call.answer.is_complete:
            self.counts["answered late"] += is_late
        elif not self._was_read(call):
            self.counts["crossed"] += 1
        elif is_late:
            self._add("LOST", call, "nothing ended it until after both limits")
        elif call.ended_at_s > self._first_limit_s(call) - MARGIN_S:
            self.counts["cut at the limit"] += 1
        elif call.ended_at_s > self.stop_end_s(call):
            self.counts["cut by a stop's end"] += 1
        else:
            self._add("LOST", call, "the connection ended without a whole answer")

    def _judge_runs(self, call):
        runs = self.history.get(call.request_id, [])
        if call.name in NOT_IDEMPOTENT and len(runs) > 1:
            self._add("TWICE", call, f"ran {len(runs)} times")
        if call.answer.status in (408, 421, 429, 503) and runs:
            self._add("REFUSED", call, f"{call.answer.status}, and it has run")
        if call.is_stream:
            self._judge_overlap(call, runs)

    def _judge_overlap(self, call, runs):
        """Find two targets that both work on a stream after one has continued it."""
        now_s = time.monotonic()
        for run in runs:
            for later in runs[runs.index(run) + 1 :]:
                until_s = min(run.ended_at_s or now_s, later.ended_at_s or now_s)
                begin_s = later.continued_at_s
                if begin_s is not None and until_s > begin_s + STILL_RUNS_S:
                    self._add("TWICE", call, f"both {run.target} and {later.target}")

    def _judge_success(self, call):
        answer = call.answer
        targets = {run.target for run in self.history.get(call.request_id, [])}
        proof = answer.headers.get("x-response-signature", "")
        if proof.removeprefix("proof-") not in targets:
            self._add("MIXED", call, f"signature {proof!r} of none of {targets}")
        if call.is_stream:
            self._judge_stream(call)
        elif (
            answer.is_complete and answer.body != b"body of " + call.request_id.encode()
        ):
            self._add("MIXED", call, f"body {answer.body[:60]!r}")

    def _judge_stream(self, call):
        answer = call.answer
        whole = answer.body.decode().rpartition("\n\n")[0]
        ids = [int(line[4:]) for line in whole.split("\n") if line.startswith("id: ")]
        data = {line for line in whole.split("\n") if line.startswith("data: ")}
        if ids != list(range(1, len(ids) + 1)):
            self._add("ORDER", call, f"events {ids}")
        if answer.is_complete and len(ids) != self.events:
            self._add("ORDER", call, f"complete after {len(ids)} events")
        if data - {f"data: {call.request_id}"}:
            self._add("MIXED", call, f"data {data}")

    def _add(self, rule, call, text):
        self.broken.append((rule, call, text))

    def story(self, rule, call, text, began_s, events):
        """Return what happened to a call, and beside it."""
        first_s, last_s = min(self._limits_s(call)), max(self._limits_s(call))
        head = (
            f"{rule} {call.request_id} {call.path} entry {call.entry} "
            f"place {call.place} at {call.head_at_s - began_s:.3f}, ended after "
            f"{call.ended_at_s - call.head_at_s:.3f} s of {first_s:.2f} to "
            f"{last_s:.2f} s: {text}"
        )
        lines = [
            (at_s, f"   {line}") for at_s, line in self.lines.get(call.request_id, [])
        ]
        for run in self.history.get(call.request_id, []):
            lines.append((run.began_at_s, f"   runs at {run.target}"))
            if run.continued_at_s is not None:
                lines.append((run.continued_at_s, f"   first event of {run.target}"))
            if run.ended_at_s is not None:
                lines.append((run.ended_at_s, f"   ends at {run.target}"))
        lines.append((call.ended_at_s, "   the caller is done"))
        first_s, last_s = call.head_at_s - EVENTS_AROUND_S, call.ended_at_s
        lines += [(at_s, line) for at_s, line in events if first_s < at_s <= last_s]
        texts = [f"  {at_s - began_s:7.3f} {line}" for at_s, line in sorted(lines)]
        return "\n".join([head, *texts])


def problem(answer):
    """Return the reason of a refusal, empty if the answer is none."""
    try:
        return json.loads(answer.body).get("type", "").rpartition(":")[2]
    except ValueError:
        return ""
