"""Configurations that operators send as documents in another format."""

from collections.abc import Callable
from typing import Final

import logbook
from eventlet import tpool
from eventlet.semaphore import Semaphore

from chestnutvale.configuration.checks import find_document_faults
from chestnutvale.configuration.const import STEP_PARSE_TEXT
from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.exceptions import TextError, TextProblem
from chestnutvale.configuration.service_names import keep_service_names
from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.schema.configuration_pb2 import ApplyText, Text

_LOGGER = logbook.Logger(__name__)

# Larger documents are parsed in a native thread.
SMALL_DOCUMENT_BYTES: Final = 32 * 1024


class DocumentStore:
    """Commits numbered documents and returns the newest one.

    The highest number wins: a document whose number is not above the one in force is
    acknowledged without effect.

    Parameters
    ----------
    operations : ControlOperations
        Commits and reads texts.
    read_text : callable
        Converts a document to a text; raises a `ChestnutError` on failure.
    """

    def __init__(
        self, operations: ControlOperations, read_text: Callable[[bytes], Text]
    ) -> None:
        self._operations = operations
        self._read_text = read_text
        self._checking = Semaphore()

    def replace(self, document: bytes, deadline_s: float) -> int:
        """Commit a document if its number is above the one in force.

        Parameters
        ----------
        document : bytes
            The document as received from the operator.
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Returns
        -------
        int
            Number in force after the call.

        Raises
        ------
        TextError
            If the document is invalid.
        NotLeaderError
            If this control does not lead; nothing was proposed.
        ChestnutError
            If the outcome is unknown: the document may still come into force.
        """
        if not self._operations.is_leader():
            leader_id = self._operations.leader_id()
            raise NotLeaderError(leader_id, step=STEP_PARSE_TEXT)
        if len(document) <= SMALL_DOCUMENT_BYTES:
            text, digest = self._check_document(document)
        else:
            # In this thread, heartbeats would wait for as long as it takes. One at a
            # time, since a parsed document takes many times its size.
            with self._checking:
                text, digest = tpool.execute(self._check_document, document)
        keep_service_names(text, self._operations.text_in_force())
        command = ApplyText(
            text=text,
            digest=digest,
            highest_wins=True,
            document=document,
        )
        result = self._operations.apply_text(command, deadline_s)
        _LOGGER.info(
            "Document {} of {} bytes received: outcome {}, number {} in force",
            text.number,
            len(document),
            result.outcome,
            result.number_in_force,
        )
        return result.number_in_force

    def _check_document(self, document: bytes) -> tuple[Text, str]:
        """Return the text of a valid document and its digest, equal for a resend."""
        text = self._read_text(document)
        faults = find_document_faults(text)
        if faults:
            raise TextError(TextProblem(1, path, reason) for path, reason in faults)
        return text, compute_text_digest(text)

    def read(self, deadline_s: float) -> bytes:
        """Return the document in force, confirmed by a quorum.

        Parameters
        ----------
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Returns
        -------
        bytes
            The document as received; empty before the first one.

        Raises
        ------
        NotLeaderError
            If this control does not lead.
        OutcomeUnknownError
            If no quorum confirmed the read before the deadline.
        """
        try:
            document = self._operations.read_document(deadline_s)
        except ChestnutError as error:
            _LOGGER.info("Document not read: {}", error)
            raise
        _LOGGER.debug("Document of {} bytes read", len(document))
        return document
