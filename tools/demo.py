"""Demo: start a deployment on loopback, send requests and print the answers.

Exits with 1 if an answer is not as expected.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3

from standins.engine_answers import ChatMessage, answer_text, chat_prompt
from tools._deployment import BASE_MODEL, Deployment, EngineSpec
from tools._processes import Processes

TEAM = "listdesk"
DRAFT_ADAPTER = "shed-helper"
BOOKING_ADAPTER = "permit-slots"
PROMPT = "A garden shed of 2 by 3 metres: what do I need?"
TIMEOUT_S = 20.0


class DemoError(Exception):
    """An answer was not as expected."""


def main() -> int:
    """Run the demo; return 0 if every answer was as expected."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        try:
            deployment = _start_deployment(processes, Path(folder))
            _request_completion(deployment)
            _stream_chat(deployment)
            _send_booking_twice(deployment)
            _call_service_twice(deployment)
        except (DemoError, OSError, urllib3.exceptions.HTTPError) as error:
            print(f"FAILED: {error}")
            for name in ("entry-1", "agent-1", "agent-2"):
                print(f"--- {name}\n{processes.output(name)}")
            return 1
    print("demo: all answers were right")
    return 0


def _start_deployment(processes: Processes, folder: Path) -> Deployment:
    deployment = Deployment.start(processes, folder)
    deployment.start_engine(EngineSpec("engine-1", ("--enforces-fencing",)))
    deployment.start_engine(EngineSpec("engine-2"))
    deployment.start_service("depot")
    deployment.start_agent("agent-1", ["engine-1"], "domain-a")
    deployment.start_agent("agent-2", ["engine-2", "depot"], "domain-b")
    deployment.publish(_configuration())
    url = deployment.start_entry("entry-1", "domain-a")
    print(f"entry at {url}, two agents, two engines, one plain service")
    return deployment


def _configuration() -> dict[str, dict[str, object]]:
    versions = {"1": {"source": "shed-helper/1"}, "2": {"source": "shed-helper/2"}}
    return {
        f"/teams/{TEAM}/adapters/{DRAFT_ADAPTER}": {
            "base_model": BASE_MODEL,
            "versions": versions,
        },
        f"/teams/{TEAM}/adapters/{BOOKING_ADAPTER}": {
            "base_model": BASE_MODEL,
            "versions": {"7": {"source": "permit-slots/7"}},
            "non_idempotent": True,
        },
        f"/teams/{TEAM}/services/depot": {
            "targets": ["depot"],
            "non_idempotent": [{"method": "POST", "path_prefix": "/holds"}],
        },
        f"/teams/{TEAM}/limits": {"share": 1.0, "deadline_s": 20.0},
    }


def _post(
    deployment: Deployment, path: str, body: dict[str, Any], key: str = ""
) -> urllib3.BaseHTTPResponse:
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    response = urllib3.request(
        "POST",
        deployment.entry_urls["entry-1"] + path,
        body=json.dumps(body).encode(),
        headers=headers,
        timeout=TIMEOUT_S,
        retries=False,
    )
    if response.status != 200:
        raise DemoError(
            f"{path} failed with status {response.status}: {response.data!r}"
        )
    return response


def _check_adapter(response: urllib3.BaseHTTPResponse, model: str, text: str) -> None:
    adapter = response.headers["Lentiltally-Adapter"]
    target = response.headers["Lentiltally-Target"]
    print(f"  run by {adapter} on {target}: {text!r}")
    if adapter != model:
        raise DemoError(f"requested {model}, answered by {adapter}")


def _request_completion(deployment: Deployment) -> None:
    model = f"{TEAM}/{DRAFT_ADAPTER}@1"
    print(f"one-shot completion of {model}")
    body = {"model": model, "prompt": PROMPT, "max_tokens": 5}
    response = _post(deployment, "/v1/completions", body)
    document = response.json()
    text = document["choices"][0]["text"]
    _check_adapter(response, model, text)
    if document["model"] != model or text != answer_text(model, PROMPT, 5):
        raise DemoError(f"unexpected answer: {document}")


def _stream_chat(deployment: Deployment) -> None:
    model = f"{TEAM}/{DRAFT_ADAPTER}@2"
    print(f"streamed chat completion of {model}")
    messages = [{"role": "user", "content": PROMPT}]
    body = {"model": model, "messages": messages, "max_tokens": 8, "stream": True}
    response = _post(deployment, "/v1/chat/completions", body)
    text, is_done = _read_events(response.data.decode(), model)
    _check_adapter(response, model, text)
    expected = answer_text(model, chat_prompt([ChatMessage("user", PROMPT)]), 8)
    if not is_done or text != expected:
        raise DemoError(
            f"unexpected or incomplete stream: {text!r}, expected {expected!r}"
        )


def _read_events(events: str, model: str) -> tuple[str, bool]:
    """Return the text of a chat stream and whether it ended with ``[DONE]``."""
    text = ""
    for line in events.splitlines():
        if line == "data: [DONE]":
            return text, True
        if line.startswith("data: "):
            document = json.loads(line[6:])
            if document.get("model") != model:
                raise DemoError(f"event of a model other than {model}: {document}")
            text += document["choices"][0]["delta"].get("content", "")
    return text, False


def _send_booking_twice(deployment: Deployment) -> None:
    model = f"{TEAM}/{BOOKING_ADAPTER}@7"
    print(f"booking with {model}, sent twice with one key")
    body = {"model": model, "prompt": "Book slot 14 for plot 9", "max_tokens": 4}
    answers = []
    for _ in range(2):
        response = _post(deployment, "/v1/completions", body, key="booking-14-9")
        answers.append(response.json()["choices"][0]["text"])
        _check_adapter(response, model, answers[-1])
    executions = sum(
        _count_executions(url, model) for url in deployment.engine_urls.values()
    )
    print(f"  the engines ran it {executions} time(s)")
    if executions != 1 or answers[0] != answers[1]:
        raise DemoError(f"executed {executions} times, answers {answers}")


def _count_executions(url: str, model: str) -> int:
    journal = urllib3.request("GET", f"{url}/journal", timeout=TIMEOUT_S).json()
    return sum(run["model"] == model for run in journal["executions"])


def _call_service_twice(deployment: Deployment) -> None:
    path = f"/services/{TEAM}/depot/holds"
    print(f"hold at the plain service {path}, sent twice with one key")
    body = {"item": "rain barrel"}
    answers = [_post(deployment, path, body, key="hold-7").json() for _ in range(2)]
    url = deployment.service_urls["depot"]
    calls = urllib3.request("GET", f"{url}/journal", timeout=TIMEOUT_S).json()
    executions = len(calls["calls"])
    print(
        f"  answers {answers[0]} and the same again; "
        f"the service ran it {executions} time(s)"
    )
    if executions != 1 or answers[0] != answers[1]:
        raise DemoError(f"executed {executions} times, answers {answers}")


if __name__ == "__main__":
    sys.exit(main())
