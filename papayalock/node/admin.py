"""The admin API of a node: announcements, attempts, status and metrics."""

from urllib.parse import parse_qsl

import msgspec

from papayalock.core.attempts import AttemptLog
from papayalock.core.gate import Gate
from papayalock.core.routing import Balancer
from papayalock.messages import Announcement, AttemptFate
from papayalock.node.agent import Agent
from papayalock.node.counters import Counters
from papayalock.node.http import Call, Reply
from papayalock.ports import Clock
from papayalock.result import Code

OK = 200
ADMIN_PREFIX = '/papayalock/'
JSON = [(b'content-type', b'application/json')]
TEXT = [(b'content-type', b'text/plain; version=0.0.4')]


class DrainRequest(msgspec.Struct):
    """An operator's request to start or end a drain."""

    draining: bool


class ServerView(msgspec.Struct):
    """One backend server as this node sees it."""

    server: str
    zone: str
    state: str
    in_flight: int
    load: float
    failures: int
    ejected: bool


class NodeView(msgspec.Struct):
    """The configuration and load of this node."""

    version: int
    digest: str
    service: str
    services: list[str]
    draining: bool
    running: int
    waiting: int


class Explanation(msgspec.Struct):
    """How a node routes a call, or why it does not."""

    code: int
    version: int
    service: str
    operation: str
    repeatable: bool
    priority: str
    deadline_ms: int
    own_first: bool
    servers: list[ServerView]
    reason: str = ''


class Admin:
    """Handles the paths under ``/papayalock/``."""

    def __init__(
        self,
        agent: Agent,
        balancer: Balancer,
        gate: Gate,
        attempts: AttemptLog,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Binds the parts."""
        self._agent = agent
        self._balancer = balancer
        self._gate = gate
        self._attempts = attempts
        self._counters = counters
        self._clock = clock
        self._handlers = {
            'announce': self._announce,
            'attempt': self._attempt,
            'drain': self._drain,
            'explain': self._explain,
            'status': self._status,
            'metrics': self._metrics,
        }

    async def handle(self, call: Call, reply: Reply, path: str) -> None:
        """Passes a call to the handler of its path."""
        handler = self._handlers.get(path.removeprefix(ADMIN_PREFIX))
        if handler is None:
            reply.refuse(Code.NO_ROUTE, f'no {path}')
        else:
            handler(call, reply)

    def _announce(self, call: Call, reply: Reply) -> None:
        try:
            announcement = msgspec.json.decode(call.body, type=Announcement)
        except msgspec.MsgspecError as exc:
            reply.refuse(Code.BAD_REQUEST, str(exc))
            return
        self._agent.handle_announcement(announcement)
        reply.send(OK, JSON, b'{}')

    def _drain(self, call: Call, reply: Reply) -> None:
        try:
            request = msgspec.json.decode(call.body, type=DrainRequest)
        except msgspec.MsgspecError as exc:
            reply.refuse(Code.BAD_REQUEST, str(exc))
            return
        self._agent.set_draining(draining=request.draining)
        reply.send(OK, JSON, b'{}')

    def _attempt(self, call: Call, reply: Reply) -> None:
        query = _query(call)
        age = query.get('age_ms', '')
        incarnation = query.get('incarnation', '')
        if not age.isdigit() or not incarnation.isdigit():
            reply.refuse(Code.BAD_REQUEST, 'age_ms and incarnation are numbers')
            return
        result = self._attempts.resolve(
            query.get('attempt', ''),
            int(incarnation),
            int(age),
            self._clock.monotonic(),
        )
        fate = AttemptFate(code=result.code, answer=result.answer)
        reply.send(OK, JSON, msgspec.json.encode(fate))

    def _status(self, call: Call, reply: Reply) -> None:
        configuration = self._agent.configuration
        view = NodeView(
            version=configuration.version,
            digest=configuration.digest,
            service=self._agent.service,
            services=sorted(configuration.parts),
            draining=self._gate.draining,
            running=len(self._gate.running),
            waiting=self._gate.waiting,
        )
        reply.send(OK, JSON, msgspec.json.encode(view))

    def _metrics(self, call: Call, reply: Reply) -> None:
        gauges = {
            'version': self._agent.configuration.version,
            'gate_running': len(self._gate.running),
            'gate_waiting': self._gate.waiting,
            'servers': len(self._balancer.servers),
            'control_errors': self._agent.errors,
        }
        reply.send(OK, TEXT, self._counters.render(gauges))

    def _explain(self, call: Call, reply: Reply) -> None:
        query = _query(call)
        service = query.get('service', '')
        explanation = self._build_explanation(
            service,
            query.get('method', 'GET'),
            query.get('path', '/'),
            query.get('caller', 'external'),
        )
        reply.send(OK, JSON, msgspec.json.encode(explanation))

    def _build_explanation(
        self, service: str, method: str, path: str, caller: str
    ) -> Explanation:
        routes = self._agent.routes
        route = routes.match(service, method, path)
        explanation = Explanation(
            code=Code.NO_ROUTE,
            version=self._agent.configuration.version,
            service=service,
            operation='',
            repeatable=True,
            priority='',
            deadline_ms=0,
            own_first=False,
            servers=self._servers(service),
        )
        if route is None:
            explanation.reason = (
                'service is not in scope'
                if service not in routes.parts
                else 'no operation matches'
            )
            return explanation
        allowed = routes.allowed(route, caller)
        explanation.code = Code.DONE if allowed else Code.DENIED
        explanation.reason = '' if allowed else f'{caller} may not call'
        explanation.operation = route.operation
        explanation.repeatable = route.repeatable
        explanation.priority = route.priority
        explanation.deadline_ms = route.deadline_ms
        explanation.own_first = (
            self._agent.service == service and self._gate.has_free_slot
        )
        return explanation

    def _servers(self, service: str) -> list[ServerView]:
        now = self._clock.monotonic()
        return [
            ServerView(
                server=server.endpoint.server,
                zone=server.endpoint.zone,
                state=server.endpoint.state,
                in_flight=server.in_flight,
                load=server.load,
                failures=server.failures,
                ejected=server.ejected_until > now,
            )
            for server in self._balancer.servers_of(service)
        ]


def _query(call: Call) -> dict[str, str]:
    _, _, query = call.target.decode('latin-1').partition('?')
    return dict(parse_qsl(query))
