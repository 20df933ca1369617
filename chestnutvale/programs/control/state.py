"""The replicated state machine that every control builds from the log."""

from collections.abc import Callable

from chestnutvale.configuration.state import ConfigurationState
from chestnutvale.configuration.text_command import read_text_command
from chestnutvale.consensus.command_readers import CommandReaders
from chestnutvale.evacuations.state import EvacuationState
from chestnutvale.groups.state import GroupsState
from chestnutvale.ledger.state import LedgerState
from chestnutvale.membership.departures import DepartureState
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.schema.command_pb2 import Command, CommandResult, StateSnapshot


class ControlState:
    """State of the cluster, changed only by committed commands.

    Attributes
    ----------
    configuration : ConfigurationState
        Configuration text in force.
    groups : GroupsState
        Groups, their members and epochs.
    ledger : LedgerState
        Claims and outcomes of non-repeatable calls.
    evacuations : EvacuationState
        Evacuated data centres.
    readers : CommandReaders
        Members of the log that can read the newest commands.
    departures : DepartureState
        Hosts that said that they leave.
    on_departures : callable
        Takes the departures that a command or snapshot has added; must not block.
    applied_index : int
        Index of the last command applied.
    """

    def __init__(self) -> None:
        self.configuration = ConfigurationState()
        self.groups = GroupsState()
        self.ledger = LedgerState()
        self.evacuations = EvacuationState()
        self.readers = CommandReaders()
        self.departures = DepartureState()
        self.on_departures: Callable[[list[Incarnation]], None] = _ignore_departures
        self.applied_index = 0

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply one committed command.

        Parameters
        ----------
        index : int
            Its index in the log.
        command : Command
            The command.

        Returns
        -------
        CommandResult
            Result of the part that applied the command; empty for an unknown one.
        """
        self.applied_index = index
        at_unix_ms = command.proposed_at_unix_ms
        body = command.WhichOneof("body")
        result = CommandResult()
        match body:
            case "apply_text" | "compressed_apply_text":
                apply_text = read_text_command(command)
                answer = self.configuration.apply_text(apply_text, at_unix_ms)
                result.apply_text.CopyFrom(answer)
            case (
                "put_group"
                | "remove_group"
                | "drain_host"
                | "put_repair"
                | "end_repair"
                | "release_host"
                | "free_host"
            ):
                apply = getattr(self.groups, body)
                result.group.CopyFrom(apply(getattr(command, body), at_unix_ms))
            case (
                "claim"
                | "record_outcome"
                | "release_claim"
                | "abandon_claims"
                | "expire_claims"
            ):
                apply = getattr(self.ledger, f"apply_{body}")
                result.claim.CopyFrom(apply(getattr(command, body), at_unix_ms))
            case "set_evacuation":
                outcome = self.evacuations.apply(command.set_evacuation, at_unix_ms)
                result.evacuation.CopyFrom(outcome)
            case "confirm_readers":
                self.readers.apply(command.confirm_readers)
            case "record_departures":
                added = self.departures.apply(command.record_departures, at_unix_ms)
                self.on_departures(added)
        return result

    def snapshot(self) -> bytes:
        """Serialise the whole state.

        Returns
        -------
        bytes
            Serialised ``StateSnapshot``.
        """
        return StateSnapshot(
            configuration=self.configuration.to_snapshot(),
            groups=self.groups.to_snapshot(),
            ledger=self.ledger.to_snapshot(),
            evacuations=self.evacuations.to_snapshot(),
            readers=self.readers.to_snapshot(),
            departures=self.departures.to_snapshot(),
        ).SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Parameters
        ----------
        data : bytes
            Serialised ``StateSnapshot``.
        """
        snapshot = StateSnapshot.FromString(data)
        self.configuration = ConfigurationState.from_snapshot(snapshot.configuration)
        self.groups = GroupsState.from_snapshot(snapshot.groups)
        self.ledger = LedgerState.from_snapshot(snapshot.ledger)
        self.evacuations = EvacuationState.from_snapshot(snapshot.evacuations)
        self.readers = CommandReaders.from_snapshot(snapshot.readers)
        self.departures = DepartureState.from_snapshot(snapshot.departures)
        self.on_departures(self.departures.recorded())


def _ignore_departures(departures: list[Incarnation]) -> None:
    """Do nothing; the default until a component is registered."""
