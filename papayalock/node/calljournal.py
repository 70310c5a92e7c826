"""What a node says about its calls: one line for each that did not go well.

Each line names the call, what decided its fate and how old that knowledge
was, so that an engineer gets from a call's id to its cause.
"""

import logging
from dataclasses import dataclass, field

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import Peer
from papayalock.dialect import CallerMetadata
from papayalock.messages import HostRoute
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.http import Call
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import Answered, NoAnswer, Outcome
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
Fields = dict[str, object]


class Trail:
    """One try of a call: which server, what was known of it, how it ended."""

    __slots__ = (
        'code',
        'ended',
        'failures',
        'jobs',
        'load_age_s',
        'peer',
        'reason',
        'silent_at',
        'started',
    )

    def __init__(self, peer: Peer, now: float) -> None:
        """Notes what the choice of the server rested on."""
        self.peer = peer
        self.started = now
        self.ended: float | None = None
        self.silent_at: float | None = None
        self.jobs = peer.load.jobs if peer.load else -1
        self.load_age_s = now - peer.load_at
        self.failures = peer.failures
        self.code = ''
        self.reason = ''

    def end(self, outcome: Outcome, now: float) -> None:
        """Notes how the try ended."""
        self.ended = now
        if isinstance(outcome, Answered):
            self.code = str(outcome.status)
        else:
            self.code = outcome.code.name
            self.reason = outcome.reason

    def fields(self, now: float) -> Fields:
        """Returns the try as fields of a log line."""
        ended = now if self.ended is None else self.ended
        fields: Fields = {
            'server': self.peer.endpoint.server,
            'address': self.peer.endpoint.address,
            'code': self.code or 'UNFINISHED',
            'reason': self.reason,
            'took_ms': round((ended - self.started) * MS, 1),
            'jobs_known': self.jobs,
            'load_age_ms': round(self.load_age_s * MS),
            'failures': self.failures,
        }
        if self.silent_at is not None:
            fields['silent_after_ms'] = round(
                (self.silent_at - self.started) * MS, 1
            )
        return fields


def _was_tried_again(trail: list[Trail]) -> bool:
    """Whether a server failed or fell silent before another one answered."""
    first = trail[0]
    troubled = first.code.isdigit() or first.silent_at is not None
    return len(trail) > 1 and troubled


@dataclass(slots=True)
class Plan:
    """One call and what bounds it; times in monotonic seconds."""

    call: Call
    terms: CallerMetadata
    arrived: float
    route: HostRoute
    service: str
    deadline_at: float
    target_at: float
    returning: bool
    trail: list[Trail] = field(default_factory=list)

    @property
    def servers(self) -> frozenset[str]:
        """The servers that were tried."""
        return frozenset(one.peer.endpoint.server for one in self.trail)


class CallJournal:
    """Writes the lines and counts the outcomes of calls."""

    def __init__(
        self,
        agent: HostAgent,
        clock: Clock,
        metrics: HostMetrics,
        lag: LoopLag,
        sample: int,
    ) -> None:
        """Binds the parts.

        :param sample: of so many calls that went well, one is written
        """
        self._agent = agent
        self._clock = clock
        self._metrics = metrics
        self._lag = lag
        self._sample = sample
        self._good = 0

    def unplanned(self, call: str, outcome: NoAnswer) -> None:
        """Notes a call for which there is no route."""
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

    def ended(self, plan: Plan, outcome: Outcome, budget: SharedBudget) -> None:
        """Notes how a call ended."""
        now = self._clock.monotonic()
        took = now - plan.arrived
        code = Code.DONE if isinstance(outcome, Answered) else outcome.code
        self._metrics.count(code, plan.route.name, plan.route.rank, took)
        if isinstance(outcome, NoAnswer):
            message = 'call refused' if code.not_run else 'call failed'
        elif outcome.failed:
            message = 'call answered by a failure'
        elif _was_tried_again(plan.trail):
            message = 'call answered after more than one try'
        else:
            message = 'call answered'
        if message != 'call answered' or self._sampled():
            fields = self._fields(plan, outcome, budget, now)
            log.info(message, extra=fields)

    def _sampled(self) -> bool:
        self._good += 1
        return self._good % self._sample == 0

    def _fields(
        self, plan: Plan, outcome: Outcome, budget: SharedBudget, now: float
    ) -> Fields:
        nodes = self._agent.placement.nodes
        fields: Fields = {
            'call': plan.terms.call,
            'route': plan.route.name,
            'rank': plan.route.rank,
            'service': plan.service,
            'version': self._agent.configuration.version,
            'took_ms': round((now - plan.arrived) * MS, 1),
            'left_ms': round((plan.deadline_at - now) * MS),
            'target_left_ms': round((plan.target_at - now) * MS),
            'returning': plan.returning,
            'budget_left': round(budget.left(now, nodes), 1),
            'nodes': nodes,
            'loop_lag_ms': self._lag.max_lag_ms(now),
            'tries': [one.fields(now) for one in plan.trail],
        }
        if isinstance(outcome, NoAnswer):
            fields['code'] = outcome.code.name
            fields['reason'] = outcome.reason
            fields['retry_after_ms'] = outcome.retry_after_ms
        else:
            fields['status'] = outcome.status
            fields['callee_failed'] = outcome.callee_failed
        return fields
