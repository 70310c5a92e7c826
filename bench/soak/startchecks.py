"""Checks of backend servers that come back, and of requests beside crashes."""

from collections.abc import Iterator

from bench.soak.faults import node_name
from bench.soak.history import History
from papayalock.result import Code

RETURN_S = 4.0  # from the start of a server's process until it gets calls
MIN_CALLS = 40  # of its service in that time, for a start to be judged
SETTLE_S = 3.0  # after a disturbance of another process on the way
RESTART_S = 0.1  # from the start of a process until its restart is recorded


def check_restarted_servers_get_calls(history: History) -> Iterator[str]:
    """A server that has started gets calls while others of its service do."""
    services = {
        run.server.partition('@')[0]: run.service for run in history.runs
    }
    for server, service in services.items():
        for started in history.starts.get(server, ()):
            if not _is_judged(history, server, service, started):
                continue
            if not _calls(history, started, server=server):
                yield f'unused: {server} got no call since its start {started:.2f}'


def check_harmless_requests_are_not_quarantined(
    history: History,
) -> Iterator[str]:
    """No request crashes servers here, whatever is killed under it."""
    for record in history.attempts:
        if record.code == Code.QUARANTINED:
            yield f'quarantined: {record.call} {record.path} at {record.node}'


def _is_judged(
    history: History, server: str, service: str, started: float
) -> bool:
    """Whether a start was undisturbed while its service got calls."""
    end = started + RETURN_S
    if end > history.ended or _is_limited(history, server, started):
        return False
    on_the_way = {node_name(server), *history.control}
    disturbed = any(
        span.begin <= end
        and (
            (span.name == server and span.end > started + RESTART_S)
            or (span.name in on_the_way and span.end >= started - SETTLE_S)
        )
        for span in history.spans
    )
    return not disturbed and (
        _calls(history, started, service=service) >= MIN_CALLS
    )


def _is_limited(history: History, server: str, started: float) -> bool:
    return any(
        stated.server.partition('@')[0] == server
        and stated.limit is not None
        and started <= stated.at <= started + RETURN_S
        for stated in history.limits
    )


def _calls(
    history: History, started: float, *, server: str = '', service: str = ''
) -> int:
    """Returns the calls that a server or a service ran after a start."""
    return sum(
        started < run.at <= started + RETURN_S
        and (run.service == service or run.server.partition('@')[0] == server)
        for run in history.runs
    )
