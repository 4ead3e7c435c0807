"""Steps for odd records of another writer in the platform's store."""

from __future__ import annotations

import json
import logging

from behave import then, when

from tests.fakes.direct import configuration

LEVELS = 100_000
ODD_ADDRESSES = {
    "an octet of 80 digits": "0" * 79 + "9.0.0.1:80",
    "an octet that is no digit": "\u0661\u0662.0.0.1:80",
    "an octal address": "010.0.0.1:80",
    "port 0": "127.0.0.1:0",
    "port 65536": "127.0.0.1:65536",
    "port -1": "127.0.0.1:-1",
    "port 99999999999": "127.0.0.1:99999999999",
    "port of 5000 digits": "127.0.0.1:" + "9" * 5000,
    "no port": "127.0.0.1",
    "an IPv6 address": "[::1]:80",
}
# The texts of field values that replace the valid ones.
ODD_FIELDS = {
    "400 digits of slots": ("slots", "9" * 400),
    "a start before 1970": ("born", "-5"),
    "a start of 400 digits": ("born", "9" * 400),
    "a start in the year 30000": ("born", "884541340800000"),
    "a sequence of 25 digits": ("sequence", "9" * 25),
    "100000 nested arrays": ("more", "[" * LEVELS + "]" * LEVELS),
    "100000 nested objects": ("more", '{"a":' * LEVELS + "1" + "}" * LEVELS),
    "slots NaN": ("slots", "NaN"),
    "slots 1e400": ("slots", "1e400"),
    "slots -1": ("slots", "-1"),
    "slots 1.5": ("slots", "1.5"),
    "a lone surrogate": ("zone", '"\\udc80"'),
}
ODD_IDS = {
    "an id with a line break": "odd\r\nX-Hold: 1",
    "an id that is not ASCII": "odd\u00e9",
}


class LogCounter(logging.Handler):
    """Keeps the messages of one logger."""

    def __init__(self, logger):
        super().__init__()
        self.records = []
        self._logger = logging.getLogger(logger)
        self._logger.addHandler(self)

    def emit(self, record):
        self.records.append(record)

    def close(self):
        self._logger.removeHandler(self)
        super().close()


def odd_record(address, kind):
    """Return the id and the value of an odd record; it names the service of engines."""
    record = {
        "service": "llm",
        "address": ODD_ADDRESSES.get(kind, address),
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    field, text = ODD_FIELDS.get(kind, ("", ""))
    if field:
        record[field] = "@"
    value = json.dumps(record).replace('"@"', text).encode()
    if kind == "invalid UTF-8":
        value = value.replace(b"z1", b"\xff\xfe")
    return ODD_IDS.get(kind, "odd"), value


@when("direct path list of targets gets a record with {kind}")
def odd_target(context, kind):
    system = context.direct
    context.log_lines = LogCounter("lentiltally.direct.entry_feeds")
    context.add_cleanup(context.log_lines.close)
    # Nothing listens at this address: a request that is sent there fails over.
    key, value = odd_record(f"{system.entry_address.ip}:9", kind)

    def put():
        # Twice, since engines repeat their records.
        system.store.put("keyed.servers", key, value)
        return system.store.put("keyed.servers", key, value)

    offset = system.call(put)
    agents = system.agents.values()
    feeds = [system.entry._targets, *(agent._reader.targets for agent in agents)]
    assert system.wait(lambda: all(feed.next_offset > offset for feed in feeds))


@then("direct path logged the record once")
def logged_once(context):
    lines = [r for r in context.log_lines.records if r.levelno >= logging.WARNING]
    # Once for each process that reads the list.
    assert len(lines) == 1 + len(context.direct.agents), [r.args for r in lines]


@then("direct path entry and agents still follow the list of targets")
def still_follow(context):
    system = context.direct
    system.add_target("p9", service="plain")
    agents = system.agents.values()
    directories = [system.entry._state.directory]
    directories += [agent._reader._directory for agent in agents]
    assert system.wait(lambda: all(d.is_usable("p9") for d in directories))
    assert system.wait(lambda: all(not d.is_usable("odd") for d in directories))


def number_text(text):
    """Return the JSON text that the words of a scenario stand for."""
    count, _, unit = text.partition(" ")
    if unit == "digits":
        return "9" * int(count)
    if unit == "nested arrays":
        return "[" * int(count) + "]" * int(count)
    return text


@when("direct path engines send some reports with {kind}")
def odd_reports(context, kind):
    system = context.direct
    engines = system.engines.values()
    name, _, text = kind.partition(" of ")
    fields = {name: number_text(text)}
    if name.startswith("adapter version"):
        version = "\u00b2" if "superscript" in kind else number_text(text)
        model = {"name": "m", "version": 1, "adapters": [f"a1@{version}"]}
        fields = {"models": json.dumps([model])}

    def set_fields(value):
        for engine in engines:
            engine.report_fields = dict(value)
        return [engine.reports for engine in engines]

    before = system.call(lambda: set_fields(fields))
    counts = list(zip(engines, before, strict=True))
    assert system.wait(lambda: all(e.reports >= n + 4 for e, n in counts))
    before = system.call(lambda: set_fields({}))
    counts = list(zip(engines, before, strict=True))
    assert system.wait(lambda: all(e.reports >= n + 2 for e, n in counts))


@when("direct path agents fail to publish a state")
def fail_to_publish(context):
    system = context.direct
    failed = []

    def fail_once(publisher):
        publish = publisher.publish

        def failing(*arguments):
            publisher.publish = publish
            failed.append(publisher)
            raise OverflowError("a number of the state is too large")

        publisher.publish = failing

    def fail_all():
        for agent in system.agents.values():
            fail_once(agent._publisher)

    system.call(fail_all)
    assert system.wait(lambda: len(failed) == len(system.agents))


def put_and_reread(context, key, value):
    """Append a record, and let the store delete it, so that it is read again."""
    system = context.direct
    context.log_lines = LogCounter("lentiltally.direct.entry_feeds")
    context.add_cleanup(context.log_lines.close)
    agents = system.agents.values()
    feeds = [system.entry._configuration]
    feeds += [agent._reader.configuration for agent in agents]
    offset = system.call(lambda: system.store.put("keyed.op", key, value))
    assert system.wait(lambda: all(feed.next_offset > offset for feed in feeds))

    def compact():
        system.store.put_json("keyed.op", "other", {})
        system.store.compact_topic("keyed.op")
        for feed in feeds:
            feed.request_read()

    system.call(compact)
    assert system.wait(lambda: all(feed.next_offset > offset + 1 for feed in feeds))
    context.last_offset = offset + 1


@when("direct path configuration gets a record with {kind} that is read twice")
def odd_configuration(context, kind):
    name, _, text = kind.partition(" of ")
    document = configuration(1000)
    places = [document, document["limits"]]
    places += [*document["routes"], document["services"][1]["engine"]]
    for place in places:
        if name in place or (name == "more" and place is document):
            place[name] = "@"
    value = json.dumps(document).replace('"@"', number_text(text)).encode()
    put_and_reread(context, "config", value)


@when(
    'direct path configuration gets a notice of version {text} for "a1" that is read '
    "twice"
)
def odd_notice(context, text):
    notice = json.dumps({"model": "m", "adapter": "a1", "version": "@"})
    value = notice.replace('"@"', number_text(text)).encode()
    put_and_reread(context, "version/m.a1", value)


@then("direct path entry and agents apply a later configuration")
def later_configuration(context):
    system = context.direct
    later = configuration(1001)
    system.call(lambda: system.store.put_json("keyed.op", "config", later))
    agents = system.agents.values()
    assert system.wait(
        lambda: (
            system.entry._state.table.state.version == 1001
            and all(agent._config_version == 1001 for agent in agents)
        )
    )
