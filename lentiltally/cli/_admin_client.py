"""The client of the administration API for the operators' commands."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated, Any, Final
from urllib.parse import quote, urlencode

import cappa
import urllib3

from lentiltally.cli._codes import DONE, ERROR, USAGE
from lentiltally.errors import LentiltallyError

CONFLICT: Final = 3
NOT_AUTHORISED: Final = 4
NOT_FOUND: Final = 5
UNKNOWN_OUTCOME: Final = 6

EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 error, 2 wrong usage or invalid value, 3 conflict,"
    " 4 not authorised, 5 not found, 6 unknown whether the change takes effect."
)
ADMIN_VARIABLE = "LENTILTALLY_ADMIN"
TOKEN_VARIABLE = "LENTILTALLY_TOKEN"
DEFAULT_URL = "http://127.0.0.1:8081"
# Longer than the API waits for the decision on a change: 10 s by default, at most 30 s.
TIMEOUT_S = 35.0
CONNECT_TIMEOUT_S = 5.0

_EXIT_CODES_BY_STATUS = {
    400: USAGE,
    401: NOT_AUTHORISED,
    403: NOT_AUTHORISED,
    404: NOT_FOUND,
    412: CONFLICT,
    422: USAGE,
}

AdminUrl = Annotated[
    str,
    cappa.Arg(
        long="--admin",
        default=cappa.Env(ADMIN_VARIABLE, default=DEFAULT_URL),
        help=f"URL of the administration API (default: ${ADMIN_VARIABLE})",
    ),
]
JsonOutput = Annotated[bool, cappa.Arg(long="--json", help="Print JSON")]


class CommandError(LentiltallyError):
    """An error that ends a command with an exit code.

    ``document`` is the problem document of the API, or empty if there is none.
    """

    def __init__(
        self, message: str, code: int, document: dict[str, Any] | None = None
    ) -> None:
        """Store the message, the exit code and the problem document."""
        super().__init__(message, step="command")
        self.code = code
        self.document = document or {}


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """The body of an answer, and its ETag header if it has one."""

    body: bytes
    etag: str | None

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object; raises CommandError."""
        try:
            document = json.loads(self.body)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            raise CommandError(
                "the answer is not a document of the administration API", ERROR
            )
        return document


class AdminClient:
    """Calls the administration API with a bearer token.

    The commands take the token from the environment only, because a token on the
    command line would be visible to other users of the host.
    """

    def __init__(self, base_url: str, token: str) -> None:
        """Prepare a connection pool without connecting."""
        self._base_url = base_url.rstrip("/")
        self._token = token
        self._pool = urllib3.PoolManager(retries=False)

    @classmethod
    def from_environment(cls, base_url: str) -> AdminClient:
        """Take the token from LENTILTALLY_TOKEN; raises CommandError if unset."""
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise CommandError(f"set {TOKEN_VARIABLE} to an operator token", USAGE)
        return cls(base_url, token)

    def get(self, path: str, /, **query: str) -> AdminAnswer:
        """Send a GET request; raises CommandError unless the answer is 200."""
        return self._send("GET", path, query, {}, None)

    def put(self, path: str, body: bytes, headers: dict[str, str]) -> AdminAnswer:
        """Send a PUT request; raises CommandError unless the answer is 200."""
        return self._send("PUT", path, {}, headers, body)

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes | None,
    ) -> AdminAnswer:
        url = f"{self._base_url}{quote(path, safe='/:')}"
        if query:
            url += f"?{urlencode(query)}"
        try:
            answer = self._pool.request(
                method,
                url,
                body=body,
                headers={"Authorization": f"Bearer {self._token}", **headers},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=TIMEOUT_S),
                redirect=False,
            )
        except urllib3.exceptions.LocationValueError as error:
            raise CommandError(f"not a URL: {self._base_url}", USAGE) from error
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise CommandError(f"no connection to {self._base_url}", ERROR) from error
        except urllib3.exceptions.HTTPError as error:
            code = UNKNOWN_OUTCOME if method != "GET" else ERROR
            message = f"no answer from {self._base_url}"
            raise CommandError(message, code) from error
        if answer.status != 200:
            raise _command_error(answer.status, answer.data)
        return AdminAnswer(answer.data, answer.headers.get("ETag"))


def run_reporting_errors(command: Any, *, as_json: bool) -> int:
    """Run a command; if it fails, print the error. Return the exit code."""
    try:
        command()
    except CommandError as error:
        if as_json and error.document:
            print(json.dumps(error.document))
        print(f"lentiltally: {error.message}", file=sys.stderr)
        return error.code
    return DONE


def _command_error(status: int, body: bytes) -> CommandError:
    try:
        document = json.loads(body)
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    message = str(document.get("detail", f"the administration API answered {status}"))
    for problem in document.get("problems", ()):
        message += f"\n  {problem['path']} {problem['field']}: {problem['reason']}"
    code = _EXIT_CODES_BY_STATUS.get(status, ERROR)
    if document.get("executed") == "unknown":
        code = UNKNOWN_OUTCOME
    return CommandError(message, code, document)


def print_document(
    document: dict[str, Any],
    lines: Callable[[dict[str, Any]], Iterable[str]],
    *,
    as_json: bool,
) -> None:
    """Print a document as JSON, or as the text lines that ``lines`` makes of it."""
    if as_json:
        print(json.dumps(document))
        return
    for line in lines(document):
        print(line)
