"""Steps for the agent's stream reader, with the engine stand-in over real sockets."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient, EngineStream
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.clock import SystemClock
from standins.engine import EngineStandIn
from standins.engine_state import EngineSettings
from tests.steps.agent_cut_answers_steps import read_request

MODEL = "t/a@1"
SEND_TIMEOUT_S = 0.05


def _start(context, settings):
    engine = EngineStandIn("127.0.0.1", 0, settings=settings)
    engine.start()
    context.add_cleanup(engine.stop)
    client = EngineClient(engine.url, "engine", 32, 10.0, 10.0)
    client.load_adapter(MODEL, "a/1", 1)
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    return engine, client, reader


def _open(client, request_id, tokens):
    body = {"model": MODEL, "prompt": "x", "max_tokens": tokens, "stream": True}
    return client.stream("/v1/completions", json.dumps(body).encode(), request_id)


@given("stream reader reads from an engine that sends nothing after its first events")
def read_until_timeout(context):
    engine, client, reader = _start(context, EngineSettings(token_s=0.005))
    context.blocks = []
    arrived = threading.Event()

    def on_block(block):
        context.blocks.append(block)
        arrived.set()
        return False

    stream = _open(client, "r1", 10_000)
    with ThreadPoolExecutor(1) as pool:
        result = pool.submit(reader.follow, {stream: on_block}, 1.0)
        assert arrived.wait(10.0), "no event arrived while the engine was producing"
        urllib3.request(
            "PUT", f"{engine.url}/faults", json={"silent_connections": True}
        )
        context.error = result.exception(30.0)
    stream.close()
    client.cancel("r1")


@given("stream reader reads from an engine that sends head and events at once")
def read_with_head(context):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    is_read = threading.Event()

    def serve():
        connection, _ = listener.accept()
        with connection:
            read_request(connection)
            connection.sendall(head + b"id: 1\ndata: {}\n\n")
            is_read.wait(20.0)

    threading.Thread(target=serve, daemon=True).start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    stream = _open(EngineClient(url, "engine", 2, 10.0, 10.0), "r1", 10)
    context.blocks = []
    arrived = threading.Event()

    def on_block(block):
        context.blocks.append(block)
        arrived.set()
        return False

    with ThreadPoolExecutor(1) as pool:
        result = pool.submit(reader.follow, {stream: on_block}, 10.0)
        arrived.wait(5.0)
        seen = list(context.blocks)
        is_read.set()
        result.exception(20.0)
    context.blocks = seen
    stream.close()


@then("stream reader has passed on events before the end")
def has_passed_on_early(context):
    assert context.blocks
    assert b"[DONE]" not in context.blocks[-1].data


@then("stream reader reports an error after which the request may have run")
def reports_error(context):
    assert isinstance(context.error, TargetError), context.error
    assert context.error.may_have_run


@given("stream reader reads {streams:d} streams of {tokens:d} tokens at the same time")
def read_many(context, streams, tokens):
    settings = EngineSettings(token_s=0.002)
    _, client, reader = _start(context, settings)
    context.streams = [b""] * streams

    def follow(number):
        def on_block(block):
            context.streams[number] += block.data
            return b"[DONE]" in block.data

        reader.follow({_open(client, f"r{number}", tokens): on_block}, 10.0)

    with ThreadPoolExecutor(streams) as pool:
        list(pool.map(follow, range(streams)))


@then("stream reader passed on events {first:d} to {last:d} of each stream in order")
def has_events_in_order(context, first, last):
    for data in context.streams:
        ids = [int(number) for number in re.findall(rb"id: (\d+)\n", data)]
        assert ids == list(range(first, last + 1)), ids


class SocketResponse:
    """The part of a urllib3 response that a stream uses, over a socket pair."""

    status = 200
    headers: dict[str, str] = {}
    connection = None

    def __init__(self, receiver):
        self._receiver = receiver

    def fileno(self):
        return self._receiver.fileno()

    def read1(self, size):
        return self._receiver.recv(size)


def follow_socket(context, data, pause_s):
    """Follow a stream that gets the same bytes again and again until it ends."""
    receiver, sender = socket.socketpair()
    sender.settimeout(SEND_TIMEOUT_S)
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    stream = EngineStream(SocketResponse(receiver), "engine")
    with ThreadPoolExecutor(1) as pool:
        result = pool.submit(reader.follow, {stream: lambda block: False}, 0.3)
        deadline_s = time.monotonic() + 10.0
        while not result.done() and time.monotonic() < deadline_s:
            # The reader may have ended while the buffer is full.
            with contextlib.suppress(TimeoutError):
                sender.sendall(data)
            time.sleep(pause_s)
        sender.close()
        context.error = result.exception(10.0)
    receiver.close()


@given("stream reader reads a stream that gets a byte every {pause_s:g} s")
def read_single_bytes(context, pause_s):
    follow_socket(context, b"d", pause_s)


@given("stream reader reads a stream of one event without end")
def read_endless_event(context):
    follow_socket(context, b"d" * 16_384, 0.0001)


class SteppedClock:
    """Advances only when it is told to."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s


class HoldingResponse(SocketResponse):
    """Holds the reader up once, until ``while_held`` has returned."""

    def __init__(self, receiver, while_held):
        super().__init__(receiver)
        self._while_held = while_held

    def read1(self, size):
        data = super().read1(size)
        self._while_held()
        return data


@given("stream reader is held up by one stream while events of another arrive")
def read_held_up(context):
    clock = SteppedClock()
    reader = StreamReader(clock)
    slow_receiver, slow_sender = socket.socketpair()
    receiver, sender = socket.socketpair()

    def while_held():
        sender.sendall(b"id: 1\ndata: {}\n\n")
        clock.now_s += 100.0

    slow = EngineStream(HoldingResponse(slow_receiver, while_held), "engine")
    stream = EngineStream(SocketResponse(receiver), "engine")
    context.blocks = []

    def on_block(block):
        context.blocks.append(block)
        return True

    with ThreadPoolExecutor(2) as pool:
        results = [
            pool.submit(reader.follow, {slow: lambda block: False}, 10.0),
            pool.submit(reader.follow, {stream: on_block}, 10.0),
        ]
        slow_sender.sendall(b"d")
        while len(reader._new_answers) < 2:
            time.sleep(0.001)
        reader.start()
        context.add_cleanup(reader.stop)
        for result in results:
            result.exception(20.0)
    for end in (slow_receiver, slow_sender, receiver, sender):
        end.close()


PIECES = {
    "events without end": b"id: 1\ndata: {}\n\n",
    "single bytes without end": b"a",
}


class EndlessResponse:
    """Always has one more piece."""

    status = 200
    headers: dict[str, str] = {}

    def __init__(self, piece):
        self._piece = piece
        self.reads = 0

    def read1(self, size):
        self.reads += 1
        return self._piece


class EndlessStream(EngineStream):
    """A stream of a response that always has more."""

    def has_buffered_data(self):
        return True


class CountingBuffer(bytearray):
    """Counts the bytes that are searched."""

    searched_bytes = 0

    def rfind(self, what, start=0):
        type(self).searched_bytes += len(self) - start
        return super().rfind(what, start)


@given("engine stream of an engine that sends {what}")
def endless_stream(context, what):
    context.response = EndlessResponse(PIECES[what])
    context.stream = EndlessStream(context.response, "engine")
    CountingBuffer.searched_bytes = 0
    context.stream._buffer = CountingBuffer()


@when("engine stream is read for one turn")
def read_turn(context):
    for _ in zip(range(1000), context.stream.read_events(), strict=False):
        pass


@then("engine stream has read {count:d} chunks and has more")
def has_read(context, count):
    assert context.response.reads == count, context.response.reads
    assert context.stream.has_more


@when("engine stream is read until it fails")
def read_until_failure(context):
    context.error = None
    while context.error is None and context.response.reads < 100_000:
        try:
            list(context.stream.read_events())
        except TargetError as error:
            context.error = error


@then("engine stream has searched at most {count:d} bytes for each byte")
def searched_once(context, count):
    assert context.error is not None
    limit = count * context.response.reads
    assert 0 < CountingBuffer.searched_bytes <= limit, CountingBuffer.searched_bytes


@given("stream reader reads a stream beside one that sends events without end")
def beside_endless(context):
    reader = StreamReader(SystemClock())
    context.add_cleanup(reader.stop)
    receiver, sender = socket.socketpair()
    endless_receiver, endless_sender = socket.socketpair()
    context.counts = [0, 0]

    def on_endless(block):
        context.counts[0] += block.count
        return context.counts[0] > 100 and context.counts[1] > 0

    def on_block(block):
        context.counts[1] += block.count
        return True

    class Endless(EndlessResponse):
        def fileno(self):
            return endless_receiver.fileno()

    endless = EndlessStream(Endless(PIECES["events without end"]), "engine")
    stream = EngineStream(SocketResponse(receiver), "engine")
    # What it has left after a turn makes its connection readable no more.
    with ThreadPoolExecutor(2) as pool:
        results = [
            pool.submit(reader.follow, {endless: on_endless}, 10.0),
            pool.submit(reader.follow, {stream: on_block}, 10.0),
        ]
        reader.start()
        sender.sendall(PIECES["events without end"])
        for result in results:
            result.exception(20.0)
    for end in (receiver, sender, endless_receiver, endless_sender):
        end.close()


@then("stream reader has passed on events of both")
def events_of_both(context):
    assert context.counts[0] > 100 and context.counts[1] == 1, context.counts
