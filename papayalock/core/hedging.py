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
FOUND_SMOOTHING = 0.1  # weight of the newest ask in averages
MAX_QUEUES = 2  # that a call tries to join which has not searched
CALLS_PER_TRIAL = 8  # one of so many calls searches though it should not pay

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

    It answers two loads: a lasting overload, in which hardly any ask finds a
    slot, and links so full that an ask takes as long as a call waits for a
    slot. Asks then only delay the call, and each costs as much of the links
    as a call does.
    """

    __slots__ = ('_ask_s', '_calls', '_found_share', '_most')

    def __init__(self, most: int) -> None:
        """Starts as if slots were free.

        :param most: servers asked while slots are free
        """
        self._most = most
        self._found_share = 1.0
        self._ask_s = 0.0  # smoothed time of an ask that found no slot
        self._calls = 0

    @property
    def max_asks(self) -> int:
        """Servers that a new call may ask."""
        return self._most if self._found_share >= MIN_FOUND_SHARE else 1

    def pays_off(self, wait_s: float) -> bool:
        """Returns whether a new call should look for a free slot first.

        Some calls search in any case, so that the search is known to pay off
        once it does again.

        :param wait_s: expected wait for a slot without a search
        """
        self._calls += 1
        if self._calls % CALLS_PER_TRIAL == 0:
            return True
        return self._ask_s < wait_s

    def record(self, *, found: bool, took_s: float) -> None:
        """Counts the result of an ask.

        :param took_s: from the ask to its answer
        """
        self._found_share += FOUND_SMOOTHING * (found - self._found_share)
        if not found:
            self._ask_s += FOUND_SMOOTHING * (took_s - self._ask_s)


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
    direct: bool = False  # whether it joins a queue without such a search
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
        self, code: Code, *, arrived: bool, unresponsive: bool, took_s: float
    ) -> None:
        """Counts the outcome of a try.

        :param arrived: whether the call reached a backend server
        :param unresponsive: whether :meth:`try_unresponsive` already counted
            the try as a run
        :param took_s: from its start to its end
        """
        if not unresponsive:
            self.pending_tries -= 1
            self.runs += not code.not_run
        self.refusals += code.not_run and not arrived
        if not self.may_queue:
            found = arrived or code != Code.SHED
            self.search.record(found=found, took_s=took_s)


def next_server(
    placement: Placement,
    progress: CallProgress,
    service: str,
    route: str,
    tried: frozenset[str],
    now: float,
) -> KnownServer | None:
    """Returns the server of the next try, or None when there is none.

    Looks for a free slot at an untried server first, where that pays off.
    Without one, a call that may already have run or that has not searched goes
    to an untried server only; any other call may now queue, also at a server
    that has refused it before.
    """
    cohort = progress.cohort if tried else progress.first_cohort
    if not tried:
        wait_s = placement.shortest_wait_s(service, now, cohort)
        progress.direct = not progress.search.pays_off(wait_s)
        progress.may_queue = progress.direct
    if not progress.may_queue:
        server = placement.choose_free(service, now, tried, route, cohort)
        if server is not None:
            return server
    if progress.runs or progress.direct:
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
    queued call whose server went away joins another queue, and so does one
    that has not searched and that the first queue refused.
    """
    if progress.may_queue:
        may_move = (
            code in SERVER_GONE and progress.refusals < progress.max_refusals
        )
        may_move |= progress.direct and progress.refusals < MAX_QUEUES
        return NextAction.WAIT if may_move else NextAction.GIVE_UP
    if code not in COSTLESS_REFUSALS:
        return NextAction.GIVE_UP
    max_asks = min(progress.max_refusals, progress.search.max_asks)
    if progress.refusals < max_asks and now < progress.queue_after:
        return NextAction.ASK_ANOTHER
    return NextAction.WAIT
