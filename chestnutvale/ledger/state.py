"""The replicated state of the call ledger."""

from typing import Self

from chestnutvale.ledger.const import (
    CLAIM_CLAIMED,
    CLAIM_DONE,
    CLAIM_FULL,
    CLAIM_GRACE_MS,
    CLAIM_INVALID,
    CLAIM_MISMATCH,
    CLAIM_RECORDED,
    CLAIM_RELEASED,
    CLAIM_RUNNING,
    CLAIM_UNKNOWN,
    KEY_RETENTION_MS,
    MAX_ANSWER_BYTES,
    MAX_ANSWER_HEADERS_BYTES,
    MAX_CLAIM_DURATION_MS,
    MAX_KEY_BYTES,
    MAX_RELEASED_CLAIMS,
    PHASE_RECORDED,
    PHASE_RUNNING,
    PHASE_UNKNOWN,
    RELEASED_RETENTION_MS,
)
from chestnutvale.ledger.records import (
    LedgerBounds,
    RecordTable,
    compute_record_size_bytes,
    make_record_key,
)
from chestnutvale.schema.ledger_pb2 import (
    AbandonClaims,
    Claim,
    ClaimRecord,
    ClaimResult,
    ExpireClaims,
    LedgerSnapshot,
    RecordedAnswer,
    RecordOutcome,
    ReleaseClaim,
    ReleasedClaim,
)


def limit_answer_size(answer: RecordedAnswer) -> RecordedAnswer:
    """Reduce an answer to the size limits for recording.

    A body or headers above their limit are dropped entirely, never truncated.

    Parameters
    ----------
    answer : RecordedAnswer
        The answer of the endpoint.

    Returns
    -------
    RecordedAnswer
        The answer to record.
    """
    fitted = RecordedAnswer()
    fitted.CopyFrom(answer)
    headers = (*answer.header_names, *answer.header_values)
    if sum(map(len, headers)) > MAX_ANSWER_HEADERS_BYTES:
        del fitted.header_names[:]
        del fitted.header_values[:]
    if len(answer.body) > MAX_ANSWER_BYTES:
        fitted.body = b""
        fitted.body_dropped = True
    return fitted


class LedgerState:
    """Tracks who may run a non-repeatable call, and its outcome.

    A key is claimed once. Only the claim that holds it may run the call; the
    key is free again if that claim is released, or `KEY_RETENTION_MS` after
    the claim was taken. Every replica applies the same commands with the same
    times, so all of them hold the same records.

    Parameters
    ----------
    bounds : LedgerBounds, optional
        Size limits; must be the same on all replicas.
    """

    def __init__(self, bounds: LedgerBounds | None = None) -> None:
        self._table = RecordTable(bounds or LedgerBounds())
        # Released claim ids with their expiry in Unix milliseconds, oldest first.
        self._released_claim_expiries: dict[str, int] = {}

    @classmethod
    def from_snapshot(
        cls, message: LedgerSnapshot, bounds: LedgerBounds | None = None
    ) -> Self:
        """Build the state from a snapshot.

        Parameters
        ----------
        message : LedgerSnapshot
            The snapshot.
        bounds : LedgerBounds, optional
            Size limits.

        Returns
        -------
        LedgerState
            The state.
        """
        state = cls(bounds)
        for record in message.records:
            copy = ClaimRecord()
            copy.CopyFrom(record)
            state._table.add(copy)
        for released in message.released:
            state._released_claim_expiries[released.claim_id] = (
                released.expires_at_unix_ms
            )
        return state

    def to_snapshot(self) -> LedgerSnapshot:
        """Return all records as a snapshot."""
        released = [
            ReleasedClaim(claim_id=claim_id, expires_at_unix_ms=expiry)
            for claim_id, expiry in self._released_claim_expiries.items()
        ]
        return LedgerSnapshot(records=self._table.all_records(), released=released)

    @property
    def record_count(self) -> int:
        """Number of records."""
        return len(self._table)

    @property
    def size_bytes(self) -> int:
        """Accounted size of all records in bytes."""
        return self._table.total_size_bytes

    def running_claim_holders(self) -> set[tuple[str, str]]:
        """Return entry id and incarnation of all holders of running claims."""
        return {
            (record.claim.entry_id, record.claim.entry_incarnation)
            for record in self._table.running_records()
        }

    def needs_expiry(self, now_unix_ms: int) -> bool:
        """Return whether `ExpireClaims` would change anything.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        bool
            Whether a record has expired, so that the command should be proposed.
        """
        next_expiry_unix_ms = self._table.next_expiry_unix_ms()
        if next_expiry_unix_ms is not None and next_expiry_unix_ms <= now_unix_ms:
            return True
        oldest_release_unix_ms = next(
            iter(self._released_claim_expiries.values()), None
        )
        if oldest_release_unix_ms is not None and oldest_release_unix_ms <= now_unix_ms:
            return True
        return any(
            _is_record_overdue(r, now_unix_ms) for r in self._table.running_records()
        )

    def apply_claim(self, message: Claim, at_unix_ms: int) -> ClaimResult:
        """Claim a key, or return the current status of the key.

        Idempotent: a repeated claim gets the same result, so that a caller can
        retry after a lost reply.

        Parameters
        ----------
        message : Claim
            The claim.
        at_unix_ms : int
            Time of the command in Unix milliseconds.

        Returns
        -------
        ClaimResult
            ``claimed`` only if this claim may run the call.
        """
        if not _is_valid(message):
            return ClaimResult(outcome=CLAIM_INVALID)
        if message.claim_id in self._released_claim_expiries:
            return ClaimResult(outcome=CLAIM_RELEASED)
        record = self._table.find(make_record_key(message))
        if record is not None and record.expires_at_unix_ms <= at_unix_ms:
            self._table.remove(record)
            record = None
        if record is not None:
            return _make_existing_claim_result(record, message)
        if self._table.find_claim(message.claim_id) is not None:
            return ClaimResult(outcome=CLAIM_INVALID)
        if message.deadline_unix_ms and _is_claim_overdue(message, at_unix_ms):
            # The holder no longer runs the call, so it must not hold the key.
            return ClaimResult(outcome=CLAIM_RELEASED)
        return self._add_claim_record(message, at_unix_ms)

    def apply_record_outcome(
        self, message: RecordOutcome, at_unix_ms: int
    ) -> ClaimResult:
        """Record the answer of a claim's call; later answers are ignored.

        Without an answer the outcome of the call becomes unknown immediately.

        Parameters
        ----------
        message : RecordOutcome
            Claim id and optional answer.
        at_unix_ms : int
            Time of the command in Unix milliseconds.

        Returns
        -------
        ClaimResult
            ``done``, or ``invalid`` if no record is held by the claim.
        """
        record = self._table.find_claim(message.claim_id)
        if record is None:
            return ClaimResult(outcome=CLAIM_INVALID)
        if record.phase == PHASE_RECORDED:
            return ClaimResult(outcome=CLAIM_DONE)
        if not message.HasField("answer"):
            self._table.set_phase(record, PHASE_UNKNOWN)
            return ClaimResult(outcome=CLAIM_DONE)
        answer = limit_answer_size(message.answer)
        if not self._table.has_room(record.claim.workspace, answer.ByteSize(), 0):
            answer = RecordedAnswer(status=answer.status, body_dropped=True)
        self._table.set_answer(record, answer)
        self._table.set_phase(record, PHASE_RECORDED)
        return ClaimResult(outcome=CLAIM_DONE)

    def apply_release_claim(
        self, message: ReleaseClaim, at_unix_ms: int
    ) -> ClaimResult:
        """Release the key of a call that was provably not sent.

        The claim id is rejected afterwards, because a duplicate of the claim
        may still be in transit.

        Parameters
        ----------
        message : ReleaseClaim
            The claim.
        at_unix_ms : int
            Time of the command in Unix milliseconds.

        Returns
        -------
        ClaimResult
            ``done``, or ``invalid`` if the call has a recorded answer.
        """
        record = self._table.find_claim(message.claim_id)
        if record is not None and record.phase == PHASE_RECORDED:
            return ClaimResult(outcome=CLAIM_INVALID)
        if record is not None:
            self._table.remove(record)
        if message.claim_id:
            self._record_release(message.claim_id, at_unix_ms)
        return ClaimResult(outcome=CLAIM_DONE)

    def apply_abandon_claims(
        self, message: AbandonClaims, at_unix_ms: int
    ) -> ClaimResult:
        """Mark running claims of earlier incarnations of an entry as unknown.

        Parameters
        ----------
        message : AbandonClaims
            Entry id and its live incarnation.
        at_unix_ms : int
            Time of the command in Unix milliseconds.

        Returns
        -------
        ClaimResult
            ``done``.
        """
        for record in self._table.running_records():
            claim = record.claim
            if (
                claim.entry_id == message.entry_id
                and claim.entry_incarnation != message.live_incarnation
            ):
                self._table.set_phase(record, PHASE_UNKNOWN)
        return ClaimResult(outcome=CLAIM_DONE)

    def apply_expire_claims(
        self, message: ExpireClaims, at_unix_ms: int
    ) -> ClaimResult:
        """Remove expired keys and mark overdue claims as unknown.

        Parameters
        ----------
        message : ExpireClaims
            Time up to which to expire.
        at_unix_ms : int
            Time of the command in Unix milliseconds.

        Returns
        -------
        ClaimResult
            ``done``.
        """
        now_unix_ms = message.now_unix_ms
        self._table.remove_expired(now_unix_ms)
        for record in self._table.running_records():
            if _is_record_overdue(record, now_unix_ms):
                self._table.set_phase(record, PHASE_UNKNOWN)
        self._released_claim_expiries = {
            claim_id: expiry
            for claim_id, expiry in self._released_claim_expiries.items()
            if expiry > now_unix_ms
        }
        return ClaimResult(outcome=CLAIM_DONE)

    def _add_claim_record(self, claim: Claim, at_unix_ms: int) -> ClaimResult:
        record = ClaimRecord(
            claim=claim,
            phase=PHASE_RUNNING,
            expires_at_unix_ms=at_unix_ms + KEY_RETENTION_MS,
        )
        latest = at_unix_ms + MAX_CLAIM_DURATION_MS
        record.claim.deadline_unix_ms = min(claim.deadline_unix_ms or latest, latest)
        if not self._table.has_room(
            claim.workspace, compute_record_size_bytes(record), 1
        ):
            return ClaimResult(outcome=CLAIM_FULL)
        self._table.add(record)
        return ClaimResult(outcome=CLAIM_CLAIMED)

    def _record_release(self, claim_id: str, at_unix_ms: int) -> None:
        self._released_claim_expiries.pop(claim_id, None)
        self._released_claim_expiries[claim_id] = at_unix_ms + RELEASED_RETENTION_MS
        if len(self._released_claim_expiries) > MAX_RELEASED_CLAIMS:
            del self._released_claim_expiries[next(iter(self._released_claim_expiries))]


def _is_valid(claim: Claim) -> bool:
    return bool(
        claim.workspace
        and claim.service
        and claim.key
        and claim.claim_id
        and len(claim.key.encode()) <= MAX_KEY_BYTES
    )


def _is_record_overdue(record: ClaimRecord, now_unix_ms: int) -> bool:
    return _is_claim_overdue(record.claim, now_unix_ms)


def _is_claim_overdue(claim: Claim, now_unix_ms: int) -> bool:
    return claim.deadline_unix_ms + CLAIM_GRACE_MS <= now_unix_ms


def _make_existing_claim_result(record: ClaimRecord, claim: Claim) -> ClaimResult:
    if record.claim.body_sha256 != claim.body_sha256:
        return ClaimResult(outcome=CLAIM_MISMATCH)
    if record.phase == PHASE_RECORDED:
        return ClaimResult(outcome=CLAIM_RECORDED, answer=record.answer)
    if record.phase == PHASE_UNKNOWN:
        return ClaimResult(outcome=CLAIM_UNKNOWN)
    if record.claim.claim_id == claim.claim_id:
        return ClaimResult(outcome=CLAIM_CLAIMED)
    return ClaimResult(outcome=CLAIM_RUNNING)
