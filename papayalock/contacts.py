"""Logs each process that falls silent, and its return, once."""

import logging

from papayalock.result import Code


class Contacts:
    """The far ends that one part of a process talks to."""

    __slots__ = ('_kind', '_log', '_silent')

    def __init__(self, log: logging.Logger, kind: str) -> None:
        """Starts with none silent.

        :param kind: what the far ends are, as in the lines
        """
        self._log = log
        self._kind = kind
        self._silent: set[str] = set()

    def lost(self, name: str, reason: str, **known: object) -> None:
        """Notes that one does not answer.

        :param known: what the process goes on with meanwhile
        """
        if name in self._silent:
            return
        self._silent.add(name)
        self._log.warning(
            '%s lost',
            self._kind,
            extra={
                'peer': name,
                'code': Code.UNREACHABLE,
                'reason': reason,
                **known,
            },
        )

    def answered(self, name: str) -> None:
        """Notes that one answers."""
        if name in self._silent:
            self._silent.discard(name)
            self._log.info('%s regained', self._kind, extra={'peer': name})
