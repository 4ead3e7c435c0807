"""Route table: finds the route of a request, and the service that handles it."""

from __future__ import annotations

import xxhash

from lentiltally.decisions.priority_classes import PriorityClasses
from lentiltally.direct.model import DesiredState, Route

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one version of the desired state, by host and path prefix."""

    def __init__(self, state: DesiredState) -> None:
        """Index the routes of the desired state by host."""
        self.state = state
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in state.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        account_ranks = state.accounts.ranks if state.accounts is not None else ()
        route_ranks = [route.rank for route in state.routes]
        self.priorities = PriorityClasses(account_ranks, route_ranks)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        # Every path prefix ends with a slash, so only these positions can match.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end) if end > 0 else -1
        return None

    @staticmethod
    def service(route: Route, request_id: str) -> str:
        """Return the service that handles a request, by the weights of the route.

        The choice depends only on the request id, so each entry makes the same one.
        """
        services = route.services
        total = sum(service.weight for service in services)
        if len(services) == 1 or total <= 0:
            return services[0].name
        point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
        for service in services:
            point -= service.weight
            if point < 0:
                return service.name
        return services[-1].name
