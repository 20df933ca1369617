"""What the replicated log drives."""

from typing import Protocol

from chestnutvale.schema.command_pb2 import Command, CommandResult


class StateMachine(Protocol):
    """State that every control builds from the same commands."""

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply a committed command; deterministic, never raises."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""
