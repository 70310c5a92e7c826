"""Prepares large log entries in a thread before they are applied."""

import asyncio
from collections.abc import Callable

from papayalock.commands import Command, decode_command
from papayalock.control.statemachine import StateMachine
from papayalock.core.raft import Replica
from papayalock.messages import Entry

LARGE_PAYLOAD_CHARS = 65_536  # of an entry that a thread prepares


class Preparation:
    """A committed entry that is being decoded and prepared in a thread."""

    __slots__ = ('command', 'index')

    def __init__(self, index: int, command: 'asyncio.Task[Command]') -> None:
        """Sets the index of the entry and the task."""
        self.index = index
        self.command = command


class Preparer:
    """Tells how far the log may be applied, and prepares what comes next.

    A large entry is held back until a thread has prepared it, and so are
    those behind it. Meanwhile the group replicates and sends heartbeats.
    """

    __slots__ = ('_machine', '_preparation', '_wake')

    def __init__(self, machine: StateMachine, wake: Callable[[], None]) -> None:
        """Starts idle.

        :param wake: called in the event loop when an entry is prepared
        """
        self._machine = machine
        self._wake = wake
        self._preparation: Preparation | None = None

    def apply_limit(self, replica: Replica) -> int:
        """Returns the newest committed index that may be applied now."""
        following = replica.applied + 1
        for entry in replica.log.entries_between(
            following, replica.commit, replica.commit
        ):
            if len(entry.payload) < LARGE_PAYLOAD_CHARS:
                continue
            # It is prepared from the state that it will be applied to.
            is_next = entry.index == following
            if not is_next or not self._is_prepared(entry):
                return entry.index - 1
        return replica.commit

    def command_of(self, entry: Entry) -> Command:
        """Returns the command of an entry, as prepared if it was."""
        preparation = self._preparation
        if preparation is None or preparation.index != entry.index:
            return decode_command(entry.payload)
        self._preparation = None
        return preparation.command.result()

    def _is_prepared(self, entry: Entry) -> bool:
        """Whether an entry is prepared; otherwise that is begun."""
        if self._preparation is None or self._preparation.index != entry.index:
            task = asyncio.create_task(
                asyncio.to_thread(self._prepare, entry.payload)
            )
            task.add_done_callback(self._on_done)
            self._preparation = Preparation(entry.index, task)
        return self._preparation.command.done()

    def _prepare(self, payload: str) -> Command:
        command = decode_command(payload)
        self._machine.prepare(command)
        return command

    def _on_done(self, _task: 'asyncio.Task[Command]') -> None:
        self._wake()
