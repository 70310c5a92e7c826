"""Decides whether a call may be run, before a server is chosen."""

from papayalock.core.contact import ContactTrust
from papayalock.core.customers import KeyCheck, key_digest
from papayalock.dialect import CallDialect
from papayalock.node.accesslog import RoutedCall
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import Call
from papayalock.node.outcome import NoResponse
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

# Retry-after delay of a node that has yet to hear the newest routes or keys.
OUT_OF_TOUCH_RETRY_AFTER_MS = 800


class CallChecks:
    """Checks routes and API keys by what this node holds, and its age."""

    def __init__(
        self,
        settings: Settings,
        agent: HostAgent,
        dialect: CallDialect,
        clock: Clock,
    ) -> None:
        """Starts without contact to a control VM."""
        self._agent = agent
        self._dialect = dialect
        self._clock = clock
        self._digest_key = settings.hosts.digest_key.encode()
        self._contact = ContactTrust(settings.distribution.reach_ms)
        self.key_check = KeyCheck(
            fail_closed=settings.customers.fail_closed,
            revoke_ms=settings.customers.revoke_ms,
        )

    def record_contact(self, now: float) -> None:
        """Records the answer of a control VM under lease."""
        self._contact.record_contact(now)
        self.key_check.record_contact(now)

    def refuse_unconfigured(self) -> NoResponse | None:
        """Returns the refusal of a node that holds no version yet."""
        if self._agent.configuration.version:
            return None
        return NoResponse(
            Code.NOT_CONFIGURED, 'no routes yet', OUT_OF_TOUCH_RETRY_AFTER_MS
        )

    def refuse_unrouted(self, place: str) -> NoResponse:
        """Returns the refusal of a call that no known route matches.

        A newer version than the one held may have a route for it, and a caller
        that is told otherwise does not come back.

        :param place: host and path of the call
        """
        if self._contact.is_current(self._clock.monotonic()):
            return NoResponse(Code.NO_ROUTE, f'no route for {place}')
        return NoResponse(
            Code.ROUTES_OUTDATED,
            f'no route for {place}, and out of touch',
            OUT_OF_TOUCH_RETRY_AFTER_MS,
        )

    def identify_customer(self, routed: RoutedCall) -> NoResponse | None:
        """Finds the customer of a call by its API key, and drops the key.

        The key does not leave this node.

        :returns: why the call is refused, if it is
        """
        customers = self._agent.host_table.customers
        if not customers.customers:
            return None
        routed.call = self._without_api_key(routed.call)
        routed.key = key_digest(routed.metadata.api_key, self._digest_key)
        routed.customer = customers.find(routed.key)
        return None if routed.route.public else self._check_key(routed)

    def _check_key(self, routed: RoutedCall) -> NoResponse | None:
        if self.key_check.is_outdated(routed.arrived_at):
            return NoResponse(
                Code.KEYS_OUTDATED, 'out of touch', OUT_OF_TOUCH_RETRY_AFTER_MS
            )
        if routed.customer is None:
            return NoResponse(Code.UNKNOWN_API_KEY, 'unknown API key')
        return None

    def _without_api_key(self, call: Call) -> Call:
        headers = self._dialect.without_api_key(call.headers)
        return Call(call.method, call.target, headers, call.body)
