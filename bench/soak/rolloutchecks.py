"""Checks the roll-out of a run: who got the new version, and what is kept."""

from collections.abc import Iterator

from bench.soak.history import History, Run
from bench.soak.rollouts import (
    DURATION_MS,
    EXPOSURE_SHARE,
    EXPOSURE_SLACK,
    NEW_SERVER,
    NEW_VERSION,
    SERVICE,
)

MS_PER_S = 1000
SETTLE_S = 3.0  # after the end of a roll-out, until nodes have heard of it


def check_rollout_orders_bind(history: History) -> Iterator[str]:
    """No call runs on a version before its order, and no order is lost."""
    record = history.rollout
    if record is None:
        return
    early = [
        run for run in _runs_of_new_version(history) if run.at < record.ordered
    ]
    if early:
        yield f'rollout: {len(early)} calls ran on {NEW_VERSION} unordered'
    read_back = bool(record.final_target)
    if record.acked is not None and history.last_label and not read_back:
        yield 'rollout: the acknowledged order is lost'
    ended = [state for state in record.readings if state != 'running']
    if ended and record.readings[-1] == 'running':
        yield 'rollout: it runs again after its end'


def check_bad_version_is_contained(history: History) -> Iterator[str]:
    """A bad version gets a small share of the calls, and none in the end."""
    record = history.rollout
    if record is None or not record.is_bad:
        return
    limit_at = record.ordered + DURATION_MS / MS_PER_S
    total = sum(
        run.service == SERVICE and record.ordered <= run.at <= limit_at
        for run in history.runs
    )
    new_runs = _runs_of_new_version(history)
    exposed = sum(run.at <= limit_at for run in new_runs)
    if exposed > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
        yield f'rollout: a bad version got {exposed} of {total} calls'
    if record.ended is None or record.state != 'rolled_back':
        return
    late = [run for run in new_runs if run.at > record.ended + SETTLE_S]
    if late:
        yield f'rollout: {len(late)} calls ran after the roll-back'


def _runs_of_new_version(history: History) -> list[Run]:
    return [run for run in history.runs if run.server.startswith(NEW_SERVER)]
