"""What the client account of one request's caller allows."""

from __future__ import annotations

from lentiltally.clock import elapsed_s
from lentiltally.decisions.route_table import RouteTable
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.model import ClientAccount, Route
from lentiltally.direct.request import CallerRequest
from lentiltally.direct.request_allotment import RequestAllotment
from lentiltally.problems import Refusal

__all__ = ["CallerAccess", "unconfirmed_refusal"]

# RFC 9110, section 11.6.1: a 401 names the scheme by which callers identify themselves.
CHALLENGE = (("WWW-Authenticate", "Bearer"),)


class CallerAccess:
    """Whether a request may run for its caller, and with which rank.

    The account is the one that holds the key of the request in the newest
    configuration. A request never changes from one account to another.
    """

    def __init__(
        self, context: ForwardingContext, request: CallerRequest, route: Route
    ) -> None:
        """Find the account of a request of a route."""
        self._context = context
        self._request = request
        self._route = route
        self._allotment = RequestAllotment(context, request)
        self._first_account: ClientAccount | None = None
        self._account: ClientAccount | None = None
        self._has_accounts = False
        self._needs_key = False
        # The route of the request in the newest configuration.
        self._newest_route = route
        self._table: RouteTable | None = None
        self._follow_configuration()

    @property
    def account(self) -> ClientAccount | None:
        """Return the account of the request's key, None without a known key."""
        return self._account

    @property
    def account_name(self) -> str:
        """Return the name of the first account of the request, empty if it had none.

        It is for metrics and log lines, also after the account lost the key.
        """
        return "" if self._first_account is None else self._first_account.name

    @property
    def has_accounts(self) -> bool:
        """Return whether there were accounts since the request arrived."""
        return self._has_accounts

    @property
    def needs_key(self) -> bool:
        """Return whether the request may only run with the key of an account."""
        return self._needs_key

    @property
    def rank(self) -> int:
        """Return the rank of the request at agents; 0 is the most urgent."""
        assert self._table is not None
        return self._table.priorities.agent_rank(self._account_rank, self._route.rank)

    @property
    def priority(self) -> int:
        """Return the priority of the request at engines; 0 is the most urgent."""
        assert self._table is not None
        return self._table.priorities.engine_priority(
            self._account_rank, self._route.rank
        )

    def begin(self) -> None:
        """Check the request on its arrival; raises Refusal."""
        if self._account is not None:
            self._context.metrics.account_requested(self._account.name)
        refusal = self.refusal()
        if refusal is not None:
            raise refusal

    def refusal(self) -> Refusal | None:
        """Return why the request may not be sent to a target now, None if it may.

        It goes by the newest configuration, so it is called before each attempt.
        """
        self._follow_configuration()
        if not self._needs_key:
            return None
        # An outdated configuration says nothing of keys, so this goes first.
        return (
            unconfirmed_refusal(self._context, self._newest_route)
            or self._key_refusal()
        )

    async def acquire_allotment(self) -> None:
        """Take the request's cost from its account's allotment; raises Refusal."""
        await self._allotment.acquire(self._account)

    async def renew_allotment(self) -> bool:
        """Replace a grant that is too old to be used; raises Refusal.

        Returns whether it was replaced, which takes some time.
        """
        return await self._allotment.renew()

    def ended(self, *, may_have_run: bool) -> None:
        """Give the cost back unless the request may have run."""
        self._allotment.ended(may_have_run=may_have_run)

    @property
    def _account_rank(self) -> int | None:
        return None if self._account is None else self._account.rank

    def _key_refusal(self) -> Refusal | None:
        """Return the refusal of a request without the key of its account."""
        if self._account is not None:
            return None
        if self._request.key is None:
            detail = "the request has no valid key"
        elif self._first_account is None:
            if self._may_lack_new_keys:
                return _unconfirmed(self._context)
            detail = "the key is unknown"
        else:
            detail = "the key was removed from its account"
        return Refusal(401, "unauthorized", detail, step="authorize", headers=CHALLENGE)

    @property
    def _may_lack_new_keys(self) -> bool:
        """Return whether a key may have been added that this entry should know."""
        state = self._context.state
        age_s = state.configuration_proof.age_s(elapsed_s(self._context.clock))
        return state.bounds.revocation_s is not None and (
            age_s > state.bounds.configuration_s
        )

    def _follow_configuration(self) -> None:
        """Look up the route and the account again if the configuration is a new one."""
        table = self._context.state.table
        if table is None or table is self._table:
            return
        self._table = table
        # A request whose route was removed meanwhile still goes by it.
        request = self._request
        route = table.match(request.host, request.route_path) or self._route
        self._newest_route = route
        accounts = table.state.accounts
        self._has_accounts |= accounts is not None
        self._needs_key = accounts is not None and not route.is_public
        account = None
        if accounts is not None and request.key is not None:
            account = accounts.find(request.key)
        self._set_account(account)

    def _set_account(self, account: ClientAccount | None) -> None:
        first = self._first_account
        if account is not None and first is not None and account.name != first.name:
            account = None
        self._account = account
        self._first_account = first or account


def unconfirmed_refusal(context: ForwardingContext, route: Route) -> Refusal | None:
    """Return a refusal if a key is needed and may have been revoked unnoticed."""
    state = context.state
    if route.is_public or not state.has_accounts:
        return None
    # The clock is read after the request has arrived. An earlier reading would let the
    # request pass on a proof that had lapsed by then.
    if state.configuration_proof.is_valid(elapsed_s(context.clock)):
        return None
    return _unconfirmed(context)


def _unconfirmed(context: ForwardingContext) -> Refusal:
    return Refusal(
        503,
        "configuration-unconfirmed",
        "the entry can't confirm that its configuration is the newest",
        step="authorize",
        retry_after_s=context.retry_after_s(),
    )
