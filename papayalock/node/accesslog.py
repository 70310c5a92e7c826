"""The access log of a node: logs calls and counts their outcomes.

Logs each call that was refused, failed or had a failed or unresponsive first
try, each retry, and a sample of the others. A line has the id of the call, the
data on which its servers were chosen and the age of that data, so that an
engineer can find the cause of a failure.
"""

import logging
from dataclasses import dataclass, field

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import KnownServer
from papayalock.dialect import CallerMetadata
from papayalock.messages import Customer, HostRoute
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.http import Call
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import NoResponse, Outcome, ServerResponse
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
Fields = dict[str, object]


class TryRecord:
    """One try of a call: its server, the known state of it and the outcome."""

    __slots__ = (
        'arrived',
        'code',
        'ended_at',
        'failures',
        'known_jobs',
        'load_age_s',
        'reason',
        'server',
        'started_at',
        'unresponsive_at',
    )

    def __init__(self, server: KnownServer, now: float) -> None:
        """Records the state of the server on which it was chosen."""
        self.server = server
        self.started_at = now
        self.ended_at: float | None = None
        self.unresponsive_at: float | None = None
        self.known_jobs = server.load.jobs if server.load else -1
        self.load_age_s = now - server.load_at
        self.failures = server.failures
        self.code = ''
        self.reason = ''
        self.arrived = False  # whether the call reached the server

    def finish(self, outcome: Outcome, now: float) -> None:
        """Records the outcome and the time of the end."""
        self.ended_at = now
        if isinstance(outcome, ServerResponse):
            self.code = str(outcome.status)
            self.arrived = True
        else:
            self.code = outcome.code.name
            self.reason = outcome.reason
            self.arrived = outcome.arrived

    def log_fields(self, now: float) -> Fields:
        """Returns the try as fields of a log line."""
        end = now if self.ended_at is None else self.ended_at
        fields: Fields = {
            'server': self.server.endpoint.server,
            'address': self.server.endpoint.address,
            'version': self.server.endpoint.version,
            'code': self.code or 'UNFINISHED',
            'reason': self.reason,
            'arrived': self.arrived,
            'took_ms': round((end - self.started_at) * MS_PER_S, 1),
            'jobs_known': self.known_jobs,
            'load_age_ms': round(self.load_age_s * MS_PER_S),
            'failures': self.failures,
        }
        if self.unresponsive_at is not None:
            fields['silent_after_ms'] = round(
                (self.unresponsive_at - self.started_at) * MS_PER_S, 1
            )
        return fields


def _was_retried(tries: list[TryRecord]) -> bool:
    """Whether another try followed one that a server may have seen."""
    return any(
        record.arrived or record.unresponsive_at is not None
        for record in tries[:-1]
    )


@dataclass(slots=True)
class RoutedCall:
    """A host-routed call: its route, deadline and tries.

    Times are in monotonic seconds.
    """

    call: Call
    metadata: CallerMetadata
    arrived_at: float
    first_arrived_at: float  # or of the first call of a refused caller
    route: HostRoute
    service: str
    caller_deadline_at: float  # until which the caller waits
    request: str  # digest of its content
    customer: Customer | None = None
    key: str = ''  # digest of the API key
    tries: list[TryRecord] = field(default_factory=list)

    @property
    def returning(self) -> bool:
        """Whether the caller was refused before."""
        return self.first_arrived_at < self.arrived_at

    @property
    def deadline_at(self) -> float:
        """When the call has to end, by its caller or by its route."""
        timeout_s = self.route.timeout_ms / MS_PER_S
        return min(self.caller_deadline_at, self.arrived_at + timeout_s)

    @property
    def target_at(self) -> float:
        """When the latency objective ends, from the caller's first call on."""
        return self.first_arrived_at + self.route.target_ms / MS_PER_S

    @property
    def rank(self) -> int:
        """Priority of the call; 0 is the highest."""
        if self.customer is None or self.customer.rank is None:
            return self.route.rank
        return self.customer.rank

    @property
    def tried_servers(self) -> frozenset[str]:
        """Names of the servers that were tried."""
        return frozenset(record.server.endpoint.server for record in self.tries)


class AccessLog:
    """Logs the calls of a node and counts their outcomes."""

    def __init__(
        self,
        agent: HostAgent,
        clock: Clock,
        metrics: HostMetrics,
        lag: LoopLag,
        sample: int,
        started_at: float,
    ) -> None:
        """Starts without calls.

        :param sample: one of so many successful calls is logged
        :param started_at: when the node started, in monotonic seconds
        """
        self._started_at = started_at
        self._agent = agent
        self._clock = clock
        self._metrics = metrics
        self._lag = lag
        self._sample = sample
        self._succeeded = 0

    def log_unrouted(self, call: str, outcome: NoResponse) -> None:
        """Logs and counts a call that was refused before it was tried."""
        self._metrics.count(outcome.code, '', 0, 0.0)
        log.info(
            'call refused',
            extra={
                'call': call,
                'code': outcome.code.name,
                'reason': outcome.reason,
                'version': self._agent.configuration.version,
            },
        )

    def log_retry(
        self, routed: RoutedCall, code: Code, budget: SharedBudget
    ) -> None:
        """Counts a retry and logs it.

        It is logged when it is decided, as the node may be killed before the
        call ends.

        :param code: outcome of the try that is followed by another
        """
        self._metrics.count_retry(routed.service)
        now = self._clock.monotonic()
        nodes = self._agent.placement.count_nodes(now)
        log.info(
            'call retried',
            extra={
                'call': routed.metadata.call,
                'route': routed.route.name,
                'service': routed.service,
                'code': code.name,
                'took_ms': round((now - routed.arrived_at) * MS_PER_S, 1),
                'retries_spent': budget.spent,
                'budget_left': round(budget.remaining(now, nodes), 1),
                'nodes': nodes,
                'running_ms': round((now - self._started_at) * MS_PER_S),
            },
        )

    def log_ended(
        self, routed: RoutedCall, outcome: Outcome, budget: SharedBudget
    ) -> None:
        """Counts a call that ended; logs it unless it succeeded unsampled."""
        now = self._clock.monotonic()
        took_s = now - routed.arrived_at
        code = (
            Code.DONE if isinstance(outcome, ServerResponse) else outcome.code
        )
        self._metrics.count(code, routed.route.name, routed.rank, took_s)
        if isinstance(outcome, NoResponse):
            message = 'call refused' if code.not_run else 'call failed'
        elif outcome.failed:
            message = 'call answered by a failure'
        elif _was_retried(routed.tries):
            message = 'call answered after more than one try'
        else:
            message = 'call answered'
        if message != 'call answered' or self._is_sampled():
            fields = self._fields(routed, outcome, budget, now)
            log.info(message, extra=fields)

    def _is_sampled(self) -> bool:
        self._succeeded += 1
        return self._succeeded % self._sample == 0

    def _fields(
        self,
        routed: RoutedCall,
        outcome: Outcome,
        budget: SharedBudget,
        now: float,
    ) -> Fields:
        nodes = self._agent.placement.count_nodes(now)
        fields: Fields = {
            'call': routed.metadata.call,
            'request': routed.request,
            'route': routed.route.name,
            'rank': routed.rank,
            'service': routed.service,
            'customer': routed.customer.name if routed.customer else '',
            'version': self._agent.configuration.version,
            'took_ms': round((now - routed.arrived_at) * MS_PER_S, 1),
            'left_ms': round((routed.deadline_at - now) * MS_PER_S),
            'target_left_ms': round((routed.target_at - now) * MS_PER_S),
            'returning': routed.returning,
            'budget_left': round(budget.remaining(now, nodes), 1),
            'nodes': nodes,
            'loop_lag_ms': self._lag.max_lag_ms(now),
            'tries': [record.log_fields(now) for record in routed.tries],
        }
        if isinstance(outcome, NoResponse):
            fields['code'] = outcome.code.name
            fields['reason'] = outcome.reason
            fields['retry_after_ms'] = outcome.retry_after_ms
        else:
            fields['status'] = outcome.status
            fields['callee_failed'] = outcome.callee_failed
        return fields
