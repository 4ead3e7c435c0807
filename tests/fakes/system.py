"""Deployment of processes and stand-ins for the system tests.

Steps use it to send requests, read the journals of the targets, and inject faults.
"""

from __future__ import annotations

import json
import logging
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import urllib3
import xxhash

from standins import answer_text
from tools._deployment import BASE_MODEL, OPERATOR_TOKEN, Deployment, EngineSpec
from tools._processes import Processes

# urllib3 logs a warning for each connection that does not fit into its pool, as happens
# with each request that sets a fault.
logging.getLogger("urllib3.connectionpool").setLevel(logging.ERROR)

TEAM = "depot"
TIMEOUT_S = 40.0
#: Longest wait for a state that must be reached; results don't depend on the duration.
WAIT_S = 20.0
TOKEN_S = 0.04
COMPLETIONS_PATH = "/v1/completions"
# Whether the requests of an adapter are non-idempotent, which the tests call bookings.
ADAPTERS = {"drafts": False, "notes": False, "brief": False, "bookings": True}
ADAPTERS |= {f"extra-{number}": False for number in range(24)}
CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, OSError)


class Reply:
    """Response that a caller received; ``status`` is 0 if the connection failed."""

    def __init__(self, status=0, headers=None, data=b""):
        self.status, self.headers, self.data = status, headers or {}, data

    def json(self):
        return json.loads(self.data)

    @property
    def executed(self):
        return self.json()["executed"]

    def __repr__(self):
        return f"{self.status} {dict(self.headers)} {self.data[:400]!r}"


class System:
    """Two engines, a plain service, their agents and ``entries`` entries.

    All run as processes until ``stop()``. ``fencing_engines`` names the engines that
    enforce fencing tokens.
    """

    def __init__(self, entries, *, fencing_engines=(), load_s=0.05, deadline_s=20.0):
        self._folder = tempfile.TemporaryDirectory()
        self.processes = Processes(Path(self._folder.name))
        self.pool = ThreadPoolExecutor(32)
        self.deployment = Deployment.start(
            self.processes,
            Path(self._folder.name),
            ("--starts-per-s", "0", "--load-s", str(load_s)),
        )
        self._start_targets(fencing_engines)
        self.deployment.publish(_configuration(deadline_s))
        for number in range(1, entries + 1):
            self.start_entry(f"entry-{number}")
        self.wait_until(
            lambda: all(
                self._all_targets_eligible(n) for n in self.deployment.entry_urls
            )
        )

    def start_entry(self, name, *, peers=(), wait=True):
        lines = ("read_timeout_s = 1.0", "max_body_bytes = 8192")
        self.deployment.start_entry(
            name, "domain-a", caller_lines=lines, peers=peers, wait=wait
        )

    def _start_targets(self, fencing_engines):
        for number, domain in ((1, "domain-a"), (2, "domain-b")):
            name = f"engine-{number}"
            options = ["--token-s", str(TOKEN_S)]
            options += ["--enforces-fencing"] * (name in fencing_engines)
            self.deployment.start_engine(EngineSpec(name, tuple(options)))
            targets = [name]
            if number == 2:
                self.deployment.start_service("shelf")
                targets.append("shelf")
            lines = ("silence_timeout_s = 1.0",)
            self.deployment.start_agent(f"agent-{number}", targets, domain, lines)

    def stop(self):
        """Stop the entries, then the agents; fail if one exits with an error."""
        codes = {}
        for names in (self.deployment.entry_urls, self.deployment.agent_health):
            running = [name for name in names if self.is_running(name)]
            ended = self.pool.map(self.processes.stop, running)
            codes |= dict(zip(running, ended, strict=True))
        self.processes.stop_all()
        self.pool.shutdown()
        failed = [name for name, code in codes.items() if code]
        outputs = [self.processes.output(name) for name in failed]
        self._folder.cleanup()
        assert not failed, "\n".join([f"exit codes {codes}", *outputs])

    def remove_version(self, adapter, version):
        """Remove a version from the configuration through the admin API."""
        path = f"/config/teams/{TEAM}/adapters/{adapter}"
        url = self.deployment.admin_urls["entry-1"] + path
        current = self._get(url, OPERATOR_TOKEN)
        value = _adapter(adapter, ADAPTERS[adapter])
        del value["versions"][version]
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "Content-Type": "application/json",
            "If-Match": current.headers["ETag"],
        }
        answer = urllib3.request(
            "PUT", url, body=json.dumps(value), headers=headers, timeout=TIMEOUT_S
        )
        assert answer.status < 300, answer.data

    # Requests

    def body(self, prompt, adapter="drafts", tokens=5, version="1", **fields):
        """Return the JSON body of a completion request."""
        model = f"{TEAM}/{adapter}@{version}"
        fields = {"model": model, "prompt": prompt, "max_tokens": tokens, **fields}
        return json.dumps(fields).encode()

    def send(self, body, entry="entry-1", key="", path=COMPLETIONS_PATH, method="POST"):
        """Send a request, with an idempotency key unless ``key`` is empty."""
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.deployment.entry_urls[entry] + path
        try:
            answer = urllib3.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
            )
        except CONNECTION_ERRORS:
            return Reply()
        return Reply(answer.status, answer.headers, answer.data)

    def send_async(self, body, **options):
        """Send a request in another thread; return a future with its Reply."""
        return self.pool.submit(self.send, body, **options)

    # Journals

    def journal(self, name):
        urls = {**self.deployment.engine_urls, **self.deployment.service_urls}
        return self._get(f"{urls[name]}/journal").json()

    def executions(self, body=None):
        """Return the executions of all engines, or only those of one request body."""
        digest = None if body is None else xxhash.xxh3_128_hexdigest(body)
        return [
            {**run, "engine": name}
            for name in self.deployment.engine_urls
            for run in self.journal(name)["executions"]
            if digest in (None, run["body_digest"])
        ]

    def running_executions(self, body):
        return [run for run in self.executions(body) if run["outcome"] == "running"]

    def wait_until_running(self, body):
        """Wait until a request runs; return the name of its engine."""
        self.wait_until(lambda: self.running_executions(body))
        return self.running_executions(body)[0]["engine"]

    def violations(self):
        return [
            violation
            for name in self.deployment.engine_urls
            for violation in self.journal(name)["violations"]
        ]

    def wait_until(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            assert time.monotonic() < deadline_s, f"state not reached in {WAIT_S} s"
            time.sleep(0.02)

    # Faults

    def set_faults(self, name, **switches):
        """Set fault switches of the named stand-in, or of ``all``."""
        urls = {
            **self.deployment.engine_urls,
            **self.deployment.service_urls,
            "log": self.deployment.log_url,
            "weights": self.deployment.weights_url,
            "hosts": self.deployment.hosts_url,
        }
        for url in urls.values() if name == "all" else [urls[name]]:
            answer = urllib3.request("PUT", f"{url}/faults", json=switches)
            assert answer.status == 200, answer.data

    def fault_switches(self, name):
        return self._get(f"{self.deployment.engine_urls[name]}/faults").json()

    def set_engine_faults(self, **switches):
        for name in self.deployment.engine_urls:
            self.set_faults(name, **switches)

    def kill(self, name):
        self.processes.stop(name, signal.SIGKILL)

    def agent_of(self, engine):
        return engine.replace("engine", "agent")

    def restore(self):
        """Clear all fault switches and restart the processes that a scenario ended."""
        cleared = {"down": False, "crash_on": "", "lose_answers": 0, "lose_path": ""}
        cleared |= {"fail_loads": 0, "base_model_fallback": False, "slow_factor": 1.0}
        self.set_faults("all", **cleared, delay_s=0.0)
        for name in self.deployment.agent_health:
            if not self.is_running(name):
                self.deployment.restart_agent(name)
        for name in self.deployment.entry_urls:
            if not self.is_running(name):
                self.deployment.restart_entry(name)
        self.wait_until(
            lambda: all(
                self._all_targets_eligible(n) for n in self.deployment.entry_urls
            )
        )

    def is_running(self, name):
        try:
            return self.processes.process(name).poll() is None
        except KeyError:
            return False

    def _all_targets_eligible(self, entry):
        """Return whether an entry sends requests to every target."""
        targets = self.targets(entry)
        return len(targets) == 3 and all(t["eligible"] == "ok" for t in targets)

    def targets(self, entry):
        """Return the states of all targets as an entry's admin API reports them."""
        url = f"{self.deployment.admin_urls[entry]}/status"
        return self._get(url, OPERATOR_TOKEN).json()["targets"]

    def _get(self, url, token=""):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        return urllib3.request("GET", url, headers=headers, timeout=TIMEOUT_S)


def expected_text(prompt, adapter, tokens, version="1"):
    """Return the answer that an engine generates with the adapter."""
    return answer_text(f"{TEAM}/{adapter}@{version}", prompt, tokens)


def _configuration(deadline_s):
    values = {
        f"/teams/{TEAM}/adapters/{name}": _adapter(name, is_booking)
        for name, is_booking in ADAPTERS.items()
    }
    values[f"/teams/{TEAM}/services/shelf"] = {
        "targets": ["shelf"],
        "non_idempotent": [{"method": "POST", "path_prefix": "/holds"}],
    }
    values[f"/teams/{TEAM}/limits"] = {"deadline_s": deadline_s}
    return values


def _adapter(name, is_booking):
    return {
        "base_model": BASE_MODEL,
        "versions": {"1": {"source": f"{name}/1"}, "2": {"source": f"{name}/2"}},
        "non_idempotent": is_booking,
    }
