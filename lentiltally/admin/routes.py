"""The routes of the administration API."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from lentiltally.admin import operations, reads, writes
from lentiltally.admin.context import Call
from lentiltally.admin.messages import ProblemError, Response

_CONFIG = "/config"


@dataclass(frozen=True, slots=True)
class Route:
    """A method and a path with its handler.

    If ``has_path`` is true, a configuration path follows ``path`` in the URL, and the
    handler gets it as its second argument.
    """

    method: str
    path: str
    handler: Callable[..., Response]
    has_path: bool = False

    @property
    def operation_id(self) -> str:
        """Return the name of the operation in the OpenAPI document."""
        return self.handler.__name__


ROUTES = (
    Route("GET", _CONFIG, reads.get_value, has_path=True),
    Route("PUT", _CONFIG, writes.put_value, has_path=True),
    Route("DELETE", _CONFIG, writes.delete_value, has_path=True),
    Route("POST", "/config:batch", writes.post_batch),
    Route("POST", "/config:rollback", writes.post_rollback),
    Route("GET", "/claims", operations.get_claim),
    Route("POST", "/claims:settle", operations.post_settle),
    Route("GET", "/quarantine", operations.get_quarantine),
    Route("POST", "/quarantine:lift", operations.post_lift),
    Route("GET", "/audit", reads.get_audit),
    Route("GET", "/status", reads.get_status),
)


def dispatch(call: Call) -> Response:
    """Call the handler of a request.

    Raises ProblemError with status 404 for an unknown path and 405 for a method that
    the path does not have.
    """
    path = call.request.path
    matching = [route for route in ROUTES if _matches(route, path)]
    if not matching:
        raise ProblemError(HTTPStatus.NOT_FOUND, f"no resource at {path[:200]}")
    method = "GET" if call.request.method == "HEAD" else call.request.method
    for route in matching:
        if route.method == method and route.has_path:
            return route.handler(call, path[len(route.path) :] or "/")
        if route.method == method:
            return route.handler(call)
    allowed = ", ".join(sorted(route.method for route in matching))
    raise ProblemError(
        HTTPStatus.METHOD_NOT_ALLOWED,
        f"{path[:200]} allows {allowed}",
        headers={"Allow": allowed},
    )


def _matches(route: Route, path: str) -> bool:
    if route.has_path:
        return path == route.path or path.startswith(f"{route.path}/")
    return path == route.path
