"""Logs when a peer becomes unreachable or reachable again, once each."""

import logging
from dataclasses import dataclass

from papayalock.result import Code

MS_PER_S = 1000


@dataclass(slots=True)
class _Outage:
    """An outage of one peer; the time is in monotonic seconds."""

    began: float
    tries: int = 0  # that have failed


class ReachabilityLog:
    """Tracks which peers are unreachable and logs each change.

    Repeated failures of an unreachable peer are not logged again; the line of
    its return says how many there were, and for how long.
    """

    __slots__ = ('_kind', '_log', '_outages')

    def __init__(self, log: logging.Logger, kind: str) -> None:
        """Starts with every peer reachable.

        :param log: logger to write to
        :param kind: kind of peer named in the messages, e.g. ``control VM``
        """
        self._log = log
        self._kind = kind
        self._outages: dict[str, _Outage] = {}

    def mark_unreachable(
        self, name: str, reason: str, now: float, **context: object
    ) -> None:
        """Records a failure to reach a peer; logs the first in a row.

        :param now: in monotonic seconds
        :param context: additional fields of the log line, such as the version
            that the process continues with
        """
        outage = self._outages.get(name)
        if outage is not None:
            outage.tries += 1
            return
        self._outages[name] = _Outage(now, tries=1)
        self._log.warning(
            '%s lost',
            self._kind,
            extra={
                'peer': name,
                'code': Code.UNREACHABLE,
                'reason': reason,
                **context,
            },
        )

    def mark_reachable(self, name: str, now: float) -> None:
        """Records a response from a peer; logs it if it was unreachable.

        :param now: in monotonic seconds
        """
        outage = self._outages.pop(name, None)
        if outage is None:
            return
        self._log.info(
            '%s regained',
            self._kind,
            extra={
                'peer': name,
                'lost_ms': round((now - outage.began) * MS_PER_S),
                'failed_tries': outage.tries,
            },
        )
