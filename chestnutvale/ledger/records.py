"""The records of the ledger, indexed and kept within bounds."""

from collections import Counter

import attrs

from chestnutvale.ledger.const import (
    MAX_LEDGER_BYTES,
    MAX_RECORDS,
    MAX_WORKSPACE_SHARE,
    RECORD_OVERHEAD_BYTES,
)
from chestnutvale.schema.ledger_pb2 import Claim, ClaimRecord, RecordedAnswer


@attrs.frozen
class LedgerBounds:
    """Largest size of the ledger.

    Attributes
    ----------
    max_records : int
        Most records of all workspaces.
    max_bytes : int
        Most bytes of all records.
    max_workspace_share : float
        Share of both that one workspace may hold.
    """

    max_records: int = MAX_RECORDS
    max_bytes: int = MAX_LEDGER_BYTES
    max_workspace_share: float = MAX_WORKSPACE_SHARE


@attrs.frozen
class RecordKey:
    """What makes a call the same call; a workspace sees only its own keys.

    Attributes
    ----------
    workspace : str
        The caller's workspace.
    service : str
        The service that is called.
    key : str
        The caller's idempotency key.
    """

    workspace: str
    service: str
    key: str


def key_of(claim: Claim) -> RecordKey:
    """Return the key of a claim.

    Parameters
    ----------
    claim : Claim
        The claim.

    Returns
    -------
    RecordKey
        Its key.
    """
    return RecordKey(claim.workspace, claim.service, claim.key)


def size_of(record: ClaimRecord) -> int:
    """Return the bytes that a record counts for; its phase does not matter.

    Parameters
    ----------
    record : ClaimRecord
        The record.

    Returns
    -------
    int
        Size in bytes.
    """
    return RECORD_OVERHEAD_BYTES + record.claim.ByteSize() + record.answer.ByteSize()


class RecordTable:
    """Records by key and by claim id, with their sizes by workspace.

    Parameters
    ----------
    bounds : LedgerBounds
        Largest size.
    """

    def __init__(self, bounds: LedgerBounds) -> None:
        self._bounds = bounds
        self._records: dict[RecordKey, ClaimRecord] = {}
        self._keys: dict[str, RecordKey] = {}
        self._counts: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()
        self.total_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def records(self) -> list[ClaimRecord]:
        """Return all records in the order in which they were added."""
        return list(self._records.values())

    def find(self, key: RecordKey) -> ClaimRecord | None:
        """Return the record of a key.

        Parameters
        ----------
        key : RecordKey
            The key.

        Returns
        -------
        ClaimRecord or None
            The record, if there is one.
        """
        return self._records.get(key)

    def find_claim(self, claim_id: str) -> ClaimRecord | None:
        """Return the record that a claim holds.

        Parameters
        ----------
        claim_id : str
            Identity of the claim.

        Returns
        -------
        ClaimRecord or None
            The record, if the claim holds one.
        """
        key = self._keys.get(claim_id)
        return None if key is None else self._records[key]

    def has_room(self, workspace: str, added_bytes: int, added_records: int) -> bool:
        """Tell whether a workspace may add to the table.

        Parameters
        ----------
        workspace : str
            The workspace.
        added_bytes : int
            Bytes to add.
        added_records : int
            Records to add.

        Returns
        -------
        bool
            Whether all bounds still hold then.
        """
        bounds = self._bounds
        share = bounds.max_workspace_share
        return (
            len(self._records) + added_records <= bounds.max_records
            and self.total_bytes + added_bytes <= bounds.max_bytes
            and self._counts[workspace] + added_records <= bounds.max_records * share
            and self._bytes[workspace] + added_bytes <= bounds.max_bytes * share
        )

    def add(self, record: ClaimRecord) -> None:
        """Add a record under a new key.

        Parameters
        ----------
        record : ClaimRecord
            The record; owned by the table from here on.
        """
        key = key_of(record.claim)
        self._records[key] = record
        self._keys[record.claim.claim_id] = key
        self._counts[key.workspace] += 1
        self._count_bytes(key.workspace, size_of(record))

    def set_answer(self, record: ClaimRecord, answer: RecordedAnswer) -> None:
        """Store the answer of a record.

        Parameters
        ----------
        record : ClaimRecord
            A record of this table.
        answer : RecordedAnswer
            The answer.
        """
        before = size_of(record)
        record.answer.CopyFrom(answer)
        self._count_bytes(record.claim.workspace, size_of(record) - before)

    def remove(self, record: ClaimRecord) -> None:
        """Remove a record.

        Parameters
        ----------
        record : ClaimRecord
            A record of this table.
        """
        key = key_of(record.claim)
        del self._records[key]
        del self._keys[record.claim.claim_id]
        self._counts[key.workspace] -= 1
        self._count_bytes(key.workspace, -size_of(record))

    def _count_bytes(self, workspace: str, change: int) -> None:
        self.total_bytes += change
        self._bytes[workspace] += change
