"""Merges the entries' evidence about crashing requests in the control plane."""

from chestnutvale.attempts.const import EVIDENCE_REPEAT_MS
from chestnutvale.attempts.crash_evidence import CrashEvidence
from chestnutvale.schema.peer_pb2 import CrashSuspicion


class SuspicionAggregator:
    """Merges the evidence of all entries and distributes it to each of them.

    The evidence is not replicated. Every control process merges every report and
    entries repeat recent evidence, so a new leader soon has it too.
    """

    def __init__(self) -> None:
        self.evidence = CrashEvidence()
        # Arrival time in Unix milliseconds and evidence, newest last.
        self._recent: list[tuple[int, CrashSuspicion]] = []

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
        new = [suspicion for suspicion in suspicions if self.evidence.add(suspicion)]
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
        suspected = [
            CrashSuspicion(
                fingerprint=fingerprint,
                group_id=crash.crash_id.group_id,
                epoch=crash.crash_id.epoch,
                crashed_at_unix_ms=crash.at_unix_ms,
                fabric_domain=crash.fabric_domain,
                ran_ms=ran_ms,
            )
            for crash in self.evidence.crashes()
            for fingerprint, ran_ms in crash.suspects.items()
        ]
        return cleared + suspected

    def _forget_old(self, now_unix_ms: int) -> None:
        self.evidence.expire(now_unix_ms)
        oldest = now_unix_ms - EVIDENCE_REPEAT_MS
        self._recent = [piece for piece in self._recent if piece[0] > oldest]
