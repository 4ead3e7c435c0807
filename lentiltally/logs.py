"""Structured log lines on standard error, with secrets redacted.

Modules log with ``logging.getLogger(__name__)`` and pass fields in ``extra``. The usual
fields are ``team``, ``adapter``, ``version``, ``attempt``, ``target``,
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

LEADING_FIELDS: Final = (
    "team",
    "adapter",
    "version",
    "attempt",
    "target",
    "config_offset",
    "step",
    "peer",
)
REDACTED: Final = "(hidden)"


class LineStream(Protocol):
    """The stream that log lines are written to, such as a text file."""

    def write(self, text: str, /) -> int:
        """Write a line."""
        ...

    def flush(self) -> None:
        """Flush the written lines."""
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
_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None))
) | {
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
    """Write all log records to standard error, or to ``stream``, in the given format.

    ``level`` is a name such as ``info``. The values of ``secrets`` are removed from
    every line, whatever the code passes to the logger.
    """
    secret_texts = tuple(
        secret.reveal().decode("utf-8", "replace") for secret in secrets
    )
    formatter = _JsonLineFormatter if line_format == "json" else _TextLineFormatter
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter(process_name, _Redactor(secret_texts)))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    threading.excepthook = lambda args: _log_uncaught(
        args.exc_type, args.exc_value, args.exc_traceback
    )
    # If standard error is closed, logging must not end the thread that logs.
    logging.raiseExceptions = False


def _log_uncaught(
    kind: type[BaseException],
    error: BaseException | None,
    trace: TracebackType | None,
) -> None:
    """Log an error that ended a thread, so that secrets in it are redacted too."""
    info = (kind, error or kind(), trace)
    logging.getLogger("lentiltally").critical(
        "uncaught exception ended a thread", exc_info=info
    )


class _Redactor:
    """Replaces secrets in fields and in free text by ``REDACTED``."""

    def __init__(self, secrets: Iterable[str]) -> None:
        # Each secret as it is, and as JSON escapes it.
        forms = {form for text in secrets for form in (text, json.dumps(text)[1:-1])}
        # Longer texts come first, in case one secret contains another.
        self._secrets = sorted(forms, key=len, reverse=True)

    def redact_fields(self, values: Mapping[str, Any]) -> dict[str, Any]:
        """Return a copy in which the values of sensitive names are redacted."""
        return {
            str(name): REDACTED if _is_sensitive(name) else self._redact_value(value)
            for name, value in values.items()
        }

    def redact_text(self, text: str) -> str:
        """Return the text without the secrets and without credentials in headers."""
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        text = _SENSITIVE_TEXT.sub(rf"\g<name>\g<between>{REDACTED}", text)
        return _BEARER.sub(rf"\1 {REDACTED}", text)

    def _redact_value(self, value: Any) -> Any:
        if isinstance(value, Mapping):
            return self.redact_fields(value)
        if isinstance(value, list | tuple):
            return [self._redact_value(item) for item in value]
        if isinstance(value, bytes):
            value = value.decode("utf-8", "replace")
        if value is None or isinstance(value, bool | int | float):
            return value
        return self.redact_text(str(value))


class _JsonLineFormatter(JsonFormatter):
    """Formats one JSON object a line.

    Its keys are time, level, process, logger and message, and then the fields.
    """

    def __init__(self, process_name: str, redactor: _Redactor) -> None:
        super().__init__(json_ensure_ascii=False)
        self._process_name = process_name
        self._redactor = redactor

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the object to write, redacted."""
        return self._redactor.redact_fields(log_data)

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Put the fixed fields before the fields of the record."""
        log_data["time"] = _timestamp(record)
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self._process_name
        log_data["logger"] = record.name
        log_data["message"] = record.getMessage()
        log_data.update(_extra(record))
        if message_dict.get("exc_info"):
            log_data["exception"] = message_dict["exc_info"]


class _TextLineFormatter(logging.Formatter):
    """Formats plain text: time, level, process, message, then ``name=value`` fields."""

    def __init__(self, process_name: str, redactor: _Redactor) -> None:
        super().__init__()
        self._process_name = process_name
        self._redactor = redactor

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, and the traceback below it if there is one."""
        fields = self._redactor.redact_fields(_extra(record))
        # A line break in a value or message could be taken for a separate log line.
        field_text = "".join(f" {name}={value!r}" for name, value in fields.items())
        message = record.getMessage().replace("\n", "\\n").replace("\r", "\\r")
        level = record.levelname.lower()
        line = (
            f"{_timestamp(record)} {level} {self._process_name} {message}{field_text}"
        )
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return self._redactor.redact_text(line)


def _is_sensitive(name: object) -> bool:
    return _SENSITIVE_NAME.search(str(name)) is not None


def _timestamp(record: logging.LogRecord) -> str:
    created = datetime.fromtimestamp(record.created, UTC)
    return created.isoformat(timespec="milliseconds")


def _extra(record: logging.LogRecord) -> dict[str, Any]:
    fields = {
        name: value
        for name, value in vars(record).items()
        if name not in _STANDARD_ATTRIBUTES
    }
    leading = {name: fields.pop(name) for name in LEADING_FIELDS if name in fields}
    return leading | fields
