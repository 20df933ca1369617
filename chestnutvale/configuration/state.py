"""The replicated state of the configuration: one text, accepted by number."""

from collections import OrderedDict
from typing import Self

from chestnutvale.configuration.const import (
    ACCEPTED_NUMBERS_KEPT,
    OUTCOME_ACCEPTED,
    OUTCOME_CONFLICT,
    OUTCOME_OVERTAKEN,
    OUTCOME_RESENT,
)
from chestnutvale.schema.configuration_pb2 import (
    AcceptedNumber,
    ApplyText,
    ApplyTextResult,
    ConfigurationSnapshot,
    Text,
)


class ConfigurationState:
    """The text in force; every replica that applies the same commands agrees.

    A command is accepted if its number is above the one in force. The same text
    under a number that was accepted before is a resend and gets the first answer
    again, also if a later text is in force by then. Everything else is a conflict,
    unless the command says that the highest number wins: then it is overtaken, which
    changes nothing.

    Attributes
    ----------
    text : Text
        The text in force; empty with number 0 before the first one.
    digest : str
        Its digest; empty before the first text.
    operator : str
        Who applied it.
    accepted_at_unix_ms : int
        When it was accepted, by the proposer's wall clock, in milliseconds.
    document : bytes
        The text as its operator sent it; empty if that is not kept.
    """

    def __init__(self) -> None:
        self.text = Text()
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
        """Return whether this very text was accepted under this number.

        Parameters
        ----------
        number : int
            Number of the text.
        digest : str
            Digest of the text.

        Returns
        -------
        bool
            False also if the number is older than those remembered.
        """
        return self._accepted.get(number) == digest

    def apply_text(self, command: ApplyText, at_unix_ms: int) -> ApplyTextResult:
        """Accept a text, or say why not.

        Parameters
        ----------
        command : ApplyText
            The checked text with its digest.
        at_unix_ms : int
            Wall-clock time of the proposer in milliseconds.

        Returns
        -------
        ApplyTextResult
            The outcome and what is in force afterwards.
        """
        if self.is_accepted(command.text.number, command.digest):
            return self._make_result(OUTCOME_RESENT)
        if command.text.number <= self.number:
            rejection = OUTCOME_OVERTAKEN if command.highest_wins else OUTCOME_CONFLICT
            return self._make_result(rejection)
        self.text = Text()
        self.text.CopyFrom(command.text)
        self.digest = command.digest
        self.operator = command.operator
        self.accepted_at_unix_ms = at_unix_ms
        self.document = command.document
        self._accepted[self.number] = self.digest
        if len(self._accepted) > ACCEPTED_NUMBERS_KEPT:
            self._accepted.popitem(last=False)
        return self._make_result(OUTCOME_ACCEPTED)

    def to_snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state.

        Returns
        -------
        ConfigurationSnapshot
            The state.
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
        """Restore the state.

        Parameters
        ----------
        snapshot : ConfigurationSnapshot
            What `to_snapshot` returned.

        Returns
        -------
        ConfigurationState
            The state.
        """
        state = cls()
        state.text.CopyFrom(snapshot.text)
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
