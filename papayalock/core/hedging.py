"""Chooses the servers of a host-routed call and decides on retries."""

from dataclasses import dataclass
from enum import Enum

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import KnownServer
from papayalock.core.exposure import Cohort
from papayalock.core.placement import NONE_TRIED, Placement
from papayalock.result import Code


class NextAction(Enum):
    """What a node does next with a call.

    A call may still have other tries running when it starts a new one.
    """

    ASK_ANOTHER = 'ask another'  # look for a free slot at another server
    WAIT = 'wait'  # join the queue of a server
    REPEAT = 'repeat'  # run it on another server, within the retry budget
    GIVE_UP = 'give up'  # start no further try


# Share of the latency objective that a call spends on finding a free slot.
FREE_SLOT_SEARCH_SHARE = 0.1
# Share of the asks that find a slot, below which a call asks one server only.
MIN_FOUND_SHARE = 0.2
FOUND_SMOOTHING = 0.1  # weight of the newest ask in that share

SERVER_GONE = frozenset(
    (
        Code.DRAINING,
        Code.NO_SERVER,
        Code.OTHER_SERVER,
        Code.NOT_CONNECTED,
    )
)
COSTLESS_REFUSALS = SERVER_GONE | {Code.SHED}


class SlotSearch:
    """How many servers the calls of one service ask for a free slot.

    It answers a lasting overload: when hardly any ask finds a slot, more of
    them only delay the call, and cost each node asked as much as a call.
    """

    __slots__ = ('_found_share', '_most')

    def __init__(self, most: int) -> None:
        """Starts as if slots were free.

        :param most: servers asked while slots are free
        """
        self._most = most
        self._found_share = 1.0

    @property
    def max_asks(self) -> int:
        """Servers that a new call may ask."""
        return self._most if self._found_share >= MIN_FOUND_SHARE else 1

    def record(self, *, found: bool) -> None:
        """Counts the result of an ask."""
        self._found_share += FOUND_SMOOTHING * (found - self._found_share)


@dataclass(slots=True)
class CallProgress:
    """The limits of one call, and counts of the outcomes of its tries."""

    repeatable: bool
    max_runs: int
    max_refusals: int
    deadline_at: float
    search: SlotSearch
    queue_after: float = float('inf')  # when the search for a free slot ends
    refusals: int = 0  # tries that ended before a server saw the call
    runs: int = 0  # servers that may have run the call
    pending_tries: int = 0  # responsive tries that have not ended
    may_queue: bool = False  # whether the next try may wait in a queue
    first_cohort: Cohort | None = None  # servers for the first try
    cohort: Cohort | None = None  # servers for further tries

    def try_started(self) -> None:
        """Counts a try that begins."""
        self.pending_tries += 1

    def try_unresponsive(self) -> None:
        """Counts an unresponsive try as a possible run; it may never end."""
        self.pending_tries -= 1
        self.runs += 1

    def try_ended(
        self, code: Code, *, arrived: bool, unresponsive: bool
    ) -> None:
        """Counts the outcome of a try.

        :param arrived: whether the call reached a backend server
        :param unresponsive: whether :meth:`try_unresponsive` already counted
            the try as a run
        """
        if not unresponsive:
            self.pending_tries -= 1
            self.runs += not code.not_run
        self.refusals += code.not_run and not arrived
        if not self.may_queue:
            self.search.record(found=arrived or code != Code.SHED)


def next_server(
    placement: Placement,
    progress: CallProgress,
    service: str,
    route: str,
    tried: frozenset[str],
    now: float,
) -> KnownServer | None:
    """Returns the server of the next try, or None when there is none.

    Looks for a free slot at an untried server first. Without one, a call that
    may already have run goes to an untried server only; any other call may now
    queue, also at a server that has refused it before.
    """
    cohort = progress.cohort if tried else progress.first_cohort
    if not progress.may_queue:
        server = placement.choose_free(service, now, tried, route, cohort)
        if server is not None:
            return server
    if progress.runs:
        return placement.choose(service, now, tried, route, cohort)
    progress.may_queue = True
    return placement.choose(service, now, NONE_TRIED, route, progress.cohort)


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
    """Returns what follows a try that failed or became unresponsive.

    A try that reached no server costs nothing, so another server is tried. A
    further try after a server refused the call, or may have run it, counts
    against the retry budget. A call that is not idempotent goes on only when
    the code proves that it was not run.

    :param code: how the try ended; UNKNOWN_TIMEOUT when it is unresponsive
    :param arrived: whether the call reached a backend server
    :param has_untried: whether there is a server that was not tried yet
    :param service_s: expected service time of a further run
    :param nodes: number of nodes that share the budget
    """
    if now >= progress.deadline_at:
        return NextAction.GIVE_UP
    if code.not_run and not arrived:
        return _after_refusal(progress, code, now)
    if not code.not_run and not progress.repeatable:
        return NextAction.GIVE_UP
    worthwhile = has_untried and now + service_s / 2 < progress.deadline_at
    if (
        progress.runs + progress.pending_tries >= progress.max_runs
        or not worthwhile
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
    """Returns what follows a try that reached no server.

    A call looks for a free slot first and then joins a queue. The search also
    ends at ``queue_after``, since each probe takes long when nodes are busy. A
    queued call whose server went away joins another queue.
    """
    if progress.may_queue:
        may_move = (
            code in SERVER_GONE and progress.refusals < progress.max_refusals
        )
        return NextAction.WAIT if may_move else NextAction.GIVE_UP
    if code not in COSTLESS_REFUSALS:
        return NextAction.GIVE_UP
    max_asks = min(progress.max_refusals, progress.search.max_asks)
    if progress.refusals < max_asks and now < progress.queue_after:
        return NextAction.ASK_ANOTHER
    return NextAction.WAIT
