"""The table of settings keys, used to check files and to generate the docs page."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final, Literal

from lentiltally.settings import _kinds as kinds
from lentiltally.settings._kinds import Kind

Role = Literal["entry", "agent"]
BOTH_ROLES: Final[tuple[Role, ...]] = ("entry", "agent")

# A claim must outlive its idempotency key by this margin for clock differences.
RETENTION_MARGIN_S = 600


class _Required:
    """The type of REQUIRED, the default of keys that a file must set."""


REQUIRED: Final = _Required()


@dataclass(frozen=True, slots=True)
class Key:
    """One key of the settings file.

    ``path`` is dotted, with ``[]`` after the name of an array of tables. ``effect`` is
    the description in the docs. ``lower`` and ``upper`` are inclusive bounds of a
    number, or of the length of a list. ``default`` is a value as in a file, or REQUIRED
    if the file must set the key, or None if the key is optional and has no default.
    """

    path: str
    kind: Kind
    effect: str
    default: object = REQUIRED
    unit: str = ""
    lower: float | None = None
    upper: float | None = None
    roles: tuple[Role, ...] = BOTH_ROLES


_COMMON = (
    Key(
        "process.role", kinds.one_of("entry", "agent"), "which daemon this file is for"
    ),
    Key("process.name", kinds.NAME, "name of the process in logs, metrics and status"),
    Key("process.region", kinds.NAME, "region of the host"),
    Key("process.failure_domain", kinds.NAME, "failure domain of the host"),
    Key(
        "process.drain_s",
        kinds.SECONDS,
        "longest time that running requests get to end after SIGTERM",
        120.0,
        "s",
        0,
        3600,
    ),
    Key(
        "channel.listen",
        kinds.CHANNEL_ADDRESS,
        "address at which other lentiltally processes reach this one",
        "tcp://127.0.0.1:7001",
    ),
    Key(
        "channel.peers",
        kinds.list_of(kinds.CHANNEL_ADDRESS),
        "processes asked for the configuration while the log is down",
        [],
        upper=64,
    ),
    Key("log.url", kinds.HTTP_URL, "the platform's log service"),
    Key(
        "log.timeout_s", kinds.SECONDS, "longest wait for an answer", 2.0, "s", 0.1, 60
    ),
    Key(
        "log.retention_s",
        kinds.SECONDS,
        "how long the log service keeps records; must match the service",
        86_400.0,
        "s",
        1200,
        31_536_000,
    ),
    Key(
        "metrics.host",
        kinds.IP_NUMBER,
        "statsd receiver (UDP); without it no metrics are sent",
        None,
    ),
    Key("metrics.port", kinds.INTEGER, "port of the receiver", 8125, "", 1, 65_535),
    Key(
        "metrics.prefix",
        kinds.METRIC_PREFIX,
        "words put before every metric name",
        "lentiltally",
    ),
    Key(
        "logging.level",
        kinds.one_of("debug", "info", "warning", "error"),
        "lowest level that is written",
        "info",
    ),
    Key("logging.format", kinds.one_of("json", "text"), "form of log lines", "json"),
)

_ENTRY = (
    Key(
        "callers.listen",
        kinds.IP_AND_PORT,
        "address for callers",
        "127.0.0.1:8080",
    ),
    Key("callers.threads", kinds.INTEGER, "request threads", 64, "", 1, 1024),
    Key(
        "callers.max_body_bytes",
        kinds.INTEGER,
        "largest request body",
        1_048_576,
        "bytes",
        1024,
        67_108_864,
    ),
    Key(
        "callers.max_header_bytes",
        kinds.INTEGER,
        "largest request head",
        32_768,
        "bytes",
        1024,
        1_048_576,
    ),
    Key(
        "callers.read_timeout_s",
        kinds.SECONDS,
        "longest silence of a caller while its request is read",
        10.0,
        "s",
        0.1,
        300,
    ),
    Key(
        "callers.max_key_bytes",
        kinds.INTEGER,
        "longest Idempotency-Key",
        128,
        "bytes",
        16,
        1024,
    ),
    Key(
        "callers.default_deadline_s",
        kinds.SECONDS,
        "deadline of requests whose team sets none",
        60.0,
        "s",
        0.1,
        3600,
    ),
    Key(
        "callers.tls_certificate",
        kinds.FILE_PATH,
        "certificate chain (PEM); set together with the key",
        None,
    ),
    Key("callers.tls_key", kinds.FILE_PATH, "private key (PEM)", None),
    Key(
        "admin.listen",
        kinds.IP_AND_PORT,
        "address of the administration API",
        "127.0.0.1:8081",
    ),
    Key("admin.threads", kinds.INTEGER, "request threads", 4, "", 1, 64),
    Key(
        "admin.tls_certificate",
        kinds.FILE_PATH,
        "certificate chain (PEM); set together with the key",
        None,
    ),
    Key("admin.tls_key", kinds.FILE_PATH, "private key (PEM)", None),
    Key("admin.tokens[].name", kinds.NAME, "author in the audit and in changes"),
    Key(
        "admin.tokens[].sha256",
        kinds.SHA256,
        "SHA-256 of the token; the token itself is in no file",
    ),
    Key(
        "admin.tokens[].scopes",
        kinds.list_of(kinds.PATH_PREFIX),
        "configuration paths that the token may read and change",
        lower=1,
        upper=64,
    ),
    Key(
        "admin.tokens[].expires",
        kinds.DATE_TIME,
        "time from which the token is refused",
        None,
    ),
    Key(
        "agents.addresses",
        kinds.list_of(kinds.CHANNEL_ADDRESS),
        "agents that get a hello at start, before the host list is read",
        [],
        upper=1024,
    ),
    Key("host_list.url", kinds.HTTP_URL, "the platform's host list"),
    # Guarantee G6 allows 5 s from a notice in the host list that a host is draining,
    # and one read of the list may fail.
    Key(
        "host_list.poll_s",
        kinds.SECONDS,
        "time between two reads of the host list",
        2.0,
        "s",
        0.1,
        2.5,
    ),
    Key(
        "idempotency.key_lifetime_s",
        kinds.SECONDS,
        "how long a key keeps its meaning; at most log.retention_s "
        f"minus {RETENTION_MARGIN_S}",
        3600.0,
        "s",
        60,
        31_536_000,
    ),
    Key(
        "idempotency.minted_key_secret",
        kinds.SECRET,
        "signs minted keys; the same in all entries; without it none are minted",
        None,
    ),
)

_AGENT = (
    Key(
        "limits.kept_answers_bytes",
        kinds.INTEGER,
        "finished answers of non-idempotent work kept for resends, in total",
        67_108_864,
        "bytes",
        1_048_576,
        1_073_741_824,
    ),
    Key(
        "health.listen",
        kinds.IP_AND_PORT,
        "address for health checks",
        "127.0.0.1:8082",
    ),
    Key("targets[].name", kinds.NAME, "name of the target in the configuration"),
    Key("targets[].kind", kinds.one_of("engine", "service"), "what the target is"),
    Key("targets[].url", kinds.HTTP_URL, "where the target listens"),
    Key(
        "targets[].base_model",
        kinds.TEXT,
        "base model of an engine; required for engines",
        None,
    ),
    Key(
        "targets[].adapter_slots",
        kinds.INTEGER,
        "adapters an engine holds; required for engines",
        None,
        "",
        1,
        4096,
    ),
    Key(
        "targets[].batch_places",
        kinds.INTEGER,
        "requests an engine runs together; required for engines",
        None,
        "",
        1,
        4096,
    ),
    Key(
        "targets[].enforces_fencing",
        kinds.BOOLEAN,
        "whether the engine refuses outdated fencing tokens",
        False,
    ),
    Key(
        "targets[].max_queue",
        kinds.INTEGER,
        "requests waiting for the target; more are returned as not run",
        256,
        "",
        1,
        65_536,
    ),
    Key(
        "targets[].first_byte_timeout_s",
        kinds.SECONDS,
        "longest wait for the first byte of an answer",
        30.0,
        "s",
        0.1,
        3600,
    ),
    Key(
        "targets[].silence_timeout_s",
        kinds.SECONDS,
        "pause within a stream after which another connection resumes it",
        5.0,
        "s",
        0.1,
        300,
    ),
)


def _with_roles(roles: tuple[Role, ...], keys: tuple[Key, ...]) -> tuple[Key, ...]:
    return tuple(replace(key, roles=roles) for key in keys)


KEYS: Final = (
    _COMMON + _with_roles(("entry",), _ENTRY) + _with_roles(("agent",), _AGENT)
)


def keys_of(role: Role) -> tuple[Key, ...]:
    """Return the keys that a file of the role may have."""
    return tuple(key for key in KEYS if role in key.roles)
