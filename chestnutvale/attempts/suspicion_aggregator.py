"""Merges the entries' evidence about crashing requests in the control plane."""

from collections import deque

from chestnutvale.attempts.const import EVIDENCE_REPEAT_MS, MAX_REPEATED_PIECES
from chestnutvale.attempts.crash_evidence import CrashEvidence, limit_time
from chestnutvale.attempts.part_evidence import PartEvidence
from chestnutvale.schema.peer_pb2 import CrashSuspicion


class SuspicionAggregator:
    """Merges the evidence of all entries and distributes it to each of them.

    The evidence is not replicated. Every control process merges every report. Entries
    repeat recent evidence, and that of their bans to a new leader, which soon has both.
    """

    def __init__(self) -> None:
        self.evidence = CrashEvidence()
        self.parts = PartEvidence()
        # Arrival time in Unix milliseconds and evidence, newest last.
        self._recent: deque[tuple[int, CrashSuspicion]] = deque(
            maxlen=MAX_REPEATED_PIECES
        )

    def merge(self, suspicions: list[CrashSuspicion], now_unix_ms: int) -> bool:
        """Merge the evidence of a report.

        Parameters
        ----------
        suspicions : list of CrashSuspicion
            The evidence.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        bool
            Whether any of it was new, so that a view should be pushed to the entries.
        """
        new = [piece for piece in suspicions if self._add(piece, now_unix_ms)]
        self._recent.extend((now_unix_ms, suspicion) for suspicion in new)
        self._forget_old(now_unix_ms)
        return bool(new)

    def recent_evidence(self, now_unix_ms: int) -> list[CrashSuspicion]:
        """Return the recent evidence for a view.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of CrashSuspicion
            Evidence that arrived within the repeat time.
        """
        self._forget_old(now_unix_ms)
        return [suspicion for _, suspicion in self._recent]

    def all_evidence(self, now_unix_ms: int) -> list[CrashSuspicion]:
        """Return all evidence, for the first view of an entry.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of CrashSuspicion
            All evidence within the retention time.
        """
        self._forget_old(now_unix_ms)
        cleared = [
            CrashSuspicion(
                fingerprint=fingerprint, crashed_at_unix_ms=at_unix_ms, cleared=True
            )
            for fingerprint, at_unix_ms in self.evidence.cleared().items()
        ]
        return [
            *cleared,
            *self.parts.to_clears(),
            *self.evidence.to_suspicions(),
            *self.parts.to_suspicions(),
        ]

    def _add(self, suspicion: CrashSuspicion, now_unix_ms: int) -> bool:
        limit_time(suspicion, now_unix_ms)
        is_new = self.evidence.add(suspicion)
        return self.parts.add(suspicion) or is_new

    def _forget_old(self, now_unix_ms: int) -> None:
        self.evidence.expire(now_unix_ms)
        self.parts.expire(now_unix_ms)
        oldest = now_unix_ms - EVIDENCE_REPEAT_MS
        while self._recent and self._recent[0][0] <= oldest:
            self._recent.popleft()
