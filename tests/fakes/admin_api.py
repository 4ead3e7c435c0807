"""An administration API on an in-memory log, called without a network."""

from __future__ import annotations

import hashlib
import io
from datetime import UTC, datetime, timedelta

from lentiltally.admin import AdminApplication, AuditLog, Scope, Token
from lentiltally.admin.tokens import Tokens
from lentiltally.clock import ManualClock
from lentiltally.config import ChangeHistory, ConfigFollower, Publisher
from tests.fakes.config_log import SteppedFollower

NOW = datetime(2026, 1, 1, tzinfo=UTC)
SECRETS = {name: f"secret-{name}" for name in ("ann", "bob", "carol", "expired")}
SCOPES = {
    "ann": [Scope("/", "write")],
    "bob": [Scope("/teams/b", "write")],
    "carol": [Scope("/", "read")],
    "expired": [Scope("/", "write")],
}


def make_tokens(now):
    return Tokens(
        [
            Token(
                name,
                hashlib.sha256(secret.encode()).hexdigest(),
                tuple(SCOPES[name]),
                now + timedelta(days=-1 if name == "expired" else 1),
            )
            for name, secret in SECRETS.items()
        ]
    )


class FixedStatus:
    def status(self):
        return {"offset": 7}


class Api:
    """The WSGI application with its log, configuration follower and audit log."""

    def __init__(self, log, clock, follower, timeout_s):
        self.log, self.follower = log, follower
        self.audit = AuditLog(log)
        self.application = AdminApplication(
            follower,
            Publisher(log, follower, clock, timeout_s),
            self.audit,
            make_tokens(clock.now()),
            status_source=FixedStatus(),
            clock=clock,
            history=ChangeHistory(log, follower),
        )

    def send(self, method, url, headers=(), body=b"", secret=None):
        path, _, query = url.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "SCRIPT_NAME": "",
            "PATH_INFO": path.encode().decode("latin-1"),
            "QUERY_STRING": query,
            "SERVER_NAME": "admin",
            "SERVER_PORT": "1",
            "SERVER_PROTOCOL": "HTTP/1.1",
            "REMOTE_ADDR": "192.0.2.1",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http",
            "wsgi.input": io.BytesIO(body),
            "wsgi.errors": io.StringIO(),
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
        }
        for name, value in headers:
            key = name.upper().replace("-", "_")
            environ[key if key == "CONTENT_TYPE" else f"HTTP_{key}"] = value
        if secret:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {secret}"
        started = []
        answer = self.application(environ, lambda *arguments: started.append(arguments))
        status, sent_headers = started[0]
        return int(status[:3]), dict(sent_headers), b"".join(answer)


def make_api(log, clock=None):
    clock = clock or ManualClock(NOW)
    config_follower = ConfigFollower(log, clock)
    config_follower.step(0)
    return Api(log, clock, SteppedFollower(config_follower), 1.0)
