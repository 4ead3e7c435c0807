"""Steps for the direct path: callers' requests at plain targets."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from tests.fakes.direct import HOST, DirectSystem, configuration

SYSTEM_ONLY_HEADERS = ("x-hold", "x-pin-milliseconds", "x-kv-backup", "kv-from")


def start(context):
    context.direct = DirectSystem()
    context.add_cleanup(context.direct.close)
    context.direct.start_store()


@given("direct path with an empty store")
def empty_store(context):
    start(context)
    context.direct.start_entry()


@given("direct path with a store, a configuration and two plain targets")
def plain_system(context):
    start(context)
    system = context.direct
    system.configure(configuration(3))
    system.add_target("p1")
    system.add_target("p2")
    system.start_entry()
    assert system.wait_ready()


@given("direct path has a third plain target")
def third_target(context):
    context.direct.add_target("p3")
    assert context.direct.wait_ready()


@given('direct path targets handle the next request as "{step}"')
def script_request(context, step):
    for engine in context.direct.engines.values():
        engine.script.append(step)


@given('direct path targets handle the next {times:d} requests as "{step}"')
def script_requests(context, step, times):
    for engine in context.direct.engines.values():
        engine.script.extend([step] * times)


@given('direct path one target handles the next request as "{step}"')
def script_one_target(context, step):
    """Script the step for whichever target gets the next request."""
    engines = list(context.direct.engines.values())
    unused_steps = [step]

    def first_only(engine):
        original = engine.exchange

        async def exchange(request, writer):
            if unused_steps and not request.path.startswith("/-/"):
                engine.script.append(unused_steps.pop())
            return await original(request, writer)

        return exchange

    for engine in engines:
        engine.exchange = first_only(engine)


@given('direct path target "{name}" was replaced by another one at its address')
def replaced(context, name):
    engine = context.direct.engines[name]
    engine.name = "another"


@given("direct path has kept connections to both targets")
def kept_connections(context):
    system = context.direct

    async def get_after(delay_s, request_id):
        await asyncio.sleep(delay_s)
        return await system.request("/once/x", request_id, body=b"b")

    async def act():
        # Each request is chosen a target while the one before it runs.
        for engine in system.engines.values():
            engine.answer_after_s = 0.1
        requests = [get_after(0.02 * n, f"kept{n}") for n in range(4)]
        answers = await asyncio.gather(*requests)
        for engine in system.engines.values():
            engine.answer_after_s = 0.0
        return answers

    assert all(answer.status == 200 for answer in system.run(act()))
    idle = system.entry._pool._idle
    assert system.wait(lambda: set(idle) == set(system.engines), 1.0)


@given('direct path store is "{mode}"')
def store_mode(context, mode):
    def change():
        context.direct.store.mode = mode
        context.direct.store.reset_all()

    context.direct.call(change)


@when('direct path gets a POST to "{path}" with body "{body}"')
def posts(context, path, body):
    headers = {"X-Hold": "h", "Kv-From": "k", "X-Pin-Milliseconds": "9", "X-Own": "v"}
    context.answer = context.direct.send(path, body=body.encode(), headers=headers)


@when('direct path gets a chunked POST to "{path}" of "{one}" and "{two}"')
def posts_chunks(context, path, one, two):
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
    chunks = "".join(f"{len(c):x}\r\n{c}\r\n" for c in (one, two)) + "0\r\n\r\n"
    data = f"{head}Transfer-Encoding: chunked\r\n\r\n{chunks}".encode()
    context.answer = context.direct.run(context.direct.raw(data))


@when('direct path gets a GET to "{path}" with a deadline of {ms:d} ms')
def gets_with_deadline(context, path, ms):
    headers = {"X-Deadline-Milliseconds": str(ms)}
    context.answer = context.direct.send(path, headers=headers)


@when('direct path gets {count:d} GETs to "{path}" after {pause_s:f} s')
def gets_many_later(context, count, path, pause_s):
    context.direct.run(asyncio.sleep(pause_s))
    gets_many(context, count, path)


@when('direct path gets {count:d} GETs to "{path}"')
def gets_many(context, count, path):
    context.answers = [
        context.direct.send(path, request_id=f"m{number}") for number in range(count)
    ]


@when('direct path gets a GET to "{path}"')
def gets(context, path):
    context.answer = context.direct.send(path)


@when('direct path sends the requests "{one}" and "{two}" one after the other')
def sends_two(context, one, two):
    context.by_id = {
        request_id: context.direct.send("/once/x", request_id=request_id, body=b"b")
        for request_id in (one, two)
    }


@when('direct path gets the raw request "{kind}"')
def gets_raw_request(context, kind):
    context.answer = context.direct.run(context.direct.raw(RAW_REQUESTS[kind]))


@when("direct path has 200 callers that stall within a request head")
def stalled_callers(context):
    system = context.direct

    async def stall():
        context.stalled = [
            await asyncio.open_connection(
                system.entry_address.ip, system.entry_address.port
            )
            for _ in range(200)
        ]
        for _, writer in context.stalled:
            writer.write(b"GET /safe/x HTTP/1.1\r\nHost: ")

    system.run(stall())


@then("direct path answers {status:d} with the target's body and signature")
def answers_as_target(context, status):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.is_complete
    assert answer.body == b"body of r1", answer.body
    assert answer.headers["x-response-signature"].startswith("proof-")


@then("direct path answers {status:d} as not executed")
def answers_not_executed(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert json.loads(context.answer.body)["executed"] == "no"


@then("direct path answers {status:d} with execution unknown")
def answers_unknown(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert json.loads(context.answer.body)["executed"] == "unknown"


@then("direct path answers {status:d} and closes the connection")
def answers_and_closes(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert context.answer.headers["connection"] == "close"


@then("direct path answers with a Retry-After")
def says_retry_after(context):
    assert context.answer.retry_after_s > 0


@then('direct path target got "{path}" with body "{body}"')
def target_got(context, path, body):
    runs = all_runs(context)
    assert [(run.path, run.body) for run in runs] == [(path, body.encode())], runs


@then("direct path target got no header that only the system may set")
def target_headers(context):
    (run,) = all_runs(context)
    assert not set(SYSTEM_ONLY_HEADERS) & run.headers.keys(), run.headers
    assert run.headers["x-own"] == "v"


@then("direct path target got a deadline of at most {ms:d} ms")
def target_deadline(context, ms):
    (run,) = all_runs(context)
    assert 0 < int(run.headers["x-deadline-milliseconds"]) <= ms, run.headers


@then("direct path answers {status:d}")
def answers(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)


@then('direct path never said that "{request_id}" did not run')
def never_said_not_run(context, request_id):
    del request_id
    assert b'"executed":"no"' not in context.answer.body, context.answer.body


@then('direct path request "{request_id}" ran {times:d} time')
def named_request_ran(context, request_id, times):
    runs = [run for run in all_runs(context) if run.request_id == request_id]
    assert len(runs) == times, runs


@then(
    'direct path closed the connection to the target of "{request_id}" within '
    "{within_s:f} s"
)
def closed_to_target(context, request_id, within_s):
    engines = context.direct.engines.values()
    assert context.direct.wait(
        lambda: any(request_id in engine.abandoned_requests for engine in engines),
        within_s,
    )


@then("direct path request ran {times:d} time")
@then("direct path request ran {times:d} times")
def request_ran(context, times):
    assert len(all_runs(context)) == times, all_runs(context)


@then("direct path answered each with its own body")
def own_bodies(context):
    for request_id, answer in context.by_id.items():
        assert answer.status == 200, answer.body
        assert answer.body == b"body of " + request_id.encode(), answer.body


@then("direct path answered all with {status:d}")
def answered_all(context, status):
    assert [a.status for a in context.answers] == [status] * len(context.answers)


@then("direct path answered that request with {status:d}")
def answered_that_request(context, status):
    assert context.answer.status == status, context.answer.body


@then('direct path target "{name}" ran no request')
def ran_no_request(context, name):
    assert not context.direct.engines[name].runs


@then("direct path targets ran no request")
def all_ran_no_request(context):
    assert not all_runs(context)


def all_runs(context):
    return [run for e in context.direct.engines.values() for run in e.runs]


def request_bytes(*lines, body=b"", verb="POST"):
    head = [f"{verb} /safe/x HTTP/1.1", *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


_HOST_LINE = f"Host: {HOST}"
_REQUEST_ID_LINE = "X-Request-Id: r1"
RAW_REQUESTS = {
    "two lengths": request_bytes(
        _HOST_LINE,
        _REQUEST_ID_LINE,
        "Content-Length: 3",
        "Content-Length: 30",
        body=b"abc",
    ),
    "length and chunked": request_bytes(
        _HOST_LINE,
        _REQUEST_ID_LINE,
        "Content-Length: 3",
        "Transfer-Encoding: chunked",
        body=b"0\r\n\r\n",
    ),
    "two hosts": request_bytes(_HOST_LINE, "Host: other", _REQUEST_ID_LINE, verb="GET"),
    "no id": request_bytes(_HOST_LINE, verb="GET"),
    "bad chunk": request_bytes(
        _HOST_LINE,
        _REQUEST_ID_LINE,
        "Transfer-Encoding: chunked",
        body=b"xyz\r\nabc\r\n",
    ),
    "oversized head": request_bytes(
        _HOST_LINE, _REQUEST_ID_LINE, "X-Long: " + "a" * 8000, verb="GET"
    ),
    "oversized body": request_bytes(
        _HOST_LINE, _REQUEST_ID_LINE, "Content-Length: 100000", body=b"a" * 100_000
    ),
    "slow head": b"GET /safe/x HTTP/1.1\r\nHost: ",
}
