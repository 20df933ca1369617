"""Identifies requests that crash groups among those that ran at the same time."""

from collections import Counter

import attrs

from chestnutvale.attempts.const import (
    BAN_CRASHES,
    BAN_CRASHES_AMBIGUOUS,
    BAN_CRASHES_SLOW,
    BAN_MS,
    DOMAIN_FAULT_MS,
    EVIDENCE_RETENTION_MS,
    EVIDENCE_SETTLE_MS,
    MAX_CRASHES,
    MAX_SUSPECTS,
    QUICK_CRASH_MS,
)
from chestnutvale.schema.peer_pb2 import CrashSuspicion


def limit_time(suspicion: CrashSuspicion, now_unix_ms: int) -> None:
    """Limit the time of a received piece of evidence to that of the own clock.

    Otherwise no answer could clear a request of a crash that was reported by a process
    whose clock is ahead.

    Parameters
    ----------
    suspicion : CrashSuspicion
        The evidence; modified in place.
    now_unix_ms : int
        Wall-clock time in milliseconds.
    """
    if suspicion.crashed_at_unix_ms > now_unix_ms:
        suspicion.crashed_at_unix_ms = now_unix_ms


@attrs.frozen
class CrashId:
    """Identity of a crash; a repaired group has a new epoch.

    Attributes
    ----------
    group_id : str
        The group.
    epoch : int
        Epoch of the group when it crashed.
    """

    group_id: str
    epoch: int


@attrs.define
class Crash:
    """Crash of one group, with the requests that it was running.

    Attributes
    ----------
    crash_id : CrashId
        Identity of the crash.
    fabric_domain : str
        Fabric domain of the group; empty if unknown.
    at_unix_ms : int
        Time of its first observation in Unix milliseconds.
    suspects : dict of int to int
        For each fingerprint of a running request, its run time in milliseconds.
    """

    crash_id: CrashId
    fabric_domain: str
    at_unix_ms: int
    suspects: dict[int, int] = attrs.field(factory=dict)


class CrashEvidence:
    """Crashes and their suspects, merged from the evidence of all entries.

    A request is found to cause crashes if two different groups crashed soon after it
    started and no other suspect ran in both. Once the cause of a crash is found, the
    crash no longer counts against its other suspects. It does not count against a
    suspect either if another group of the fabric domain that was not running the
    suspect crashed at the same time, as that points to a fault of the domain.
    """

    def __init__(self) -> None:
        self._crashes: dict[CrashId, Crash] = {}
        # Unix time in milliseconds of the last complete answer by fingerprint.
        self._cleared: dict[int, int] = {}

    def crashes(self) -> list[Crash]:
        """Return all recorded crashes, oldest first."""
        return list(self._crashes.values())

    def cleared(self) -> dict[int, int]:
        """Return the Unix time in ms of the last complete answer by fingerprint."""
        return dict(self._cleared)

    def add(self, suspicion: CrashSuspicion) -> bool:
        """Add a piece of evidence; adding the same piece again has no effect.

        Parameters
        ----------
        suspicion : CrashSuspicion
            The evidence.

        Returns
        -------
        bool
            Whether it was new.
        """
        if not suspicion.fingerprint:
            return False
        if suspicion.cleared:
            return self._clear(suspicion.fingerprint, suspicion.crashed_at_unix_ms)
        fingerprint = suspicion.fingerprint
        if self._cleared.get(fingerprint, 0) >= suspicion.crashed_at_unix_ms:
            return False
        crash_id = CrashId(suspicion.group_id, suspicion.epoch)
        crash = self._crashes.get(crash_id)
        if crash is None:
            crash = Crash(
                crash_id, suspicion.fabric_domain, suspicion.crashed_at_unix_ms
            )
            self._crashes[crash_id] = crash
            self._forget_oldest()
        # Entries observe a crash at slightly different times; the earliest is kept, so
        # that all entries converge on the same value.
        crash.at_unix_ms = min(crash.at_unix_ms, suspicion.crashed_at_unix_ms)
        if fingerprint in crash.suspects or len(crash.suspects) >= MAX_SUSPECTS:
            return False
        crash.suspects[fingerprint] = suspicion.ran_ms
        return True

    def expire(self, now_unix_ms: int) -> None:
        """Drop evidence older than the retention time.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        oldest = now_unix_ms - EVIDENCE_RETENTION_MS
        self._crashes = {
            crash_id: crash
            for crash_id, crash in self._crashes.items()
            if crash.at_unix_ms > oldest
        }
        self._cleared = {
            fingerprint: at_unix_ms
            for fingerprint, at_unix_ms in self._cleared.items()
            if at_unix_ms > oldest
        }

    def crashes_of(self, fingerprint: int) -> list[Crash]:
        """Return the crashes during which a request was running.

        Parameters
        ----------
        fingerprint : int
            The request.

        Returns
        -------
        list of Crash
            The crashes, oldest first.
        """
        return [c for c in self._crashes.values() if fingerprint in c.suspects]

    def to_suspicions(self, min_crashes: int = 1) -> list[CrashSuspicion]:
        """Return the evidence of crashes as messages.

        Parameters
        ----------
        min_crashes : int, optional
            Requests that are suspected of fewer crashes are left out.

        Returns
        -------
        list of CrashSuspicion
            One for each crash and suspected request.
        """
        counts = Counter(f for crash in self._crashes.values() for f in crash.suspects)
        return [
            CrashSuspicion(
                fingerprint=fingerprint,
                group_id=crash.crash_id.group_id,
                epoch=crash.crash_id.epoch,
                crashed_at_unix_ms=crash.at_unix_ms,
                fabric_domain=crash.fabric_domain,
                ran_ms=ran_ms,
            )
            for crash in self._crashes.values()
            for fingerprint, ran_ms in crash.suspects.items()
            if counts[fingerprint] >= min_crashes
        ]

    def banned_until_unix_ms(self, fingerprint: int, now_unix_ms: int) -> int:
        """Return the end of a request's ban.

        Parameters
        ----------
        fingerprint : int
            The request.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        int
            Unix time in milliseconds; 0 if the request is not banned.
        """
        settled = now_unix_ms - EVIDENCE_SETTLE_MS
        crashes = self._one_per_group(
            crash
            for crash in self.crashes_of(fingerprint)
            if crash.at_unix_ms <= settled
        )
        if not self._causes_crashes(fingerprint, crashes):
            return 0
        end_unix_ms = max(crash.at_unix_ms for crash in crashes) + BAN_MS
        return end_unix_ms if end_unix_ms > now_unix_ms else 0

    def unattributed_crashes_of(
        self, fingerprint: int, now_unix_ms: int
    ) -> list[Crash]:
        """Return the crashes for which a request is still a suspect.

        Parameters
        ----------
        fingerprint : int
            The request.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of Crash
            Crashes attributed neither to another request nor to a fabric domain fault.
        """
        return [
            crash
            for crash in self.crashes_of(fingerprint)
            if not self._is_domain_fault(crash, fingerprint)
            and not self._is_attributed(crash, fingerprint, now_unix_ms)
        ]

    def _causes_crashes(self, fingerprint: int, crashes: list[Crash]) -> bool:
        if len(crashes) >= BAN_CRASHES_AMBIGUOUS:
            return True
        counted = [c for c in crashes if not self._is_domain_fault(c, fingerprint)]
        # A request that ran normally for a while may meet two crashes by coincidence.
        is_quick = all(c.suspects[fingerprint] <= QUICK_CRASH_MS for c in counted)
        if len(counted) < (BAN_CRASHES if is_quick else BAN_CRASHES_SLOW):
            return False
        common = set.intersection(*(set(crash.suspects) for crash in counted))
        return common == {fingerprint}

    def _is_attributed(self, crash: Crash, fingerprint: int, now_unix_ms: int) -> bool:
        return any(
            other != fingerprint
            and len(self.crashes_of(other)) >= BAN_CRASHES
            and self.banned_until_unix_ms(other, now_unix_ms)
            for other in crash.suspects
        )

    def _is_domain_fault(self, crash: Crash, fingerprint: int) -> bool:
        return any(
            other.crash_id.group_id != crash.crash_id.group_id
            and crash.fabric_domain
            and other.fabric_domain == crash.fabric_domain
            and abs(other.at_unix_ms - crash.at_unix_ms) <= DOMAIN_FAULT_MS
            and fingerprint not in other.suspects
            for other in self._crashes.values()
        )

    @staticmethod
    def _one_per_group(crashes: "list[Crash]") -> list[Crash]:
        by_group = {crash.crash_id.group_id: crash for crash in crashes}
        return list(by_group.values())

    def _clear(self, fingerprint: int, at_unix_ms: int) -> bool:
        if self._cleared.get(fingerprint, 0) >= at_unix_ms:
            return False
        self._cleared[fingerprint] = at_unix_ms
        if len(self._cleared) > MAX_SUSPECTS:
            del self._cleared[next(iter(self._cleared))]
        for crash in self._crashes.values():
            if crash.at_unix_ms <= at_unix_ms:
                crash.suspects.pop(fingerprint, None)
        return True

    def _forget_oldest(self) -> None:
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
