"""Logs when a peer becomes unreachable or reachable again, once each."""

import logging

from papayalock.result import Code


class ReachabilityLog:
    """Tracks which peers are unreachable and logs each change.

    Repeated failures of an unreachable peer are not logged again.
    """

    __slots__ = ('_kind', '_log', '_unreachable')

    def __init__(self, log: logging.Logger, kind: str) -> None:
        """Starts with every peer reachable.

        :param log: logger to write to
        :param kind: kind of peer named in the messages, e.g. ``control VM``
        """
        self._log = log
        self._kind = kind
        self._unreachable: set[str] = set()

    def mark_unreachable(
        self, name: str, reason: str, **context: object
    ) -> None:
        """Records a failure to reach a peer; logs the first in a row.

        :param context: additional fields of the log line, such as the version
            that the process continues with
        """
        if name in self._unreachable:
            return
        self._unreachable.add(name)
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

    def mark_reachable(self, name: str) -> None:
        """Records a response from a peer; logs it if it was unreachable."""
        if name in self._unreachable:
            self._unreachable.discard(name)
            self._log.info('%s regained', self._kind, extra={'peer': name})
