"""Interface of the state machine that the replicated log drives."""

from typing import Protocol

from chestnutvale.schema.command_pb2 import Command, CommandResult


class StateMachine(Protocol):
    """State that every control derives from the same commands."""

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply a committed command; must be deterministic and never raise."""

    def snapshot(self) -> bytes:
        """Return the complete state in serialised form."""

    def restore(self, data: bytes) -> None:
        """Replace the state with one that `snapshot` returned."""
