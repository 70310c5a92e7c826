"""Serves the quotas of customers on the control VM that leads the log."""

import asyncio

import msgspec

from papayalock.control.group import RaftGroup
from papayalock.core.endpoints import EndpointTable
from papayalock.core.ledger import Ledger
from papayalock.core.quota import QuotaOwner
from papayalock.messages import Customer, QuotaReq, QuotaRes
from papayalock.node.http import Call, Reply
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

MS_PER_S = 1000
PERCENT = 100
OBSERVE_S = 1.0  # how often the nodes that are known to run are recorded
OK = 200
BAD_REQUEST = 400
JSON = (b'content-type', b'application/json')
_QUOTA_REQ = msgspec.json.Decoder(QuotaReq)


class QuotaService:
    """Answers the requests of nodes for tokens, or names the leader."""

    def __init__(
        self,
        group: RaftGroup,
        ledger: Ledger,
        table: EndpointTable,
        clock: Clock,
        settings: Settings,
    ) -> None:
        """Binds the parts.

        :param group: the config group, whose leader owns the quotas
        """
        drift = 1 + settings.group.drift_percent / PERCENT
        self.owner = QuotaOwner(
            settings.quotas.contact_ms / MS_PER_S,
            settings.group.election_ms * drift / MS_PER_S,
        )
        self._group = group
        self._ledger = ledger
        self._table = table
        self._clock = clock
        self._port = settings.quotas.port
        self._label = 0  # of the version whose customers are held
        self._customers: dict[str, Customer] = {}

    async def run(self) -> None:
        """Records the nodes that run, until cancelled."""
        while True:
            addresses = {
                endpoint.address for endpoint in self._table.endpoints()
            }
            self.owner.observe(addresses, self._clock.monotonic())
            await asyncio.sleep(OBSERVE_S)

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one request of a node."""
        try:
            req = _QUOTA_REQ.decode(call.body)
        except msgspec.MsgspecError as exc:
            reply.send(BAD_REQUEST, [], str(exc).encode())
            return
        res = self.answer(req)
        reply.send(OK, [JSON], msgspec.json.encode(res))

    def answer(self, req: QuotaReq) -> QuotaRes:
        """Returns the tokens for a node, or the leader to ask instead."""
        now = self._clock.monotonic()
        replica = self._group.replica
        if not replica.leads_current_log or not replica.has_lease(now):
            return QuotaRes(code=Code.NO_LEADER, leader=self._leader_address())
        self.owner.lead(replica.term, now)
        return self.owner.handle(req, self._current_customers(), now)

    def _leader_address(self) -> str:
        replica = self._group.replica
        for member in replica.log.members:
            if member.member == replica.leader and not replica.is_leader:
                host = member.address.rpartition(':')[0]
                return f'{host}:{self._port}'
        return ''

    def _current_customers(self) -> dict[str, Customer]:
        route_sets = self._ledger.route_sets
        if route_sets.label != self._label:
            self._label = route_sets.label
            current = route_sets.current
            customers = current.customers if current else []
            self._customers = {
                customer.name: customer for customer in customers
            }
        return self._customers
