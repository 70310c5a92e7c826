"""Metrics of a node with host routing."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from papayalock.core.admission import ServerGate
from papayalock.core.heartbeats import DropReason
from papayalock.node.crashreports import CrashReports
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import Call, Reply
from papayalock.node.lag import LoopLag
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

OK = 200
NO_LIMIT = -1.0
MS_PER_S = 1000
TEXT = (b'content-type', b'text/plain; version=0.0.4')
MAX_PRIORITY_LABEL = 16  # bounds the label; greater priorities share it
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


def metrics_address(settings: Settings) -> str:
    """Returns the address that serves metrics, or '' when they are off."""
    if not settings.metrics.port:
        return ''
    host = settings.listen.rpartition(':')[0]
    return f'{host}:{settings.metrics.port}'


class HostMetrics:
    """Counts calls by result code and priority, and exports the node's state.

    Label values are result codes, bounded priorities and configured services.
    None comes from what a caller sends.
    """

    def __init__(
        self,
        agent: HostAgent,
        gate: ServerGate,
        lag: LoopLag,
        clock: Clock,
        crash_reports: CrashReports,
    ) -> None:
        """Starts at zero."""
        self._started_at = clock.monotonic()
        self._crash_reports = crash_reports
        self._agent = agent
        self._gate = gate
        self._lag = lag
        self._clock = clock
        self._registry = Registry()
        self._calls = Counter(
            'papayalock_calls_total',
            'Calls by result code and rank',
            registry=self._registry,
        )
        self._durations = Histogram(
            'papayalock_call_seconds',
            'Time from the arrival of a call to its answer, by rank',
            buckets=list(BUCKETS_S),
            registry=self._registry,
        )
        self._dropped = Counter(
            'papayalock_heartbeats_dropped_total',
            'Heartbeats of the backend server that changed nothing',
            registry=self._registry,
        )
        self._retries = Counter(
            'papayalock_retries_total',
            'Retries that the budget granted, by service',
            registry=self._registry,
        )
        self._gauges = Gauge(
            'papayalock_state', 'State of this node', registry=self._registry
        )

    def count(
        self, code: Code, route: str, priority: int, duration_s: float
    ) -> None:
        """Counts an ended call.

        :param route: name of the route, '' for a call without one; such a
            call adds no duration
        :param duration_s: time from the call's arrival to its response
        """
        label = str(min(priority, MAX_PRIORITY_LABEL))
        self._calls.inc({'code': code.name, 'rank': label})
        if route:
            self._durations.observe({'rank': label}, duration_s)

    def count_retry(self, service: str) -> None:
        """Counts a retry that the budget of a service granted."""
        self._retries.inc({'service': service})

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        for name, current in self._state().items():
            self._gauges.set({'what': name}, current)
        dropped = self._agent.backend_monitor.dropped
        for reason in DropReason:
            self._dropped.set({'reason': reason.value}, dropped[reason])
        text, _ = render(self._registry, [])
        return bytes(text)

    def _state(self) -> dict[str, float]:
        now = self._clock.monotonic()
        load = self._gate.load()
        agent = self._agent
        limit = agent.backend_monitor.limit
        return {
            'version': agent.configuration.version,
            'running_s': round(now - self._started_at),
            'servers': len(agent.placement.servers),
            'nodes': agent.placement.count_nodes(now),
            'jobs': load.jobs,
            'running': len(self._gate.running),
            'started': self._gate.started,
            'server_limit': NO_LIMIT if limit is None else limit,
            'slots': load.slots,
            'link_wait_ms': round(self._gate.link.backlog_s(now) * MS_PER_S),
            'large_responses': self._gate.link.transfers,
            'pace_ms': load.pace_ms,
            'failing': load.failing,
            'leaving': int(agent.backend_monitor.is_draining()),
            'stopping': int(agent.stopping),
            'control_errors': agent.errors,
            **agent.polls.read_load(),
            'answered_ms_ago': agent.polls.answered_ms_ago,
            'loop_lag_ms': self._lag.max_lag_ms(now),
            **self._crash_reports.counts(),
        }

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers a scrape with the current metrics."""
        reply.send(OK, [TEXT], self.render())
