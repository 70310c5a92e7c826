"""Decides whom a host-routed call asks, and what follows a try without a good answer."""

from dataclasses import dataclass
from enum import Enum

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import KnownServer
from papayalock.core.placement import Placement
from papayalock.result import Code


class NextAction(Enum):
    """What a node does next with a call."""

    ASK_ANOTHER = 'ask another'
    WAIT = 'wait'
    REPEAT = 'repeat'
    GIVE_UP = 'give up'


FREE_SLOT_SEARCH_SHARE = (
    0.1  # of the latency objective, that may go into such asks
)

GONE = frozenset(
    (
        Code.DRAINING,
        Code.NO_SERVER,
        Code.OTHER_SERVER,
        Code.NOT_CONNECTED,
    )
)
REFUSED_FREELY = GONE | {Code.SHED}


@dataclass(slots=True)
class CallProgress:
    """What has become of one call so far."""

    repeatable: bool
    max_runs: int
    max_refusals: int
    deadline_at: float
    queue_after: float = float('inf')  # from then on a call waits in a queue
    refusals: int = 0  # nodes that refused before their server saw the call
    runs: int = 0  # servers that may have run the call
    pending_tries: int = 0  # tries that may yet count as runs
    may_queue: bool = False  # whether a node was asked to let the call wait

    def try_started(self) -> None:
        """Notes that a try has begun."""
        self.pending_tries += 1

    def try_unresponsive(self) -> None:
        """Notes that a try may be running for as long as it likes."""
        self.pending_tries -= 1
        self.runs += 1

    def try_ended(
        self, code: Code, *, arrived: bool, unresponsive: bool
    ) -> None:
        """Notes how a try ended; one that fell silent has been counted."""
        if not unresponsive:
            self.pending_tries -= 1
            self.runs += not code.not_run
        self.refusals += code.not_run and not arrived


def next_server(
    placement: Placement,
    progress: CallProgress,
    service: str,
    route: str,
    tried: frozenset[str],
    now: float,
) -> KnownServer | None:
    """Returns the server to ask; when none is left, one to wait for."""
    if not progress.may_queue:
        peer = placement.choose_free(service, now, tried, route)
        if peer is not None:
            return peer
    if progress.runs:
        return placement.choose(service, now, tried, route)
    progress.may_queue = True
    return placement.choose(service, now, route=route)


def next_action(
    progress: CallProgress,
    code: Code,
    *,
    arrived: bool,
    has_untried: bool,
    now: float,
    service_s: float,
    budget: SharedBudget,
    nodes: int,
) -> NextAction:
    """Returns what follows a try that ended with a code, or fell silent.

    A try that no server saw costs nothing, so another server is asked. What a
    server refused, or may have run, counts against the budget; a call that
    may not be repeated goes on only when the code proves that it was not run.

    :param arrived: whether the call reached a backend server
    :param has_untried: whether there is a server that was not tried yet
    :param service_s: time that a further run is expected to take
    """
    if now >= progress.deadline_at:
        return NextAction.GIVE_UP
    if code.not_run and not arrived:
        return _after_refusal(progress, code, now)
    if not code.not_run and not progress.repeatable:
        return NextAction.GIVE_UP
    worth_it = has_untried and now + service_s / 2 < progress.deadline_at
    if (
        progress.runs + progress.pending_tries >= progress.max_runs
        or not worth_it
    ):
        return NextAction.GIVE_UP
    return (
        NextAction.REPEAT
        if budget.try_spend(now, nodes)
        else NextAction.GIVE_UP
    )


def _after_refusal(
    progress: CallProgress, code: Code, now: float
) -> NextAction:
    """Asks for a free slot first, and only then for a place in a queue.

    On busy nodes an ask takes long; a call then joins a queue sooner. One whose
    queue went away with its server joins another.
    """
    if progress.may_queue:
        moves = code in GONE and progress.refusals < progress.max_refusals
        return NextAction.WAIT if moves else NextAction.GIVE_UP
    if code not in REFUSED_FREELY:
        return NextAction.GIVE_UP
    if progress.refusals < progress.max_refusals and now < progress.queue_after:
        return NextAction.ASK_ANOTHER
    return NextAction.WAIT
