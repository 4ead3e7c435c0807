"""Stand-in for a model engine with an OpenAI-compatible HTTP interface."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import msgspec
import urllib3

from lentiltally.clock import Clock, SystemClock
from standins._connections import CloseWithoutAnswerError
from standins._http import Request, Response, StandIn, error_response, json_response
from standins.engine_answers import (
    AnswerEncoder,
    CompletionBody,
    answer_length,
    answer_seed,
    answer_text,
    answer_token,
)
from standins.engine_core import EngineCore
from standins.engine_state import EngineSettings, Execution, ExecutionRequest
from standins.faults import FaultSwitches

_FINISH_REASONS = {"finished": "stop", "cancelled": "abort"}
_UNLOADED_MESSAGE = "the adapter was unloaded during the request"


class AdapterOrder(msgspec.Struct):
    """Body of an order to load or unload an adapter."""

    lora_name: str
    lora_path: str = ""


class RoleOrder(msgspec.Struct):
    """Body of an order to change the engine's role."""

    role: str


class CacheOrder(msgspec.Struct):
    """Body of an order to export or import prefixes of the KV cache."""

    model: str
    prefixes: list[str] = []


class EngineStandIn(StandIn):
    """Serves an EngineCore; one thread runs the steps of all executions.

    Each answer in progress occupies one more thread. An execution continues when its
    caller disconnects, so that the caller can resume the stream.
    """

    #: A request that contains ``crash_on`` crashes the engine only when it is admitted
    #: to a batch slot.
    crashes_on_receipt = False

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        settings: EngineSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Create an empty engine."""
        super().__init__(host, port)
        self.settings = settings or EngineSettings()
        self._clock = clock or SystemClock()
        self.core = EngineCore(self.settings, self._clock, self.close_connections)
        self._weight_store_client = urllib3.PoolManager(retries=False, timeout=60.0)
        self._step_thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen, and start the step loop."""
        super().start()
        self._step_thread = threading.Thread(target=self._run_step_loop, daemon=True)
        self._step_thread.start()

    def stop(self) -> None:
        """Stop serving; a later start() begins with an empty engine."""
        super().stop()
        if self._step_thread is not None:
            self._step_thread.join()

    def interrupt_waiting(self) -> None:
        """End all executions."""
        self.core.restart_empty()

    def journal(self) -> object:
        """Return all executions, orders and violations."""
        return self.core.journal

    def restart_empty(self) -> None:
        """Start a new incarnation without adapters and executions."""
        self.core.restart_empty()

    def on_faults_changed(self, switches: FaultSwitches) -> None:
        """Pass the switches that the core implements on to it."""
        self.core.crash_on = switches.crash_on.encode()
        self.core.base_model_fallback = switches.base_model_fallback

    def handle(self, request: Request) -> Response:
        """Answer the paths that section 10 of docs/design.md lists for engines."""
        route = f"{request.method} {request.path}"
        if route in {"POST /v1/completions", "POST /v1/chat/completions"}:
            return self._handle_completion(request, chat="chat" in route)
        if route.startswith("POST /v1/cancel/"):
            return self._cancel(request.path.removeprefix("/v1/cancel/"))
        if request.method == "POST":
            return self._handle_order(request)
        return self._handle_get(request)

    # Completions

    def _handle_completion(self, request: Request, *, chat: bool) -> Response:
        last_event_id = request.header("LAST_EVENT_ID")
        request_id = request.header("X_REQUEST_ID") or ""
        if last_event_id is not None:
            execution = self.core.find(request_id)
            if execution is None:
                return error_response(404, "the stream is not kept")
            return self._respond(execution, int(last_event_id))
        body = msgspec.json.decode(request.body, type=CompletionBody)
        prompt, limit = body.text(), body.token_limit()
        answer_tokens = answer_length(prompt, limit)
        execution = self.core.submit(
            ExecutionRequest(
                request_id=request_id,
                model=body.model,
                prompt=prompt,
                answer_tokens=answer_tokens,
                max_tokens=limit,
                priority=body.priority,
                chat=chat,
                stream=body.stream,
                body=request.body,
            )
        )
        if execution is None:
            return error_response(404, f"the model {body.model!r} does not exist")
        # stop() has already ended all executions, and no step would run this one.
        if self.stopping.is_set():
            raise CloseWithoutAnswerError
        return self._respond(execution, 0)

    def _respond(self, execution: Execution, last_event_id: int) -> Response:
        if execution.request.stream:
            return Response(
                200,
                content_type="text/event-stream",
                events=self._events(execution, last_event_id),
            )
        wakeups = execution.subscribe(tokens=False)
        while not execution.ended:
            wakeups.get()
        entry = execution.entry
        if entry.outcome == "cut":
            raise CloseWithoutAnswerError
        if entry.outcome == "failed":
            return error_response(500, _UNLOADED_MESSAGE)
        text = answer_text(entry.model, execution.request.prompt, entry.tokens)
        encoder = self._encoder(execution)
        return Response(
            200, encoder.complete_body(text, _finish_reason(execution), entry.tokens)
        )

    def _events(self, execution: Execution, last_event_id: int) -> Iterator[bytes]:
        """Yield the events after the given id as their tokens are generated."""
        encoder = self._encoder(execution)
        seed = answer_seed(execution.model, execution.request.prompt)
        wakeups = execution.subscribe(tokens=True)
        sent = last_event_id
        try:
            while True:
                # Read ``ended`` before the token count: once it is true, the count
                # is final.
                ended = execution.ended
                tokens = execution.entry.tokens
                parts = [
                    encoder.token_event(index + 1, answer_token(seed, index))
                    for index in range(sent, tokens)
                ]
                if ended:
                    parts += self._end_events(execution, encoder, sent)
                if parts:
                    yield "".join(parts).encode()
                    sent = max(sent, tokens)
                if ended:
                    break
                wakeups.get()
        finally:
            execution.unsubscribe(wakeups)
        if execution.entry.outcome in {"failed", "cut"}:
            raise CloseWithoutAnswerError

    def _end_events(
        self, execution: Execution, encoder: AnswerEncoder, sent: int
    ) -> list[str]:
        number = execution.entry.tokens + 1
        if execution.entry.outcome == "failed":
            return [encoder.error_event(number, _UNLOADED_MESSAGE)]
        if execution.entry.outcome == "cut":
            return []
        events = encoder.last_events(number, _finish_reason(execution))
        # A stream resumed after the finish reason needs only ``[DONE]``.
        if sent >= number:
            events = events.split("\n\n", 1)[1]
        return [events] if sent <= number else []

    def _encoder(self, execution: Execution) -> AnswerEncoder:
        return AnswerEncoder(
            execution.request.request_id,
            execution.model,
            execution.entry.incarnation,
            chat=execution.request.chat,
            created=int(self._clock.now().timestamp()),
        )

    def _cancel(self, request_id: str) -> Response:
        execution = self.core.cancel(request_id)
        if execution is None:
            return error_response(404, "the request is not known")
        return json_response({"outcome": execution.entry.outcome})

    # Orders

    def _handle_order(self, request: Request) -> Response:
        orders = {
            "/v1/load_lora_adapter": self._load_adapter,
            "/v1/unload_lora_adapter": self._unload_adapter,
            "/role": self._change_role,
            "/kv/export": self._export_cache,
            "/kv/import": self._import_cache,
        }
        handler = orders.get(request.path)
        if handler is None:
            return error_response(404, "unknown path")
        fields = msgspec.json.decode(request.body, type=dict[str, msgspec.Raw])
        name = fields.get("lora_name") or fields.get("model") or fields.get("role")
        token = request.header("FENCING_TOKEN")
        entry = self.core.record_order(
            request.path.rsplit("/", 1)[1],
            msgspec.json.decode(name, type=str) if name else "",
            int(token) if token is not None else None,
        )
        if entry.status == 412:
            return error_response(412, "the fencing token is outdated")
        response = handler(request.body)
        entry.status = response.status
        return response

    def _load_adapter(self, body: bytes) -> Response:
        order = msgspec.json.decode(body, type=AdapterOrder)
        incarnation = self.core.incarnation
        status = self.core.begin_load(order.lora_name)
        if status != 200:
            reason = {400: "no adapter slot is free", 409: "already loaded"}[status]
            return error_response(status, reason)
        failure = self._fetch_weights(order.lora_path)
        loaded = self.core.end_load(
            order.lora_name, order.lora_path, incarnation, loaded=failure is None
        )
        if failure is not None:
            return failure
        if not loaded:
            raise CloseWithoutAnswerError
        return json_response({"lora_name": order.lora_name})

    def _fetch_weights(self, path: str) -> Response | None:
        """Fetch the weights; if that fails, return the error response to the order."""
        if self.faults.take_failed_load():
            return error_response(500, "the adapter load failed")
        slow_factor = self.faults.switches.slow_factor
        if not self.settings.weights_url:
            self.pause(self.settings.load_s * slow_factor)
            return None
        url = f"{self.settings.weights_url}/weights/{path.lstrip('/')}"
        try:
            answer = self._weight_store_client.request("GET", url)
        except urllib3.exceptions.HTTPError as error:
            return error_response(502, f"the weight store is unavailable: {error}")
        if answer.status == 200:
            return None
        status = 503 if answer.status == 429 else 502
        failure = error_response(status, f"the weight store answered {answer.status}")
        if "Retry-After" in answer.headers:
            failure.headers = [("Retry-After", answer.headers["Retry-After"])]
        return failure

    def _unload_adapter(self, body: bytes) -> Response:
        name = msgspec.json.decode(body, type=AdapterOrder).lora_name
        if self.core.unload(name) == 404:
            return error_response(404, f"the adapter {name!r} is not loaded")
        return json_response({"lora_name": name})

    def _change_role(self, body: bytes) -> Response:
        self.core.role = msgspec.json.decode(body, type=RoleOrder).role
        return json_response({"role": self.core.role})

    def _export_cache(self, body: bytes) -> Response:
        model = msgspec.json.decode(body, type=CacheOrder).model
        prefixes = self.core.cache.prefixes(model)
        return json_response({"model": model, "prefixes": prefixes})

    def _import_cache(self, body: bytes) -> Response:
        order = msgspec.json.decode(body, type=CacheOrder)
        for prefix in order.prefixes:
            self.core.cache.store(order.model, prefix)
        return json_response({"model": order.model, "imported": len(order.prefixes)})

    # Reports

    def _handle_get(self, request: Request) -> Response:
        if request.path == "/load":
            return json_response(self.core.load_report())
        if request.path == "/v1/models":
            return json_response(self._model_list())
        if request.path == "/cache-events":
            last_id = request.int_parameter("after", 0)
            return json_response({"events": self.core.cache.events_after(last_id)})
        if request.path == "/health":
            return json_response({})
        return error_response(404, "unknown path")

    def _model_list(self) -> dict[str, object]:
        base = self.settings.base_model
        models: list[dict[str, str]] = [{"id": base, "object": "model"}]
        models += [
            {"id": name, "object": "model", "parent": base, "root": path}
            for name, path in self.core.loaded().items()
        ]
        return {
            "object": "list",
            "data": models,
            "system_fingerprint": self.core.incarnation,
        }

    def _run_step_loop(self) -> None:
        """Run one step per token time until the stand-in stops."""
        step_due_s = 0.0
        while not self.stopping.is_set():
            if not self.core.is_busy():
                self.core.wait_for_execution(0.2)
                step_due_s = time.monotonic()
                continue
            interval_s = self.settings.token_s * self.faults.switches.slow_factor
            now_s = time.monotonic()
            # Time lost by late steps is not made up for, as that would cause bursts of
            # tokens on a busy machine.
            step_due_s = max(step_due_s + interval_s, now_s)
            wait_s = step_due_s - now_s
            if wait_s > 0.2:
                self.pause(wait_s)
            else:
                time.sleep(wait_s)
            self.core.step()


def _finish_reason(execution: Execution) -> str:
    if execution.entry.tokens >= execution.request.max_tokens:
        return "length"
    return _FINISH_REASONS[execution.entry.outcome]
