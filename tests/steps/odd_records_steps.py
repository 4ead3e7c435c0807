"""Steps for odd records of another writer in the platform's store."""

from __future__ import annotations

import json
import logging

from behave import then, when

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
