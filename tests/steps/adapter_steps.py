"""Steps for settings files, records and headers in the platform's formats."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
from pathlib import Path

import tomlkit
from behave import given, then, when

from lentiltally.cli import main
from lentiltally.decisions.engine_orders import EngineOrder, EngineOrderKind
from lentiltally.platform.desired_state import StoreValueError
from lentiltally.platform.engine_control import decode_report, encode_order
from lentiltally.platform.http_headers import decode_answer_head, decode_request
from lentiltally.platform.target_list import decode_target_record

SETTINGS = {
    "nodeName": "front-1",
    "machineClass": "front",
    "serves": ["front"],
    "ipAddress": "10.1.0.1",
    "zone": "z1",
    "internalPorts": [7380, 7395],
    "listenAddresses": {"front": "10.1.0.1:80", "ready": "10.1.0.1:81"},
    "bounds": {"drainMs": 2000},
    "platform": {"address": "10.9.0.1:82"},
}
TARGET_RECORD = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 17,
}


def set_key(document, path, value):
    *tables, name = path.split(".")
    for table in tables:
        document = document[table]
    document[name] = value


@given('platform settings without "{absent}" and with these values')
def invalid_settings(context, absent):
    context.settings = json.loads(json.dumps(SETTINGS))
    del context.settings[absent]
    for row in context.table:
        set_key(context.settings, row["key"], json.loads(row["value"]))


@given("platform settings with an unknown key")
def settings_with_unknown_key(context):
    context.settings = {**SETTINGS, "laterAddition": 1}


@when("platform settings are checked on the command line")
def check_settings(context):
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.toml")
        path.write_text(tomlkit.dumps(context.settings))
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            context.code = main(["check", str(path)])
    context.output = output.getvalue()


@then("platform settings check exits with {code:d} and names these keys")
def check_names_keys(context, code):
    check_exits(context, code)
    for row in context.table:
        assert row["key"] in context.output, context.output


@then("platform settings check exits with {code:d}")
def check_exits(context, code):
    assert context.code == code, context.output


@then("platform codec rejects a target record with {field} set to {value}")
def rejects_record(context, field, value):
    assert decode_target_record("t", json.dumps(TARGET_RECORD).encode()).sequence == 4
    invalid = {**TARGET_RECORD, field: json.loads(value)}
    try:
        record = decode_target_record("t", json.dumps(invalid).encode())
    except StoreValueError:
        return
    raise AssertionError(f"accepted as {record}")


@then('platform codec reads status {status:d} with "{header}" as {meaning}')
@then('platform codec reads status {status:d} with "" as {meaning}')
def reads_answer(context, status, meaning, header=""):
    name, _, value = header.partition(": ")
    headers = [(name.encode(), value.encode())] if name else []
    head = decode_answer_head(status, headers)
    assert head.did_not_run == (meaning == "not run"), head


@then('platform codec passes on only "{kept}" of {headers}')
def passes_on_only(context, kept, headers):
    pairs = [text.strip('"').split(": ") for text in headers.split(", ")]
    encoded = [(n.encode(), v.encode()) for n, v in [*pairs, ("X-Request-Id", "r")]]
    request = decode_request(b"GET", b"/", encoded, b"", 0.0)
    names = [name.decode() for name, _ in request.headers]
    assert names == [kept, "X-Request-Id"], names


@then('platform codec reads from prompt "{prompt}" the shared parts "{shared}"')
def reads_shared_parts(context, prompt, shared):
    headers = [(b"X-Request-Id", b"r"), (b"X-Prompt-Prefix", prompt.encode())]
    request = decode_request(b"GET", b"/", headers, b"", 0.0)
    assert list(request.shared_parts) == shared.split(), request.shared_parts


@then('platform codec reads from prompt "{prompt}" the shared parts ""')
def reads_no_shared_parts(context, prompt):
    reads_shared_parts(context, prompt, "")


@then("platform codec reads {count:d} shared parts of a prompt in {headers:d} {noun}")
def reads_many_parts(context, count, headers, noun):
    parts = [f"{number + 0x10000000:08x}:1" for number in range(count + 1)]
    size = len(parts) // headers + 1
    values = [
        ",".join(parts[n : n + size]).encode() for n in range(0, len(parts), size)
    ]
    assert len(values) == headers
    pairs = [(b"X-Request-Id", b"r"), *((b"X-Prompt-Prefix", v) for v in values)]
    request = decode_request(b"GET", b"/", pairs, b"", 0.0)
    assert len(request.shared_parts) == count


@then('platform codec reads from prompt "" the shared parts ""')
def reads_empty_prompt(context):
    reads_shared_parts(context, "", "")


@then("platform codec writes an order with holder, token and expected sequence")
def writes_order(context):
    order = EngineOrder(EngineOrderKind.LOAD, "m", "a1", 3, 7, "wanted")
    body = json.loads(encode_order(order, "host-1"))
    assert body == {
        "operation": "load",
        "model": "m",
        "adapter": "a1",
        "version": 3,
        "holder": "host-1",
        "fencingToken": 1,
        "expect": 7,
    }, body


@then('platform codec reads "X-Token-Counts" of {text} as {tokens:d} tokens')
def reads_tokens(context, text, tokens):
    del context
    count, _, unit = text.partition(" ")
    value = "9" * int(count) if unit == "digits" else text
    headers = [(b"X-Request-Id", b"r1"), (b"X-Token-Counts", value.encode())]
    request = decode_request(b"GET", b"/", headers, b"", 0.0)
    assert request.prompt_tokens == tokens, request.prompt_tokens


def digits_or(text):
    count, _, unit = text.partition(" ")
    return "9" * int(count) if unit == "digits" else text


@then("platform codec rejects a report with {field} of {text}")
def rejects_report(context, field, text):
    del context
    try:
        decode_report(f'{{"{field}":{digits_or(text)}}}'.encode(), None)
    except StoreValueError:
        return
    raise AssertionError("accepted")


@then('platform codec reads the adapter "a@{text}" with version {version:d}')
def reads_adapter(context, text, version):
    del context
    model = f'{{"name":"m","adapters":["a@{digits_or(text)}"]}}'
    report = decode_report(f'{{"models":[{model}]}}'.encode(), None)
    (adapter,) = report.models[0].adapters
    assert (adapter.name, adapter.version) == ("a", version), adapter


@then(
    'platform codec reads from status {status:d} with pauses "{values}" the pause '
    '"{pause}" and the error "{error}"'
)
def reads_pause(context, status, values, pause, error):
    headers = [(b"Retry-After", value.encode()) for value in values.split(";")]
    head = decode_answer_head(status, headers)
    assert head.pause_s == (None if pause == "-" else float(pause)), head
    assert head.unread_pause == ("" if error == "-" else error), head


@then(
    'platform codec reads from limits "{values}" the limit "{limit}" and the error '
    '"{error}"'
)
def reads_limit(context, values, limit, error):
    headers = [(b"Server-Limit", value.encode()) for value in values.split(";")]
    head = decode_answer_head(200, headers)
    assert head.rate_limit_per_s == (None if limit == "-" else float(limit)), head
    assert head.unread_limit == ("" if error == "-" else error), head
    assert not head.headers
