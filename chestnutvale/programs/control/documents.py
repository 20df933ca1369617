"""Configurations that operators send as documents of another form."""

from collections.abc import Callable

import logbook

from chestnutvale.configuration.checks import find_document_faults
from chestnutvale.configuration.const import STEP_PARSE_TEXT
from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.schema.configuration_pb2 import ApplyText, Text

_LOGGER = logbook.Logger(__name__)


class DocumentStore:
    """Accepts documents by their number and gives back the newest one.

    The highest number wins. A document whose number is not above the one in force is
    acknowledged and changes nothing.

    Parameters
    ----------
    operations : ControlOperations
        Commits and reads texts.
    read_text : callable
        Translates a document into a text; raises a `ChestnutError` if it can't.
    """

    def __init__(
        self, operations: ControlOperations, read_text: Callable[[bytes], Text]
    ) -> None:
        self._operations = operations
        self._read_text = read_text

    def replace(self, document: bytes, deadline_s: float) -> int:
        """Put a document in force.

        Parameters
        ----------
        document : bytes
            The document as the operator sent it.
        deadline_s : float
            Monotonic time in seconds at which to give up.

        Returns
        -------
        int
            Number in force afterwards.

        Raises
        ------
        TextError
            If the document has a fault.
        NotLeaderError
            If another control has to be asked; nothing was proposed.
        ChestnutError
            If nobody can tell whether it will be in force.
        """
        text = self._read_text(document)
        faults = find_document_faults(text)
        if faults:
            raise TextError(TextProblem(1, path, reason) for path, reason in faults)
        if not self._operations.is_leader():
            leader_id = self._operations.leader_id()
            raise NotLeaderError(leader_id, step=STEP_PARSE_TEXT)
        command = ApplyText(
            text=text,
            digest=compute_text_digest(text),
            highest_wins=True,
            document=document,
        )
        result = self._operations.apply_text(command, deadline_s)
        _LOGGER.info(
            "Document {}: {}, {} in force",
            text.number,
            result.outcome,
            result.number_in_force,
        )
        return result.number_in_force

    def read(self, deadline_s: float) -> bytes:
        """Return the document in force, confirmed by a quorum.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds at which to give up.

        Returns
        -------
        bytes
            The document as it was sent; empty before the first one.

        Raises
        ------
        NotLeaderError
            If another control has to be asked.
        OutcomeUnknownError
            If no quorum confirmed it in time.
        """
        return self._operations.read_document(deadline_s)
