"""What the agent's HTTP clients share: the pool, and errors by what they prove."""

from __future__ import annotations

import urllib3
from urllib3.util import SKIP_HEADER

from lentiltally.errors import LentiltallyError

# Headers that say nothing to a target beside the agent are left out, because each one
# costs processor time at both ends.
PLAIN_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
JSON_HEADERS = {**PLAIN_HEADERS, "Content-Type": "application/json"}


class TargetError(LentiltallyError):
    """A call to a target failed; ``may_have_run`` says what it proves.

    ``may_have_run`` is False only if the target can't have acted on the call.
    ``reason`` is the short name under which entries hear of the failure.
    """

    reason = "target-failed"

    def __init__(
        self, message: str, *, step: str, peer: str, may_have_run: bool
    ) -> None:
        """Keep the message, the place and whether the target may have acted."""
        super().__init__(message, step=step, peer=peer)
        self.may_have_run = may_have_run


def new_pool(url: str, connections: int) -> urllib3.HTTPConnectionPool:
    """Return a pool for one target.

    A pool manager would parse the whole URL again for each request, which costs about
    a tenth of the request's processor time.
    """
    return urllib3.connection_from_url(url, maxsize=connections, block=False)


def target_error(error: Exception, step: str, peer: str) -> TargetError:
    """Return the error that says whether the call can have had an effect.

    Only a connection that was never established proves that it had none. A reused
    connection that breaks while sending proves nothing.
    """
    not_sent = isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    return TargetError(
        f"{type(error).__name__}: {error}",
        step=step,
        peer=peer,
        may_have_run=not not_sent,
    )
