"""Structured log lines on standard error, without secrets.

Modules log with ``logging.getLogger(__name__)`` and give fields through ``extra``. The
usual fields are ``team``, ``adapter``, ``version``, ``attempt``, ``target``,
``config_offset``, ``step`` and ``peer``; other names are written too.
"""

from __future__ import annotations

import json
import logging
import re
import sys
import threading
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from types import TracebackType
from typing import Any, Final, Literal, Protocol

from pythonjsonlogger.json import JsonFormatter

from lentiltally.settings import Secret

FIELDS: Final = (
    "team",
    "adapter",
    "version",
    "attempt",
    "target",
    "config_offset",
    "step",
    "peer",
)
HIDDEN: Final = "(hidden)"


class LineStream(Protocol):
    """Where lines go; a text file is one."""

    def write(self, text: str, /) -> int:
        """Take a line."""
        ...

    def flush(self) -> None:
        """Write out what was taken."""
        ...


_SENSITIVE_NAME = re.compile(
    r"authorization|idempotency.?key|minted.?key|secret|password|(^|_)(token|key)$",
    re.IGNORECASE,
)
# Headers and assignments inside free text, such as an error that quotes a request.
_SENSITIVE_TEXT = re.compile(
    r"(?P<name>(?:proxy-)?authorization|idempotency[-_ ]?key|minted[-_ ]key[-_ ]secret)"
    r"(?P<between>(?:\\*[\"'])?\s*[:=]\s*(?:b(?=[\"']))?)"
    r"(?P<value>(?:\\*[\"']).*?(?:\\*[\"'])|(?:(?:bearer|basic)\s+)?[^\s,;}\"'\\]+)",
    re.IGNORECASE,
)
_BEARER = re.compile(r"\b(bearer)\s+[^\s,;}\"'\\(]+", re.IGNORECASE)
_PLAIN_ATTRIBUTES = frozenset(vars(logging.LogRecord("", 0, "", 0, "", None, None))) | {
    "message",
    "asctime",
    "taskName",
}


def configure(
    level: str,
    line_format: Literal["json", "text"],
    process_name: str,
    *,
    secrets: Iterable[Secret] = (),
    stream: LineStream | None = None,
) -> None:
    """Send all log records to standard error in the given form.

    ``level`` is a name such as ``info``. The values of ``secrets`` are cut out of every
    line, whatever the code that logs does.
    """
    known = tuple(secret.reveal().decode("utf-8", "replace") for secret in secrets)
    formatter = _JsonLines if line_format == "json" else _TextLines
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter(process_name, _Redactor(known)))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    threading.excepthook = lambda args: _log_uncaught(
        args.exc_type, args.exc_value, args.exc_traceback
    )
    # A closed standard error must not end the thread that logs.
    logging.raiseExceptions = False


def _log_uncaught(
    kind: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    """Write an error that ended a thread as a log line, so that it is redacted too."""
    info = (kind, error or kind(), trace)
    logging.getLogger("lentiltally").critical("thread ended", exc_info=info)


class _Redactor:
    """Replaces secrets in fields and in free text."""

    def __init__(self, known: Iterable[str]) -> None:
        forms = {form for text in known for form in (text, json.dumps(text)[1:-1])}
        self._known = sorted(forms, key=len, reverse=True)

    def fields(self, values: Mapping[str, Any]) -> dict[str, Any]:
        """Return a copy in which values with a sensitive name are hidden."""
        return {
            str(name): HIDDEN if _is_sensitive(name) else self._value(value)
            for name, value in values.items()
        }

    def text(self, text: str) -> str:
        """Return the text without known secrets and without credentials in headers."""
        for secret in self._known:
            text = text.replace(secret, HIDDEN)
        text = _SENSITIVE_TEXT.sub(rf"\g<name>\g<between>{HIDDEN}", text)
        return _BEARER.sub(rf"\1 {HIDDEN}", text)

    def _value(self, value: Any) -> Any:
        if isinstance(value, Mapping):
            return self.fields(value)
        if isinstance(value, list | tuple):
            return [self._value(entry) for entry in value]
        if isinstance(value, bytes):
            value = value.decode("utf-8", "replace")
        if value is None or isinstance(value, bool | int | float):
            return value
        return self.text(str(value))


class _JsonLines(JsonFormatter):
    """One JSON object a line: time, level, process, logger, message, then fields."""

    def __init__(self, process_name: str, redactor: _Redactor) -> None:
        super().__init__(json_ensure_ascii=False)
        self._process_name = process_name
        self._redactor = redactor

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the object to write."""
        return self._redactor.fields(log_data)

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Put the fixed fields before those of the record."""
        log_data["time"] = _time_of(record)
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self._process_name
        log_data["logger"] = record.name
        log_data["message"] = record.getMessage()
        log_data.update(_extra(record))
        if message_dict.get("exc_info"):
            log_data["exception"] = message_dict["exc_info"]


class _TextLines(logging.Formatter):
    """Lines for people: time, level, process, message, then ``name=value`` fields."""

    def __init__(self, process_name: str, redactor: _Redactor) -> None:
        super().__init__()
        self._process_name = process_name
        self._redactor = redactor

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, and the traceback below it if there is one."""
        fields = self._redactor.fields(_extra(record))
        # A line break in a value would let it pose as a line of its own.
        shown = "".join(f" {name}={value!r}" for name, value in fields.items())
        message = record.getMessage().replace("\n", "\\n").replace("\r", "\\r")
        level = record.levelname.lower()
        line = f"{_time_of(record)} {level} {self._process_name} {message}{shown}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return self._redactor.text(line)


def _is_sensitive(name: object) -> bool:
    return _SENSITIVE_NAME.search(str(name)) is not None


def _time_of(record: logging.LogRecord) -> str:
    moment = datetime.fromtimestamp(record.created, UTC)
    return moment.isoformat(timespec="milliseconds")


def _extra(record: logging.LogRecord) -> dict[str, Any]:
    given = {
        name: value
        for name, value in vars(record).items()
        if name not in _PLAIN_ATTRIBUTES
    }
    first = {name: given.pop(name) for name in FIELDS if name in given}
    return first | given
