"""An entry and its agents on loopback addresses, with the platform's protocols."""

from __future__ import annotations

import asyncio
import os
import threading
from dataclasses import replace

import h11

from lentiltally.clock import SystemClock
from lentiltally.direct.agent_process import AgentProcess
from lentiltally.direct.entry_process import EntryProcess
from lentiltally.direct.settings import HostBounds, HostSettings, SocketAddress
from lentiltally.direct.stop_signal import StopSignal
from lentiltally.platform.roles import agent_platform, entry_platform
from standins.platform_engine import PlatformEngineStandIn
from standins.platform_store import PlatformStoreStandIn
from tools._ports import free_port

HOST = "callers.example"
WAIT_S = 10.0


# Concurrent test runs use different loopback addresses.
NETWORK = f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}"
ENTRY_IP = f"{NETWORK}.1"
OTHER_ENTRY_IP = f"{NETWORK}.2"
MAX_ENTRIES = 9


def engine_ip(number):
    return f"{NETWORK}.{10 + number}"


def route(name, kind, service, attempts=2, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": more.pop("timeoutMs", 3000),
        "targetLatencyMs": more.pop("targetLatencyMs", 300),
        "priority": 1,
        "service": service,
        "attempts": attempts,
        **more,
    }


def configuration(version, routes=None, adapter_slots=2):
    engine = {
        "slots": 8,
        "kvCacheTokens": 100_000,
        "adapterSlots": adapter_slots,
        "weightsMb": 100.0,
        "models": [{"name": "m", "weightsMb": 10.0, "adapterMb": 1.0}],
    }
    return {
        "version": version,
        "routes": routes
        or [
            route("safe", "safe", "plain"),
            route("once", "unsafe", "plain", attempts=1),
            route("stream", "streaming", "llm", resumable=True),
            route("stream-once", "streaming", "llm", attempts=1),
        ],
        "services": [
            {"name": "plain", "connectionLimit": 64},
            {"name": "llm", "connectionLimit": 64, "engine": engine},
        ],
        "limits": {
            "headerBytes": 4096,
            "bodyBytes": 65_536,
            "headerTimeoutMs": 400,
            "idleTimeoutMs": 15_000,
        },
    }


class Answer:
    """What a caller received; ``is_complete`` is False if the answer is incomplete."""

    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.retry_after_s = float(self.headers.get("retry-after", "0"))

    def event_ids(self):
        lines = self.body.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class DirectSystem:
    """Runs stand-ins, an entry and agents on an event loop in a thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.store = None
        self.engines = {}
        self.agents = {}
        self.agent_metrics = []
        self._sequence = 0
        self._started = []
        self._tasks = {}
        self._failure = None
        self.bounds = HostBounds(leaving_s=0.4, stop_s=4.0, retry_slack=50.0)
        self.peer_port = free_port(ENTRY_IP)
        self.entry_address = None
        self.entry = None
        self.other_entry = None

    def run(self, work):
        # Longer than any wait that runs inside, so that the wait times out first.
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(2 * WAIT_S)

    def call(self, action):
        async def act():
            return action()

        return self.run(act())

    def close(self):
        async def stop():
            for stop_signal, task in self._started:
                stop_signal.request()
                task.cancel()
            for server in (*self.engines.values(), self.store):
                if server is not None:
                    server.stop()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(WAIT_S)

    def start_store(self):
        async def start():
            self.store = PlatformStoreStandIn()
            await self.store.start("127.0.0.1")

        self.run(start())

    def configure(self, document):
        self.call(lambda: self.store.put_json("keyed.op", "config", document))

    def add_target(
        self, name, service="plain", engine_type=PlatformEngineStandIn, **more
    ):
        """Start a target on its own loopback address and announce it."""
        engine = engine_type(name, **more)
        ip = engine_ip(len(self.engines))
        self.run(engine.start(ip))
        engine.ip = ip
        engine.service = service
        self.engines[name] = engine
        self.announce(name)
        return engine

    def announce(self, name, **more):
        self.call(lambda: self.put_record(name, **more))

    def put_record(self, name, **more):
        """Write the record of a target; called on the event loop."""
        engine = self.engines[name]
        self._sequence += 1
        record = {
            "service": engine.service,
            "address": f"{engine.ip}:{engine.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": engine.born,
            **more,
        }
        self.store.put_json("keyed.servers", name, record)

    def withdraw(self, name):
        self.call(lambda: self.store.put("keyed.servers", name, None))

    def settings(self, name, ip, **more):
        return HostSettings(
            name=name,
            failure_domain="z1",
            ip=ip,
            store=SocketAddress("127.0.0.1", self.store.port),
            peer_port=self.peer_port,
            metrics_port=free_port(ip),
            bounds=self.bounds,
            **more,
        )

    def start_entry(self):
        self.entry_address = SocketAddress(ENTRY_IP, free_port(ENTRY_IP))
        settings = self.settings(
            "entry-1",
            ENTRY_IP,
            callers=self.entry_address,
            readiness=SocketAddress(ENTRY_IP, free_port(ENTRY_IP)),
        )
        self.readiness = settings.readiness
        self.metrics = SocketAddress(ENTRY_IP, settings.metrics_port)

        self.entry = self._start_entry(settings)

    def start_other_entry(self):
        """Start a second entry; callers of ``send`` use the first one."""
        settings = self.settings(
            "entry-2",
            OTHER_ENTRY_IP,
            callers=SocketAddress(OTHER_ENTRY_IP, free_port(OTHER_ENTRY_IP)),
            readiness=SocketAddress(OTHER_ENTRY_IP, free_port(OTHER_ENTRY_IP)),
        )
        self.other_entry = self._start_entry(settings)
        assert self.wait(lambda: self._sees_all_targets(self.other_entry))

    def start_numbered_entry(self, number, clock, callers=None):
        """Start one of several entries, at an address of its own or the one given."""
        assert number <= MAX_ENTRIES
        ip = f"{NETWORK}.{number}"
        settings = self.settings(
            f"entry-{number}",
            ip,
            callers=callers or SocketAddress(ip, free_port(ip)),
            readiness=SocketAddress(ip, free_port(ip)),
        )
        return self._start_entry(settings, clock), settings.callers

    async def stop(self, process):
        """Ask a process to stop and wait for its end; called on the event loop."""
        task = self._tasks.pop(process)
        for stop_signal, started in self._started:
            if started is task:
                stop_signal.request()
        await task

    def kill(self, process):
        """End a process without a farewell; its sockets are closed."""

        async def cancel():
            task = self._tasks.pop(process)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.run(cancel())

    def _start_entry(self, settings, clock=None):
        async def start():
            entry = EntryProcess(
                settings,
                entry_platform(settings),
                clock or SystemClock(),
                # Bounds that are changed here count after a reload.
                load_settings=lambda: replace(settings, bounds=self.bounds),
            )
            self._run_process(entry)
            return entry

        entry = self.run(start())
        assert self.wait(lambda: entry.is_listening)
        return entry

    def start_agent(self, engine_name):
        engine = self.engines[engine_name]
        address = SocketAddress(engine.ip, engine.port)
        settings = self.settings(f"agent-{engine_name}", engine.ip, engine=address)
        self.agent_metrics.append(SocketAddress(engine.ip, settings.metrics_port))

        async def start():
            platform = agent_platform(settings, engine.service)
            agent = AgentProcess(settings, platform, SystemClock())
            self.agents[engine_name] = agent
            self._run_process(agent)

        self.run(start())

    def _run_process(self, process):
        stop = StopSignal(process.reload)
        task = asyncio.ensure_future(process.run(stop))
        task.add_done_callback(self._ended)
        self._started.append((stop, task))
        self._tasks[process] = task

    def _ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    def stop_entry(self):
        self.loop.call_soon_threadsafe(self._started[0][0].request)

    def wait(self, condition, timeout_s=WAIT_S):
        """Wait until the condition holds on the event loop; return whether it did."""

        async def poll():
            for _ in range(int(timeout_s / 0.01)):
                if self._failure is not None:
                    raise self._failure
                if condition():
                    return True
                await asyncio.sleep(0.01)
            return False

        return self.run(poll())

    def wait_ready(self):
        return self.wait(lambda: self._sees_all_targets(self.entry))

    def _sees_all_targets(self, entry):
        state = entry._state
        seen = {record.target_id for record in state.directory.all()}
        engines = [name for name, e in self.engines.items() if e.service == "llm"]
        views = [state.choice.view(name).state for name in engines]
        is_usable = state.table is not None and state.peer_versions.is_usable
        return is_usable and seen >= set(self.engines) and all(views)

    # -- callers ---------------------------------------------------------------

    def send(self, path, **more):
        return self.run(self.request(path, **more))

    async def request(self, path, request_id="r1", method=None, body=b"", **more):
        headers = more.pop("headers", {})
        fields = {"Host": HOST, "X-Request-Id": request_id, **headers}
        if body:
            fields["Content-Length"] = str(len(body))
        verb = method or ("POST" if body else "GET")
        lines = [f"{verb} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        return await self.raw(head + body, **more)

    async def raw(self, data, disconnect_after_s=None, read_s=5.0, address=None):
        """Send bytes and read one answer; disconnect early if a delay is given."""
        address = address or self.entry_address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        try:
            writer.write(data)
            return await asyncio.wait_for(
                self._read(reader), disconnect_after_s or read_s
            )
        except TimeoutError:
            return Answer()
        finally:
            writer.transport.abort()

    @staticmethod
    async def _read(reader):
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        answer = Answer()
        body = b""
        while True:
            try:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Response):
                    headers = {n.decode(): v.decode() for n, v in event.headers}
                    answer = Answer(event.status_code, headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    is_complete = isinstance(event, h11.EndOfMessage)
                    return Answer(answer.status, answer.headers, body, is_complete)
            except (h11.RemoteProtocolError, OSError):
                return Answer(answer.status, answer.headers, body, False)
