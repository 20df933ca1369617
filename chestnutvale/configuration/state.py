"""Replicated state machine of the configuration text."""

from collections import OrderedDict
from typing import Self

from chestnutvale.configuration.const import (
    ACCEPTED_NUMBERS_KEPT,
    OUTCOME_ACCEPTED,
    OUTCOME_CONFLICT,
    OUTCOME_OVERTAKEN,
    OUTCOME_RESENT,
)
from chestnutvale.configuration.service_names import ServiceNames
from chestnutvale.schema.configuration_pb2 import (
    AcceptedNumber,
    ApplyText,
    ApplyTextResult,
    ConfigurationSnapshot,
    Text,
)


class ConfigurationState:
    """The text in force; deterministic, so all replicas reach the same state.

    A command is accepted if its number is above the one in force. A command with a
    number and digest that were accepted before is a resend and succeeds again, even
    if a later text is in force by then. Any other command is a conflict. If it has
    ``highest_wins`` set, its outcome is "overtaken" instead. Only an accepted command
    changes the state.

    Attributes
    ----------
    text : Text
        The text in force; empty with number 0 before the first one.
    service_names : ServiceNames
        Names of its services.
    digest : str
        Digest of the text; empty before the first one.
    operator : str
        Identity of the operator who applied the text.
    accepted_at_unix_ms : int
        Time of acceptance in milliseconds since the Unix epoch, by the wall clock of
        the replica that proposed it.
    document : bytes
        The document as the operator sent it; empty if it is not retained.
    """

    def __init__(self) -> None:
        self.text = Text()
        self.service_names = ServiceNames()
        self.digest = ""
        self.operator = ""
        self.accepted_at_unix_ms = 0
        self.document = b""
        self._accepted: OrderedDict[int, str] = OrderedDict()

    @property
    def number(self) -> int:
        """Number of the text in force; 0 before the first one."""
        return self.text.number

    def is_accepted(self, number: int, digest: str) -> bool:
        """Return whether exactly this text was accepted under this number.

        Parameters
        ----------
        number : int
            Number of the text.
        digest : str
            Digest of the text.

        Returns
        -------
        bool
            False also if the number is older than the ``ACCEPTED_NUMBERS_KEPT``
            remembered ones.
        """
        return self._accepted.get(number) == digest

    def apply_text(self, command: ApplyText, at_unix_ms: int) -> ApplyTextResult:
        """Apply a command and return its outcome.

        Parameters
        ----------
        command : ApplyText
            The validated text with its digest.
        at_unix_ms : int
            Wall-clock time of the proposer in milliseconds since the Unix epoch.

        Returns
        -------
        ApplyTextResult
            The outcome, with number, digest and operator of the text in force
            afterwards.
        """
        if self.is_accepted(command.text.number, command.digest):
            return self._make_result(OUTCOME_RESENT)
        if command.text.number <= self.number:
            rejection = OUTCOME_OVERTAKEN if command.highest_wins else OUTCOME_CONFLICT
            return self._make_result(rejection)
        self.text = Text()
        self.text.CopyFrom(command.text)
        self.service_names = ServiceNames.from_text(self.text)
        self.digest = command.digest
        self.operator = command.operator
        self.accepted_at_unix_ms = at_unix_ms
        self.document = command.document
        self._accepted[self.number] = self.digest
        if len(self._accepted) > ACCEPTED_NUMBERS_KEPT:
            self._accepted.popitem(last=False)
        return self._make_result(OUTCOME_ACCEPTED)

    def to_snapshot(self) -> ConfigurationSnapshot:
        """Serialise the complete state for a snapshot.

        Returns
        -------
        ConfigurationSnapshot
            A copy of the state.
        """
        return ConfigurationSnapshot(
            text=self.text,
            digest=self.digest,
            operator=self.operator,
            accepted_at_unix_ms=self.accepted_at_unix_ms,
            document=self.document,
            accepted=[
                AcceptedNumber(number=number, digest=digest)
                for number, digest in self._accepted.items()
            ],
        )

    @classmethod
    def from_snapshot(cls, snapshot: ConfigurationSnapshot) -> Self:
        """Restore the state from a snapshot.

        Parameters
        ----------
        snapshot : ConfigurationSnapshot
            A snapshot made by `to_snapshot`.

        Returns
        -------
        ConfigurationState
            The restored state.
        """
        state = cls()
        state.text.CopyFrom(snapshot.text)
        state.service_names = ServiceNames.from_text(state.text)
        state.digest = snapshot.digest
        state.operator = snapshot.operator
        state.accepted_at_unix_ms = snapshot.accepted_at_unix_ms
        state.document = snapshot.document
        for accepted in snapshot.accepted:
            state._accepted[accepted.number] = accepted.digest
        return state

    def _make_result(self, outcome: str) -> ApplyTextResult:
        return ApplyTextResult(
            outcome=outcome,
            number_in_force=self.number,
            digest_in_force=self.digest,
            operator_in_force=self.operator,
            accepted_at_unix_ms=self.accepted_at_unix_ms,
        )
