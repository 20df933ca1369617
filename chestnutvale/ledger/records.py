"""Indexed table of ledger records with size limits."""

import heapq
from collections import Counter

import attrs

from chestnutvale.ledger.const import (
    MAX_LEDGER_BYTES,
    MAX_RECORDS,
    MAX_WORKSPACE_SHARE,
    PHASE_RUNNING,
    RECORD_OVERHEAD_BYTES,
)
from chestnutvale.schema.ledger_pb2 import Claim, ClaimRecord, RecordedAnswer


@attrs.frozen
class LedgerBounds:
    """Size limits of the ledger.

    Attributes
    ----------
    max_records : int
        Maximum number of records of all workspaces.
    max_bytes : int
        Maximum size of all records, in bytes.
    max_workspace_share : float
        Fraction of both limits that one workspace may use.
    """

    max_records: int = MAX_RECORDS
    max_bytes: int = MAX_LEDGER_BYTES
    max_workspace_share: float = MAX_WORKSPACE_SHARE


@attrs.frozen
class RecordKey:
    """Identity of a call; keys are scoped to a workspace and a service.

    Attributes
    ----------
    workspace : str
        Workspace of the caller.
    service : str
        Name of the called service.
    key : str
        Idempotency key from the caller.
    """

    workspace: str
    service: str
    key: str


def make_record_key(claim: Claim) -> RecordKey:
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


def compute_record_size_bytes(record: ClaimRecord) -> int:
    """Return the accounted size of a record, independent of its phase.

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


# Heap entries allowed beyond twice the number of records before the entries of
# removed records are dropped.
MAX_STALE_HEAP_ENTRIES = 1_000


class RecordTable:
    """Records by key, claim id and expiry, with sizes per workspace.

    Parameters
    ----------
    bounds : LedgerBounds
        Size limits.
    """

    def __init__(self, bounds: LedgerBounds) -> None:
        self._bounds = bounds
        self._records: dict[RecordKey, ClaimRecord] = {}
        self._keys_by_claim_id: dict[str, RecordKey] = {}
        self._running_by_claim_id: dict[str, ClaimRecord] = {}
        # Expiry in Unix milliseconds and claim id; entries of removed records are
        # discarded lazily.
        self._expiry_heap: list[tuple[int, str]] = []
        self._record_counts: Counter[str] = Counter()
        self._workspace_bytes: Counter[str] = Counter()
        self.total_size_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def all_records(self) -> list[ClaimRecord]:
        """Return all records in insertion order."""
        return list(self._records.values())

    def running_records(self) -> list[ClaimRecord]:
        """Return the records whose call is running."""
        return list(self._running_by_claim_id.values())

    def next_expiry_unix_ms(self) -> int | None:
        """Return the next record expiry; None if there are no records."""
        while self._expiry_heap and not self._is_current_expiry(self._expiry_heap[0]):
            heapq.heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def remove_expired(self, now_unix_ms: int) -> None:
        """Remove expired records.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        while (expiry := self.next_expiry_unix_ms()) is not None:
            if expiry > now_unix_ms:
                return
            _, claim_id = heapq.heappop(self._expiry_heap)
            self.remove(self._records[self._keys_by_claim_id[claim_id]])

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
        key = self._keys_by_claim_id.get(claim_id)
        return None if key is None else self._records[key]

    def has_room(self, workspace: str, added_bytes: int, added_records: int) -> bool:
        """Return whether a workspace may add to the table.

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
            Whether all limits would still hold.
        """
        bounds = self._bounds
        share = bounds.max_workspace_share
        return (
            len(self._records) + added_records <= bounds.max_records
            and self.total_size_bytes + added_bytes <= bounds.max_bytes
            and self._record_counts[workspace] + added_records
            <= bounds.max_records * share
            and self._workspace_bytes[workspace] + added_bytes
            <= bounds.max_bytes * share
        )

    def add(self, record: ClaimRecord) -> None:
        """Add a record under a new key.

        Parameters
        ----------
        record : ClaimRecord
            Record to add; owned by the table afterwards.
        """
        key = make_record_key(record.claim)
        self._records[key] = record
        self._keys_by_claim_id[record.claim.claim_id] = key
        heapq.heappush(
            self._expiry_heap, (record.expires_at_unix_ms, record.claim.claim_id)
        )
        self.set_phase(record, record.phase)
        self._record_counts[key.workspace] += 1
        self._adjust_size(key.workspace, compute_record_size_bytes(record))

    def set_phase(self, record: ClaimRecord, phase: str) -> None:
        """Change the phase of a record.

        Parameters
        ----------
        record : ClaimRecord
            A record of this table.
        phase : str
            One of the ``PHASE_*`` constants.
        """
        record.phase = phase
        if phase == PHASE_RUNNING:
            self._running_by_claim_id[record.claim.claim_id] = record
        else:
            self._running_by_claim_id.pop(record.claim.claim_id, None)

    def set_answer(self, record: ClaimRecord, answer: RecordedAnswer) -> None:
        """Store the answer of a record.

        Parameters
        ----------
        record : ClaimRecord
            A record of this table.
        answer : RecordedAnswer
            The answer.
        """
        before = compute_record_size_bytes(record)
        record.answer.CopyFrom(answer)
        self._adjust_size(
            record.claim.workspace, compute_record_size_bytes(record) - before
        )

    def remove(self, record: ClaimRecord) -> None:
        """Remove a record.

        Parameters
        ----------
        record : ClaimRecord
            A record of this table.
        """
        key = make_record_key(record.claim)
        del self._records[key]
        del self._keys_by_claim_id[record.claim.claim_id]
        self._running_by_claim_id.pop(record.claim.claim_id, None)
        self._record_counts[key.workspace] -= 1
        self._adjust_size(key.workspace, -compute_record_size_bytes(record))
        if len(self._expiry_heap) > 2 * len(self._records) + MAX_STALE_HEAP_ENTRIES:
            self._drop_stale_heap_entries()

    def _drop_stale_heap_entries(self) -> None:
        self._expiry_heap = [
            item for item in self._expiry_heap if self._is_current_expiry(item)
        ]
        heapq.heapify(self._expiry_heap)

    def _is_current_expiry(self, item: tuple[int, str]) -> bool:
        record = self.find_claim(item[1])
        return record is not None and record.expires_at_unix_ms == item[0]

    def _adjust_size(self, workspace: str, change: int) -> None:
        self.total_size_bytes += change
        self._workspace_bytes[workspace] += change
