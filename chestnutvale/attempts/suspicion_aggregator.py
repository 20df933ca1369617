"""The leading control's merged evidence about requests that crash groups."""

from chestnutvale.attempts.const import EVIDENCE_REPEAT_MS
from chestnutvale.attempts.crash_evidence import CrashEvidence
from chestnutvale.schema.peer_pb2 import CrashSuspicion


class SuspicionAggregator:
    """Merges the evidence of all entries and gives it to each of them.

    Nothing here is replicated: every control merges every report, and the
    entries repeat recent evidence, so that a new leader soon knows it too.
    """

    def __init__(self) -> None:
        self.evidence = CrashEvidence()
        # Arrival of each piece of evidence in Unix milliseconds, newest last.
        self._recent: list[tuple[int, CrashSuspicion]] = []

    def merge(self, suspicions: list[CrashSuspicion], now_unix_ms: int) -> bool:
        """Take in the evidence of a report.

        Parameters
        ----------
        suspicions : list of CrashSuspicion
            The evidence.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        bool
            Whether any of it was new, so that a view is worth pushing.
        """
        new = [suspicion for suspicion in suspicions if self.evidence.add(suspicion)]
        self._recent.extend((now_unix_ms, suspicion) for suspicion in new)
        self._forget_old(now_unix_ms)
        return bool(new)

    def recent_evidence(self, now_unix_ms: int) -> list[CrashSuspicion]:
        """Return what to put into each view.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of CrashSuspicion
            Evidence that arrived a short time ago.
        """
        self._forget_old(now_unix_ms)
        return [suspicion for _, suspicion in self._recent]

    def all_evidence(self, now_unix_ms: int) -> list[CrashSuspicion]:
        """Return what to put into a view for an entry that knows nothing.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of CrashSuspicion
            All evidence that still counts.
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
