"""Decides whom a host-routed call asks, and what follows a try without a good answer."""

from dataclasses import dataclass
from enum import Enum

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import Peer
from papayalock.core.placing import Placement
from papayalock.result import Code


class Step(Enum):
    """What a node does next with a call."""

    ASK_ANOTHER = 'ask another'
    WAIT = 'wait'
    REPEAT = 'repeat'
    GIVE_UP = 'give up'


ASK_SHARE = 0.1  # of the latency objective, that may go into such asks

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
class Course:
    """What has become of one call so far."""

    repeatable: bool
    most_runs: int
    most_asked: int
    deadline_at: float
    ask_until: float = float('inf')  # from then on a call waits in a queue
    asked: int = 0  # nodes that refused before their server saw the call
    runs: int = 0  # servers that may have run the call
    under_way: int = 0  # tries that may yet count as runs
    waited: bool = False  # whether a node was asked to let the call wait

    def started(self) -> None:
        """Notes that a try has begun."""
        self.under_way += 1

    def fell_silent(self) -> None:
        """Notes that a try may be running for as long as it likes."""
        self.under_way -= 1
        self.runs += 1

    def ended(self, code: Code, *, arrived: bool, silent: bool) -> None:
        """Notes how a try ended; one that fell silent has been counted."""
        if not silent:
            self.under_way -= 1
            self.runs += not code.not_run
        self.asked += code.not_run and not arrived


def next_server(
    placement: Placement,
    course: Course,
    service: str,
    route: str,
    tried: frozenset[str],
    now: float,
) -> Peer | None:
    """Returns the server to ask; when none is left, one to wait for."""
    if not course.waited:
        peer = placement.choose_free(service, now, tried, route)
        if peer is not None:
            return peer
    if course.runs:
        return placement.choose(service, now, tried, route)
    course.waited = True
    return placement.choose(service, now, route=route)


def next_step(
    course: Course,
    code: Code,
    *,
    arrived: bool,
    another: bool,
    now: float,
    pace_s: float,
    budget: SharedBudget,
    nodes: int,
) -> Step:
    """Returns what follows a try that ended with a code, or fell silent.

    A try that no server saw costs nothing, so another server is asked. What a
    server refused, or may have run, counts against the budget; a call that
    may not be repeated goes on only when the code proves that it was not run.

    :param arrived: whether the call reached a backend server
    :param another: whether there is a server that was not tried yet
    :param pace_s: time that a further run is expected to take
    """
    if now >= course.deadline_at:
        return Step.GIVE_UP
    if code.not_run and not arrived:
        return _after_refusal(course, code, now)
    if not code.not_run and not course.repeatable:
        return Step.GIVE_UP
    worth_it = another and now + pace_s / 2 < course.deadline_at
    if course.runs + course.under_way >= course.most_runs or not worth_it:
        return Step.GIVE_UP
    return Step.REPEAT if budget.take(now, nodes) else Step.GIVE_UP


def _after_refusal(course: Course, code: Code, now: float) -> Step:
    """Asks for a free slot first, and only then for a place in a queue.

    On busy nodes an ask takes long; a call then joins a queue sooner. One whose
    queue went away with its server joins another.
    """
    if course.waited:
        moves = code in GONE and course.asked < course.most_asked
        return Step.WAIT if moves else Step.GIVE_UP
    if code not in REFUSED_FREELY:
        return Step.GIVE_UP
    if course.asked < course.most_asked and now < course.ask_until:
        return Step.ASK_ANOTHER
    return Step.WAIT
