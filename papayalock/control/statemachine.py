"""What a Raft group replicates: the interface of its state machine."""

from typing import Any, Protocol

from papayalock.commands import Command


class StateMachine(Protocol):
    """The replicated state machine of a group."""

    def apply(self, index: int, command: Command) -> Any:
        """Applies a committed command and returns its result."""
        ...

    def prepare(self, command: Command) -> None:
        """Does the long work for the next command, in another thread.

        It changes nothing that others read.
        """
        ...

    def dump(self) -> bytes:
        """Returns the state as JSON text, for a snapshot."""
        ...

    def load(self, text: bytes) -> None:
        """Replaces the state by one that :meth:`dump` returned."""
        ...
