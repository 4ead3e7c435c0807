"""Connection pools and errors of the agent's HTTP clients.

The errors tell whether the target may have acted on a failed call, because only a call
that had no effect can be retried on another target.
"""

from __future__ import annotations

import urllib3
from urllib3.util import SKIP_HEADER

from lentiltally.errors import LentiltallyError
from lentiltally.http_responses import CheckedConnection, CheckedTlsConnection

# The default headers of urllib3 are left out: they mean nothing to a target that runs
# beside the agent, and each one costs processor time at both ends.
BASE_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
JSON_HEADERS = {**BASE_HEADERS, "Content-Type": "application/json"}


class TargetError(LentiltallyError):
    """A call to a target failed.

    ``may_have_run`` is False only if the target can't have acted on the call. The entry
    gets ``reason`` and ``step`` in the refusal of the attempt.
    """

    reason = "target-failed"

    def __init__(
        self, message: str, *, step: str, peer: str, may_have_run: bool
    ) -> None:
        """Take the message, the step that failed and the target's name as ``peer``."""
        super().__init__(message, step=step, peer=peer)
        self.may_have_run = may_have_run


def new_pool(url: str, connections: int) -> urllib3.HTTPConnectionPool:
    """Return a connection pool for one target.

    A ``PoolManager`` would parse the URL again for each request, which costs about a
    tenth of the request's processor time.
    """
    pool = urllib3.connection_from_url(url, maxsize=connections, block=False)
    is_tls = isinstance(pool, urllib3.HTTPSConnectionPool)
    pool.ConnectionCls = CheckedTlsConnection if is_tls else CheckedConnection
    return pool


def target_error(error: Exception, step: str, peer: str) -> TargetError:
    """Return the TargetError for an error of urllib3 or a malformed answer.

    Only a connection that was never established proves that the call had no effect. A
    reused connection that breaks during sending proves nothing.
    """
    was_not_sent = isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    return TargetError(
        f"{type(error).__name__}: {error}",
        step=step,
        peer=peer,
        may_have_run=not was_not_sent,
    )
